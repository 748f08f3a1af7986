"""A planned stop: until when an instance takes requests, and which it still passes on.

Callers learn within a few seconds that the instance leaves, so requests come on until then.
One that is passed on late may run longer than the process does: it is cut off, its caller
doesn't know whether it ran, and it may be one that must not be sent again. So a request is
passed on only if it ends before the process. The others are refused at once, and their
callers turn to other instances.
"""

import math
from collections.abc import Iterable

from currantmast.clocks import Clock

# Fractions of the grace period after which no more connections are accepted, and after
# which the process exits at the latest.
ACCEPT_FRACTION = 0.5
EXIT_FRACTION = 0.95

# Seconds before the exit by which a request must have ended, so that its answer is sent.
ANSWER_MARGIN_S = 0.1

# Seconds from the begin of a stop for whose requests the slowest recent answer tells how
# long they may take. For later ones only the deadline counts: callers know others by then.
ESTIMATE_S = 3.0

# Factor by which the time left must exceed the slowest recent answer.
SLOWEST_FACTOR = 1.25

# Weight of one faster answer in the decay of the slowest one.
DECAY_WEIGHT = 0.002


class PlannedStop:
    """The planned stop of this instance, from its begin to the exit.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_begun_at', '_clock', '_grace_s', '_slowest_s')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._begun_at = math.inf
        self._grace_s: float = 0
        # Seconds of the slowest recent answer, by service.
        self._slowest_s: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<PlannedStop begun={self.begun} exit_at={self.exit_at}>'

    @property
    def begun(self) -> bool:
        """Whether the instance leaves."""
        return self._begun_at < math.inf

    @property
    def accept_until(self) -> float:
        """Clock time in seconds until which connections are accepted."""
        return self._begun_at + self._grace_s * ACCEPT_FRACTION

    @property
    def exit_at(self) -> float:
        """Clock time in seconds at which the process exits at the latest."""
        return self._begun_at + self._grace_s * EXIT_FRACTION

    def begin(self, grace_s: float) -> None:
        """Begin the stop; the process is killed in `grace_s` seconds."""
        self._begun_at = self._clock.now()
        self._grace_s = grace_s

    def note_answer(self, service: str, elapsed_s: float) -> None:
        """Record how long an answer took, or how long one that failed was waited for."""
        slowest_s = self._slowest_s.get(service, elapsed_s)
        decayed_s = slowest_s - DECAY_WEIGHT * (slowest_s - elapsed_s)
        self._slowest_s[service] = max(elapsed_s, decayed_s)

    def may_finish(
        self, services: Iterable[str], received_at: float, deadline_at: float
    ) -> bool:
        """Return whether a request that is sent now ends before the process does.

        Parameters
        ----------
        services : iterable of str
            Services that the request may go to.
        received_at : float
            Clock time in seconds at which its first byte arrived.
        deadline_at : float
            Clock time in seconds at which it ends in any case.
        """
        latest = self.exit_at - ANSWER_MARGIN_S
        if not self.begun or deadline_at <= latest:
            return True
        if received_at > self._begun_at + ESTIMATE_S:
            return False
        # Without any answer yet, nothing tells how long the request may take.
        slowest_s = max(self._slowest_s.get(service, math.inf) for service in services)
        return self._clock.now() + SLOWEST_FACTOR * slowest_s <= latest
