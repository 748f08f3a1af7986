"""Members of the fleet: who is listed, who is alive, and what they announce."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.freshness import Confirmation
from currantmast.direct.model import InstanceRecord
from currantmast.direct.rates import DemandReport
from currantmast.direct.spillover import SpilloverReports

# Seconds without a heartbeat after which a member is named to no caller.
ALIVE_S = 1.5

# Seconds without a heartbeat after which a member's record may be removed. By then its
# lease has ended, so the share of rates that it held is free.
REMOVABLE_S = 8.0

# Heartbeats carry the newest state only, so targets beyond this number are left out to
# keep a datagram in one packet.
MAX_LOADS = 60
MAX_DEMANDS = 60


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells another.

    Parameters
    ----------
    sender, incarnation : str
        Identity of the sender's run.
    sent_at : float
        Time of the sender's clock.
    ready : bool
        Whether callers may be sent to it.
    leaving : bool
        Whether it is about to end.
    demands : dict of float
        Requests per second, by team.
    admitted : dict of int
        Requests admitted since its start, by team.
    loads : dict of int
        Requests that it has at targets, by target id.
    confirmation : Confirmation or None
        Its newest read of the configuration, related to the receiver's clock.
    crossings : dict of SpilloverReport
        Its requests that could run in its own region or in another, by service.
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
    crossings: SpilloverReports = {}


class Echo(msgspec.Struct, frozen=True):
    """The newest heartbeat of a member, and when it arrived."""

    heartbeat: Heartbeat
    arrived_at: float


class Members:
    """Records of all members and their newest heartbeats.

    Parameters
    ----------
    own : InstanceRecord
        This instance.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_echoes', '_heard', '_listed_at', '_records', 'own')

    def __init__(self, own: InstanceRecord, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._records: dict[str, InstanceRecord] = {}
        self._listed_at: dict[str, float] = {}
        self._echoes: dict[str, Echo] = {}
        self._heard: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of members, this one included."""
        return len(self._records) + 1

    def __repr__(self) -> str:
        """Return the number of members."""
        return f'<Members {len(self)}>'

    def put(self, record: InstanceRecord) -> None:
        """Add a member or replace its record."""
        if record.id != self.own.id:
            self._listed_at.setdefault(record.id, self._clock.now())
            self._records[record.id] = record

    def remove(self, member_id: str) -> None:
        """Forget a member."""
        self._records.pop(member_id, None)
        self._listed_at.pop(member_id, None)
        self._echoes.pop(member_id, None)

    def list_all(self) -> tuple[InstanceRecord, ...]:
        """Return the records of all members, this one first."""
        return (self.own, *self._records.values())

    def list_peers(self) -> tuple[InstanceRecord, ...]:
        """Return the records of the other members."""
        return tuple(self._records.values())

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Take over a heartbeat; return False when it is not newer than the last."""
        known = self._echoes.get(heartbeat.sender)
        same_run = known and known.heartbeat.incarnation == heartbeat.incarnation
        if same_run and heartbeat.sent_at <= known.heartbeat.sent_at:
            return False
        self._echoes[heartbeat.sender] = Echo(heartbeat, self._clock.now())
        return True

    def get_echo(self, member_id: str) -> Echo | None:
        """Return the newest heartbeat of a member."""
        return self._echoes.get(member_id)

    def compare_heard(self) -> tuple[frozenset[str], frozenset[str]]:
        """Return the members heard anew, and those silent, since the last call."""
        before = self._heard
        self._heard = frozenset(filter(self._is_alive, self._records))
        return self._heard - before, before - self._heard

    def list_ready(self) -> tuple[InstanceRecord, ...]:
        """Return the other members that callers may be sent to."""
        return tuple(
            record
            for record in self._records.values()
            if self._is_alive(record.id) and self._is_ready(record.id)
        )

    def list_removable(self) -> tuple[str, ...]:
        """Return the ids that this instance should remove from the store.

        Only the first living member removes, so that members do not race.
        """
        now = self._clock.now()
        alive = [known for known in self._records if self._is_alive(known)]
        if any(known < self.own.id for known in alive):
            return ()
        return tuple(
            known
            for known in self._records
            if now - self._last_sign(known) > REMOVABLE_S
        )

    def list_demands(self) -> tuple[DemandReport, ...]:
        """Return what the other members announced."""
        reports = []
        for known in self._records:
            echo = self._echoes.get(known)
            heard = self._is_alive(known)
            if echo is None:
                reports.append(DemandReport(known, '', {}, recent=heard))
                continue
            beat = echo.heartbeat
            reports.append(
                DemandReport(
                    known, beat.incarnation, beat.demands, beat.admitted, heard
                )
            )
        return tuple(reports)

    def list_crossings(self) -> tuple[SpilloverReports, ...]:
        """Return what the other living members of the own region told."""
        return tuple(
            self._echoes[known].heartbeat.crossings
            for known, record in self._records.items()
            if record.location.region == self.own.location.region
            and self._is_alive(known)
        )

    def sum_loads(self) -> dict[str, int]:
        """Return the requests that living members have at targets."""
        loads: Counter[str] = Counter()
        for known in self._records:
            if self._is_alive(known):
                loads.update(self._echoes[known].heartbeat.loads)
        return loads

    def _is_alive(self, member_id: str) -> bool:
        echo = self._echoes.get(member_id)
        return echo is not None and self._clock.now() - echo.arrived_at <= ALIVE_S

    def _is_ready(self, member_id: str) -> bool:
        heartbeat = self._echoes[member_id].heartbeat
        return heartbeat.ready and not heartbeat.leaving

    def _last_sign(self, member_id: str) -> float:
        echo = self._echoes.get(member_id)
        listed_at = self._listed_at[member_id]
        return max(listed_at, echo.arrived_at) if echo else listed_at


def choose_named(
    own: InstanceRecord, ready: Iterable[InstanceRecord], region: str, domain: str
) -> tuple[InstanceRecord, ...]:
    """Return the instances that a caller is told, nearest first.

    Parameters
    ----------
    own : InstanceRecord
        The instance that answers, if it is ready itself it stands in `ready`.
    ready : iterable of InstanceRecord
        Instances that take callers.
    region, domain : str
        Where the caller is.
    """
    known = sorted(ready, key=lambda record: record.id)
    near = [record for record in known if record.location.region == region]
    near.sort(key=lambda record: record.location.failure_domain != domain)
    return tuple(near or known or (own,))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return `heartbeat` as MessagePack."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(payload: bytes) -> Heartbeat | None:
    """Return the heartbeat in `payload`, or None when it is none."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def bound_entries(entries: dict, most: int) -> dict:
    """Return the `most` entries of `entries` with the largest values."""
    if len(entries) <= most:
        return entries
    kept = sorted(entries, key=lambda name: -entries[name])[:most]
    return {name: entries[name] for name in kept}
