"""Planned stops must interrupt no request."""

from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
SECONDS = 600
EXIT_OK = 0


def test_replacing_every_instance_under_load_cuts_no_request(fleet):
    with Scenario(fleet, 'stop', seed=3) as scenario:
        scenario.start(LoadShape(RATE, SECONDS))
        for instance in fleet.plan.instances:
            assert fleet.terminate(instance.id) == EXIT_OK
            fleet.restart(instance.id)
        scenario.stop()
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls, (Reason.rate_exceeded,)) == {}
