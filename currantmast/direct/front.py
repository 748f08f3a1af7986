"""The server for callers: whole requests in, whole answers out.

gevent's WSGI server can't tell that a caller has left while its request runs, bounds
neither the size nor the time of a request head, and starts an answer only after its
application has read the body; so this one stands on gevent's stream server and llhttp.
"""

from collections.abc import Callable
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, SHUT_WR, TCP_NODELAY
from typing import Self

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet
from gevent.server import StreamServer
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.inbound import (
    PROGRESS_TIMEOUT_S,
    Inbound,
    Outbound,
    RequestReader,
    RequestRejected,
    encode_answer,
)
from currantmast.direct.model import CallerLimits
from currantmast.errors import CurrantmastError
from currantmast.messages import Address
from currantmast.runtime.logs import log_event

CHUNK_BYTES = 65_536
LISTEN_BACKLOG = 512
MAX_CONNECTIONS = 3000

# Bytes after which other tasks run, although the caller has sent more.
TURN_BYTES = 128 * 1024

# Requests that a caller may send ahead on one connection.
MAX_PIPELINED = 8

# Seconds for which a connection that was answered for the last time is read on, so that
# unread bytes don't reset it before the answer has arrived.
LINGER_S = 1.0
LINGER_POLL_S = 0.01


class CallerGone(CurrantmastError):
    """The caller closed its connection before its answer was complete."""


Handler = Callable[[Inbound], Outbound]


class FrontServer:
    """Accepts callers and answers their requests; a context manager.

    Parameters
    ----------
    address : Address
        Where to listen.
    handler : callable
        Answers one request; may take long.
    get_limits : callable
        Returns what callers may send now.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.clock = clock
        self.closing = False
        self.active = 0
        self._connections: set[_Connection] = set()
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            backlog=LISTEN_BACKLOG,
            spawn=MAX_CONNECTIONS,
        )
        self._server.stop_timeout = 0
        self._server.init_socket()
        host, port = self._server.socket.getsockname()[:2]
        self.address = Address(host, port)

    def __enter__(self) -> Self:
        """Start to accept."""
        self._server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def __repr__(self) -> str:
        """Return the address."""
        return f'<FrontServer {self.address} active={self.active}>'

    def close_connections(self) -> None:
        """From now on tell callers to open a new connection after each answer."""
        self.closing = True

    def stop_accepting(self) -> None:
        """Accept no more, and close the connections without a request."""
        self.closing = True
        self._server.close()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def _serve(self, sock: Socket, remote: tuple[str, int]) -> None:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        connection = _Connection(self, sock)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class _Connection:
    """One connection of a caller: a reader, and a task for the request in work."""

    def __init__(self, server: FrontServer, sock: Socket) -> None:
        self._server = server
        self._sock = sock
        self._reader = RequestReader(sock, server.get_limits(), server.clock)
        self._waiting = self._reader.complete
        self._arrived = Event()
        self._task: Greenlet | None = None
        self._busy = False
        self._finished = False

    def run(self) -> None:
        """Serve the connection until it ends."""
        self._task = gevent.spawn(self._answer_all)
        try:
            self._read_all()
        except (OSError, CallerGone):
            # The caller has left or went silent; nothing is owed to it.
            self._finished = True
        finally:
            self._task.kill()
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if not self._in_work() and self._reader.started_at is None:
            self._finished = True
            self._sock.shutdown(SHUT_RDWR)

    def _in_work(self) -> bool:
        return self._busy or bool(self._waiting)

    def _read_all(self) -> None:
        turn = 0
        while not self._finished:
            received = self._receive()
            if received is None:
                continue
            if not received:
                raise CallerGone('closed')
            self._feed(received)
            turn += len(received)
            if turn >= TURN_BYTES:
                gevent.sleep(0)
                turn = 0
        self._linger()

    def _receive(self) -> bytes | None:
        """Return the next bytes, or None when there are none but work goes on."""
        self._sock.settimeout(self._reader.choose_timeout())
        try:
            return self._sock.recv(CHUNK_BYTES)
        except TimeoutError:
            if self._in_work():
                return None
            if self._reader.started_at is None:
                raise
        late = RequestRejected(408, 'the request did not arrive in time')
        self._waiting.append(late)
        self._arrived.set()
        return None

    def _feed(self, received: bytes) -> None:
        usable = self._reader.feed(received)
        if len(self._waiting) > MAX_PIPELINED:
            raise CallerGone('too many requests ahead')
        if self._waiting:
            self._arrived.set()
        if not usable:
            self._linger()

    def _linger(self) -> None:
        """Wait for the last answer, and read on until the caller has seen it."""
        with gevent.Timeout(PROGRESS_TIMEOUT_S, CallerGone('linger')):
            while not self._finished:
                gevent.sleep(LINGER_POLL_S)
        with gevent.Timeout(LINGER_S, CallerGone('linger')):
            self._sock.settimeout(LINGER_S)
            while self._sock.recv(CHUNK_BYTES):
                gevent.sleep(0)
        raise CallerGone('answered for the last time')

    def _answer_all(self) -> None:
        while not self._finished:
            self._arrived.wait()
            self._arrived.clear()
            while self._waiting and not self._finished:
                self._answer(self._waiting.popleft())

    def _answer(self, request: Inbound | RequestRejected) -> None:
        self._busy = True
        self._server.active += 1
        try:
            self._write(request, self._respond(request))
        except OSError:
            self._finished = True
            self._sock.close()
        finally:
            self._busy = False
            self._server.active -= 1

    def _respond(self, request: Inbound | RequestRejected) -> Outbound:
        if isinstance(request, RequestRejected):
            log_event('request_rejected', status=request.status, error=request)
            return Outbound(request.status)
        try:
            return self._server.handler(request)
        except Exception as error:
            log_event('request_failed', level='ERROR', error=error)
            return Outbound(HTTPStatus.BAD_GATEWAY)

    def _write(self, request: Inbound | RequestRejected, answer: Outbound) -> None:
        keep = False
        is_head = False
        if isinstance(request, Inbound):
            keep = request.keep_alive and not self._server.closing
            is_head = request.method == 'HEAD'
        self._sock.settimeout(PROGRESS_TIMEOUT_S)
        self._sock.sendall(encode_answer(answer, keep, is_head))
        if not keep:
            self._finished = True
            self._sock.shutdown(SHUT_WR)
