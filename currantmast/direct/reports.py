"""Heartbeats between members, and what the active members report of themselves in them."""

from collections import Counter
from collections.abc import Iterable, Set

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.crashes import CrashReport
from currantmast.direct.demands import DemandReport
from currantmast.direct.freshness import Confirmation
from currantmast.direct.slowdowns import SlowdownReports
from currantmast.direct.spillover import SpilloverReports
from currantmast.direct.storehealth import StoreContact
from currantmast.direct.targetlimits import TargetLimitReport

# Time without a heartbeat after which look-ups no longer return a member.
HEARTBEAT_TIMEOUT_S = 1.5

# The same for reserves, whose heartbeats are less frequent.
RESERVE_TIMEOUT_S = 3.5

# Age in seconds at which the report of a reserve is dropped. By then its lease has expired
# if it died, as before the removal of a member's record.
MAX_RESERVE_AGE_S = 8.0

# Limits of the entries in a heartbeat, which keep the datagram small. Only the largest
# entries are sent.
MAX_LOADS = 60
MAX_DEMANDS = 60

# Stands for a report that was left out.
NO_TARGET_LIMITS = TargetLimitReport()


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
    brief : bool
        Whether demands, admissions, loads and spillover were left out.
    store : StoreContact or None
        How long the store has answered the sender; None while it doesn't.
    target_limits : TargetLimitReport or None
        What the sender knows of targets with limits, and sends to them; left out of
        brief heartbeats.
    crashes : dict of tuple of str
        Targets that crashed while they ran a request, by its fingerprint.
    ramp_levels : dict of int
        Requests that all members together may have at targets that ramp up and gave the
        sender bad answers, by target id.
    slowdowns : dict of SlowdownReport
        Slowdowns that targets reported to the sender a moment ago, by target id.
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
    brief: bool = False
    store: StoreContact | None = None
    target_limits: TargetLimitReport | None = None
    crashes: CrashReport = {}
    ramp_levels: dict[str, int] = {}
    slowdowns: SlowdownReports = {}

    @property
    def has_demand(self) -> bool:
        """Whether the sender serves callers who need rates or limits of the fleet."""
        return bool(self.demands or self.limited.demands)

    @property
    def limited(self) -> TargetLimitReport:
        """What it tells of targets with limits; empty if nothing."""
        return self.target_limits or NO_TARGET_LIMITS


class ReceivedHeartbeat(msgspec.Struct, frozen=True):
    """The newest heartbeat of a member, with its arrival time by the local clock."""

    heartbeat: Heartbeat
    arrived_at: float


class PeerReports:
    """The newest full heartbeat of each active member.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_received')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[str, ReceivedHeartbeat] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<PeerReports {len(self._received)}>'

    def put(self, received: ReceivedHeartbeat) -> None:
        """Replace the heartbeat of its sender."""
        self._received[received.heartbeat.sender] = received

    def remove(self, member_id: str) -> None:
        """Remove what a member reported."""
        self._received.pop(member_id, None)

    def has_demand(self, member_id: str) -> bool:
        """Return whether a member serves callers."""
        received = self._received.get(member_id)
        if received is None or not received.heartbeat.has_demand:
            return False
        return self._measure_age(received) <= RESERVE_TIMEOUT_S

    def list_demands(self, expected_ids: Set[str]) -> tuple[DemandReport, ...]:
        """Return the demand by team of the members that are expected to report it.

        Others are added that report some: reserves that serve callers, or did so a
        moment ago.
        """
        return tuple(map(self._get_demand, self._list_reporting(expected_ids)))

    def list_limited_demands(self, expected_ids: Set[str]) -> tuple[DemandReport, ...]:
        """Return the same by target, for the targets that name a limit."""
        return tuple(map(self._get_limited_demand, self._list_reporting(expected_ids)))

    def list_spillover(self, member_ids: Iterable[str]) -> tuple[SpilloverReports, ...]:
        """Return the recent reports of members about other regions."""
        return tuple(
            self._received[member_id].heartbeat.spillover
            for member_id in member_ids
            if self._is_recent(member_id)
        )

    def sum_loads(self) -> dict[str, int]:
        """Return the pending requests of the members, by target id."""
        loads: Counter[str] = Counter()
        for member_id, received in self._received.items():
            if self._is_recent(member_id):
                loads.update(received.heartbeat.loads)
        return loads

    def list_ramp_levels(self) -> dict[str, int]:
        """Return the second lowest level that members told, by target id.

        Bad answers to one member alone may concern only its way to the target.
        """
        levels: dict[str, list[int]] = {}
        for member_id, received in self._received.items():
            if self._is_recent(member_id):
                for name, level in received.heartbeat.ramp_levels.items():
                    levels.setdefault(name, []).append(level)
        return {
            target_id: sorted(told)[1]
            for target_id, told in levels.items()
            if len(told) > 1
        }

    def _list_reporting(self, expected_ids: Set[str]) -> Set[str]:
        reserves = {
            member_id
            for member_id, received in self._received.items()
            if self._measure_age(received) <= MAX_RESERVE_AGE_S
        }
        return expected_ids | reserves

    def _get_demand(self, member_id: str) -> DemandReport:
        received = self._received.get(member_id)
        if received is None:
            return _make_unheard(member_id)
        heartbeat = received.heartbeat
        return self._make_demand(received, heartbeat.demands, heartbeat.admitted)

    def _get_limited_demand(self, member_id: str) -> DemandReport:
        received = self._received.get(member_id)
        if received is None:
            return _make_unheard(member_id)
        limited = received.heartbeat.limited
        return self._make_demand(received, limited.demands, limited.admitted)

    def _make_demand(
        self,
        received: ReceivedHeartbeat,
        demands: dict[str, float],
        admitted: dict[str, int],
    ) -> DemandReport:
        age_s = self._measure_age(received)
        return DemandReport(
            received.heartbeat.sender,
            received.heartbeat.incarnation,
            demands,
            admitted,
            recent=age_s <= HEARTBEAT_TIMEOUT_S or not demands,
            age_s=age_s,
        )

    def _is_recent(self, member_id: str) -> bool:
        received = self._received.get(member_id)
        return (
            received is not None and self._measure_age(received) <= HEARTBEAT_TIMEOUT_S
        )

    def _measure_age(self, received: ReceivedHeartbeat) -> float:
        return self._clock.now() - received.arrived_at


def _make_unheard(member_id: str) -> DemandReport:
    return DemandReport(member_id, '', {}, recent=False)


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
