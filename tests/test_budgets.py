"""Tests of the budget shares that one instance holds."""

import pytest
from fleet import make_member
from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions.buckets import TokenBucket
from currantmast.decisions.budgets import ShareHolder, select_grants
from currantmast.decisions.ownership import choose_owner
from currantmast.messages import FleetRecord, HeartbeatAck, ShareGrant


def make_shares(rate=2, burst=4, tokens=0):
    clock = ManualClock()
    shares = ShareHolder(clock)
    shares.apply(ShareGrant('x', 1, 1, rate, burst, tokens))
    return clock, shares


def count_takes(shares, budget='x'):
    return sum(shares.take(budget) for _ in range(100))


def test_share_starts_empty_and_refills_to_its_burst():
    clock, shares = make_shares()
    assert count_takes(shares) == 0
    clock.advance(1)
    assert count_takes(shares) == 2
    clock.advance(60)
    assert count_takes(shares) == 4


def test_reduction_truncates_and_increase_adds_nothing():
    clock, shares = make_shares()
    clock.advance(60)
    shares.apply(ShareGrant('x', 1, 2, 2, 1))
    # The three dropped tokens are returned to the owner with the report.
    assert shares.list_held()[0].returned == 3
    shares.apply(ShareGrant('x', 1, 3, 2, 4))
    assert count_takes(shares) == 1


def test_refill_before_a_change_of_rate_uses_the_old_rate():
    clock, shares = make_shares(rate=1)
    clock.advance(2)
    shares.apply(ShareGrant('x', 1, 2, 100, 4))
    assert count_takes(shares) == 2


@pytest.mark.parametrize('order', [(1, 1), (1, 0), (0, 9)])
def test_old_and_repeated_grants_are_ignored(order):
    _, shares = make_shares(tokens=1)
    assert not shares.apply(ShareGrant('x', *order, 9, 9, 9))
    shares.drop_all()
    assert not shares.list_held()
    # Guards against a late copy of a grant that adds its tokens again after a rejoin.
    assert not shares.apply(ShareGrant('x', *order, 9, 9, 9))
    assert shares.apply(ShareGrant('x', 2, 0, 9, 9))


def test_demand_counts_refused_attempts_and_decays():
    clock, shares = make_shares(rate=0, burst=0)
    for _ in range(100):
        clock.advance(0.1)
        shares.take('y')
    demand = shares.list_demands()[0]
    assert demand.budget == 'y'
    assert 9 < demand.rate < 11
    clock.advance(60)
    assert shares.list_demands() == ()


def test_wait_tells_when_the_share_suffices():
    clock, shares = make_shares(rate=2, burst=4)
    assert shares.get_wait('x', 3) == 1.5
    assert shares.get_wait('x', 5) == float('inf')
    assert shares.get_wait('y') == float('inf')
    clock.advance(1.5)
    assert shares.get_wait('x', 3) == 0


steps = st.lists(st.tuples(st.sampled_from('tkga'), st.integers(1, 3)), max_size=25)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(steps)
def test_giving_back_never_leaves_more_than_without_the_take(entries):
    # Guards against a burst that is used twice: tokens that are given back after the
    # bucket has refilled would add to the refilled ones.
    clock = ManualClock()
    bucket, untouched = TokenBucket(clock), TokenBucket(clock)
    for one in (bucket, untouched):
        one.resize(1, 4)
    taken = []
    for step, amount in entries:
        if step == 'a':
            clock.advance(amount * 0.7)
        elif step == 't' and bucket.take(amount):
            untouched.take(amount)
        elif step == 'k' and bucket.take(amount):
            taken.append((clock.now(), amount))
        elif step == 'g' and taken and clock.now() - taken[-1][0] < 5:
            bucket.give_back(taken.pop()[1])
        assert bucket.count() <= untouched.count() + 1e-9


@pytest.mark.parametrize(
    'changes',
    [{}, {'epoch': 4}, {'epoch': 6}, {'echoed_incarnation': 'z'}]
    + [{'incarnation': 'z'}, {'sender': 'other'}],
)
def test_grants_count_from_the_owner_under_the_own_epoch_only(changes):
    # Guards against a late grant of an earlier owner that enlarges a share which the
    # new owner has already counted.
    record = FleetRecord(5, tuple(make_member(name) for name in ('a', 'b', 'c')))
    owner = choose_owner(record, 'x').id
    other = next(one.id for one in record.members if one.id != owner)
    fields = {'sender': owner, 'incarnation': 'x', 'epoch': 5, 'version': 1}
    fields |= {'echoed_incarnation': 'me', 'echoed_sent_at': 0, 'renews': True}
    fields |= {
        key: other if value == 'other' else value for key, value in changes.items()
    }
    grant = ShareGrant('x', 5, 1, 1, 1)
    selected = select_grants(HeartbeatAck(**fields, grants=(grant,)), record, 'me')
    assert selected == (() if changes else (grant,))
