"""Slots of targets, counted by the single owner of each target."""

import math
from collections.abc import Iterable
from operator import attrgetter

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.target_health import TargetHealth
from currantmast.decisions.target_load import (
    HeldSlots,
    Hold,
    LoadReport,
    ReportedLoad,
)
from currantmast.deployment import Target
from currantmast.outcomes import Outcome, OutcomeUnknown

# Seconds for which a slot stays in use after a request without a deadline ended with an
# unknown outcome. The target may still be working on it until it confirms a cancellation.
UNKNOWN_OUTCOME_HOLD_S = 5


class RunningRequest(msgspec.Struct, frozen=True):
    """A request that this owner has started on a target.

    `alone` says whether it must be the only request there; `deadline_at` is the monotonic
    time in seconds after which the target has stopped working on it, or None.
    """

    alone: bool
    deadline_at: float | None


class TargetSlots:
    """Tracks which slots of one target are in use.

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
    target : Target
        The target, with its number of slots.
    warm : bool
        Whether to skip the slow start, because another owner has used the target until
        the handover.
    """

    __slots__ = (
        '_clock',
        '_drained',
        '_held',
        '_reported',
        '_running',
        'health',
        'last_used_at',
        'target',
    )

    def __init__(self, clock: Clock, target: Target, *, warm: bool = False) -> None:
        self.target = target
        self.health = TargetHealth(clock, target.slots, warm=warm)
        self.last_used_at = -math.inf
        self._clock = clock
        self._running: dict[str, RunningRequest] = {}
        self._held = HeldSlots(clock)
        self._reported = ReportedLoad(clock)
        self._drained = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return (
            f'<TargetSlots {self.target.id} running={len(self._running)} '
            f'held={self.count_held()} free={self.count_free()} {self.health!r}>'
        )

    def try_start(
        self,
        request_id: str,
        alone: bool = False,
        deadline_at: float | None = None,
    ) -> bool:
        """Take a slot for `request_id`, or return False and change nothing.

        Parameters
        ----------
        request_id : str
            Identifier of the request, to be passed to `finish`. Returns False while a
            request with this identifier is running or holds a slot.
        alone : bool
            Whether the request must be the only one on the target.
        deadline_at : float or None
            Monotonic time in seconds after which the target has stopped working on the
            request.
        """
        self.health.advance_ramp(len(self._running))
        known = request_id in self._running or request_id in self._held
        if known or not self.count_free(alone=alone):
            return False
        self._running[request_id] = RunningRequest(alone, deadline_at)
        self.last_used_at = self._clock.now()
        self._reported.record_own_count(self._count_own())
        return True

    def finish(self, request_id: str, result: Outcome) -> bool:
        """Free the slot of `request_id` and update the health of the target.

        After an unknown outcome the slot is held until the request's deadline, since the
        target may still be working on it. Call ``hold(0, 0, request_id)`` to free it once
        the target has confirmed the cancellation.

        Returns
        -------
        bool
            Whether `request_id` was running. A second call changes nothing.
        """
        entry = self._running.pop(request_id, None)
        if entry is None:
            return False
        if isinstance(result, OutcomeUnknown):
            until = self._clock.now() + UNKNOWN_OUTCOME_HOLD_S
            if entry.deadline_at is not None:
                until = entry.deadline_at
            self.hold(1, until, request_id)
        self.health.observe(result, running=len(self._running))
        return True

    def observe_load(self, report: LoadReport) -> None:
        """Apply a load report; it can lower the usable slots but not raise them."""
        if self._reported.is_superseded(report):
            return
        self.health.advance_ramp(len(self._running))
        excess = report.running - len(self._running)
        self._held.release(excess, report.requested_at)
        if self._reported.observe(report, self._count_own()):
            self.health.restart_ramp()
        self.health.observe_cold(report.cold)

    def hold(
        self,
        count: int,
        until: float,
        holder: str = '',
        releasable_after: float = math.inf,
    ) -> None:
        """Count slots as in use by `holder` until a time.

        Parameters
        ----------
        count : int
            Number of slots. It replaces the previous count of the holder; 0 ends the hold.
        until : float
            Monotonic time in seconds at which the hold ends.
        holder : str
            Identifier of a previous owner, or of a request with an unknown outcome.
        releasable_after : float
            Monotonic time in seconds after which the holder can't have started further
            requests. Load reports requested more than `REPORT_LAG_S` later may lower the
            count.
        """
        self._held.put(holder, Hold(count, until, releasable_after))
        self._reported.record_own_count(self._count_own())

    def drain(self) -> None:
        """Start no further requests; running ones continue to their end."""
        self._drained = True

    def undrain(self) -> None:
        """End a drain; the target starts again with one slot (slow start)."""
        if self._drained:
            self._drained = False
            self.health.restart_ramp()

    def count_running(self) -> int:
        """Return the number of requests that this owner runs on the target."""
        return len(self._running)

    def count_held(self) -> int:
        """Return the number of held slots, in which this owner runs no request."""
        return self._held.count()

    def count_busy(self) -> int:
        """Return the number of slots in use, including requests not started by this owner."""
        return self._count_own() + self._reported.count_foreign()

    def count_usable(self) -> int:
        """Return the number of slots that may be used now, in use or free."""
        if self._drained or self._reported.is_draining():
            return 0
        usable = min(self.target.slots, self.health.limit_slots())
        return self._reported.limit_slots(usable)

    def count_free(self, *, alone: bool = False) -> int:
        """Return the number of requests that can start now.

        Parameters
        ----------
        alone : bool
            Count requests that must be the only one on the target: 1 if it is idle, else 0.
        """
        busy = self.count_busy()
        free = max(0, self.count_usable() - busy)
        if alone:
            return min(1, free) if busy == 0 else 0
        shared = not any(entry.alone for entry in self._running.values())
        return free if shared else 0

    def _count_own(self) -> int:
        return len(self._running) + self._held.count()


def choose_target(
    targets: Iterable[TargetSlots], alone: bool = False
) -> TargetSlots | None:
    """Return the target to use next.

    Parameters
    ----------
    targets : iterable of TargetSlots
        Targets of one service that this instance owns.
    alone : bool
        Whether the request must be the only one on its target.

    Returns
    -------
    TargetSlots or None
        The target with the most free slots, less its penalty for recent failures. Ties go
        to the lower penalty, then to the least recently used target. None if no target
        can start the request.
    """
    available = [slots for slots in targets if slots.count_free(alone=alone) > 0]
    available.sort(key=attrgetter('last_used_at'))
    return max(available, key=_rank_target, default=None)


def _rank_target(slots: TargetSlots) -> tuple[int, int]:
    penalty = slots.health.count_penalty()
    return slots.count_free() - penalty, -penalty
