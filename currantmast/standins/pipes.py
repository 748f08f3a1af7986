"""Proxied connections: two sockets and a pipe in each direction."""

from collections.abc import Callable, Iterable
from socket import SHUT_WR, SO_LINGER, SOL_SOCKET

import msgspec
from gevent import socket
from gevent.event import Event
from gevent.pool import Group
from gevent.queue import Queue

from currantmast.clocks import Clock
from currantmast.standins.serving import RESET_ON_CLOSE
from currantmast.standins.shaping import Shaper

CHUNK_BYTES = 16_384
# Chunks held for one direction of a connection: at most 4 MB.
MAX_CHUNKS = 256
# Seconds by which transmission may be planned ahead: the buffer of the link.
MAX_BACKLOG_S = 0.05
END = b''


class Ends(msgspec.Struct, frozen=True):
    """Where the bytes of one direction come from and go to."""

    source: socket.socket
    sink: socket.socket


class Pipe:
    """One direction of a proxied connection.

    Parameters
    ----------
    ends : Ends
        The two sockets.
    shaper : Shaper
        Decides when bytes arrive.
    loses : callable
        Returns whether bytes vanish at the moment.
    clock : Clock
        Time of arrivals.
    """

    __slots__ = ('_clock', '_ends', '_loses', '_queue', '_shaper', 'passed')

    def __init__(
        self, ends: Ends, shaper: Shaper, loses: Callable[[], bool], clock: Clock
    ) -> None:
        self._ends = ends
        self._shaper = shaper
        self._loses = loses
        self._clock = clock
        self._queue = Queue(MAX_CHUNKS)
        self.passed = 0

    def __repr__(self) -> str:
        """Return the number of bytes that arrived."""
        return f'<Pipe passed={self.passed}>'

    def read(self) -> None:
        """Take chunks from the source until it ends."""
        latest = self._clock.now()
        for chunk in iter(self._receive, END):
            if not self._loses():
                latest = max(latest, self._shaper.schedule(len(chunk)))
                self._queue.put((latest, chunk))
        self._queue.put((latest, END))

    def write(self) -> None:
        """Deliver chunks when they are due, until the source has ended."""
        due, chunk = self._queue.get()
        while chunk:
            self._wait(due)
            if not self._loses():
                self._ends.sink.sendall(chunk)
                self.passed += len(chunk)
            due, chunk = self._queue.get()
        self._wait(due)
        if self._loses():
            # The end of the stream is lost like all that went before it.
            Event().wait()
        self._ends.sink.shutdown(SHUT_WR)

    def _receive(self) -> bytes:
        ahead_s = self._shaper.get_backlog_s() - MAX_BACKLOG_S
        if ahead_s > 0:
            self._clock.sleep(ahead_s)
        return self._ends.source.recv(CHUNK_BYTES)

    def _wait(self, due: float) -> None:
        left_s = due - self._clock.now()
        if left_s > 0:
            self._clock.sleep(left_s)


class ProxiedConnection:
    """A caller's connection and the one to the upstream.

    Parameters
    ----------
    ends : tuple of socket
        The two sockets.

    Attributes
    ----------
    silent : bool
        Whether all bytes vanish.
    """

    __slots__ = ('_greenlets', 'ends', 'silent')

    def __init__(self, *ends: socket.socket) -> None:
        self.ends = ends
        self.silent = False
        self._greenlets = Group()

    def __repr__(self) -> str:
        """Return whether bytes vanish."""
        return f'<ProxiedConnection silent={self.silent}>'

    def run(self, pipes: Iterable[Pipe]) -> None:
        """Pass bytes until both directions have ended or one has failed."""
        for pipe in pipes:
            self._greenlets.spawn(self._guard, pipe.read)
            self._greenlets.spawn(self._guard, pipe.write)
        self._greenlets.join()
        for end in self.ends:
            end.close()

    def abort(self) -> None:
        """Reset both ends."""
        for end in self.ends:
            reset(end)
        self._greenlets.kill(block=False)

    def _guard(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError:
            self.abort()


def reset(connection: socket.socket) -> None:
    """Make the kernel send a reset when `connection` is closed, and end it."""
    try:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return
    connection.close()
