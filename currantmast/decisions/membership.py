"""Changes of the fleet record, and what a member knows about the others."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.expiry import Expiry, is_blocking
from currantmast.decisions.leases import lists_incarnation
from currantmast.decisions.sightings import MemberKey, Sightings, get_key
from currantmast.deployment import Timing
from currantmast.errors import CurrantmastError
from currantmast.messages import (
    Departure,
    FleetRecord,
    Heartbeat,
    Member,
    WitnessSet,
)

WITNESS_LIMIT = 9
# Time between the removals that members of successive rank attempt.
REMOVAL_STAGGER_S = 1.0


class IncarnationReused(CurrantmastError):
    """A removed run of an instance tried to join again under its old incarnation."""


class MemberUnknown(CurrantmastError):
    """A fleet change names a member that the record does not list."""


def choose_witnesses(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the ids of up to nine witnesses.

    Members that stay come before leaving ones. Regions take turns, within a region
    its failure domains, within a failure domain the members by id.
    """
    in_domains = _take_turns(
        sorted(members, key=lambda member: member.id),
        lambda member: (member.region, member.failure_domain),
    )
    in_regions = _take_turns(in_domains, lambda member: member.region)
    return tuple(sorted(member.id for member in in_regions[:WITNESS_LIMIT]))


def _take_turns(
    members: Sequence[Member], get_group: Callable[[Member], object]
) -> list[Member]:
    """Return `members` with the first of each group, then the second, and so on."""
    counts: Counter[object] = Counter()
    turns = {}
    for member in sorted(members, key=lambda other: other.leaving):
        group = get_group(member)
        turns[member.id] = counts[group]
        counts[group] += 1
    return sorted(members, key=lambda other: (other.leaving, turns[other.id]))


def add_member(record: FleetRecord, member: Member) -> FleetRecord:
    """Return the next record, with `member` in it.

    An earlier incarnation of the same id departs.

    Raises
    ------
    IncarnationReused
        If this incarnation has departed already; a run that was removed must join
        under a new one.
    """
    if any(get_key(entry.member) == get_key(member) for entry in record.departures):
        raise IncarnationReused(f'{member.id}: incarnation {member.incarnation}')
    others = [other for other in record.members if other.id != member.id]
    replaced = [
        other
        for other in record.members
        if other.id == member.id and other.incarnation != member.incarnation
    ]
    return _make_next(record, (*others, member), replaced)


def mark_leaving(record: FleetRecord, member_id: str) -> FleetRecord:
    """Return the next record, in which `member_id` owns nothing.

    Raises
    ------
    MemberUnknown
        If the record does not list `member_id`.
    """
    _check_listed(record, member_id)
    members = [
        msgspec.structs.replace(member, leaving=True)
        if member.id == member_id
        else member
        for member in record.members
    ]
    return _make_next(record, members, ())


def remove_member(record: FleetRecord, *member_ids: str) -> FleetRecord:
    """Return the next record, without `member_ids`.

    Members that fail together are removed in one epoch.

    Raises
    ------
    MemberUnknown
        If the record does not list one of them.
    """
    for member_id in member_ids:
        _check_listed(record, member_id)
    kept = [member for member in record.members if member.id not in member_ids]
    removed = [member for member in record.members if member.id in member_ids]
    return _make_next(record, kept, removed)


def _check_listed(record: FleetRecord, member_id: str) -> None:
    if all(member.id != member_id for member in record.members):
        raise MemberUnknown(f'epoch {record.epoch} does not list {member_id}')


def _make_next(
    record: FleetRecord, members: Iterable[Member], removed: Iterable[Member]
) -> FleetRecord:
    ordered = tuple(sorted(members, key=lambda member: member.id))
    epoch = record.epoch + 1
    past = WitnessSet(record.epoch, record.witnesses)
    sets = record.past_witnesses
    if sets and sets[-1].witnesses == past.witnesses:
        sets = sets[:-1]
    departures = tuple(Departure(member, epoch) for member in removed)
    return FleetRecord(
        epoch=epoch,
        members=ordered,
        witnesses=choose_witnesses(ordered),
        departures=(*record.departures, *departures),
        past_witnesses=(*sets, past) if past.witnesses else sets,
    )


def supports_lease(
    record: FleetRecord | None, self_id: str, incarnation: str, heartbeat: Heartbeat
) -> bool:
    """Return whether a witness may acknowledge `heartbeat` as renewing a lease.

    Parameters
    ----------
    record : FleetRecord or None
        Record that the witness has adopted.
    self_id, incarnation : str
        Identity of the witness. A run that is not listed must not renew: its
        predecessor of the same id counts as ended.
    heartbeat : Heartbeat
        Heartbeat of the member that asks.
    """
    if record is None or heartbeat.epoch != record.epoch:
        return False
    return (
        self_id in record.witnesses
        and lists_incarnation(record, self_id, incarnation)
        and lists_incarnation(record, heartbeat.sender, heartbeat.incarnation)
    )


class Observer:
    """What one member knows of the others: who was heard, who has expired.

    Certain expiry. A renewal under epoch k needs a majority of the witnesses of k,
    and a witness acknowledges only under the epoch that it has adopted. Once so
    many witnesses of k have confirmed a later epoch that the others are fewer than
    a majority (a *blocking set*), every majority contains one that acknowledged
    before it confirmed, and the renewal time is the send time of a heartbeat from
    before that confirmation. For an odd number of witnesses a blocking set is a
    majority; for an even number it is one less, which lets one of two members take
    over. This must hold for all epochs that X may still be in: those before its
    removal, from the last one it reported. Store reads sent after the removal show
    it. So X has expired `lease_s` x 1.05 + 0.25 s after the last blocking set was
    completed.

    An instance without history. It can't derive from its own epoch alone who has
    expired: in a partition the witnesses of an earlier epoch may all be removed,
    alive and renewing each other's leases, while all witnesses of the own epoch
    confirm it. The fleet record therefore carries the departed members not yet
    known to have expired and the witness sets of all epochs in which a member or a
    departed one may still be. A new instance applies the rule above to them, from
    nothing heard: it treats each as unexpired until it has itself heard a blocking
    set of every listed witness set, and the full time has passed after that. What
    the record no longer lists was found expired by the member that wrote it.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timing : Timing
        Lease time and removal time in force, in seconds.
    self_id, incarnation : str
        The own identity. The own epoch counts as confirmed when a record is
        adopted, and the own instance is never silent.
    """

    __slots__ = (
        '_clock',
        '_expiry',
        '_record',
        '_self_key',
        '_sightings',
        '_silent_at',
        '_since',
        '_timing',
    )

    def __init__(
        self, clock: Clock, timing: Timing, self_id: str = '', incarnation: str = ''
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._self_key = MemberKey(self_id, incarnation)
        self._record = FleetRecord(0)
        self._sightings = Sightings(clock)
        self._silent_at: dict[str, frozenset[str]] = {}
        self._since: dict[MemberKey, float] = {}
        self._expiry = Expiry(clock, timing.lease_s)

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note who sent `heartbeat` and which epoch and version it carries."""
        key = MemberKey(heartbeat.sender, heartbeat.incarnation)
        self._silent_at[heartbeat.sender] = frozenset(heartbeat.silent)
        if self._sightings.note(key, heartbeat.epoch, heartbeat.version):
            self._expiry.update(self._sightings)

    def observe_epoch(self, member_id: str, incarnation: str, epoch: int) -> None:
        """Note that a member was heard just now and has adopted `epoch`."""
        if self._sightings.note(MemberKey(member_id, incarnation), epoch):
            self._expiry.update(self._sightings)

    def adopt_record(self, record: FleetRecord) -> None:
        """Take `record` as the newest; records of lower epochs are ignored."""
        if record.epoch <= self._record.epoch:
            return
        now = self._clock.now()
        self._record = record
        listed = [get_key(member) for member in record.members]
        self._since = {key: self._since.get(key, now) for key in listed}
        if self._self_key in self._since:
            self._sightings.note(self._self_key, record.epoch)
        self._sightings.forget(record)
        self._expiry.adopt_record(record)
        self._expiry.update(self._sightings)

    def get_epoch(self, member_id: str, incarnation: str) -> int:
        """Return the newest epoch heard from a member, or -1."""
        return self._sightings.get(MemberKey(member_id, incarnation)).epoch

    def get_silence(self, member: Member) -> float:
        """Return the seconds since `member` was last heard from."""
        key = get_key(member)
        if key == self._self_key:
            return 0
        heard_at = max(self._sightings.get(key).heard_at, self._since[key])
        return self._clock.now() - heard_at

    def get_version(self, member_id: str, incarnation: str) -> int:
        """Return the newest configuration version heard from a member, or -1."""
        return self._sightings.get(MemberKey(member_id, incarnation)).version

    def has_confirmed(self, member_id: str, incarnation: str, epoch: int) -> bool:
        """Return whether a member has adopted `epoch` or a later one."""
        return self._sightings.get(MemberKey(member_id, incarnation)).epoch >= epoch

    def has_expired(self, member_id: str, incarnation: str) -> bool:
        """Return whether a former member's lease has certainly ended.

        False for listed members and for incarnations never listed.
        """
        return self._expiry.has_expired(MemberKey(member_id, incarnation))

    def list_unexpired(self) -> tuple[Member, ...]:
        """Return the members and those former members not certainly expired."""
        former = (entry.member for entry in self._keep_unexpired(self._record))
        return (*self._record.members, *former)

    def list_live(self) -> tuple[Member, ...]:
        """Return the members heard from within the removal time, by id."""
        return tuple(
            member
            for member in self._record.members
            if self.get_silence(member) <= self._timing.removal_after_s
        )

    def list_silent(self) -> tuple[str, ...]:
        """Return the ids of the members not heard from within the removal time."""
        limit = self._timing.removal_after_s
        return tuple(
            member.id
            for member in self._record.members
            if self.get_silence(member) > limit
        )

    def choose_removals(self, self_id: str) -> tuple[str, ...]:
        """Return the ids of the members that `self_id` should remove now.

        The live member with the lowest id removes at once, the next ones each
        `REMOVAL_STAGGER_S` later, should the lower ones fail to. A member that
        hears less than a blocking set of witnesses removes nobody: it is more
        likely cut off itself, and could reclaim nothing. A member is removed only if
        most of the witnesses heard from miss it too: two regions that lose each other
        must not remove each other while a third one hears both.

        The choice holds for the adopted record. If the store has a later one, adopt
        it and choose again: a member may have become its only live witness.
        """
        live = [member.id for member in self.list_live()]
        if self_id not in live or not self._hears_blocking_set(live):
            return ()
        limit = self._timing.removal_after_s
        limit += live.index(self_id) * REMOVAL_STAGGER_S
        return tuple(
            member.id
            for member in self._record.members
            if self.get_silence(member) > limit and self._is_missed(member.id, live)
        )

    def prune(self, record: FleetRecord) -> FleetRecord:
        """Return `record` without history that nobody needs any more.

        To be applied to each new record before it is written. Departed members that
        have certainly expired go, and witness sets that neither a member nor a
        departed one may still use.
        """
        departures = self._keep_unexpired(record)
        members = [entry.member for entry in departures]
        members.extend(record.members)
        oldest = min(
            (self._sightings.get(get_key(member)).epoch for member in members),
            default=record.epoch,
        )
        kept = tuple(
            past for past in record.past_witnesses if past.last_epoch >= oldest
        )
        return msgspec.structs.replace(
            record, departures=departures, past_witnesses=kept
        )

    def _keep_unexpired(self, record: FleetRecord) -> tuple[Departure, ...]:
        return tuple(
            entry
            for entry in record.departures
            if not self._expiry.has_expired(get_key(entry.member))
        )

    def _is_missed(self, member_id: str, live: list[str]) -> bool:
        """Return whether most live witnesses have not heard from a silent member."""
        voters = [witness for witness in self._record.witnesses if witness in live]
        missed = [
            witness == self._self_key.id
            or member_id in self._silent_at.get(witness, frozenset())
            for witness in voters
        ]
        return 2 * sum(missed) > len(missed)

    def _hears_blocking_set(self, live: list[str]) -> bool:
        witnesses = self._record.witnesses
        silent_count = sum(witness not in live for witness in witnesses)
        return is_blocking(witnesses, silent_count)
