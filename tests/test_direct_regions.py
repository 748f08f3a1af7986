"""Spillover of a region's requests to other regions, tested on a simulated fleet."""

import pytest
from fleetreplay import FleetReplay, find_largest_change

from currantmast.clocks import ManualClock
from currantmast.direct.crossings import (
    PACE_PER_S,
    CrossingReport,
    Crossings,
    RegionRoom,
    RegionShare,
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


ROOM = RegionRoom(slots=100, near_slots=50, near_part=0.5)
HEARTBEAT_S = 0.2


def make_share(asked=10):
    clock = ManualClock(0)
    share = RegionShare(clock)
    share.follow((), ROOM)
    for _ in range(asked):
        share.note_wish(away=True)
    return clock, share


def test_share_moves_slowly_when_all_requests_prefer_other_regions():
    clock, share = make_share()
    for _ in range(10):
        clock.advance(HEARTBEAT_S)
        before = share.share
        share.note_wish(away=True)
        share.follow((), ROOM)
        assert 0 < share.share - before <= PACE_PER_S * HEARTBEAT_S + 1e-9


def test_one_instance_alone_does_not_move_the_share():
    """One instance has a tenth of the requests, and only its own prefer other regions."""
    clock, share = make_share()
    others = CrossingReport(asked=90, wanted=0, share=0)
    for _ in range(100):
        clock.advance(HEARTBEAT_S)
        share.note_wish(away=True)
        share.follow((others,), ROOM)
    assert share.share <= 0.11


def test_new_instance_adopts_the_share_of_its_region():
    _, share = make_share(asked=0)
    share.follow((CrossingReport(50, 10, 0.3), CrossingReport(50, 10, 0.5)), ROOM)
    assert share.share == pytest.approx(0.4)


def test_region_that_loses_targets_sends_their_requests_elsewhere_at_once():
    clock, share = make_share()
    clock.advance(HEARTBEAT_S)
    share.follow((), RegionRoom(slots=60, near_slots=10, near_part=0.5))
    assert share.share >= 0.8


def test_region_with_few_targets_starts_with_spillover():
    assert RegionRoom(slots=100, near_slots=10, near_part=1 / 3).first_share >= 0.3
    assert RegionRoom(slots=100, near_slots=33, near_part=1 / 3).first_share == 0


def test_full_side_lets_few_requests_deviate_and_corrects_for_them():
    crossings = Crossings(ManualClock(0))
    crossings.note_wish('desk', away=True)
    deviations = 0
    while crossings.may_stray('desk', away=True):
        crossings.note_sent('desk', away=True)
        deviations += 1
    assert deviations == 1
    assert crossings.has_drifted('desk', away=True)
    assert not crossings.has_drifted('desk', away=False)


def test_requests_without_an_object_follow_the_share():
    crossings = Crossings(ManualClock(0))
    room = RegionRoom(slots=100, near_slots=0, near_part=0.25)
    crossings.follow(({'desk': CrossingReport(50, 10, 0.3)},), {'desk': room})
    sides = [crossings.belongs_away('desk', None) for _ in range(100)]
    assert sum(sides) == pytest.approx(30, abs=1)
