"""Slots of targets, counted by the one owner of each target."""

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import chain
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
from currantmast.outcomes import NotRun, Outcome, OutcomeUnknown, Reason

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
        if self._report and report.requested_at < self._report.requested_at:
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
        of equal ones the least recently used; None when no target can start a request.
    """
    able = [slots for slots in targets if slots.count_free(alone=alone) > 0]
    able.sort(key=attrgetter('last_used_at'))
    return max(able, key=_rate_target, default=None)


def _rate_target(slots: TargetSlots) -> int:
    return slots.count_free() - slots.health.count_penalty()


class Waiter(msgspec.Struct, frozen=True, eq=False):
    """A request that waits for a slot.

    Parameters
    ----------
    request_id : str
        Identifier that the target's slot will be counted under.
    team : str or None
        Team that the request runs for.
    deadline_at : float
        Monotonic time in seconds at which the request must have ended.
    resolve : callable
        Called exactly once, unless the waiter is cancelled: with the target whose slot
        now counts as used, or with the refusal. It must neither block nor raise;
        ``AsyncResult.set`` of gevent serves.
    alone : bool
        Whether the request needs a target for itself.
    """

    request_id: str
    team: str | None
    deadline_at: float
    resolve: Callable[[TargetSlots | NotRun], None]
    alone: bool = False


class Place(msgspec.Struct, frozen=True, eq=False):
    """A waiter with the monotonic time in seconds at which it leaves the queue."""

    waiter: Waiter
    leaves_at: float


class SlotQueue:
    """Requests of one service that wait for a slot, served by turns over teams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit : int
        Most waiters; a full queue evicts the newest waiter of the longest team when
        another team has fewer waiters.
    wait_s : float
        Longest wait in seconds.
    """

    __slots__ = ('_clock', '_limit', '_team_by_request', '_teams', '_wait_s')

    def __init__(self, clock: Clock, limit: int, wait_s: float) -> None:
        self._clock = clock
        self._limit = limit
        self._wait_s = wait_s
        # Waiters by request, by team; the team to serve next comes first.
        self._teams: dict[str | None, dict[str, Place]] = {}
        self._team_by_request: dict[str, str | None] = {}

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._team_by_request)

    def __repr__(self) -> str:
        """Return the counts."""
        return f'<SlotQueue waiting={len(self)} limit={self._limit}>'

    def push(self, waiter: Waiter) -> NotRun | None:
        """Add `waiter`, or return why it can't wait; then `resolve` is not called."""
        now = self._clock.now()
        if waiter.deadline_at <= now:
            return NotRun(Reason.deadline, 'passed before the wait for a slot')
        if waiter.request_id in self._team_by_request:
            return NotRun(Reason.in_progress, 'the request waits already')
        if len(self) >= self._limit and not self._evict_for(waiter.team):
            return NotRun(Reason.no_capacity, 'queue full')
        leaves_at = min(waiter.deadline_at, now + self._wait_s)
        places = self._teams.setdefault(waiter.team, {})
        places[waiter.request_id] = Place(waiter, leaves_at)
        self._team_by_request[waiter.request_id] = waiter.team
        return None

    def cancel(self, request_id: str) -> bool:
        """Remove a waiter at once.

        Returns
        -------
        bool
            False when it no longer waits; if it was given a slot, the caller must
            finish it on that target.
        """
        return self._remove(request_id) is not None

    def dispatch(self, targets: Sequence[TargetSlots]) -> int:
        """Start waiters on free slots, and refuse those that waited too long.

        To be called after each `push`, each end of a request and each change of
        capacity.

        Parameters
        ----------
        targets : sequence of TargetSlots
            Targets of the service that this instance may use now.

        Returns
        -------
        int
            Number of waiters that were started.
        """
        self.expire()
        started = 0
        while self._start_next(targets):
            started += 1
        return started

    def expire(self) -> int:
        """Refuse the waiters whose deadline or longest wait has passed."""
        now = self._clock.now()
        late = [place for place in self._list_places() if place.leaves_at <= now]
        for place in late:
            self._refuse(place)
        return len(late)

    def next_expiry(self) -> float:
        """Return the monotonic time in seconds at which `expire` is due."""
        return min((place.leaves_at for place in self._list_places()), default=math.inf)

    def _list_places(self) -> Iterator[Place]:
        return chain.from_iterable(places.values() for places in self._teams.values())

    def _start_next(self, targets: Sequence[TargetSlots]) -> bool:
        idle = choose_target(targets, alone=True)
        alone = any(place.waiter.alone for place in self._list_places())
        spared = alone and idle is None
        free = choose_target(_spare_target(targets) if spared else targets)
        for place in self._list_places():
            target = idle if place.waiter.alone else free
            if target is not None:
                self._start(place.waiter, target)
                return True
        return False

    def _start(self, waiter: Waiter, target: TargetSlots) -> None:
        self._remove(waiter.request_id)
        # The served team takes its next turn last.
        places = self._teams.pop(waiter.team, None)
        if places:
            self._teams[waiter.team] = places
        if target.try_start(waiter.request_id, waiter.alone, waiter.deadline_at):
            waiter.resolve(target)
        else:
            waiter.resolve(NotRun(Reason.in_progress, 'runs on the same target'))

    def _evict_for(self, team: str | None) -> bool:
        longest = max(self._teams.values(), key=len, default={})
        if len(longest) <= len(self._teams.get(team, ())) + 1:
            return False
        newest = next(reversed(longest.values()))
        self._remove(newest.waiter.request_id)
        newest.waiter.resolve(NotRun(Reason.no_capacity, 'left the full queue'))
        return True

    def _refuse(self, place: Place) -> None:
        waiter = place.waiter
        self._remove(waiter.request_id)
        if waiter.deadline_at <= self._clock.now():
            waiter.resolve(NotRun(Reason.deadline, 'passed in the wait for a slot'))
        else:
            waiter.resolve(NotRun(Reason.no_capacity, 'no slot within the queue wait'))

    def _remove(self, request_id: str) -> Place | None:
        if request_id not in self._team_by_request:
            return None
        team = self._team_by_request.pop(request_id)
        places = self._teams[team]
        place = places.pop(request_id)
        if not places:
            self._teams.pop(team)
        return place


def _spare_target(targets: Sequence[TargetSlots]) -> Sequence[TargetSlots]:
    """Return `targets` without the least busy one.

    It becomes idle for a waiter that needs a target for itself; otherwise a busy owner
    would never have an idle target.
    """
    working = [slots for slots in targets if slots.count_usable() > 0]
    spared = min(working, key=TargetSlots.count_busy, default=None)
    return [slots for slots in targets if slots is not spared]
