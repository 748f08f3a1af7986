"""Rate limits that targets name in their answers for the requests of the whole fleet.

A target names its limit with each answer for as long as it needs one. Every member tells
the others what the answers that it got have named, so a limit is kept by members that the
target hasn't answered yet, and ends for all of them. The rate is divided between the
members like that of a team.
"""

from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.demands import DemandReport
from currantmast.direct.rates import FleetRateLimiter
from currantmast.runtime.logs import log_event

# Requests that may come at once after a pause: these, and what the rate gives in a time in
# seconds.
MIN_BURST = 2.0
BURST_S = 1.0

# Tokens that are kept for requests whose objects the target caches.
SPARE_TOKENS = 1.0

# Lowest rate in requests per second that is kept. A target is asked at least this often
# whether it still names its limit.
MIN_RATE = 0.2

# Seconds for which the other members are told that a target named no limit.
ENDED_S = 5.0

# Targets of which a heartbeat tells what they named: those that answered last.
MAX_NAMED = 60


class TargetLimit(msgspec.Struct, frozen=True):
    """Limit of one target: its id, requests per second and the size of a burst."""

    name: str
    rate: float
    burst: float


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of a target named, as sent in a heartbeat.

    Parameters
    ----------
    rate : float or None
        Requests per second; None for no limit.
    age_s : float
        Seconds since the answer arrived at the sender.
    """

    rate: float | None
    age_s: float


class TargetLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a member tells about targets with limits, by target id.

    Parameters
    ----------
    named : dict of NamedLimit
        What the newest answers that it got itself named.
    demands : dict of float
        Its requests per second to them.
    admitted : dict of int
        Its requests to them since its start.
    """

    named: dict[str, NamedLimit] = {}
    demands: dict[str, float] = {}
    admitted: dict[str, int] = {}


class LimitedTargets(msgspec.Struct, frozen=True):
    """Targets whose limits leave no token for a request, by id.

    Parameters
    ----------
    exhausted : frozenset of str
        Those to which no request may be sent now.
    scarce : frozenset of str
        Those whose tokens are kept for requests with affinity, and the exhausted ones.
    """

    exhausted: frozenset[str] = frozenset()
    scarce: frozenset[str] = frozenset()


class _Statement(msgspec.Struct, frozen=True):
    """Newest statement about the limit of a target.

    Parameters
    ----------
    rate : float or None
        Requests per second; None for no limit.
    answered_at : float
        Time in seconds at which the answer arrived.
    own : bool
        Whether the answer came to this instance.
    """

    rate: float | None
    answered_at: float
    own: bool


class TargetLimits:
    """The limits that targets name, and the share of them that this instance may use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : Random, optional
        Random number generator.
    """

    __slots__ = ('_clock', '_limiter', '_limits', '_statements')

    def __init__(self, clock: Clock, rng: Random | None = None) -> None:
        self._clock = clock
        self._statements: dict[str, _Statement] = {}
        self._limits: dict[str, TargetLimit] = {}
        self._limiter = FleetRateLimiter(clock, rng)

    def __len__(self) -> int:
        """Return the number of targets that name a limit."""
        return len(self._limits)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetLimits targets={len(self)}>'

    def note_answer(self, target_id: str, rate: float | None) -> None:
        """Record the limit that an answer of a target names, or that it names none."""
        if rate is not None or target_id in self._statements:
            statement = _Statement(rate, self._clock.now(), own=True)
            self._record(target_id, statement)

    def note_peer(self, named: Mapping[str, NamedLimit]) -> None:
        """Record what answers to another member named; a newer answer counts."""
        now = self._clock.now()
        for target_id, limit in named.items():
            answered_at = now - limit.age_s
            known = self._statements.get(target_id)
            if known is None or known.answered_at < answered_at:
                statement = _Statement(limit.rate, answered_at, own=False)
                self._record(target_id, statement)

    def forget(self, target_id: str) -> None:
        """Drop what is known about a run of a target that has ended."""
        if self._statements.pop(target_id, None) is not None:
            self._update_limits()

    def select_limited(self, target_ids: Iterable[str]) -> LimitedTargets:
        """Return which of the targets have no token, or none to spare, for a request.

        The request counts as demand for each of them in equal parts.
        """
        if not self._limits:
            return LimitedTargets()
        ids = tuple(target_ids)
        limits = [self._limits[known] for known in ids if known in self._limits]
        for limit in limits:
            self._limiter.record_demand(limit, 1 / len(ids))
        exhausted = self._select_without(limits, 0)
        scarce = self._select_without(limits, SPARE_TOKENS)
        return LimitedTargets(exhausted, exhausted | scarce)

    def take_token(self, target_id: str) -> None:
        """Take a token for a request that is sent to a target."""
        limit = self._limits.get(target_id)
        if limit is not None:
            self._limiter.take(limit)

    def get_wait(self, target_id: str) -> float:
        """Return about how many seconds it takes the whole fleet to get a token."""
        limit = self._limits.get(target_id)
        return 1 / limit.rate if limit else 0

    def has_demand(self) -> bool:
        """Return whether requests were lately sent to a target that names a limit."""
        return bool(self._limiter.count_recently_admitted())

    def update_peers(self, peers: Iterable[DemandReport]) -> None:
        """Process what the other members last announced."""
        self._limiter.update_peers(peers)

    def make_report(self) -> TargetLimitReport | None:
        """Return what the next heartbeat tells; None if there is nothing to tell."""
        named = self._list_own()
        demands = self._limiter.announce()
        admitted = self._limiter.count_recently_admitted()
        if not (named or demands or admitted):
            return None
        return TargetLimitReport(named, demands, admitted)

    def _select_without(
        self, limits: Iterable[TargetLimit], spare: float
    ) -> frozenset[str]:
        """Return the targets without a token beyond `spare` ones."""
        return frozenset(
            limit.name for limit in limits if not self._limiter.has_token(limit, spare)
        )

    def _record(self, target_id: str, statement: _Statement) -> None:
        known = self._statements.get(target_id)
        self._statements[target_id] = statement
        before = known.rate if known else None
        if statement.rate != before:
            log_event(
                'target_limit',
                target=target_id,
                rate=statement.rate,
                before=before,
                own=statement.own,
            )
            self._update_limits()

    def _update_limits(self) -> None:
        self._limits = {
            target_id: _make_limit(target_id, statement.rate)
            for target_id, statement in self._statements.items()
            if statement.rate is not None
        }
        self._limiter.replace_limits(self._limits.values())

    def _list_own(self) -> dict[str, NamedLimit]:
        now = self._clock.now()
        told = [
            (target_id, NamedLimit(statement.rate, now - statement.answered_at))
            for target_id, statement in self._statements.items()
            if statement.own
            and (statement.rate is not None or now - statement.answered_at < ENDED_S)
        ]
        told.sort(key=lambda item: item[1].age_s)
        return dict(told[:MAX_NAMED])


def _make_limit(target_id: str, rate: float) -> TargetLimit:
    kept_rate = max(MIN_RATE, rate)
    return TargetLimit(target_id, kept_rate, MIN_BURST + kept_rate * BURST_S)
