"""A shift must move traffic and never more than its cap."""

import gevent
from msgspec.structs import replace

from currantmast.deployment import Operations, ServiceKind, Shift
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
SECONDS = 6
CAP = 15


def make_shift(fleet):
    site = fleet.plan.deployment.sites[0]
    links = fleet.plan.deployment.base.links
    link = next(link for link in links if link.source == site.region)
    return Shift('test', site.id, site.region, link.destination, 0.8, CAP)


def count_moved(scenario, shift):
    runs = scenario.history.executions
    return sum(run.region == shift.destination for run in runs)


def test_shift_moves_traffic_up_to_its_cap(fleet, operator):
    shift = make_shift(fleet)
    shape = LoadShape(RATE, SECONDS, sites=(shift.site,), kinds=(ServiceKind.lookup,))
    operator.start_shift(shift)
    with Scenario(fleet, 'shift', seed=11) as scenario:
        scenario.operations = replace(Operations(), shifts=(shift,))
        scenario.run(shape)
        operator.stop_shift(shift.id)
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls, (Reason.rate_exceeded,)) == {}
        assert count_moved(scenario, shift) >= CAP * SECONDS / 3


def test_stopped_shift_moves_nothing(fleet, operator):
    shift = make_shift(fleet)
    operator.start_shift(shift)
    operator.stop_shift(shift.id)
    gevent.sleep(fleet.plan.deployment.base.timing.lookup_lifetime_s)
    shape = LoadShape(RATE / 2, 2, sites=(shift.site,), kinds=(ServiceKind.lookup,))
    with Scenario(fleet, 'unshifted', seed=12) as scenario:
        scenario.run(shape)
        assert scenario.inspect() == ()
        assert count_moved(scenario, shift) == 0
