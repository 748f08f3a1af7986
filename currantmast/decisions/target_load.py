"""Requests on a target that its owner did not start, from holds and load reports."""

import math

import msgspec

from currantmast.clocks import Clock

# Seconds for which a load report is used. If a target stops reporting, only its answers
# determine how it is used.
REPORT_LIFETIME_S = 5

# Maximum delay in seconds between a change of the load and the reports that show it.
REPORT_LAG_S = 2


class LoadReport(msgspec.Struct, frozen=True):
    """Answer of a target to a load query.

    Parameters
    ----------
    running : int
        Number of requests that the target reports as running.
    slots : int
        Number of requests that it reports it can run concurrently.
    draining : bool
        Whether it is draining and wants no new requests.
    cold : bool
        Whether it has just started.
    requested_at : float
        Monotonic time in seconds at which the query was sent.
    """

    running: int
    slots: int
    draining: bool = False
    cold: bool = False
    requested_at: float = 0


class Hold(msgspec.Struct, frozen=True):
    """Slots that count as in use although this owner runs no request in them.

    A previous owner, or a request with an unknown outcome, may still use them.

    Parameters
    ----------
    count : int
        Number of slots.
    until : float
        Monotonic time in seconds at which the hold ends.
    releasable_after : float
        Monotonic time in seconds. Load reports requested more than `REPORT_LAG_S` later
        may lower `count`; infinity if no report may.
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
        """Return a short description for debugging."""
        return f'<HeldSlots count={self.count()}>'

    def put(self, holder: str, hold: Hold) -> None:
        """Replace the hold of `holder`; a count of 0 ends it."""
        self._holds.pop(holder, None)
        if hold.count > 0:
            self._holds[holder] = hold

    def count(self) -> int:
        """Remove holds that have ended and return the number of slots still held."""
        now = self._clock.now()
        ended = [holder for holder, hold in self._holds.items() if hold.until <= now]
        for holder in ended:
            self._holds.pop(holder)
        return sum(hold.count for hold in self._holds.values())

    def release(self, excess: int, requested_at: float) -> None:
        """Lower holds that a load report shows to be too high.

        Parameters
        ----------
        excess : int
            Requests in the report in excess of those that the owner itself runs.
        requested_at : float
            Monotonic time in seconds at which the report was requested.
        """
        for holder, hold in tuple(self._holds.items()):
            if requested_at > hold.releasable_after + REPORT_LAG_S:
                count = min(hold.count, max(0, excess))
                self.put(holder, msgspec.structs.replace(hold, count=count))


class ReportedLoad:
    """The newest load report of one target and the foreign requests that it shows.

    Foreign requests are those that the owner does not know of. Reports lag behind the
    load, so a report may still show requests of the owner that have ended. Therefore only
    requests above the peak of the owner's count since the report before the previous one
    count as foreign.
    """

    __slots__ = ('_clock', '_foreign', '_peaks', '_report')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._report: LoadReport | None = None
        self._foreign = 0
        # Peaks of the owner's count in the current and the previous report interval.
        self._peaks = (0, 0)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ReportedLoad foreign={self.count_foreign()} {self._report}>'

    def is_superseded(self, report: LoadReport) -> bool:
        """Return whether a report that was requested later has been applied already."""
        newest = self._report
        return newest is not None and report.requested_at < newest.requested_at

    def observe(self, report: LoadReport, own: int) -> bool:
        """Replace the report and count the foreign requests.

        Parameters
        ----------
        report : LoadReport
            The new report.
        own : int
            Number of slots in use as counted by the owner, held slots included.

        Returns
        -------
        bool
            Whether the target was draining before and no longer is.
        """
        was_draining = self.is_draining()
        self._report = report
        self._foreign = max(0, report.running - max(own, *self._peaks))
        self._peaks = (own, self._peaks[0])
        return was_draining and not report.draining

    def record_own_count(self, own: int) -> None:
        """Update the peak after the owner's count has grown."""
        current, previous = self._peaks
        self._peaks = (max(current, own), previous)

    def count_foreign(self) -> int:
        """Return the number of foreign requests; 0 if the report is too old."""
        return self._foreign if self._is_recent() else 0

    def limit_slots(self, slots: int) -> int:
        """Return how many of `slots` are usable according to the report.

        A report never takes the last slot away, since reports may be wrong permanently. A
        request shows the true state, because the target sheds it if it has no capacity.
        """
        return min(slots, max(1, self._report.slots)) if self._is_recent() else slots

    def is_draining(self) -> bool:
        """Return whether the newest report, of any age, says that the target is draining."""
        return self._report is not None and self._report.draining

    def _is_recent(self) -> bool:
        if self._report is None:
            return False
        return self._clock.now() - self._report.requested_at <= REPORT_LIFETIME_S
