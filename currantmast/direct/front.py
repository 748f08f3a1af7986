"""HTTP server for callers, which handles complete requests and answers.

gevent's WSGI server can't detect that a caller has disconnected while its request runs,
limits neither the size nor the time of a request head, and starts an answer only after
the application has read the body. This server therefore uses gevent's stream server and
llhttp.
"""

from collections.abc import Callable
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, SHUT_WR, TCP_NODELAY
from typing import Self

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet
from gevent.server import StreamServer
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.connectionslots import SlotUse
from currantmast.direct.delivery import Delivery
from currantmast.direct.inbound import (
    HeadHandler,
    InboundRequest,
    OutboundAnswer,
    RequestReader,
    RequestRejected,
    admit_all,
    reject_for_room,
)
from currantmast.direct.model import CallerLimits
from currantmast.direct.parserturns import READ_BYTES, ReadPace
from currantmast.direct.requesttimers import PROGRESS_TIMEOUT_S
from currantmast.direct.rooms import CallerResources
from currantmast.direct.sockets import is_readable
from currantmast.errors import CurrantmastError
from currantmast.messages import Address
from currantmast.runtime.logs import log_event
from currantmast.runtime.origins import find_origin

LISTEN_BACKLOG = 512

# Connections that may be accepted above the limit before idle ones have been closed.
EXTRA_CONNECTIONS = 100

# Bytes received after which the loop yields to other tasks.
YIELD_BYTES = 128 * 1024

# Limit of the requests that wait on one connection (HTTP pipelining).
MAX_PIPELINED = 8

# Time for which a connection is still read after its last answer. Closing it with unread
# bytes would reset it, and the caller could lose the answer.
LINGER_S = 1.0
LINGER_POLL_S = 0.01

# The same for a request that was refused by its head while its body arrives.
BODY_LINGER_S = 3.0


class CallerDisconnected(CurrantmastError):
    """The connection to the caller has ended, or has to be closed."""


Handler = Callable[[InboundRequest], OutboundAnswer]


class FrontServer:
    """Accepts connections from callers and answers their requests; a context manager.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handler : callable
        Returns the answer to one request; may block its task for long.
    get_limits : callable
        Returns the limits that are in force for callers.
    clock : Clock
        Source of time.
    resources : CallerResources, optional
        What the servers of the process share.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
        resources: CallerResources | None = None,
    ) -> None:
        self.handler = handler
        self.admit: HeadHandler = admit_all
        self.resources = resources or CallerResources()
        self.get_limits = get_limits
        self.clock = clock
        self.closing = False
        self.active_requests = 0
        self._connections: set[_Connection] = set()
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            backlog=LISTEN_BACKLOG,
            spawn=self.resources.slots.limit + EXTRA_CONNECTIONS,
        )
        self._server.stop_timeout = 0
        self._server.init_socket()
        host, port = self._server.socket.getsockname()[:2]
        self.address = Address(host, port)

    def __enter__(self) -> Self:
        """Start accepting connections."""
        self._server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<FrontServer {self.address} active={self.active_requests}>'

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer, so that callers reconnect."""
        self.closing = True

    def stop_accepting(self) -> None:
        """Close the listener and the connections that have no request.

        Connections that wait in the listener's queue are accepted first, and those with
        unread bytes stay open, since these may be requests.
        """
        self.closing = True
        for sock, remote in iter(self._server.do_read, None):
            gevent.spawn(self._serve, sock, remote)
        self._server.close()
        # Lets the new connections read what has arrived.
        gevent.sleep(0)
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def has_pending_requests(self) -> bool:
        """Return whether a request is being received or answered."""
        return any(connection.is_busy() for connection in self._connections)

    def _serve(self, sock: Socket, remote: tuple[str, int]) -> None:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        connection = _Connection(self, sock)
        with self.resources.admit(connection) as is_admitted:
            if not is_admitted:
                sock.close()
                return
            self._connections.add(connection)
            try:
                connection.run()
            finally:
                self._connections.discard(connection)


class _Connection:
    """One connection from a caller: a read loop, and a task that answers its requests.

    Reading goes on while a request is handled, so that a disconnect is detected.
    """

    def __init__(self, server: FrontServer, sock: Socket) -> None:
        self._server = server
        self._sock = sock
        self._reader = RequestReader(
            server.get_limits,
            server.clock,
            server.admit,
            partial(server.resources.budget.open, self._evict),
        )
        self._pace = ReadPace(server.resources.turns)
        self._pending = self._reader.parsed
        self._request_arrived = Event()
        self._task: Greenlet | None = None
        self._reading: Greenlet | None = None
        self._busy = False
        self._finished = False
        # Whether the connection lost the room for the body that arrives on it.
        self._evicted = False
        self._refused_head = False

    def run(self) -> None:
        """Serve the connection until it is closed."""
        self._task = gevent.spawn(self._answer_all)
        self._reading = gevent.getcurrent()
        try:
            self._read_all()
        except (OSError, CallerDisconnected):
            # The caller disconnected or timed out, so there is nobody to answer.
            self._finished = True
        finally:
            self._end(self._task)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has started to arrive."""
        if not self.is_busy():
            self.close()

    def get_use(self) -> SlotUse:
        """Return what the connection is used for."""
        if self._has_pending_requests():
            return SlotUse.answering
        if self._reader.timer.started_at is not None:
            return SlotUse.receiving
        return SlotUse.idle

    def close(self) -> None:
        """End the connection without blocking."""
        self._finished = True
        with suppress(OSError):
            self._sock.shutdown(SHUT_RDWR)

    def is_busy(self) -> bool:
        """Return whether a request has started to arrive, or isn't answered yet."""
        if self._finished:
            return False
        if self._has_pending_requests() or self._reader.timer.started_at is not None:
            return True
        return is_readable(self._sock)

    def _end(self, task: Greenlet) -> None:
        """End the task, give back the memory of unanswered requests, and close."""
        # Keeps the answering task from ending this one a second time.
        self._evicted = False
        try:
            task.kill()
        finally:
            self._reader.close()
            self._sock.close()

    def _has_pending_requests(self) -> bool:
        return self._busy or bool(self._pending)

    def _read_all(self) -> None:
        unyielded_bytes = 0
        while not self._finished and not self._reader.is_rejected:
            unyielded_bytes += self._read_part()
            if self._reader.needs_room():
                self._wait_for_room()
            if unyielded_bytes >= YIELD_BYTES:
                gevent.sleep(0)
                unyielded_bytes = 0
        self._linger()

    def _read_part(self) -> int:
        """Read and parse what arrives next; return its size in bytes.

        The bytes are local to this call, so that a connection that waits for more keeps
        none.
        """
        received = self._receive()
        if received is None:
            return 0
        if not received:
            raise CallerDisconnected('the caller closed the connection')
        parts_before = self._reader.part_count
        self._reader.feed(received)
        if len(self._pending) > MAX_PIPELINED:
            raise CallerDisconnected('too many pipelined requests')
        if self._pending:
            self._request_arrived.set()
        size = len(received)
        # Not kept while the connection waits for its turn.
        received = None
        self._pace.note_read(size, self._reader.part_count - parts_before)
        return size

    def _receive(self) -> bytes | None:
        """Return received bytes, or None if none arrived and the connection goes on."""
        is_answering = self._has_pending_requests()
        self._sock.settimeout(self._reader.timer.choose_timeout(is_answering))
        try:
            return self._sock.recv(
                self._pace.choose_size(self._reader.is_within_body())
            )
        except TimeoutError:
            if self._has_pending_requests():
                return None
            if self._reader.timer.started_at is None:
                if self._reader.timer.is_idle_too_long():
                    raise
                return None
        if not self._reader.is_rejected:
            timeout = RequestRejected(408, 'the request did not arrive in time')
            self._reader.reject(timeout)
            self._request_arrived.set()
        return None

    def _wait_for_room(self) -> None:
        """Stop reading until the large body has room; reject it if it gets none."""
        if not self._server.resources.wait_for_room(self._reader, self._server.clock):
            self._reader.reject(reject_for_room())
            self._request_arrived.set()
        if self._reader.should_continue():
            self._sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _evict(self) -> None:
        """Reject the body that arrives, and close the connection."""
        self._reader.reject(reject_for_room())
        self._evicted = True
        self._request_arrived.set()

    def _linger(self) -> None:
        """Wait for the last answer, then discard what the caller still sends."""
        # Requests end by their deadlines, so this does, too.
        while not (self._finished or self._task is None or self._task.ready()):
            gevent.sleep(LINGER_POLL_S)
        linger_s = BODY_LINGER_S if self._refused_head else LINGER_S
        with gevent.Timeout(
            linger_s, CallerDisconnected('timeout after the last request')
        ):
            self._sock.settimeout(linger_s)
            while self._sock.recv(READ_BYTES):
                gevent.sleep(0)
        raise CallerDisconnected('answered the last request')

    def _answer_all(self) -> None:
        while not self._finished:
            self._request_arrived.wait()
            self._request_arrived.clear()
            while self._pending and not self._finished:
                self._answer(self._pending.popleft())

    def _answer(self, request: InboundRequest | RequestRejected) -> None:
        self._busy = True
        self._server.active_requests += 1
        try:
            self._write(request, _respond(self._server.handler, request))
        except OSError:
            self._finished = True
            self._sock.close()
        finally:
            self._end_request(request)

    def _end_request(self, request: InboundRequest | RequestRejected) -> None:
        request.release()
        self._reader.timer.note_activity()
        self._busy = False
        self._server.active_requests -= 1
        self._server.resources.slots.note_use(self)

    def _write(
        self, request: InboundRequest | RequestRejected, answer: OutboundAnswer
    ) -> None:
        keep_alive = False
        is_head = False
        if isinstance(request, InboundRequest):
            # A request that was read behind this one is answered, too.
            is_last = self._server.closing and not self._pending
            keep_alive = request.keep_alive and not is_last
            is_head = request.method == 'HEAD'
        else:
            self._refused_head = request.answer is not None
        self._sock.settimeout(PROGRESS_TIMEOUT_S)
        delivery = Delivery(self._sock, self._server.resources.budget, self.close)
        delivery.write(answer, keep_alive, is_head)
        if not keep_alive:
            self._finished = True
            self._sock.shutdown(SHUT_WR)
        if self._evicted and isinstance(request, RequestRejected):
            # Its caller has stalled, so there is nothing to wait for.
            gevent.kill(self._reading, CallerDisconnected('no room'))


def _respond(
    handler: Handler, request: InboundRequest | RequestRejected
) -> OutboundAnswer:
    if isinstance(request, RequestRejected):
        if request.answer is not None:
            return request.answer
        log_event('request_rejected', status=request.status, error=request)
        return OutboundAnswer(request.status)
    try:
        return handler(request)
    except Exception as error:
        log_event('request_failed', level='ERROR', error=error, at=find_origin(error))
        return OutboundAnswer(HTTPStatus.BAD_GATEWAY)
