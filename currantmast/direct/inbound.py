"""Requests from callers and the answers to them: messages, parser and encoder."""

from collections import deque
from http import HTTPStatus

import httptools
import msgspec
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.model import CallerLimits
from currantmast.errors import CurrantmastError

# Time without progress after which reading a body or writing an answer is aborted.
PROGRESS_TIMEOUT_S = 10.0

# Headers that apply to one connection or frame the body, so they are not forwarded.
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

# Bytes that a request may have beyond its header names and values and its body content,
# such as chunk framing.
MAX_FRAMING_BYTES = 65_536


class RequestRejected(CurrantmastError):
    """The bytes from a caller are not an acceptable request.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        Why it was rejected; logged, not sent to the caller.
    """

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        super().__init__(reason)


class InboundRequest(msgspec.Struct):
    """A complete request from a caller.

    Parameters
    ----------
    method, url : str
        As sent; `url` is path and query string.
    headers : list of tuple
        Lower-case names and values, in order.
    body : bytes
        Complete body, without transfer coding.
    keep_alive : bool
        Whether the caller may reuse the connection.
    received_at : float
        Clock time in seconds at which the first byte arrived.
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


class OutboundAnswer(msgspec.Struct, frozen=True):
    """A complete answer to a caller; an empty `reason` means the standard phrase."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    reason: str = ''


class RequestReader:
    """Parser of the bytes of one connection into complete requests.

    Parameters
    ----------
    sock : Socket
        Connection, for the answer to `Expect: 100-continue`.
    limits : CallerLimits
        Sizes and timeouts of requests.
    clock : Clock
        Source of time.
    """

    def __init__(self, sock: Socket, limits: CallerLimits, clock: Clock) -> None:
        self.started_at: float | None = None
        self.head_complete = False
        self.parsed: deque[InboundRequest | RequestRejected] = deque()
        self._sock = sock
        self._limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._overhead = 0
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []

    def feed(self, received: bytes) -> bool:
        """Parse received bytes; return False if the connection can't carry more."""
        before = self._body_bytes
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.parsed.append(_find_rejection(error))
            return False
        self._overhead += len(received) - max(0, self._body_bytes - before)
        # The parser reports a name or value only when it is complete, so the callbacks
        # alone would not limit its size.
        max_overhead = self._limits.header_bytes + MAX_FRAMING_BYTES + self._body_bytes
        if self._overhead > max_overhead:
            self.parsed.append(RequestRejected(431, 'too many bytes outside the body'))
            return False
        return True

    def choose_timeout(self) -> float:
        """Return the timeout in seconds for receiving the next bytes."""
        if self.started_at is None:
            return self._limits.idle_s
        if self.head_complete:
            return PROGRESS_TIMEOUT_S
        elapsed_s = self._clock.now() - self.started_at
        return max(0.001, self._limits.header_timeout_s - elapsed_s)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self.started_at = self._clock.now()
        self.head_complete = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = b''
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._count_head(len(name) + len(value) + 4)
        self._headers.append((name.decode('latin-1').lower(), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the announced body length, and send `100 Continue` if asked to."""
        self.head_complete = True
        headers = dict(self._headers)
        length = headers.get('content-length', '0')
        if length.isdigit() and int(length) > self._limits.body_bytes:
            raise RequestRejected(413, 'the body is too large')
        if 'continue' in headers.get('expect', '').lower():
            self._sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise RequestRejected(413, 'the body is too large')
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = InboundRequest(
            method=self._parser.get_method().decode('latin-1'),
            url=self._url.decode('latin-1'),
            headers=self._headers,
            body=b''.join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self.started_at or self._clock.now(),
        )
        self.started_at = None
        self._overhead = 0
        self.parsed.append(request)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            raise RequestRejected(431, 'the request head is too large')


def encode_answer(answer: OutboundAnswer, keep_alive: bool, is_head: bool) -> bytes:
    """Return the answer as HTTP/1.1 bytes.

    Parameters
    ----------
    answer : OutboundAnswer
        Answer to encode.
    keep_alive : bool
        Whether the connection stays open.
    is_head : bool
        Whether the request was a HEAD request, whose answer has no body.
    """
    reason = answer.reason or _find_phrase(answer.status)
    lines = [f'HTTP/1.1 {answer.status} {reason}']
    lines.extend(
        f'{name}: {text}'
        for name, text in answer.headers
        if name.lower() not in CONNECTION_HEADERS
    )
    if answer.status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}:
        lines.append(f'Content-Length: {len(answer.body)}')
    if not keep_alive:
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
