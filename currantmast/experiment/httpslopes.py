"""Look-ups through the HTTP server of another process, also while it adopts a table."""

import random
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import gevent
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from currantmast.clocks import LoopClock
from currantmast.deployment import Configuration
from currantmast.experiment.processes import Process
from currantmast.experiment.synthetic import (
    make_address,
    make_deployment,
    make_steering,
)
from currantmast.experiment.usage import read_cpu_s, read_memory_mb
from currantmast.messages import Address
from currantmast.pages import decode_pages, encode_page, list_pages
from currantmast.runtime.publicapp import PublicApp
from currantmast.runtime.servers import Answer, HttpServer, Inbound
from currantmast.steering import Steering

Row = list[float]

CONNECTIONS = 8
SERVER_LIFETIME_S = 120
READY_TIMEOUT_S = 90
RECEIVE_BYTES = 65_536
CALLER_BITS = 24
ADOPT_PATH = '/adopt'
HOST = '127.40.0.1'
US_PER_S = 1_000_000
MS_PER_S = 1000
HTTP_COSTS = (
    'look-ups/s',
    'server cpu us',
    'server RSS MB',
    'longest answer ms',
    'longest answer while adopting ms',
)


class AdoptingApp:
    """Answers look-ups, and adopts a new table on request.

    Parameters
    ----------
    steering : Steering
        State of the instance.
    blocks : int
        Blocks of the new table, one more than of the one in force.
    """

    __slots__ = ('_app', '_pages', '_steering')

    def __init__(self, steering: Steering, blocks: int) -> None:
        self._steering = steering
        self._app = PublicApp(steering, None, int)
        pages = list_pages(make_deployment(blocks))
        self._pages = [encode_page(page) for page in pages]

    def __repr__(self) -> str:
        """Return the number of pages."""
        return f'<AdoptingApp pages={len(self._pages)}>'

    def respond(self, inbound: Inbound) -> Answer:
        """Return the answer to one request."""
        if inbound.path != ADOPT_PATH:
            return self._app.respond(inbound)
        deployment = decode_pages(self._pages)
        self._steering.adopt_configuration(Configuration(2, deployment))
        return Answer(200)


def serve(blocks: int, members: int) -> None:
    """Serve look-ups on a table of `blocks` for `SERVER_LIFETIME_S`."""
    steering = make_steering(LoopClock(), make_deployment(blocks), members)
    for member in steering.peering.record.members:
        steering.views.observe(member.id, ())
    app = AdoptingApp(steering, blocks + 1)
    with HttpServer(Address(HOST, 0)) as server:
        server.start(app.respond)
        sys.stdout.write(f'ready {server.address}\n')
        sys.stdout.flush()
        gevent.sleep(SERVER_LIFETIME_S)


def measure_http(
    sizes: Sequence[int], members: int, seconds: float, seed: int
) -> Iterator[Row]:
    """Yield look-ups per second on one core against blocks.

    `CONNECTIONS` connections ask one after another as fast as they are answered.
    """
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            arguments = ('experiment', 'slopes', 'serve', str(size), str(members))
            with Process(f'serve-{size}', arguments, Path(directory)) as server:
                server.wait_ready(READY_TIMEOUT_S)
                yield [size, *_measure_server(server, seconds, seed)]


def _measure_server(server: Process, seconds: float, seed: int) -> Row:
    line = server.read_output().partition('ready ')[2].split()[0]
    host, _, port = line.rpartition(':')
    address = (host, int(port))
    cpu_s = read_cpu_s(server.pid)
    times = _run_clients(address, seconds, seed)
    cpu_s = read_cpu_s(server.pid) - cpu_s
    clients = gevent.spawn(_run_clients, address, seconds, seed)
    gevent.sleep(seconds / 4)
    with create_connection(address) as connection:
        _exchange(connection, _make_request(ADOPT_PATH, '10.0.0.1'))
    adopting = clients.get()
    return [
        len(times) / seconds,
        cpu_s / len(times) * US_PER_S,
        read_memory_mb(server.pid),
        max(times) * MS_PER_S,
        max(adopting) * MS_PER_S,
    ]


def _run_clients(address: tuple[str, int], seconds: float, seed: int) -> list[float]:
    """Return the time of every look-up in seconds."""
    ends_at = time.monotonic() + seconds
    clients = [
        gevent.spawn(_ask, address, ends_at, seed + number)
        for number in range(CONNECTIONS)
    ]
    gevent.joinall(clients, raise_error=True)
    return [took_s for client in clients for took_s in client.get()]


def _ask(address: tuple[str, int], ends_at: float, seed: int) -> list[float]:
    generator = random.Random(seed)
    times = []
    with create_connection(address) as connection:
        while time.monotonic() < ends_at:
            caller = make_address(generator.getrandbits(CALLER_BITS)).host
            started_s = time.monotonic()
            _exchange(connection, _make_request('/lookup/lookup', caller))
            times.append(time.monotonic() - started_s)
    return times


def _make_request(path: str, caller: str) -> bytes:
    lines = (f'GET {path} HTTP/1.1', 'Host: a', f'Caller-Address: {caller}', '', '')
    return '\r\n'.join(lines).encode()


def _exchange(connection: Socket, request: bytes) -> None:
    """Send a request and read its answer, whose length is announced."""
    connection.sendall(request)
    answer = b''
    while b'\r\n\r\n' not in answer:
        answer += _receive(connection)
    head, _, body = answer.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    while len(body) < length:
        body += _receive(connection)


def _receive(connection: Socket) -> bytes:
    chunk = connection.recv(RECEIVE_BYTES)
    if not chunk:
        raise ConnectionResetError('the server closed the connection')
    return chunk
