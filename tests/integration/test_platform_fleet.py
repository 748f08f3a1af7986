"""Start of the stand-in fleet on the users' platform."""

import gevent
import pytest

from currantmast.standins import platformfleet
from currantmast.standins.platformfleet import PlatformFleet

LARGE = 30


def test_fleet_whose_start_times_out_leaves_no_process(monkeypatch):
    """Guards against processes that outlive a failed test."""
    monkeypatch.setattr(platformfleet, 'START_TIMEOUT_S', 0.05)
    fleet = PlatformFleet(size=3, seed=3)
    with pytest.raises(gevent.Timeout):
        fleet.__enter__()
    assert len(fleet.instances) == 3
    assert not any(process.is_running() for process in fleet.instances.values())


def test_fleet_with_reserves_starts(monkeypatch):
    """Guards against a wait for reserves, which look-ups don't name."""
    monkeypatch.setattr(platformfleet, 'START_TIMEOUT_S', 60)
    with PlatformFleet(size=LARGE, seed=3) as fleet:
        tally = fleet.load(30, 2)
    assert tally.statuses[200] >= 0.9 * sum(tally.statuses.values())
    assert not fleet.list_violations()
