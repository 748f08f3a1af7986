"""Tests of handover: a new owner acts only when no earlier owner still can."""

import msgspec
from fleet import make_member
from test_membership import EXPIRY_WAIT_S, make_record, make_tracker, receive_heartbeats

from currantmast.decisions.handover import RECORD_LIMIT, Handover, must_reopen_ledger
from currantmast.decisions.membership import add_member, mark_leaving, remove_member
from currantmast.decisions.ownership import choose_owner

KEYS = tuple(f'key:{number}' for number in range(40))


def make_handover(record, self_id='a'):
    clock, tracker = make_tracker(record, self_id)
    handover = Handover(tracker)
    handover.adopt_record(record)
    receive_heartbeats(tracker, [member.id for member in record.members], record.epoch)
    return clock, tracker, handover


def adopt(tracker, handover, record):
    tracker.adopt_record(record)
    handover.adopt_record(record)


def list_keys_of(record, member_id):
    return [key for key in KEYS if choose_owner(record, key).id == member_id]


def is_handed_over(handover, keys):
    return {handover.is_handed_over(key) for key in keys}


def test_key_is_handed_over_when_its_previous_owner_has_confirmed():
    record = make_record('abc')
    _, tracker, handover = make_handover(record)
    assert is_handed_over(handover, KEYS) == {True}
    adopt(tracker, handover, mark_leaving(record, 'c'))
    moved_keys = list_keys_of(record, 'c')
    assert handover.get_previous_owner(moved_keys[0]).id == 'c'
    assert is_handed_over(handover, moved_keys) == {False}
    # Keys that a owned before wait for its own confirmation only.
    assert is_handed_over(handover, list_keys_of(record, 'a')) == {True}
    receive_heartbeats(tracker, 'c', record.epoch + 1)
    assert is_handed_over(handover, moved_keys) == {True}


def test_key_is_handed_over_when_its_previous_owner_has_expired():
    record = make_record('abc')
    clock, tracker, handover = make_handover(record)
    adopt(tracker, handover, remove_member(record, 'c'))
    receive_heartbeats(tracker, 'b', record.epoch + 1)
    moved_keys = list_keys_of(record, 'c')
    clock.advance(EXPIRY_WAIT_S - 0.01)
    assert is_handed_over(handover, moved_keys) == {False}
    clock.advance(0.02)
    assert is_handed_over(handover, moved_keys) == {True}


def test_owner_of_an_epoch_in_between_matters():
    record = make_record('ab')
    _, tracker, handover = make_handover(record)
    joined = add_member(record, make_member('c'))
    left = mark_leaving(joined, 'c')
    adopt(tracker, handover, joined)
    adopt(tracker, handover, left)
    receive_heartbeats(tracker, 'b', left.epoch)
    joined_keys = list_keys_of(joined, 'c')
    # c may have adopted the record in which it joined, and act on its keys.
    assert is_handed_over(handover, joined_keys) == {False}
    receive_heartbeats(tracker, 'c', left.epoch)
    assert is_handed_over(handover, joined_keys) == {True}


def test_first_record_waits_for_all_members_and_departed_ones():
    record = add_member(remove_member(make_record('abc'), 'c'), make_member('f'))
    clock, tracker = make_tracker(record, 'f')
    handover = Handover(tracker)
    assert not handover.is_handed_over(KEYS[0])
    handover.adopt_record(record)
    receive_heartbeats(tracker, 'a', record.epoch)
    clock.advance(EXPIRY_WAIT_S)
    assert is_handed_over(handover, KEYS) == {False}
    receive_heartbeats(tracker, 'b', record.epoch)
    assert is_handed_over(handover, KEYS) == {False}
    clock.advance(EXPIRY_WAIT_S + 0.01)
    assert is_handed_over(handover, KEYS) == {True}


def test_gap_in_the_epochs_waits_for_all():
    record = make_record('abc')
    _, tracker, handover = make_handover(record)
    later = msgspec.structs.replace(record, epoch=record.epoch + 2)
    adopt(tracker, handover, later)
    # The owners of the keys in the missed epoch are unknown.
    assert is_handed_over(handover, list_keys_of(record, 'a')) == {False}
    receive_heartbeats(tracker, 'bc', later.epoch)
    assert is_handed_over(handover, KEYS) == {True}


def test_dropped_records_are_still_waited_for():
    record = make_record('abc')
    _, tracker, handover = make_handover(record)
    adopt(tracker, handover, mark_leaving(record, 'c'))
    receive_heartbeats(tracker, 'ab', record.epoch + 1)
    for epoch in range(record.epoch + 2, record.epoch + RECORD_LIMIT + 4):
        changed = msgspec.structs.replace(mark_leaving(record, 'c'), epoch=epoch)
        adopt(tracker, handover, changed)
        receive_heartbeats(tracker, 'ab', epoch)
    assert is_handed_over(handover, list_keys_of(record, 'c')) == {False}
    receive_heartbeats(tracker, 'c', epoch)
    assert is_handed_over(handover, KEYS) == {True}


def test_owner_reopens_its_ledger_unless_it_owned_the_key_directly_before():
    record = make_record('abc')
    key = list_keys_of(record, 'a')[0]
    following = add_member(record, make_member('a', 'y'))
    assert must_reopen_ledger(None, record, key, 'a')
    assert not must_reopen_ledger(record, mark_leaving(record, 'b'), key, 'a')
    assert must_reopen_ledger(record, following, key, 'a')
    skipped = msgspec.structs.replace(record, epoch=record.epoch + 2)
    assert must_reopen_ledger(record, skipped, key, 'a')
    taken = list_keys_of(record, 'b')[0]
    assert must_reopen_ledger(record, mark_leaving(record, 'b'), taken, 'a')
