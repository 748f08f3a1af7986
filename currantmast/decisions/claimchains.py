"""Sequence of the batches of a claim log, and when its segments may be deleted.

A commit relies on a listing that began less than `STALE_AFTER_S` ago. A segment is only
deleted by an owner that has known its successor for `KNOWN_BEFORE_DELETION_S`, which is
longer. So the successor of any segment deleted before the commit existed when the listing
began: it was listed, or it had been deleted and so had a successor itself. The newest
segment is never deleted. It follows that the newest listed segment is not deleted before
the commit, and that:

- A delayed write may create a deleted segment again, but only under a number below the
  newest listed one. The newest listed segment is therefore not such a copy, and its
  version identifies its content.
- The segment after the newest listed one did not exist before the listing and is not
  deleted before the commit. If another owner has created it, creating it conflicts.

A segment that was created again is ignored, since no later batch refers to its batches.
It holds no sequence numbers beyond those of the segment that it replaces, because a full
segment is never updated.
"""

from collections.abc import Iterable
from itertools import pairwise, takewhile

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.claimrecords import ClaimBatch
from currantmast.decisions.claimsegments import Segment

# A commit must follow the read of the log that it relies on within this time.
STALE_AFTER_S = 60.0
# Time for which an owner must have known a segment's successor before it deletes it;
# longer than STALE_AFTER_S, for the reason above.
KNOWN_BEFORE_DELETION_S = 2 * STALE_AFTER_S


class KnownSegment(msgspec.Struct):
    """A segment that this owner knows, and what decides when it may be deleted.

    Parameters
    ----------
    number, version : int
        Number of the segment, and the version of its object.
    known_at : float
        Monotonic time in seconds when this owner read or wrote it first.
    expires_at : float
        Unix time in seconds from which no host accepts any of its keys.
    """

    number: int
    version: int
    known_at: float
    expires_at: float


class BatchChain:
    """Sequence of the batches of a log, each of which names the one before it.

    Parameters
    ----------
    clock : Clock
        Decides when segments may be deleted.
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
        '_segments',
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
        self._segments: dict[int, KnownSegment] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<BatchChain next={self.next_sequence} segments={len(self._segments)}>'

    def extend(self, segments: Iterable[Segment]) -> list[ClaimBatch]:
        """Add the new batches of segments that were read; return these batches.

        Parameters
        ----------
        segments : iterable of Segment
            Segments from the newest known one on, in any order, including the newest.
        """
        added: list[ClaimBatch] = []
        for segment, batch in reversed(list(self._trace_back(segments))):
            self.append(batch, segment)
            added.append(batch)
        return added

    def append(self, batch: ClaimBatch, segment: Segment) -> None:
        """Add `batch`, which `segment` holds, as the last one."""
        newest_issued_at = max(operation.issued_at for operation in batch.operations)
        known = self._segments.setdefault(
            segment.number, KnownSegment(segment.number, 0, self._clock.now(), 0)
        )
        known.version = segment.version
        known.expires_at = max(known.expires_at, newest_issued_at + self._lifetime_s)
        self.newest = segment
        self.next_sequence = batch.sequence + 1
        self.last_identity = batch.identity

    def list_obsolete(self) -> tuple[KnownSegment, ...]:
        """Return the segments that may be deleted, in the order of deletion.

        The newest segment is never among them: without any, numbers would restart at 0.
        Nor is a segment after one that must be kept: a reader ignores all batches before a
        gap.
        """
        pairs = takewhile(self._is_obsolete, pairwise(self._segments.values()))
        return tuple(known for known, _ in pairs)

    def forget(self, number: int) -> None:
        """Drop a segment that was deleted from the store."""
        self._segments.pop(number, None)

    def _trace_back(
        self, segments: Iterable[Segment]
    ) -> Iterable[tuple[Segment, ClaimBatch]]:
        """Yield the new batches, last one first, by their references to predecessors."""
        expected = None
        for segment in sorted(segments, key=_get_number, reverse=True):
            for batch in reversed(segment.batches):
                is_known = batch.sequence < self.next_sequence
                if is_known or expected not in {None, (batch.sequence, batch.identity)}:
                    return
                yield segment, batch
                expected = (batch.sequence - 1, batch.previous)

    def _is_obsolete(self, pair: tuple[KnownSegment, KnownSegment]) -> bool:
        known, successor = pair
        return (
            known.expires_at < self._clock.wall()
            and successor.known_at < self._clock.now() - KNOWN_BEFORE_DELETION_S
        )


def _get_number(segment: Segment) -> int:
    return segment.number
