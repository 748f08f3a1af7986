"""An accepted change must be in force at every instance, and stay in force."""

import time

import gevent

from currantmast.client import Client
from currantmast.commands.acceptance import list_unconfirmed
from currantmast.commands.options import open_store
from currantmast.commands.statuses import collect_reports, read_fleet
from currantmast.deployment import ServiceKind
from currantmast.experiment.disturbances import pause_instance
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.histories import check_versions
from currantmast.experiment.load import choose_address
from currantmast.experiment.operators import Operator
from currantmast.experiment.records import Version
from currantmast.outcomes import NotRun, Reason
from currantmast.publication import read_configuration

from .conftest import DEPLOYMENT, SEED, WARM_UP_S, load_quick_deployment

PAUSED = 5
WATCH_PERIOD_S = 0.2
AFTER_S = 3


def read_reports(fleet):
    with open_store(str(fleet.plan.store)) as client:
        return collect_reports(read_fleet(client))


def watch_versions(fleet, versions):
    """Record the version of every instance that answers, again and again."""
    while True:
        for report in read_reports(fleet):
            if report.status:
                run = f'{report.member.id}/{report.status.incarnation}'
                found = Version(run, time.monotonic(), report.status.version)
                versions.append(found)
        gevent.sleep(WATCH_PERIOD_S)


def ask_everywhere(fleet, key, service):
    """Return the outcome of one request through each instance."""
    site = choose_address(fleet.plan.deployment.sites[0])
    for number, address in enumerate(fleet.entry_addresses):
        with Client((address,), key, site) as client:
            yield client.get(service.id, f'calls/configuration-{number}').outcome


def test_key_of_the_base_file_withdrawn_during_a_pause_works_nowhere():
    """Guards against an acceptance that an instance with a valid lease has not confirmed.

    The key is one of the base file: an issued key also ends by leaving the list of issued
    keys, which says nothing of the list of withdrawn ones.
    """
    deployment = load_quick_deployment()
    with LocalFleet(DEPLOYMENT, SEED, deployment=deployment) as fleet:
        gevent.sleep(WARM_UP_S)
        base = fleet.plan.deployment.base
        key = fleet.plan.keys[base.teams[0].id]
        service = next(s for s in base.services if s.kind is ServiceKind.lookup)
        versions = []
        watcher = gevent.spawn(watch_versions, fleet, versions)
        with pause_instance(fleet, PAUSED):
            Operator(fleet).withdraw_key(key)
            reports = read_reports(fleet)
            with open_store(str(fleet.plan.store)) as client:
                accepted = read_configuration(client).version
            assert list_unconfirmed(reports, accepted) == []
        fleet.wait_instances()
        outcomes = list(ask_everywhere(fleet, key, service))
        gevent.sleep(AFTER_S)
        watcher.kill()
        assert {type(outcome) for outcome in outcomes} == {NotRun}
        assert {outcome.reason for outcome in outcomes} == {Reason.key_unknown}
        assert max(report.version for report in versions) == accepted
        assert check_versions(versions) == ()
