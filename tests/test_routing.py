from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions.links import CHUNK_BYTES, LinkReservation
from currantmast.decisions.routing import (
    REPORT_MAX_AGE_S,
    Headroom,
    OwnerView,
    Route,
    Router,
    RouteRequest,
    count_headroom,
)
from currantmast.deployment import Link, Policy, PolicyKind
from currantmast.outcomes import NotRun, Reason

LINKS = tuple(
    Link(source, destination, 280, 55)
    for source, destination in ('ab', 'ba', 'ac', 'ca', 'bc', 'cb')
)
REQUEST = RouteRequest('s', 'team', 'a', 'a', deadline_s=1)


def make_router(kind=PolicyKind.adaptive):
    return Router(Policy(kind=kind), ManualClock(), LINKS, seed=1)


@pytest.mark.parametrize(
    ('views', 'tried', 'expected'),
    (
        ('a1=1/3 b1=9/9', (), 'a1 home'),
        ('a1=0/3 b1=9/9', (), 'b1 spill'),
        ('a1=0/3 b1=1/10', (), 'a1 queue'),
        ('a1=0/3 b1=0/9', ('x',), Reason.no_capacity),
        ('a1=1/3 b1=9/9', ('a1',), 'b1 spill'),
        ('a1=3/3@2.1 b1=9/9', (), 'b1 spill'),
        ('a1=3/3@2.1 b1=9/9@2.1', (), 'a1 queue'),
        ('a1=3/3-3 b1=9/9', (), 'b1 spill'),
        ('a1=0/0 b1=0/9', (), 'b1 queue'),
        ('a1=0/0', (), Reason.no_capacity),
        ('', (), Reason.no_capacity),
        ('d1=9/9', (), Reason.deadline),
    ),
)
def test_home_region_then_spillover_then_queue(views, tried, expected):
    """Guards against needless spillover and against overload of another region.

    Views are written ``<owner>=<free>/<usable>[@<age>][-<in-flight delta>]``.
    """
    request = RouteRequest('s', 'team', 'a', 'a', 1, tried=tried)
    match make_router().choose_owner(request, map(parse_view, views.split())):
        case Route(owner_id, reason=reason):
            assert f'{owner_id} {reason}' == expected
        case NotRun(reason):
            assert reason == expected


def parse_view(text):
    name, rest = text.split('=')
    rest, _, sent = rest.partition('-')
    rest, _, age = rest.partition('@')
    free, usable = map(int, rest.split('/'))
    age_s, in_flight_delta = float(age or 0), int(sent or 0)
    return OwnerView(name, name[0], free, usable, 0, age_s, in_flight_delta)


def test_deadline_excludes_far_regions_and_large_bodies():
    """Guards against requests sent to owners that can't answer before the deadline."""
    views = (parse_view('a1=0/3'), parse_view('b1=9/9'))
    for request in (
        RouteRequest('s', 'team', 'a', 'a', 0.1),
        RouteRequest('s', 'team', 'a', 'a', 1, body_bytes=50_000_000),
    ):
        assert make_router().choose_owner(request, views).reason == 'queue'
        obstacles = [score.obstacle for score in make_router().explain(request, views)]
        assert obstacles == ['', 'too far for the deadline']


def test_plain_policy_is_round_robin_at_any_load():
    """Guards against a plain policy that reads load reports.

    It is the baseline that the adaptive policy is compared with.
    """
    router = make_router(PolicyKind.plain)
    views = [parse_view(text) for text in ('a1=0/3', 'a2=3/3', 'b1=9/9')]
    owners = [router.choose_owner(REQUEST, views).owner_id for _ in range(4)]
    assert Counter(owners) == {'a1': 2, 'a2': 2}


def test_entries_spread_over_equal_owners():
    """Guards against all entries sending to the same owner until its next report."""
    views = [parse_view(f'a{number}=3/9') for number in range(3)]
    routers = [Router(Policy(), ManualClock(), LINKS, seed) for seed in range(90)]
    owners = Counter(router.choose_owner(REQUEST, views).owner_id for router in routers)
    assert max(owners.values()) < 60


def test_headroom_counts_recent_reports_only():
    """Guards against counting free slots of owners whose reports have stopped."""
    views = [parse_view(text) for text in ('b1=2/3@2.1', 'a1=3/3-1', 'a2=1/3-2')]
    assert count_headroom(views) == (
        Headroom('a', free=2, usable=6, queued=0),
        Headroom('b', free=0, usable=3, queued=0),
    )


VIEWS = st.lists(
    st.builds(
        OwnerView,
        st.uuids().map(str),
        st.sampled_from('abc'),
        st.integers(0, 4),
        st.integers(0, 4),
        st.integers(0, 9),
        st.sampled_from((0, 0.5, 1.9, 2.1)),
        st.integers(0, 4),
    ),
    max_size=6,
)


@settings(derandomize=True, database=None, max_examples=300)
@given(VIEWS, st.integers(0, 6))
def test_spillover_needs_a_full_home_region_and_a_free_slot(views, tried):
    """Guards against spillover to, or a retry in, a region without free slots."""
    excluded = tuple(view.member_id for view in views[:tried])
    request = RouteRequest('s', 'team', 'a', 'b', 1, tried=excluded)
    left = {view.member_id: view for view in views[tried:] if view.usable}
    route = make_router().choose_owner(request, views)
    if isinstance(route, NotRun):
        assert excluded or not left
        return
    chosen = left[route.owner_id]
    known_free = (
        chosen.age_s <= REPORT_MAX_AGE_S and chosen.free > chosen.in_flight_delta
    )
    assert known_free or not (excluded or route.reason == 'spill')
    if chosen.region != 'a':
        assert not any(
            view.count_free() for view in left.values() if view.region == 'a'
        )


class FakeShares:
    def __init__(self, left):
        self.left, self.refused = left, 0

    def take(self, budget, amount=1):
        assert budget == 'link:a>b'
        taken = amount <= self.left
        self.left -= amount if taken else 0
        return taken

    def give_back(self, budget, amount):
        self.left += amount


def test_link_tokens_are_reserved_and_unused_ones_returned():
    """Guards against bytes sent without tokens and tokens lost by broken transfers."""
    shares = FakeShares(CHUNK_BYTES + 10)
    with LinkReservation(shares, 'a', 'b') as link:
        assert link.reserve(10 * CHUNK_BYTES) == CHUNK_BYTES
        link.record_sent(100)
        assert link.reserve(11) == 0
    assert shares.left == CHUNK_BYTES + 10 - 100
    assert LinkReservation(shares, 'a', 'a').reserve(5) == 5
