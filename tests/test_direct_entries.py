"""Entry instances of a large fleet, and who sends heartbeats to whom."""

import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.entries import select_entries
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.members import Members
from currantmast.direct.model import Bounds, InstanceRecord, Location, Team
from currantmast.direct.queries import Queries
from currantmast.direct.removals import list_removable
from currantmast.direct.reports import Heartbeat, decode_heartbeat
from currantmast.direct.requests import LookupQuery
from currantmast.messages import Address

REGIONS = ('fife', 'skye', 'uist')
LARGE, SMALL = 2.15, 0.43


def make_record(name, domain, capacity=SMALL):
    location = Location(domain.partition('-')[0], domain)
    address = Address('127.0.0.1', 1)
    return InstanceRecord(name, 'run', location, address, address, capacity)


def make_fleet(large=3, small=18):
    """Return members of nine failure domains, a few large ones among many small ones."""
    return [
        make_record(f'{domain}-{number:02}', domain, capacity)
        for region in REGIONS
        for domain in (f'{region}-a', f'{region}-b', f'{region}-c')
        for number, capacity in enumerate([SMALL] * small + [LARGE] * large)
    ]


def observe(members, name, sent_at, **fields):
    members.observe(
        Heartbeat(name, 'run', sent_at, ready=True, leaving=False, **fields)
    )


def test_the_largest_members_of_each_domain_are_entry_instances():
    entries = select_entries(make_fleet())
    assert len(entries) == 27
    assert 'fife-a-20' in entries
    assert 'fife-a-00' not in entries


def test_small_member_is_no_entry_instance_beside_large_ones():
    """Guards against a small machine that gets as many callers as a large one.

    It falls behind with the configuration, too.
    """
    records = make_fleet(large=2, small=9)
    entries = select_entries(records)
    assert len(entries) == 18
    assert all(one.capacity == LARGE for one in records if one.id in entries)


def test_members_of_equal_capacity_are_entry_instances_in_part():
    entries = select_entries(make_fleet(large=0, small=20))
    assert len(entries) == 9 * 8


def test_all_members_of_a_small_fleet_are_entry_instances():
    records = make_fleet(large=0, small=2)
    assert len(select_entries(records)) == len(records)


def test_failed_member_is_replaced_within_its_domain():
    records = make_fleet()
    before = select_entries(records)
    after = select_entries(records, failed={'fife-a-18'})
    assert before - after == {'fife-a-18'}
    replacements = after - before
    assert 'fife-a-00' in replacements
    assert sum(SMALL for _ in replacements) >= 1.3
    assert all(name.startswith('fife-a') for name in replacements)


@pytest.fixture
def clock():
    return ManualClock(100)


def follow(own, records, clock):
    members = Members(own, clock)
    for record in records:
        members.put(record)
    members.update_entries()
    return members


def run_heartbeats(members, clock, ids, seconds):
    for _ in range(round(seconds / 0.5)):
        clock.advance(0.5)
        for name in ids:
            observe(members, name, clock.now())
        members.update_entries()


def test_dead_entry_instance_stays_replaced_until_it_is_heard(clock):
    """Guards against a dead member that is selected again and again."""
    records = make_fleet()
    members = follow(records[0], records, clock)
    local = [record.id for record in records if members.is_local(record)]
    heard = [name for name in local if name != 'fife-b-20']
    run_heartbeats(members, clock, local, 2)
    seen = set()
    for _ in range(20):
        run_heartbeats(members, clock, heard, 0.5)
        seen.add('fife-b-20' in members.entries)
        if len(seen) == 2:
            assert 'fife-b-20' not in members.entries
    assert 'fife-b-00' in members.entries
    run_heartbeats(members, clock, local, 0.5)
    assert 'fife-b-20' in members.entries
    assert 'fife-b-00' not in members.entries


def test_reserve_does_not_remove_members_that_it_never_hears(clock):
    """Guards against the removal of living reserves, which tell only entry instances."""
    records = make_fleet()
    reserve = follow(records[0], records, clock)
    entry = follow(records[18], records, clock)
    clock.advance(60)
    assert not list_removable(reserve)
    assert list_removable(entry)


def test_new_entry_instance_gives_reserves_time_to_report(clock):
    """Guards against a member that removes all reserves when it becomes an entry one."""
    records = make_fleet()
    members = follow(records[0], records, clock)
    local = [record.id for record in records if members.is_local(record)]
    entries = [name for name in local if name in members.entries]
    run_heartbeats(members, clock, entries, 30)
    heard = [name for name in entries if not name.startswith('fife-a')]
    run_heartbeats(members, clock, heard, 3)
    assert records[0].id in members.entries
    reserves = {record.id for record in records if record.id.endswith('-05')}
    assert not reserves & {record.id for record in list_removable(members)}


class Wire:
    def decode_lookup(self, inbound):
        return inbound

    def encode_lookup(self, addresses, ttl_s):
        return addresses


def test_lookup_names_no_reserve_while_an_entry_instance_lives(clock):
    records = make_fleet()
    state = make_state(records[0], records, clock)
    for record in records:
        if record.location.region == 'fife':
            observe(state.members, record.id, 1)
    named = Queries(state, Wire(), None).answer_lookup(LookupQuery('fife', 'fife-a'))
    assert len(named) == 9


def make_state(own, records, clock):
    state = InstanceState(own, Bounds(), clock)
    for record in records:
        state.members.put(record)
    state.members.update_entries()
    return state


def collect_receivers(own, records, clock, periods, demands=()):
    """Return the heartbeats that `own` sends, by receiver."""
    state = make_state(own, records, clock)
    for name in demands:
        team = Team(name, rate=5, burst=5)
        state.rate_limiter.replace_limits([team])
        state.rate_limiter.admit(team)
    sent = {}
    with HeartbeatSocket(Address('127.0.0.1', 0), state, clock) as heartbeats:
        send = heartbeats._send_to

        def record_receiver(peer, heartbeat):
            sent.setdefault(peer.id, []).append(heartbeat)
            send(peer, heartbeat)

        heartbeats._send_to = record_receiver
        for period in range(periods):
            heartbeats.send_heartbeats(period)
    return state, sent


def test_heartbeats_do_not_grow_with_the_square_of_the_fleet(clock):
    records = make_fleet()
    by_id = {record.id: record for record in records}
    total = 0
    for record in (records[0], records[18]):
        state, sent = collect_receivers(record, records, clock, 2)
        own_is_entry = record.id in state.members.entries
        count = sum(map(len, sent.values())) / 2
        total += count * (27 if own_is_entry else len(records) - 27)
        for name, heartbeats in sent.items():
            is_entry = name in state.members.entries
            local = by_id[name].location.region == 'fife'
            assert is_entry or local
            assert all(one.brief != (own_is_entry and is_entry) for one in heartbeats)
    assert total < 0.1 * len(records) ** 2


def test_reserve_that_serves_callers_tells_all_entry_instances(clock):
    """Guards against admissions that nobody counts."""
    records = make_fleet()
    state, sent = collect_receivers(records[0], records, clock, 2, demands=('schools',))
    assert set(state.members.entries.ids) <= set(sent)
    assert not any(one.brief for one in sent['skye-a-20'])


def test_brief_heartbeat_leaves_the_last_full_one_in_force(clock):
    members = Members(make_record('b', 'fife-a'), clock)
    members.put(make_record('a', 'fife-a'))
    observe(members, 'a', 1, loads={'t': 2})
    observe(members, 'a', 2, brief=True)
    assert members.reports.sum_loads() == {'t': 2}
    assert decode_heartbeat(b'') is None


def test_reserve_that_no_longer_serves_callers_freezes_no_shares(clock):
    """Guards against rates whose shares stay frozen, since a reserve went quiet.

    Its last full heartbeat told of demand, and it sends none to other regions any more.
    """
    records = make_fleet()
    state = make_state(records[18], records, clock)
    reserve = 'uist-c-03'
    observe(state.members, reserve, 1, demands={'schools': 0.1})
    assert reserve in {report.member for report in state.list_demands()}
    clock.advance(9)
    assert reserve not in {report.member for report in state.list_demands()}


def test_reserve_tells_all_entry_instances_that_its_demand_ended(clock):
    records = make_fleet()
    state, _ = collect_receivers(records[0], records, clock, 1, demands=('schools',))
    sent = []
    with HeartbeatSocket(Address('127.0.0.1', 0), state, clock) as heartbeats:
        heartbeats._send_to = lambda peer, heartbeat: sent.append((peer.id, heartbeat))
        heartbeats.send_heartbeats(0)
        clock.advance(2)
        state.rate_limiter.replace_limits([])
        sent.clear()
        heartbeats.send_heartbeats(0)
        told = {name for name, heartbeat in sent if not heartbeat.brief}
        assert 'uist-c-20' in told
        clock.advance(9)
        sent.clear()
        heartbeats.send_heartbeats(0)
        assert all(heartbeat.brief for _, heartbeat in sent)


def test_replacements_that_were_never_heard_do_not_stop_borrowing(clock):
    """Guards against refusals inside the rates while a whole region is lost.

    Its reserves are selected in turn for the entry instances that died, and none answers.
    """
    records = make_fleet()
    state = make_state(records[18], records, clock)
    state.members_listed_at = clock.now()
    lost = {record.id for record in records if record.location.region == 'uist'}
    heard = [record.id for record in records if record.id not in lost]
    first = state.members.entries.ids
    assert first - {records[18].id} == {one.member for one in state.list_demands()}
    run_heartbeats(state.members, clock, [*heard, *first], 1)
    for _ in range(24):
        run_heartbeats(state.members, clock, heard, 0.5)
        reports = state.list_demands()
        assert all(one.incarnation for one in reports)
