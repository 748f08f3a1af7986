"""Crossings: which part of a region's requests runs in other regions.

Load patterns that it answers: queues that fill in all targets of a region at once, at a
cold start, at the rise of a wave, or when callers move. Work that flees at once fills the
queues of the other regions as fast, and comes back as fast. So all instances of a region
follow one share for each service, which moves slowly towards what the requests would do
by themselves, and a rank decides which objects belong to it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from statistics import fmean

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.model import InstanceRecord
from currantmast.direct.targets import Target
from currantmast.runtime.logs import log_event

# Most that a share may change in a second.
PACE_PER_S = 0.035

# Seconds in which half of the counted requests are forgotten.
HALF_LIFE_S = 1.0

# Recent requests below which an instance knows nothing of the share itself.
LEAST_ASKED = 1.0

# Requests by which one instance may be ahead of the share or behind it, as a part of its
# recent ones and at least: before it corrects that, and for lack of room.
DRIFT_PART = 0.02
LEAST_DRIFT = 0.5
STRAY_PART = 0.08
LEAST_STRAY = 1.0

# Part of all slots that is taken to be in use before any request was seen.
FIRST_USE = 0.5

# Part of the region's slots whose loss is a failure, to which the share jumps.
LOSS_PART = 0.2

# Seconds in which the slots that are taken as usual move half-way to those there are.
USUAL_HALF_LIFE_S = 10.0

# Longest time in seconds that counts as one step.
MOST_STEP_S = 1.0


class CrossingReport(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells of its requests for a service.

    Parameters
    ----------
    asked : float
        Its recent requests that could run in the own region or in another.
    wanted : float
        Those of them that would have left if nothing bound them.
    share : float
        Share that belongs to other regions, from 0 to 1, as it believes.
    """

    asked: float = 0
    wanted: float = 0
    share: float = 0


CrossingReports = dict[str, CrossingReport]


class RegionRoom(msgspec.Struct, frozen=True):
    """Slots of a service, in the fleet and in the own region.

    Parameters
    ----------
    slots, near_slots : int
        Slots of the usable targets.
    near_part : float
        Part of all instances that runs in the region, from 0 to 1.
    """

    slots: int
    near_slots: int
    near_part: float

    @property
    def first_share(self) -> float:
        """Share that leaves if the callers spread over regions as the instances do."""
        needed = FIRST_USE * self.slots * self.near_part
        return max(0, 1 - self.near_slots / max(1, needed))


def measure_rooms(
    targets: Iterable[Target], members: Sequence[InstanceRecord], region: str
) -> dict[str, RegionRoom]:
    """Return the room of each service.

    Parameters
    ----------
    targets : iterable of Target
        Targets that may get work.
    members : sequence of InstanceRecord
        All members, this one included.
    region : str
        The own region.
    """
    slots: Counter[str] = Counter()
    near_slots: Counter[str] = Counter()
    for target in targets:
        record = target.record
        slots[record.service] += record.slots
        if record.place.region == region:
            near_slots[record.service] += record.slots
    near = sum(member.place.region == region for member in members)
    near_part = near / max(1, len(members))
    return {
        service: RegionRoom(count, near_slots[service], near_part)
        for service, count in slots.items()
    }


class RegionShare:
    """The share of a region's requests for one service that runs elsewhere.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_asked',
        '_clock',
        '_followed_at',
        '_noted_at',
        '_usual_slots',
        '_wanted',
        'share',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked: float = 0
        self._wanted: float = 0
        self._noted_at = clock.now()
        self._followed_at = clock.now()
        self._usual_slots: float = 0
        self.share: float = 0

    def __repr__(self) -> str:
        """Return the share."""
        return f'<RegionShare {self.share:.3f}>'

    @property
    def asked(self) -> float:
        """Recent requests of this instance that could run on either side."""
        return self._asked

    def note_wish(self, *, away: bool) -> None:
        """Count one request, by where it would go if nothing bound it."""
        self._forget()
        self._asked += 1
        self._wanted += away

    def announce(self) -> CrossingReport:
        """Return what the other members are told."""
        self._forget()
        return CrossingReport(self._asked, self._wanted, self.share)

    def follow(self, reports: Sequence[CrossingReport], room: RegionRoom) -> None:
        """Move the share towards what the region's requests want.

        Parameters
        ----------
        reports : sequence of CrossingReport
            What the other living members of the region told last.
        room : RegionRoom
            Slots as listed now.
        """
        now = self._clock.now()
        step_s = min(MOST_STEP_S, now - self._followed_at)
        self._followed_at = now
        own = self.announce()
        peers = [known for known in reports if known.asked >= LEAST_ASKED]
        if own.asked >= LEAST_ASKED:
            self._approach(_find_wish((own, *peers)), PACE_PER_S * step_s)
        elif peers:
            self.share = fmean(known.share for known in peers)
        else:
            self.share = room.first_share
        self._follow_loss(room.near_slots, step_s)

    def _approach(self, wish: float, most: float) -> None:
        self.share += max(-most, min(most, wish - self.share))

    def _follow_loss(self, slots: int, step_s: float) -> None:
        lost = 1 - slots / self._usual_slots if self._usual_slots else 0
        if lost >= LOSS_PART:
            before = self.share
            self.share = 1 - (1 - before) * (1 - lost)
            log_event(
                'region_lost_slots',
                level='WARNING',
                slots=slots,
                usual=round(self._usual_slots),
                share_before=before,
                share=self.share,
            )
            self._usual_slots = slots
            return
        kept = 0.5 ** (step_s / USUAL_HALF_LIFE_S)
        smoothed = slots + (self._usual_slots - slots) * kept
        self._usual_slots = max(slots, smoothed)

    def _forget(self) -> None:
        now = self._clock.now()
        kept = 0.5 ** ((now - self._noted_at) / HALF_LIFE_S)
        self._noted_at = now
        self._asked *= kept
        self._wanted *= kept


class Crossings:
    """The sides of an instance's requests: in its own region, or in another.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_balance', '_clock', '_due', '_shares')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._balance: float = 0
        self._due: float = 0
        self._shares: dict[str, RegionShare] = {}

    def __repr__(self) -> str:
        """Return the shares."""
        return f'<Crossings {self._shares}>'

    def get_share(self, service: str) -> float:
        """Return the share of a service's requests that belongs to other regions."""
        return self._open(service).share

    def belongs_away(self, service: str, rank: float | None) -> bool:
        """Return whether a request belongs to another region.

        Parameters
        ----------
        service : str
            Service to run on.
        rank : float or None
            Rank of the request's object from 0 to 1, by which objects leave the region
            one after the other, the highest first; requests without one take turns.
        """
        share = self.get_share(service)
        if rank is not None:
            return rank >= 1 - share
        self._due += share
        if self._due < 1:
            return False
        self._due -= 1
        return True

    def has_drifted(self, service: str, *, away: bool) -> bool:
        """Return whether too many requests went to a side lately."""
        drift = max(LEAST_DRIFT, DRIFT_PART * self._open(service).asked)
        ahead = self._balance if away else -self._balance
        return ahead > drift

    def may_stray(self, service: str, *, away: bool) -> bool:
        """Return whether a request may go to a side that it doesn't belong to."""
        return abs(self._balance + away - self.get_share(service)) <= self._limit(
            service
        )

    def note_wish(self, service: str, *, away: bool) -> None:
        """Count one request, by where it would go if nothing bound it."""
        self._open(service).note_wish(away=away)

    def note_sent(self, service: str, *, away: bool) -> None:
        """Count one request that was sent to a side."""
        most = self._limit(service)
        balance = self._balance + away - self.get_share(service)
        self._balance = max(-most, min(most, balance))

    def announce(self) -> CrossingReports:
        """Return what the other members are told, by service."""
        return {service: known.announce() for service, known in self._shares.items()}

    def follow(
        self, reports: Sequence[CrossingReports], rooms: Mapping[str, RegionRoom]
    ) -> None:
        """Move all shares towards what the region's requests want.

        Parameters
        ----------
        reports : sequence of dict of CrossingReport
            What the other living members of the region told last, by service.
        rooms : mapping of RegionRoom
            Slots as listed now, by service.
        """
        for service, room in rooms.items():
            told = [known[service] for known in reports if service in known]
            self._open(service).follow(told, room)

    def _limit(self, service: str) -> float:
        return max(LEAST_STRAY, STRAY_PART * self._open(service).asked)

    def _open(self, service: str) -> RegionShare:
        known = self._shares.get(service)
        if known is None:
            known = RegionShare(self._clock)
            self._shares[service] = known
        return known


def _find_wish(reports: Sequence[CrossingReport]) -> float:
    """Return the share of the region's recent requests that would leave."""
    wanted = sum(known.wanted for known in reports)
    return wanted / sum(known.asked for known in reports)
