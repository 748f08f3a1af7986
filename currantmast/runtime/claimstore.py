"""Segments of one claim partition in the object API."""

from collections.abc import Callable
from typing import TypeVar

from gevent.pool import Pool

from currantmast.clocks import Clock
from currantmast.decisions.claimchains import SegmentAge
from currantmast.decisions.claimrecords import name_partition
from currantmast.decisions.claims import ClaimLog
from currantmast.decisions.claimsegments import (
    Segment,
    SegmentUpdate,
    decode_segment,
    name_segment,
    parse_number,
)
from currantmast.errors import StoreBudgetExceeded, StoreConflict
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient, ObjectEntry

CLEANING_S = 5.0
BUDGET_WAIT_S = 0.02
CONCURRENT_READS = 8
# Obsolete segments deleted in one round, so that deletions don't delay claims.
DELETES_PER_ROUND = 20

Answer = TypeVar('Answer')


class SegmentStore:
    """Segments of one partition in the object API.

    Parameters
    ----------
    store : ObjectClient
        Client of the object API.
    partition : int
        Number of the partition.
    clock : Clock
        Clock to wait by while the call budget is used up.
    """

    __slots__ = ('_cleaned_at', '_clock', '_fetched', '_partition', '_store')

    def __init__(self, store: ObjectClient, partition: int, clock: Clock) -> None:
        self._store = store
        self._partition = partition
        self._clock = clock
        self._cleaned_at = clock.now()
        # Segments of a read that failed or took too long, so that the next one only
        # fetches what is missing.
        self._fetched: dict[ObjectEntry, Segment] = {}

    def __repr__(self) -> str:
        """Return the prefix of the objects."""
        return f'<SegmentStore {name_partition(self._partition)}>'

    def read_into(self, log: ClaimLog) -> None:
        """Read the segments that `log` has not seen; it is current if that succeeds.

        Raises
        ------
        StoreError
            If the store can't be read.
        BatchRejected
            If an object is no segment.
        """
        newest = log.chain.newest
        read_at = self._clock.now()
        entries = self._list_from(newest.number)
        known = name_segment(self._partition, newest.number)
        if entries == (ObjectEntry(known, newest.version),):
            log.load((), read_at)
            return
        found = Pool(CONCURRENT_READS).map(self._fetch, entries)
        if entries and found[-1] is None:
            # Newer segments were created and the last one deleted meanwhile.
            return
        log.load((segment for segment in found if segment), read_at)
        if log.is_current():
            self._fetched.clear()

    def write(self, update: SegmentUpdate) -> None:
        """Make `update` if the segment has the version that it replaces.

        Raises
        ------
        StoreConflict
            If it has another version; nothing was written.
        StoreError
            If nothing may have been written.
        """
        self._call(lambda: self._store.put(update.name, update.body, update.if_version))

    def clean(self, log: ClaimLog) -> None:
        """Delete some of the obsolete segments of `log`, every now and then.

        Raises
        ------
        StoreError
            If the store did not answer.
        """
        now = self._clock.now()
        if now - self._cleaned_at < CLEANING_S:
            return
        self._cleaned_at = now
        for age in log.list_obsolete()[:DELETES_PER_ROUND]:
            self._delete(age)
            log.chain.forget(age.number)

    def _list_from(self, number: int) -> tuple[ObjectEntry, ...]:
        after = name_segment(self._partition, number - 1) if number else ''
        prefix = name_partition(self._partition)
        return self._call(lambda: self._store.list(prefix, after)).entries

    def _fetch(self, entry: ObjectEntry) -> Segment | None:
        fetched = self._fetched.get(entry)
        if fetched is not None:
            return fetched
        stored = self._call(lambda: self._store.get(entry.name))
        if stored is None:
            return None
        number = parse_number(entry.name)
        segment = decode_segment(number, stored.version, stored.body)
        self._fetched[ObjectEntry(entry.name, stored.version)] = segment
        return segment

    def _delete(self, age: SegmentAge) -> None:
        name = name_segment(self._partition, age.number)
        try:
            self._call(lambda: self._store.delete(name, age.version))
        except StoreConflict as conflict:
            # Another owner has deleted it.
            log_event('segment_absent', level='DEBUG', error=conflict)

    def _call(self, call: Callable[[], Answer]) -> Answer:
        """Return what `call` returns; wait while the call budget is used up."""
        while True:
            try:
                return call()
            except StoreBudgetExceeded:
                self._clock.sleep(BUDGET_WAIT_S)
