"""Requests from callers and the answers to them: messages and parser."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from currantmast.clocks import Clock
from currantmast.direct.bodies import Body, append_part, complete_body
from currantmast.direct.memory import SMALL_BYTES, Reservation
from currantmast.direct.model import CallerLimits
from currantmast.direct.requesttimers import RequestTimer
from currantmast.errors import CurrantmastError

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

# Bytes of framing for each byte of a body: a chunk of one byte takes five beside it.
FRAMING_PER_BYTE = 8

# Bodies up to this size need no reservation: the memory of a connection covers them.
COVERED_BYTES = 4096

# Seconds after which a caller that found no room may come again; holders that stall for
# as long are closed by then.
ROOM_RETRY_AFTER_S = 1


class RequestRejected(CurrantmastError):
    """The bytes from a caller are not an acceptable request.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        Why it was rejected; logged, not sent to the caller.
    answer : OutboundAnswer, optional
        Answer that was decided and logged already.
    """

    def __init__(
        self, status: int, reason: str, answer: 'OutboundAnswer | None' = None
    ) -> None:
        self.status = status
        self.answer = answer
        super().__init__(reason)

    def release(self) -> None:
        """Do nothing: a rejected request holds no memory."""


class InboundRequest(msgspec.Struct):
    """A complete request from a caller.

    Parameters
    ----------
    method, url : str
        As sent; `url` is path and query string.
    headers : list of tuple
        Lower-case names and values, in order.
    body : Body
        Complete body, without transfer coding.
    keep_alive : bool
        Whether the caller may reuse the connection.
    received_at : float
        Clock time in seconds at which the first byte arrived.
    admitted : bool
        Whether it was admitted by its head, before its body was read.
    reservation : Reservation or None
        Memory of the body.
    """

    method: str
    url: str
    headers: list[tuple[str, str]]
    body: Body
    keep_alive: bool
    received_at: float
    admitted: bool = False
    reservation: Reservation | None = None

    def get(self, name: str) -> str | None:
        """Return the value of header `name` (lower case), or None."""
        for known, text in self.headers:
            if known == name:
                return text
        return None

    def release(self) -> None:
        """Give the memory of the body back."""
        if self.reservation is not None:
            self.reservation.release()


class OutboundAnswer(msgspec.Struct, frozen=True):
    """A complete answer to a caller; an empty `reason` means the standard phrase."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: Body = b''
    reason: str = ''


class AdmittedHead(msgspec.Struct, frozen=True):
    """A request is admitted by its head; `team` sends its body, empty if unknown."""

    team: str = ''


HeadHandler = Callable[[InboundRequest], OutboundAnswer | AdmittedHead]


class RequestReader:
    """Parser of the bytes of one connection into complete requests.

    Parameters
    ----------
    get_limits : callable
        Returns the sizes and timeouts in force.
    clock : Clock
        Source of time.
    admit : callable
        Decides on a large request by its head.
    reserve : callable
        Returns an empty reservation for a body.
    """

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
        admit: HeadHandler,
        reserve: Callable[[], Reservation],
    ) -> None:
        self.timer = RequestTimer(get_limits, clock)
        self.parsed: deque[InboundRequest | RequestRejected] = deque()
        self.reservation: Reservation | None = None
        self.is_rejected = False
        # Whether the caller waits for `100 Continue`.
        self.is_awaited = False
        self._is_large = False
        self._clock = clock
        self._admit = admit
        self._reserve: Callable[[], Reservation] | None = reserve
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        # Parts of bodies that were parsed.
        self.part_count = 0
        self._overhead = 0
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: Body = b''

    def feed(self, received: bytes) -> bool:
        """Parse received bytes; return False if the connection can't carry more."""
        if self.is_rejected:
            return False
        self.timer.note_activity()
        before = self._body_bytes
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.reject(_find_rejection(error))
            return False
        self._overhead += len(received) - max(0, self._body_bytes - before)
        # The parser reports a name or value only when it is complete, so the callbacks
        # alone would not limit its size.
        max_overhead = self.timer.limits.header_bytes + MAX_FRAMING_BYTES
        max_overhead += self._body_bytes * FRAMING_PER_BYTE
        if self._overhead > max_overhead:
            self.reject(RequestRejected(431, 'too many bytes outside the body'))
            return False
        if not self.timer.head_complete and not self._hold(self._overhead):
            self.reject(reject_for_room())
            return False
        return True

    def reject(self, rejection: RequestRejected) -> None:
        """Queue the rejection of the request that arrives, and drop its body."""
        if not self.is_rejected:
            self.parsed.append(rejection)
        self.is_rejected = True
        self.release()

    def release(self) -> None:
        """Drop the body of the request that arrives, and give its memory back."""
        self._body = b''
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def close(self) -> None:
        """Release all requests, and what refers back to the reader or its owner."""
        self.release()
        self._reserve = None
        for request in self.parsed:
            request.release()
        self._parser = None

    def needs_room(self) -> bool:
        """Return whether a large body needs more room before it is read on."""
        return (
            self._is_large
            and self.reservation is not None
            and (self.is_awaited or self.reservation.is_short())
        )

    def is_within_body(self) -> bool:
        """Return whether the head of a request has arrived, but not all of its body."""
        return self.timer.started_at is not None and self.timer.head_complete

    def should_continue(self) -> bool:
        """Return whether `100 Continue` is due, once for each request."""
        is_due = self.is_awaited and not self.is_rejected
        self.is_awaited = False
        return is_due

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self.timer.begin()
        self._head_bytes = 0
        self._body_bytes = 0
        self._url = b''
        self._headers = []
        self._body = b''
        self._is_large = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header; those behind the body (trailers) are only counted."""
        self._count_head(len(name) + len(value) + 4)
        if not self.timer.head_complete:
            known = name.decode('latin-1').lower()
            self._headers.append((known, value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the announced body length, and decide on a large request."""
        self.timer.head_complete = True
        headers = dict(self._headers)
        length = headers.get('content-length', '0')
        announced = int(length) if length.isdigit() else 0
        if announced > self.timer.limits.body_bytes:
            raise _reject_size(announced, self.timer.limits)
        self.is_awaited = 'continue' in headers.get('expect', '').lower()
        if announced > SMALL_BYTES or self.is_awaited:
            self._begin_large(announced)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.part_count += 1
        self._body_bytes += len(body)
        if self._body_bytes > self.timer.limits.body_bytes:
            raise _reject_size(self._body_bytes, self.timer.limits)
        if self._body_bytes > SMALL_BYTES and not self._is_large:
            self._begin_large(0)
        if not self._hold(self._body_bytes):
            raise reject_for_room()
        self._body = append_part(self._body, body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self.reservation is not None:
            self.reservation.complete()
        self.parsed.append(self._make_request(complete_body(self._body)))
        self.timer.end()
        self.is_awaited = False
        self.reservation = None
        self._body = b''
        self._overhead = 0

    def _make_request(self, body: Body) -> InboundRequest:
        return InboundRequest(
            method=self._parser.get_method().decode('latin-1'),
            url=self._url.decode('latin-1'),
            headers=self._headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            received_at=self.timer.started_at or self._clock.now(),
            admitted=self._is_large,
            reservation=self.reservation,
        )

    def _hold(self, size: int) -> bool:
        """Reserve `size` bytes for the request that arrives; return False without room."""
        if size <= COVERED_BYTES:
            return True
        if self.reservation is None:
            self.reservation = self._reserve()
        reservation = self.reservation
        has_room = reservation.add(size - reservation.received)
        # The room may have been taken by closing this request itself.
        if self.is_rejected or not has_room:
            reservation.release()
            return False
        return True

    def _begin_large(self, announced: int) -> None:
        decision = self._admit(self._make_request(b''))
        if isinstance(decision, OutboundAnswer):
            raise RequestRejected(decision.status, 'refused by its head', decision)
        self._is_large = True
        if self.reservation is None:
            self.reservation = self._reserve()
        self.reservation.announce(announced, decision.team)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        most = self.timer.limits.header_bytes
        if self._head_bytes > most:
            raise RequestRejected(431, f'the head is too large, allowed: {most} bytes')


def reject_for_room() -> RequestRejected:
    """Return the rejection of a request whose body has no room."""
    headers = (('Retry-After', f'{ROOM_RETRY_AFTER_S}'), ('Content-Type', 'text/plain'))
    status = HTTPStatus.SERVICE_UNAVAILABLE
    answer = OutboundAnswer(status, headers, b'no_memory\n')
    return RequestRejected(status, 'no room for the body', answer)


def _reject_size(size: int, limits: CallerLimits) -> RequestRejected:
    return RequestRejected(413, f'a body of {size} bytes, allowed: {limits.body_bytes}')


def admit_all(head: InboundRequest) -> AdmittedHead:
    """Admit each request by its head."""
    return AdmittedHead()


def _find_rejection(error: httptools.HttpParserError) -> RequestRejected:
    cause = error.__context__
    if isinstance(cause, RequestRejected):
        # The traceback would keep the received bytes until the answer is written.
        return cause.with_traceback(None)
    return RequestRejected(400, f'{type(error).__name__}: {error}')
