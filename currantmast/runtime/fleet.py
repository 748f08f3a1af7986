"""The fleet record in the platform's store: joining, leaving, removing, reading."""

from collections.abc import Callable

import msgspec

from currantmast.decisions.leases import lists_incarnation
from currantmast.decisions.membership import (
    MemberUnknown,
    add_member,
    mark_leaving,
    remove_member,
)
from currantmast.errors import CurrantmastError, StoreConflict, StoreOutcomeUnknown
from currantmast.messages import FleetRecord
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient
from currantmast.steering import Steering

FLEET = 'fleet'
UPDATE_ATTEMPTS = 20
RETRY_PAUSE_S = 0.05
REMOVAL_PERIOD_S = 0.25
REMOVAL_BACKOFF_S = 0.5


class FleetContended(CurrantmastError):
    """Other members changed the fleet record in every attempt."""


class NobodySilent(CurrantmastError):
    """No member is to be removed under the record that the store holds now."""


class FleetStore:
    """Reads and changes the fleet record on behalf of one instance.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's store.
    steering : Steering
        Adopts what was read or written.
    """

    __slots__ = ('_client', '_steering')

    def __init__(self, client: ObjectClient, steering: Steering) -> None:
        self._client = client
        self._steering = steering

    def __repr__(self) -> str:
        """Return the epoch in force."""
        return f'<FleetStore epoch={self._steering.peering.record.epoch}>'

    def read(self) -> FleetRecord:
        """Adopt the stored record; it renews the lease if it lists this run.

        Raises
        ------
        StoreError
            If the store failed.
        """
        sent_at = self._steering.clock.now()
        record, _ = self._fetch()
        self._steering.adopt_record(record)
        member = self._steering.member
        if lists_incarnation(record, member.id, member.incarnation):
            self._steering.lease.observe_store_read(sent_at)
        return record

    def join(self) -> None:
        """Add this run to the fleet."""
        member = self._steering.member
        self._update(lambda record: add_member(record, member), 'join')

    def mark_leaving(self) -> None:
        """Mark this run as leaving, so that it owns nothing and is not listed."""
        member_id = self._steering.member.id
        self._update(lambda record: mark_leaving(record, member_id), 'mark_leaving')

    def remove(self, *member_ids: str) -> None:
        """Remove members that were not heard from, or this run at its end."""
        try:
            self._update(lambda record: remove_member(record, *member_ids), 'remove')
        except MemberUnknown as error:
            log_event('fleet_change_obsolete', change='remove', error=error)

    def remove_silent(self) -> None:
        """Remove members that have gone silent, for ever."""
        steering = self._steering
        while True:
            steering.clock.sleep(REMOVAL_PERIOD_S)
            if steering.peering.tracker.choose_removals(steering.member.id):
                self._try_removal()

    def _try_removal(self) -> None:
        try:
            self._update(self._drop_silent, 'remove_silent')
        except NobodySilent as error:
            log_event('fleet_change_obsolete', change='remove_silent', error=error)
        except CurrantmastError as error:
            log_event('removal_failed', level='WARNING', error=error)
            self._steering.clock.sleep(REMOVAL_BACKOFF_S)

    def _drop_silent(self, record: FleetRecord) -> FleetRecord:
        """Return the next record without the members that are silent under `record`.

        The choice is made anew for each record read: after a conflict a member may be
        heard again, or have become the only live witness.
        """
        tracker = self._steering.peering.tracker
        silent = tracker.choose_removals(self._steering.member.id)
        if not silent:
            raise NobodySilent(f'epoch {record.epoch}')
        log_event('removing', members=','.join(silent), epoch=record.epoch)
        return remove_member(record, *silent)

    def _update(
        self, change: Callable[[FleetRecord], FleetRecord], name: str
    ) -> FleetRecord:
        for _ in range(UPDATE_ATTEMPTS):
            record = self._try_update(change)
            if record is not None:
                log_event('fleet_changed', change=name, epoch=record.epoch)
                return record
            self._steering.clock.sleep(RETRY_PAUSE_S)
        raise FleetContended(f'{name}: {UPDATE_ATTEMPTS} attempts lost')

    def _try_update(
        self, change: Callable[[FleetRecord], FleetRecord]
    ) -> FleetRecord | None:
        held, version = self._fetch()
        self._steering.adopt_record(held)
        tracker = self._steering.peering.tracker
        record = tracker.prune(change(held))
        try:
            self._client.put(FLEET, msgspec.json.encode(record), version)
        except (StoreConflict, StoreOutcomeUnknown) as error:
            log_event('fleet_change_lost', error=error)
            return None
        self._steering.adopt_record(record)
        return record

    def _fetch(self) -> tuple[FleetRecord, int]:
        stored = self._client.get(FLEET)
        if stored is None:
            return FleetRecord(0), 0
        return decode_record(stored.body), stored.version


def decode_record(body: bytes) -> FleetRecord:
    """Return the fleet record in `body`."""
    return msgspec.json.decode(body, type=FleetRecord)
