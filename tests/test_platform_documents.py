"""Decoding of the platform's stored objects and boot file."""

import copy
import json
import tomllib

import msgspec
import pytest

from currantmast.direct.model import (
    CallerLimits,
    Location,
    TargetState,
    WeightedService,
    WorkKind,
)
from currantmast.direct.positions import Position
from currantmast.direct.relaymessages import (
    decode_update,
    encode_entry,
    encode_update,
)
from currantmast.direct.updates import Entry, InvalidEntry, Topic
from currantmast.errors import SettingsError
from currantmast.messages import Address
from currantmast.platform.boot import decode_boot
from currantmast.platform.documents import (
    configure_regions,
    decode_configuration,
    decode_instance,
    decode_target,
)
from currantmast.platform.pages import decode_items, decode_page

ROUTE = {
    'res_kind': 'routes',
    'meta': {'name': 'r1'},
    'spec': {
        'host': 'Shop.example',
        'path_prefix': '/a/',
        'type': 'idempotent',
        'timeout_s': 2,
        'target_latency_s': 0.5,
        'prio': 2,
        'backends': [
            {'service': 's1', 'weight': 90},
            {'service': 's2', 'weight': 0},
        ],
        'attempts': 2,
        'public': False,
        'affinity': True,
        'home_regions': ['fife'],
    },
}
CONFIG = {
    'version': '0000000c',
    'resources': [
        ROUTE,
        {
            'res_kind': 'services',
            'meta': {'name': 's1'},
            'spec': {'health_path': '/h', 'max_conns': 9, 'cold_s': 3, 'cold_per_s': 2},
        },
        {
            'res_kind': 'tenants',
            'meta': {'name': 'schools'},
            'spec': {'api_keys': ['k1', 'k2'], 'rate_per_s': 64, 'burst': 60},
        },
        {'res_kind': 'limits', 'meta': {}, 'spec': {'idle_s': 7.5}},
        {'res_kind': 'of-tomorrow', 'meta': {'name': 'x'}, 'spec': {}},
    ],
}
SERVER = {
    'service': 's1',
    'addr': '10.1.0.9:8080',
    'zone': 'fife-a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'cold_left_s': 0.5,
    'seq': 4,
    'born': 1700000000000,
}
BOOT = """
[self]
node = "edge-1"
zone = "fife-a"
region = "fife"
ip = "10.1.0.23"
tomorrow = 1
[network]
port_range = [7460, 7475]
[network.listen]
front = "10.1.0.23:1"
readiness = "10.1.0.23:2"
directory = "10.1.0.23:3"
[network.zones]
fife-a = "fife"
[provider]
beat_s = 1.2
[provider.provider]
addr = "10.2.0.1:4"
[terms.bounds]
revoke_s = 4
strict_revoke = true
touch_s = 4
drain_s = 3.5
config_apply_s = 3
evac_s = 4.5
"""


@pytest.fixture(autouse=True)
def places():
    configure_regions({'fife-a': 'fife'})


def test_all_parts_of_a_configuration_are_decoded():
    config = decode_configuration('main', CONFIG)
    route = config.routes[0]
    assert config.version == 12
    assert route.host == 'shop.example'
    assert route.kind is WorkKind.idempotent
    assert route.weighted_services == (WeightedService('s1', 90),)
    assert route.allowed_regions == {'fife'}
    assert config.keys == {'k1': 'schools', 'k2': 'schools'}
    assert config.limits.idle_s == 7.5
    assert config.services['s1'].cold_rate == 2


@pytest.mark.parametrize(
    'change',
    [
        {'version': 12},
        {'version': 'not hexadecimal'},
        {'version': 'f' * 9},
        {'resources': None},
        {'resources': {}},
    ],
)
def test_invalid_configuration_is_unusable(change):
    found = decode_configuration('main', {**copy.deepcopy(CONFIG), **change})
    assert isinstance(found, InvalidEntry)
    assert found.reason


def decode_changed(index, **fields):
    """Return CONFIG decoded, with fields of the spec of one entry changed."""
    config = copy.deepcopy(CONFIG)
    config['resources'][index]['spec'].update(fields)
    return decode_configuration('main', config)


def list_faults(config):
    return [(fault.path, fault.name) for fault in config.faults]


@pytest.mark.parametrize(
    ('field', 'found'),
    [
        ('timeout_s', 'two'),
        ('timeout_s', None),
        ('type', 7),
        ('prio', 2**70),
        ('backends', [{'service': 's1', 'weight': 'all'}]),
        ('backends', []),
        ('home_regions', 'fife'),
        ('public', 'yes'),
    ],
)
def test_route_with_an_odd_field_refuses_and_the_others_are_in_force(field, found):
    config = decode_changed(0, **{field: found})
    (route,) = config.routes
    assert (route.host, route.prefix) == ('shop.example', '/a/')
    assert not route.is_readable
    assert not route.kind.repeatable
    assert not config.has_overload_control
    assert config.keys == {'k1': 'schools', 'k2': 'schools'}
    ((path, name),) = list_faults(config)
    assert path.startswith('resources[0].spec')
    assert name == 'r1'


@pytest.mark.parametrize('fields', [{'host': 7}, {'path_prefix': None}])
def test_route_without_a_readable_place_is_left_out(fields):
    config = decode_changed(0, **fields)
    assert not config.routes
    assert list_faults(config) == [(f'resources[0].spec.{next(iter(fields))}', 'r1')]


@pytest.mark.parametrize('kind', ['odd', ''])
def test_route_of_an_unknown_type_is_never_repeated(kind):
    """Guards against work that runs twice because its type is not known yet."""
    config = decode_changed(0, type=kind)
    (route,) = config.routes
    assert route.is_readable
    assert route.kind is WorkKind.non_idempotent
    assert list_faults(config) == [('resources[0].spec.type', 'r1')]


@pytest.mark.parametrize(
    ('fields', 'refused'),
    [
        ({'rate_per_s': 'many'}, {'k1', 'k2'}),
        ({'api_keys': ['k1', 7]}, {'k1'}),
        ({'api_keys': 'k1'}, set()),
    ],
)
def test_keys_of_an_odd_team_are_refused(fields, refused):
    """Guards against requests without a key where a team can't be read."""
    config = decode_changed(2, **fields)
    assert not config.teams
    assert not config.keys
    assert config.refused_keys == refused
    assert config.requires_keys
    assert len(config.faults) == 1


def test_odd_limits_mean_the_defaults_and_odd_services_are_left_out():
    assert decode_changed(3, idle_s='long').limits == CallerLimits()
    assert not decode_changed(1, cold_s='long').services


@pytest.mark.parametrize('odd', [None, 7, [], {}, {'res_kind': 7, 'spec': {}}])
def test_odd_entry_is_left_out_alone(odd):
    config = copy.deepcopy(CONFIG)
    config['resources'].insert(0, odd)
    decoded = decode_configuration('main', config)
    expected = decode_configuration('main', CONFIG)
    assert msgspec.structs.replace(decoded, faults=()) == expected
    assert list_faults(decoded) == [('resources[0]', '')]


@pytest.mark.parametrize(
    'odd', [b'"\\ud83d"', b'NaN', b'1e999', b'"\x01"', b'[' * 5000 + b']' * 5000]
)
def test_undecodable_part_of_the_document_spoils_its_entry_only(odd):
    """Guards against a configuration that one unreadable text puts out of force."""
    marked = copy.deepcopy(CONFIG)
    marked['resources'][0]['spec']['timeout_s'] = 'HERE'
    stored = {'meta': {'name': 'main', 'rev': 1}, 'spec': marked}
    text = json.dumps({'current_rev': 1, 'items': [stored]}).encode()
    page = decode_page(text.replace(b'"HERE"', odd))
    (entry,) = decode_items(Topic.configuration, page)
    assert [route.is_readable for route in entry.value.routes] == [False]
    assert entry.value.keys == {'k1': 'schools', 'k2': 'schools'}
    assert list_faults(entry.value) == [('resources[0].spec.timeout_s', 'r1')]


def test_relays_pass_on_what_could_not_be_read():
    config = decode_changed(2, rate_per_s='many')
    encoded = encode_entry(Entry('main', 1, config))
    body = encode_update(Position(1, 1), [encoded], 0)
    assert decode_update(Topic.configuration, body).entries[0].value == config


def test_downloads_may_be_repeated():
    config = copy.deepcopy(CONFIG)
    config['resources'][0]['spec']['type'] = 'download'
    kind = decode_configuration('main', config).routes[0].kind
    assert kind is WorkKind.download
    assert kind.repeatable


@pytest.mark.parametrize(
    ('priority', 'public', 'expected'),
    [(0, False, True), (0, True, False), (1, False, False)],
)
def test_highest_priority_asks_for_overload_control(priority, public, expected):
    config = copy.deepcopy(CONFIG)
    config['resources'][0]['spec'].update(prio=priority, public=public)
    decoded = decode_configuration('main', config)
    assert decoded.has_overload_control is expected


def test_target_is_decoded():
    target = decode_target('i-1', SERVER)
    assert target.address == Address('10.1.0.9', 8080)
    assert target.location == Location('fife', 'fife-a')
    assert target.state is TargetState.ready
    assert target.started_at_ms == 1700000000000


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'three'},
        {'slots': 0},
        {'state': 'sleeping'},
        {'zone': 'nowhere'},
        {'addr': 'host.example:80'},
        {'addr': None},
        {'born': 1.5},
        {'service': None},
    ],
)
def test_invalid_target_is_unusable(change):
    """Guards against an invalid entry that ends the task following the store."""
    assert isinstance(decode_target('i-1', {**SERVER, **change}), InvalidEntry)


@pytest.mark.parametrize('spec', [None, 'text', 7, [], {}])
def test_objects_of_another_type_are_unusable(spec):
    assert isinstance(decode_target('i-1', spec), InvalidEntry)
    assert isinstance(decode_configuration('main', spec), InvalidEntry)
    assert isinstance(decode_instance('i1', spec), InvalidEntry)


def test_settings_are_decoded_and_unknown_fields_ignored():
    settings = decode_boot(tomllib.loads(BOOT), 'boot.toml')
    assert settings.peer == Address('10.1.0.23', 7460)
    assert settings.bounds.revoke_s == 4
    assert settings.bounds.recovery_s == 4
    assert settings.bounds.expiry_s == pytest.approx(2.4)
    assert settings.regions == {'fife-a': 'fife'}


@pytest.mark.parametrize(
    ('found', 'replaced'),
    [
        ('node = "edge-1"', ''),
        ('[7460, 7475]', '["a", "b"]'),
        ('"10.1.0.23:1"', '"localhost:1"'),
        ('revoke_s = 4', 'revoke_s = "soon"'),
    ],
)
def test_invalid_settings_are_rejected_with_the_file_name(found, replaced):
    with pytest.raises(SettingsError, match='boot.toml'):
        decode_boot(tomllib.loads(BOOT.replace(found, replaced)), 'boot.toml')


def test_bounds_on_changes_are_decoded():
    bounds = decode_boot(tomllib.loads(BOOT), 'boot.toml').bounds
    assert bounds.propagation_s == 3
    assert bounds.evacuation_s == 4.5
    assert bounds.recovery_s == 4
