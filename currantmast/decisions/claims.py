"""Decisions on claims: at most one execution for each request key."""

from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimchains import (
    STALE_AFTER_S,
    BatchChain,
    SegmentAge,
)
from currantmast.decisions.claimkeys import ClaimKey, check_age, get_usable_s
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

# A log is read again this long after the last read, so that it stays current while it
# is used and no batch on its way becomes stale.
REFRESH_AFTER_S = STALE_AFTER_S / 2
# It is read again this soon if a claim was refused as in progress: a previous owner may
# have written the answer since.
DOUBTFUL_AFTER_S = 1.0


class Pending(msgspec.Struct, frozen=True):
    """The claim waits for its batch; `ClaimLog.commit` decides it."""


class Decided(msgspec.Struct, frozen=True):
    """What a claim has come to."""

    claimed: Claimed
    decision: Decision


class LogIdentity(msgspec.Struct, frozen=True):
    """Number of a partition, and the instance and incarnation that owns it."""

    partition: int
    writer: str


class ClaimLog:
    """Log of one partition, as its owner sees it.

    A batch is appended by a conditional update of the newest segment, which names the
    version read or written last. Whoever commits a batch has therefore read all batches
    before it, and the first claim of a key in the log holds it, so at most one attempt
    is told that it is fresh. Safety does not depend on who owns the partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    clock : Clock
        Time of staleness and lifetimes.
    lifetime_s : float
        Lifetime of claims in seconds.
    writer : str
        Text that no other log object uses; makes its batches unique.
    segment_bytes : int
        Size in bytes from which a segment is full; the same for all owners.

    Attributes
    ----------
    chain : BatchChain
        Order of the batches, and the newest segment.
    """

    __slots__ = (
        '_clock',
        '_current',
        '_doubtful',
        '_identity',
        '_lifetime_s',
        '_made',
        '_queue',
        '_read_at',
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
        self._made = 0
        self._current = False
        self._doubtful = False
        self._read_at = clock.now()

    def __repr__(self) -> str:
        """Return the partition and the state."""
        return (
            f'<ClaimLog {self._identity.partition} {self.chain!r} '
            f'current={self.is_current()} waiting={len(self._queue)}>'
        )

    def is_current(self) -> bool:
        """Return whether the log has been read recently enough to append to it."""
        age_s = self._clock.now() - self._read_at
        return self._current and age_s < STALE_AFTER_S

    def is_due(self) -> bool:
        """Return whether the log should be read before it is used further."""
        age_s = self._clock.now() - self._read_at
        limit_s = DOUBTFUL_AFTER_S if self._doubtful else REFRESH_AFTER_S
        return not self._current or age_s >= limit_s

    def has_work(self) -> bool:
        """Return whether operations wait to be written."""
        return len(self._queue) > 0

    def load(self, segments: Iterable[Segment], read_at: float) -> None:
        """Take in what the store holds; claims can then be decided.

        A read that took too long is ignored: what was listed may have been deleted
        and created again by a late write before it was fetched.

        Parameters
        ----------
        segments : iterable of Segment
            Segments from ``chain.newest`` on, in any order. The one with the highest
            number that was listed must be among them, unless it is ``chain.newest``
            with the same version.
        read_at : float
            Monotonic time in seconds when the listing began.
        """
        if self._clock.now() - read_at >= STALE_AFTER_S:
            return
        for batch in self.chain.extend(segments):
            self._table.apply(batch.operations)
        self._read_at = read_at
        self._current = True
        self._doubtful = False

    def claim(
        self, claim_key: ClaimKey, attempt: str
    ) -> Pending | Repeated | InProgress | Unavailable | NotRun:
        """Claim a key for one attempt to run its request.

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
            self._doubtful |= isinstance(decision, InProgress)
            return decision
        if self._queue.has_claim(digest):
            return InProgress()
        if not self.is_current():
            return Unavailable('the claim log has not been read')
        self._queue.add(Claimed(digest, attempt, claim_key.issued_at))
        return Pending()

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> None:
        """Record the answer of the attempt that holds the claim."""
        digest, issued_at = claim_key.digest, claim_key.issued_at
        self._queue.add(Answered(digest, attempt, issued_at, answer))

    def release(self, claim_key: ClaimKey, attempt: str) -> None:
        """Give up an attempt that was certainly not sent and never will be.

        The release is also written when the claim of the attempt may still arrive.
        """
        digest, issued_at = claim_key.digest, claim_key.issued_at
        if not self._queue.withdraw(Claimed(digest, attempt, issued_at)):
            self._queue.add(Released(digest, attempt, issued_at))

    def make_update(self) -> SegmentUpdate | None:
        """Return the next update to make in the store.

        None if nothing waits, an update is on its way, or the log must be read first.
        """
        if not self.is_current():
            return None
        operations = self._queue.take()
        if not operations:
            return None
        self._made += 1
        batch = ClaimBatch(
            partition=self._identity.partition,
            sequence=self.chain.next_sequence,
            writer=self._identity.writer,
            number=self._made,
            previous=self.chain.last_identity,
            operations=operations,
        )
        return plan_update(self.chain.newest, batch, self._segment_bytes)

    def commit(self, update: SegmentUpdate) -> tuple[Decided, ...]:
        """Take in `update`, which is now in the store; return what its claims are.

        Nothing is decided if the update took too long: the log must be read first.
        """
        batch = update.batch
        if not self.is_current() or batch.sequence != self.chain.next_sequence:
            self.reject()
            return ()
        self._table.apply(batch.operations)
        self.chain.append(batch, update.segment)
        self._queue.finish()
        claims = [one for one in batch.operations if isinstance(one, Claimed)]
        # The owner may have paused since it accepted a claim; the batch with an
        # earlier claim of a key that has expired may have been deleted unread.
        expired_before = self._clock.wall() - get_usable_s(self._lifetime_s)
        return tuple(
            Decided(one, self._table.conclude(one, expired_before)) for one in claims
        )

    def reject(self) -> None:
        """Keep the operations of an update that is not known to be in the store.

        All is undecided until the log has been read again.
        """
        self._queue.restore()
        self._current = False

    def list_obsolete(self) -> tuple[SegmentAge, ...]:
        """Return the segments that may be deleted, to delete in this order."""
        self._table.drop_before(self._clock.wall() - self._lifetime_s)
        return self.chain.list_obsolete()
