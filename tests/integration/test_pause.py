"""A paused instance must not admit anything under an expired lease."""

import time

import gevent

from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered

RATE = 60
PAUSE_S = 6
AROUND_S = 3


def test_pause_longer_than_the_lease_breaks_no_guarantee(fleet):
    paused = fleet.plan.instances[0].id
    with Scenario(fleet, 'pause', seed=7) as scenario:
        scenario.start(LoadShape(RATE, PAUSE_S + 2 * AROUND_S))
        gevent.sleep(AROUND_S)
        fleet.pause(paused)
        gevent.sleep(PAUSE_S)
        fleet.resume(paused)
        scenario.join()
        fleet.wait_instances()
        assert scenario.inspect() == ()


def test_resumed_instance_serves_again(fleet):
    paused = fleet.plan.instances[4].id
    fleet.pause(paused)
    gevent.sleep(PAUSE_S)
    fleet.resume(paused)
    fleet.wait_instances()
    began = time.monotonic()
    with Scenario(fleet, 'resumed', seed=8) as scenario:
        scenario.run(LoadShape(RATE, AROUND_S))
        assert scenario.inspect() == ()
        late = [call for call in scenario.calls if call.sent > began + 1]
        assert count_unanswered(late) == {}
