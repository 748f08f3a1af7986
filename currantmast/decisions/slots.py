"""Bounded queue of the requests that wait for a slot of one service at one owner.

A slot is the capacity of a target to run one request at a time.
"""

import math
from collections.abc import Callable, Iterator, Sequence
from itertools import chain

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.target_load import LoadReport
from currantmast.decisions.target_slots import TargetSlots, choose_target
from currantmast.outcomes import NotRun, Reason

__all__ = ('LoadReport', 'SlotQueue', 'TargetSlots', 'Waiter', 'choose_target')


class Waiter(msgspec.Struct, frozen=True, eq=False):
    """A request that is waiting for a slot.

    Parameters
    ----------
    request_id : str
        Identifier of the request; the slot is registered under it.
    team : str or None
        Team that the request runs for.
    deadline_at : float
        Monotonic time in seconds by which the request must have ended.
    resolve : callable
        Called exactly once, unless the waiter is cancelled, with the target on which a
        slot was taken or with the refusal. It must not block or raise; for example
        ``gevent.event.AsyncResult.set``.
    alone : bool
        Whether the request must be the only one on its target.
    """

    request_id: str
    team: str | None
    deadline_at: float
    resolve: Callable[[TargetSlots | NotRun], None]
    alone: bool = False


class QueueEntry(msgspec.Struct, frozen=True, eq=False):
    """A queued waiter and the monotonic time in seconds at which its wait times out."""

    waiter: Waiter
    expires_at: float


class SlotQueue:
    """Queue for the slots of one service, with round robin between teams.

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
    limit : int
        Maximum number of waiters. If the queue is full and the team of a new waiter would
        still have fewer waiters than the team with the most, the newest waiter of the
        latter is evicted; otherwise the new waiter is refused.
    wait_s : float
        Maximum wait in seconds.
    """

    __slots__ = ('_clock', '_limit', '_team_by_request', '_teams', '_wait_s')

    def __init__(self, clock: Clock, limit: int, wait_s: float) -> None:
        self._clock = clock
        self._limit = limit
        self._wait_s = wait_s
        # Waiters by team and request identifier; the first team is served next.
        self._teams: dict[str | None, dict[str, QueueEntry]] = {}
        self._team_by_request: dict[str, str | None] = {}

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._team_by_request)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<SlotQueue waiting={len(self)} limit={self._limit}>'

    def push(self, waiter: Waiter) -> NotRun | None:
        """Add `waiter`, or return the refusal; `resolve` is then not called."""
        now = self._clock.now()
        if waiter.deadline_at <= now:
            return NotRun(Reason.deadline, 'passed before the wait for a slot')
        if waiter.request_id in self._team_by_request:
            return NotRun(Reason.in_progress, 'the request waits already')
        if len(self) >= self._limit and not self._evict_for(waiter.team):
            return NotRun(Reason.no_capacity, 'queue full')
        expires_at = min(waiter.deadline_at, now + self._wait_s)
        entries = self._teams.setdefault(waiter.team, {})
        entries[waiter.request_id] = QueueEntry(waiter, expires_at)
        self._team_by_request[waiter.request_id] = waiter.team
        return None

    def cancel(self, request_id: str) -> bool:
        """Remove a waiter at once.

        Returns
        -------
        bool
            False if it was not waiting any more. If it had been given a slot, the
            calling code must call `TargetSlots.finish` on that target.
        """
        return self._remove(request_id) is not None

    def dispatch(self, targets: Sequence[TargetSlots]) -> int:
        """Give free slots to waiters, and refuse those whose wait has timed out.

        Must be called after each `push`, each end of a request and each change of
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
        """Refuse waiters whose deadline or maximum wait has passed; return their number."""
        now = self._clock.now()
        late = [entry for entry in self._iterate_entries() if entry.expires_at <= now]
        for entry in late:
            self._refuse(entry)
        return len(late)

    def next_expiry(self) -> float:
        """Return the monotonic time in seconds at which `expire` is due."""
        return min(
            (entry.expires_at for entry in self._iterate_entries()), default=math.inf
        )

    def _iterate_entries(self) -> Iterator[QueueEntry]:
        return chain.from_iterable(entries.values() for entries in self._teams.values())

    def _start_next(self, targets: Sequence[TargetSlots]) -> bool:
        if not len(self):
            return False
        alone = any(entry.waiter.alone for entry in self._iterate_entries())
        idle = choose_target(targets, alone=True) if alone else None
        must_reserve = alone and idle is None
        free = choose_target(_exclude_least_busy(targets) if must_reserve else targets)
        for entry in self._iterate_entries():
            target = idle if entry.waiter.alone else free
            if target is not None:
                self._start(entry.waiter, target)
                return True
        return False

    def _start(self, waiter: Waiter, target: TargetSlots) -> None:
        self._remove(waiter.request_id)
        # Round robin: the team that was just served goes to the end.
        entries = self._teams.pop(waiter.team, None)
        if entries:
            self._teams[waiter.team] = entries
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

    def _refuse(self, entry: QueueEntry) -> None:
        waiter = entry.waiter
        self._remove(waiter.request_id)
        if waiter.deadline_at <= self._clock.now():
            waiter.resolve(NotRun(Reason.deadline, 'passed in the wait for a slot'))
        else:
            waiter.resolve(NotRun(Reason.no_capacity, 'no slot within the queue wait'))

    def _remove(self, request_id: str) -> QueueEntry | None:
        if request_id not in self._team_by_request:
            return None
        team = self._team_by_request.pop(request_id)
        entries = self._teams[team]
        entry = entries.pop(request_id)
        if not entries:
            self._teams.pop(team)
        return entry


def _exclude_least_busy(targets: Sequence[TargetSlots]) -> Sequence[TargetSlots]:
    """Return `targets` without the usable one that has the fewest slots in use.

    That one gets no new requests until it is idle and can run a waiter alone. Otherwise a
    busy owner would never have an idle target.
    """
    usable = [slots for slots in targets if slots.count_usable() > 0]
    least_busy = min(usable, key=TargetSlots.count_busy, default=None)
    return [slots for slots in targets if slots is not least_busy]
