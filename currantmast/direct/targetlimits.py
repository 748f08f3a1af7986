"""Rate limits that targets name in their answers for the requests of the whole fleet."""

from currantmast.runtime.logs import log_event


class TargetLimits:
    """The limits in requests per second that targets name, by target id."""

    __slots__ = ('_rates',)

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of targets that name a limit."""
        return len(self._rates)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<TargetLimits targets={len(self)}>'

    def note_answer(self, target_id: str, rate: float | None) -> None:
        """Record the limit that an answer of a target names, or that it names none."""
        known = self._rates.get(target_id)
        if rate == known:
            return
        log_event('target_limit', target=target_id, rate=rate, before=known)
        if rate is None:
            self._rates.pop(target_id)
        else:
            self._rates[target_id] = rate
