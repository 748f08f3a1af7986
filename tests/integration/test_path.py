"""Lookups, orders and uploads must arrive whole at a target, through every region."""

import time

import gevent
import pytest

from currantmast.client import Call, Client
from currantmast.deployment import ServiceKind
from currantmast.experiment.load import (
    Work,
    choose_address,
    make_body,
    make_call,
    make_callers,
    make_request_key,
)
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import NotRun, Reason

DEADLINE_S = 8
PACE_S = 0.3


def list_works(plan, name):
    services = plan.deployment.base.services
    team = plan.deployment.base.teams[0]
    for caller in make_callers(plan):
        if caller.team != team:
            continue
        for service in services:
            call_id = f'{name}-{caller.site.id}-{service.kind}'
            keyed = service.kind is ServiceKind.order
            key = make_request_key(call_id) if keyed else ''
            body = make_body(service.kind, call_id, 300_000)
            yield Work(call_id, caller, service, body, key)


def send_paced(works):
    """Send one call at a time, slower than the share of a team without demand."""
    for work in works:
        yield make_call(work, DEADLINE_S)
        gevent.sleep(PACE_S)


def test_each_kind_of_request_runs_once_from_every_site(fleet):
    with Scenario(fleet, 'path') as scenario:
        works = list(list_works(fleet.plan, 'path'))
        scenario.calls.extend(send_paced(works))
        assert scenario.inspect() == ()
        assert count_unanswered(scenario.calls) == {}
        assert len(scenario.history.executions) == len(works)


def test_idle_fleet_runs_requests_in_the_home_region(fleet):
    homes = {site.id: site.region for site in fleet.plan.deployment.sites}
    with Scenario(fleet, 'home') as scenario:
        works = list(list_works(fleet.plan, 'home'))
        scenario.calls.extend(send_paced(works))
        scenario.inspect()
        places = {run.call_id: run.region for run in scenario.history.executions}
        assert places == {work.id: homes[work.caller.site.id] for work in works}


@pytest.mark.parametrize('key', ('', 'nobody.0123456789abcdef'))
def test_request_without_a_valid_key_is_refused(fleet, key):
    service = fleet.plan.deployment.base.services[0]
    site = fleet.plan.deployment.sites[0]
    with Client(fleet.entry_addresses, key, choose_address(site)) as client:
        answer = client.get(service.id, f'calls/unkeyed-{len(key)}')
    assert isinstance(answer.outcome, NotRun)
    assert answer.outcome.reason is Reason.key_unknown
    with Scenario(fleet, 'unkeyed') as scenario:
        scenario.inspect()
        assert scenario.history.executions == []


def test_look_up_lists_instances_of_the_home_region_first(fleet):
    service = fleet.plan.deployment.base.services[0]
    regions = {plan.id: plan.region for plan in fleet.plan.instances}
    for site in fleet.plan.deployment.sites:
        with Client(fleet.entry_addresses, '', choose_address(site)) as client:
            listed = client.look_up(service.id).instances
        assert regions[listed[0].id] == site.region
        assert {entry.id for entry in listed} <= set(regions)


def test_every_instance_serves_as_entry(fleet):
    service = fleet.plan.deployment.base.services[0]
    team = fleet.plan.deployment.base.teams[0]
    for address in fleet.entry_addresses:
        with Client((address,), fleet.plan.keys[team.id]) as client:
            path = f'calls/entry-{time.monotonic_ns()}'
            request = Call(service.id, 'GET', path)
            response = client.send(address, request, DEADLINE_S)
        assert response.headers['outcome'] == 'done', response.body
