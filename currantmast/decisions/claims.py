"""Decisions on claims: at most one execution for each request key."""

from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimchains import STALE_AFTER_S, BatchChain
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
from currantmast.decisions.claimtables import ClaimTable, Decision, OperationQueue
from currantmast.outcomes import NotRun


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

    The store keeps one object for each batch, created only if absent. Whoever commits
    the batch of a sequence number has read all batches before it, and the first claim
    of a key in the log holds it, so at most one attempt is told that it is fresh.
    Safety does not depend on who owns the partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    clock : Clock
        Time of staleness and lifetimes.
    lifetime_s : float
        Lifetime of claims in seconds.
    writer : str
        Instance and incarnation of this owner; makes its batches unique.

    Attributes
    ----------
    chain : BatchChain
        Sequence numbers of the batches.
    """

    __slots__ = (
        '_clock',
        '_current',
        '_identity',
        '_lifetime_s',
        '_made',
        '_queue',
        '_read_at',
        '_table',
        'chain',
    )

    def __init__(
        self, partition: int, clock: Clock, lifetime_s: float, writer: str = ''
    ) -> None:
        self._identity = LogIdentity(partition, writer)
        self._clock = clock
        self._lifetime_s = lifetime_s
        self.chain = BatchChain(clock, lifetime_s)
        self._table = ClaimTable()
        self._queue = OperationQueue()
        self._made = 0
        self._current = False
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

    def has_work(self) -> bool:
        """Return whether operations wait to be written."""
        return len(self._queue) > 0

    def load(self, batches: Iterable[ClaimBatch], read_at: float) -> None:
        """Take in what the store holds; claims can then be decided.

        Parameters
        ----------
        batches : iterable of ClaimBatch
            Batches from ``chain.next_sequence`` on, in any order. The one with the highest
            sequence number that was listed must be among them.
        read_at : float
            Monotonic time in seconds when the listing began.
        """
        for batch in self.chain.select(batches):
            self._take_in(batch)
        self._read_at = read_at
        self._current = True

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

    def make_batch(self) -> ClaimBatch | None:
        """Return the next batch to create in the store if absent.

        None if nothing waits, a batch is on its way, or the log must be read first.
        """
        if not self.is_current():
            return None
        operations = self._queue.take()
        if not operations:
            return None
        self._made += 1
        return ClaimBatch(
            partition=self._identity.partition,
            sequence=self.chain.next_sequence,
            writer=self._identity.writer,
            number=self._made,
            previous=self.chain.last_identity,
            operations=operations,
        )

    def commit(self, batch: ClaimBatch) -> tuple[Decided, ...]:
        """Take in `batch`, which is now in the store; return what its claims are.

        Nothing is decided if the batch took too long: the log must be read first.
        """
        if not self.is_current() or batch.sequence != self.chain.next_sequence:
            self.reject(batch)
            return ()
        self._take_in(batch)
        self._queue.finish()
        claims = [one for one in batch.operations if isinstance(one, Claimed)]
        # The owner may have paused since it accepted a claim; the batch with an
        # earlier claim of a key that has expired may have been deleted unread.
        expired_before = self._clock.wall() - get_usable_s(self._lifetime_s)
        return tuple(
            Decided(one, self._table.conclude(one, expired_before)) for one in claims
        )

    def reject(self, batch: ClaimBatch) -> None:
        """Keep the operations of `batch`, which is not known to be in the store.

        All is undecided until the log has been read again.
        """
        self._queue.restore()
        self._current = False

    def list_obsolete(self) -> tuple[int, ...]:
        """Return the sequence numbers that may be deleted, to delete in this order."""
        self._table.drop_before(self._clock.wall() - self._lifetime_s)
        return self.chain.list_obsolete()

    def _take_in(self, batch: ClaimBatch) -> None:
        self._table.apply(batch.operations)
        self.chain.append(batch)
