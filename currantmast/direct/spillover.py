"""Spillover: the share of a region's requests that runs in other regions.

The queues of all targets of a region can fill at once: at a cold start, when load rises,
or when callers move. If each request then chose a region by itself, the load would fill
the queues of the other regions as quickly, and return as quickly. Therefore all instances
of a region follow a common share for each service. The share moves slowly towards the
fraction of requests that would prefer another region, and each object has a rank that
decides whether its requests are part of the share.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.model import InstanceRecord
from currantmast.direct.targets import Target
from currantmast.runtime.logs import log_event

# Largest change of a share per second.
MAX_SHARE_CHANGE_PER_S = 0.035

# Half-life in seconds of the counts of recent requests.
HALF_LIFE_S = 1.0

# Recent requests that an instance needs to calculate the share from its own counts.
MIN_RECENT_REQUESTS = 1.0

# Number of requests by which an instance may be above or below the share before it
# corrects this: a fraction of its recent requests, but at least the minimum.
DRIFT_FRACTION = 0.02
MIN_DRIFT = 0.5

# The same limit when one side, the local or the other regions, has no capacity.
DEVIATION_FRACTION = 0.08
MIN_DEVIATION = 1.0

# Assumed utilization of all slots before any request was seen, and the same where
# overload is expected.
INITIAL_UTILIZATION = 0.5
OVERLOAD_UTILIZATION = 0.8

# Utilization of the local slots that the demand of the region may reach at most.
MAX_LOCAL_UTILIZATION = 0.8

# Fraction of the region's slots whose loss counts as a failure, which changes the share
# at once.
LOSS_FRACTION = 0.2

# Half-life in seconds with which the usual number of slots falls to a lower current
# one; it rises to a higher one at once.
USUAL_HALF_LIFE_S = 10.0

# Longest time in seconds for which one update moves the share.
MAX_STEP_S = 1.0


class SpilloverReport(msgspec.Struct, frozen=True, array_like=True):
    """What a member reports of its requests for a service.

    Parameters
    ----------
    recent_requests : float
        Its recent requests that could run in the local or another region.
    preferred_remote : float
        Those of them for which a target in another region had the lowest cost.
    share : float
        The member's share of requests for other regions, from 0 to 1.
    """

    recent_requests: float = 0
    preferred_remote: float = 0
    share: float = 0


SpilloverReports = dict[str, SpilloverReport]


class RegionCapacity(msgspec.Struct, frozen=True):
    """Slots of a service in the fleet and in the local region.

    Parameters
    ----------
    slots, local_slots : int
        Slots of the usable targets in all regions and in the local region.
    local_member_fraction : float
        Fraction of all instances that run in the local region, from 0 to 1.
    utilization : float
        Assumed utilization of all slots before any request was seen, from 0 to 1.
    slot_s : float
        Mean time in seconds for which a request takes a slot; 0 when it isn't known.
    """

    slots: int
    local_slots: int
    local_member_fraction: float
    utilization: float = INITIAL_UTILIZATION
    slot_s: float = 0

    @property
    def initial_share(self) -> float:
        """Share to start with, if callers are distributed over regions like instances."""
        needed = self.utilization * self.slots * self.local_member_fraction
        return max(0, 1 - self.local_slots / max(1, needed))

    def find_least_share(self, rate: float) -> float:
        """Return the share that leaves no more than the local slots can serve.

        Parameters
        ----------
        rate : float
            Requests of the region per second.
        """
        usable = self.local_slots * MAX_LOCAL_UTILIZATION
        needed = rate * self.slot_s
        return 1 - usable / needed if needed > usable else 0


def measure_capacity(
    targets: Iterable[Target], members: Sequence[InstanceRecord], region: str
) -> dict[str, RegionCapacity]:
    """Return the slots of each service in the fleet and in the local region.

    Parameters
    ----------
    targets : iterable of Target
        Targets that may get requests.
    members : sequence of InstanceRecord
        All members, this one included.
    region : str
        The local region.
    """
    slots: Counter[str] = Counter()
    local_slots: Counter[str] = Counter()
    for target in targets:
        record = target.record
        slots[record.service] += record.slots
        if record.location.region == region:
            local_slots[record.service] += record.slots
    local_members = sum(member.location.region == region for member in members)
    local_member_fraction = local_members / max(1, len(members))
    return {
        service: RegionCapacity(count, local_slots[service], local_member_fraction)
        for service, count in slots.items()
    }


class SpilloverShare:
    """The share of a region's requests for one service that runs in other regions.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_clock',
        '_decayed_at',
        '_preferred_remote',
        '_recent_requests',
        '_updated_at',
        '_usual_slots',
        'share',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent_requests: float = 0
        self._preferred_remote: float = 0
        self._decayed_at = clock.now()
        self._updated_at = clock.now()
        self._usual_slots: float = 0
        self.share: float = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<SpilloverShare {self.share:.3f}>'

    @property
    def recent_requests(self) -> float:
        """Recent requests of this instance that could run in the local or another region."""
        return self._recent_requests

    def record_preference(self, *, remote: bool) -> None:
        """Count a request by whether its target of lowest cost is in another region."""
        self._decay()
        self._recent_requests += 1
        self._preferred_remote += remote

    def make_report(self) -> SpilloverReport:
        """Return the report for the other members."""
        self._decay()
        return SpilloverReport(
            self._recent_requests, self._preferred_remote, self.share
        )

    def update(
        self, reports: Sequence[SpilloverReport], capacity: RegionCapacity
    ) -> None:
        """Move the share towards the fraction of requests that prefer other regions.

        With too few requests of its own, the instance takes the average share of the
        members that have enough, or the initial share if none has. A sudden loss of slots
        raises the share at once.

        Parameters
        ----------
        reports : sequence of SpilloverReport
            Last reports of the other live members of the region.
        capacity : RegionCapacity
            Slots of the targets that are usable now.
        """
        now = self._clock.now()
        step_s = min(MAX_STEP_S, now - self._updated_at)
        self._updated_at = now
        own = self.make_report()
        peers = [
            report
            for report in reports
            if report.recent_requests >= MIN_RECENT_REQUESTS
        ]
        if own.recent_requests >= MIN_RECENT_REQUESTS:
            self._approach(
                _compute_preferred((own, *peers), capacity),
                MAX_SHARE_CHANGE_PER_S * step_s,
            )
        elif peers:
            self.share = sum(report.share for report in peers) / len(peers)
        else:
            self.share = capacity.initial_share
        self._apply_slot_loss(capacity.local_slots, step_s)

    def _approach(self, preferred: float, max_change: float) -> None:
        self.share += max(-max_change, min(max_change, preferred - self.share))

    def _apply_slot_loss(self, slots: int, step_s: float) -> None:
        lost = 1 - slots / self._usual_slots if self._usual_slots else 0
        if lost >= LOSS_FRACTION:
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
        remaining = 0.5 ** (step_s / USUAL_HALF_LIFE_S)
        smoothed = slots + (self._usual_slots - slots) * remaining
        self._usual_slots = max(slots, smoothed)

    def _decay(self) -> None:
        now = self._clock.now()
        remaining = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S)
        self._decayed_at = now
        self._recent_requests *= remaining
        self._preferred_remote *= remaining


class SpilloverControl:
    """Decides which requests of an instance run in other regions.

    A request is on one of two sides: the local region, or all other regions.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_balance', '_clock', '_due', '_shares')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Requests sent to other regions in excess of the shares, over all services and
        # bounded; may be negative.
        self._balance: float = 0
        # Accumulated shares of requests without a rank; when they reach 1, a request is
        # assigned to the other regions and 1 is subtracted.
        self._due: float = 0
        self._shares: dict[str, SpilloverShare] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<SpilloverControl {self._shares}>'

    def get_share(self, service: str) -> float:
        """Return the share of a service's requests that is assigned to other regions."""
        return self._get_or_add(service).share

    def count_recent(self, service: str) -> float:
        """Return this instance's recent requests that could run on either side."""
        return self._get_or_add(service).recent_requests

    def belongs_remote(self, service: str, rank: float | None) -> bool:
        """Return whether a request is assigned to the other regions.

        Parameters
        ----------
        service : str
            Service that the request is for.
        rank : float or None
            Rank of the request's object from 0 to 1. As the share grows, objects move to
            other regions in order of rank, the highest first. Requests without a rank
            are assigned in turn, in proportion to the share.
        """
        share = self.get_share(service)
        if rank is not None:
            return rank >= 1 - share
        self._due += share
        if self._due < 1:
            return False
        self._due -= 1
        return True

    def is_over_share(self, service: str, *, remote: bool) -> bool:
        """Return whether a side got too many requests in comparison with the share."""
        max_drift = max(
            MIN_DRIFT, DRIFT_FRACTION * self._get_or_add(service).recent_requests
        )
        drift = self._balance if remote else -self._balance
        return drift > max_drift

    def may_deviate(self, service: str, *, remote: bool) -> bool:
        """Return whether a request may go to a side that it isn't assigned to."""
        return abs(
            self._balance + remote - self.get_share(service)
        ) <= self._limit_deviation(service)

    def record_preference(self, service: str, *, remote: bool) -> None:
        """Count a request by whether its target of lowest cost is in another region."""
        self._get_or_add(service).record_preference(remote=remote)

    def note_sent(self, service: str, *, remote: bool) -> None:
        """Count a request that was sent to a side."""
        limit = self._limit_deviation(service)
        balance = self._balance + remote - self.get_share(service)
        self._balance = max(-limit, min(limit, balance))

    def make_report(self) -> SpilloverReports:
        """Return the reports for the other members, by service."""
        return {service: share.make_report() for service, share in self._shares.items()}

    def update(
        self,
        reports: Sequence[SpilloverReports],
        capacities: Mapping[str, RegionCapacity],
    ) -> None:
        """Move all shares towards the fractions of requests that prefer other regions.

        Parameters
        ----------
        reports : sequence of dict of SpilloverReport
            Last reports of the other live members of the region, by service.
        capacities : mapping of RegionCapacity
            Slots of the targets that are usable now, by service.
        """
        for service, capacity in capacities.items():
            peers = [report[service] for report in reports if service in report]
            self._get_or_add(service).update(peers, capacity)

    def _limit_deviation(self, service: str) -> float:
        return max(
            MIN_DEVIATION,
            DEVIATION_FRACTION * self._get_or_add(service).recent_requests,
        )

    def _get_or_add(self, service: str) -> SpilloverShare:
        share = self._shares.get(service)
        if share is None:
            share = SpilloverShare(self._clock)
            self._shares[service] = share
        return share


def _compute_preferred(
    reports: Sequence[SpilloverReport], capacity: RegionCapacity
) -> float:
    """Return the fraction of the region's recent requests that prefer other regions.

    It is at least the fraction for which the region has no slots. Queues would show that
    only when they are long.
    """
    preferred_remote = sum(report.preferred_remote for report in reports)
    recent_requests = sum(report.recent_requests for report in reports)
    rate = recent_requests * math.log(2) / HALF_LIFE_S
    return max(preferred_remote / recent_requests, capacity.find_least_share(rate))
