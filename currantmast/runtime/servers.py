"""HTTP servers: typed requests in, typed answers out, on gevent's WSGI server."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any, Self

import msgspec
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from currantmast.errors import CurrantmastError
from currantmast.messages import Address
from currantmast.runtime.logs import log_event

CHUNK_BYTES = 65_536
IDLE_TIMEOUT_S = 30.0
MAX_HEADER_COUNT = 64
MAX_HEADER_BYTES = 16_384
MAX_CONNECTIONS = 2000
SMALL_BODY_BYTES = 65_536
FAILED = 500


class BodyBroken(CurrantmastError):
    """The sender of a request body stopped before the announced length."""


class Inbound(msgspec.Struct):
    """A received request.

    Parameters
    ----------
    method, path, query : str
        Request line; `path` is as sent, not unquoted.
    headers : dict
        Values by lower-case name.
    length : int or None
        Announced body length in bytes; None when it is missing.
    stream : object
        Body of the request.
    remote : str
        Address of the other end.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    length: int | None
    stream: Any
    remote: str

    def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyBroken
            If the body is shorter than announced.
        """
        return b''.join(self.iterate_body())

    def iterate_body(self) -> Iterator[bytes]:
        """Yield the body in chunks of at most 64 KiB.

        Raises
        ------
        BodyBroken
            If the body is shorter than announced.
        """
        missing = self.length or 0
        while missing:
            chunk = self._read_chunk(min(missing, CHUNK_BYTES))
            missing -= len(chunk)
            yield chunk

    def _read_chunk(self, size: int) -> bytes:
        try:
            chunk = self.stream.read(size)
        except OSError as error:
            raise BodyBroken(str(error)) from error
        if not chunk:
            raise BodyBroken('the body ended before its announced length')
        return chunk


class Answer(msgspec.Struct, frozen=True):
    """An answer to send."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


def encode_json(status: int, content: object, *headers: tuple[str, str]) -> Answer:
    """Return an answer with `content` as JSON."""
    body = msgspec.json.encode(content)
    return Answer(status, (('Content-Type', 'application/json'), *headers), body)


class _Handler(WSGIHandler):
    """Handler that drops idle or slow connections and bounds header sizes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.socket.settimeout(IDLE_TIMEOUT_S)
        # Head and body leave in separate writes; waiting for the acknowledgement of
        # the first one costs 40 ms.
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def handle_one_response(self) -> None:
        """Count the request until its answer has been written."""
        with self.server.count_request():
            super().handle_one_response()

    def read_request(self, raw_requestline: str) -> Any:
        """Reject a request whose headers exceed the bounds."""
        accepted = super().read_request(raw_requestline)
        if accepted and _exceed_bounds(self.headers):
            self.log_error('headers exceed the bounds')
            return None
        return accepted

    def get_environ(self) -> dict[str, Any]:
        """Add the path as sent, since `PATH_INFO` is unquoted."""
        environ = super().get_environ()
        environ['RAW_PATH'] = self.path.partition('?')[0]
        return environ

    def log_request(self) -> None:
        """Log nothing: decisions are logged by those who make them."""


class _Silent:
    """Log of the WSGI server; the event log carries what matters."""

    def write(self, message: str) -> None:
        """Drop `message`."""


class _CountingServer(WSGIServer):
    """Server that knows how many requests have no written answer yet."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.requests = 0
        self.idle = Event()
        self.idle.set()

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count one request for the length of the block."""
        self.requests += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.requests -= 1
            if not self.requests:
                self.idle.set()


class HttpServer:
    """Owns a listening socket and the connections that it accepted.

    The socket is bound at once, so that its address is known; connections are
    accepted after `start`.

    Parameters
    ----------
    listen : Address
        Address to listen on; port 0 lets the kernel choose.
    """

    __slots__ = ('_is_closing', '_respond', '_server', 'address')

    def __init__(self, listen: Address) -> None:
        self._respond: Callable[[Inbound], Answer] | None = None
        self._is_closing = False
        self._server = _CountingServer(
            (listen.host, listen.port),
            self._serve,
            handler_class=_Handler,
            spawn=Pool(MAX_CONNECTIONS),
            log=_Silent(),
            error_log=_Silent(),
        )
        self._server.init_socket()
        self.address = Address(listen.host, self._server.server_port)

    def __enter__(self) -> Self:
        """Return the running server."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the listening socket and all connections."""
        self._server.stop(timeout=0)

    def __repr__(self) -> str:
        """Return the address and the number of running requests."""
        return f'<HttpServer {self.address} running={self.running}>'

    def start(self, respond: Callable[[Inbound], Answer]) -> None:
        """Accept connections; `respond` returns the answer to each request."""
        self._respond = respond
        self._server.start()

    @property
    def running(self) -> int:
        """Requests that are being served."""
        return self._server.requests

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is being served; return whether that happened."""
        return bool(self._server.idle.wait(timeout_s))

    def stop_accepting(self) -> None:
        """Close the listening socket; running requests go on."""
        self._server.close()

    def announce_end(self) -> None:
        """Close every connection after its next answer, so that callers go elsewhere."""
        self._is_closing = True

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        try:
            answer = self._respond(_parse_environ(environ))
        except Exception as error:
            log_event('request_failed', level='ERROR', error=error)
            answer = Answer(FAILED)
        phrase = HTTPStatus(answer.status).phrase
        headers = [*answer.headers, ('Content-Length', str(len(answer.body)))]
        if self._is_closing:
            headers.append(('Connection', 'close'))
        start_response(f'{answer.status} {phrase}', headers)
        return [answer.body]


def _exceed_bounds(headers: Any) -> bool:
    pairs = headers.items()
    if len(pairs) > MAX_HEADER_COUNT:
        return True
    return sum(len(name) + len(text) for name, text in pairs) > MAX_HEADER_BYTES


def _parse_environ(environ: dict[str, Any]) -> Inbound:
    headers = {
        name[5:].replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    length = environ.get('CONTENT_LENGTH')
    return Inbound(
        method=environ['REQUEST_METHOD'],
        path=environ['RAW_PATH'],
        query=environ.get('QUERY_STRING', ''),
        headers=headers,
        length=int(length) if length else None,
        stream=environ['wsgi.input'],
        remote=environ.get('REMOTE_ADDR', ''),
    )
