"""A partitioned region must stop what it can't do safely; the others must go on."""

import time

import gevent
import pytest

from currantmast.experiment.disturbances import cut_region
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

from .conftest import DEPLOYMENT, SEED, WARM_UP_S, load_quick_deployment

RATE = 50
CUT_S = 9
AROUND_S = 3
SETTLED_S = 6
"""Lease, removal and one look-up lifetime; after it the other regions serve everything."""


@pytest.fixture(scope='module')
def proxied_fleet():
    deployment = load_quick_deployment()
    with LocalFleet(DEPLOYMENT, SEED, faults=True, deployment=deployment) as fleet:
        gevent.sleep(WARM_UP_S)
        yield fleet


def list_sites(fleet, region):
    sites = fleet.plan.deployment.sites
    return tuple(site.id for site in sites if site.region != region)


@pytest.mark.parametrize('store', (True, False))
def test_region_cut_off_breaks_no_guarantee(proxied_fleet, store):
    fleet = proxied_fleet
    region = fleet.plan.deployment.base.regions[-1].id
    others = list_sites(fleet, region)
    with Scenario(fleet, f'cut-{store}', seed=23) as scenario:
        scenario.start(LoadShape(RATE, CUT_S + 2 * AROUND_S))
        gevent.sleep(AROUND_S)
        with cut_region(fleet, region, store):
            began = time.monotonic()
            gevent.sleep(CUT_S)
        scenario.join()
        fleet.wait_instances()
        assert scenario.inspect() == ()
        settled = [
            call
            for call in scenario.calls
            if call.site in others and began + SETTLED_S < call.sent < began + CUT_S
        ]
        assert settled
        assert count_unanswered(settled, (Reason.rate_exceeded,)) == {}


def test_region_without_store_and_peers_refuses_within_the_lease(proxied_fleet):
    fleet = proxied_fleet
    region = fleet.plan.deployment.base.regions[-1].id
    entries = {plan.id for plan in fleet.plan.instances if plan.region == region}
    lease_s = fleet.plan.deployment.base.timing.lease_s
    with (
        Scenario(fleet, 'alone', seed=24) as scenario,
        cut_region(fleet, region, store=True),
    ):
        began = time.monotonic()
        scenario.run(LoadShape(RATE, lease_s + AROUND_S))
        assert scenario.inspect() == ()
        alone = {
            call.outcome
            for call in scenario.calls
            if call.instance in entries and call.sent > began + lease_s
        }
        assert 'done' not in alone


def test_links_that_lose_one_direction_break_no_guarantee(proxied_fleet):
    fleet = proxied_fleet
    region = fleet.plan.deployment.base.regions[1].id
    with Scenario(fleet, 'oneway', seed=25) as scenario:
        scenario.start(LoadShape(RATE, CUT_S))
        gevent.sleep(1)
        fleet.set_link(f'control.{region}.*', lose_forward=True)
        gevent.sleep(CUT_S - AROUND_S)
        fleet.set_link(f'control.{region}.*', lose_forward=False)
        scenario.join()
        fleet.wait_instances()
        assert scenario.inspect() == ()


def test_connections_that_went_silent_are_replaced(proxied_fleet):
    fleet = proxied_fleet
    with Scenario(fleet, 'silent', seed=26) as scenario:
        fleet.set_link('*', silence=True)
        gevent.sleep(SETTLED_S)
        fleet.wait_instances()
        scenario.run(LoadShape(RATE, AROUND_S))
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls, (Reason.rate_exceeded,)) == {}
