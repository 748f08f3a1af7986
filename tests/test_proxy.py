"""Fault-injecting proxy between a client and an echo server."""

from contextlib import contextmanager
from random import Random

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer

from currantmast.clocks import ManualClock
from currantmast.messages import Address
from currantmast.runtime.httpclients import SingleAttemptClient
from currantmast.standins.proxy import ProxySettings, serve_proxy
from currantmast.standins.shaping import Channel, LinkFaults, LinkSettings, Shaper


def echo(connection, _peer):
    for chunk in iter(lambda: connection.recv(65536), b''):
        connection.sendall(chunk)


@contextmanager
def make_proxy(clock=None, **faults):
    server = StreamServer(('127.0.0.1', 0), echo)
    server.start()
    upstream = Address(*server.address)
    links = tuple(
        LinkSettings(name, upstream, channel='c', faults=LinkFaults(**faults))
        for name in ('a-b', 'a-c')
    )
    with serve_proxy(ProxySettings(links), clock) as addresses:
        yield Proxy(addresses)
    server.stop(timeout=0)


class Proxy:
    def __init__(self, addresses):
        self.links = addresses.links
        self.control = SingleAttemptClient(addresses.control, 5, 1)

    def call(self, method, path, **fields):
        body = msgspec.json.encode(fields) if fields else b''
        with self.control.request(method, path, body) as response:
            return response.status_code, msgspec.json.decode(response.read())

    def change(self, name, **fields):
        assert self.call('POST', f'/links/{name}', **fields)[0] == 200

    def connect(self, number=0):
        link = self.links[number]
        return socket.create_connection((link.host, link.port), 0.2)


def ask(connection, payload=b'hello'):
    connection.sendall(payload)
    received = b''
    while len(received) < len(payload):
        chunk = connection.recv(65536)
        if not chunk:
            raise EOFError
        received += chunk
    return received == payload


def test_bytes_pass_unchanged_and_streams_end():
    """Guards against lost, changed or reordered bytes, and half-closed streams."""
    payload = bytes(range(256)) * 4096
    with make_proxy(delay_ms=5, jitter_ms=10, loss=0.05, stall_ms=20) as proxy:
        connection = proxy.connect()
        connection.settimeout(20)
        sender = gevent.spawn(connection.sendall, payload)
        received = b''
        while len(received) < len(payload):
            received += connection.recv(65536)
        sender.join()
        assert received == payload
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(1) == b''
        connection.close()
        with gevent.Timeout(5):
            while any(one['connections'] for one in proxy.call('GET', '/links')[1]):
                gevent.sleep(0.01)


def test_delay_and_shared_bandwidth():
    """Guards against a link that is faster than its settings."""
    clock = ManualClock()
    faults = LinkFaults(delay_ms=20, bandwidth_mbit_s=8)
    channel = Channel(clock)
    links = [Shaper(channel, Random(1), lambda: faults) for _ in range(2)]
    # 1 MB/s for both links together, and 20 ms on the way.
    assert links[0].schedule(100_000) == pytest.approx(0.12)
    assert links[1].schedule(100_000) == pytest.approx(0.22)
    clock.advance(0.15)
    assert channel.get_backlog_s() == pytest.approx(0.05)
    faults = LinkFaults(loss=1, stall_ms=300)
    assert links[0].schedule(1) == pytest.approx(0.45)


def test_pipe_waits_for_arrival():
    """Guards against chunks that are delivered before they are due."""
    clock = ManualClock()
    with make_proxy(clock, delay_ms=20) as proxy:
        connection = proxy.connect()
        ask(connection)
        start = clock.now()
        ask(connection)
        assert clock.now() - start >= 0.04


def test_cut_link_refuses_and_returns():
    """Guards against a cut that leaves connections or the port behind."""
    with make_proxy() as proxy:
        connection = proxy.connect()
        assert ask(connection)
        proxy.change('a-b', cut=True)
        with pytest.raises((ConnectionResetError, EOFError)):
            ask(connection)
        with pytest.raises(ConnectionRefusedError):
            proxy.connect()
        assert ask(proxy.connect(1))
        proxy.change('a-b', cut=False)
        assert ask(proxy.connect())


def test_silence_holds_only_open_connections():
    """Guards against a silent connection that recovers, or new ones that fail."""
    with make_proxy() as proxy:
        old = proxy.connect()
        assert ask(old)
        proxy.change('a-b', silence=True)
        with pytest.raises(TimeoutError):
            ask(old)
        assert ask(proxy.connect())
        with pytest.raises(TimeoutError):
            ask(old)


@pytest.mark.parametrize('fault', ['lose_forward', 'lose_backward'])
def test_one_way_cut(fault):
    """Guards against a partition that is symmetric where one way was meant."""
    with make_proxy() as proxy:
        connection = proxy.connect()
        proxy.change('a-b', **{fault: True})
        with pytest.raises(TimeoutError):
            ask(connection)
        proxy.change('a-b', **{fault: False})
        assert ask(connection)


def test_control_rejects_unknown_fields():
    """Guards against a misspelt fault that changes nothing."""
    with make_proxy() as proxy:
        assert proxy.call('POST', '/links/a-b', dely_ms=1)[0] == 400
        assert proxy.call('POST', '/links/x', delay_ms=1)[0] == 404
