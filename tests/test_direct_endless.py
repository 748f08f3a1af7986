"""Targets and callers that send without end must not starve or exhaust the process.

Parsing without limits would grow the memory, and reading without yielding would block all
other tasks.
"""

import gc
import operator
import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import NamedTuple

import gevent
import pytest
from endless import FORMS
from gevent import socket

from currantmast.clocks import BootClock
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.direct.front import FrontServer
from currantmast.direct.inbound import OutboundAnswer
from currantmast.direct.model import CallerLimits
from currantmast.errors import ExchangeBroken
from currantmast.messages import Address

HERE = Path(__file__).resolve().parent
LIMIT_S = 1.0
MAX_GROWTH_BYTES = 40 * 1024 * 1024
# Longest time for which other tasks of the process may be blocked.
MAX_BLOCKED_S = 0.1
TICK_S = 0.01


def measure_memory():
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * 4096


class Block(NamedTuple):
    """A time for which other tasks were blocked, and what it was made of, in seconds."""

    elapsed_s: float = 0
    # Without a processor, though the thread could run.
    queued_s: float = 0
    # On the processor.
    processor_s: float = 0
    # In the collection of garbage.
    collecting_s: float = 0

    def measure_held(self):
        """Return for how long the thread itself kept the other tasks from running.

        While it waits for a processor, no code of it could let them run.
        """
        return self.elapsed_s - self.queued_s


class Meter:
    """Readings from which a block is computed; a context manager."""

    def __init__(self):
        self.collecting_s = 0.0
        self._collecting_since = 0.0

    def __enter__(self):
        gc.callbacks.append(self._note_collection)
        return self

    def __exit__(self, *exc_info):
        gc.callbacks.remove(self._note_collection)

    def read(self):
        queued_ns = Path('/proc/thread-self/schedstat').read_text().split()[1]
        return Block(
            time.monotonic(),
            int(queued_ns) / 1e9,
            time.thread_time(),
            self.collecting_s,
        )

    def _note_collection(self, phase, info):
        if phase == 'start':
            self._collecting_since = time.monotonic()
        else:
            self.collecting_s += time.monotonic() - self._collecting_since


class Watcher:
    """Records the longest time that other tasks were blocked, and the peak memory."""

    def __init__(self):
        self.longest = Block()
        self.memory = self.before = measure_memory()

    def run(self):
        with Meter() as meter:
            last = meter.read()
            while True:
                gevent.sleep(TICK_S)
                now = meter.read()
                block = Block(*map(operator.sub, now, last))
                block = block._replace(elapsed_s=block.elapsed_s - TICK_S)
                self.longest = max(self.longest, block, key=Block.measure_held)
                last = now
                self.memory = max(self.memory, measure_memory())

    def check(self):
        assert self.longest.measure_held() <= MAX_BLOCKED_S, self.longest
        assert self.memory - self.before <= MAX_GROWTH_BYTES


@contextmanager
def watch():
    # Collections during the test don't scan what the tests before it have left.
    gc.collect()
    gc.freeze()
    watcher = Watcher()
    task = gevent.spawn(watcher.run)
    gevent.sleep(0)
    try:
        yield watcher
        gevent.sleep(2 * TICK_S)
    finally:
        task.kill()
        gc.unfreeze()


@contextmanager
def open_endless(form, pace):
    command = [sys.executable, str(HERE / 'endless.py'), form, pace]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield Address('127.0.0.1', int(process.stdout.readline()))
        finally:
            process.kill()


def exchange(connections, address):
    request = TargetRequest('GET', '/x', (('Id', '1'),))
    return connections.exchange(
        't', address, request, LIMIT_S, lambda answer: answer.get('id') == '1'
    )


@pytest.mark.parametrize('pace', ['fast', 'drops'])
@pytest.mark.parametrize('form', list(FORMS))
def test_endless_answer_is_aborted_in_time_and_starves_no_task(form, pace):
    with (
        open_endless(form, pace) as address,
        TargetConnections(BootClock()) as connections,
    ):
        with watch() as watcher:
            started = time.monotonic()
            with pytest.raises(ExchangeBroken):
                exchange(connections, address)
            assert time.monotonic() - started <= LIMIT_S + 0.3
        watcher.check()


def test_many_endless_answers_share_one_memory_limit():
    """Guards against a limit per answer only: 50 answers would exhaust a small machine."""
    with (
        open_endless('body with length', 'fast') as address,
        TargetConnections(BootClock()) as connections,
        watch() as watcher,
    ):
        tasks = [gevent.spawn(expect_broken, connections, address) for _ in range(50)]
        gevent.joinall(tasks)
        assert all(task.value for task in tasks)
    assert watcher.memory - watcher.before <= MAX_GROWTH_BYTES


def test_many_endless_answers_in_small_chunks_starve_no_task():
    """Guards against a loop that only parses: each chunk costs as much as a large one."""
    with (
        open_endless('chunks of one byte', 'fast') as address,
        TargetConnections(BootClock()) as connections,
        watch() as watcher,
    ):
        tasks = [gevent.spawn(expect_broken, connections, address) for _ in range(50)]
        gevent.joinall(tasks)
        assert all(task.value for task in tasks)
    watcher.check()


def test_many_bodies_in_small_chunks_starve_no_task():
    """Guards against the same from the side of the callers."""
    limits = CallerLimits(header_timeout_s=1, idle_s=1)
    address = Address('127.0.0.1', 0)
    server = FrontServer(
        address, lambda _: OutboundAnswer(200), lambda: limits, BootClock()
    )
    with server, ExitStack() as stack, watch() as watcher:
        command = [sys.executable, '-c', CROWD, str(server.address.port), '50', '3']
        stack.callback(subprocess.Popen(command).wait)
        deadline = time.monotonic() + 3
        while time.monotonic() < deadline:
            send_request(server.address)
            gevent.sleep(TICK_S)
    watcher.check()


def expect_broken(connections, address):
    with pytest.raises(ExchangeBroken):
        exchange(connections, address)
    return True


# Arguments: port, number of callers, and seconds until they leave.
CROWD = """
import socket, sys, threading, time
port, callers, seconds = map(int, sys.argv[1:])
end = time.monotonic() + seconds
def send():
    sock = socket.create_connection(('127.0.0.1', port))
    sock.settimeout(0.2)
    sock.sendall(b'POST /x HTTP/1.1\\r\\nHost: h\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n')
    while time.monotonic() < end:
        try:
            sock.sendall(b'1\\r\\ny\\r\\n' * 20_000)
        except TimeoutError:
            # The rest of a chunk may be cut; the next bytes are refused then.
            continue
        except OSError:
            return
for _ in range(callers):
    threading.Thread(target=send).start()
"""

CALLER = """
import socket, sys
sock = socket.create_connection(('127.0.0.1', int(sys.argv[1])))
sock.sendall(eval(sys.argv[2]))
try:
    while True:
        sock.sendall(eval(sys.argv[3]))
except OSError:
    pass
"""


@pytest.mark.parametrize(
    ('first', 'rest'),
    [
        ("b'GET /x HTTP/1.1\\r\\nHost: h\\r\\nX: '", "b'y' * 65536"),
        ("b'GET /x HTTP/1.1\\r\\n'", "b'X: y\\r\\n' * 5000"),
        ("b'GET /'", "b'y' * 65536"),
        ("b'\\x00 nonsense\\r\\n\\r\\n'", "b'y' * 65536"),
        ("b''", "b'\\r\\n' * 5000"),
    ],
)
def test_endless_request_is_aborted_and_starves_no_task(first, rest):
    limits = CallerLimits(header_timeout_s=1, idle_s=1)
    server = FrontServer(
        Address('127.0.0.1', 0),
        lambda _: OutboundAnswer(200),
        lambda: limits,
        BootClock(),
    )
    with server, watch() as watcher:
        command = [sys.executable, '-c', CALLER, str(server.address.port), first, rest]
        with subprocess.Popen(command) as caller:
            try:
                deadline = time.monotonic() + 5
                while caller.poll() is None and time.monotonic() < deadline:
                    send_request(server.address)
                    gevent.sleep(TICK_S)
                assert caller.poll() is not None
            finally:
                caller.kill()
    watcher.check()


def send_request(address):
    with socket.create_connection((address.host, address.port), 1) as sock:
        sock.sendall(b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
        assert sock.recv(100).startswith(b'HTTP/1.1 200')
