"""When a new owner may use what an earlier owner may still be using."""

from collections.abc import Iterable

from currantmast.decisions.membership import Observer
from currantmast.decisions.ownership import choose_owner
from currantmast.decisions.sightings import MemberKey, get_key
from currantmast.messages import FleetRecord, Member

# Earlier records kept to tell settled keys apart. Members of older ones must all
# have confirmed a later epoch before any key is settled.
RECORD_LIMIT = 32


def must_reopen(
    previous: FleetRecord | None, record: FleetRecord, key: str, self_id: str
) -> bool:
    """Return whether an owner must open its ledger anew for `record`.

    It need not if it owned `key` under the record directly before. After a gap in
    the epochs another member may have owned the key in between.
    """
    if previous is None or record.epoch != previous.epoch + 1:
        return True
    owner = choose_owner(previous, key)
    listed = choose_owner(record, key)
    return owner is None or owner.id != self_id or owner != listed


class Handover:
    """Tells which keys no earlier owner can still act on.

    A key is settled when, for every earlier epoch k, its owner under k has confirmed
    an epoch later than k or has certainly expired. After the first record and after
    a gap in the epochs the owners in between are unknown. Then every member of the
    records before and after the gap must confirm the new epoch or expire, and every
    departed member must expire.

    Whether this member owns the key is for the caller to check.

    Parameters
    ----------
    observer : Observer
        Source of confirmations and expiries. It must have adopted each record
        before this object does.
    """

    __slots__ = ('_awaited', '_observer', '_past', '_record', '_unconfirmed')

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self._record: FleetRecord | None = None
        self._past: list[FleetRecord] = []
        self._unconfirmed: list[FleetRecord] = []
        self._awaited: dict[MemberKey, int] = {}

    def adopt_record(self, record: FleetRecord) -> None:
        """Take `record` as the newest; records of lower epochs are ignored."""
        previous = self._record
        if previous is not None and record.epoch <= previous.epoch:
            return
        self._record = record
        if previous is None:
            self._await_all(record, 0)
        else:
            self._past = [*self._past, previous][-RECORD_LIMIT:]
            self._unconfirmed.append(previous)
        if previous is not None and record.epoch > previous.epoch + 1:
            self._await(previous.members, record.epoch)
            self._await_all(record, previous.epoch)
        self._drop_irrelevant()

    def is_settled(self, key: str, region: str | None = None) -> bool:
        """Return whether no earlier owner of `key` can still act on it."""
        if self._record is None:
            return False
        self._drop_irrelevant()
        if self._awaited:
            return False
        return self._find_unsettled(key, region) is None

    def get_predecessor(self, key: str, region: str | None = None) -> Member | None:
        """Return the newest earlier owner of `key` other than its present one."""
        if self._record is None:
            return None
        present = choose_owner(self._record, key, region)
        for record in reversed(self._past):
            owner = choose_owner(record, key, region)
            if owner is not None and _differ(owner, present):
                return owner
        return None

    def _find_unsettled(self, key: str, region: str | None) -> Member | None:
        for record in self._unconfirmed:
            owner = choose_owner(record, key, region)
            if owner is None:
                continue
            if not self._has_passed(get_key(owner), record.epoch + 1):
                return owner
        return None

    def _has_passed(self, key: MemberKey, epoch: int) -> bool:
        observer = self._observer
        return observer.has_confirmed(
            key.id, key.incarnation, epoch
        ) or observer.has_expired(key.id, key.incarnation)

    def _is_over(self, record: FleetRecord) -> bool:
        """Return whether no member can act under `record` any more."""
        return all(
            self._has_passed(get_key(member), record.epoch + 1)
            for member in record.members
        )

    def _await(self, members: Iterable[Member], epoch: int) -> None:
        for member in members:
            key = get_key(member)
            self._awaited[key] = max(epoch, self._awaited.get(key, epoch))

    def _await_all(self, record: FleetRecord, since: int) -> None:
        """Wait for all that may have owned keys after epoch `since`."""
        self._await(record.members, record.epoch)
        self._await(
            (entry.member for entry in record.departures if entry.epoch > since),
            record.epoch,
        )

    def _drop_irrelevant(self) -> None:
        self._unconfirmed = [
            record for record in self._unconfirmed if not self._is_over(record)
        ]
        for oldest in self._unconfirmed[:-RECORD_LIMIT]:
            self._await(oldest.members, oldest.epoch + 1)
        self._unconfirmed = self._unconfirmed[-RECORD_LIMIT:]
        self._awaited = {
            key: epoch
            for key, epoch in self._awaited.items()
            if not self._has_passed(key, epoch)
        }


def _differ(owner: Member, present: Member | None) -> bool:
    return present is None or get_key(owner) != get_key(present)
