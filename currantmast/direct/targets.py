"""Targets: their listed records, and their state as learned from answers and probes."""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable

from currantmast.clocks import Clock
from currantmast.direct.coldstart import ColdStart
from currantmast.direct.crashes import CrashingRequests
from currantmast.direct.ejections import Ejection
from currantmast.direct.histories import SLOWNESS_WEIGHT, History
from currantmast.direct.listedruns import ListedRuns
from currantmast.direct.loads import Load, LoadKnowledge, LoadSource
from currantmast.direct.model import TargetRecord, TargetState
from currantmast.direct.notices import TargetNotices
from currantmast.direct.rampup import RampCause, RampUp
from currantmast.direct.slowdowns import MIN_TOLD, Slowdown
from currantmast.direct.unanswered import UnansweredRequests
from currantmast.runtime.logs import log_event

# Objects that a target is assumed to cache.
CACHED_OBJECTS = 12

# Consecutive failures after which a target is ejected.
EJECT_AFTER = 3

# Weight of a shed request in the failure rate: less than that of a failure, since the
# request didn't run and the target is healthy.
SHED_WEIGHT = 0.125

# Weight of one request in the moving average of a target's hit rate.
HIT_WEIGHT = 0.1

# Seconds for which a target that shed a request gets no more load than it had then.
SHED_S = 0.4

# Seconds for which the load that a target reports is preferred to the members' counts.
REPORT_FRESH_S = 0.15


class Target:
    """One run of a target; a restarted target gets a new object.

    Parameters
    ----------
    record : TargetRecord
        Record in the target list.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_cached',
        '_clock',
        '_counted_at',
        '_history',
        '_reported_at',
        '_shed_limit',
        'cold_start',
        'ejection',
        'in_flight',
        'peers_in_flight',
        'ramp_up',
        'record',
        'slowdown',
    )

    def __init__(self, record: TargetRecord, clock: Clock) -> None:
        self._clock = clock
        self.record = record
        self.in_flight = 0
        self.peers_in_flight = 0
        self.cold_start = ColdStart(clock)
        self.cold_start.mark(record.cold_left_s)
        self.ejection = Ejection(clock)
        self.ramp_up = RampUp(
            clock, record.id, record.slots, is_cold=record.cold_left_s > 0
        )
        self._history = History(clock.now())
        self._reported_at = -math.inf
        self._counted_at = -math.inf
        self.slowdown = Slowdown(clock)
        self._shed_limit: tuple[int, float] = (0, 0)
        self._cached: OrderedDict[str, None] = OrderedDict()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Target {self.record.id} in_flight={self.in_flight}>'

    @property
    def load(self) -> int:
        """Requests from all members that the target runs or queues."""
        return self.in_flight + self.peers_in_flight

    @property
    def history(self) -> History:
        """Recent performance, decayed to the present time."""
        self._history.decay(self._clock.now())
        return self._history

    def update(self, record: TargetRecord) -> None:
        """Replace the record by a newer one of the same run."""
        if record.cold_left_s > 0 and record.cold_left_s != self.record.cold_left_s:
            self.mark_cold(record.cold_left_s)
        self.record = record

    def mark_cold(self, seconds: float) -> None:
        """Treat the target as cold, with an empty cache, for `seconds` from now."""
        if seconds > 0:
            if not self.cold_start.is_cold():
                self.ramp_up.begin(RampCause.cold, self.record.slots)
            self.cold_start.mark(seconds)
            self._cached.clear()

    def note_report(self, load: Load) -> None:
        """Set the other members' requests from the load reported with an answer."""
        self.peers_in_flight = max(0, load.running + load.waiting - self.in_flight)
        self.ramp_up.note_slowdown(load.slowdown)
        self._reported_at = self._clock.now()
        self.slowdown.note(load.slowdown)

    def record_peer_load(self, in_flight: int) -> None:
        """Set the other members' requests from their heartbeats.

        A recent report of the target itself has precedence.
        """
        if self._clock.now() - self._reported_at >= REPORT_FRESH_S:
            self.peers_in_flight = in_flight
            self._counted_at = self._clock.now()

    def describe_load(self) -> LoadKnowledge:
        """Return where the known load comes from, its age, and the present slowdown."""
        now = self._clock.now()
        newest = max(self._reported_at, self._counted_at)
        if newest == -math.inf:
            source = LoadSource.guessed
        elif self._reported_at == newest:
            source = LoadSource.told
        else:
            source = LoadSource.counted
        age_s = 0 if source is LoadSource.guessed else now - newest
        return LoadKnowledge(source, age_s, self.slowdown.factor)

    def limit_load(self, max_load: float) -> float:
        """Return the maximum load, which is lowered for a while after a shed request."""
        limit, until = self._shed_limit
        return min(max_load, limit) if self._clock.now() < until else max_load

    def has_cached(self, object_key: str) -> bool:
        """Return whether this instance sent the object to the target recently."""
        return object_key in self._cached

    def note_hit(self, hit: bool) -> None:
        """Record whether the object of a request sent because of affinity was cached."""
        self._history.hit_rate += HIT_WEIGHT * (hit - self._history.hit_rate)

    def note_handled(self, object_key: str) -> None:
        """Record that the target handles an object and so caches it."""
        self._cached[object_key] = None
        self._cached.move_to_end(object_key)
        if len(self._cached) > CACHED_OBJECTS:
            self._cached.popitem(last=False)

    def note_failure(self) -> None:
        """Record a failed request or broken connection, and eject after several."""
        self.history.note_failure(SLOWNESS_WEIGHT)
        self.ramp_up.note_failure()
        if self._history.failures >= EJECT_AFTER and not self.ejection:
            self.ejection.begin()
            log_event(
                'target_ejected',
                level='WARNING',
                target=self.record.id,
                failures=self._history.failures,
            )

    def note_shed(self, *, needs_load: bool = False) -> None:
        """Record that the target shed a request, and limit its load for a while.

        Parameters
        ----------
        needs_load : bool
            Whether the limit requires that all slots were taken. A target that sheds with
            slots free does so on purpose, and less load wouldn't change that.
        """
        self.history.failure_rate += SHED_WEIGHT * (1 - self._history.failure_rate)
        self.ramp_up.note_refusal()
        if needs_load and self.load <= self.record.slots:
            return
        self._shed_limit = (max(1, self.load - 1), self._clock.now() + SHED_S)

    def note_probe(self, healthy: bool, cold_s: float) -> None:
        """Record the result of a probe; a recovered target is cold for `cold_s`."""
        self.ejection.end_probe(healthy)
        if healthy:
            self._history.failures = 0
            self.mark_cold(cold_s)
            self.ramp_up.begin(RampCause.ejection, self.record.slots)


class TargetTable:
    """All listed targets, by id and by service.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_by_service',
        '_clock',
        '_targets',
        'crashing_requests',
        'evacuated',
        'notices',
        'runs',
        'unanswered',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.notices = TargetNotices(clock)
        self.runs = ListedRuns(clock)
        self.crashing_requests = CrashingRequests(clock)
        self.unanswered = UnansweredRequests(clock, self.crashing_requests)

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetTable targets={len(self)}>'

    def list_all(self) -> tuple[Target, ...]:
        """Return every target."""
        return tuple(self._targets.values())

    def get(self, target_id: str) -> Target | None:
        """Return a target by id."""
        return self._targets.get(target_id)

    def put(self, record: TargetRecord) -> None:
        """Add a target, replace it after a restart, or update its record."""
        listed = self._targets.get(record.id)
        if listed is not None and listed.record.started_at_ms == record.started_at_ms:
            self._take_out(listed)
            listed.update(record)
            self._put_in(listed)
        else:
            self.remove(record.id)
            target = Target(record, self._clock)
            if listed is not None:
                target.ramp_up.begin(RampCause.restart, record.slots)
            self._put_in(target)

    def remove(self, target_id: str) -> None:
        """Remove a target, if it is listed."""
        listed = self._targets.get(target_id)
        if listed is not None:
            self._take_out(listed)

    def list_service(self, service: str) -> list[Target]:
        """Return the targets of `service`."""
        return list(self._by_service.get(service, {}).values())

    def list_usable(self, service: str) -> list[Target]:
        """Return the targets of `service` that may get requests."""
        return [
            target
            for target in self.list_service(service)
            if self._is_staying(target)
            and not self.notices.get_pause(target.record.id) > 0
        ]

    def list_listed(self, service: str) -> list[Target]:
        """Return the targets of `service` that are expected to serve requests.

        These are the usable ones, and those that are absent for a moment: ejected ones and
        those that want a pause. Objects are assigned to all of them, so that a short
        absence moves none.
        """
        return [
            target for target in self.list_service(service) if self._is_listed(target)
        ]

    def list_staying(self) -> list[Target]:
        """Return the targets of all services whose slots count as capacity.

        These are the usable ones, and those that want a pause, which is soon over.
        """
        return [target for target in self._targets.values() if self._is_staying(target)]

    def evacuate(self, domains: frozenset[str], cold_s: float) -> None:
        """Send no requests to `domains`; targets in restored domains become cold."""
        restored = self.evacuated - domains
        self.evacuated = domains
        for target in self._targets.values():
            if target.record.location.failure_domain in restored:
                target.mark_cold(cold_s)
                target.ramp_up.begin(RampCause.evacuation, target.record.slots)

    def update_peer_loads(self, loads: dict[str, int]) -> None:
        """Set the number of requests that the other members have at each target."""
        for target in self._targets.values():
            target.record_peer_load(loads.get(target.record.id, 0))

    def count_loads(self) -> dict[str, int]:
        """Return this instance's requests in flight, by target that has any."""
        return {
            target.record.id: target.in_flight
            for target in self._targets.values()
            if target.in_flight
        }

    def _is_staying(self, target: Target) -> bool:
        return self._is_listed(target) and not target.ejection

    def _is_listed(self, target: Target) -> bool:
        ready = target.record.state is TargetState.ready
        evacuated = target.record.location.failure_domain in self.evacuated
        leaving = self.notices.is_leaving(target.record.id)
        return ready and not leaving and not evacuated

    def _put_in(self, target: Target) -> None:
        record = target.record
        self._targets[record.id] = target
        self._by_service.setdefault(record.service, {})[record.id] = target

    def _take_out(self, target: Target) -> None:
        record = target.record
        self._targets.pop(record.id)
        self._by_service[record.service].pop(record.id)


def summarize_loads(targets: Iterable[Target]) -> dict[str, float]:
    """Return what is known of all loads, as gauges: sources, age and slowdowns."""
    known = [target.describe_load() for target in targets]
    sources = Counter(load.source for load in known)
    return {
        **{f'loads_{source.value}': sources[source] for source in LoadSource},
        'load_age_seconds': max((load.age_s for load in known), default=0),
        'targets_slowed': sum(load.slowdown >= MIN_TOLD for load in known),
    }
