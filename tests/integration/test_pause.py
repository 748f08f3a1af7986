"""A paused instance must not admit anything under an expired lease."""

import time

import gevent

from currantmast.experiment.disturbances import pause_instance
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
PAUSE_S = 6
PAUSED = 4
AROUND_S = 3


def test_pause_longer_than_the_lease_breaks_no_guarantee(fleet):
    with Scenario(fleet, 'pause', seed=7) as scenario:
        scenario.start(LoadShape(RATE, PAUSE_S + 2 * AROUND_S))
        gevent.sleep(AROUND_S)
        with pause_instance(fleet):
            gevent.sleep(PAUSE_S)
        scenario.join()
        fleet.wait_instances()
        assert scenario.inspect() == ()


def test_resumed_instance_serves_again(fleet):
    with pause_instance(fleet, PAUSED):
        gevent.sleep(PAUSE_S)
    fleet.wait_instances()
    began = time.monotonic()
    with Scenario(fleet, 'resumed', seed=8) as scenario:
        scenario.run(LoadShape(RATE, AROUND_S))
        assert scenario.inspect() == ()
        late = [call for call in scenario.calls if call.sent > began + 1]
        assert count_unanswered(late, (Reason.rate_exceeded,)) == {}
