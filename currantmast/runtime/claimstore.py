"""Reads, writes and deletes the segments of a claim partition in the object API."""

from collections.abc import Callable
from typing import TypeVar

from gevent.pool import Pool

from currantmast.clocks import Clock
from currantmast.decisions.claimchains import KnownSegment
from currantmast.decisions.claimrecords import name_partition_prefix
from currantmast.decisions.claims import ClaimLog
from currantmast.decisions.claimsegments import (
    Segment,
    SegmentUpdate,
    decode_segment,
    name_segment,
    parse_segment_number,
)
from currantmast.errors import StoreBudgetExceeded, StoreConflict
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient, ObjectEntry

CLEANUP_PERIOD_S = 5.0
BUDGET_WAIT_S = 0.02
CONCURRENT_READS = 8
# Limit of obsolete segments deleted per cleanup, so that deletions don't delay claims.
DELETES_PER_ROUND = 20

Result = TypeVar('Result')


class SegmentStore:
    """Segments of one partition in the object API.

    Parameters
    ----------
    store : ObjectClient
        Client of the object API.
    partition : int
        Number of the partition.
    clock : Clock
        Clock for waits while the call budget is exhausted.
    """

    __slots__ = ('_cleaned_at', '_clock', '_fetched', '_partition', '_store')

    def __init__(self, store: ObjectClient, partition: int, clock: Clock) -> None:
        self._store = store
        self._partition = partition
        self._clock = clock
        self._cleaned_at = clock.now()
        # Segments fetched by reads that failed or took too long; the next read fetches
        # only the others.
        self._fetched: dict[ObjectEntry, Segment] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<SegmentStore {name_partition_prefix(self._partition)}>'

    def read_into(self, log: ClaimLog) -> None:
        """Read the segments that are new to `log`, which is current if this succeeds.

        The log stays as it is if the read takes too long, or if the last listed segment
        is deleted meanwhile.

        Raises
        ------
        StoreError
            If the store can't be read.
        BatchRejected
            If an object is not a valid segment.
        """
        newest = log.chain.newest
        read_at = self._clock.now()
        entries = self._list_from(newest.number)
        newest_name = name_segment(self._partition, newest.number)
        if entries == (ObjectEntry(newest_name, newest.version),):
            log.load((), read_at)
            return
        found = Pool(CONCURRENT_READS).map(self._fetch, entries)
        if entries and found[-1] is None:
            # The last listed segment was deleted, so newer ones exist: the log must be
            # listed again.
            return
        log.load((segment for segment in found if segment), read_at)
        if log.is_current():
            self._fetched.clear()

    def write(self, update: SegmentUpdate) -> None:
        """Write `update` if the segment has the version that it replaces.

        Raises
        ------
        StoreConflict
            If it has another version; nothing was written.
        StoreError
            If the update was not written, or may not have been.
        """
        self._call(lambda: self._store.put(update.name, update.body, update.if_version))

    def delete_obsolete(self, log: ClaimLog) -> None:
        """Delete some obsolete segments of `log`, at most every `CLEANUP_PERIOD_S`.

        Raises
        ------
        StoreError
            If a deletion failed.
        """
        now = self._clock.now()
        if now - self._cleaned_at < CLEANUP_PERIOD_S:
            return
        self._cleaned_at = now
        for segment in log.list_obsolete()[:DELETES_PER_ROUND]:
            self._delete(segment)
            log.chain.forget(segment.number)

    def _list_from(self, number: int) -> tuple[ObjectEntry, ...]:
        after = name_segment(self._partition, number - 1) if number else ''
        prefix = name_partition_prefix(self._partition)
        return self._call(lambda: self._store.list(prefix, after)).entries

    def _fetch(self, entry: ObjectEntry) -> Segment | None:
        fetched = self._fetched.get(entry)
        if fetched is not None:
            return fetched
        stored = self._call(lambda: self._store.get(entry.name))
        if stored is None:
            return None
        number = parse_segment_number(entry.name)
        segment = decode_segment(number, stored.version, stored.body)
        self._fetched[ObjectEntry(entry.name, stored.version)] = segment
        return segment

    def _delete(self, segment: KnownSegment) -> None:
        name = name_segment(self._partition, segment.number)
        try:
            self._call(lambda: self._store.delete(name, segment.version))
        except StoreConflict as conflict:
            # Another owner has deleted the segment.
            log_event('segment_absent', level='DEBUG', error=conflict)

    def _call(self, call: Callable[[], Result]) -> Result:
        """Return the result of `call`; wait while the call budget is exhausted."""
        while True:
            try:
                return call()
            except StoreBudgetExceeded:
                self._clock.sleep(BUDGET_WAIT_S)
