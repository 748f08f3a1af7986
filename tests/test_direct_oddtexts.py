"""Texts that others choose: names, ids and paths that are logged, sent or compared."""

import random

import pytest
from followingfleet import FollowingFleet, make_configuration, make_server
from test_direct_steering import OK, STAMP, SteeringHarness, make_answer, make_route

from currantmast.direct.answers import IDLE_TIMEOUT_S, AnswerReader, BufferedBytes
from currantmast.direct.configurations import CurrentConfiguration
from currantmast.direct.exchanges import encode_request
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.model import Location, TargetRecord, Team
from currantmast.direct.positions import Position
from currantmast.direct.probes import Prober
from currantmast.direct.relaymessages import (
    RelayedEntry,
    decode_update,
    encode_entry,
    encode_update,
)
from currantmast.direct.updates import Entry, InvalidEntry, Topic
from currantmast.errors import StoreUnavailable
from currantmast.messages import Address
from currantmast.platform import wire
from currantmast.platform.configurations import build_configuration
from currantmast.platform.documents import configure_regions, decode_target

# Reads like an Authorization header, though it is none.
LIKE_A_CREDENTIAL = 'standard bearer desk'


def make_target(name, zone='fife-a'):
    address = Address('127.0.0.1', 9)
    return TargetRecord(name, 'desk', address, Location('fife', zone), 3)


def test_service_that_reads_like_a_credential_ends_no_follower():
    """Guards against a log line about one entry that ends processes, or loses others."""
    with FollowingFleet(9, random.Random(1)) as fleet:
        fleet.store.put('config', 'main', make_configuration(3, 'a'))
        fleet.run(1)
        for beat in range(6):
            odd = make_server(9, service=LIKE_A_CREDENTIAL, cold_left_s=9 - beat)
            fleet.store.put('servers', 'a-odd', odd)
            fleet.store.put('servers', f't{beat}', make_server(beat))
            fleet.run(0.5)
        fleet.run(1)
        for instance in fleet.instances.values():
            listed = {found.record.id for found in instance.state.targets.list_all()}
            assert listed == {'a-odd', *(f't{beat}' for beat in range(6))}


@pytest.mark.parametrize('field', ['team', 'route', 'object', 'id'])
def test_request_that_reads_like_a_credential_gets_its_answer(field):
    """Guards against work that ran and whose answer a log line turns into an error."""
    route = make_route(name=LIKE_A_CREDENTIAL if field == 'route' else 'r')
    harness = SteeringHarness(OK, route=route)
    if field == 'team':
        config = harness.state.configuration.value
        config.teams['schools'] = Team(LIKE_A_CREDENTIAL)
    headers = {}
    if field == 'object':
        headers['cookie'] = f'X-Currantmast-Affinity-Key="{LIKE_A_CREDENTIAL}"'
    if field == 'id':
        headers['x-currantmast-request-id'] = LIKE_A_CREDENTIAL
    assert harness.ask(**headers).status == 200
    assert len(harness.connections.sent) == 1


def test_entry_that_a_relay_cannot_pass_on_costs_only_itself():
    """Guards against reserves that lose a whole update by one entry in it."""
    half_a_pair = make_target('b', zone='\ud83d')
    entries = (Entry('a', 1, make_target('a')), Entry('b', 1, half_a_pair))
    body = encode_update(Position(0, 1), map(encode_entry, entries), 0)
    received = decode_update(Topic.targets, body)
    assert received.entries[0] == entries[0]
    assert isinstance(received.entries[1].value, InvalidEntry)


def test_relayed_entry_that_cannot_be_decoded_costs_only_itself():
    """Guards against the same at the reserve, beside a relay of another version."""
    relayed = (RelayedEntry('a', 1, b'\xc1', None), RelayedEntry('b', 1, None, None))
    received = decode_update(Topic.targets, encode_update(Position(0, 1), relayed, 0))
    assert isinstance(received.entries[0].value, InvalidEntry)
    assert received.entries[1] == Entry('b', 1, None)


def test_configuration_that_a_reserve_cannot_decode_confirms_nothing():
    """Guards against an older configuration that stays in force unnoticed."""
    relayed = (RelayedEntry('main', 1, b'\xc1', None),)
    body = encode_update(Position(0, 1), relayed, 0)
    with pytest.raises(StoreUnavailable):
        decode_update(Topic.configuration, body)


def build(*resources):
    document = {'version': '00000001', 'resources': list(resources)}
    current = CurrentConfiguration()
    current.adopt(build_configuration(document))
    return current


def make_team(name, *keys):
    return {
        'res_kind': 'tenants',
        'meta': {'name': name},
        'spec': {'api_keys': list(keys)},
    }


@pytest.mark.parametrize('name', ['Grüße', 'Ελλάς', '\N{SNOWMAN} ltd'])
def test_target_is_told_the_team_whatever_its_letters(name):
    """Guards against a team that is never served, as no header could be built."""
    harness = SteeringHarness(OK)
    harness.state.configuration.value.teams['schools'] = Team(name)
    assert harness.ask().status == 200
    _, headers = harness.connections.sent[0]
    assert headers['x-currantmast-tenant'].encode('latin-1').decode() == name


@pytest.mark.parametrize('name', ['a\r\nX-Currantmast-Tenant: b', 'a\x00', ' a', 'a\t'])
def test_team_that_no_header_can_carry_is_refused(name):
    """Guards against forged headers, and targets that are told another team."""
    configuration = build(make_team(name, 'k1'), make_team('schools', 'k2'))
    assert configuration.refuses_key('k1')
    assert configuration.find_team('k2').name == 'schools'
    (fault,) = configuration.value.faults
    assert fault.path == 'resources[0].meta.name'


def test_key_of_any_letters_finds_its_team():
    """Guards against keys that are compared in two encodings, and get 401."""
    configuration = build(make_team('schools', 'schlüssel'))
    sent = 'schlüssel'.encode().decode('latin-1')
    head = InboundRequest('GET', '/', [('api-key', sent)], b'', True, 0)
    assert configuration.find_team(wire.decode_request(head).key).name == 'schools'


def test_unknown_key_finds_no_team_without_a_name():
    """Guards against an entry without a name that admits every key."""
    team = make_team('', 'k1', '')
    configuration = build(team)
    assert configuration.find_team('k1').name == ''
    assert configuration.find_team('other') is None
    assert configuration.find_team('') is None


def test_host_and_prefix_of_any_letters_find_their_route():
    route = {
        'res_kind': 'routes',
        'meta': {'name': 'r'},
        'spec': {
            'host': 'CAFÉ.example',
            'path_prefix': '/é/',
            'type': 'idempotent',
            'timeout_s': 2,
            'service': 'desk',
        },
    }
    sent = 'Café.example'.encode().decode('latin-1')
    head = InboundRequest('GET', '/%C3%A9/x?y', [('host', sent)], b'', True, 0)
    call = wire.decode_request(head)
    assert build(route).match(call.host, call.path).name == 'r'


@pytest.mark.parametrize('digits', ['\u00b2', '9' * 400, '9' * 5000])
def test_odd_number_of_a_caller_is_no_time_limit(digits):
    """Guards against a request that fails because of one of its headers."""
    harness = SteeringHarness(OK)
    assert harness.ask(**{'x-currantmast-deadline-ms': digits}).status == 200


@pytest.mark.parametrize('digits', ['\u00b2', '9' * 400, '9' * 5000])
@pytest.mark.parametrize('name', ['Server-Load', 'Cold-Ms', 'Server-Limit'])
def test_odd_number_of_a_target_loses_no_answer(name, digits):
    """Guards against work that ran and whose answer a header turns into an error."""
    header = (f'X-Currantmast-{name}', f'{digits},{digits},{digits},{digits}')
    shorter = (header[0], digits)
    for odd in (header, shorter):
        assert SteeringHarness(make_answer(200, STAMP, odd)).ask().status == 200


@pytest.mark.parametrize('digits', ['\u00b2', '9' * 400, '9' * 5000])
def test_odd_keep_alive_of_a_target_loses_no_answer(digits):
    """Guards against the same in the parser of answers."""
    reader = AnswerReader(lambda _: True, 0, BufferedBytes())
    head = (
        f'HTTP/1.1 200 OK\r\nKeep-Alive: timeout={digits}\r\nContent-Length: 0\r\n\r\n'
    )
    reader.feed(head.encode('latin-1'))
    assert reader.answer.status == 200
    assert reader.idle_s == IDLE_TIMEOUT_S


@pytest.mark.parametrize('cold_ms', ['\u00b2', '9' * 400, '1.5.2', '-1', 'nan'])
def test_odd_health_answer_ends_no_probe(cold_ms):
    """Guards against a target that is never probed again after an odd answer."""
    headers = (
        ('X-Currantmast-Instance-Id', 't1'),
        ('X-Currantmast-Cold-Ms', cold_ms),
    )
    harness = SteeringHarness(make_answer(200, *headers))
    target = harness.state.targets.get('t1')
    target.ejection.begin()
    prober = Prober(harness.state, wire, harness.connections, harness.clock)
    prober.probe(target)
    assert not target.ejection


def test_health_path_of_any_letters_is_queried():
    """Guards against a service whose ejected targets never come back."""
    query = wire.encode_health_query('/gesund heit/ö', '127.0.0.1:9')
    assert b''.join(encode_request(query)).startswith(b'GET /gesund%20heit/%C3%B6 HTTP')


def test_target_whose_id_no_header_can_carry_is_not_used():
    configure_regions({'fife-a': 'fife'})
    record = decode_target('a\r\nb', make_server(1, zone='fife-a'))
    assert isinstance(record, InvalidEntry)
