"""Which part of a region's requests leaves it, replayed with a whole fleet."""

import pytest
from fleetreplay import FleetReplay, find_largest_change

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
