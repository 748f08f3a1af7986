"""Fleet membership: the listed members, their liveness, and the state that they send.

A member is an instance with a record in the store.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.freshness import Confirmation
from currantmast.direct.model import InstanceRecord
from currantmast.direct.rates import DemandReport
from currantmast.direct.spillover import SpilloverReports

# Time without a heartbeat after which look-ups no longer return a member.
HEARTBEAT_TIMEOUT_S = 1.5

# Time without a heartbeat after which a member's record may be removed. By then its lease
# has expired, so its share of the rate limits can be given to others.
REMOVAL_TIMEOUT_S = 8.0

# Limits of the entries in a heartbeat, which keep the datagram within one packet. Only the
# largest entries are sent.
MAX_LOADS = 60
MAX_DEMANDS = 60


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Newest state of a member, sent to another one.

    Parameters
    ----------
    sender, incarnation : str
        Instance id, and the id of its current run.
    sent_at : float
        Sending time in seconds, by the sender's clock.
    ready : bool
        Whether the sender accepts callers.
    leaving : bool
        Whether the sender is shutting down.
    demands : dict of float
        Demand in requests per second, by team.
    admitted : dict of int
        Requests admitted since the sender's start, by team.
    loads : dict of int
        Pending requests of the sender, by target id.
    confirmation : Confirmation or None
        The sender's newest read of the configuration, relative to the receiver's clock.
    spillover : dict of SpilloverReport
        Counts of the sender's recent requests, and its share of requests for other
        regions, by service.
    """

    sender: str
    incarnation: str
    sent_at: float
    ready: bool
    leaving: bool
    demands: dict[str, float] = {}
    admitted: dict[str, int] = {}
    loads: dict[str, int] = {}
    confirmation: Confirmation | None = None
    spillover: SpilloverReports = {}


class ReceivedHeartbeat(msgspec.Struct, frozen=True):
    """The newest heartbeat of a member, with its arrival time by the local clock."""

    heartbeat: Heartbeat
    arrived_at: float


class Members:
    """Records of all members and their newest heartbeats.

    Parameters
    ----------
    own : InstanceRecord
        Record of this instance.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_alive', '_clock', '_listed_at', '_received', '_records', 'own')

    def __init__(self, own: InstanceRecord, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._records: dict[str, InstanceRecord] = {}
        self._listed_at: dict[str, float] = {}
        self._received: dict[str, ReceivedHeartbeat] = {}
        self._alive: frozenset[str] = frozenset()

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
        self._received[heartbeat.sender] = ReceivedHeartbeat(
            heartbeat, self._clock.now()
        )
        return True

    def get_last_heartbeat(self, member_id: str) -> ReceivedHeartbeat | None:
        """Return the newest heartbeat of a member, or None before the first one."""
        return self._received.get(member_id)

    def update_liveness(self) -> tuple[frozenset[str], frozenset[str]]:
        """Return the ids of members that became alive, and of those that no longer are.

        Both are relative to the previous call.
        """
        before = self._alive
        self._alive = frozenset(filter(self._is_alive, self._records))
        return self._alive - before, before - self._alive

    def list_ready(self) -> tuple[InstanceRecord, ...]:
        """Return the other members that accept callers."""
        return tuple(
            record
            for record in self._records.values()
            if self._is_alive(record.id) and self._is_ready(record.id)
        )

    def list_removable(self) -> tuple[str, ...]:
        """Return the ids of the members whose records this instance should remove.

        Only the living member with the smallest id removes records, so that members
        don't race.
        """
        now = self._clock.now()
        alive = [member_id for member_id in self._records if self._is_alive(member_id)]
        if any(member_id < self.own.id for member_id in alive):
            return ()
        return tuple(
            member_id
            for member_id in self._records
            if now - self._get_last_seen_at(member_id) > REMOVAL_TIMEOUT_S
        )

    def list_demands(self) -> tuple[DemandReport, ...]:
        """Return the demand that the other members reported."""
        reports = []
        for member_id in self._records:
            received = self._received.get(member_id)
            recent = self._is_alive(member_id)
            if received is None:
                reports.append(DemandReport(member_id, '', {}, recent=recent))
                continue
            heartbeat = received.heartbeat
            reports.append(
                DemandReport(
                    member_id,
                    heartbeat.incarnation,
                    heartbeat.demands,
                    heartbeat.admitted,
                    recent,
                )
            )
        return tuple(reports)

    def list_spillover_reports(self) -> tuple[SpilloverReports, ...]:
        """Return the reports of the other living members in the local region."""
        return tuple(
            self._received[member_id].heartbeat.spillover
            for member_id, record in self._records.items()
            if record.location.region == self.own.location.region
            and self._is_alive(member_id)
        )

    def sum_loads(self) -> dict[str, int]:
        """Return the pending requests of the other living members, by target id."""
        loads: Counter[str] = Counter()
        for member_id in self._records:
            if self._is_alive(member_id):
                loads.update(self._received[member_id].heartbeat.loads)
        return loads

    def _is_alive(self, member_id: str) -> bool:
        received = self._received.get(member_id)
        return (
            received is not None
            and self._clock.now() - received.arrived_at <= HEARTBEAT_TIMEOUT_S
        )

    def _is_ready(self, member_id: str) -> bool:
        heartbeat = self._received[member_id].heartbeat
        return heartbeat.ready and not heartbeat.leaving

    def _get_last_seen_at(self, member_id: str) -> float:
        received = self._received.get(member_id)
        listed_at = self._listed_at[member_id]
        return max(listed_at, received.arrived_at) if received else listed_at


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
        Instances that accept callers, including this one if it does.
    region, domain : str
        Region and failure domain of the caller.
    """
    by_id = sorted(ready, key=lambda record: record.id)
    nearby = [record for record in by_id if record.location.region == region]
    nearby.sort(key=lambda record: record.location.failure_domain != domain)
    return tuple(nearby or by_id or (own,))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return `heartbeat` as MessagePack."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(payload: bytes) -> Heartbeat | None:
    """Return the heartbeat in `payload`, or None if it can't be decoded."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def keep_largest(entries: dict, most: int) -> dict:
    """Return the `most` entries of `entries` with the largest values."""
    if len(entries) <= most:
        return entries
    kept = sorted(entries, key=lambda name: -entries[name])[:most]
    return {name: entries[name] for name in kept}
