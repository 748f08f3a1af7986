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
from random import Random

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.buckets import DemandMeter, TokenBucket
from currantmast.direct.model import Team

# Part of a rate that is split evenly: sudden demand finds a share anywhere, and so does
# a member that can't hear all others.
EVEN_PART = 0.5

# A share of less than one request could never admit anything.
LEAST_BURST = 1.0

# Part of a team's burst that must be left for admissions beyond a share.
RESERVE_PART = 0.4

# Seconds of a team's rate by which its whole bucket may be overdrawn before shares wait
# as well; announcements of others come this late.
DEBT_S = 0.5

# Seconds of a team's rate that a new run takes the team's whole bucket to hold. That long
# at least nothing was admitted by it while it started, nor by anybody when all did.
START_CREDIT_S = 0.5

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
    """The request is beyond the team's rate, with what decided it.

    Parameters
    ----------
    wait_s : float
        Seconds until a token.
    share_tokens, team_tokens : float
        What the own share holds, and by estimate the whole team's bucket.
    silent : int
        Members that are not heard; while there are any, no share rises.
    """

    wait_s: float
    share_tokens: float = 0
    team_tokens: float = 0
    silent: int = 0


class Undivided(msgspec.Struct, frozen=True):
    """The rate is not divided yet, since the members of the fleet are unknown."""


class _TeamShare:
    """Bucket, demand and the last safe share of one team."""

    __slots__ = (
        'admitted',
        'borrowed',
        'bucket',
        'credited',
        'demand',
        'fleet',
        'safe_fraction',
    )

    def __init__(self, clock: Clock) -> None:
        self.bucket = TokenBucket(clock)
        # Estimate of the bucket of the whole team.
        self.fleet = TokenBucket(clock)
        self.admitted = 0
        self.borrowed = 0
        self.credited = False
        self.demand = DemandMeter(clock)
        self.safe_fraction: float = 0


class TeamRates:
    """Buckets of all teams at one member.

    A new run starts with nearly empty buckets, so that a restart mints no second burst.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dice : Random, optional
        Source of chance.
    """

    __slots__ = (
        '_announced',
        '_clock',
        '_counted',
        '_dice',
        '_peers',
        '_shares',
        '_teams',
    )

    def __init__(self, clock: Clock, dice: Random | None = None) -> None:
        self._clock = clock
        self._dice = dice or Random()
        self._shares: dict[str, _TeamShare] = {}
        self._teams: dict[str, Team] = {}
        self._announced: dict[str, float] = {}
        # None until the other members are known: alone, one would take a whole rate.
        self._peers: tuple[DemandReport, ...] | None = None
        # What each member's run had announced when it was last counted.
        self._counted: dict[str, DemandReport] = {}

    def __repr__(self) -> str:
        """Return the number of teams."""
        return f'<TeamRates teams={len(self._shares)}>'

    def follow_teams(self, teams: Iterable[Team]) -> None:
        """Take over the limits of a configuration."""
        self._teams = {team.name: team for team in teams if team.rate > 0}
        for name in set(self._shares) - set(self._teams):
            self._shares.pop(name)
        for name in self._teams:
            if name not in self._shares:
                self._shares[name] = _TeamShare(self._clock)
        self._resize()

    def follow_peers(self, peers: Iterable[DemandReport]) -> None:
        """Take over what the other members last announced."""
        self._peers = tuple(peers)
        for peer in self._peers:
            self._count_peer(peer)
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

    def admit(self, team: Team) -> Admitted | OverRate | Undivided:
        """Take a token of `team`."""
        share = self._shares.get(team.name)
        if share is None:
            return Admitted()
        share.demand.record(1)
        if self._peers is None:
            return Undivided()
        if _is_overdrawn(team, share):
            return self._explain(share, -share.fleet.count() / team.rate)
        if share.bucket.take(1) or self._borrow(team, share):
            share.fleet.spend(1)
            share.admitted += 1
            return Admitted()
        return self._explain(share, share.bucket.get_wait(1))

    def _explain(self, share: _TeamShare, wait_s: float) -> OverRate:
        silent = sum(not peer.heard for peer in self._peers or ())
        return OverRate(wait_s, share.bucket.count(), share.fleet.count(), silent)

    def _borrow(self, team: Team, share: _TeamShare) -> bool:
        peers = self._peers or ()
        members = len(peers) + 1
        most = int(team.burst * RESERVE_PART / members)
        if members <= MAX_WHOLE_BORROWERS:
            most = max(1, most)
        reserve = max(1, team.burst * RESERVE_PART)
        silent = any(not peer.heard for peer in peers)
        if silent or share.borrowed >= most or share.fleet.count() < reserve:
            return False
        share.borrowed += 1
        return True

    def _count_peer(self, peer: DemandReport) -> None:
        if not peer.incarnation:
            return
        # What a member admitted before it was first heard may be long ago; a new run of
        # one that was heard before has admitted everything lately.
        counted = self._counted.get(peer.member, peer)
        before = counted.admitted if counted.incarnation == peer.incarnation else {}
        self._counted[peer.member] = peer
        for name, admitted in peer.admitted.items():
            share = self._shares.get(name)
            if share is not None:
                share.fleet.spend(max(0, admitted - before.get(name, 0)))

    def _resize(self) -> None:
        if self._peers is None:
            return
        all_heard = all(peer.heard for peer in self._peers)
        even = EVEN_PART / (len(self._peers) + 1)
        for name, team in self._teams.items():
            share = self._shares[name]
            fraction = self._compute_fraction(name)
            if all_heard:
                share.safe_fraction = fraction
            fraction = min(fraction, max(even, share.safe_fraction))
            share.fleet.resize(team.rate, team.burst)
            share.bucket.resize(
                team.rate * fraction, max(LEAST_BURST, team.burst * fraction)
            )
            if not share.credited:
                self._credit(team, share)

    def _credit(self, team: Team, share: _TeamShare) -> None:
        share.credited = True
        credit = team.rate * START_CREDIT_S
        share.fleet.add(credit)
        # Members draw for whole tokens, since a part of one admits nothing.
        whole, part = divmod(credit / (len(self._peers or ()) + 1), 1)
        share.bucket.add(whole + (self._dice.random() < part))

    def _compute_fraction(self, name: str) -> float:
        peers = self._peers or ()
        even = EVEN_PART / (len(peers) + 1)
        own = self._announced.get(name, 0)
        total = own + sum(peer.demands.get(name, 0) for peer in peers)
        if total <= 0:
            return 1 / (len(peers) + 1)
        return even + (1 - EVEN_PART) * own / total


def _is_overdrawn(team: Team, share: _TeamShare) -> bool:
    return share.fleet.count() < -(team.rate * DEBT_S + LEAST_BURST)
