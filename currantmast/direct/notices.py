"""What targets ask of this instance in their answers."""

from currantmast.runtime.logs import log_event


class TargetNotices:
    """Which targets leave.

    A notice belongs to one run of a target, and outlives the absence of its entry.
    """

    __slots__ = ('_leaving',)

    def __init__(self) -> None:
        self._leaving: set[str] = set()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetNotices leaving={len(self._leaving)}>'

    def note_leaving(self, target_id: str) -> None:
        """Record that a target leaves; it gets nothing more in this run."""
        if target_id not in self._leaving:
            self._leaving.add(target_id)
            log_event('target_leaving', target=target_id)

    def forget(self, target_id: str) -> None:
        """Drop the notices of a run that has ended."""
        self._leaving.discard(target_id)

    def allow(self, target_id: str) -> bool:
        """Return whether a target may get requests."""
        return target_id not in self._leaving
