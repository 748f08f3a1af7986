"""State of each key in a claim log, and the operations still to be written to it."""

from collections.abc import Iterable

from currantmast.decisions.claimrecords import (
    Answered,
    Claimed,
    Fresh,
    InProgress,
    Operation,
    RecordedAnswer,
    Released,
    Repeated,
    Unavailable,
)

# Operations in one batch. With answers of 2 KB a batch stays below half a megabyte.
MAX_OPERATIONS = 200

Decision = Fresh | Repeated | InProgress | Unavailable


class _Entry:
    """State of one key: who holds it, and the recorded answer."""

    __slots__ = ('answer', 'holder', 'issued_at', 'released')

    def __init__(self, issued_at: int) -> None:
        self.issued_at = issued_at
        self.holder = ''
        self.answer: RecordedAnswer | None = None
        # Kept, since a claim that is written after its release must not count.
        self.released: set[str] = set()

    def apply(self, operation: Operation) -> None:
        """Apply one operation of the log."""
        match operation:
            case Claimed(_, attempt) if not self.holder:
                self.holder = '' if attempt in self.released else attempt
            case Released(_, attempt):
                self.released.add(attempt)
                if self.holder == attempt and self.answer is None:
                    self.holder = ''
            case Answered(_, attempt, _, answer) if self.holder == attempt:
                self.answer = self.answer or answer


class ClaimTable:
    """State of all keys after the batches applied so far."""

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries: dict[bytes, _Entry] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ClaimTable keys={len(self._entries)}>'

    def apply(self, operations: Iterable[Operation]) -> None:
        """Apply the operations of a batch in order."""
        for operation in operations:
            entry = self._entries.get(operation.digest)
            if entry is None:
                entry = _Entry(operation.issued_at)
                self._entries[operation.digest] = entry
            entry.apply(operation)

    def decide(self, digest: bytes) -> Repeated | InProgress | None:
        """Return why a key can't be claimed now; None if no attempt holds it."""
        entry = self._entries.get(digest)
        if entry is None or not entry.holder:
            return None
        return Repeated(entry.answer) if entry.answer else InProgress()

    def decide_committed(self, claimed: Claimed, expired_before: float) -> Decision:
        """Return the decision on a claim whose batch is in the log.

        Keys issued before `expired_before` (Unix time in seconds) are refused.
        """
        if claimed.issued_at < expired_before:
            return Unavailable('the request key has expired')
        entry = self._entries[claimed.digest]
        if entry.holder == claimed.attempt and entry.answer is None:
            return Fresh()
        return self.decide(claimed.digest) or Unavailable('released before')

    def drop_before(self, issued_at: float) -> None:
        """Drop the keys issued before `issued_at` (Unix time in seconds)."""
        old = [
            digest
            for digest, entry in self._entries.items()
            if entry.issued_at < issued_at
        ]
        for digest in old:
            self._entries.pop(digest)


class OperationQueue:
    """Operations that are not yet known to be in the log."""

    __slots__ = ('_in_flight', '_maybe_written', '_waiting')

    def __init__(self) -> None:
        self._waiting: list[Operation] = []
        self._in_flight: tuple[Operation, ...] = ()
        self._maybe_written: set[Claimed] = set()

    def __len__(self) -> int:
        """Return the number of operations."""
        return len(self._waiting) + len(self._in_flight)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<OperationQueue operations={len(self)}>'

    def has_claim(self, digest: bytes) -> bool:
        """Return whether a claim of the key is still undecided."""
        return any(
            isinstance(operation, Claimed) and operation.digest == digest
            for operation in (*self._in_flight, *self._waiting)
        )

    def add(self, operation: Operation) -> None:
        """Append an operation."""
        self._waiting.append(operation)

    def withdraw(self, claimed: Claimed) -> bool:
        """Remove a queued claim; return whether it certainly isn't in the log.

        False for a claim that an earlier update may have written, or that isn't queued.
        """
        if claimed not in self._waiting:
            return False
        self._waiting.remove(claimed)
        maybe_written = claimed in self._maybe_written
        self._maybe_written.discard(claimed)
        return not maybe_written

    def take(self) -> tuple[Operation, ...]:
        """Return the operations of the next batch; empty if one is in flight."""
        if self._in_flight:
            return ()
        self._in_flight = tuple(self._waiting[:MAX_OPERATIONS])
        self._waiting = self._waiting[MAX_OPERATIONS:]
        claims = (one for one in self._in_flight if isinstance(one, Claimed))
        self._maybe_written.update(claims)
        return self._in_flight

    def finish(self) -> None:
        """Drop the operations in flight, which are now in the log."""
        self._maybe_written.difference_update(self._in_flight)
        self._in_flight = ()

    def restore(self) -> None:
        """Queue the operations in flight again, in case they aren't in the log."""
        self._waiting = [*self._in_flight, *self._waiting]
        self._in_flight = ()
