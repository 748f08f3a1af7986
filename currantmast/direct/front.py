"""The server for callers: whole requests in, whole answers out.

gevent's WSGI server can't tell that a caller has left while its request runs, bounds
neither the size nor the time of a request head, and starts an answer only after its
application has read the body; so this one stands on gevent's stream server and llhttp.
"""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from socket import IPPROTO_TCP, SHUT_RDWR, SHUT_WR, TCP_NODELAY
from typing import Self

import gevent
import httptools
import msgspec
from gevent.event import Event
from gevent.greenlet import Greenlet
from gevent.server import StreamServer
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.model import CallerLimits
from currantmast.errors import CurrantmastError
from currantmast.messages import Address
from currantmast.runtime.logs import log_event

CHUNK_BYTES = 65_536
LISTEN_BACKLOG = 512
MAX_CONNECTIONS = 3000

# Requests that a caller may send ahead on one connection.
MAX_PIPELINED = 8

# Seconds without progress after which a body or an answer is given up.
PROGRESS_TIMEOUT_S = 10.0

# Seconds for which a connection that was answered for the last time is read on, so that
# unread bytes don't reset it before the answer has arrived.
LINGER_S = 1.0
LINGER_POLL_S = 0.01

CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)


class CallerGone(CurrantmastError):
    """The caller closed its connection before its answer was complete."""


class RequestRejected(CurrantmastError):
    """The bytes of a caller are no request that may be answered otherwise.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        What is wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


class Inbound(msgspec.Struct):
    """A whole request.

    Parameters
    ----------
    method, url : str
        As sent; `url` is path and query.
    headers : list of tuple
        Lower-case names and values, in order.
    body : bytes
        The whole body.
    keep_alive : bool
        Whether the caller may use the connection again.
    received_at : float
        Time in seconds at which its first byte arrived.
    """

    method: str
    url: str
    headers: list[tuple[str, str]]
    body: bytes
    keep_alive: bool
    received_at: float

    def get(self, name: str) -> str | None:
        """Return the value of header `name` (lower case), or None."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


class Outbound(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    reason: str = ''


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


class _RequestReader:
    """Parses the bytes of one connection into whole requests."""

    def __init__(self, sock: Socket, limits: CallerLimits, clock: Clock) -> None:
        self.started_at: float | None = None
        self.head_done = False
        self.complete: deque[Inbound | RequestRejected] = deque()
        self._sock = sock
        self._limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

    def feed(self, received: bytes) -> bool:
        """Parse bytes; return False when no request can follow on the connection."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.complete.append(_find_rejection(error))
            return False
        return True

    def choose_timeout(self) -> float:
        """Return the seconds that the next bytes may take."""
        if self.started_at is None:
            return self._limits.idle_s
        if self.head_done:
            return PROGRESS_TIMEOUT_S
        elapsed_s = self._clock.now() - self.started_at
        return max(0.001, self._limits.header_timeout_s - elapsed_s)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.started_at = self._clock.now()
        self.head_done = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = b''
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._count_head(len(name) + len(value) + 4)
        self._headers.append((name.decode('latin-1').lower(), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.head_done = True
        headers = dict(self._headers)
        length = headers.get('content-length', '0')
        if length.isdigit() and int(length) > self._limits.body_bytes:
            raise RequestRejected(413, 'the body is too large')
        if 'continue' in headers.get('expect', '').lower():
            self._sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise RequestRejected(413, 'the body is too large')
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        request = Inbound(
            method=self._parser.get_method().decode('latin-1'),
            url=self._url.decode('latin-1'),
            headers=self._headers,
            body=b''.join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self.started_at or self._clock.now(),
        )
        self.started_at = None
        self.complete.append(request)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            raise RequestRejected(431, 'the request head is too large')


class _Connection:
    """One connection of a caller: a reader, and a task for the request in work."""

    def __init__(self, server: FrontServer, sock: Socket) -> None:
        self._server = server
        self._sock = sock
        self._reader = _RequestReader(sock, server.get_limits(), server.clock)
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
        while not self._finished:
            received = self._receive()
            if received is None:
                continue
            if not received:
                raise CallerGone('closed')
            self._feed(received)
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
            received = self._sock.recv(CHUNK_BYTES)
            while received:
                received = self._sock.recv(CHUNK_BYTES)
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


def encode_answer(answer: Outbound, keep: bool, is_head: bool) -> bytes:
    """Return the bytes of an answer."""
    reason = answer.reason or _find_phrase(answer.status)
    lines = [f'HTTP/1.1 {answer.status} {reason}']
    lines.extend(
        f'{name}: {text}'
        for name, text in answer.headers
        if name.lower() not in CONNECTION_HEADERS
    )
    if answer.status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}:
        lines.append(f'Content-Length: {len(answer.body)}')
    if not keep:
        lines.append('Connection: close')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    return head if is_head else b''.join((head, answer.body))


def _find_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def _find_rejection(error: httptools.HttpParserError) -> RequestRejected:
    cause = error.__context__
    if isinstance(cause, RequestRejected):
        return cause
    return RequestRejected(400, f'{type(error).__name__}: {error}')
