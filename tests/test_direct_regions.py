"""Spillover of a region's requests to other regions, tested on a simulated fleet."""

import pytest
from fleetreplay import FleetReplay, find_largest_change

from currantmast.clocks import ManualClock
from currantmast.direct.spillover import (
    MAX_SHARE_CHANGE_PER_S,
    RegionCapacity,
    SpilloverControl,
    SpilloverReport,
    SpilloverShare,
)

# Targets and instances by region. The last region has few targets for its callers; the
# numbers are half of those of a deployment that grew.
TARGETS = {'fukuoka': 42, 'kumamoto': 50, 'kagoshima': 10}
INSTANCES = {'fukuoka': 12, 'kumamoto': 11, 'kagoshima': 12}

# Largest allowed change of a region's shares from one window to the next.
MAX_CHANGE = 0.15


def replay_fleet(get_rate, seconds):
    fleet = FleetReplay(TARGETS, INSTANCES, objects=48)
    fleet.run(
        lambda now: {region: get_rate(region, now) for region in TARGETS}, seconds
    )
    return fleet


def find_changes(fleet):
    return {
        region: find_largest_change(ran, fleet.ran)[0]
        for region, ran in fleet.ran.items()
    }


@pytest.mark.parametrize('rate', [97, 120])
def test_cold_start_changes_the_region_of_few_requests(rate):
    """Guards against an abrupt spillover while no target caches any object."""
    fleet = replay_fleet(lambda region, now: rate, seconds=8)
    assert max(find_changes(fleet).values()) <= MAX_CHANGE


def test_callers_that_move_in_change_the_region_of_few_requests():
    """Guards against an abrupt spillover when callers move to a region of few targets."""

    def get_rate(region, now):
        return 153 if region == 'kagoshima' and now > 6 else 90

    fleet = replay_fleet(get_rate, seconds=11)
    assert max(find_changes(fleet).values()) <= MAX_CHANGE


CAPACITY = RegionCapacity(slots=100, local_slots=50, local_member_fraction=0.5)
HEARTBEAT_S = 0.2


def make_share(recent_requests=10):
    clock = ManualClock(0)
    share = SpilloverShare(clock)
    share.update((), CAPACITY)
    for _ in range(recent_requests):
        share.record_preference(remote=True)
    return clock, share


def test_share_moves_slowly_when_all_requests_prefer_other_regions():
    clock, share = make_share()
    for _ in range(10):
        clock.advance(HEARTBEAT_S)
        before = share.share
        share.record_preference(remote=True)
        share.update((), CAPACITY)
        assert 0 < share.share - before <= MAX_SHARE_CHANGE_PER_S * HEARTBEAT_S + 1e-9


def test_one_instance_alone_does_not_move_the_share():
    """One instance has a tenth of the requests, and only its own prefer other regions."""
    clock, share = make_share()
    others = SpilloverReport(recent_requests=90, preferred_remote=0, share=0)
    for _ in range(100):
        clock.advance(HEARTBEAT_S)
        share.record_preference(remote=True)
        share.update((others,), CAPACITY)
    assert share.share <= 0.11


def test_new_instance_adopts_the_share_of_its_region():
    _, share = make_share(recent_requests=0)
    share.update((SpilloverReport(50, 10, 0.3), SpilloverReport(50, 10, 0.5)), CAPACITY)
    assert share.share == pytest.approx(0.4)


def test_region_that_loses_targets_sends_their_requests_elsewhere_at_once():
    clock, share = make_share()
    clock.advance(HEARTBEAT_S)
    share.update(
        (), RegionCapacity(slots=60, local_slots=10, local_member_fraction=0.5)
    )
    assert share.share >= 0.8


def test_region_with_few_targets_starts_with_spillover():
    assert (
        RegionCapacity(
            slots=100, local_slots=10, local_member_fraction=1 / 3
        ).initial_share
        >= 0.3
    )
    assert (
        RegionCapacity(
            slots=100, local_slots=33, local_member_fraction=1 / 3
        ).initial_share
        == 0
    )


def test_full_side_lets_few_requests_deviate_and_corrects_for_them():
    control = SpilloverControl(ManualClock(0))
    control.record_preference('desk', remote=True)
    deviations = 0
    while control.may_deviate('desk', remote=True):
        control.note_sent('desk', remote=True)
        deviations += 1
    assert deviations == 1
    assert control.is_over_share('desk', remote=True)
    assert not control.is_over_share('desk', remote=False)


def test_requests_without_an_object_follow_the_share():
    control = SpilloverControl(ManualClock(0))
    capacity = RegionCapacity(slots=100, local_slots=0, local_member_fraction=0.25)
    control.update(({'desk': SpilloverReport(50, 10, 0.3)},), {'desk': capacity})
    sides = [control.belongs_remote('desk', None) for _ in range(100)]
    assert sum(sides) == pytest.approx(30, abs=1)
