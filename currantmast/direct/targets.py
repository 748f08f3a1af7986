"""Targets: what the list says of them, and what their answers show."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import xxhash

from currantmast.clocks import Clock
from currantmast.decisions.buckets import TokenBucket
from currantmast.direct.model import (
    Bounds,
    InstanceRecord,
    Service,
    TargetRecord,
    TargetState,
)

# Objects that a target is taken to keep warm.
WARM_OBJECTS = 16

# Failures in a row without a success that eject a target.
EJECT_AFTER = 3
FIRST_EJECTION_S = 0.5
LAST_EJECTION_S = 4.0

# Seconds in which the memory of failures and slowness halves.
MEMORY_HALF_LIFE_S = 4.0

# Weight of one answer in the average of a target's slowness.
SLOWNESS_WEIGHT = 0.25
MOST_SLOWNESS = 8.0

# Weight of one run in the share of objects that a target still knew.
HIT_WEIGHT = 0.1

# Seconds for which a target that shed takes no more than it then ran.
SHED_S = 0.4

# A cold target hears from a few instances only, so that their bursts stay in its bound.
COLD_SENDERS_PER_BOUND = 0.5


class Load(msgspec.Struct, frozen=True):
    """What a target reports of its load."""

    running: int
    waiting: int
    slots: int


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
        '_cold_bucket',
        '_cold_until',
        '_ejected_until',
        '_ejection_s',
        '_failures',
        '_hits',
        '_noted_at',
        '_shed',
        '_slowness',
        '_trouble',
        '_warm',
        'in_flight',
        'peers_in_flight',
        'probed',
        'record',
    )

    def __init__(self, record: TargetRecord, clock: Clock) -> None:
        self._clock = clock
        self.record = record
        self.in_flight = 0
        self.peers_in_flight = 0
        self.probed = False
        self._cold_until = clock.now() + record.cold_left_s
        self._cold_bucket = TokenBucket(clock)
        self._ejected_until: float = 0
        self._ejection_s = FIRST_EJECTION_S
        self._failures = 0
        self._hits: float = 1
        self._noted_at = clock.now()
        self._shed: tuple[int, float] = (0, 0)
        self._slowness: float = 1
        self._trouble: float = 0
        self._warm: OrderedDict[str, None] = OrderedDict()

    def __repr__(self) -> str:
        """Return the id and the load."""
        return f'<Target {self.record.id} in_flight={self.in_flight}>'

    @property
    def load(self) -> int:
        """Requests that it runs or queues, by all members' counts."""
        return self.in_flight + self.peers_in_flight

    @property
    def slowness(self) -> float:
        """Factor by which it has been slower than its service's average."""
        self._forget()
        return self._slowness

    @property
    def trouble(self) -> float:
        """Share of recent requests that it failed, from 0 to 1."""
        self._forget()
        return min(1, self._trouble)

    def update(self, record: TargetRecord) -> None:
        """Take over a newer record of the same run."""
        if record.cold_left_s > 0 and record.cold_left_s != self.record.cold_left_s:
            self.mark_cold(record.cold_left_s)
        self.record = record

    def mark_cold(self, seconds: float) -> None:
        """Treat it as cold for `seconds` from now."""
        if seconds > 0:
            self._cold_until = max(self._cold_until, self._clock.now() + seconds)
            self._warm.clear()

    def is_cold(self) -> bool:
        """Return whether it has just started."""
        return self._clock.now() < self._cold_until

    def is_ejected(self) -> bool:
        """Return whether it gets nothing until a probe succeeds."""
        return self._ejected_until > 0

    def needs_probe(self) -> bool:
        """Return whether it is time to ask an ejected target whether it is well."""
        return 0 < self._ejected_until <= self._clock.now() and not self.probed

    def limit_load(self, most: int) -> int:
        """Return the most requests it may hold, lowered for a while after it shed."""
        limit, until = self._shed
        return min(most, limit) if self._clock.now() < until else most

    def knows(self, thing: str) -> bool:
        """Return whether it handled the object `thing` lately."""
        return thing in self._warm

    @property
    def hits(self) -> float:
        """Share of the objects sent to it for their sake that it still knew."""
        return self._hits

    def note_hit(self, hit: bool) -> None:
        """Record whether it still knew an object that was sent to it for its sake."""
        self._hits += HIT_WEIGHT * (hit - self._hits)

    def note_handled(self, thing: str) -> None:
        """Record that it handled the object `thing`."""
        self._warm[thing] = None
        self._warm.move_to_end(thing)
        if len(self._warm) > WARM_OBJECTS:
            self._warm.popitem(last=False)

    def note_success(self, slowness: float) -> None:
        """Record an answer that took `slowness` times the usual time."""
        self._forget()
        self._failures = 0
        bounded = min(MOST_SLOWNESS, slowness)
        self._slowness += SLOWNESS_WEIGHT * (bounded - self._slowness)
        self._trouble *= 1 - SLOWNESS_WEIGHT

    def note_failure(self) -> None:
        """Record a request that it failed or whose connection broke."""
        self._forget()
        self._failures += 1
        self._trouble += SLOWNESS_WEIGHT * (1 - self._trouble)
        if self._failures >= EJECT_AFTER:
            self.eject()

    def note_shed(self) -> None:
        """Record that it was full."""
        self._forget()
        self._trouble += SLOWNESS_WEIGHT / 2 * (1 - self._trouble)
        held = max(1, self.load - 1)
        self._shed = (held, self._clock.now() + SHED_S)

    def eject(self) -> None:
        """Send nothing until a probe succeeds."""
        if not self.is_ejected():
            self._ejected_until = self._clock.now() + self._ejection_s

    def note_probe(self, healthy: bool, cold_s: float) -> None:
        """Record the end of a probe; a target that returns is cold for `cold_s`."""
        if healthy:
            self._ejected_until = 0
            self._ejection_s = FIRST_EJECTION_S
            self._failures = 0
            self.mark_cold(cold_s)
            return
        self._ejection_s = min(LAST_EJECTION_S, self._ejection_s * 2)
        self._ejected_until = self._clock.now() + self._ejection_s

    def take_cold_token(self, rate: float) -> bool:
        """Return whether a cold target may get one more request at `rate` a second."""
        self._resize_cold(rate)
        return self._cold_bucket.take(1)

    def has_cold_token(self, rate: float) -> bool:
        """Return whether `take_cold_token` would succeed."""
        self._resize_cold(rate)
        return self._cold_bucket.count() >= 1

    def _resize_cold(self, rate: float) -> None:
        self._cold_bucket.resize(rate, 1)

    def _forget(self) -> None:
        now = self._clock.now()
        kept = 0.5 ** ((now - self._noted_at) / MEMORY_HALF_LIFE_S)
        self._noted_at = now
        self._slowness = 1 + (self._slowness - 1) * kept
        self._trouble *= kept


class ColdBound:
    """Which instances may send to a cold target, and how much each.

    The bound of a cold target counts the requests of all instances inside any second.
    A few senders for each target, nearest first, with a burst of one each keep it
    without a message between them.

    Parameters
    ----------
    own_id : str
        Id of this instance.
    """

    __slots__ = ('_members', '_own_id', '_ranks')

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._members: tuple[InstanceRecord, ...] = ()
        self._ranks: dict[str, int] = {}

    def __repr__(self) -> str:
        """Return the number of members."""
        return f'<ColdBound members={len(self._members)}>'

    def set_members(self, members: Iterable[InstanceRecord]) -> None:
        """Take over the members of the fleet."""
        self._members = tuple(members)
        self._ranks.clear()

    def get_rate(self, target: TargetRecord, service: Service, bounds: Bounds) -> float:
        """Return the requests per second that this instance may send; 0 for none."""
        most = service.cold_rate * bounds.cold_factor + bounds.cold_extra
        wanted = max(1, int(most * COLD_SENDERS_PER_BOUND))
        senders = min(wanted, max(1, len(self._members)))
        if self._rank(target) >= senders:
            return 0
        return max(0, most / senders - 1)

    def _rank(self, target: TargetRecord) -> int:
        rank = self._ranks.get(target.id)
        if rank is None:
            rank = self._compute_rank(target)
            self._ranks[target.id] = rank
        return rank

    def _compute_rank(self, target: TargetRecord) -> int:
        ordered = sorted(
            self._members,
            key=lambda member: (
                member.place.region != target.place.region,
                xxhash.xxh3_64_intdigest(f'{target.id}|{member.id}'.encode()),
            ),
        )
        ids = [member.id for member in ordered]
        return ids.index(self._own_id) if self._own_id in ids else 0


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
            if target.record.state is TargetState.ready
            and target.record.place.failure_domain not in self.evacuated
            and not target.is_ejected()
        ]

    def evacuate(self, domains: frozenset[str], cold_s: float) -> None:
        """Send nothing to `domains`; targets of those given back are cold."""
        returned = self.evacuated - domains
        self.evacuated = domains
        for target in self._targets.values():
            if target.record.place.failure_domain in returned:
                target.mark_cold(cold_s)

    def set_peer_loads(self, loads: dict[str, int]) -> None:
        """Take over how many requests the other members have at each target."""
        for target in self._targets.values():
            target.peers_in_flight = loads.get(target.record.id, 0)

    def count_loads(self) -> dict[str, int]:
        """Return the own requests at each target that has any."""
        return {
            target.record.id: target.in_flight
            for target in self._targets.values()
            if target.in_flight
        }

    def _index(self) -> None:
        self._by_service = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.record.service, []).append(target)
