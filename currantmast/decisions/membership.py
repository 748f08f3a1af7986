"""Fleet membership: changes of the record, silent members and lease expiry."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.expiry import LeaseExpiry, is_below_majority
from currantmast.decisions.last_seen import LastSeenTable, MemberKey, get_key
from currantmast.decisions.leases import lists_incarnation
from currantmast.deployment import Timing
from currantmast.errors import CurrantmastError
from currantmast.messages import (
    Departure,
    FleetRecord,
    Heartbeat,
    Member,
    WitnessSet,
)

# Largest number of witnesses in one epoch.
WITNESS_LIMIT = 9
# Delay between the removal attempts of live members, taken in order of their ids.
REMOVAL_STAGGER_S = 1.0


class IncarnationReused(CurrantmastError):
    """A removed run of an instance tried to join again under its old incarnation."""


class MemberUnknown(CurrantmastError):
    """A fleet change names a member that the record does not list."""


def choose_witnesses(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the ids of up to `WITNESS_LIMIT` witnesses.

    Leaving members are chosen last. The choice is round-robin over the regions and,
    within a region, over its failure domains; within a failure domain members are
    taken in order of their ids.
    """
    by_domain = _interleave_groups(
        sorted(members, key=lambda member: member.id),
        lambda member: (member.region, member.failure_domain),
    )
    by_region = _interleave_groups(by_domain, lambda member: member.region)
    return tuple(sorted(member.id for member in by_region[:WITNESS_LIMIT]))


def _interleave_groups(
    members: Sequence[Member], get_group: Callable[[Member], object]
) -> list[Member]:
    """Return `members` in round-robin order over their groups, leaving ones last."""
    counts: Counter[object] = Counter()
    turns = {}
    for member in sorted(members, key=lambda other: other.leaving):
        group = get_group(member)
        turns[member.id] = counts[group]
        counts[group] += 1
    return sorted(members, key=lambda other: (other.leaving, turns[other.id]))


def add_member(record: FleetRecord, member: Member) -> FleetRecord:
    """Return the next record, with `member` in it.

    It replaces an earlier incarnation of the same id, which is listed under the
    departures.

    Raises
    ------
    IncarnationReused
        If this incarnation has departed already. An instance that was removed must
        join under a new incarnation.
    """
    if any(get_key(entry.member) == get_key(member) for entry in record.departures):
        raise IncarnationReused(f'{member.id}: incarnation {member.incarnation}')
    others = [other for other in record.members if other.id != member.id]
    replaced = [
        other
        for other in record.members
        if other.id == member.id and other.incarnation != member.incarnation
    ]
    return _make_next_record(record, (*others, member), replaced)


def mark_leaving(record: FleetRecord, member_id: str) -> FleetRecord:
    """Return the next record, in which `member_id` is leaving and owns nothing.

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
    return _make_next_record(record, members, ())


def remove_member(record: FleetRecord, *member_ids: str) -> FleetRecord:
    """Return the next record, without `member_ids`.

    Several members that failed together are removed in one epoch.

    Raises
    ------
    MemberUnknown
        If the record does not list one of them.
    """
    for member_id in member_ids:
        _check_listed(record, member_id)
    kept = [member for member in record.members if member.id not in member_ids]
    removed = [member for member in record.members if member.id in member_ids]
    return _make_next_record(record, kept, removed)


def _check_listed(record: FleetRecord, member_id: str) -> None:
    if all(member.id != member_id for member in record.members):
        raise MemberUnknown(f'epoch {record.epoch} does not list {member_id}')


def _make_next_record(
    record: FleetRecord, members: Iterable[Member], removed: Iterable[Member]
) -> FleetRecord:
    ordered = tuple(sorted(members, key=lambda member: member.id))
    epoch = record.epoch + 1
    previous = WitnessSet(record.epoch, record.witnesses)
    past_sets = record.past_witnesses
    if past_sets and past_sets[-1].witnesses == previous.witnesses:
        past_sets = past_sets[:-1]
    departures = tuple(Departure(member, epoch) for member in removed)
    return FleetRecord(
        epoch=epoch,
        members=ordered,
        witnesses=choose_witnesses(ordered),
        departures=(*record.departures, *departures),
        past_witnesses=(*past_sets, previous) if previous.witnesses else past_sets,
    )


def may_renew_lease(
    record: FleetRecord | None, self_id: str, incarnation: str, heartbeat: Heartbeat
) -> bool:
    """Return whether a witness may acknowledge `heartbeat` as renewing a lease.

    Parameters
    ----------
    record : FleetRecord or None
        Record that the witness has adopted.
    self_id, incarnation : str
        Identity of the witness. An incarnation that the record does not list must
        not renew leases.
    heartbeat : Heartbeat
        Heartbeat of the member whose lease would be renewed.
    """
    if record is None or heartbeat.epoch != record.epoch:
        return False
    return (
        self_id in record.witnesses
        and lists_incarnation(record, self_id, incarnation)
        and lists_incarnation(record, heartbeat.sender, heartbeat.incarnation)
    )


class MembershipTracker:
    """What one member has heard from the others, and whose leases have expired.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timing : Timing
        Lease time and removal time in force, in seconds.
    self_id, incarnation : str
        Identity of this instance. Its own epoch counts as confirmed when it adopts
        a record, and it is never silent to itself.

    Notes
    -----
    Expiry of a former member X: a renewal under epoch k needs acknowledgements from
    a majority of the witnesses of k, and a witness acknowledges only under the epoch
    that it has adopted. A *blocking set* is a set of witnesses of k that have
    confirmed a later epoch and leave fewer than a majority unconfirmed. Once there
    is one, every majority contains a witness that acknowledged before it confirmed
    the later epoch, so that the lease counts from the send time of a heartbeat from
    before that confirmation. For an odd number of witnesses above one a blocking set
    is a majority; for an even number it is one less, which lets one of two members
    take over. For a sole witness it is empty, since `leases.count_majority` returns
    at least two. The rule must hold for every epoch that X may still be in: from the last
    one it reported up to its removal. Store reads can't renew the lease afterwards:
    a read sent after the removal returns a record without X. So the lease of X has
    expired `lease_s` x 1.05 + 0.25 s after the last blocking set was completed.

    Start without history: a new instance can't tell from its own epoch alone whose
    leases have expired. In a partition the witnesses of an earlier epoch may all be
    removed but alive and renewing each other's leases, while all witnesses of the
    newest epoch confirm it. The fleet record therefore lists the departed members
    whose leases may still be valid and the witness sets of all epochs that a member
    or a departed one may still be in. A new instance applies the rule above to
    them: it treats each departed member as unexpired until it has itself heard a
    blocking set of each listed witness set and the full time has passed since.
    Departed members that the record no longer lists were found expired by the
    member that wrote it.
    """

    __slots__ = (
        '_clock',
        '_expiry',
        '_last_seen',
        '_listed_at',
        '_record',
        '_reported_silent',
        '_self_key',
        '_timing',
    )

    def __init__(
        self, clock: Clock, timing: Timing, self_id: str = '', incarnation: str = ''
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._self_key = MemberKey(self_id, incarnation)
        self._record = FleetRecord(0)
        self._last_seen = LastSeenTable(clock)
        self._reported_silent: dict[str, frozenset[str]] = {}
        self._listed_at: dict[MemberKey, float] = {}
        self._expiry = LeaseExpiry(clock, timing.lease_s)

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the epoch, version and silent members that `heartbeat` reports."""
        key = MemberKey(heartbeat.sender, heartbeat.incarnation)
        self._reported_silent[heartbeat.sender] = frozenset(heartbeat.silent)
        if self._last_seen.update(key, heartbeat.epoch, heartbeat.version):
            self._expiry.update(self._last_seen)

    def observe_epoch(self, member_id: str, incarnation: str, epoch: int) -> None:
        """Record that a member was heard now and has adopted `epoch`."""
        if self._last_seen.update(MemberKey(member_id, incarnation), epoch):
            self._expiry.update(self._last_seen)

    def adopt_record(self, record: FleetRecord) -> None:
        """Adopt `record`; ignored unless its epoch is newer than the adopted one."""
        if record.epoch <= self._record.epoch:
            return
        now = self._clock.now()
        self._record = record
        listed = [get_key(member) for member in record.members]
        self._listed_at = {key: self._listed_at.get(key, now) for key in listed}
        if self._self_key in self._listed_at:
            self._last_seen.update(self._self_key, record.epoch)
        self._last_seen.prune(record)
        self._expiry.adopt_record(record)
        self._expiry.update(self._last_seen)

    def get_epoch(self, member_id: str, incarnation: str) -> int:
        """Return the newest epoch heard from a member, or -1."""
        return self._last_seen.get(MemberKey(member_id, incarnation)).epoch

    def get_silence(self, member: Member) -> float:
        """Return the seconds since `member` was last heard from."""
        key = get_key(member)
        if key == self._self_key:
            return 0
        heard_at = max(self._last_seen.get(key).heard_at, self._listed_at[key])
        return self._clock.now() - heard_at

    def get_version(self, member_id: str, incarnation: str) -> int:
        """Return the newest configuration version heard from a member, or -1."""
        return self._last_seen.get(MemberKey(member_id, incarnation)).version

    def has_confirmed(self, member_id: str, incarnation: str, epoch: int) -> bool:
        """Return whether a member has adopted `epoch` or a later one."""
        return self._last_seen.get(MemberKey(member_id, incarnation)).epoch >= epoch

    def has_expired(self, member_id: str, incarnation: str) -> bool:
        """Return whether a former member's lease has certainly expired.

        False for current members and for incarnations that were never listed.
        """
        return self._expiry.has_expired(MemberKey(member_id, incarnation))

    def list_unexpired(self) -> tuple[Member, ...]:
        """Return the members and the former members whose leases may be valid."""
        former = (entry.member for entry in self._keep_unexpired(self._record))
        return (*self._record.members, *former)

    def list_live(self) -> tuple[Member, ...]:
        """Return the members heard from within the removal time, in order of id."""
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

        The live member with the lowest id removes at once. Each following one waits
        `REMOVAL_STAGGER_S` longer, in case those before it fail to. A member that
        hears less than a blocking set of witnesses removes nobody: it is probably
        cut off itself, and could not take over anything, since no lease would
        expire. A member is removed only if most live witnesses don't hear it either:
        two regions that lose each other must not remove each other while a third
        one hears both.

        The result is valid for the adopted record only. If the store has a later
        one, adopt it and choose again: a member chosen here may have become the only
        live witness of that record.
        """
        live = [member.id for member in self.list_live()]
        if self_id not in live or not self._hears_blocking_set(live):
            return ()
        limit = self._timing.removal_after_s
        limit += live.index(self_id) * REMOVAL_STAGGER_S
        return tuple(
            member.id
            for member in self._record.members
            if self.get_silence(member) > limit
            and self._is_silent_for_most(member.id, live)
        )

    def prune(self, record: FleetRecord) -> FleetRecord:
        """Return `record` without the history that is no longer needed.

        To be applied to each new record before it is written. Drops departed members
        whose leases have certainly expired, and witness sets of epochs that no
        member or remaining departed one can still be in.
        """
        departures = self._keep_unexpired(record)
        members = [entry.member for entry in departures]
        members.extend(record.members)
        oldest = min(
            (self._last_seen.get(get_key(member)).epoch for member in members),
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

    def _is_silent_for_most(self, member_id: str, live: list[str]) -> bool:
        """Return whether most live witnesses do not hear `member_id`.

        Only for members that this instance does not hear either: if it is a live
        witness, it is counted without a report.
        """
        live_witnesses = [
            witness for witness in self._record.witnesses if witness in live
        ]
        reports_silent = [
            witness == self._self_key.id
            or member_id in self._reported_silent.get(witness, frozenset())
            for witness in live_witnesses
        ]
        return 2 * sum(reports_silent) > len(reports_silent)

    def _hears_blocking_set(self, live: list[str]) -> bool:
        witnesses = self._record.witnesses
        silent_count = sum(witness not in live for witness in witnesses)
        return is_below_majority(witnesses, silent_count)
