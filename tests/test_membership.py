"""Tests of fleet record changes, lease expiry and removal of silent members."""

import msgspec
import pytest
from fleet import make_member

from currantmast.clocks import ManualClock
from currantmast.decisions.membership import (
    IncarnationReused,
    MembershipTracker,
    MemberUnknown,
    add_member,
    choose_witnesses,
    mark_leaving,
    may_renew_lease,
    remove_member,
)
from currantmast.deployment import Timing
from currantmast.messages import FleetRecord, Heartbeat, WitnessSet

# Time from a blocking set to certain expiry: lease_s x 1.05 + 0.25 s.
EXPIRY_WAIT_S = 3.4


def make_record(names='abcde'):
    record = FleetRecord(0)
    for name in names:
        record = add_member(record, make_member(name))
    return record


def make_tracker(record, self_id='a'):
    clock = ManualClock()
    tracker = MembershipTracker(clock, Timing(), self_id, 'x')
    tracker.adopt_record(record)
    return clock, tracker


def receive_heartbeats(tracker, names, epoch, incarnation='x', silent=''):
    for name in names:
        heartbeat = Heartbeat(name, incarnation, epoch, 1, 0, silent=tuple(silent))
        tracker.observe_heartbeat(heartbeat)


def test_each_change_adds_one_epoch_and_keeps_order():
    record = make_record('ba')
    assert record.epoch == 2
    assert [member.id for member in record.members] == ['a', 'b']
    leaving = mark_leaving(record, 'a')
    assert leaving.epoch == 3
    assert [member.leaving for member in leaving.members] == [True, False]
    with pytest.raises(MemberUnknown, match='epoch 3 does not list z'):
        remove_member(leaving, 'a', 'z')


def test_removal_and_replacement_leave_departures():
    record = remove_member(make_record(), 'b', 'c')
    assert record.epoch == 6
    record = add_member(record, make_member('d', 'y'))
    departed = [(one.member.id, one.epoch) for one in record.departures]
    assert departed == [('b', 6), ('c', 6), ('d', 7)]
    # Guards against a removed incarnation that rejoins: its departure would expire
    # the lease of the new member.
    with pytest.raises(IncarnationReused):
        add_member(record, make_member('b'))


def test_past_witnesses_end_with_the_previous_epoch():
    record = mark_leaving(make_record('ab'), 'a')
    assert record.past_witnesses == (
        WitnessSet(1, ('a',)),
        WitnessSet(2, ('a', 'b')),
    )
    assert mark_leaving(record, 'b').past_witnesses[1].last_epoch == 3


def test_witnesses_spread_over_regions_and_failure_domains():
    members = [
        make_member(f'{region}{domain}{number}', 'x', region, f'{region}{domain}')
        for region in 'pqr'
        for domain in '12'
        for number in range(4)
    ]
    witnesses = choose_witnesses(members)
    assert len(witnesses) == 9
    assert {name[0] for name in witnesses} == set('pqr')
    assert all(sum(name[0] == one for name in witnesses) == 3 for one in 'pqr')
    assert {name[:2] for name in witnesses} == {'p1', 'p2', 'q1', 'q2', 'r1', 'r2'}
    leaving = msgspec.structs.replace(members[0], leaving=True)
    assert leaving.id not in choose_witnesses([leaving, *members[1:]])


@pytest.mark.parametrize(
    ('self_id', 'incarnation', 'sender', 'epoch', 'expected'),
    [
        ('a', 'x', 'b', 5, True),
        ('a', 'x', 'b', 4, False),
        ('a', 'y', 'b', 5, False),
        ('a', 'x', 'z', 5, False),
        ('z', 'x', 'b', 5, False),
    ],
)
def test_witness_renews_under_its_own_epoch_only(
    self_id, incarnation, sender, epoch, expected
):
    heartbeat = Heartbeat(sender, 'x', epoch, 1, 0)
    record = make_record()
    assert may_renew_lease(record, self_id, incarnation, heartbeat) is expected
    assert not may_renew_lease(None, self_id, incarnation, heartbeat)


def test_expiry_needs_a_blocking_set_and_the_lease_time():
    clock, tracker = make_tracker(make_record())
    receive_heartbeats(tracker, 'bcde', 5)
    removed = remove_member(make_record(), 'e')
    tracker.adopt_record(removed)
    receive_heartbeats(tracker, 'b', 6)
    receive_heartbeats(tracker, 'cd', 5)
    clock.advance(60)
    # Two of five witnesses have confirmed: the other three may still renew e's lease.
    assert not tracker.has_expired('e', 'x')
    receive_heartbeats(tracker, 'c', 6)
    clock.advance(EXPIRY_WAIT_S - 0.01)
    assert not tracker.has_expired('e', 'x')
    assert len(tracker.list_unexpired()) == 5
    clock.advance(0.02)
    assert tracker.has_expired('e', 'x')
    assert tracker.list_unexpired() == removed.members


def test_survivor_of_two_members_can_expire_the_other():
    clock, tracker = make_tracker(remove_member(make_record('ab'), 'b'))
    clock.advance(EXPIRY_WAIT_S + 0.01)
    assert tracker.has_expired('b', 'x')


def test_earlier_epochs_matter_unless_the_member_reported_a_later_one():
    # Epochs up to 6 have the witnesses x, y and e, of which none confirms epoch 8. They
    # matter if e last reported epoch 5, but not if it reported epoch 7.
    record = make_record()
    for name in 'fg':
        record = add_member(record, make_member(name))
    names = 'abcdefg'
    late = msgspec.structs.replace(
        record, past_witnesses=(WitnessSet(6, ('x', 'y', 'e')),)
    )
    for reported, expected in ((5, False), (7, True)):
        clock, tracker = make_tracker(late)
        receive_heartbeats(tracker, 'e', reported)
        tracker.adopt_record(remove_member(late, 'e'))
        receive_heartbeats(tracker, names.replace('e', ''), 8)
        clock.advance(EXPIRY_WAIT_S + 0.01)
        assert tracker.has_expired('e', 'x') is expected


def test_new_incarnation_confirms_epochs_and_expires_the_old_one():
    record = remove_member(make_record('abc'), 'b', 'c')
    clock, tracker = make_tracker(record)
    clock.advance(60)
    assert not tracker.has_expired('b', 'x')
    tracker.adopt_record(add_member(record, make_member('c', 'y')))
    receive_heartbeats(tracker, 'c', 5, incarnation='y')
    clock.advance(EXPIRY_WAIT_S + 0.01)
    assert tracker.has_expired('b', 'x')
    assert tracker.has_expired('c', 'x')
    assert not tracker.has_expired('c', 'y')


def test_new_instance_does_not_expire_a_cut_off_majority_of_earlier_witnesses():
    # Guards against taking over from cut-off members whose leases are still valid.
    # b and c are cut off together and renew each other's lease in epoch 3. a stays;
    # d and e join, so that b and c are a minority of the witnesses and are removed.
    record = make_record('abc')
    for name in 'de':
        record = add_member(record, make_member(name))
    record = remove_member(record, 'b', 'c')
    clock, tracker = make_tracker(add_member(record, make_member('f')), 'f')
    receive_heartbeats(tracker, 'ade', 7)
    clock.advance(60)
    # All witnesses of the newest epoch have confirmed it; b's lease may still be valid.
    assert not tracker.has_expired('b', 'x')
    receive_heartbeats(tracker, 'c', 7, incarnation='y')
    clock.advance(EXPIRY_WAIT_S + 0.01)
    assert tracker.has_expired('b', 'x')


def test_member_that_the_record_has_dropped_counts_as_expired():
    record = remove_member(make_record(), 'e')
    _, tracker = make_tracker(make_record())
    tracker.adopt_record(msgspec.structs.replace(record, departures=()))
    assert tracker.has_expired('e', 'x')
    assert not tracker.has_expired('unknown', 'x')


def test_prune_keeps_what_may_still_be_needed():
    record = remove_member(make_record(), 'e')
    clock, tracker = make_tracker(record)
    receive_heartbeats(tracker, 'bc', 6)
    receive_heartbeats(tracker, 'd', 5)
    clock.advance(EXPIRY_WAIT_S + 0.01)
    pruned = tracker.prune(mark_leaving(record, 'b'))
    # d may still be in epoch 5 and use its witnesses.
    assert [past.last_epoch for past in pruned.past_witnesses] == [5, 6]
    assert not pruned.departures
    receive_heartbeats(tracker, 'd', 6)
    pruned = tracker.prune(mark_leaving(record, 'b'))
    assert [past.last_epoch for past in pruned.past_witnesses] == [6]


def test_lowest_live_member_removes_first_and_others_later():
    chosen = {}
    for self_id in 'bcd':
        clock, tracker = make_tracker(make_record(), self_id)
        clock.advance(2)
        receive_heartbeats(tracker, 'bcde', 5, silent='a')
        clock.advance(1.5)
        chosen[self_id] = [tracker.choose_removals(self_id)]
        clock.advance(1)
        receive_heartbeats(tracker, 'bcde', 5, silent='a')
        chosen[self_id].append(tracker.choose_removals(self_id))
    assert chosen == {'b': [('a',)] * 2, 'c': [(), ('a',)], 'd': [(), ()]}


def test_member_that_hears_too_few_witnesses_removes_nobody():
    # Guards against a member that is cut off from its peers but not from the store,
    # and removes all the others.
    clock, tracker = make_tracker(make_record())
    clock.advance(4)
    receive_heartbeats(tracker, 'b', 5, silent='cde')
    assert tracker.choose_removals('a') == ()
    receive_heartbeats(tracker, 'c', 5, silent='de')
    assert tracker.choose_removals('a') == ('d', 'e')


def test_two_regions_that_lose_each_other_remove_nobody():
    # Guards against a partition between two regions that makes one of them remove the
    # healthy members of the other repeatedly, while a third region hears both.
    clock, tracker = make_tracker(make_record())
    clock.advance(4)
    receive_heartbeats(tracker, 'b', 5, silent='de')
    receive_heartbeats(tracker, 'c', 5)
    clock.advance(0.5)
    assert tracker.list_silent() == ('d', 'e')
    receive_heartbeats(tracker, 'bc', 5)
    assert tracker.choose_removals('a') == ()
    receive_heartbeats(tracker, 'bc', 5, silent='d')
    assert tracker.choose_removals('a') == ('d',)


def test_history_is_bounded():
    record = make_record('ab')
    _, tracker = make_tracker(record)
    for number in range(3000):
        record = add_member(record, make_member('b', f'run{number}'))
        record = msgspec.structs.replace(record, departures=record.departures[-2:])
        tracker.adopt_record(record)
        receive_heartbeats(tracker, 'b', record.epoch, incarnation=f'run{number}')
    assert len(msgspec.msgpack.encode(record)) < 2000
    assert len(tracker.list_unexpired()) == 4
