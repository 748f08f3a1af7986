"""What is kept for long, and what a newer configuration or entry changes of it."""

from collections import Counter

import pytest
from test_direct_exchanges import make_answer, open_target, send

from currantmast.clocks import BootClock
from currantmast.direct.coldstart import ColdStartLimit
from currantmast.direct.configurations import WeightedRoundRobin
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.model import (
    InstanceRecord,
    Location,
    Route,
    TargetRecord,
    WeightedService,
    WorkKind,
)
from currantmast.messages import Address

ADDRESS = Address('127.0.0.1', 9)


def make_split(name='r', prefix='/a/', **weights):
    services = tuple(WeightedService(*pair) for pair in weights.items())
    return Route(name, 'h', prefix, WorkKind.idempotent, services, 2, 1)


@pytest.mark.parametrize('scale', [0.01, 100])
def test_new_weights_hold_from_the_first_request(scale):
    """Guards against a backlog of the old weights that the new ones take long to undo."""
    picker = WeightedRoundRobin()
    for _ in range(3):
        picker.pick(make_split(a=70, b=30))
    split = make_split(a=0.5 * scale, b=0.5 * scale)
    counts = Counter(picker.pick(split).service for _ in range(20))
    assert counts == {'a': 10, 'b': 10}


def test_routes_of_one_name_are_split_by_their_own_weights():
    """Guards against routes without a name that share one count."""
    picker = WeightedRoundRobin()
    first = make_split('', '/a/', a=1, b=1)
    second = make_split('', '/b/', a=1, b=1)
    counts = Counter()
    for _ in range(20):
        counts[picker.pick(first).service] += 1
        picker.pick(second)
    assert counts == {'a': 10, 'b': 10}


def test_target_that_moved_gets_its_requests_at_the_new_address():
    """Guards against an idle connection to where another target may listen now."""
    connections = TargetConnections(BootClock())
    with open_target([make_answer('1')]) as old, open_target([make_answer('2')]) as new:
        old.pool = new.pool = connections
        assert send(old, '1').body == b'ok'
        assert send(new, '2').body == b'ok'
        assert len(old.requests) == 1
    connections.close_all_idle()


def test_target_that_moved_to_another_region_is_ranked_anew():
    """Guards against senders that differ by when an instance heard of the target first.

    Together they would send a cold target more than it bears.
    """
    members = [
        make_member(f'{region}{number}') for region in 'ab' for number in range(9)
    ]
    before = make_cold('a')
    after = make_cold('b')
    senders = []
    for member in members:
        limit = ColdStartLimit(member.id)
        limit.rank_members(members)
        limit.get_rank(before)
        senders.append(limit.get_rank(after))
    assert sorted(senders) == list(range(len(members)))
    assert max(senders[9:]) < min(senders[:9])


def make_member(name):
    return InstanceRecord(name, 'run', Location(name[0], name[0]), ADDRESS, ADDRESS)


def make_cold(region):
    location = Location(region, region)
    return TargetRecord('t', 'desk', ADDRESS, location, 3, cold_left_s=9)
