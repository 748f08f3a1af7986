"""The runs of targets that are listed, or were a short time ago.

An entry may be missing for a moment although its target serves on, for example after an
outage of the store. What a target said of itself must not be forgotten meanwhile.
"""

from currantmast.clocks import Clock

# Seconds for which the run of a target without an entry is kept.
KEPT_S = 30.0


class ListedRuns:
    """The last listed run of each target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_started', '_unlisted')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Start time of each run in Unix milliseconds, by target id.
        self._started: dict[str, int] = {}
        # Targets without an entry, and since when.
        self._unlisted: dict[str, float] = {}

    def __contains__(self, target_id: str) -> bool:
        """Return whether a target is listed, or was a short time ago."""
        return target_id in self._started

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ListedRuns {len(self._started)}>'

    def put(self, target_id: str, started_at_ms: int) -> bool:
        """Record the run of a target that is listed; return whether it is a new one."""
        self._unlisted.pop(target_id, None)
        is_new = self._started.get(target_id) != started_at_ms
        self._started[target_id] = started_at_ms
        return is_new

    def remove(self, target_id: str) -> tuple[str, ...]:
        """Record that a target isn't listed; return those whose time has passed."""
        now = self._clock.now()
        self._unlisted.setdefault(target_id, now)
        gone = tuple(
            known for known, since in self._unlisted.items() if now - since > KEPT_S
        )
        for known in gone:
            self._unlisted.pop(known)
            self._started.pop(known, None)
        return gone
