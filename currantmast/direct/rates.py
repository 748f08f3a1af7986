"""Rates of teams over the whole fleet: shares that follow the demand.

Every member admits from a bucket of its own whose rate and burst are a share of the
team's. The shares are computed by each member from the demand that all members last
announced, its own included, so they agree up to the delay of a heartbeat. While a member
is silent nobody's share may rise above the last one computed with everybody heard: the
silent one may still be admitting.

A share of a small rate refuses requests that come close together although the team as a
whole is far below its rate. So every member also keeps an estimate of the team's whole
bucket from the admissions that all announce, and admits beyond its share while that
bucket is well filled. What one member admits so between two announcements is bounded by
its part of what the bucket keeps in reserve.
"""

from collections.abc import Iterable, Mapping

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.buckets import DemandMeter, TokenBucket
from currantmast.direct.model import Team

# Part of a rate that is split evenly, so that sudden demand finds a share anywhere.
EVEN_PART = 0.25

# A share of less than one request could never admit anything.
LEAST_BURST = 1.0

# Part of a team's burst that must be left for admissions beyond a share.
RESERVE_PART = 0.4

# Most members that may each admit a whole request from a reserve of less than one.
MAX_WHOLE_BORROWERS = 12


class DemandReport(msgspec.Struct, frozen=True):
    """What one member announced.

    Parameters
    ----------
    member, incarnation : str
        The member and its run.
    admitted : dict of int
        Requests admitted since its start, by team.
    demands : dict of float
        Requests per second, by team; absent means none.
    heard : bool
        Whether the announcement is recent.
    """

    member: str
    incarnation: str
    demands: Mapping[str, float]
    admitted: Mapping[str, int] = {}
    heard: bool = True


class Admitted(msgspec.Struct, frozen=True):
    """The request is inside the team's rate."""


class OverRate(msgspec.Struct, frozen=True):
    """The request is beyond the team's rate; `wait_s` seconds until a token."""

    wait_s: float


class _TeamShare:
    """Bucket, demand and the last safe share of one team."""

    __slots__ = ('admitted', 'borrowed', 'bucket', 'demand', 'fleet', 'safe_fraction')

    def __init__(self, clock: Clock) -> None:
        self.bucket = TokenBucket(clock)
        # Estimate of the bucket of the whole team.
        self.fleet = TokenBucket(clock)
        self.admitted = 0
        self.borrowed = 0
        self.demand = DemandMeter(clock)
        self.safe_fraction: float = 0


class TeamRates:
    """Buckets of all teams at one member.

    A new run starts with empty buckets, so that a restart mints no second burst.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_announced', '_clock', '_counted', '_peers', '_shares', '_teams')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._shares: dict[str, _TeamShare] = {}
        self._teams: dict[str, Team] = {}
        self._announced: dict[str, float] = {}
        self._peers: tuple[DemandReport, ...] = ()
        # Admissions already taken from the estimates, by member's run and team.
        self._counted: dict[tuple[str, str, str], int] = {}

    def __repr__(self) -> str:
        """Return the number of teams."""
        return f'<TeamRates teams={len(self._shares)}>'

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Take over the limits of a configuration."""
        self._teams = {team.name: team for team in teams if team.rate > 0}
        for name in set(self._shares) - set(self._teams):
            self._shares.pop(name)
        for name in self._teams:
            if name not in self._shares:
                self._shares[name] = _TeamShare(self._clock)
        self._resize()

    def set_peers(self, peers: Iterable[DemandReport]) -> None:
        """Take over what the other members last announced."""
        self._peers = tuple(peers)
        for peer in self._peers:
            for name, admitted in peer.admitted.items():
                self._count_peer(peer, name, admitted)
        self._resize()

    def count_admitted(self) -> dict[str, int]:
        """Return the requests admitted since the start, by team."""
        return {
            name: share.admitted
            for name, share in self._shares.items()
            if share.admitted
        }

    def announce(self) -> dict[str, float]:
        """Return the own demand, which the own shares follow from now on."""
        self._announced = {
            name: round(share.demand.measure(), 2)
            for name, share in self._shares.items()
        }
        for share in self._shares.values():
            share.borrowed = 0
        self._resize()
        return {name: rate for name, rate in self._announced.items() if rate > 0}

    def admit(self, team: Team) -> Admitted | OverRate:
        """Take a token of `team`."""
        share = self._shares.get(team.name)
        if share is None:
            return Admitted()
        share.demand.note(1)
        if share.bucket.take(1) or self._borrow(team, share):
            share.fleet.spend(1)
            share.admitted += 1
            return Admitted()
        return OverRate(share.bucket.get_wait(1))

    def _borrow(self, team: Team, share: _TeamShare) -> bool:
        members = len(self._peers) + 1
        most = int(team.burst * RESERVE_PART / members)
        if members <= MAX_WHOLE_BORROWERS:
            most = max(1, most)
        reserve = max(1, team.burst * RESERVE_PART)
        silent = any(not peer.heard for peer in self._peers)
        if silent or share.borrowed >= most or share.fleet.count() < reserve:
            return False
        share.borrowed += 1
        return True

    def _count_peer(self, peer: DemandReport, name: str, admitted: int) -> None:
        share = self._shares.get(name)
        if share is None:
            return
        run = (peer.member, peer.incarnation, name)
        # What a member admitted before it was first heard is unknown in time.
        counted = self._counted.get(run, admitted)
        self._counted[run] = admitted
        share.fleet.spend(max(0, admitted - counted))

    def _resize(self) -> None:
        all_heard = all(peer.heard for peer in self._peers)
        for name, team in self._teams.items():
            share = self._shares[name]
            fraction = self._compute_fraction(name)
            if all_heard:
                share.safe_fraction = fraction
            fraction = min(fraction, share.safe_fraction)
            share.fleet.resize(team.rate, team.burst)
            share.bucket.resize(
                team.rate * fraction, max(LEAST_BURST, team.burst * fraction)
            )

    def _compute_fraction(self, name: str) -> float:
        even = EVEN_PART / (len(self._peers) + 1)
        own = self._announced.get(name, 0)
        total = own + sum(peer.demands.get(name, 0) for peer in self._peers)
        if total <= 0:
            return 1 / (len(self._peers) + 1)
        return even + (1 - EVEN_PART) * own / total
