"""Instances that report ready must serve at once: their teams are inside their rates."""

from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered

from .conftest import DEPLOYMENT, SEED


def test_new_fleet_refuses_nothing_inside_the_rates():
    with (
        LocalFleet(DEPLOYMENT, SEED) as fleet,
        Scenario(fleet, 'start', seed=22) as scenario,
    ):
        scenario.run(LoadShape(60, 3))
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls) == {}
