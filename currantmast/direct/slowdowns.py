"""Slowdown of a target as it reports it: how much longer work takes at this moment.

It changes within a second, as the target shares its machine, so a report is soon out of
date. Lasting differences between targets are learned apart from it (see `History`).
"""

import math
from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock

# Half-lives in seconds of a reported slowdown. The longer one applies once reports, never
# more than `LASTING_S` apart, have told only slowdowns for `LASTING_S`.
SLOWDOWN_HALF_LIFE_S = 0.3
LASTING_HALF_LIFE_S = 2.0
LASTING_S = 1.0

# Limits of a reported slowdown.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 20.0

# Slowdowns that members tell each other: the newest reports of targets that are slower
# than this or just were, and how many at most.
MIN_TOLD = 1.25
MAX_TOLD = 40
MAX_TOLD_AGE_S = 0.5


class SlowdownReport(msgspec.Struct, frozen=True, array_like=True):
    """Slowdown that a target told a member, as sent in a heartbeat.

    Parameters
    ----------
    percent : int
        Time that work takes, in percent of the usual.
    age_ms : int
        Milliseconds since the target told it.
    """

    percent: int
    age_ms: int


SlowdownReports = dict[str, SlowdownReport]


class Slowdown:
    """The last reported slowdown of a target, which decays to none.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_clock',
        '_factor',
        '_own_at',
        '_reported_at',
        '_slow_since',
        '_was_slow',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._factor: float = 1
        self._reported_at = -math.inf
        # Time of the last report that this instance got itself.
        self._own_at = -math.inf
        # Time of the first of the last reports that all told a slowdown.
        self._slow_since = math.inf
        self._was_slow = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Slowdown {self.factor:.2f}>'

    @property
    def factor(self) -> float:
        """Expected ratio of the time that work takes now to the usual time."""
        age_s = self._clock.now() - self._reported_at
        lasts = self._reported_at - self._slow_since >= LASTING_S
        half_life_s = LASTING_HALF_LIFE_S if lasts else SLOWDOWN_HALF_LIFE_S
        return 1 + (self._factor - 1) * 0.5 ** (age_s / half_life_s)

    def note(self, factor: float | None) -> None:
        """Record a reported slowdown; None when the target reports none."""
        if factor is None:
            return
        self._own_at = self._clock.now()
        self._put(factor, self._own_at)

    def note_peer(self, report: SlowdownReport) -> None:
        """Record what the target told another member, unless a newer report is known."""
        reported_at = self._clock.now() - report.age_ms / 1000
        if reported_at > self._reported_at:
            self._put(report.percent / 100, reported_at)

    def make_report(self) -> SlowdownReport | None:
        """Return the report for the other members; None when they need none."""
        age_s = self._clock.now() - self._own_at
        is_newest = self._own_at == self._reported_at
        is_needed = self._factor >= MIN_TOLD or self._was_slow
        if not is_newest or age_s > MAX_TOLD_AGE_S or not is_needed:
            return None
        return SlowdownReport(round(self._factor * 100), round(age_s * 1000))

    def _put(self, factor: float, reported_at: float) -> None:
        self._was_slow = self._factor >= MIN_TOLD
        if factor < MIN_TOLD:
            self._slow_since = math.inf
        elif reported_at - self._reported_at > LASTING_S or not self._was_slow:
            self._slow_since = reported_at
        self._factor = max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, factor))
        self._reported_at = reported_at


def collect_reports(slowdowns: Iterable[tuple[str, Slowdown]]) -> SlowdownReports:
    """Return the newest reports for the other members, by target id."""
    reports = {name: slowdown.make_report() for name, slowdown in slowdowns}
    told = {name: report for name, report in reports.items() if report is not None}
    newest = sorted(told, key=lambda name: told[name].age_ms)[:MAX_TOLD]
    return {name: told[name] for name in newest}
