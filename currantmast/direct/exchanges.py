"""Connection pool for targets; each exchange sends one request and reads its answer.

An answer is accepted only if it echoes the id of the request: targets may answer twice,
late, or with malformed bytes. A connection is reused only after exactly one complete
answer with no bytes behind it.
"""

from collections import deque
from collections.abc import Iterator
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Self

import gevent
import msgspec
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.answers import (
    Answer,
    AnswerMatcher,
    AnswerReader,
    BufferedBytes,
)
from currantmast.direct.bodies import Body
from currantmast.direct.memory import MemoryBudget
from currantmast.direct.parserturns import ParserTurns, ReadPace
from currantmast.direct.sockets import is_readable
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address
from currantmast.writers import RequestWriter

CONNECT_TIMEOUT_S = 0.4

# Longest time in seconds between two parts of an answer that may exceed its timeout.
STALL_TIMEOUT_S = 0.6

# Lowest status of an answer that wants no more of the request's body.
FIRST_FAILED_STATUS = 400

# Shortest timeout in seconds of a socket; 0 would make it non-blocking.
MIN_TIMEOUT_S = 0.001

# Bytes received after which the loop yields to other tasks.
YIELD_BYTES = 128 * 1024


class TargetRequest(msgspec.Struct, frozen=True):
    """One request as it is sent to a target.

    Parameters
    ----------
    method, url : str
        HTTP method, and path with query string.
    headers : tuple of tuple
        Names and values, without Content-Length.
    body : Body
        Complete request body.
    transfer_s : float
        Seconds by which an answer that has begun may exceed the timeout, as long as its
        bytes keep arriving.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: Body = b''
    transfer_s: float = 0


class _Deadline:
    """Time by which the next bytes of an answer must arrive.

    Parameters
    ----------
    clock : Clock
        Source of time.
    timeout_s : float
        Seconds until the answer must have begun.
    transfer_s : float
        Seconds by which it may end later, as long as its bytes keep arriving.
    """

    __slots__ = ('_at', '_clock', '_last', 'extends', 'longest_s')

    def __init__(self, clock: Clock, timeout_s: float, transfer_s: float) -> None:
        self._clock = clock
        self._at = clock.now() + timeout_s
        self._last = self._at + transfer_s
        self.extends = transfer_s > 0
        self.longest_s = timeout_s + transfer_s

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<_Deadline left_s={self.left_s():.3f}>'

    def left_s(self) -> float:
        """Return the seconds until the next bytes must arrive."""
        return self._at - self._clock.now()

    def note_progress(self) -> None:
        """Record that bytes have arrived."""
        next_at = min(self._last, self._clock.now() + STALL_TIMEOUT_S)
        self._at = max(self._at, next_at)


class _Idle(msgspec.Struct, frozen=True):
    """An idle connection, and until which clock time in seconds it may be used."""

    sock: Socket
    address: Address
    until: float


class TargetConnections:
    """Pool of connections to targets; a context manager that closes the idle ones.

    Parameters
    ----------
    clock : Clock
        Source of time.
    budget : MemoryBudget, optional
        Budget from which the memory of answers is taken.
    turns : ParserTurns, optional
        Turns of the connections whose bytes cost most to parse.
    """

    __slots__ = ('_buffered', '_clock', '_idle', '_turns', 'opened_count')

    def __init__(
        self,
        clock: Clock,
        budget: MemoryBudget | None = None,
        turns: ParserTurns | None = None,
    ) -> None:
        self._clock = clock
        self._turns = turns or ParserTurns(clock)
        self._buffered = BufferedBytes(budget)
        self._idle: dict[str, deque[_Idle]] = {}
        self.opened_count = 0

    def __enter__(self) -> Self:
        """Return the pool."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        self.close_all_idle()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetConnections idle={sum(map(len, self._idle.values()))}>'

    def close_idle(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for idle in self._idle.pop(target_id, ()):
            idle.sock.close()

    def close_expired(self) -> None:
        """Close the idle connections that are no longer used.

        Among them are those that came back after their target had been removed.
        """
        now = self._clock.now()
        for target_id, idle_sockets in tuple(self._idle.items()):
            while idle_sockets and idle_sockets[0].until <= now:
                idle_sockets.popleft().sock.close()
            if not idle_sockets:
                self._idle.pop(target_id)

    def close_all_idle(self) -> None:
        """Close the idle connections to all targets."""
        for target_id in tuple(self._idle):
            self.close_idle(target_id)

    def exchange(
        self,
        target_id: str,
        address: Address,
        request: TargetRequest,
        timeout_s: float,
        matches: AnswerMatcher,
    ) -> Answer:
        """Send `request` once and return its answer.

        Parameters
        ----------
        target_id : str
            Id of the target's current run, by which connections are pooled.
        address : Address
            Address on which the target listens.
        request : TargetRequest
            Request to send.
        timeout_s : float
            Timeout of the whole exchange, in seconds.
        matches : callable
            Returns whether an answer belongs to the request.

        Raises
        ------
        NothingSent
            If no connection could be opened, so the target can't have run the request.
        ProgressTimeout, AnswerTooLarge, AnswerIncomplete, ExchangeBroken
            If bytes may have been sent and no complete answer was received.
        """
        started = self._clock.now()
        sock = self._take_idle(target_id, address)
        connect_s: float = 0
        if sock is None:
            sock = self._open(address, min(timeout_s, CONNECT_TIMEOUT_S))
            connect_s = self._clock.now() - started
        reader = AnswerReader(
            matches, connect_s, self._buffered, is_head=request.method == 'HEAD'
        )
        reusable = False
        left_s = timeout_s - (self._clock.now() - started)
        deadline = _Deadline(self._clock, left_s, request.transfer_s)
        try:
            writer = RequestWriter(sock, encode_request(request))
            with writer:
                answer = _converse(
                    sock, reader, writer, deadline, ReadPace(self._turns)
                )
            reusable = writer.is_written() and reader.is_reusable()
        except OSError as error:
            raise ExchangeBroken(f'{type(error).__name__}: {error}') from error
        finally:
            reader.close()
            if reusable:
                idle = _Idle(sock, address, self._clock.now() + reader.idle_s)
                self._return_to_pool(target_id, idle)
            else:
                sock.close()
        return answer

    def try_connect(self, address: Address) -> None:
        """Open a connection and close it again.

        Raises
        ------
        NothingSent
            If no connection could be opened.
        """
        self._open(address, CONNECT_TIMEOUT_S).close()

    def _open(self, address: Address, timeout_s: float) -> Socket:
        if timeout_s <= 0:
            raise NothingSent('no time left')
        try:
            sock = create_connection((address.host, address.port), timeout_s)
        except OSError as error:
            raise NothingSent(f'{address}: {error}') from error
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.opened_count += 1
        return sock

    def _take_idle(self, target_id: str, address: Address) -> Socket | None:
        idle_sockets = self._idle.get(target_id)
        while idle_sockets:
            idle = idle_sockets.pop()
            # The target may have moved, and another one may listen where it was.
            is_current = idle.address == address and self._clock.now() < idle.until
            if is_current and not is_readable(idle.sock):
                return idle.sock
            idle.sock.close()
        return None

    def _return_to_pool(self, target_id: str, idle: _Idle) -> None:
        idle_sockets = self._idle.setdefault(target_id, deque())
        idle_sockets.append(idle)
        while idle_sockets and idle_sockets[0].until <= self._clock.now():
            idle_sockets.popleft().sock.close()


def _converse(
    sock: Socket,
    reader: AnswerReader,
    writer: RequestWriter,
    deadline: _Deadline,
    pace: ReadPace,
) -> Answer:
    with gevent.Timeout(deadline.longest_s, ProgressTimeout('no answer')):
        answer = _receive_answer(sock, reader, writer, deadline, pace)
    if answer.status < FIRST_FAILED_STATUS:
        # A target that accepts early may read the rest of the body later.
        writer.finish(STALL_TIMEOUT_S, deadline.left_s())
    return answer


def _receive_answer(
    sock: Socket,
    reader: AnswerReader,
    writer: RequestWriter,
    deadline: _Deadline,
    pace: ReadPace,
) -> Answer:
    sock.settimeout(None)
    unyielded_bytes = 0
    while reader.answer is None:
        received = _receive(sock, deadline, pace.choose_size(reader.is_within_body()))
        parts_before = reader.part_count
        if received:
            reader.feed(received)
        elif writer.is_received():
            reader.finish()
        else:
            raise AnswerIncomplete('the connection ended before the request')
        size = len(received)
        # Not kept while the connection waits for its turn.
        received = None
        if reader.answer is None:
            pace.note_read(size, reader.part_count - parts_before)
        unyielded_bytes += size
        if unyielded_bytes >= YIELD_BYTES:
            # `recv` doesn't yield while bytes are available, so no timer could fire.
            gevent.sleep(0)
            unyielded_bytes = 0
    return reader.answer


def _receive(sock: Socket, deadline: _Deadline, size: int) -> bytes:
    if not deadline.extends:
        return sock.recv(size)
    sock.settimeout(max(MIN_TIMEOUT_S, deadline.left_s()))
    try:
        received = sock.recv(size)
    except TimeoutError as error:
        raise ProgressTimeout('no more bytes') from error
    deadline.note_progress()
    return received


def encode_request(request: TargetRequest) -> Iterator[bytes | bytearray]:
    """Return the request as HTTP/1.1 in parts; a body in blocks is not copied."""
    lines = [f'{request.method} {request.url} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in request.headers)
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(request.body)}')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    if isinstance(request.body, bytes):
        yield b''.join((head, request.body))
        return
    yield head
    yield from request.body
