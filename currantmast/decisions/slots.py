"""Waiting for slots: the bounded queue of one service at one owner."""

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
        if not len(self):
            return False
        alone = any(place.waiter.alone for place in self._list_places())
        idle = choose_target(targets, alone=True) if alone else None
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
