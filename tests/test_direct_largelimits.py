"""Limits that targets name, in fleets of the size and with the delays of real ones."""

import os
import random

import msgspec
import pytest
from limitreplay import ReplayedFleet

from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.instance_state import TargetSubscriber

SEED = int(os.environ.get('LIMIT_SEED', '2'))
LIMITED = 6
RATE = 1.2

# Instances, targets, and requests per second.
SIZES = ((9, 18, 90), (70, 102, 400))


@pytest.fixture(params=SIZES, ids=lambda size: str(size[0]))
def replay(request):
    size, target_count, load = request.param
    with ReplayedFleet(size, target_count, random.Random(SEED)) as fleet:
        fleet.run(load, 2)
        fleet.limit(LIMITED, RATE)
        fleet.run(load, 4)
        yield fleet, load


def relist(fleet, absent_s, load, **changes):
    """Remove the entries of the limited targets at all instances, and write them again."""
    records = [found.record for found in list(fleet.targets.values())[:LIMITED]]
    subscribers = [
        TargetSubscriber(found.state, TargetConnections(fleet.clock))
        for found in fleet.instances
    ]
    for subscriber in subscribers:
        for record in records:
            subscriber.remove(record.id)
    fleet.run(load, absent_s)
    for subscriber in subscribers:
        for record in records:
            subscriber.put(record.id, msgspec.structs.replace(record, **changes))


def test_limits_are_kept_by_a_large_fleet(replay):
    fleet, load = replay
    fleet.run(load, 6)
    assert fleet.measure_excess() <= 0


def test_limit_is_kept_when_the_entry_of_its_target_returns(replay):
    """Guards against a limit that all instances forget while an entry is missing."""
    fleet, load = replay
    for _ in range(3):
        relist(fleet, 0.4, load)
        fleet.run(load, 0.8)
    assert fleet.measure_excess() <= 0
