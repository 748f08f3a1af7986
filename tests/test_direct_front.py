"""HTTP server for callers: framing, limits, disconnects and shutdown."""

import socket as std_socket
from contextlib import contextmanager

import gevent
import msgspec
import pytest
from gevent import socket

from currantmast.clocks import BootClock
from currantmast.direct.bodies import StoredBody
from currantmast.direct.front import FrontServer
from currantmast.direct.inbound import OutboundAnswer
from currantmast.direct.memory import STALL_S
from currantmast.direct.model import CallerLimits
from currantmast.direct.rooms import CONNECTION_BYTES
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


class ChangingLimits:
    """The limits in force, which a newer configuration replaces."""

    def __init__(self, **changes):
        self.value = CallerLimits(idle_s=5, **changes)

    def replace(self, **changes):
        self.value = msgspec.structs.replace(self.value, **changes)

    @contextmanager
    def connect(self, handler=lambda inbound: OutboundAnswer(200)):
        address = Address('127.0.0.1', 0)
        server = FrontServer(address, handler, lambda: self.value, BootClock())
        with server, connect(server) as sock:
            yield sock


def upload(sock, size, header_bytes=0):
    filler = 'x' * header_bytes
    head = (
        f'POST /a HTTP/1.1\r\nHost: h\r\nX: {filler}\r\nContent-Length: {size}\r\n\r\n'
    )
    sock.sendall(head.encode() + b'f' * size)
    return sock.recv(100)[:12].decode()[9:]


@pytest.mark.parametrize('size', [{'size': 600}, {'size': 1, 'header_bytes': 600}])
def test_kept_connection_applies_larger_limits_of_a_newer_configuration(size):
    """Guards against uploads that get 413 by limits which are no longer in force."""
    limits = ChangingLimits(header_bytes=300, body_bytes=300)
    with limits.connect() as sock:
        assert upload(sock, 100) == '200'
        limits.replace(header_bytes=2000, body_bytes=2000)
        assert upload(sock, **size) == '200'


def test_kept_connection_applies_smaller_limits_of_a_newer_configuration():
    """Guards against callers that keep the limits of their first request for ever."""
    limits = ChangingLimits(body_bytes=2000)
    with limits.connect() as sock:
        assert upload(sock, 600) == '200'
        limits.replace(body_bytes=300)
        assert upload(sock, 600) == '413'


def test_request_is_held_to_the_limits_at_its_first_byte():
    """Guards against a body that is refused midway by limits which came later."""
    limits = ChangingLimits(body_bytes=2000)
    with limits.connect() as sock:
        sock.sendall(
            b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        gevent.sleep(0.05)
        limits.replace(body_bytes=300)
        sock.sendall(b'258\r\n' + b'f' * 600 + b'\r\n0\r\n\r\n')
        assert sock.recv(100).startswith(b'HTTP/1.1 200')


def test_idle_connection_gets_the_longer_timeout_of_a_newer_configuration():
    """Guards against a connection that is closed while its caller may use it."""
    limits = ChangingLimits()
    limits.replace(idle_s=0.3)
    with limits.connect() as sock:
        assert upload(sock, 1) == '200'
        limits.replace(idle_s=5)
        gevent.sleep(0.8)
        assert upload(sock, 1) == '200'


def test_idle_time_counts_from_the_last_answer():
    """Guards against the same after a request that took as long as the timeout."""
    limits = ChangingLimits()
    limits.replace(idle_s=1)

    def answer_late(inbound):
        gevent.sleep(0.9)
        return OutboundAnswer(200)

    with limits.connect(answer_late) as sock:
        assert upload(sock, 1) == '200'
        gevent.sleep(0.5)
        assert upload(sock, 1) == '200'


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


def test_refusal_by_the_head_comes_before_the_body_and_before_100_continue():
    """Guards against bodies that are read though their request is refused."""
    asked = []
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n'
    with open_front(echo) as server, connect(server) as sock:
        server.admit = lambda request: asked.append(request.url) or OutboundAnswer(429)
        sock.sendall(head)
        assert read_all(sock).startswith(b'HTTP/1.1 429')
        assert asked == ['/a']


def test_100_continue_comes_once_the_head_is_admitted():
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n'
    with open_front(echo) as server, connect(server) as sock:
        sock.sendall(head)
        assert sock.recv(65_536) == b'HTTP/1.1 100 Continue\r\n\r\n'
        sock.sendall(b'some body')
        assert sock.recv(65_536).endswith(b'some body')
        gevent.sleep(0)
        assert server.resources.budget.held == CONNECTION_BYTES


@pytest.mark.parametrize('chunk_bytes', [1, 300])
def test_body_in_very_small_chunks_is_whole(chunk_bytes):
    body = bytes(range(256)) * 35
    parts = [
        body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)
    ]
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    with open_front(echo) as server:
        answer = exchange(
            server, head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
        )
    assert answer.endswith(body)


def test_trailers_are_no_headers():
    """Guards against a key or id that comes behind the body."""
    sent = (
        b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nApi-Key: k\r\n\r\n'
    )
    found = []
    with open_front(lambda request: found.append(request) or echo(request)) as server:
        assert exchange(server, sent).startswith(b'HTTP/1.1 200')
    assert found[0].get('api-key') is None


def test_body_that_loses_its_room_is_refused_and_its_connection_closed():
    limits = CallerLimits(header_timeout_s=5, idle_s=5)
    with open_front(echo, limits) as server, connect(server) as sock:
        sock.sendall(b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n')
        sock.sendall(b'x' * 499_999)
        gevent.sleep(STALL_S + 0.1)
        budget = server.resources.budget
        assert budget.held > 499_999
        assert budget.close_stalled()
        assert read_all(sock).startswith(b'HTTP/1.1 503')
        gevent.sleep(0.05)
        assert budget.held == 0


def test_answer_that_nobody_reads_loses_its_room():
    """Guards against callers that keep large answers in memory by not reading them."""
    body = StoredBody()
    for _ in range(300):
        body.append(b'y' * 65_536)
    with (
        open_front(lambda request: OutboundAnswer(200, (), body)) as server,
        connect(server) as sock,
    ):
        budget = server.resources.budget
        sock.sendall(REQUEST)
        gevent.sleep(STALL_S + 0.1)
        assert budget.held > len(body)
        assert budget.close_stalled()
        gevent.sleep(0.05)
        assert budget.held == 0
        assert server.active_requests == 0


@pytest.mark.parametrize('size', [0, 5000, 9000])
def test_large_head_counts_while_it_arrives(size):
    """Guards against many large heads that never end."""
    limits = CallerLimits(body_bytes=10_000, header_timeout_s=5, idle_s=5)
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 8000
    with open_front(echo, limits) as server, connect(server) as sock:
        sock.sendall(head)
        gevent.sleep(0.05)
        assert server.resources.budget.held >= CONNECTION_BYTES + 8000
        sock.sendall(
            f'\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n'.encode()
        )
        sock.sendall(b'z' * size)
        assert read_all(sock).endswith(b'\r\n\r\n' + b'z' * size)
        gevent.sleep(0.05)
        assert server.resources.budget.held == CONNECTION_BYTES


def test_connection_that_has_ended_does_not_break_a_planned_stop():
    """Guards against a stop that fails, as a caller has just closed its connection."""
    with open_front(echo) as server, connect(server) as sock:
        sock.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        assert sock.recv(65_536)
        (connection,) = server._connections
        connection._sock.shutdown(std_socket.SHUT_RDWR)
        sock.close()
        server.stop_accepting()


def test_request_behind_the_answered_one_is_answered_in_a_planned_stop():
    """Guards against dropping a request that was read before the stop began."""
    with open_front(echo) as server, connect(server) as sock:
        head = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
        sock.sendall(head * 2)
        server.disable_keep_alive()
        assert read_all(sock).count(b'HTTP/1.1 200') == 2
