"""Targets: what the list says of them, and what their answers show."""

import math
from collections import OrderedDict

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.coldness import Coldness
from currantmast.direct.model import TargetRecord, TargetState
from currantmast.runtime.logs import log_event

# Objects that a target is taken to keep warm.
WARM_OBJECTS = 12

# Failures in a row without a success that eject a target.
EJECT_AFTER = 3
FIRST_EJECTION_S = 0.5
LAST_EJECTION_S = 4.0

# Seconds in which the memory of failures and slowness halves.
MEMORY_HALF_LIFE_S = 4.0

# Weight of one answer in the average of a target's slowness.
SLOWNESS_WEIGHT = 0.25
MOST_SLOWNESS = 8.0

# Weight of a shed request in the share of failures: less than a failure, since nothing
# ran and the target is well.
SHED_WEIGHT = 0.125

# Weight of one run in the share of objects that a target still knew.
HIT_WEIGHT = 0.1

# Seconds for which a target that shed takes no more than it then ran.
SHED_S = 0.4

# Seconds for which the load that a target reports is newer than what members tell.
REPORT_FRESH_S = 0.15


class Load(msgspec.Struct, frozen=True):
    """What a target reports of its load."""

    running: int
    waiting: int
    slots: int


class Ejection:
    """Whether a target gets nothing until a probe succeeds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_backoff_s', '_clock', '_probing', '_until')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoff_s = FIRST_EJECTION_S
        self._probing = False
        self._until: float = 0

    def __bool__(self) -> bool:
        """Return whether the target is ejected."""
        return self._until > 0

    def __repr__(self) -> str:
        """Return the state."""
        return f'<Ejection ejected={bool(self)}>'

    def begin(self) -> None:
        """Eject the target."""
        if not self:
            self._until = self._clock.now() + self._backoff_s

    def begin_probe(self) -> bool:
        """Return whether a probe is due, which the caller then makes."""
        due = bool(self) and not self._probing and self._until <= self._clock.now()
        self._probing = self._probing or due
        return due

    def end_probe(self, healthy: bool) -> None:
        """Record the end of a probe."""
        self._probing = False
        self._backoff_s = min(LAST_EJECTION_S, self._backoff_s * 2)
        self._until = self._clock.now() + self._backoff_s
        if healthy:
            self._until = 0
            self._backoff_s = FIRST_EJECTION_S


class History:
    """How well a target has served lately; forgets with time.

    Parameters
    ----------
    now : float
        Time in seconds at which it begins.

    Attributes
    ----------
    slowness : float
        Factor by which it has been slower than its service's average.
    trouble : float
        Share of recent requests that it failed, from 0 to 1.
    failures : int
        Failures since the last success.
    hits : float
        Share of the objects sent to it for their sake that it still knew.
    """

    __slots__ = ('_noted_at', 'failures', 'hits', 'slowness', 'trouble')

    def __init__(self, now: float) -> None:
        self.slowness: float = 1
        self.trouble: float = 0
        self.failures = 0
        self.hits: float = 1
        self._noted_at = now

    def __repr__(self) -> str:
        """Return slowness and trouble."""
        return f'<History slowness={self.slowness:.2f} trouble={self.trouble:.2f}>'

    def forget(self, now: float) -> None:
        """Forget what lies back in time."""
        kept = 0.5 ** ((now - self._noted_at) / MEMORY_HALF_LIFE_S)
        self._noted_at = now
        self.slowness = 1 + (self.slowness - 1) * kept
        self.trouble *= kept

    def note_success(self, slowness: float) -> None:
        """Record an answer that took `slowness` times the usual time."""
        self.failures = 0
        bounded = min(MOST_SLOWNESS, slowness)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)
        self.trouble *= 1 - SLOWNESS_WEIGHT

    def note_failure(self, weight: float) -> None:
        """Record a request that it failed."""
        self.failures += 1
        self.trouble += weight * (1 - self.trouble)


class Target:
    """One run of a target.

    Parameters
    ----------
    record : TargetRecord
        What the list says.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_clock',
        '_history',
        '_reported_at',
        '_shed',
        '_warm',
        'coldness',
        'ejection',
        'in_flight',
        'peers_in_flight',
        'record',
    )

    def __init__(self, record: TargetRecord, clock: Clock) -> None:
        self._clock = clock
        self.record = record
        self.in_flight = 0
        self.peers_in_flight = 0
        self.coldness = Coldness(clock)
        self.coldness.mark(record.cold_left_s)
        self.ejection = Ejection(clock)
        self._history = History(clock.now())
        self._reported_at = -math.inf
        self._shed: tuple[int, float] = (0, 0)
        self._warm: OrderedDict[str, None] = OrderedDict()

    def __repr__(self) -> str:
        """Return the id and the load."""
        return f'<Target {self.record.id} in_flight={self.in_flight}>'

    @property
    def load(self) -> int:
        """Requests that it runs or queues, by all members' counts."""
        return self.in_flight + self.peers_in_flight

    @property
    def history(self) -> History:
        """How well it has served lately."""
        self._history.forget(self._clock.now())
        return self._history

    def update(self, record: TargetRecord) -> None:
        """Take over a newer record of the same run."""
        if record.cold_left_s > 0 and record.cold_left_s != self.record.cold_left_s:
            self.mark_cold(record.cold_left_s)
        self.record = record

    def mark_cold(self, seconds: float) -> None:
        """Treat it as cold, knowing no object, for `seconds` from now."""
        if seconds > 0:
            self.coldness.mark(seconds)
            self._warm.clear()

    def note_report(self, load: Load) -> None:
        """Take over the load that the target reports with an answer."""
        self.peers_in_flight = max(0, load.running + load.waiting - self.in_flight)
        self._reported_at = self._clock.now()

    def note_peers(self, in_flight: int) -> None:
        """Take over what the other members tell of their requests here."""
        if self._clock.now() - self._reported_at >= REPORT_FRESH_S:
            self.peers_in_flight = in_flight

    def limit_load(self, most: int) -> int:
        """Return the most requests it may hold, lowered for a while after it shed."""
        limit, until = self._shed
        return min(most, limit) if self._clock.now() < until else most

    def knows(self, thing: str) -> bool:
        """Return whether it handled the object `thing` lately."""
        return thing in self._warm

    def note_hit(self, hit: bool) -> None:
        """Record whether it still knew an object that was sent to it for its sake."""
        self._history.hits += HIT_WEIGHT * (hit - self._history.hits)

    def note_handled(self, thing: str) -> None:
        """Record that it handled the object `thing`."""
        self._warm[thing] = None
        self._warm.move_to_end(thing)
        if len(self._warm) > WARM_OBJECTS:
            self._warm.popitem(last=False)

    def note_failure(self) -> None:
        """Record a request that it failed or whose connection broke."""
        self.history.note_failure(SLOWNESS_WEIGHT)
        if self._history.failures >= EJECT_AFTER and not self.ejection:
            self.ejection.begin()
            log_event(
                'target_ejected',
                level='WARNING',
                target=self.record.id,
                failures=self._history.failures,
            )

    def note_shed(self) -> None:
        """Record that it was full."""
        self.history.trouble += SHED_WEIGHT * (1 - self._history.trouble)
        self._shed = (max(1, self.load - 1), self._clock.now() + SHED_S)

    def note_probe(self, healthy: bool, cold_s: float) -> None:
        """Record the end of a probe; a target that returns is cold for `cold_s`."""
        self.ejection.end_probe(healthy)
        if healthy:
            self._history.failures = 0
            self.mark_cold(cold_s)


class TargetTable:
    """All targets that the list names.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_by_service', '_clock', '_targets', 'evacuated')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.evacuated: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def __repr__(self) -> str:
        """Return the number of targets."""
        return f'<TargetTable targets={len(self)}>'

    def list_all(self) -> tuple[Target, ...]:
        """Return every target."""
        return tuple(self._targets.values())

    def get(self, target_id: str) -> Target | None:
        """Return a target by id."""
        return self._targets.get(target_id)

    def put(self, record: TargetRecord) -> None:
        """Add a target or take over its newer record."""
        known = self._targets.get(record.id)
        if known is not None and known.record.started_at_ms == record.started_at_ms:
            known.update(record)
        else:
            self._targets[record.id] = Target(record, self._clock)
        self._index()

    def remove(self, target_id: str) -> None:
        """Forget a target."""
        if self._targets.pop(target_id, None) is not None:
            self._index()

    def list_usable(self, service: str) -> list[Target]:
        """Return the targets of `service` that may get work."""
        return [
            target
            for target in self._by_service.get(service, ())
            if self._is_usable(target)
        ]

    def list_ready(self) -> list[Target]:
        """Return the targets of all services that may get work."""
        return [target for target in self._targets.values() if self._is_usable(target)]

    def evacuate(self, domains: frozenset[str], cold_s: float) -> None:
        """Send nothing to `domains`; targets of those given back are cold."""
        returned = self.evacuated - domains
        self.evacuated = domains
        for target in self._targets.values():
            if target.record.place.failure_domain in returned:
                target.mark_cold(cold_s)

    def add_peer_loads(self, loads: dict[str, int]) -> None:
        """Take over how many requests the other members have at each target."""
        for target in self._targets.values():
            target.note_peers(loads.get(target.record.id, 0))

    def count_loads(self) -> dict[str, int]:
        """Return the own requests at each target that has any."""
        return {
            target.record.id: target.in_flight
            for target in self._targets.values()
            if target.in_flight
        }

    def _is_usable(self, target: Target) -> bool:
        ready = target.record.state is TargetState.ready
        evacuated = target.record.place.failure_domain in self.evacuated
        return ready and not evacuated and not target.ejection

    def _index(self) -> None:
        self._by_service = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.record.service, []).append(target)
