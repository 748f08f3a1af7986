"""The death of an instance must cost only the requests that it was running."""

import time

import gevent

from currantmast.experiment.disturbances import kill_instance
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
AROUND_S = 3
RECLAIM_S = 8
KILLED = 3


def test_killed_instance_costs_only_its_running_requests(fleet):
    with Scenario(fleet, 'kill', seed=9) as scenario:
        scenario.start(LoadShape(RATE, 2 * AROUND_S + RECLAIM_S))
        gevent.sleep(AROUND_S)
        with kill_instance(fleet, KILLED):
            died = time.monotonic()
            gevent.sleep(AROUND_S + RECLAIM_S)
        scenario.join()
        assert scenario.inspect() == ()
        unknown = [call for call in scenario.calls if call.outcome == 'unknown']
        assert all(call.sent <= died for call in unknown)
        late = [call for call in scenario.calls if call.sent > died + RECLAIM_S]
        assert count_unanswered(late, (Reason.rate_exceeded,)) == {}
