"""Writing of a request to a connection while its answer is already read.

A server may answer before it has read a long body. The answer tells whether the rest is
worth writing, and how a connection ended tells whether the server got all of it.
"""

from array import array
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from fcntl import ioctl
from socket import SO_ERROR, SOL_SOCKET
from termios import TIOCOUTQ
from typing import Self

import gevent
from gevent.greenlet import Greenlet
from gevent.socket import socket as Socket


class RequestWriter:
    """Writes one request to a connection; a task does it if the socket takes only a part.

    As a context manager it starts to write, and stops in the end.

    Parameters
    ----------
    sock : Socket
        Connection to the server.
    parts : iterable of bytes or bytearray
        Request to write, in parts that are not copied.
    """

    __slots__ = ('_left', '_left_bytes', '_sock', '_task')

    def __init__(self, sock: Socket, parts: Iterable[bytes | bytearray]) -> None:
        self._sock = sock
        self._left = deque(map(memoryview, parts))
        self._left_bytes = sum(map(len, self._left))
        self._task: Greenlet | None = None

    def __enter__(self) -> Self:
        """Start to write."""
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Write nothing more."""
        if self._task is not None:
            self._task.kill()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RequestWriter left={self._left_bytes}>'

    def start(self) -> None:
        """Write what the socket takes at once, and leave the rest to a task."""
        try:
            with suppress(BlockingIOError):
                self._write_all(timeout_s=0)
        except OSError:
            # The server may have answered before it closed, so the answer is read.
            return
        if self._left:
            self._task = gevent.spawn(self._write_rest)

    def is_written(self) -> bool:
        """Return whether the socket took the whole request."""
        return not self._left

    def is_received(self) -> bool:
        """Return whether the server's side has the whole request and sent no reset.

        A reset that failed a write, or that follows an orderly close, is not reported
        to the next read, so the socket is asked for it.
        """
        if self._left or self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
            return False
        unacknowledged = array('i', [0])
        ioctl(self._sock.fileno(), TIOCOUTQ, unacknowledged)
        return not unacknowledged[0]

    def finish(self, stall_s: float, longest_s: float) -> None:
        """Wait until the rest is written, or the server stops taking it.

        Parameters
        ----------
        stall_s : float
            Longest time in seconds without progress.
        longest_s : float
            Longest time in seconds for all of the rest.
        """
        task = self._task
        if task is None:
            return
        with gevent.Timeout(max(0, longest_s), exception=False):
            before = 0
            while not task.ready() and self._left_bytes != before:
                before = self._left_bytes
                task.join(stall_s)

    def _write_rest(self) -> None:
        try:
            self._write_all(timeout_s=None)
        except OSError:
            # The end of the connection is found by the reader of the answer.
            return

    def _write_all(self, timeout_s: float | None) -> None:
        # The socket's own timeout is that of the reader.
        while self._left:
            part = self._left[0]
            sent = self._sock.send(part, timeout=timeout_s)
            self._left_bytes -= sent
            if sent < len(part):
                self._left[0] = part[sent:]
            else:
                self._left.popleft()
