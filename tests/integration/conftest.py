"""Fleets of real processes that the integration tests share."""

from pathlib import Path

import gevent
import pytest
from msgspec.structs import replace

from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.operators import Operator
from currantmast.loading import load_deployment

DEPLOYMENT = Path(__file__).resolve().parents[2] / 'deployments' / 'glenbrae'
SEED = 20
LOOKUP_LIFETIME_S = 1
WARM_UP_S = 4


def load_quick_deployment():
    """Return the deployment with a look-up lifetime that makes stops short."""
    deployment = load_deployment(DEPLOYMENT)
    timing = replace(deployment.base.timing, lookup_lifetime_s=LOOKUP_LIFETIME_S)
    return replace(deployment, base=replace(deployment.base, timing=timing))


@pytest.fixture(scope='session')
def shared_fleet():
    with LocalFleet(DEPLOYMENT, SEED, deployment=load_quick_deployment()) as fleet:
        # test_start covers the first seconds; the other tests begin after them.
        gevent.sleep(WARM_UP_S)
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    """The shared fleet, with every instance ready before and after the test."""
    shared_fleet.wait_instances()
    yield shared_fleet
    shared_fleet.wait_instances()


@pytest.fixture
def operator(fleet):
    return Operator(fleet)
