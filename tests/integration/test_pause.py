"""A paused instance must not admit anything under an expired lease."""

import time
from contextlib import ExitStack

import gevent

from currantmast.client import Call, Client
from currantmast.errors import TransportError
from currantmast.experiment.disturbances import pause_instance
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

RATE = 60
PAUSE_S = 6
PAUSED = 4
AROUND_S = 3
HELD = 5
WAITING = 4
SENDING_S = 0.5
DEADLINE_S = 8


def test_pause_longer_than_the_lease_breaks_no_guarantee(fleet):
    with Scenario(fleet, 'pause', seed=7) as scenario:
        scenario.start(LoadShape(RATE, PAUSE_S + 2 * AROUND_S))
        gevent.sleep(AROUND_S)
        with pause_instance(fleet):
            gevent.sleep(PAUSE_S)
        scenario.join()
        fleet.wait_instances()
        assert scenario.inspect() == ()


def send_or_fail(client, address, call):
    """Return the outcome as the instance at `address` names it; empty without an answer."""
    try:
        return client.send(address, call, DEADLINE_S).headers.get('outcome', '')
    except TransportError:
        return ''


def test_requests_that_wait_for_a_paused_instance_run_under_no_old_lease(fleet):
    """Guards against admitting at once after a pause, before any message is read."""
    service = fleet.plan.deployment.base.services[0]
    key = fleet.plan.keys[fleet.plan.deployment.base.teams[0].id]
    address = fleet.entry_addresses[HELD]
    calls = [Call(service.id, 'GET', f'calls/held-{n}') for n in range(WAITING)]
    with ExitStack() as stack:
        clients = [stack.enter_context(Client((address,), key)) for _ in calls]
        for client, call in zip(clients, calls, strict=True):
            assert send_or_fail(client, address, call) == 'done'
        with pause_instance(fleet, HELD):
            gevent.sleep(PAUSE_S)
            tasks = [
                gevent.spawn(send_or_fail, client, address, call)
                for client, call in zip(clients, calls, strict=True)
            ]
            gevent.sleep(SENDING_S)
        gevent.joinall(tasks, raise_error=True)
    assert 'done' not in {task.value for task in tasks}


def test_resumed_instance_serves_again(fleet):
    with pause_instance(fleet, PAUSED):
        gevent.sleep(PAUSE_S)
    fleet.wait_instances()
    began = time.monotonic()
    with Scenario(fleet, 'resumed', seed=8) as scenario:
        scenario.run(LoadShape(RATE, AROUND_S))
        assert scenario.inspect() == ()
        late = [call for call in scenario.calls if call.sent > began + 1]
        assert count_unanswered(late, (Reason.rate_exceeded,)) == {}
