"""Fleet membership: the listed members, their liveness, and which are entry instances.

A member is an instance with a record in the store. Entry instances (see `entries`) send
each other full heartbeats. Reserves and the entry instances of their region send each
other brief ones, which only tell that the sender lives and how fresh its configuration
is. A reserve that serves callers counts as active: it sends and gets full ones too.
"""

import math
from collections.abc import Iterable

from currantmast.clocks import Clock
from currantmast.direct.entries import EntryInstances
from currantmast.direct.model import InstanceRecord
from currantmast.direct.reports import (
    HEARTBEAT_TIMEOUT_S,
    RESERVE_TIMEOUT_S,
    Heartbeat,
    PeerReports,
    ReceivedHeartbeat,
)


class Members:
    """Records of all members and their newest heartbeats.

    Parameters
    ----------
    own : InstanceRecord
        Record of this instance.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_alive',
        '_clock',
        '_failed',
        '_listed_at',
        '_received',
        '_records',
        'entries',
        'own',
        'reports',
    )

    def __init__(self, own: InstanceRecord, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._records: dict[str, InstanceRecord] = {}
        self._listed_at: dict[str, float] = {}
        self._received: dict[str, ReceivedHeartbeat] = {}
        self._alive: frozenset[str] = frozenset()
        # Members that can't be entry instances, and since when.
        self._failed: dict[str, float] = {}
        self.entries = EntryInstances(clock)
        self.reports = PeerReports(clock)
        self.update_entries()

    def __len__(self) -> int:
        """Return the number of members, including this instance."""
        return len(self._records) + 1

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Members {len(self)}>'

    def put(self, record: InstanceRecord) -> None:
        """Add a member or replace its record."""
        if record.id != self.own.id:
            self._listed_at.setdefault(record.id, self._clock.now())
            self._records[record.id] = record

    def remove(self, member_id: str) -> None:
        """Remove a member and its newest heartbeat."""
        self._records.pop(member_id, None)
        self._listed_at.pop(member_id, None)
        self._received.pop(member_id, None)
        self.reports.remove(member_id)

    def list_all(self) -> tuple[InstanceRecord, ...]:
        """Return the records of all members, starting with this instance."""
        return (self.own, *self._records.values())

    def list_peers(self) -> tuple[InstanceRecord, ...]:
        """Return the records of the other members."""
        return tuple(self._records.values())

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Store a heartbeat; return False if it is not newer than the last one.

        A new incarnation always counts as newer, as its clock may have restarted.
        """
        known = self._received.get(heartbeat.sender)
        same_run = known and known.heartbeat.incarnation == heartbeat.incarnation
        if same_run and heartbeat.sent_at <= known.heartbeat.sent_at:
            return False
        received = ReceivedHeartbeat(heartbeat, self._clock.now())
        self._received[heartbeat.sender] = received
        if not heartbeat.brief:
            self.reports.put(received)
        return True

    def get_last_heartbeat(self, member_id: str) -> ReceivedHeartbeat | None:
        """Return the newest heartbeat of a member, or None before the first one."""
        return self._received.get(member_id)

    def update_liveness(self) -> tuple[frozenset[str], frozenset[str]]:
        """Return the ids of members that became alive, and of those that no longer are.

        Both are relative to the previous call.
        """
        before = self._alive
        self._alive = frozenset(filter(self.is_alive, self._records))
        return self._alive - before, before - self._alive

    def update_entries(self) -> bool:
        """Select the entry instances anew; return whether they changed."""
        now = self._clock.now()
        self._failed = {
            member_id: self._failed.get(member_id, now)
            for member_id in self._records
            if self._has_failed(member_id)
        }
        return self.entries.update(self.list_all(), self._failed)

    def is_local(self, record: InstanceRecord) -> bool:
        """Return whether a member is in the region of this instance."""
        return record.location.region == self.own.location.region

    def is_alive(self, member_id: str) -> bool:
        """Return whether a member was heard recently."""
        received = self._received.get(member_id)
        return (
            received is not None
            and self._clock.now() - received.arrived_at
            <= self._choose_timeout(member_id)
        )

    def measure_silence(self, record: InstanceRecord) -> float:
        """Return for how many seconds a member was silent that should have been heard.

        A reserve hears the entry instances of its region; an entry instance hears those
        of all regions, and the reserves of its own.
        """
        since = (
            self.entries.since(self.own.id),
            self.entries.since(record.id),
        )
        heard_since = max(since) if self.is_local(record) else min(since)
        if heard_since == -math.inf:
            return 0
        received = self._received.get(record.id)
        arrived_at = received.arrived_at if received else -math.inf
        return self._clock.now() - max(
            arrived_at, max(since), self._listed_at[record.id]
        )

    def is_ready(self, member_id: str) -> bool:
        """Return whether a member was heard recently and accepts callers."""
        received = self._received.get(member_id)
        if received is None or not self.is_alive(member_id):
            return False
        return received.heartbeat.ready and not received.heartbeat.leaving

    def list_ready(self) -> tuple[InstanceRecord, ...]:
        """Return the other members that accept callers: entry instances, if any do."""
        ready = [
            record for record in self._records.values() if self.is_ready(record.id)
        ]
        return self.entries.pick(ready) or tuple(ready)

    def _has_failed(self, member_id: str) -> bool:
        """Return whether a member can't be an entry instance now."""
        received = self._received.get(member_id)
        if received is not None and received.heartbeat.leaving:
            return True
        failed_at = self._failed.get(member_id)
        if failed_at is not None:
            # It has to be heard before it is selected again.
            return received is None or received.arrived_at <= failed_at
        silence_s = self.measure_silence(self._records[member_id])
        return silence_s > self._choose_timeout(member_id)

    def _choose_timeout(self, member_id: str) -> float:
        was_entry = member_id in self.entries or member_id in self._failed
        return HEARTBEAT_TIMEOUT_S if was_entry else RESERVE_TIMEOUT_S


def choose_lookup_instances(
    own: InstanceRecord, ready: Iterable[InstanceRecord], region: str, domain: str
) -> tuple[InstanceRecord, ...]:
    """Return the instances to name in a look-up, the caller's failure domain first.

    Only instances in the caller's region are returned if it has any; otherwise all.

    Parameters
    ----------
    own : InstanceRecord
        This instance, which is returned alone if `ready` is empty.
    ready : iterable of InstanceRecord
        Entry instances that accept callers, including this one if it is one.
    region, domain : str
        Region and failure domain of the caller.
    """
    by_id = sorted(ready, key=lambda record: record.id)
    nearby = [record for record in by_id if record.location.region == region]
    nearby.sort(key=lambda record: record.location.failure_domain != domain)
    return tuple(nearby or by_id or (own,))
