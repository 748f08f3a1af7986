"""Exchanges with targets: one attempt each, on connections that ended cleanly before.

An answer belongs to a request only if it echoes the request's id: targets may answer
twice, late, or with bytes that are no answer. A connection is used again only after
exactly one whole answer, with nothing behind it.
"""

from collections import deque
from collections.abc import Callable
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Self

import gevent
import httptools
import msgspec
from gevent.select import select
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.inbound import CONNECTION_HEADERS
from currantmast.errors import (
    AnswerIncomplete,
    AnswerTooLarge,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.4

# Seconds for which an idle connection is kept when the target names no time, and the
# part of the named time: a target may close it just as a request is sent.
IDLE_S = 6.0
IDLE_PART = 0.6

# Bounds of one exchange. Overhead is all that is no body: heads, trailers, the framing of
# chunks, and empty lines.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_OVERHEAD_BYTES = 256 * 1024
MAX_HEADERS = 256
MAX_INTERIM_ANSWERS = 16
MAX_FOREIGN_ANSWERS = 16

# Bytes of bodies that all exchanges of a process may hold at the same time.
MAX_HELD_BYTES = 24 * 1024 * 1024

# Bytes after which other tasks run, although the target has sent more.
TURN_BYTES = 128 * 1024
FIRST_FINAL_STATUS = 200


class Attempt(msgspec.Struct, frozen=True):
    """One request as a target gets it.

    Parameters
    ----------
    method, url : str
        Method, and path with query.
    headers : tuple of tuple
        Names and values, without the length.
    body : bytes
        The whole body.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of a target.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : tuple of tuple
        Names and values, without those of the connection.
    body : bytes
        The whole body.
    opened_s : float
        Seconds that opening the connection took; 0 on a kept one.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    opened_s: float = 0

    def get(self, name: str) -> str | None:
        """Return the value of header `name` (lower case), or None."""
        for known, text in self.headers:
            if known.lower() == name:
                return text
        return None


Owns = Callable[[Answer], bool]


class _Idle(msgspec.Struct, frozen=True):
    """A kept connection and the time until which it may be used."""

    sock: Socket
    until: float


class HeldBytes:
    """Counts the bytes of bodies that all exchanges hold."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0

    def __repr__(self) -> str:
        """Return the count."""
        return f'<HeldBytes {self.count}>'

    def add(self, size: int) -> None:
        """Count the bytes of a part.

        Raises
        ------
        AnswerTooLarge
            If all exchanges together hold too many.
        """
        if self.count + size > MAX_HELD_BYTES:
            raise AnswerTooLarge('memory')
        self.count += size


class Exchanges:
    """Connections to all targets; a context manager that closes them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_held', '_idle', 'opened')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held = HeldBytes()
        self._idle: dict[str, deque[_Idle]] = {}
        self.opened = 0

    def __enter__(self) -> Self:
        """Return the connections."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        for target_id in tuple(self._idle):
            self.forget(target_id)

    def __repr__(self) -> str:
        """Return the number of idle connections."""
        return f'<Exchanges idle={sum(map(len, self._idle.values()))}>'

    def forget(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for idle in self._idle.pop(target_id, ()):
            idle.sock.close()

    def exchange(
        self,
        target_id: str,
        address: Address,
        attempt: Attempt,
        timeout_s: float,
        owns: Owns,
    ) -> Answer:
        """Send `attempt` once and return the answer that belongs to it.

        Parameters
        ----------
        target_id : str
            Run of the target; connections are kept by it.
        address : Address
            Where it listens.
        attempt : Attempt
            What to send.
        timeout_s : float
            Time for the whole exchange, in seconds.
        owns : callable
            Tells whether an answer belongs to the attempt.

        Raises
        ------
        NothingSent
            If no connection could be opened; nothing can have run.
        ProgressTimeout, AnswerTooLarge, AnswerIncomplete, ExchangeBroken
            If bytes may have left and no whole answer came back.
        """
        started = self._clock.now()
        sock = self._take_idle(target_id)
        opened_s: float = 0
        if sock is None:
            sock = self._open(address, min(timeout_s, CONNECT_TIMEOUT_S))
            opened_s = self._clock.now() - started
        reader = _AnswerReader(owns, opened_s, self._held)
        clean = False
        try:
            with gevent.Timeout(
                timeout_s - (self._clock.now() - started), ProgressTimeout('no answer')
            ):
                answer = _converse(sock, attempt, reader)
            clean = reader.is_clean()
        except OSError as error:
            raise ExchangeBroken(f'{type(error).__name__}: {error}') from error
        finally:
            reader.release()
            if clean:
                self._keep(target_id, sock, reader.idle_s)
            else:
                sock.close()
        return answer

    def _open(self, address: Address, timeout_s: float) -> Socket:
        if timeout_s <= 0:
            raise NothingSent('no time left')
        try:
            sock = create_connection((address.host, address.port), timeout_s)
        except OSError as error:
            raise NothingSent(f'{address}: {error}') from error
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.opened += 1
        return sock

    def _take_idle(self, target_id: str) -> Socket | None:
        kept = self._idle.get(target_id)
        while kept:
            idle = kept.pop()
            if self._clock.now() < idle.until and _is_quiet(idle.sock):
                return idle.sock
            idle.sock.close()
        return None

    def _keep(self, target_id: str, sock: Socket, idle_s: float) -> None:
        kept = self._idle.setdefault(target_id, deque())
        kept.append(_Idle(sock, self._clock.now() + idle_s))
        while kept and kept[0].until <= self._clock.now():
            kept.popleft().sock.close()


class _AnswerReader:
    """Parses what a target sends until the answer that belongs to the request."""

    def __init__(self, owns: Owns, opened_s: float, held: HeldBytes) -> None:
        self.answer: Answer | None = None
        self.idle_s = IDLE_S
        self._owns = owns
        self._opened_s = opened_s
        self._held = held
        self._parser = httptools.HttpResponseParser(self)
        self._begun = 0
        self._interim = 0
        self._foreign = 0
        self._dirty = False
        # The parser forgets it once it has told that an answer is complete.
        self._keep_alive = False
        self._reason = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._received = 0
        self._body_received = 0
        self._head_done = False

    def feed(self, received: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        AnswerTooLarge
            If they go beyond a bound.
        ExchangeBroken
            If they are no answer.
        """
        if self.answer is not None:
            self._dirty = True
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._dirty = True
            if self.answer is None:
                raise _find_cause(error) from error
        self._received += len(received)
        # Framing of small chunks takes a few times their size.
        most = MAX_OVERHEAD_BYTES + self._body_received
        if self.answer is None and self._received - self._body_received > most:
            raise AnswerTooLarge('overhead')

    def release(self) -> None:
        """Hold no bytes any more."""
        self._held.count -= self._size
        self._size = 0
        self._body = []

    def finish(self) -> None:
        """Take the end of the connection, which ends an answer without a length.

        Raises
        ------
        AnswerIncomplete
            If the answer was announced to be longer.
        """
        self._dirty = True
        names = {name.lower() for name, _ in self._headers}
        framed = names & {'content-length', 'transfer-encoding'}
        if not self._head_done or framed or self.answer is not None:
            raise AnswerIncomplete('the connection ended before the answer')
        self.on_message_complete()

    def is_clean(self) -> bool:
        """Return whether the connection may carry another request."""
        return not self._dirty and self._begun == 1 and self._keep_alive

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._begun += 1
        self._reason = b''
        self._headers = []
        self.release()
        self._head_done = False

    def on_status(self, status: bytes) -> None:
        """Take a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if len(self._headers) >= MAX_HEADERS:
            raise AnswerTooLarge('headers')
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Note how long the connection may be idle."""
        self._head_done = True
        for name, text in self._headers:
            if name.lower() == 'keep-alive':
                self._take_idle_time(text)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_received += len(body)
        if self.answer is not None:
            return
        if self._size + len(body) > MAX_BODY_BYTES:
            raise AnswerTooLarge('body')
        self._held.add(len(body))
        self._size += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Keep the answer if it belongs to the request."""
        status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if status < FIRST_FINAL_STATUS:
            self._count_interim()
            return
        if self.answer is not None:
            return
        headers = tuple(
            (name, text)
            for name, text in self._headers
            if name.lower() not in CONNECTION_HEADERS
        )
        answer = Answer(
            status,
            self._reason.decode('latin-1'),
            headers,
            b''.join(self._body),
            self._opened_s,
        )
        if self._owns(answer):
            self.answer = answer
            return
        self._foreign += 1
        if self._foreign > MAX_FOREIGN_ANSWERS:
            raise AnswerTooLarge('foreign')

    def _count_interim(self) -> None:
        self._begun -= 1
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise AnswerTooLarge('interim')

    def _take_idle_time(self, text: str) -> None:
        for field in text.split(','):
            name, _, seconds = field.strip().partition('=')
            if name.lower() == 'timeout' and seconds.isdigit():
                self.idle_s = min(IDLE_S, int(seconds) * IDLE_PART)


def _converse(sock: Socket, attempt: Attempt, reader: _AnswerReader) -> Answer:
    try:
        sock.sendall(encode_attempt(attempt))
    except ConnectionError:
        # A target may answer before it has read the whole body, and close.
        gevent.sleep(0)
    turn = 0
    while reader.answer is None:
        received = sock.recv(CHUNK_BYTES)
        if received:
            reader.feed(received)
        else:
            reader.finish()
        turn += len(received)
        if turn >= TURN_BYTES:
            # `recv` returns at once while there are bytes, and no timer could fire.
            gevent.sleep(0)
            turn = 0
    return reader.answer


def _find_cause(error: httptools.HttpParserError) -> ExchangeBroken:
    """Return the typed error for one of the parser, which wraps those of callbacks."""
    cause = error.__context__
    if isinstance(cause, AnswerTooLarge):
        return cause
    return ExchangeBroken(f'{type(error).__name__}: {error}')


def encode_attempt(attempt: Attempt) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{attempt.method} {attempt.url} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in attempt.headers)
    if attempt.body or attempt.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(attempt.body)}')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    return b''.join((head, attempt.body))


def _is_quiet(sock: Socket) -> bool:
    """Return whether an idle connection is open and has sent nothing."""
    readable, _, _ = select([sock], [], [], 0)
    return not readable
