"""Slots of targets, counted by the one owner of each target."""

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

# Seconds for which a slot counts as used after an exchange broke, when neither a deadline
# nor a confirmed cancellation says that the target has stopped working on it.
UNKNOWN_HOLD_S = 5


class Running(msgspec.Struct, frozen=True):
    """A request that this owner has started on a target."""

    alone: bool
    deadline_at: float | None


class TargetSlots:
    """Slots of one target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    target : Target
        The target with its number of slots.
    warm : bool
        Whether another owner has used the target until now, so that no slow start is
        needed after a handover.
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
        self._running: dict[str, Running] = {}
        self._held = HeldSlots(clock)
        self._reported = ReportedLoad(clock)
        self._drained = False

    def __repr__(self) -> str:
        """Return the counts."""
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
        """Use a slot for `request_id`, or return False and change nothing.

        Parameters
        ----------
        request_id : str
            Identifier that `finish` will name; must not be running.
        alone : bool
            Whether the request needs the target for itself.
        deadline_at : float or None
            Monotonic time in seconds after which the target has stopped working on the
            request.
        """
        self.health.advance_ramp(len(self._running))
        known = request_id in self._running or request_id in self._held
        if known or not self.count_free(alone=alone):
            return False
        self._running[request_id] = Running(alone, deadline_at)
        self.last_used_at = self._clock.now()
        self._reported.note_own(self._count_own())
        return True

    def finish(self, request_id: str, result: Outcome) -> bool:
        """Free the slot of `request_id` and learn from `result`.

        After an unknown outcome the slot stays held until the request's deadline, since
        the target may still be working on it; ``hold(0, 0, request_id)`` frees it once
        the target has confirmed the cancellation.

        Returns
        -------
        bool
            Whether `request_id` was running; a second call changes nothing.
        """
        entry = self._running.pop(request_id, None)
        if entry is None:
            return False
        if isinstance(result, OutcomeUnknown):
            until = self._clock.now() + UNKNOWN_HOLD_S
            if entry.deadline_at is not None:
                until = entry.deadline_at
            self.hold(1, until, request_id)
        self.health.observe(result, running=len(self._running))
        return True

    def observe_load(self, report: LoadReport) -> None:
        """Take a load report into account; it can only lower the usable slots."""
        if self._reported.is_late(report):
            return
        self.health.advance_ramp(len(self._running))
        unexplained = report.running - len(self._running)
        self._held.release(unexplained, report.requested_at)
        if self._reported.observe(report, self._count_own()):
            self.health.restart()
        self.health.observe_cold(report.cold)

    def hold(
        self,
        count: int,
        until: float,
        holder: str = '',
        releasable_after: float = math.inf,
    ) -> None:
        """Count `count` slots as used by `holder` until a time.

        Parameters
        ----------
        count : int
            Slots; replaces the previous count of the same holder, 0 ends the hold.
        until : float
            Monotonic time in seconds.
        holder : str
            A previous owner, or a request whose outcome is unknown.
        releasable_after : float
            Monotonic time in seconds after which the holder can have started nothing;
            load reports requested `REPORT_LAG_S` later may then lower the count.
        """
        self._held.put(holder, Hold(count, until, releasable_after))
        self._reported.note_own(self._count_own())

    def drain(self) -> None:
        """Start no further request; running ones end by themselves."""
        self._drained = True

    def undrain(self) -> None:
        """Take work again, from one slot upwards."""
        if self._drained:
            self._drained = False
            self.health.restart()

    def count_running(self) -> int:
        """Return the requests of this owner that run on the target."""
        return len(self._running)

    def count_held(self) -> int:
        """Return the slots that count as used without a request of this owner."""
        return self._held.count()

    def count_busy(self) -> int:
        """Return the slots in use, work of unknown origin included."""
        return self._count_own() + self._reported.count_foreign()

    def count_usable(self) -> int:
        """Return the slots that take work at present, used or not."""
        if self._drained or self._reported.is_draining():
            return 0
        usable = min(self.target.slots, self.health.limit_slots())
        return self._reported.limit_slots(usable)

    def count_free(self, *, alone: bool = False) -> int:
        """Return the requests that can start now.

        Parameters
        ----------
        alone : bool
            Count requests that need the target for themselves: 1 if it is idle.
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
        Whether the request needs an idle target for itself.

    Returns
    -------
    TargetSlots or None
        The one with the most free usable slots less its penalty for recent failures,
        of equal ones the one with the lower penalty, then the least recently used; None
        when no target can start a request.
    """
    able = [slots for slots in targets if slots.count_free(alone=alone) > 0]
    able.sort(key=attrgetter('last_used_at'))
    return max(able, key=_rate_target, default=None)


def _rate_target(slots: TargetSlots) -> tuple[int, int]:
    penalty = slots.health.count_penalty()
    return slots.count_free() - penalty, -penalty
