"""Health of a target as its answers show it: slow start, shedding and ejection."""

import math
from enum import Enum

from currantmast.clocks import Clock
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason

# Consecutive failures that eject a target.
EJECT_AFTER = 3

# Seconds of the first ejection; doubled by each failed probe up to the longest.
FIRST_EJECTION_S = 1
LONGEST_EJECTION_S = 30

# Seconds after which a target in use gains a slot even if no request has ended, so that
# long uploads don't keep it at one slot.
RAMP_STEP_S = 2

# Seconds for which a shed answer limits a target to the work that it then ran.
SHED_S = 1

# Seconds in which the penalty for failures halves.
PENALTY_HALF_LIFE_S = 5

SERVER_ERROR = 500

# Failures that say something about the target rather than about the request.
TARGET_FAULTS = frozenset(
    (Reason.unreachable, Reason.connection_lost, Reason.answer_incomplete)
)


class Verdict(Enum):
    """What the end of a request says about its target."""

    success = 'success'
    failure = 'failure'
    slow = 'slow'
    shed = 'shed'
    neutral = 'neutral'


class TargetHealth:
    """Limit on the slots of one target, learnt from how requests end.

    Parameters
    ----------
    clock : Clock
        Source of time.
    slots : int
        Slots of the target.
    warm : bool
        Whether to start with all slots.
    """

    __slots__ = (
        '_clock',
        '_cold',
        '_ejected_until',
        '_failures',
        '_level',
        '_penalty',
        '_ramp',
        '_shed',
        '_slots',
        '_stepped_at',
    )

    def __init__(self, clock: Clock, slots: int, *, warm: bool = False) -> None:
        self._clock = clock
        self._slots = slots
        self._ramp = slots if warm else 1
        self._stepped_at = clock.now()
        self._failures = 0
        self._level = 0
        self._ejected_until = -math.inf
        # Limit and the time at which it ends.
        self._shed = (slots, -math.inf)
        # Penalty and the time at which it had this value.
        self._penalty: tuple[float, float] = (0, clock.now())
        self._cold = False

    def __repr__(self) -> str:
        """Return the state."""
        return (
            f'<TargetHealth limit={self.limit_slots()} '
            f'penalty={self.count_penalty()} ejected={self.is_ejected()}>'
        )

    def observe(self, result: Outcome, running: int) -> None:
        """Learn from the end of a request.

        Parameters
        ----------
        result : Outcome
            How the request ended.
        running : int
            Requests that still run on the target.
        """
        match classify_result(result):
            case Verdict.success:
                self._observe_success()
            case Verdict.failure:
                self._observe_failure()
            case Verdict.slow:
                self._add_penalty()
            case Verdict.shed:
                self._add_penalty()
                self._shed = (running, self._clock.now() + SHED_S)

    def observe_cold(self, cold: bool) -> None:
        """Return to one slot when a target reports that it has just started."""
        if cold and not self._cold:
            self.restart()
        self._cold = cold

    def restart(self) -> None:
        """Begin the slow start again."""
        self._ramp = 1
        self._stepped_at = self._clock.now()

    def is_ejected(self) -> bool:
        """Return whether the target takes no work after consecutive failures."""
        return self._clock.now() < self._ejected_until

    def limit_slots(self) -> int:
        """Return the most requests that may run at once."""
        now = self._clock.now()
        if now < self._ejected_until:
            return 0
        limit, until = self._shed
        return self._ramp if now >= until else min(limit, self._ramp)

    def count_penalty(self) -> int:
        """Return by how many slots recent failures lower the preference."""
        return round(self._decay_penalty())

    def advance_ramp(self, running: int) -> None:
        """Add a slot to a target that has worked for `RAMP_STEP_S` without a failure."""
        now = self._clock.now()
        if not running or self._failures or self._cold:
            self._stepped_at = now
        elif now - self._stepped_at >= RAMP_STEP_S:
            self._step_ramp()

    def _observe_success(self) -> None:
        # A request that began before the ejection doesn't replace the probe.
        if self.is_ejected():
            return
        self._failures = 0
        self._step_ramp()
        if self._ramp >= self._slots:
            self._level = 0

    def _observe_failure(self) -> None:
        self._failures += 1
        self._add_penalty()
        self._stepped_at = self._clock.now()
        if self._failures >= EJECT_AFTER and not self.is_ejected():
            backoff_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self._level)
            self._ejected_until = self._clock.now() + backoff_s
            self._level += 1
            self.restart()

    def _step_ramp(self) -> None:
        self._ramp = min(self._slots, self._ramp + 1)
        self._stepped_at = self._clock.now()

    def _add_penalty(self) -> None:
        self._penalty = (self._decay_penalty() + 1, self._clock.now())

    def _decay_penalty(self) -> float:
        penalty, since = self._penalty
        return penalty * 0.5 ** ((self._clock.now() - since) / PENALTY_HALF_LIFE_S)


def classify_result(result: Outcome) -> Verdict:
    """Return what `result` says about the target that gave it."""
    match result:
        case Done(status):
            return Verdict.failure if status >= SERVER_ERROR else Verdict.success
        case NotRun(Reason.target_shed):
            return Verdict.shed
        case OutcomeUnknown(Reason.deadline):
            return Verdict.slow
        case NotRun(reason) | OutcomeUnknown(reason):
            return Verdict.failure if reason in TARGET_FAULTS else Verdict.neutral
