"""Instances must hold a region's slots by themselves, not by the targets' refusals."""

from currantmast.deployment import ServiceKind
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario
from currantmast.standins.targets import TargetStatus

from .test_drain import slow_down

RATE = 100
SECONDS = 5
DEADLINE_S = 3


def count_shed(fleet):
    """Return the requests that targets have refused for want of a slot."""
    return sum(
        target.shed
        for host in fleet.plan.hosts
        for target in fleet.controls.read(host.control, '/targets', list[TargetStatus])
    )


def test_load_above_a_region_reaches_no_target_without_a_free_slot(fleet):
    """Guards against routing that leaves the limit to the targets.

    A target refuses what exceeds its slots, so that its executions alone can't show that
    more was sent to it.
    """
    pool = fleet.plan.deployment.base.pools[0]
    homes = fleet.plan.deployment.sites
    sites = tuple(site.id for site in homes if site.region == pool.region)
    shape = LoadShape(
        RATE, SECONDS, sites=sites, kinds=(ServiceKind.lookup,), deadline_s=DEADLINE_S
    )
    before = count_shed(fleet)
    with Scenario(fleet, 'overload', seed=28) as scenario, slow_down(fleet, pool):
        scenario.run(shape)
        assert scenario.inspect() == ()
        assert count_shed(fleet) == before
