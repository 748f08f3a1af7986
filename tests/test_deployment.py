"""Loading of deployments and settings: bad input is named precisely."""

from pathlib import Path

import pytest
from samples import BASE, SHIFT, alter, make_deployment, write_deployment

from currantmast.credentials import CallerKey
from currantmast.deployment import Operations, Shift
from currantmast.documents import read_document
from currantmast.errors import SettingsError
from currantmast.inventory import Inventory, Route, make_shift_budget
from currantmast.loading import load_deployment
from currantmast.messages import Address
from currantmast.settings import load_settings
from currantmast.validation import check_deployment

DEPLOYMENTS = Path(__file__).resolve().parent.parent / 'deployments'

SETTINGS = """
id: fife-1
region: fife
failure_domain: fife-a
public: 127.0.0.1:0
peer: 127.0.0.1:0
control: 127.0.0.1:0
store: 127.0.0.1:7000
seeds: [127.0.0.2:7100]
address_overrides:
  fife-2: {peer: 127.0.0.1:7201}
"""


def test_directory_loads_to_the_deployment_it_was_written_from(tmp_path):
    assert load_deployment(write_deployment(tmp_path)) == make_deployment()


@pytest.mark.parametrize(
    ('path', 'value', 'field', 'allowed'),
    [
        (['teams', 0, 'rate'], 0, 'teams[0].rate', '> 0'),
        (['teams', 0, 'rate'], '5', 'teams[0].rate', 'float'),
        (['teams', 0, 'rate'], float('nan'), 'teams[0].rate', 'finite'),
        (['links', 1, 'delay_ms'], float('inf'), 'links[1].delay_ms', 'finite'),
        (['teams', 1, 'colour'], 'red', 'teams[1].colour', 'only the fields id'),
        (['teams', 1, 'id'], 'fitters', 'teams[1].id', 'only once'),
        (['services', 0, 'kind'], 'mail', 'services[0].kind', 'lookup, order, upload'),
        (['pools', 0, 'slots'], True, 'pools[0].slots', 'int'),
        (['pools', 2, 'addresses', 1], 'host:80', 'pools[2].addresses[1]', 'IPv4'),
        (['pools', 2, 'addresses', 1], '127.1:80', 'pools[2].addresses[1]', 'IPv4'),
        (['pools', 2, 'addresses', 1], '127.0.0.1:0', 'pools[2].addresses[1]', 'port'),
        (['policy', 'retry_ratio'], 2, 'policy.retry_ratio', '<= 1'),
        (['teams', 0, 'burst'], 10**400, 'teams[0].burst', 'finite'),
    ],
)
def test_bad_field_is_named_with_value_and_limits(
    tmp_path, path, value, field, allowed
):
    write_deployment(tmp_path, alter(BASE, path, value))
    with pytest.raises(SettingsError) as failure:
        load_deployment(tmp_path)
    assert failure.value.file.endswith('base.yaml')
    assert failure.value.field == field
    assert failure.value.found == value or value != value
    assert allowed in failure.value.allowed


@pytest.mark.parametrize(
    ('text', 'field', 'allowed'),
    [
        ('id: hill\nid: hill\n', 'line 2', 'once'),
        ('a: &x [1]\nb: *x\n', 'line 2', 'in full'),
        ('1: 2\n', 'line 1', 'text'),
        ('a: [\n', 'line 2', 'YAML'),
        ('- 1\n', '$', 'mapping'),
        ('region: north\ndelay_ms: 1\n', 'id', 'required'),
        ('id: moor\nregion: north\ndelay_ms: 1\n', 'id', 'file name'),
        (
            'id: hill\nregion: n\ndelay_ms: 1\nblocks: [10.0.0.1/24]',
            'blocks[0]',
            'host',
        ),
        (
            'id: hill\nregion: n\ndelay_ms: 1\npacked_blocks: AAAA',
            'packed_blocks',
            'bl',
        ),
    ],
)
def test_bad_overlay_is_rejected(tmp_path, text, field, allowed):
    write_deployment(tmp_path)
    (tmp_path / 'overlays' / 'hill.yaml').write_text(text)
    with pytest.raises(SettingsError) as failure:
        load_deployment(tmp_path)
    assert failure.value.file.endswith('hill.yaml')
    assert failure.value.field == field
    assert allowed in failure.value.allowed


def test_key_in_place_of_its_digest_is_not_shown(tmp_path):
    write_deployment(
        tmp_path, alter(BASE, ['teams', 0, 'key_digests'], ['open-sesame'])
    )
    with pytest.raises(SettingsError, match=r'key_digests\[0\]') as failure:
        load_deployment(tmp_path)
    assert 'sesame' not in str(failure.value)


def test_missing_base_and_stray_overlay_are_rejected(tmp_path):
    with pytest.raises(SettingsError, match='base.yaml'):
        load_deployment(tmp_path)
    write_deployment(tmp_path)
    (tmp_path / 'overlays' / 'notes.txt').write_text('')
    with pytest.raises(SettingsError, match='notes.txt'):
        load_deployment(tmp_path)


def test_inventory_finds_parts_and_applies_operations():
    operations = Operations(
        drained=('region:south', 'target:127.1.0.1:8080'),
        shifts=(Shift(**SHIFT),),
        issued_keys={'c' * 64: 'schools', 'd' * 64: 'schools'},
        withdrawn_keys=('a' * 64, 'd' * 64),
    )
    plain = make_deployment()
    inventory = Inventory(type(plain)(plain.base, plain.sites, operations))
    assert [t.id for t in inventory.list_targets('north', 'stock')] == [
        '127.1.0.1:8080',
        '127.1.0.2:8080',
    ]
    drained = [
        t.id for t in inventory.targets.values() if inventory.is_target_drained(t)
    ]
    assert len(drained) == 5
    found = [inventory.find_team(mark * 64) for mark in 'abcd']
    assert [team and team.id for team in found] == [None, 'schools', 'schools', None]
    assert inventory.find_region('shore') == 'south'
    assert inventory.links[Route('north', 'south')].delay_ms == 20
    budgets = {b.name: (b.rate, b.burst) for b in inventory.budgets}
    assert budgets['link:north>south'] == (10_000_000, 2_500_000)
    assert budgets['team:fitters'] == (50, 20)


@pytest.mark.parametrize('cap', [2, 5, 20, 1000])
def test_shift_budget_never_exceeds_its_cap_in_a_second(cap):
    budget = make_shift_budget(Shift(**{**SHIFT, 'cap_rate': cap}))
    assert budget.burst >= 1
    assert budget.rate + budget.burst <= cap


def test_settings_load_with_addresses_and_overrides(tmp_path):
    path = tmp_path / 'instance.yaml'
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.public == Address('127.0.0.1', 0)
    assert settings.seeds == (Address('127.0.0.2', 7100),)
    advertised = Address('10.0.0.1', 1)
    resolved = [
        settings.resolve('fife-2', kind, advertised) for kind in ('peer', 'control')
    ]
    assert resolved == [Address('127.0.0.1', 7201), advertised]


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        ('store: 127.0.0.1:7000', 'store: localhost:7000', 'store'),
        ('store: 127.0.0.1:7000', 'store: 127.0.0.1:0', 'store'),
        ('127.0.0.2:7100', '127.0.0.2', 'seeds[0]'),
        ('127.0.0.1:7201', 'peer-2:1', 'address_overrides.fife-2.peer'),
        ('id: fife-1', 'id: Fife 1', 'id'),
        ('peer: 127.0.0.1:0', 'peer: {host: a, port: 1}', 'peer'),
        ('{peer: 127.0.0.1:7201}', '{admin: 127.0.0.1:7201}', 'address_overrides'),
    ],
)
def test_bad_settings_are_rejected(tmp_path, old, new, field):
    path = tmp_path / 'instance.yaml'
    path.write_text(SETTINGS.replace(old, new, 1))
    with pytest.raises(SettingsError) as failure:
        load_settings(path)
    assert failure.value.field.startswith(field)


@pytest.mark.parametrize(
    ('firm', 'servers', 'slots', 'connections', 'capacity', 'delay'),
    [
        ('yanagawa', (20, 12, 12), (60, 36, 36), 330, 280, 55),
        ('glenbrae', (16, 12, 12), (80, 48, 36), 360, 4000, 20),
    ],
)
def test_deployments_have_the_sizes_of_the_design_page(
    firm, servers, slots, connections, capacity, delay
):
    directory = DEPLOYMENTS / firm
    deployment = load_deployment(directory)
    check_deployment(deployment)
    base = deployment.base
    targets = list(Inventory(deployment).targets.values())
    by_service = [[t for t in targets if t.service == s.id] for s in base.services]
    assert tuple(len(group) for group in by_service) == servers
    assert tuple(sum(t.slots for t in group) for group in by_service) == slots
    assert {target.connections for target in targets} == {connections}
    assert {(link.capacity_mbit_s, link.delay_ms) for link in base.links} == {
        (capacity, delay)
    }
    assert (len(base.regions), len(base.teams), len(deployment.sites)) == (3, 8, 6)
    keys = read_document(directory / 'demo-keys.yaml')
    digests = {team.id: team.key_digests for team in base.teams}
    assert digests == {team: (CallerKey(key).digest,) for team, key in keys.items()}
