"""Tests of leases: when they become valid and when they end."""

import pytest
from fleet import make_member
from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions.leases import Lease
from currantmast.messages import FleetRecord

LEASE_S = 3
WITNESSES = ('a', 'b', 'c', 'd', 'e')


def make_record(epoch=1, incarnation='x', witnesses=WITNESSES):
    members = tuple(make_member(name, incarnation) for name in 'abcdef')
    return FleetRecord(epoch, members, witnesses)


def make_lease(self_id='f', record=None):
    clock = ManualClock(start=100)
    lease = Lease(clock, LEASE_S)
    lease.adopt_record(record or make_record(), self_id, 'x')
    return clock, lease


def test_majority_renews_from_its_send_time():
    clock, lease = make_lease()
    for witness, sent_at in (('a', 99), ('b', 98), ('a', 97)):
        lease.observe_ack(witness, 1, sent_at)
    assert not lease.is_valid()
    lease.observe_ack('c', 1, 99.5)
    # Guards against counting the lease from the newest or the last acknowledgement
    # instead of from the oldest one that the majority needs.
    assert lease.expires_at() == 98 + LEASE_S
    clock.advance(1)
    assert not lease.is_valid()


def test_sole_witness_needs_the_store():
    # Guards against a removed sole witness that renews its own lease forever.
    _, lease = make_lease('a', make_record(witnesses=('a',)))
    assert not lease.is_valid()
    lease.observe_store_read(99)
    assert lease.is_valid()


def test_own_witness_counts_as_acknowledging_now():
    _, lease = make_lease(self_id='a')
    lease.observe_ack('b', 1, 99)
    assert not lease.is_valid()
    lease.observe_ack('c', 1, 98)
    assert lease.expires_at() == 98 + LEASE_S


@pytest.mark.parametrize(
    ('witness', 'epoch', 'sent_at', 'incarnation'),
    [('c', 0, 99, 'x'), ('c', 2, 99, 'x'), ('f', 1, 99, 'x'), ('c', 1, 101, 'x')]
    + [('c', 1, 99, 'other')],
)
def test_acknowledgements_that_do_not_count(witness, epoch, sent_at, incarnation):
    _, lease = make_lease()
    lease.observe_ack('a', 1, 99)
    lease.observe_ack('b', 1, 99)
    lease.observe_ack(witness, epoch, sent_at, incarnation)
    assert lease.explain() == 'never renewed'


def test_renewal_outlives_the_adoption_of_a_record_that_lists_the_member():
    _, lease = make_lease()
    for witness in 'abc':
        lease.observe_ack(witness, 1, 99)
    lease.adopt_record(make_record(2), 'f', 'x')
    assert lease.expires_at() == 99 + LEASE_S
    # Acknowledgements of the earlier epoch don't count towards a new renewal.
    lease.observe_ack('a', 2, 100)
    lease.observe_ack('b', 2, 100)
    assert lease.expires_at() == 99 + LEASE_S
    lease.adopt_record(make_record(3, incarnation='y'), 'f', 'x')
    assert lease.explain() == 'not listed in epoch 3'
    lease.adopt_record(make_record(2), 'f', 'x')
    assert not lease.is_valid()


def test_store_read_renews_only_a_listed_member():
    clock, lease = make_lease()
    lease.observe_store_read(99)
    lease.observe_store_read(200)
    assert lease.expires_at() == 99 + LEASE_S
    unlisted = Lease(clock, LEASE_S)
    unlisted.observe_store_read(99)
    assert unlisted.explain() == 'no fleet record adopted'
    unlisted.adopt_record(make_record(), 'f', 'other')
    unlisted.observe_store_read(99)
    assert not unlisted.is_valid()


def test_missing_configuration_ends_the_lease():
    clock, lease = make_lease()
    lease.set_version(4)
    lease.observe_version(5)
    clock.advance(2)
    lease.observe_version(6)
    lease.observe_store_read(clock.now())
    assert lease.expires_at() == 100 + LEASE_S
    lease.set_version(5)
    # Version 6 became known at 102 s.
    assert lease.expires_at() == 102 + LEASE_S
    clock.advance(3)
    lease.observe_store_read(clock.now())
    assert lease.explain() == 'version 6 known, 5 held'
    lease.set_version(6)
    assert lease.is_valid()


acks = st.tuples(
    st.sampled_from('abcdef'), st.integers(0, 2), st.floats(90, 110, allow_nan=False)
)


@settings(derandomize=True, deadline=None)
@given(st.lists(acks, max_size=30))
def test_renewal_needs_a_majority_that_acknowledged_it_or_later(entries):
    _, lease = make_lease()
    for entry in entries:
        lease.observe_ack(*entry)
    renewed_at = lease.expires_at() - LEASE_S
    counted = {
        witness
        for witness, epoch, sent_at in entries
        if witness in WITNESSES and epoch == 1 and renewed_at <= sent_at <= 100
    }
    assert renewed_at == float('-inf') or len(counted) >= 3
