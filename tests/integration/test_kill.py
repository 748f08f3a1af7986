"""The death of an instance must cost only the requests that it was running."""

import time

import gevent

from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered

RATE = 60
AROUND_S = 3
RECLAIM_S = 8


def test_killed_instance_costs_only_its_running_requests(fleet):
    killed = fleet.plan.instances[3].id
    with Scenario(fleet, 'kill', seed=9) as scenario:
        scenario.start(LoadShape(RATE, 2 * AROUND_S + RECLAIM_S))
        gevent.sleep(AROUND_S)
        fleet.kill(killed)
        died = time.monotonic()
        scenario.join()
        assert scenario.inspect() == ()
        unknown = [call for call in scenario.calls if call.outcome == 'unknown']
        assert all(call.sent <= died for call in unknown)
        late = [call for call in scenario.calls if call.sent > died + RECLAIM_S]
        assert count_unanswered(late) == {}
    fleet.restart(killed)
