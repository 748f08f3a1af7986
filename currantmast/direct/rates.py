"""Rate limits over the whole fleet, divided between its members by demand.

They limit the requests of a team, or those to a target that takes only so many. Each
member admits requests from a local token bucket whose rate and burst are a share of
the limit's. Each member computes its share from the demand that all members last
announced, its own included, so the shares are consistent up to the delay of a heartbeat.
While a member is silent, no share may rise above the last one computed when all were
heard, since the silent member may still be admitting requests.

A share of a small rate would refuse requests that come close together although the fleet
is far below its limit. Therefore each member also estimates the bucket of the whole fleet
from the admissions that all members announce. It admits requests beyond its own share
(borrows) while that bucket holds more than the others may have taken since their last
announcements, which is their demand in that time.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import Protocol

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.buckets import DemandMeter, TokenBucket
from currantmast.direct.demands import CountedAdmissions, DemandReport

# Fraction of a rate that is split evenly, so that each member has a share when demand
# appears suddenly or when it can't hear all others.
EVEN_FRACTION = 0.5

# Smallest burst of a share, in requests; a smaller one could never admit anything.
MIN_BURST = 1.0

# Age in seconds up to which the announcements of the other members are assumed to be
# old, since they come once a period and some of them get lost.
ANNOUNCEMENT_AGE_S = 0.6

# Fraction of the slack that the operator allows beyond a rate which may be used for what an
# estimate of the fleet's bucket doesn't know yet.
SLACK_FRACTION = 0.4

# Time in seconds for which an admission is announced: longer than a member that loses
# datagrams stays silent.
ANNOUNCED_S = 3.0

# Demand in requests per second below which it isn't announced.
MIN_DEMAND = 0.05

# Debt of the fleet's bucket, in seconds of its rate, beyond which the local shares are
# refused too. Announcements of other members can arrive this late.
MAX_DEBT_S = 0.5

# Tokens, in seconds of a rate, that a new process assumes in the fleet's bucket. It
# admitted nothing for at least that long while it started; if all members started
# together, nobody did.
START_CREDIT_S = 0.5


class FleetLimit(Protocol):
    """Rate limit of a team or a target: requests per second, and the size of a burst."""

    name: str
    rate: float
    burst: float


class Admitted(msgspec.Struct, frozen=True):
    """The request is within the rate."""


class RateExceeded(msgspec.Struct, frozen=True):
    """The request exceeds the rate; holds the values that led to the refusal.

    Parameters
    ----------
    wait_s : float
        Seconds until a token is available.
    share_tokens, fleet_tokens : float
        Tokens in the local share, and the estimate for the whole fleet's bucket.
    silent : int
        Number of silent members; while there are any, no share rises.
    """

    wait_s: float
    share_tokens: float = 0
    fleet_tokens: float = 0
    silent: int = 0


class SharesUnknown(msgspec.Struct, frozen=True):
    """The rate can't be divided yet, since the members of the fleet are unknown."""


class _Share:
    """Local bucket, estimate of the fleet's bucket, and demand of one limit."""

    __slots__ = (
        'admitted',
        'admitted_at',
        'bucket',
        'demand',
        'has_start_credit',
        'safe_fraction',
        'fleet_bucket',
    )

    def __init__(self, clock: Clock) -> None:
        self.bucket = TokenBucket(clock)
        # Estimated from the admissions of all members.
        self.fleet_bucket = TokenBucket(clock)
        self.admitted = 0
        self.admitted_at = -math.inf
        self.has_start_credit = False
        self.demand = DemandMeter(clock)
        # Fraction of the rate that was computed when all members were last heard.
        self.safe_fraction: float = 0


class FleetRateLimiter:
    """Keeps the limits of one kind, such as the rates of all teams, at one member.

    A new process starts with nearly empty buckets, so that a restart doesn't grant a
    second burst.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : Random, optional
        Random number generator.
    """

    __slots__ = (
        '_clock',
        '_counted',
        '_knows_demands',
        '_limits',
        '_local_demands',
        '_peer_demands',
        '_peers',
        '_rng',
        '_shares',
        '_slack',
        '_unannounced',
    )

    def __init__(self, clock: Clock, rng: Random | None = None) -> None:
        self._clock = clock
        self._rng = rng or Random()
        self._shares: dict[str, _Share] = {}
        self._limits: dict[str, FleetLimit] = {}
        self._local_demands: dict[str, float] = {}
        # None until the other members are known: without them, this member would admit
        # the whole rate.
        self._peers: tuple[DemandReport, ...] | None = None
        # Demand of the other members, and the requests that they may have admitted since
        # their last announcements, by name.
        self._peer_demands: Mapping[str, float] = {}
        self._unannounced: Mapping[str, float] = {}
        self._knows_demands = False
        self._slack: float = 0
        self._counted: dict[str, CountedAdmissions] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<FleetRateLimiter limits={len(self._shares)}>'

    def replace_limits(self, limits: Iterable[FleetLimit]) -> None:
        """Replace all limits; a rate of 0 means no limit."""
        self._limits = {limit.name: limit for limit in limits if limit.rate > 0}
        for name in set(self._shares) - set(self._limits):
            self._shares.pop(name)
        for name in self._limits:
            if name not in self._shares:
                self._shares[name] = _Share(self._clock)
        self._resize()

    def update_peers(self, peers: Iterable[DemandReport]) -> None:
        """Process the last announcements of all other members."""
        self._peers = tuple(peers)
        # Of a member that never announced anything, nothing is known.
        self._knows_demands = all(peer.incarnation for peer in self._peers)
        demands: Counter[str] = Counter()
        unannounced: Counter[str] = Counter()
        for peer in self._peers:
            self._count_peer_admissions(peer)
            age_s = max(ANNOUNCEMENT_AGE_S, peer.age_s)
            for name, rate in peer.demands.items():
                demands[name] += rate
                unannounced[name] += rate * age_s
        self._peer_demands = demands
        self._unannounced = unannounced
        self._resize()

    def allow_slack(self, requests: float) -> None:
        """Set by how many requests a rate may be exceeded in any few seconds."""
        self._slack = requests * SLACK_FRACTION

    def count_recently_admitted(self) -> dict[str, int]:
        """Return the number of requests admitted here since the start, by name.

        Only limits under which a request was admitted lately are included.
        """
        oldest = self._clock.now() - ANNOUNCED_S
        return {
            name: share.admitted
            for name, share in self._shares.items()
            if share.admitted_at >= oldest
        }

    def announce(self) -> dict[str, float]:
        """Return the local demand in requests per second, by name, for a heartbeat.

        From now on the local shares are computed from it.
        """
        demands = {
            name: round(share.demand.measure(), 2)
            for name, share in self._shares.items()
        }
        self._local_demands = {
            name: rate for name, rate in demands.items() if rate >= MIN_DEMAND
        }
        self._resize()
        return self._local_demands

    def has_token(self, limit: FleetLimit, spare: float = 0) -> bool:
        """Return whether a request may be sent now that leaves `spare` tokens.

        While all members want more than the limit, the tokens that no share uses are
        drawn by chance, so that about as many are taken as there are before the others
        hear of it.
        """
        share = self._shares.get(limit.name)
        if share is None:
            return True
        if self._peers is None or _exceeds_debt_limit(limit, share):
            return False
        if share.bucket.count() >= 1 + spare:
            return True
        if not self._knows_demands:
            return False
        left = share.fleet_bucket.count() - spare
        contenders = max(1, self._unannounced.get(limit.name, 0))
        return left >= 1 and self._rng.random() * contenders < left

    def take(self, limit: FleetLimit) -> None:
        """Take a token for a request that is sent."""
        share = self._shares.get(limit.name)
        if share is not None:
            share.bucket.take(1)
            self._count_admission(share)

    def record_demand(self, limit: FleetLimit, requests: float) -> None:
        """Record requests that would use the limit if it had tokens."""
        share = self._shares.get(limit.name)
        if share is not None:
            share.demand.record(requests)

    def admit(self, limit: FleetLimit) -> Admitted | RateExceeded | SharesUnknown:
        """Take a token of `limit` for one request, or tell why there is none."""
        share = self._shares.get(limit.name)
        if share is None:
            return Admitted()
        share.demand.record(1)
        if self._peers is None:
            return SharesUnknown()
        if _exceeds_debt_limit(limit, share):
            return self._make_refusal(share, -share.fleet_bucket.count() / limit.rate)
        if share.bucket.take(1) or self._may_borrow(limit, share):
            self._count_admission(share)
            return Admitted()
        return self._make_refusal(share, share.bucket.get_wait(1))

    def _count_admission(self, share: _Share) -> None:
        share.fleet_bucket.spend(1)
        share.admitted += 1
        share.admitted_at = self._clock.now()

    def _make_refusal(self, share: _Share, wait_s: float) -> RateExceeded:
        silent = sum(not peer.recent for peer in self._peers or ())
        return RateExceeded(
            wait_s, share.bucket.count(), share.fleet_bucket.count(), silent
        )

    def _may_borrow(self, limit: FleetLimit, share: _Share) -> bool:
        """Return whether the fleet's bucket holds a token that no other may have taken."""
        if not self._knows_demands:
            return False
        tokens = share.fleet_bucket.count() + self._slack
        return tokens >= 1 + self._unannounced.get(limit.name, 0)

    def _count_peer_admissions(self, peer: DemandReport) -> None:
        if not peer.incarnation:
            # Nothing was received from this member yet.
            return
        counted = self._counted.get(peer.member)
        if counted is None or counted.incarnation != peer.incarnation:
            # A new run of a known member admitted all of its count recently. What an
            # unknown member announces first may be long past.
            counted = CountedAdmissions(peer.incarnation, since_start=bool(counted))
            self._counted[peer.member] = counted
            if not counted.since_start:
                counted.totals.update(peer.admitted)
        for name, admitted in counted.update(peer).items():
            share = self._shares.get(name)
            if share is not None:
                share.fleet_bucket.spend(admitted)

    def _resize(self) -> None:
        if self._peers is None:
            return
        all_heard = all(peer.recent for peer in self._peers)
        even_fraction = EVEN_FRACTION / (len(self._peers) + 1)
        for name, limit in self._limits.items():
            share = self._shares[name]
            fraction = self._compute_fraction(name)
            if all_heard:
                share.safe_fraction = fraction
            fraction = min(fraction, max(even_fraction, share.safe_fraction))
            share.fleet_bucket.resize(limit.rate, limit.burst)
            share.bucket.resize(
                limit.rate * fraction, max(MIN_BURST, limit.burst * fraction)
            )
            if not share.has_start_credit:
                self._add_start_credit(limit, share)

    def _add_start_credit(self, limit: FleetLimit, share: _Share) -> None:
        share.has_start_credit = True
        credit = limit.rate * START_CREDIT_S
        share.fleet_bucket.add(credit)
        # A fraction of a token admits nothing, so it is rounded up or down at random,
        # with the fraction as the probability of rounding up.
        whole, remainder = divmod(credit / (len(self._peers or ()) + 1), 1)
        share.bucket.add(whole + (self._rng.random() < remainder))

    def _compute_fraction(self, name: str) -> float:
        peers = self._peers or ()
        even_fraction = EVEN_FRACTION / (len(peers) + 1)
        own = self._local_demands.get(name, 0)
        total = own + self._peer_demands.get(name, 0)
        if total <= 0:
            return 1 / (len(peers) + 1)
        return even_fraction + (1 - EVEN_FRACTION) * own / total


def _exceeds_debt_limit(limit: FleetLimit, share: _Share) -> bool:
    return share.fleet_bucket.count() < -(limit.rate * MAX_DEBT_S + MIN_BURST)
