"""Clocks: the runtime's clock and one that tests pause and advance."""

import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """Source of time for all decisions and tasks."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> float:
        """Return wall-clock time in unix seconds."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""


class LoopClock:
    """Clock of the running event loop."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return wall-clock time in unix seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""
        gevent.sleep(seconds)

    def __repr__(self) -> str:
        """Return a short description."""
        return '<LoopClock>'


class ManualClock:
    """Clock that moves only when it is advanced.

    Parameters
    ----------
    start : float
        Initial monotonic time, in seconds.
    wall_offset : float
        Difference between wall-clock and monotonic time, in seconds.
    """

    __slots__ = ('_now', '_wall_offset')

    def __init__(self, start: float = 0, wall_offset: float = 1_000_000_000) -> None:
        self._now = start
        self._wall_offset = wall_offset

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return wall-clock time in unix seconds."""
        return self._now + self._wall_offset

    def sleep(self, seconds: float) -> None:
        """Advance the clock by `seconds` and let other tasks run."""
        self.advance(seconds)
        gevent.sleep(0)

    def advance(self, seconds: float) -> None:
        """Move time forward.

        Parameters
        ----------
        seconds : float
            Distance in seconds, not negative.
        """
        self._now += max(0, seconds)

    def __repr__(self) -> str:
        """Return the current time."""
        return f'<ManualClock now={self._now:.3f}>'


class BootClock(LoopClock):
    """Clock of the event loop that also counts the time of a suspension."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since the machine started, suspended or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def __repr__(self) -> str:
        """Return a short description."""
        return '<BootClock>'
