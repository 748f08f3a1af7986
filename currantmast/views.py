"""What an entry knows of the owners' capacity, from their heartbeats."""

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.routing import OwnerView
from currantmast.messages import Capacity, FleetRecord


class _Seen(msgspec.Struct):
    capacity: dict[str, Capacity]
    at: float
    sent: dict[str, int]


class OwnerViews:
    """The newest capacity report of each owner, and the work sent to it since.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_heard', '_seen', '_unready', 'readiness')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, _Seen] = {}
        self._unready: set[str] = set()
        self._heard: set[str] = set()
        # Changes whenever the set of members that can serve does.
        self.readiness = 0

    def __repr__(self) -> str:
        """Return the number of owners known."""
        return f'<OwnerViews owners={len(self._seen)}>'

    def observe(self, member_id: str, capacity: tuple[Capacity, ...]) -> None:
        """Replace what is known of `member_id`."""
        by_service = {entry.service: entry for entry in capacity}
        self._seen[member_id] = _Seen(by_service, self._clock.now(), {})

    def note_ready(self, member_id: str, ready: bool) -> None:
        """Note whether `member_id` can admit keyed requests."""
        known = member_id in self._unready
        if known is ready or member_id not in self._heard:
            self.readiness += 1
        self._heard.add(member_id)
        if ready:
            self._unready.discard(member_id)
        else:
            self._unready.add(member_id)

    def list_unready(self, record: FleetRecord, self_id: str) -> frozenset[str]:
        """Return the members that can't admit keyed requests or were never heard."""
        return frozenset(
            member.id
            for member in record.members
            if member.id != self_id
            and (member.id in self._unready or member.id not in self._heard)
        )

    def note_sent(self, member_id: str, service: str) -> None:
        """Count a request that was sent to `member_id`."""
        self._add_sent(member_id, service, 1)

    def note_ended(self, member_id: str, service: str) -> None:
        """Count the end of a request that was sent to `member_id`."""
        self._add_sent(member_id, service, -1)

    def list_views(self, record: FleetRecord, service: str) -> tuple[OwnerView, ...]:
        """Return the owners of targets of `service` among the members of `record`."""
        views = (
            self._make_view(member.id, member.region, service)
            for member in record.members
            if not member.leaving
        )
        return tuple(view for view in views if view is not None)

    def _add_sent(self, member_id: str, service: str, amount: int) -> None:
        seen = self._seen.get(member_id)
        if seen is not None:
            seen.sent[service] = seen.sent.get(service, 0) + amount

    def _make_view(self, member_id: str, region: str, service: str) -> OwnerView | None:
        seen = self._seen.get(member_id)
        capacity = seen and seen.capacity.get(service)
        if not capacity:
            return None
        return OwnerView(
            member_id=member_id,
            region=region,
            free=capacity.free,
            usable=capacity.usable,
            queued=capacity.queued,
            age_s=self._clock.now() - seen.at,
            in_flight_delta=seen.sent.get(service, 0),
        )
