"""Work on a target that its owner did not start itself: holds and load reports."""

import math

import msgspec

from currantmast.clocks import Clock

# Seconds for which a load report counts; a target that stops reporting is judged by its
# answers alone.
REPORT_LIFETIME_S = 5

# Seconds by which a load report may lag behind the work that it describes.
REPORT_LAG_S = 2


class LoadReport(msgspec.Struct, frozen=True):
    """Answer of a target to a load query.

    Parameters
    ----------
    running : int
        Requests that the target says it runs.
    slots : int
        Requests that it says it can run at once.
    draining, cold : bool
        Whether it is about to leave, and whether it has just started.
    requested_at : float
        Monotonic time in seconds at which the query was sent.
    """

    running: int
    slots: int
    draining: bool = False
    cold: bool = False
    requested_at: float = 0


class Hold(msgspec.Struct, frozen=True):
    """Slots that count as used without a running request of this owner.

    Parameters
    ----------
    count : int
        Number of slots.
    until : float
        Monotonic time in seconds at which the hold ends by itself.
    releasable_after : float
        Monotonic time in seconds; a load report requested more than `REPORT_LAG_S`
        later may lower `count`. Infinite when no report may.
    """

    count: int
    until: float
    releasable_after: float = math.inf


class HeldSlots:
    """Holds on the slots of one target, by holder."""

    __slots__ = ('_clock', '_holds')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holds: dict[str, Hold] = {}

    def __contains__(self, holder: str) -> bool:
        """Return whether `holder` has a hold that has not ended."""
        hold = self._holds.get(holder)
        return hold is not None and hold.until > self._clock.now()

    def __repr__(self) -> str:
        """Return the number of slots held."""
        return f'<HeldSlots count={self.count()}>'

    def put(self, holder: str, hold: Hold) -> None:
        """Replace the hold of `holder`; a count of 0 ends it."""
        self._holds.pop(holder, None)
        if hold.count > 0:
            self._holds[holder] = hold

    def count(self) -> int:
        """Return the slots held now."""
        now = self._clock.now()
        ended = [holder for holder, hold in self._holds.items() if hold.until <= now]
        for holder in ended:
            self._holds.pop(holder)
        return sum(hold.count for hold in self._holds.values())

    def release(self, unexplained: int, requested_at: float) -> None:
        """Lower releasable holds to what a load report shows.

        Parameters
        ----------
        unexplained : int
            Requests in the report beyond those that the owner itself runs.
        requested_at : float
            Monotonic time in seconds at which the report was asked for.
        """
        for holder, hold in tuple(self._holds.items()):
            if requested_at > hold.releasable_after + REPORT_LAG_S:
                count = min(hold.count, max(0, unexplained))
                self.put(holder, msgspec.structs.replace(hold, count=count))


class ReportedLoad:
    """The newest load report of one target and what it adds to the owner's count.

    A report lags, so work that the owner itself had running since the report before the
    last is taken to be the work it shows; only what exceeds this peak counts as foreign.
    """

    __slots__ = ('_clock', '_foreign', '_peaks', '_report')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._report: LoadReport | None = None
        self._foreign = 0
        # Peaks of the owner's count in the present and the previous report interval.
        self._peaks = (0, 0)

    def __repr__(self) -> str:
        """Return the newest report."""
        return f'<ReportedLoad foreign={self.count_foreign()} {self._report}>'

    def is_late(self, report: LoadReport) -> bool:
        """Return whether a report that was asked for later has been seen."""
        newest = self._report
        return newest is not None and report.requested_at < newest.requested_at

    def observe(self, report: LoadReport, own: int) -> bool:
        """Take `report` into account.

        Parameters
        ----------
        report : LoadReport
            The report.
        own : int
            Slots in use by the owner's count, held ones included.

        Returns
        -------
        bool
            Whether the report shows that the target has ended a drain.
        """
        was_draining = self.is_draining()
        self._report = report
        self._foreign = max(0, report.running - max(own, *self._peaks))
        self._peaks = (own, self._peaks[0])
        return was_draining and not report.draining

    def note_own(self, own: int) -> None:
        """Record the owner's count after it has grown."""
        present, previous = self._peaks
        self._peaks = (max(present, own), previous)

    def count_foreign(self) -> int:
        """Return the requests that the owner's count does not explain."""
        return self._foreign if self._is_fresh() else 0

    def limit_slots(self, slots: int) -> int:
        """Return the usable ones of `slots`.

        A report alone never takes the last slot away: it may be wrong for good, while a
        request that the target sheds shows its true state.
        """
        return min(slots, max(1, self._report.slots)) if self._is_fresh() else slots

    def is_draining(self) -> bool:
        """Return whether the newest report, of any age, announces a drain."""
        return self._report is not None and self._report.draining

    def _is_fresh(self) -> bool:
        if self._report is None:
            return False
        return self._clock.now() - self._report.requested_at <= REPORT_LIFETIME_S
