"""The newest statement of each target, by which entries from an old copy are recognized.

A store that comes back from a copy lists targets as they were some seconds before: those
that have left since are back, and those that are leaving look ready. Targets that live
write their entries again; the others' entries lapse.
"""

from collections import deque

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.model import TargetRecord

# Seconds for which removed entries are remembered: longer than copies of the store are old.
REMEMBERED_S = 300.0


class _Statement(msgspec.Struct, frozen=True):
    started_at_ms: int
    sequence: int
    removed_at: float | None = None


class TargetSequences:
    """Run and sequence number of the newest entry of each target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_newest', '_removed')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest: dict[str, _Statement] = {}
        # Removed targets, the first ones first; some may have been listed again since.
        self._removed: deque[str] = deque()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetSequences {len(self._newest)}>'

    def put(self, record: TargetRecord) -> None:
        """Record the newest entry of a target."""
        self._newest[record.id] = _Statement(record.started_at_ms, record.sequence)

    def remove(self, target_id: str) -> None:
        """Record that the entry of a target was removed."""
        newest = self._newest.get(target_id)
        if newest is None or newest.removed_at is not None:
            return
        now = self._clock.now()
        self._newest[target_id] = msgspec.structs.replace(newest, removed_at=now)
        self._removed.append(target_id)
        self._forget_old(now - REMEMBERED_S)

    def is_older(self, record: TargetRecord) -> bool:
        """Return whether a target said something newer than this entry before."""
        newest = self._newest.get(record.id)
        if newest is None or record.started_at_ms > newest.started_at_ms:
            return False
        if record.started_at_ms < newest.started_at_ms:
            return True
        if newest.removed_at is not None:
            return record.sequence <= newest.sequence
        return record.sequence < newest.sequence

    def _forget_old(self, oldest: float) -> None:
        while self._removed:
            first = self._newest.get(self._removed[0])
            if first and first.removed_at is not None and first.removed_at >= oldest:
                return
            target_id = self._removed.popleft()
            if first and first.removed_at is not None:
                self._newest.pop(target_id)
