"""Which part of a region's requests leaves it, replayed with a whole fleet."""

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

# A region with few targets for its callers, as on the grown sites at half their size.
MILLS = {'fukuoka': 42, 'kumamoto': 50, 'kagoshima': 10}
MILL_MEMBERS = {'fukuoka': 12, 'kumamoto': 11, 'kagoshima': 12}

MOST_CHANGE = 0.15


def replay_mills(find_rate, seconds):
    fleet = FleetReplay(MILLS, MILL_MEMBERS, things=48)
    fleet.run(lambda now: {region: find_rate(region, now) for region in MILLS}, seconds)
    return fleet


def find_changes(fleet):
    return {
        region: find_largest_change(ran, fleet.ran)[0]
        for region, ran in fleet.ran.items()
    }


@pytest.mark.parametrize('rate', [97, 120])
def test_cold_start_changes_the_region_of_few_requests(rate):
    """Replays a start at which all objects are new to all targets."""
    fleet = replay_mills(lambda region, now: rate, seconds=8)
    assert max(find_changes(fleet).values()) <= MOST_CHANGE


def test_callers_that_move_in_change_the_region_of_few_requests():
    """Replays callers that move into the region with few targets, and out again."""

    def find_rate(region, now):
        return 153 if region == 'kagoshima' and now > 6 else 90

    fleet = replay_mills(find_rate, seconds=11)
    assert max(find_changes(fleet).values()) <= MOST_CHANGE


ROOM = RegionRoom(slots=100, near_slots=50, near_part=0.5)
BEAT_S = 0.2


def make_share(asked=10):
    clock = ManualClock(0)
    share = RegionShare(clock)
    share.follow((), ROOM)
    for _ in range(asked):
        share.note_wish(away=True)
    return clock, share


def test_wish_of_all_requests_moves_the_share_slowly():
    clock, share = make_share()
    for _ in range(10):
        clock.advance(BEAT_S)
        before = share.share
        share.note_wish(away=True)
        share.follow((), ROOM)
        assert 0 < share.share - before <= PACE_PER_S * BEAT_S + 1e-9


def test_one_instance_with_strange_wishes_moves_no_share():
    """An instance with a tenth of the requests wants all away, the others none."""
    clock, share = make_share()
    others = CrossingReport(asked=90, wanted=0, share=0)
    for _ in range(100):
        clock.advance(BEAT_S)
        share.note_wish(away=True)
        share.follow((others,), ROOM)
    assert share.share <= 0.11


def test_new_instance_takes_over_the_share_of_its_region():
    _, share = make_share(asked=0)
    share.follow((CrossingReport(50, 10, 0.3), CrossingReport(50, 10, 0.5)), ROOM)
    assert share.share == pytest.approx(0.4)


def test_region_that_loses_its_targets_sends_their_work_away_at_once():
    clock, share = make_share()
    clock.advance(BEAT_S)
    share.follow((), RegionRoom(slots=60, near_slots=10, near_part=0.5))
    assert share.share >= 0.8


def test_region_with_few_targets_begins_with_a_part_of_its_requests_away():
    assert RegionRoom(slots=100, near_slots=10, near_part=1 / 3).first_share >= 0.3
    assert RegionRoom(slots=100, near_slots=33, near_part=1 / 3).first_share == 0


def test_full_side_lets_few_requests_stray_and_makes_up_for_them():
    crossings = Crossings(ManualClock(0))
    crossings.note_wish('desk', away=True)
    strays = 0
    while crossings.may_stray('desk', away=True):
        crossings.note_sent('desk', away=True)
        strays += 1
    assert strays == 1
    assert crossings.has_drifted('desk', away=True)
    assert not crossings.has_drifted('desk', away=False)


def test_requests_without_an_object_keep_to_the_share():
    crossings = Crossings(ManualClock(0))
    room = RegionRoom(slots=100, near_slots=0, near_part=0.25)
    crossings.follow(({'desk': CrossingReport(50, 10, 0.3)},), {'desk': room})
    sides = [crossings.belongs_away('desk', None) for _ in range(100)]
    assert sum(sides) == pytest.approx(30, abs=1)
