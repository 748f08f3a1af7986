"""The death of an instance must cost only the requests that it was running."""

import time

import gevent

from currantmast.deployment import ServiceKind
from currantmast.experiment.disturbances import kill_instance
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

from .test_drain import slow_down

RATE = 60
AROUND_S = 3
RECLAIM_S = 8
KILLED = 3
REGION_INSTANCE = 4
"""An instance of the region in which an owner is killed."""

ORDER_RATE = 30
ORDERS_S = 4
POLL_S = 0.02


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


def find_foreign_placement(process, before):
    """Return whether `process` has placed an order that another entry admitted."""
    own_entry = f'entry={process.name} '
    return any(
        'event=placement' in line and own_entry not in line
        for line in process.read_output()[before:].splitlines()
    )


def wait_for_foreign_owner(processes):
    """Return the first of `processes` that places an order for another entry.

    Which instance owns a target depends on the target's address, and so on the ports
    of the run.
    """
    lengths = {process: len(process.read_output()) for process in processes}
    with gevent.Timeout(ORDERS_S):
        while True:
            for process, before in lengths.items():
                if find_foreign_placement(process, before):
                    return process
            gevent.sleep(POLL_S)


def test_orders_running_at_a_killed_owner_are_not_called_unrun(fleet):
    """Guards against a false "not run" for orders of which an entry only lost sight."""
    base = fleet.plan.deployment.base
    region = fleet.plan.instances[REGION_INSTANCE].region
    names = [i.id for i in fleet.plan.instances if i.region == region]
    order = next(s for s in base.services if s.kind is ServiceKind.order)
    pool = next(p for p in base.pools if (p.service, p.region) == (order.id, region))
    sites = tuple(s.id for s in fleet.plan.deployment.sites if s.region == pool.region)
    shape = LoadShape(
        ORDER_RATE, ORDERS_S, sites=sites, kinds=(order.kind,), keyed=False
    )
    with Scenario(fleet, 'running', seed=29) as scenario, slow_down(fleet, pool):
        processes = [p for p in fleet.list_processes() if p.name in names]
        scenario.start(shape)
        owner = wait_for_foreign_owner(processes)
        index = [i.id for i in fleet.plan.instances].index(owner.name)
        with kill_instance(fleet, index):
            scenario.join()
        assert scenario.inspect() == ()
        assert any(
            call.outcome == 'unknown' and call.instance != owner.name
            for call in scenario.calls
        )
