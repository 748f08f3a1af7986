"""Ejection of failing targets until a probe succeeds."""

from currantmast.clocks import Clock

# Seconds until the first probe of an ejected target, and their limit: each failed probe
# doubles them.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


class Ejection:
    """Ejection of a failing target, which gets no requests until a probe succeeds.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_backoff_s', '_clock', '_probing', '_until')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoff_s = MIN_EJECTION_S
        self._probing = False
        self._until: float = 0

    def __bool__(self) -> bool:
        """Return whether the target is ejected."""
        return self._until > 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Ejection ejected={bool(self)}>'

    def begin(self) -> None:
        """Eject the target."""
        if not self:
            self._until = self._clock.now() + self._backoff_s

    def begin_probe(self) -> bool:
        """Return whether a probe is due; the calling code must then make it."""
        due = bool(self) and not self._probing and self._until <= self._clock.now()
        self._probing = self._probing or due
        return due

    def end_probe(self, healthy: bool) -> None:
        """Record the result of a probe: end the ejection, or double its backoff."""
        self._probing = False
        self._backoff_s = min(MAX_EJECTION_S, self._backoff_s * 2)
        self._until = self._clock.now() + self._backoff_s
        if healthy:
            self._until = 0
            self._backoff_s = MIN_EJECTION_S
