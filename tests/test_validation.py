"""Contradictions across fields are found before publication."""

import pytest
from samples import BASE, SHIFT, SITES, alter, make_deployment

from currantmast.deployment import Operations, Shift
from currantmast.errors import OperationRejected, SettingsError
from currantmast.operations import check_operations
from currantmast.validation import check_deployment, list_findings


def test_sample_has_no_contradiction():
    assert not list(list_findings(make_deployment()))


@pytest.mark.parametrize(
    ('path', 'value', 'field', 'allowed'),
    [
        (['regions', 1, 'failure_domains'], [], 'regions[1].f', 'at least one'),
        (['regions', 1, 'failure_domains', 1], 'n1', 'regions[1].f', 'only once'),
        (['links', 1, 'source'], 'west', 'links[1]', 'each pair'),
        (['links', 1, 'destination'], 'south', 'links[1]', 'each pair'),
        (['links'], BASE['links'][:1], 'links', 'south>north'),
        (['pools', 0, 'service'], 'mail', 'pools[0].service', 'stock, orders'),
        (['pools', 0, 'region'], 'west', 'pools[0].region', 'north, south'),
        (['pools', 0, 'failure_domain'], 's1', 'pools[0].failure_domain', 'n1, n2'),
        (['pools', 0, 'connections'], 3, 'pools[0].connections', 'slots 4'),
        (['pools', 0, 'addresses'], [], 'pools[0].addresses', 'at least one'),
        (
            ['pools', 1, 'addresses', 0],
            '127.1.0.2:8080',
            'pools[1].addresses[0]',
            'not',
        ),
        (['pools'], BASE['pools'][:2], 'services[1]', 'has a pool'),
        (['services', 0, 'typical_ms'], 1001, 'services[0].typical_ms', '1000'),
        (['policy', 'queue_wait_ms'], 1000, 'policy.queue_wait_ms', 'less than'),
        (
            ['policy'],
            {'latency_weight': 0, 'headroom_weight': 0},
            'policy.l',
            'above 0',
        ),
        (['teams', 0, 'services', 1], 'mail', 'teams[0].services', 'stock, orders'),
        (['teams', 0, 'services'], [], 'teams[0].services', 'at least one'),
        (['teams', 0, 'burst'], 0.9, 'teams[0].burst', 'one request'),
        (['teams', 1, 'key_digests', 0], 'a' * 64, 'teams[1].key_digests[0]', 'not'),
        (['timing'], {'lease_s': 1.4}, 'timing.lease_s', '3 heartbeats'),
        (['timing'], {'removal_after_s': 1}, 'timing.removal_after_s', '3 heartbeats'),
        (['timing'], {'claim_lifetime_s': 61}, 'timing.claim_lifetime_s', '62 s'),
        (['timing'], {'claim_batch_s': 2}, 'timing.claim_batch_s', 'less than 2 s'),
        (['timing'], {'quarantine_s': 1}, 'timing.quarantine_s', 'at least 2 s'),
    ],
)
def test_contradiction_is_named(path, value, field, allowed):
    findings = list(list_findings(make_deployment(alter(BASE, path, value))))
    matching = [finding for finding in findings if finding.field.startswith(field)]
    assert matching, findings
    assert allowed in matching[0].allowed
    assert matching[0].file == 'base.yaml'


@pytest.mark.parametrize(
    ('path', 'value', 'field', 'place'),
    [
        ([0, 'region'], 'west', 'region', 'overlays/hill.yaml'),
        ([1, 'blocks', 0], '192.0.2.64/26', 'blocks', 'overlays/shore.yaml'),
    ],
)
def test_contradiction_of_an_overlay_names_its_file(path, value, field, place):
    deployment = make_deployment(sites=alter(SITES, path, value))
    with pytest.raises(SettingsError) as failure:
        check_deployment(deployment, 'firm')
    assert (failure.value.field, failure.value.file) == (field, f'firm/{place}')


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'site': 'moor'}, 'home region'),
        ({'source': 'south', 'destination': 'north'}, 'home region'),
        ({'destination': 'west'}, 'no link'),
        ({'cap_rate': 321}, 'can get 320/s'),
    ],
)
def test_shift_beyond_the_deployment_is_rejected(fields, reason):
    shift = Shift(**{**SHIFT, **fields})
    with pytest.raises(OperationRejected, match=reason):
        check_operations(Operations(shifts=(shift,)), make_deployment())


def test_shift_beyond_the_link_is_rejected():
    narrow = alter(BASE, ['links', 0, 'capacity_mbit_s'], 0.4)
    operations = Operations(shifts=(Shift(**SHIFT),))
    with pytest.raises(OperationRejected, match='can get 12/s'):
        check_operations(operations, make_deployment(narrow))
