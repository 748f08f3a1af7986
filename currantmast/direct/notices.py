"""What targets ask of this instance in their answers: to send nothing, or nothing yet."""

from currantmast.clocks import Clock
from currantmast.runtime.logs import log_event

# Longest time in seconds for which a target is left alone at its request.
MAX_PAUSE_S = 3600.0


class TargetNotices:
    """Which targets leave, and until when others want no request from this instance.

    A notice belongs to one run of a target, and outlives the absence of its entry.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_leaving', '_paused_until')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: set[str] = set()
        self._paused_until: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetNotices leaving={len(self._leaving)}>'

    def note_leaving(self, target_id: str) -> None:
        """Record that a target leaves; it gets nothing more in this run."""
        if target_id not in self._leaving:
            self._leaving.add(target_id)
            log_event('target_leaving', target=target_id)

    def note_pause(self, target_id: str, seconds: float) -> bool:
        """Record that a target wants nothing from this instance for some seconds.

        Returns
        -------
        bool
            Whether that is longer than known before.
        """
        until = self._clock.now() + min(MAX_PAUSE_S, seconds)
        is_longer = until > self._paused_until.get(target_id, 0)
        if is_longer:
            self._paused_until[target_id] = until
            log_event('target_paused', target=target_id, for_s=seconds)
        return is_longer

    def forget(self, target_id: str) -> None:
        """Drop the notices of a run that has ended."""
        self._leaving.discard(target_id)
        self._paused_until.pop(target_id, None)

    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target said that it leaves."""
        return target_id in self._leaving

    def get_pause(self, target_id: str) -> float:
        """Return for how many seconds a target still wants nothing; 0 if it does."""
        until = self._paused_until.get(target_id)
        return max(0, until - self._clock.now()) if until else 0
