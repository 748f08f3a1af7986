"""Crowds of callers that nobody controls, against one real instance."""

import re
from contextlib import contextmanager
from pathlib import Path
from urllib.request import urlopen

import gevent
import pytest
from crowds import (
    Crowd,
    read_little,
    send_chunks,
    send_pieces,
    send_whole,
    wait_idle,
)

from currantmast.experiment.usage import read_memory_mb
from currantmast.standins.platformfleet import MachinePlan, PlatformFleet, WorkPlan

MIB = 1024 * 1024
MACHINE = MachinePlan(memory_mb=120, max_fds=400, max_body_bytes=16 * MIB)
BODY = MACHINE.max_body_bytes
CALLERS = 16
CROWDS = {
    'whole': (CALLERS, send_whole(BODY)),
    'pieces': (CALLERS, send_pieces(BODY, missing=1)),
    'large chunks': (CALLERS, send_chunks(BODY, MIB, missing=MIB)),
    'small chunks': (CALLERS, send_chunks(2 * MIB, 8, missing=8)),
    'too large announced': (CALLERS, send_pieces(4 * BODY, 1)),
    'too large just sent': (CALLERS, send_chunks(4 * BODY, MIB, missing=MIB)),
    'slow readers': (60, read_little(3 * MIB)),
    'idle connections': (600, wait_idle),
}


WORK = WorkPlan(timeout_s=20)
START_S = 30.0
SMALLEST = MachinePlan(memory_mb=200)
CONNECTED = MachinePlan(memory_mb=120)


@contextmanager
def open_fleet(machine):
    with PlatformFleet(size=1, seed=5, work=WORK, machine=machine) as fleet:
        # An instance that has just started may refuse what it will serve soon.
        with gevent.Timeout(START_S):
            while fleet.call(WORK.timeout_s) != 200:
                gevent.sleep(0.1)
        yield fleet


@pytest.fixture
def fleet():
    with open_fleet(MACHINE) as running:
        yield running


@pytest.mark.parametrize('name', list(CROWDS))
def test_crowd_ends_no_process_and_ordinary_callers_are_answered(fleet, name):
    """Guards against callers that exhaust the memory or descriptors of a process."""
    instance = fleet.instances['edge-0']
    count, act = CROWDS[name]
    peak_fds = gevent.spawn(watch_descriptors, instance.pid)
    try:
        with Crowd(fleet.public['edge-0'], count, act):
            status = fleet.call(WORK.timeout_s)
    finally:
        peak_fds.kill()
    assert instance.is_running()
    assert read_memory_mb(instance.pid, 'VmHWM') <= MACHINE.memory_mb
    assert peak_fds.value <= MACHINE.max_fds
    assert status == 200
    with gevent.Timeout(START_S):
        while read_gauge(fleet, 'memory_held_bytes'):
            gevent.sleep(0.1)
    assert not fleet.list_violations()


def test_many_small_bodies_stay_within_the_memory():
    """Guards against bytes beside the bodies that each connection keeps."""
    with open_fleet(CONNECTED) as fleet:
        instance = fleet.instances['edge-0']
        with Crowd(fleet.public['edge-0'], 900, send_pieces(60_000, missing=1)):
            assert fleet.call(WORK.timeout_s) == 200
        assert instance.is_running()
        assert read_memory_mb(instance.pid, 'VmHWM') <= CONNECTED.memory_mb


@pytest.mark.parametrize(
    'act',
    [
        send_whole(SMALLEST.max_body_bytes),
        send_chunks(SMALLEST.max_body_bytes, MIB, missing=0),
    ],
    ids=['announced', 'chunked'],
)
def test_largest_body_is_served_on_the_smallest_machine(act):
    """Guards against a bound that callers inside the limits meet."""
    with open_fleet(SMALLEST) as fleet:
        instance = fleet.instances['edge-0']
        with Crowd(fleet.public['edge-0'], 1, act) as crowd:
            assert crowd.read_status(0) == 200
        assert instance.is_running()
        assert read_memory_mb(instance.pid, 'VmHWM') <= SMALLEST.memory_mb


def read_gauge(fleet, name):
    """Return a gauge of the instance's metrics."""
    address = fleet.metrics['edge-0']
    with urlopen(f'http://{address}/metrics') as answer:
        text = answer.read().decode()
    return float(re.search(f'belief{{name="{name}"}} (.+)', text)[1])


def watch_descriptors(pid):
    """Return the most descriptors that the process had, once killed."""
    most = 0
    try:
        while True:
            most = max(most, len(list(Path(f'/proc/{pid}/fd').iterdir())))
            gevent.sleep(0.01)
    except gevent.GreenletExit:
        return most
