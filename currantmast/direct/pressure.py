"""Log lines when a process begins and ends to lack memory."""

from currantmast.direct.memory import MemoryBudget
from currantmast.runtime.logs import log_event


class PressureReport:
    """Writes one line when pressure on the memory budget begins, and one when it ends.

    Parameters
    ----------
    budget : MemoryBudget
        Budget to watch.
    """

    __slots__ = ('_budget', '_is_reported')

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._is_reported = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<PressureReport pressed={self._is_reported}>'

    def update(self) -> None:
        """Write a line if pressure has begun or ended since the last call."""
        budget = self._budget
        budget.end_pressure()
        if budget.is_pressed == self._is_reported:
            return
        self._is_reported = budget.is_pressed
        log_event(
            'memory_pressure' if budget.is_pressed else 'memory_pressure_ended',
            level='WARNING' if budget.is_pressed else 'INFO',
            held=budget.held,
            limit=budget.limit,
            refused=budget.refused_count,
            closed=budget.closed_count,
        )
