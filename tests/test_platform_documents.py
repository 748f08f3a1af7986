"""Decoding of the platform's stored objects and boot file."""

import copy
import tomllib

import pytest

from currantmast.direct.model import Location, TargetState, WeightedService, WorkKind
from currantmast.direct.updates import InvalidEntry
from currantmast.errors import SettingsError
from currantmast.messages import Address
from currantmast.platform.boot import decode_boot
from currantmast.platform.documents import (
    configure_regions,
    decode_configuration,
    decode_instance,
    decode_target,
)

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
        {'resources': None},
        {'resources': [{**ROUTE, 'spec': {**ROUTE['spec'], 'type': 'odd'}}]},
        {'resources': [{**ROUTE, 'spec': {**ROUTE['spec'], 'backends': []}}]},
        {'resources': [{**ROUTE, 'spec': {**ROUTE['spec'], 'timeout_s': 'two'}}]},
    ],
)
def test_invalid_configuration_is_unusable(change):
    found = decode_configuration('main', {**copy.deepcopy(CONFIG), **change})
    assert isinstance(found, InvalidEntry)
    assert found.reason


def test_downloads_may_be_repeated():
    config = copy.deepcopy(CONFIG)
    config['resources'][0]['spec']['type'] = 'download'
    kind = decode_configuration('main', config).routes[0].kind
    assert kind is WorkKind.download
    assert kind.repeatable


@pytest.mark.parametrize(('priority', 'expected'), [(0, True), (1, False)])
def test_highest_priority_asks_for_overload_control(priority, expected):
    config = copy.deepcopy(CONFIG)
    config['resources'][0]['spec']['prio'] = priority
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
