"""Requests that wait here because no target has room for them at this moment.

At a target the requests wait first come first served, so the less urgent delay the more
urgent there. Here they wait without taking a place, and the target is chosen when one has
room. This answers a surge of a less urgent kind, and targets that shed for a moment.

The wait is bounded by a fraction of the latency objective. A request waits only if those
before it found room in that time; otherwise it is refused at once.
"""

import math
from collections import Counter
from typing import Self

from currantmast.clocks import Clock
from currantmast.direct.urgency import Urgency
from currantmast.runtime.logs import log_event

# Longest wait, as a fraction of the latency objective.
WAIT_FRACTION = 0.12

# Longest wait in seconds; shorter than the margin of the lease that was checked before.
MAX_WAIT_S = 0.5

# Seconds between looks for room, and those after which a look is made without news.
POLL_S = 0.01
MAX_POLL_S = 0.05

# Seconds between the looks of one request for each that waits, which bounds their cost.
POLL_PER_WAITING_S = 0.002

# Requests that may wait at one instance at once. Each holds its body in memory.
MAX_WAITING = 64

# Fraction of waits that ended with room below which none begins, and above which waits
# begin again. The distance keeps the level from swinging.
CLOSE_BELOW = 0.4
OPEN_ABOVE = 0.6

# Weight of one wait in that fraction.
OUTCOME_WEIGHT = 0.1

# Seconds between the waits that are tried while a level is closed.
TRIAL_S = 1.0


class WaitLevel:
    """Whether requests of one service and urgency wait, and how their waits ended.

    Attributes
    ----------
    is_open : bool
        Whether requests wait.
    success : float
        Fraction from 0 to 1 of recent waits that ended with room.
    tried_at : float
        Clock time in seconds of the last trial while it was closed.
    """

    __slots__ = ('is_open', 'success', 'tried_at')

    def __init__(self) -> None:
        self.is_open = True
        self.success: float = 1
        self.tried_at = -math.inf

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<WaitLevel open={self.is_open} success={self.success:.2f}>'

    def note(self, found: bool) -> bool:
        """Record how a wait ended; return whether the level opened or closed."""
        self.success += OUTCOME_WEIGHT * (found - self.success)
        limit = CLOSE_BELOW if self.is_open else OPEN_ABOVE
        was_open = self.is_open
        self.is_open = self.success >= limit
        return self.is_open is not was_open


class Wait:
    """The wait of one request, as a context manager.

    Parameters
    ----------
    requests : WaitingRequests
        All that wait here.
    key : tuple of str and Urgency
        Service and urgency.
    until : float
        Clock time in seconds at which the wait ends in any case.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_changes',
        '_clock',
        '_key',
        '_looked_at',
        '_requests',
        '_until',
        'found',
    )

    def __init__(
        self,
        requests: 'WaitingRequests',
        key: tuple[str, Urgency],
        until: float,
        clock: Clock,
    ) -> None:
        self._requests = requests
        self._key = key
        self._until = until
        self._clock = clock
        self._looked_at = clock.now()
        self._changes = requests.count_changes(key[0])
        # Set when a target has room.
        self.found = False

    def __enter__(self) -> Self:
        """Begin the wait."""
        self._requests.waiting[self._key] += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the wait, and record whether room was found."""
        self._requests.waiting[self._key] -= 1
        self._requests.note_end(self._key, found=self.found)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Wait {self._key} until={self._until:.3f}>'

    def sleep(self) -> bool:
        """Sleep until a target may have room; return False at the end of the wait."""
        while self._clock.now() < self._until:
            self._clock.sleep(POLL_S)
            changes = self._requests.count_changes(self._key[0])
            now = self._clock.now()
            rested_s = now - self._looked_at
            if rested_s < POLL_PER_WAITING_S * self._requests.count():
                continue
            if changes != self._changes or rested_s >= MAX_POLL_S:
                self._changes = changes
                self._looked_at = now
                if self._requests.is_preceded(self._key):
                    # The more urgent look first.
                    self._clock.sleep(POLL_S)
                return True
        return False


class WaitingRequests:
    """The requests that wait at this instance, by service and urgency.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    levels : dict of WaitLevel
        By service and urgency.
    waiting : Counter
        Requests that wait now, by service and urgency.
    """

    __slots__ = ('_changes', '_clock', 'levels', 'waiting')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changes: Counter[str] = Counter()
        self.levels: dict[tuple[str, Urgency], WaitLevel] = {}
        self.waiting: Counter[tuple[str, Urgency]] = Counter()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<WaitingRequests {self.count()}>'

    def count(self) -> int:
        """Return the number of requests that wait now."""
        return self.waiting.total()

    def count_closed(self) -> int:
        """Return for how many services and urgencies none waits but for trials."""
        return sum(not level.is_open for level in self.levels.values())

    def note_room(self, service: str) -> None:
        """Record that a target of `service` may have room: it answered."""
        self._changes[service] += 1

    def count_changes(self, service: str) -> int:
        """Return how often a target of `service` may have got room."""
        return self._changes[service]

    def is_preceded(self, key: tuple[str, Urgency]) -> bool:
        """Return whether a more urgent request waits for the same service."""
        service, urgency = key
        return any(
            waiting and name == service and other < urgency
            for (name, other), waiting in self.waiting.items()
        )

    def begin(self, service: str, urgency: Urgency, until: float) -> Wait | None:
        """Return a wait that ends at `until`; None if the request is refused at once."""
        if until <= self._clock.now() or self.count() >= MAX_WAITING:
            return None
        if not (self._is_open(service, urgency) or self._take_trial(service, urgency)):
            return None
        return Wait(self, (service, urgency), until, self._clock)

    def note_end(self, key: tuple[str, Urgency], *, found: bool) -> None:
        """Record how a wait ended, and log it if that opens or closes a level."""
        self._note(key, found=found)
        service, urgency = key
        if found:
            # Closed levels of more urgent requests, of which none may come for long.
            for name, other in tuple(self.levels):
                closed = not self.levels[name, other].is_open
                if closed and name == service and other < urgency:
                    self._note((name, other), found=True)

    def _note(self, key: tuple[str, Urgency], *, found: bool) -> None:
        level = self._get_level(*key)
        if not level.note(found):
            return
        service, urgency = key
        log_event(
            'waiting_opened' if level.is_open else 'waiting_closed',
            service=service,
            urgency=str(urgency),
            success=level.success,
            waiting=self.count(),
        )

    def _is_open(self, service: str, urgency: Urgency) -> bool:
        """Return whether requests wait; not while more urgent ones find no room."""
        return all(
            level.is_open
            for (name, rank), level in self.levels.items()
            if name == service and rank <= urgency
        )

    def _take_trial(self, service: str, urgency: Urgency) -> bool:
        level = self._get_level(service, urgency)
        now = self._clock.now()
        due = now - level.tried_at >= TRIAL_S
        if due:
            level.tried_at = now
        return due

    def _get_level(self, service: str, urgency: Urgency) -> WaitLevel:
        return self.levels.setdefault((service, urgency), WaitLevel())
