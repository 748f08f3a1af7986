"""A bounded buffer between log lines and an output that may be slow or gone."""

import os
from collections import deque
from itertools import count
from typing import Self

import gevent
from gevent.greenlet import Greenlet

# Lines kept while the output takes none: routine ones, and warnings and worse, which
# therefore outlive a flood of routine ones.
MAX_ROUTINE = 4000
MAX_IMPORTANT = 4000

FLUSH_PERIOD_S = 0.1
CHUNK_BYTES = 65_536


class LogBuffer:
    """Writes lines to a file descriptor without ever waiting for it.

    A context manager that writes what it still can at the end. Lines beyond the bounds
    are dropped, oldest first, and their number is written once the output takes lines
    again.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is made non-blocking.
    """

    __slots__ = (
        '_descriptor',
        '_important',
        '_numbers',
        '_pending',
        '_routine',
        '_task',
        'lost',
    )

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        # Numbers the lines, so that they are written in the order in which they came.
        self._numbers = count()
        self._routine: deque[tuple[int, str]] = deque()
        self._important: deque[tuple[int, str]] = deque()
        self._pending = b''
        self._task: Greenlet | None = None
        self.lost = 0

    def __enter__(self) -> Self:
        """Start the task that writes."""
        self._task = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Write what the output takes at once, and stop."""
        if self._task is not None:
            self._task.kill()
        self.flush()

    def __repr__(self) -> str:
        """Return the number of lines kept."""
        kept = len(self._routine) + len(self._important)
        return f'<LogBuffer kept={kept} lost={self.lost}>'

    def write(self, line: str, *, important: bool) -> None:
        """Keep one line; important ones are kept apart from a flood of others."""
        numbered = (next(self._numbers), f'{line}\n')
        if important:
            self._keep(self._important, MAX_IMPORTANT, numbered)
        else:
            self._keep(self._routine, MAX_ROUTINE, numbered)

    def flush(self) -> None:
        """Write as much as the output takes now."""
        while self._pending or self._routine or self._important:
            if not self._pending:
                self._pending = self._take_chunk()
            if not self._write_pending():
                return

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_PERIOD_S)
            self.flush()

    def _keep(self, lines: deque, most: int, line: tuple[int, str]) -> None:
        if len(lines) >= most:
            lines.popleft()
            self.lost += 1
        lines.append(line)

    def _take_chunk(self) -> bytes:
        parts: list[str] = []
        size = 0
        while size < CHUNK_BYTES and (self._routine or self._important):
            text = self._take_oldest()
            parts.append(text)
            size += len(text)
        if self.lost:
            parts.append(f'level=WARNING event=log_lines_lost lines={self.lost}\n')
            self.lost = 0
        return ''.join(parts).encode()

    def _take_oldest(self) -> str:
        lines = [lines for lines in (self._routine, self._important) if lines]
        oldest = min(lines, key=lambda known: known[0][0])
        return oldest.popleft()[1]

    def _write_pending(self) -> bool:
        """Write pending bytes; return False when the output takes no more."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has gone for good; nobody is left to read lines.
            self._pending = b''
            self._routine.clear()
            self._important.clear()
            return False
        self._pending = self._pending[written:]
        return True
