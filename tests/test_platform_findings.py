"""Checks of configuration documents before they are sent, and their commands."""

import copy
import json
import time

import pytest
from test_commands import run_plain
from test_platform_documents import CONFIG

from currantmast.platform.documents import decode_configuration
from currantmast.platform.findings import Surroundings, list_findings
from currantmast.platform.routechoices import explain_choice
from currantmast.standins.platformstore import PlatformStore

ROUTE, SERVICE, TEAM, LIMITS = range(4)
INDEXES = {'route': ROUTE, 'service': SERVICE, 'team': TEAM, 'limits': LIMITS}
SURROUNDINGS = Surroundings(frozenset(('fife', 'skye')), 100, 11)


def make_document(**specs):
    """Return a sound document, with changed fields of entries by their name here."""
    document = copy.deepcopy(CONFIG)
    for name, fields in specs.items():
        document['resources'][INDEXES[name]]['spec'].update(fields)
    return document


def add_copy(index, name, **fields):
    document = make_document()
    added = copy.deepcopy(document['resources'][index])
    added['meta']['name'] = name
    added['spec'].update(fields)
    document['resources'].append(added)
    return document


def find(document, surroundings=SURROUNDINGS):
    return [(found.rule, found.path) for found in list_findings(document, surroundings)]


def test_sound_document_has_no_findings():
    assert not find(make_document())


@pytest.mark.parametrize(
    ('document', 'rule', 'path'),
    [
        (make_document(route={'timeout_s': []}), 'unreadable', 'resources[0].spec'),
        (make_document(route={'type': 'odd'}), 'unreadable', 'resources[0].spec.type'),
        (add_copy(ROUTE, 'r2'), 'route_shadowed', 'resources[5]'),
        (add_copy(ROUTE, 'r1', host='b'), 'duplicate_name', 'resources[5]'),
        (add_copy(TEAM, 'schools', api_keys=['k9']), 'duplicate_name', 'resources[5]'),
        (make_document(route={'path_prefix': '/a'}), 'route_unmatchable', None),
        (make_document(route={'host': 'a:80'}), 'route_unmatchable', None),
        (
            make_document(route={'backends': [{'service': 'x', 'weight': 1}]}),
            'service_unknown',
            'resources[0]',
        ),
        (add_copy(SERVICE, 's2'), 'service_unused', 'resources[5]'),
        (make_document(team={'api_keys': []}), 'team_without_keys', 'resources[2]'),
        (add_copy(TEAM, 'other'), 'key_shared', 'resources[5]'),
        (make_document(route={'home_regions': ['x']}), 'region_unknown', None),
        (make_document(team={'home_regions': ['x', 'fife']}), 'region_unknown', None),
        (make_document(team={'home_regions': ['skye']}), 'no_common_region', None),
        (make_document(route={'timeout_s': 0.4}), 'timeout_below_objective', None),
        (
            make_document(route={'timeout_s': 0, 'target_latency_s': 0}),
            'timeout_zero',
            None,
        ),
        (make_document(team={'burst': 0.5}), 'burst_below_one', 'resources[2]'),
        (
            make_document(limits={'max_body_bytes': 200_000_000}),
            'body_beyond_memory',
            'resources[3]',
        ),
        ({**make_document(), 'version': '0000000b'}, 'version_not_newer', 'version'),
    ],
)
def test_each_finding_names_its_entry(document, rule, path):
    found = find(document)
    assert rule in {known for known, _ in found}
    expected = (rule, path)
    assert path is None or any(
        (known, place[: len(path)]) == expected for known, place in found
    )


@pytest.mark.parametrize(
    'document',
    [
        add_copy(ROUTE, 'r2', path_prefix='/a/b/'),
        add_copy(TEAM, 'other', api_keys=['k9']),
        make_document(route={'attempts': 5, 'type': 'upload'}),
        make_document(route={'timeout_s': 0.5}),
        make_document(route={'public': True}, team={'home_regions': ['skye']}),
        make_document(team={'home_regions': ['skye', 'fife']}),
        make_document(team={'rate_per_s': 0, 'burst': 0}),
        make_document(limits={'max_body_bytes': 100_000_000}),
    ],
)
def test_what_is_allowed_is_no_finding(document):
    assert not find(document)


def test_surroundings_that_are_not_known_are_not_checked():
    document = make_document(
        route={'home_regions': ['x']}, limits={'max_body_bytes': 10**10}
    )
    assert not find(document, Surroundings())


def test_findings_show_no_keys():
    shown = str(list_findings(add_copy(TEAM, 'other'), SURROUNDINGS))
    assert "'k1'" not in shown


def make_large(size):
    document = make_document()
    for number in range(size):
        route = copy.deepcopy(document['resources'][ROUTE])
        route['meta']['name'] = f'x{number}'
        regions = [f'q{bit}' for bit in range(11) if number & 1 << bit]
        route['spec'].update(path_prefix=f'/x{number}/', home_regions=regions)
        document['resources'].append(route)
    return document


def test_large_document_is_checked_in_time():
    document = make_large(2000)
    started = time.process_time()
    list_findings(document, Surroundings())
    assert time.process_time() - started < 1


@pytest.mark.parametrize(
    ('path', 'team', 'route', 'outcome'),
    [
        ('/a/b/x?q=/', 'schools', 'r2', 'served for team schools'),
        ('/a/x', '', 'r1', 'needs the key of a team'),
        ('/a/x', 'nobody', 'r1', 'refused: there is no readable team of this name'),
        ('/b', 'schools', '', 'refused with 404: no route matches'),
    ],
)
def test_choice_of_a_route_is_explained(path, team, route, outcome):
    document = add_copy(ROUTE, 'r2', path_prefix='/a/b/')
    document['resources'].append(copy.deepcopy(document['resources'][ROUTE]))
    config = decode_configuration('main', document)
    choice = explain_choice(config, 'SHOP.example:80', path, team)
    assert (choice.route, choice.outcome) == (route, outcome)
    verdicts = [found.verdict for found in choice.verdicts]
    if route == 'r2':
        assert verdicts == [
            'a longer prefix matches',
            'chosen: the longest prefix that begins the path',
            'a longer prefix matches',
        ]
    if route == 'r1':
        assert verdicts[2] == 'an earlier route has the same prefix'


@pytest.fixture
def write(tmp_path):
    def write_document(name, document):
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return str(path)

    return write_document


def test_commands_exit_with_0_1_or_2(write, capsys):
    sound = write('sound', make_document())
    later = write('later', {**make_document(team={'burst': 0}), 'version': '0000000d'})
    broken = write('broken', {'version': 7})
    expected = {
        ('check', sound): 0,
        ('check', later): 1,
        ('check', broken): 2,
        ('check', '/nowhere'): 2,
        ('check', sound, f'--against={sound}'): 1,
        ('check', sound, '--against=store'): 2,
        ('check', sound, '--memory_mb=much'): 2,
        ('diff', sound, sound): 0,
        ('diff', sound, later): 1,
        ('diff', sound, broken): 2,
    }
    codes = {
        arguments: run_plain('config', *arguments, capsys=capsys)[0]
        for arguments in expected
    }
    assert codes == expected


def test_check_against_the_store_tells_findings_and_differences(write, capsys):
    changed = make_document(team={'burst': 0, 'api_keys': ['k1']})
    path = write('new', {**changed, 'version': '0000000d'})
    with PlatformStore() as store:
        store.put('config', 'main', make_document())
        options = ('--against=store', f'--store={store.address}')
        code, out, _ = run_plain('config', 'check', path, *options, capsys=capsys)
        assert code == 1
        assert 'resources[2] schools burst_below_one' in out
        assert 'changed tenants schools: api_keys: 2 keys -> 1 keys; burst: 60' in out
        _, out, _ = run_plain(
            'config', 'check', path, *options, '--json', capsys=capsys
        )
        result = json.loads(out)
        assert [found['rule'] for found in result['findings']] == ['burst_below_one']
        assert result['differences'][0]['name'] == 'schools'
        code, out, _ = run_plain(
            'routes', 'explain', 'shop.example', '/a/1', options[1], capsys=capsys
        )
    assert (code, out.splitlines()[0]) == (0, 'route: r1')


def test_differences_name_added_and_removed_entries(write, capsys):
    before = write('before', make_document())
    after = write('after', {**make_document(), 'resources': [CONFIG['resources'][0]]})
    out = run_plain('config', 'diff', after, before, capsys=capsys)[1].splitlines()
    assert out[-1] == '4 differences'
    assert 'added services s1' in out
    out = run_plain('config', 'diff', before, after, capsys=capsys)[1].splitlines()
    assert 'removed tenants schools' in out
