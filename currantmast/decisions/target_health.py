"""Passive health checks of a target: slow start, load shedding and ejection.

In slow start a target may use one slot at first, and one more after each success.
"""

import math
from enum import Enum

from currantmast.clocks import Clock
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason

# Number of consecutive failures after which a target is ejected.
EJECT_AFTER = 3

# Duration in seconds of the first ejection. The first request after an ejection is a probe;
# each failed probe doubles the duration, up to the maximum.
FIRST_EJECTION_S = 1
MAX_EJECTION_S = 30

# Seconds after which a target in use gains a slot in slow start even if no request has
# ended, so that long uploads don't keep it at one slot.
RAMP_STEP_S = 2

# Seconds for which a target that shed a request is limited to the requests then running.
SHED_LIMIT_S = 1

# Half-life in seconds of the penalty for failures.
PENALTY_HALF_LIFE_S = 5

SERVER_ERROR = 500

# Reasons of failures that are caused by the target rather than by the request.
TARGET_FAILURES = frozenset(
    (Reason.unreachable, Reason.connection_lost, Reason.answer_incomplete)
)


class HealthSignal(Enum):
    """What the outcome of a request says about the health of its target.

    `slow` means that the deadline passed, `shed` that the target refused the request because
    of its load, and `neutral` that the outcome says nothing.
    """

    success = 'success'
    failure = 'failure'
    slow = 'slow'
    shed = 'shed'
    neutral = 'neutral'


class TargetHealth:
    """Limits the slots of one target according to the outcomes of its requests.

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
    slots : int
        Number of slots of the target.
    warm : bool
        Whether to skip the slow start and begin with all slots.
    """

    __slots__ = (
        '_backoff_exponent',
        '_clock',
        '_cold',
        '_ejected_until',
        '_failures',
        '_penalty',
        '_ramp',
        '_shed_limit',
        '_slots',
        '_step_started_at',
    )

    def __init__(self, clock: Clock, slots: int, *, warm: bool = False) -> None:
        self._clock = clock
        self._slots = slots
        # Slots that the slow start allows at present.
        self._ramp = slots if warm else 1
        self._step_started_at = clock.now()
        self._failures = 0
        self._backoff_exponent = 0
        self._ejected_until = -math.inf
        # Limit in slots, and the monotonic time in seconds until which it applies.
        self._shed_limit = (slots, -math.inf)
        # Penalty in slots, and the monotonic time in seconds at which it had this value.
        self._penalty: tuple[float, float] = (0, clock.now())
        self._cold = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return (
            f'<TargetHealth limit={self.limit_slots()} '
            f'penalty={self.count_penalty()} ejected={self.is_ejected()}>'
        )

    def observe(self, result: Outcome, running: int) -> None:
        """Update the limits after the end of a request.

        Parameters
        ----------
        result : Outcome
            Outcome of the request.
        running : int
            Number of requests that still run on the target.
        """
        match classify_result(result):
            case HealthSignal.success:
                self._observe_success()
            case HealthSignal.failure:
                self._observe_failure()
            case HealthSignal.slow:
                self._add_penalty()
            case HealthSignal.shed:
                self._add_penalty()
                self._shed_limit = (running, self._clock.now() + SHED_LIMIT_S)

    def observe_cold(self, cold: bool) -> None:
        """Restart the slow start when a target reports that it has just started."""
        if cold and not self._cold:
            self.restart_ramp()
        self._cold = cold

    def restart_ramp(self) -> None:
        """Begin the slow start again, with one slot."""
        self._ramp = 1
        self._step_started_at = self._clock.now()

    def is_ejected(self) -> bool:
        """Return whether the target is ejected after consecutive failures."""
        return self._clock.now() < self._ejected_until

    def limit_slots(self) -> int:
        """Return the maximum number of concurrent requests."""
        now = self._clock.now()
        if now < self._ejected_until:
            return 0
        limit, until = self._shed_limit
        return self._ramp if now >= until else min(limit, self._ramp)

    def count_penalty(self) -> int:
        """Return the number of slots by which recent failures lower a target's rank."""
        return round(self._decay_penalty())

    def advance_ramp(self, running: int) -> None:
        """Add a slot if the target has been in use for `RAMP_STEP_S` without a failure."""
        now = self._clock.now()
        if not running or self._failures or self._cold:
            self._step_started_at = now
        elif now - self._step_started_at >= RAMP_STEP_S:
            self._step_ramp()

    def _observe_success(self) -> None:
        # This request started before the ejection, so it isn't the probe that ends it.
        if self.is_ejected():
            return
        self._failures = 0
        self._step_ramp()
        if self._ramp >= self._slots:
            self._backoff_exponent = 0

    def _observe_failure(self) -> None:
        self._failures += 1
        self._add_penalty()
        self._step_started_at = self._clock.now()
        if self._failures >= EJECT_AFTER and not self.is_ejected():
            backoff_s = min(
                MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._backoff_exponent
            )
            self._ejected_until = self._clock.now() + backoff_s
            self._backoff_exponent += 1
            self.restart_ramp()

    def _step_ramp(self) -> None:
        self._ramp = min(self._slots, self._ramp + 1)
        self._step_started_at = self._clock.now()

    def _add_penalty(self) -> None:
        self._penalty = (self._decay_penalty() + 1, self._clock.now())

    def _decay_penalty(self) -> float:
        penalty, since = self._penalty
        return penalty * 0.5 ** ((self._clock.now() - since) / PENALTY_HALF_LIFE_S)


def classify_result(result: Outcome) -> HealthSignal:
    """Return what `result` says about the health of the target."""
    match result:
        case Done(status):
            return (
                HealthSignal.failure if status >= SERVER_ERROR else HealthSignal.success
            )
        case NotRun(Reason.target_shed):
            return HealthSignal.shed
        case OutcomeUnknown(Reason.deadline):
            return HealthSignal.slow
        case NotRun(reason) | OutcomeUnknown(reason):
            return (
                HealthSignal.failure
                if reason in TARGET_FAILURES
                else HealthSignal.neutral
            )
