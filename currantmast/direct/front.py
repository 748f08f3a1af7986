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
from gevent import Greenlet, Timeout
from gevent.event import Event
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


class _Connection:
    """One connection of a caller: a reader, and a task for the request in work."""

    def __init__(self, server: FrontServer, sock: Socket) -> None:
        self._server = server
        self._sock = sock
        self._limits = server.get_limits()
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[Inbound | RequestRejected] = deque()
        self._arrived = Event()
        self._task: Greenlet | None = None
        self._busy = False
        self._finished = False
        self._started_at: float | None = None
        self._head_done = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

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
        if not self._busy and not self._waiting and self._started_at is None:
            self._finished = True
            self._sock.shutdown(SHUT_RDWR)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._started_at = self._server.clock.now()
        self._head_done = False
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
        self._head_done = True
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
        """Hand the whole request to the task that answers."""
        request = Inbound(
            method=self._parser.get_method().decode('latin-1'),
            url=self._url.decode('latin-1'),
            headers=self._headers,
            body=b''.join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self._started_at or self._server.clock.now(),
        )
        self._started_at = None
        self._put(request)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            raise RequestRejected(431, 'the request head is too large')

    def _put(self, request: Inbound | RequestRejected) -> None:
        if len(self._waiting) >= MAX_PIPELINED:
            raise CallerGone('too many requests ahead')
        self._waiting.append(request)
        self._arrived.set()

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
        self._sock.settimeout(self._choose_timeout())
        try:
            return self._sock.recv(CHUNK_BYTES)
        except TimeoutError:
            if self._busy or self._waiting:
                return None
            if self._started_at is not None:
                self._put(RequestRejected(408, 'the request did not arrive in time'))
                return None
            raise

    def _choose_timeout(self) -> float:
        if self._started_at is None or self._busy:
            return self._limits.idle_s
        if self._head_done:
            return PROGRESS_TIMEOUT_S
        elapsed_s = self._server.clock.now() - self._started_at
        return max(0.001, self._limits.header_timeout_s - elapsed_s)

    def _feed(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._put(_find_rejection(error))
            self._linger()

    def _linger(self) -> None:
        with Timeout(PROGRESS_TIMEOUT_S, CallerGone('linger')):
            while not self._finished:
                gevent.sleep(0.01)
        with Timeout(LINGER_S, CallerGone('linger')):
            self._sock.settimeout(LINGER_S)
            while self._sock.recv(CHUNK_BYTES):
                continue
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
            self._write(request, self._handle(request))
        except OSError:
            self._finished = True
            self._sock.close()
        finally:
            self._busy = False
            self._server.active -= 1

    def _handle(self, request: Inbound | RequestRejected) -> Outbound:
        match request:
            case RequestRejected(status=status):
                log_event('request_rejected', status=status, error=request)
                return Outbound(status)
        try:
            return self._server.handler(request)
        except Exception as error:
            log_event('request_failed', level='ERROR', error=error)
            return Outbound(HTTPStatus.BAD_GATEWAY)

    def _write(self, request: Inbound | RequestRejected, answer: Outbound) -> None:
        keep = (
            isinstance(request, Inbound)
            and request.keep_alive
            and not self._server.closing
        )
        is_head = isinstance(request, Inbound) and request.method == 'HEAD'
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
    head = '\r\n'.join(lines).encode('latin-1')
    return head + b'\r\n\r\n' + (b'' if is_head else answer.body)


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
