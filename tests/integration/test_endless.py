"""Targets that send bytes without end to many callers at once, at one real instance."""

import gevent
import pytest
from crowds import HOST, KEY, Crowd
from endless import FORMS
from test_direct_endless import open_endless

from currantmast.experiment.usage import read_memory_mb
from currantmast.standins.platformfleet import MachinePlan, PlatformFleet, WorkPlan

MACHINE = MachinePlan(memory_mb=120)
WORK = WorkPlan(timeout_s=20)
CALLERS = 80

# Entries of the endless target, so that it isn't ejected before most callers have met it.
TARGETS = 40
START_S = 30.0

# Time limit of the callers whose target never ends its answer, in milliseconds.
LIMIT_MS = 3000
ROUTE = {
    'res_kind': 'routes',
    'meta': {'name': 'r-endless'},
    'spec': {
        'host': HOST,
        'path_prefix': '/endless/',
        'type': 'idempotent',
        'timeout_s': LIMIT_MS / 1000,
        'service': 'endless',
        'attempts': 2,
    },
}
SERVICE = {'res_kind': 'services', 'meta': {'name': 'endless'}, 'spec': {}}


@pytest.fixture(scope='module')
def fleet():
    with PlatformFleet(size=1, seed=5, work=WORK, machine=MACHINE) as running:
        running.more_resources += [ROUTE, SERVICE]
        running.publish()
        with gevent.Timeout(START_S):
            while running.call(WORK.timeout_s) != 200:
                gevent.sleep(0.1)
        yield running


# Statuses that callers of the endless target got.
answered = []


def ask(sock, number):
    head = (
        f'GET /endless/{number} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n'
        f'X-Currantmast-Request-Id: endless-{number}\r\n'
        f'X-Currantmast-Deadline-Ms: {LIMIT_MS}\r\n\r\n'
    )
    sock.sendall(head.encode())
    answered.append(int(sock.recv(100).split(b' ')[1]))


@pytest.mark.parametrize('form', list(FORMS))
def test_endless_answers_exhaust_no_instance(fleet, form):
    """Guards against an instance that keeps all bytes that a faulty target sends."""
    instance = fleet.instances['edge-0']
    statuses = []
    answered.clear()
    with open_endless(form, 'fast') as address:
        entry = fleet.targets[0].describe()
        entry |= {'addr': str(address), 'service': 'endless', 'slots': CALLERS}
        for number in range(TARGETS):
            fleet.store.put('servers', f'{form} {number}', entry)
        gevent.sleep(1)
        meanwhile = gevent.spawn_later(
            0.3, lambda: statuses.append(fleet.call(WORK.timeout_s))
        )
        with Crowd(fleet.public['edge-0'], CALLERS, ask):
            statuses.append(fleet.call(WORK.timeout_s))
        meanwhile.join()
        for number in range(TARGETS):
            fleet.store.remove('servers', f'{form} {number}')
    # Most of the callers have met the target.
    assert sum(status >= 502 and status != 503 for status in answered) > CALLERS / 2
    assert instance.is_running()
    assert read_memory_mb(instance.pid, 'VmHWM') <= MACHINE.memory_mb
    assert statuses == [200, 200]
    assert not fleet.list_violations()
