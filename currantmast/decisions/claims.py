"""Claim log of a partition: at most one execution for each request key.

A claim is the right of one attempt to execute a request. Before a non-idempotent request
is sent, its request key is claimed in the log of the key's partition. The partition's
owner appends batches of claims, answers and releases to that log, which the object store
holds.
"""

from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimchains import (
    STALE_AFTER_S,
    BatchChain,
    KnownSegment,
)
from currantmast.decisions.claimkeys import ClaimKey, check_age, get_usable_lifetime_s
from currantmast.decisions.claimrecords import (
    Answered,
    ClaimBatch,
    Claimed,
    InProgress,
    RecordedAnswer,
    Released,
    Repeated,
    Unavailable,
)
from currantmast.decisions.claimsegments import (
    SEGMENT_BYTES,
    Segment,
    SegmentUpdate,
    plan_update,
)
from currantmast.decisions.claimtables import ClaimTable, Decision, OperationQueue
from currantmast.outcomes import NotRun

# Age of the last read at which a log is read again. Half the limit, so that a log in use
# stays current and no batch that is being written becomes stale.
REFRESH_AFTER_S = STALE_AFTER_S / 2
# Replaces REFRESH_AFTER_S after a claim was refused as in progress: a previous owner may
# have written the answer in the meantime.
RECHECK_AFTER_S = 1.0


class Pending(msgspec.Struct, frozen=True):
    """The claim is queued for a batch; `ClaimLog.commit` returns the decision."""


class DecidedClaim(msgspec.Struct, frozen=True):
    """A claim with the decision on it."""

    claimed: Claimed
    decision: Decision


class LogIdentity(msgspec.Struct, frozen=True):
    """Partition number and writer text of a `ClaimLog`; see its parameters."""

    partition: int
    writer: str


class ClaimLog:
    """An owner's copy of the log of one partition.

    A batch is appended by a conditional update of the newest segment, under the version
    that was read or written last. A writer that commits a batch has therefore read all
    batches before it. The first claim of a key in the log wins, so at most one attempt
    is told that its claim is fresh. This holds for any number of concurrent owners.

    Parameters
    ----------
    partition : int
        Number of the partition.
    clock : Clock
        Monotonic time for the age of reads, wall time for the age of keys.
    lifetime_s : float
        Lifetime of claims in seconds.
    writer : str
        Text that no other `ClaimLog` uses, so that the identities of its batches are
        unique.
    segment_bytes : int
        Size in bytes at which a segment is full; the same for all owners.

    Attributes
    ----------
    chain : BatchChain
        Sequence of the batches read or written, and the newest segment.
    """

    __slots__ = (
        '_batch_count',
        '_clock',
        '_current',
        '_identity',
        '_lifetime_s',
        '_queue',
        '_read_at',
        '_refused_in_progress',
        '_segment_bytes',
        '_table',
        'chain',
    )

    def __init__(
        self,
        partition: int,
        clock: Clock,
        lifetime_s: float,
        writer: str = '',
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._identity = LogIdentity(partition, writer)
        self._clock = clock
        self._lifetime_s = lifetime_s
        self.chain = BatchChain(clock, lifetime_s)
        self._table = ClaimTable()
        self._queue = OperationQueue()
        self._segment_bytes = segment_bytes
        self._batch_count = 0
        self._current = False
        self._refused_in_progress = False
        self._read_at = clock.now()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return (
            f'<ClaimLog {self._identity.partition} {self.chain!r} '
            f'current={self.is_current()} waiting={len(self._queue)}>'
        )

    def is_current(self) -> bool:
        """Return whether the log has been read recently enough to append to it."""
        age_s = self._clock.now() - self._read_at
        return self._current and age_s < STALE_AFTER_S

    def needs_read(self) -> bool:
        """Return whether the log should be read before it is used further."""
        age_s = self._clock.now() - self._read_at
        limit_s = RECHECK_AFTER_S if self._refused_in_progress else REFRESH_AFTER_S
        return not self._current or age_s >= limit_s

    def has_work(self) -> bool:
        """Return whether operations are not yet known to be in the store."""
        return len(self._queue) > 0

    def load(self, segments: Iterable[Segment], read_at: float) -> None:
        """Add the batches of segments that were read, and mark the log as current.

        A read that took `STALE_AFTER_S` or more is ignored: a listed segment may have
        been deleted and created again by a late write before it was fetched.

        Parameters
        ----------
        segments : iterable of Segment
            Segments from ``chain.newest`` on, in any order. They must include the
            listed segment with the highest number, unless that is ``chain.newest`` in
            the same version.
        read_at : float
            Monotonic time in seconds when the listing began.
        """
        if self._clock.now() - read_at >= STALE_AFTER_S:
            return
        for batch in self.chain.extend(segments):
            self._table.apply(batch.operations)
        self._read_at = read_at
        self._current = True
        self._refused_in_progress = False

    def claim(
        self, claim_key: ClaimKey, attempt: str
    ) -> Pending | Repeated | InProgress | Unavailable | NotRun:
        """Claim a key for one attempt to execute its request.

        Parameters
        ----------
        claim_key : ClaimKey
            Key of the request.
        attempt : str
            Token of the attempt, never used twice.
        """
        refusal = check_age(claim_key.issued_at, self._clock, self._lifetime_s)
        if refusal is not None:
            return refusal
        digest = claim_key.digest
        decision = self._table.decide(digest)
        if decision is not None:
            self._refused_in_progress |= isinstance(decision, InProgress)
            return decision
        if self._queue.has_claim(digest):
            return InProgress()
        if not self.is_current():
            return Unavailable('the claim log has not been read')
        self._queue.add(Claimed(digest, attempt, claim_key.issued_at))
        return Pending()

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> None:
        """Queue the answer of the attempt that holds the claim."""
        digest, issued_at = claim_key.digest, claim_key.issued_at
        self._queue.add(Answered(digest, attempt, issued_at, answer))

    def release(self, claim_key: ClaimKey, attempt: str) -> None:
        """Give up an attempt that was certainly not sent and never will be.

        A release is queued unless the claim was still queued here and can't be in the
        store: a claim that is written later must not count.
        """
        digest, issued_at = claim_key.digest, claim_key.issued_at
        if not self._queue.withdraw(Claimed(digest, attempt, issued_at)):
            self._queue.add(Released(digest, attempt, issued_at))

    def make_update(self) -> SegmentUpdate | None:
        """Return the next update to write to the store.

        None if no operation is queued, an update is in flight, or the log must be read
        first.
        """
        if not self.is_current():
            return None
        operations = self._queue.take()
        if not operations:
            return None
        self._batch_count += 1
        batch = ClaimBatch(
            partition=self._identity.partition,
            sequence=self.chain.next_sequence,
            writer=self._identity.writer,
            number=self._batch_count,
            previous=self.chain.last_identity,
            operations=operations,
        )
        return plan_update(self.chain.newest, batch, self._segment_bytes)

    def commit(self, update: SegmentUpdate) -> tuple[DecidedClaim, ...]:
        """Apply `update`, which is now in the store; return the decided claims.

        If the update took too long, nothing is decided: its operations are queued again
        and the log must be read first.
        """
        batch = update.batch
        if not self.is_current() or batch.sequence != self.chain.next_sequence:
            self.reject()
            return ()
        self._table.apply(batch.operations)
        self.chain.append(batch, update.segment)
        self._queue.finish()
        claims = [one for one in batch.operations if isinstance(one, Claimed)]
        # The owner may have paused since it accepted a claim. If the key has expired
        # meanwhile, a batch with an earlier claim of it may have been deleted before
        # this owner read it.
        expired_before = self._clock.wall() - get_usable_lifetime_s(self._lifetime_s)
        return tuple(
            DecidedClaim(one, self._table.decide_committed(one, expired_before))
            for one in claims
        )

    def reject(self) -> None:
        """Queue the operations of the update in flight again, in case it wasn't stored.

        The log must be read before anything else is decided.
        """
        self._queue.restore()
        self._current = False

    def list_obsolete(self) -> tuple[KnownSegment, ...]:
        """Return the segments that may be deleted, in the order of deletion."""
        self._table.drop_before(self._clock.wall() - self._lifetime_s)
        return self.chain.list_obsolete()
