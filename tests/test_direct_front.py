"""HTTP server for callers: framing, limits, disconnects and shutdown."""

import socket as std_socket
from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from currantmast.clocks import BootClock
from currantmast.direct.front import FrontServer
from currantmast.direct.inbound import OutboundAnswer
from currantmast.direct.model import CallerLimits
from currantmast.messages import Address

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=10_000, header_timeout_s=0.2, idle_s=0.5
)


@contextmanager
def open_front(handler, limits=LIMITS):
    address = Address('127.0.0.1', 0)
    with FrontServer(address, handler, lambda: limits, BootClock()) as server:
        yield server


def connect(server):
    return socket.create_connection((server.address.host, server.address.port), 2)


def read_all(sock):
    parts = []
    with gevent.Timeout(3):
        while True:
            part = sock.recv(65_536)
            if not part:
                return b''.join(parts)
            parts.append(part)


def echo(inbound):
    return OutboundAnswer(200, (('Seen', inbound.method),), inbound.body)


def exchange(server, sent):
    with connect(server) as sock:
        sock.sendall(sent)
        return read_all(sock)


def test_connection_serves_two_requests():
    with open_front(echo) as server, connect(server) as sock:
        for body in (b'one', b'two'):
            head = f'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n'
            sock.sendall(head.encode() + body)
            assert sock.recv(65_536).endswith(body)


def test_chunked_body_is_read_completely():
    chunked = (
        b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    with open_front(echo) as server:
        answer = exchange(server, chunked)
    assert answer.endswith(b'abcde')
    assert b'Connection: close' in answer


def test_disconnect_of_the_caller_cancels_its_request():
    """Guards against requests that still run at a target after the caller left."""
    ended = []

    def wait(inbound):
        try:
            gevent.sleep(10)
        finally:
            ended.append(inbound.url)

    with open_front(wait) as server:
        with connect(server) as sock:
            sock.sendall(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
            gevent.sleep(0.05)
            assert server.active_requests == 1
        gevent.sleep(0.05)
        assert ended == ['/slow']
        assert server.active_requests == 0


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /a HTTP/1.1\r\nHost: h\r\nBig: ' + b'x' * 2000 + b'\r\n\r\n', b'431'),
        (b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n', b'413'),
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET /a HTTP/1.1\r\nHo', b'408'),
        (
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
    ],
)
def test_request_beyond_the_limits_is_rejected_and_closed(sent, status):
    """Also guards against request smuggling by Content-Length and chunked coding."""
    with open_front(echo) as server:
        assert exchange(server, sent).startswith(b'HTTP/1.1 ' + status)


def test_idle_connection_is_closed_after_its_timeout():
    with open_front(echo) as server, connect(server) as sock:
        sock.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        assert sock.recv(65_536)
        assert read_all(sock) == b''


def test_stop_closes_idle_connections_and_completes_pending_requests():
    """Guards against a planned stop that aborts a pending request."""

    def wait(inbound):
        gevent.sleep(0.2)
        return echo(inbound)

    with open_front(wait) as server, connect(server) as idle, connect(server) as busy:
        busy.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        gevent.sleep(0.05)
        server.stop_accepting()
        assert read_all(idle) == b''
        answer = read_all(busy)
        assert answer.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in answer
        with pytest.raises(OSError):
            connect(server)


def test_exception_in_the_handler_is_answered_with_502():
    def fail(inbound):
        raise RuntimeError('broken')

    with open_front(fail) as server, connect(server) as sock:
        sock.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        assert sock.recv(65_536).startswith(b'HTTP/1.1 502')


REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


def test_stop_answers_requests_that_have_arrived_and_were_not_read():
    """Guards against a planned stop under load that cuts off what was just accepted.

    One request stands on a kept connection, one on a connection that waits in the
    listener's queue. Neither has been read when the stop closes what is idle.
    """
    with open_front(echo) as server, connect(server) as kept:
        kept.sendall(REQUEST)
        assert kept.recv(65_536)
        waiting = std_socket.create_connection(
            (server.address.host, server.address.port), 2
        )
        waiting.sendall(REQUEST)
        # Sent without a switch to the server's tasks.
        std_socket.socket.sendall(kept._sock, REQUEST)
        server.stop_accepting()
        for sock in (kept, waiting):
            gevent.sleep(0.2)
            sock.settimeout(2)
            assert sock.recv(65_536).startswith(b'HTTP/1.1 200')
        waiting.close()


def test_request_that_is_still_arriving_counts_as_pending_in_a_stop():
    """Guards against a process that ends while it reads a request."""
    with open_front(echo) as server, connect(server) as sock:
        sock.sendall(REQUEST[:20])
        gevent.sleep(0.05)
        server.stop_accepting()
        assert server.has_pending_requests()
        sock.sendall(REQUEST[20:])
        assert read_all(sock).startswith(b'HTTP/1.1 200')
        gevent.sleep(0.05)
        assert not server.has_pending_requests()
