"""Fleet membership, heartbeats, and renewal of the configuration lease by peers."""

import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.freshness import Confirmation, Freshness
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.members import Members, choose_lookup_instances
from currantmast.direct.model import Bounds, InstanceRecord, Location
from currantmast.direct.removals import list_removable
from currantmast.direct.reports import (
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
    keep_largest,
)
from currantmast.direct.storehealth import StoreContact
from currantmast.messages import Address


def make_record(name, domain='fife-a'):
    location = Location(domain.partition('-')[0], domain)
    return InstanceRecord(
        name, 'run', location, Address('127.0.0.1', 1), Address('127.0.0.1', 2)
    )


def make_heartbeat(name, sent_at, **fields):
    settings = {'ready': True, 'leaving': False, **fields}
    return Heartbeat(name, fields.pop('incarnation', 'run'), sent_at, **settings)


@pytest.fixture
def clock():
    return ManualClock(100)


@pytest.fixture
def members(clock):
    found = Members(make_record('b'), clock)
    for name in ('a', 'c', 'd'):
        found.put(make_record(name))
    found.update_entries()
    return found


def list_ids(records):
    return [record.id for record in records]


def test_silent_member_is_not_listed_as_ready(members, clock):
    """Guards against look-ups that return a dead or leaving instance."""
    members.observe(make_heartbeat('a', 1))
    members.observe(make_heartbeat('c', 1, leaving=True))
    assert list_ids(members.list_ready()) == ['a']
    clock.advance(1.6)
    assert members.list_ready() == ()


def test_late_and_repeated_heartbeats_are_ignored(members):
    assert members.observe(make_heartbeat('a', 2, loads={'t': 1}))
    assert not members.observe(make_heartbeat('a', 1, loads={'t': 9}))
    assert not members.observe(make_heartbeat('a', 2, loads={'t': 9}))
    assert members.reports.sum_loads() == {'t': 1}


def test_heartbeat_of_a_new_run_with_an_earlier_clock_is_accepted(members):
    members.observe(make_heartbeat('a', 50))
    restarted = Heartbeat('a', 'run-2', 1.0, ready=True, leaving=False)
    assert members.observe(restarted)


def test_only_the_living_member_with_the_smallest_id_removes_others(members, clock):
    """Guards against racing removals, and against removal before the lease expired."""
    clock.advance(7)
    members.observe(make_heartbeat('c', 1))
    assert list_removable(members) == ()
    clock.advance(1.2)
    assert list_ids(list_removable(members)) == ['a', 'd']
    members.observe(make_heartbeat('a', 1))
    assert list_removable(members) == ()


def test_lookup_prefers_the_region_of_the_caller_and_is_never_empty():
    own = make_record('o', 'skye-a')
    ready = [make_record('a', 'fife-b'), make_record('b'), make_record('c', 'skye-a')]
    assert list_ids(choose_lookup_instances(own, ready, 'fife', 'fife-a')) == ['b', 'a']
    assert list_ids(choose_lookup_instances(own, ready, 'uist', 'uist-a')) == [
        'a',
        'b',
        'c',
    ]
    assert list_ids(choose_lookup_instances(own, [], 'fife', 'fife-a')) == ['o']


@pytest.mark.parametrize(
    'payload',
    [b'', b'\x00', b'\xc1' * 50, b'[]', encode_heartbeat(make_heartbeat('a', 1))[:9]],
)
def test_malformed_datagram_is_rejected(payload):
    assert decode_heartbeat(payload) is None


def test_heartbeat_round_trip_keeps_all_fields():
    heartbeat = make_heartbeat(
        'a', 1.5, demands={'t': 0.5}, confirmation=Confirmation(3, 'run', 2.0, -1)
    )
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


def test_only_the_largest_entries_are_kept():
    assert keep_largest({'a': 1, 'b': 3, 'c': 2}, 2) == {'b': 3, 'c': 2}


def test_peer_renews_the_lease_only_up_to_its_own_read(clock):
    """Guards against a lease renewed for too long by a delayed message.

    The heartbeat was sent at 98 and arrived at an unknown time. The peer had sent its
    read 1 s before the arrival, so the read confirms nothing later than 97.
    """
    freshness = Freshness(clock)
    assert freshness.confirm_by_peer(Confirmation(5, 'run', 98, -1), local_version=5)
    assert freshness.confirmed_at == 97
    assert freshness.confirm_by_peer(Confirmation(5, 'run', 98, 30), local_version=5)
    assert freshness.confirmed_at == 98


@pytest.mark.parametrize('version', [0, 4, 6])
def test_peer_with_another_version_does_not_renew_the_lease(clock, version):
    freshness = Freshness(clock)
    confirmation = Confirmation(version, 'run', 99, 0)
    assert not freshness.confirm_by_peer(confirmation, local_version=5)
    assert not freshness.is_valid(5)


def test_lease_expires_before_withdrawn_keys_must_stop_working(clock):
    freshness = Freshness(clock)
    freshness.confirm(clock.now())
    clock.advance(4.2)
    assert freshness.is_valid(5)
    clock.advance(0.2)
    assert not freshness.is_valid(5)


def test_heartbeats_tell_whether_the_store_answers(clock):
    """Guards against a cut-off instance that takes its own outage for the store's."""
    state = InstanceState(make_record('a'), Bounds(), clock)
    with HeartbeatSocket(Address('127.0.0.1', 0), state, clock) as heartbeat_socket:
        assert heartbeat_socket._make_brief().store is None
        state.store_health.note_success()
        clock.advance(9)
        state.store_health.note_success()
        clock.advance(1)
        told = decode_heartbeat(encode_heartbeat(heartbeat_socket._make_brief()))
        assert told.store == StoreContact(since_s=10, answered_s=1)
        state.store_health.note_failure(clock.now())
        assert heartbeat_socket._make_brief().store is None


def test_new_run_is_answered_at_once(clock):
    """Guards against a start that waits for the next period of its peers."""
    state = InstanceState(make_record('a'), Bounds(), clock)
    state.members.put(make_record('b'))
    state.members.put(make_record('c'))
    answered = []
    with HeartbeatSocket(Address('127.0.0.1', 0), state, clock) as heartbeat_socket:
        heartbeat_socket._send_to = lambda peer, heartbeat: answered.append(peer.id)
        for run, sent_at in (('run 1', 1), ('run 1', 2), ('run 2', 1), ('run 2', 2)):
            heartbeat_socket._handle_heartbeat(
                Heartbeat('b', run, sent_at, True, False)
            )
    assert answered == ['b', 'b']
