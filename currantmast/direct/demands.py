"""What members announce of their demand under the limits of the fleet."""

from collections.abc import Mapping

import msgspec

from currantmast.decisions.buckets import DEMAND_TIME_CONSTANT_S


class DemandReport(msgspec.Struct, frozen=True):
    """Demand and admissions that one member announced in its last heartbeat.

    Parameters
    ----------
    member, incarnation : str
        Id of the member, and the token of its run.
    demands : dict of float
        Requests per second, by name of the limit; a missing one means none.
    admitted : dict of int
        Requests admitted since its start, by name of the limit.
    recent : bool
        Whether the announcement is recent; False means that the member is silent.
    age_s : float
        Seconds since the announcement arrived.
    """

    member: str
    incarnation: str
    demands: Mapping[str, float]
    admitted: Mapping[str, int] = {}
    recent: bool = True
    age_s: float = 0


class CountedAdmissions:
    """Admissions of one run of another member, as far as they have been counted.

    Parameters
    ----------
    incarnation : str
        Token of the run.
    since_start : bool
        Whether the run was followed from its start.
    """

    __slots__ = ('incarnation', 'since_start', 'totals')

    def __init__(self, incarnation: str, *, since_start: bool) -> None:
        self.incarnation = incarnation
        self.since_start = since_start
        self.totals: dict[str, int] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CountedAdmissions {self.incarnation} limits={len(self.totals)}>'

    def update(self, report: DemandReport) -> dict[str, int]:
        """Return the admissions by name that `report` adds, and count them."""
        added: dict[str, int] = {}
        for name, total in report.admitted.items():
            counted = self.totals.get(name)
            self.totals[name] = total
            if counted is None:
                added[name] = self._estimate_recent(report, name)
            else:
                added[name] = max(0, total - counted)
        return added

    def _estimate_recent(self, report: DemandReport, name: str) -> int:
        """Return how many of a total were admitted recently, when no earlier one is known.

        Limits are left out of announcements while nothing is admitted under them.
        """
        total = report.admitted[name]
        if self.since_start:
            return total
        recent = round(report.demands.get(name, 0) * DEMAND_TIME_CONSTANT_S)
        return min(total, max(1, recent))
