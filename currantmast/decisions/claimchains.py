"""Order of the batches of a claim log, and when its segments may be deleted.

Whoever relies on a read of the log has listed it at most `STALE_AFTER_S` before, and a
segment is deleted only by an owner that has known of its successor for
`KNOWN_BEFORE_DELETION_S`, which is longer. Hence the successor of each segment that is
deleted before such a commit existed when the listing began, and was listed itself or
had been deleted after a successor of its own. The newest segment is never deleted, so the
newest one that was listed is not deleted before the commit:

- An object that a very late write creates again under a deleted number is older than
  the newest segment listed, which is therefore the real one, and its version is unambiguous.
- The segment after it never existed before the listing and is not deleted before the
  commit, so creating it conflicts if another owner has created it.

A segment that was created again is passed over, for no later batch names its batches.
It holds no sequence numbers beyond those of the segment whose place it took, because
nobody writes an update of a full segment.
"""

from collections.abc import Iterable
from itertools import pairwise, takewhile

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimrecords import ClaimBatch
from currantmast.decisions.claimsegments import Segment

# Longest time in seconds from a read of the log to a commit that relies on it.
STALE_AFTER_S = 60.0
# A segment is deleted only by an owner that has known of its successor for this long.
KNOWN_BEFORE_DELETION_S = 2 * STALE_AFTER_S


class SegmentAge(msgspec.Struct):
    """When a segment may be deleted.

    Parameters
    ----------
    number, version : int
        Number of the segment, and the version of its object.
    known_at : float
        Monotonic time in seconds when this owner learned of it.
    expires_at : float
        Unix second from which all its keys are refused.
    """

    number: int
    version: int
    known_at: float
    expires_at: float


class BatchChain:
    """Batches that belong to the log, each naming the one before it.

    Parameters
    ----------
    clock : Clock
        Time of deletions.
    lifetime_s : float
        Lifetime of claims in seconds.

    Attributes
    ----------
    newest : Segment
        Newest segment, as read or written last.
    next_sequence : int
        Sequence number of the next batch.
    last_identity : str
        Identity of the last batch.
    """

    __slots__ = (
        '_ages',
        '_clock',
        '_lifetime_s',
        'last_identity',
        'newest',
        'next_sequence',
    )

    def __init__(self, clock: Clock, lifetime_s: float) -> None:
        self.newest = Segment()
        self.next_sequence = 0
        self.last_identity = ''
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._ages: dict[int, SegmentAge] = {}

    def __repr__(self) -> str:
        """Return the next sequence number and the number of segments."""
        return f'<BatchChain next={self.next_sequence} segments={len(self._ages)}>'

    def extend(self, segments: Iterable[Segment]) -> list[ClaimBatch]:
        """Take in segments that were read; return the batches that are new.

        Parameters
        ----------
        segments : iterable of Segment
            Segments from the newest known one on, in any order, with the newest one.
        """
        added: list[ClaimBatch] = []
        for segment, batch in reversed(list(self._trace_back(segments))):
            self.append(batch, segment)
            added.append(batch)
        return added

    def append(self, batch: ClaimBatch, segment: Segment) -> None:
        """Take `batch`, which is in `segment`, as the last one."""
        newest = max(operation.issued_at for operation in batch.operations)
        age = self._ages.setdefault(
            segment.number, SegmentAge(segment.number, 0, self._clock.now(), 0)
        )
        age.version = segment.version
        age.expires_at = max(age.expires_at, newest + self._lifetime_s)
        self.newest = segment
        self.next_sequence = batch.sequence + 1
        self.last_identity = batch.identity

    def list_obsolete(self) -> tuple[SegmentAge, ...]:
        """Return the segments that may be deleted, to delete in this order.

        The newest segment is never among them: it keeps the numbers from starting anew.
        Nor is a segment that follows one to be kept, for the log ends at a gap.
        """
        pairs = takewhile(self._is_obsolete, pairwise(self._ages.values()))
        return tuple(age for age, _ in pairs)

    def forget(self, number: int) -> None:
        """Forget a segment that was deleted from the store."""
        self._ages.pop(number, None)

    def _trace_back(
        self, segments: Iterable[Segment]
    ) -> Iterable[tuple[Segment, ClaimBatch]]:
        """Yield the new batches from the last one back to the first."""
        expected = None
        for segment in sorted(segments, key=_get_number, reverse=True):
            for batch in reversed(segment.batches):
                known = batch.sequence < self.next_sequence
                if known or expected not in {None, (batch.sequence, batch.identity)}:
                    return
                yield segment, batch
                expected = (batch.sequence - 1, batch.previous)

    def _is_obsolete(self, pair: tuple[SegmentAge, SegmentAge]) -> bool:
        age, successor = pair
        return (
            age.expires_at < self._clock.wall()
            and successor.known_at < self._clock.now() - KNOWN_BEFORE_DELETION_S
        )


def _get_number(segment: Segment) -> int:
    return segment.number
