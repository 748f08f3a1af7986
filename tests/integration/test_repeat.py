"""Resends of one request key through other instances must be one execution."""

from collections import Counter

import gevent

from currantmast.client import Call, Client
from currantmast.deployment import ServiceKind
from currantmast.experiment.load import make_request_key
from currantmast.experiment.scenarios import Scenario

SLOW_FACTOR = 20
DEADLINE_S = 8


def choose_order(fleet):
    services = fleet.plan.deployment.base.services
    return next(s for s in services if s.kind is ServiceKind.order)


def slow_targets(fleet, factor):
    service = choose_order(fleet)
    for pool in fleet.plan.deployment.base.pools:
        if pool.service == service.id:
            for target in pool.addresses:
                fleet.set_target_fault(target, slow_factor=factor)


def send(address, key, call):
    with Client((address,), key) as client:
        return client.send(address, call, DEADLINE_S)


def test_key_resent_while_the_first_runs_is_one_execution(fleet):
    service = choose_order(fleet)
    team = fleet.plan.deployment.base.teams[0]
    key = fleet.plan.keys[team.id]
    with Scenario(fleet, 'repeat', seed=19) as scenario:
        slow_targets(fleet, SLOW_FACTOR)
        calls = [
            Call(
                service.id,
                'POST',
                f'calls/repeat-{number}',
                b'order',
                make_request_key(f'repeat-{number}'),
                DEADLINE_S,
            )
            for number in range(3)
        ]
        tasks = [
            gevent.spawn_later(index * 0.05, send, address, key, call)
            for call in calls
            for index, address in enumerate(fleet.entry_addresses)
        ]
        gevent.joinall(tasks, raise_error=True)
        slow_targets(fleet, 1)
        outcomes = Counter(task.value.headers['outcome'] for task in tasks)
        scenario.inspect()
        runs = Counter(run.call_id for run in scenario.history.executions)
    assert runs == {f'repeat-{number}': 1 for number in range(3)}
    assert outcomes['done'] >= len(calls)
    assert outcomes['unknown'] == 0


def test_resend_after_the_end_returns_the_recorded_answer(fleet):
    service = choose_order(fleet)
    team = fleet.plan.deployment.base.teams[0]
    key = fleet.plan.keys[team.id]
    request_key = make_request_key('again')
    call = Call(service.id, 'POST', 'calls/again-1', b'order', request_key, DEADLINE_S)
    answers = [send(address, key, call) for address in fleet.entry_addresses]
    refusals = [
        answer.body for answer in answers if answer.headers['outcome'] != 'done'
    ]
    assert refusals == []
    assert len({answer.body for answer in answers}) == 1
    with Scenario(fleet, 'again') as scenario:
        scenario.inspect()
        assert len(scenario.history.executions) == 1


def test_one_key_under_concurrent_first_sends_is_one_execution(fleet):
    service = choose_order(fleet)
    team = fleet.plan.deployment.base.teams[0]
    key = fleet.plan.keys[team.id]
    with Scenario(fleet, 'race', seed=21) as scenario:
        tasks = []
        for number in range(10):
            request_key = make_request_key(f'race-{number}')
            path = f'calls/race-{number}'
            call = Call(service.id, 'POST', path, b'order', request_key, DEADLINE_S)
            tasks += [
                gevent.spawn(send, address, key, call)
                for address in fleet.entry_addresses
            ]
        gevent.joinall(tasks, raise_error=True)
        scenario.inspect()
        runs = Counter(run.call_id for run in scenario.history.executions)
    assert set(runs.values()) == {1}
    assert len(runs) == 10
