"""Limits and timeouts of the requests on one connection."""

from collections.abc import Callable

from currantmast.clocks import Clock
from currantmast.direct.model import CallerLimits

# Time without progress after which reading a body or writing an answer is aborted.
PROGRESS_TIMEOUT_S = 10.0

# Longest time in seconds for which an idle connection waits without a look at the limits,
# which a newer configuration may have changed, and the shortest timeout of a read.
IDLE_CHECK_S = 5.0
MIN_TIMEOUT_S = 0.001


class RequestTimer:
    """Limits of the request that arrives, and how long the connection waits for bytes.

    A request is held to the limits that were in force when its first byte arrived, an
    idle connection to the newest.

    Parameters
    ----------
    get_limits : callable
        Returns the limits in force.
    clock : Clock
        Source of time.

    Attributes
    ----------
    limits : CallerLimits
        Limits of the request that arrives, or arrived last.
    started_at : float or None
        Clock time in seconds at which it began; None while none arrives.
    head_complete : bool
        Whether its head has arrived.
    """

    __slots__ = (
        '_active_at',
        '_clock',
        '_get_limits',
        'head_complete',
        'limits',
        'started_at',
    )

    def __init__(self, get_limits: Callable[[], CallerLimits], clock: Clock) -> None:
        self._get_limits = get_limits
        self._clock = clock
        self.limits = get_limits()
        self.started_at: float | None = None
        self.head_complete = False
        # Time at which bytes arrived or an answer ended last.
        self._active_at = clock.now()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RequestTimer started_at={self.started_at}>'

    def note_activity(self) -> None:
        """Record that bytes arrived, or that an answer ended."""
        self._active_at = self._clock.now()

    def begin(self) -> None:
        """Record the first byte of a request."""
        self.started_at = self._clock.now()
        self.limits = self._get_limits()
        self.head_complete = False

    def end(self) -> None:
        """Record the last byte of a request."""
        self.started_at = None

    def choose_timeout(self, is_answering: bool) -> float:
        """Return the timeout in seconds for receiving the next bytes.

        Parameters
        ----------
        is_answering : bool
            Whether a request of the connection is not answered yet.
        """
        if self.started_at is None:
            idle_s = self._get_limits().idle_s
            left_s = idle_s if is_answering else self._measure_idle_left()
            return min(IDLE_CHECK_S, max(MIN_TIMEOUT_S, left_s))
        if self.head_complete:
            return PROGRESS_TIMEOUT_S
        elapsed_s = self._clock.now() - self.started_at
        return max(MIN_TIMEOUT_S, self.limits.header_timeout_s - elapsed_s)

    def is_idle_too_long(self) -> bool:
        """Return whether the connection has been idle for longer than is allowed."""
        return self.started_at is None and self._measure_idle_left() <= 0

    def _measure_idle_left(self) -> float:
        return self._active_at + self._get_limits().idle_s - self._clock.now()
