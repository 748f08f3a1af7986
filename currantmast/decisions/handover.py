"""Handover of keys: when a new owner may act in place of earlier ones."""

from collections.abc import Iterable

from currantmast.decisions.last_seen import MemberKey, get_key
from currantmast.decisions.membership import MembershipTracker
from currantmast.decisions.ownership import choose_owner
from currantmast.messages import FleetRecord, Member

# Earlier records kept to find the previous owners of a key. All members of older
# records must have confirmed a later epoch or expired before any key is handed over.
RECORD_LIMIT = 32


def must_reopen_ledger(
    previous: FleetRecord | None, record: FleetRecord, key: str, self_id: str
) -> bool:
    """Return whether the owner of `key` must reopen its ledger under `record`.

    It need not if the same incarnation owned `key` under the record directly before.
    After a gap in the epochs another member may have owned the key in between.
    """
    if previous is None or record.epoch != previous.epoch + 1:
        return True
    previous_owner = choose_owner(previous, key)
    current_owner = choose_owner(record, key)
    return (
        previous_owner is None
        or previous_owner.id != self_id
        or previous_owner != current_owner
    )


class Handover:
    """Tracks which keys no earlier owner can still act on.

    A key is handed over when, for every earlier epoch k, its owner under k has
    confirmed an epoch later than k or has certainly expired. After the first record
    and after a gap in the epochs the owners in between are unknown. Then every member
    of the records before and after the gap must confirm the new epoch or expire, and
    every departed member must expire.

    The code that uses this class must itself check that this member owns the key.

    Parameters
    ----------
    tracker : MembershipTracker
        Source of confirmations and expiries. It must have adopted each record
        before this object does.
    """

    __slots__ = (
        '_awaited',
        '_past_records',
        '_record',
        '_tracker',
        '_unconfirmed_records',
    )

    def __init__(self, tracker: MembershipTracker) -> None:
        self._tracker = tracker
        self._record: FleetRecord | None = None
        self._past_records: list[FleetRecord] = []
        self._unconfirmed_records: list[FleetRecord] = []
        # Epoch that each of these members must confirm, unless it expires.
        self._awaited: dict[MemberKey, int] = {}

    def adopt_record(self, record: FleetRecord) -> None:
        """Adopt `record`; ignored unless its epoch is newer than the adopted one."""
        previous = self._record
        if previous is not None and record.epoch <= previous.epoch:
            return
        self._record = record
        if previous is None:
            self._wait_for_all(record, 0)
        else:
            self._past_records = [*self._past_records, previous][-RECORD_LIMIT:]
            self._unconfirmed_records.append(previous)
        if previous is not None and record.epoch > previous.epoch + 1:
            self._wait_for(previous.members, record.epoch)
            self._wait_for_all(record, previous.epoch)
        self._drop_completed()

    def is_handed_over(self, key: str, region: str | None = None) -> bool:
        """Return whether no earlier owner of `key` can still act on it."""
        if self._record is None:
            return False
        self._drop_completed()
        if self._awaited:
            return False
        return self._find_unconfirmed_owner(key, region) is None

    def get_previous_owner(self, key: str, region: str | None = None) -> Member | None:
        """Return the newest earlier owner of `key` that is not the current one."""
        if self._record is None:
            return None
        current = choose_owner(self._record, key, region)
        for record in reversed(self._past_records):
            owner = choose_owner(record, key, region)
            if owner is not None and _is_other_member(owner, current):
                return owner
        return None

    def _find_unconfirmed_owner(self, key: str, region: str | None) -> Member | None:
        """Return an earlier owner of `key` that may still act on it, if any."""
        for record in self._unconfirmed_records:
            owner = choose_owner(record, key, region)
            if owner is None:
                continue
            if not self._has_confirmed_or_expired(get_key(owner), record.epoch + 1):
                return owner
        return None

    def _has_confirmed_or_expired(self, key: MemberKey, epoch: int) -> bool:
        tracker = self._tracker
        return tracker.has_confirmed(
            key.id, key.incarnation, epoch
        ) or tracker.has_expired(key.id, key.incarnation)

    def _is_superseded(self, record: FleetRecord) -> bool:
        """Return whether no member can act under `record` any longer."""
        return all(
            self._has_confirmed_or_expired(get_key(member), record.epoch + 1)
            for member in record.members
        )

    def _wait_for(self, members: Iterable[Member], epoch: int) -> None:
        """Wait for each of `members` to confirm `epoch` or expire."""
        for member in members:
            key = get_key(member)
            self._awaited[key] = max(epoch, self._awaited.get(key, epoch))

    def _wait_for_all(self, record: FleetRecord, since: int) -> None:
        """Wait for all members that may have owned keys after epoch `since`."""
        self._wait_for(record.members, record.epoch)
        self._wait_for(
            (entry.member for entry in record.departures if entry.epoch > since),
            record.epoch,
        )

    def _drop_completed(self) -> None:
        """Drop the records and members that need not be waited for any longer."""
        self._unconfirmed_records = [
            record
            for record in self._unconfirmed_records
            if not self._is_superseded(record)
        ]
        for oldest in self._unconfirmed_records[:-RECORD_LIMIT]:
            self._wait_for(oldest.members, oldest.epoch + 1)
        self._unconfirmed_records = self._unconfirmed_records[-RECORD_LIMIT:]
        self._awaited = {
            key: epoch
            for key, epoch in self._awaited.items()
            if not self._has_confirmed_or_expired(key, epoch)
        }


def _is_other_member(owner: Member, current: Member | None) -> bool:
    return current is None or get_key(owner) != get_key(current)
