"""Order of the batches of a claim log, and when they may be deleted."""

from collections.abc import Iterable
from itertools import takewhile

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimrecords import ClaimBatch

# Longest time in seconds from a read of the log to a commit that relies on it.
STALE_AFTER_S = 60.0
# A batch is deleted only by an owner that has known of it for this long. Whoever relies
# on a read has then seen it too, so an absent sequence number proves that nothing was
# appended, even if a write was delayed for longer than the lifetime of its claims.
KNOWN_BEFORE_DELETION_S = 2 * STALE_AFTER_S


class BatchAge(msgspec.Struct, frozen=True):
    """When a batch may be deleted.

    Parameters
    ----------
    sequence : int
        Sequence number of the batch.
    known_at : float
        Monotonic time in seconds when this owner learned of it.
    expires_at : float
        Unix second from which all its keys are refused.
    """

    sequence: int
    known_at: float
    expires_at: float


class BatchChain:
    """Batches that belong to the log, each naming the one before it.

    A write that takes effect very late can create an object again whose sequence
    number was deleted. No later batch names it, so it is passed over.

    Parameters
    ----------
    clock : Clock
        Time of deletions.
    lifetime_s : float
        Lifetime of claims in seconds.
    """

    __slots__ = ('_ages', '_clock', '_lifetime_s', 'last_identity', 'next_sequence')

    def __init__(self, clock: Clock, lifetime_s: float) -> None:
        self.next_sequence = 0
        self.last_identity = ''
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._ages: dict[int, BatchAge] = {}

    def __repr__(self) -> str:
        """Return the next sequence number and the number of batches."""
        return f'<BatchChain next={self.next_sequence} batches={len(self._ages)}>'

    def select(self, batches: Iterable[ClaimBatch]) -> list[ClaimBatch]:
        """Return the batches that follow the last one and belong to the log."""
        by_sequence = {batch.sequence: batch for batch in batches}
        selected: list[ClaimBatch] = []
        sequence = max(by_sequence, default=-1)
        batch = by_sequence.get(sequence)
        while batch is not None and batch.sequence >= self.next_sequence:
            selected.append(batch)
            previous = by_sequence.get(batch.sequence - 1)
            named = previous is not None and previous.identity == batch.previous
            batch = previous if named else None
        return list(reversed(selected))

    def append(self, batch: ClaimBatch) -> None:
        """Take `batch` as the last one."""
        newest = max(operation.issued_at for operation in batch.operations)
        self._ages[batch.sequence] = BatchAge(
            sequence=batch.sequence,
            known_at=self._clock.now(),
            expires_at=newest + self._lifetime_s,
        )
        self.next_sequence = batch.sequence + 1
        self.last_identity = batch.identity

    def list_obsolete(self) -> tuple[int, ...]:
        """Return the sequence numbers that may be deleted, to delete in this order.

        The last batch is never among them: it keeps the numbers from starting anew.
        Nor is a batch that follows one to be kept, for the log ends at a gap.
        """
        ages = takewhile(self._is_obsolete, self._ages.values())
        return tuple(age.sequence for age in ages)

    def forget(self, sequence: int) -> None:
        """Forget a batch that was deleted from the store."""
        self._ages.pop(sequence, None)

    def _is_obsolete(self, age: BatchAge) -> bool:
        return (
            age.expires_at < self._clock.wall()
            and age.known_at < self._clock.now() - KNOWN_BEFORE_DELETION_S
            and age.sequence < self.next_sequence - 1
        )
