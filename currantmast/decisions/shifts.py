"""Planned shifts: which region serves a request from a site."""

from collections.abc import Callable, Iterable

from currantmast.deployment import Shift


def name_shift_budget(shift: Shift) -> str:
    """Return the name of the budget that caps `shift`."""
    return f'shift:{shift.id}'


class FractionSampler:
    """Selects an exact fraction of a sequence, evenly spread.

    Each request adds the fraction to a credit; when the credit reaches one, the
    request is selected and the credit falls by one. Of n requests at most
    ceil(n * fraction) are selected. It uses no random numbers, so that a run can be
    reproduced.
    """

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def select(self, name: str, fraction: float) -> bool:
        """Return whether the next request of the sequence `name` is selected.

        Parameters
        ----------
        name : str
            Name of the sequence; each has its own credit.
        fraction : float
            Part to select, from 0 to 1.
        """
        credit = self._credits.get(name, 0) + fraction
        is_selected = credit >= 1
        self._credits[name] = credit - 1 if is_selected else credit
        return is_selected


def choose_region(
    home: str,
    site: str,
    shifts: Iterable[Shift],
    take: Callable[[Shift], bool],
) -> str:
    """Return the region that serves a request.

    Every moved request takes a token of its shift first, so that a shift never
    exceeds its cap; without a token the request stays at home.

    Parameters
    ----------
    home : str
        Home region of the caller.
    site : str
        Site of the caller.
    shifts : iterable of Shift
        Active shifts.
    take : callable
        Returns whether the request may be moved by a shift: the shift's fraction
        selected it and it took a token; see `ShiftGate`.
    """
    for shift in shifts:
        if shift.site == site and shift.source == home and take(shift):
            return shift.destination
    return home


class ShiftGate:
    """Decides for each request whether a shift may move it.

    Parameters
    ----------
    take : callable
        Takes one unit of the named budget, as `budgets.ShareHolder.take` does.
    """

    __slots__ = ('_sampler', '_take')

    def __init__(self, take: Callable[[str], bool]) -> None:
        self._take = take
        self._sampler = FractionSampler()

    def may_move(self, shift: Shift) -> bool:
        """Return whether the next request may be moved by `shift`.

        Only requests selected by the shift's fraction try to take a token, so that the
        demand on the shift's budget is the rate that the shift would move.
        """
        if not self._sampler.select(shift.id, shift.fraction):
            return False
        return self._take(name_shift_budget(shift))
