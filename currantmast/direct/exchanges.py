"""Exchanges with targets: one attempt each, on connections that ended cleanly before.

An answer belongs to a request only if it echoes the request's id: targets may answer
twice, late, or with bytes that are no answer. A connection is used again only after
exactly one whole answer, with nothing behind it.
"""

from collections import deque
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Self

import gevent
import msgspec
from gevent.select import select
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from currantmast.clocks import Clock
from currantmast.direct.answers import Answer, AnswerReader, HeldBytes, Owns
from currantmast.errors import (
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.4

# Bytes after which other tasks run, although the target has sent more.
TURN_BYTES = 128 * 1024


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


class _Idle(msgspec.Struct, frozen=True):
    """A kept connection and the time until which it may be used."""

    sock: Socket
    until: float


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
        reader = AnswerReader(owns, opened_s, self._held)
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


def _converse(sock: Socket, attempt: Attempt, reader: AnswerReader) -> Answer:
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
