"""The newest statement of each target, by which entries from an old copy are recognized.

A store that comes back from a copy lists targets as they were some seconds before: those
that have left since are back, and those that are leaving look ready. Targets that live
write their entries again; the others' entries lapse.
"""

import msgspec

from currantmast.direct.model import TargetRecord


class _Statement(msgspec.Struct, frozen=True):
    started_at_ms: int
    sequence: int
    is_removed: bool = False


class TargetSequences:
    """Run and sequence number of the newest entry of each target."""

    __slots__ = ('_newest',)

    def __init__(self) -> None:
        self._newest: dict[str, _Statement] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetSequences {len(self._newest)}>'

    def put(self, record: TargetRecord) -> None:
        """Record the newest entry of a target."""
        self._newest[record.id] = _Statement(record.started_at_ms, record.sequence)

    def remove(self, target_id: str) -> None:
        """Record that the entry of a target was removed."""
        newest = self._newest.get(target_id)
        if newest is not None:
            self._newest[target_id] = msgspec.structs.replace(newest, is_removed=True)

    def is_older(self, record: TargetRecord) -> bool:
        """Return whether a target said something newer than this entry before."""
        newest = self._newest.get(record.id)
        if newest is None or record.started_at_ms > newest.started_at_ms:
            return False
        if record.started_at_ms < newest.started_at_ms:
            return True
        if newest.is_removed:
            return record.sequence <= newest.sequence
        return record.sequence < newest.sequence
