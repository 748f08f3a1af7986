"""Retries: which failed attempts are repeated, within a budget."""

import msgspec

from currantmast.clocks import Clock
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason

# Retries that an instance may keep in reserve; bounds the extra load after a failure.
MAX_TOKENS = 10

# Retries per second that stay possible at low request rates.
MIN_RATE = 0.2

# Refusals that another owner may decide otherwise.
RETRIABLE_REFUSALS = frozenset(
    (
        Reason.no_capacity,
        Reason.not_owner,
        Reason.no_lease,
        Reason.not_member,
        Reason.no_configuration,
        Reason.target_shed,
        Reason.unreachable,
    )
)

# Breaks of an exchange that a new attempt may not meet again.
RETRIABLE_BREAKS = frozenset(
    (Reason.connection_lost, Reason.target_lost, Reason.answer_incomplete)
)


class Attempt(msgspec.Struct, frozen=True):
    """An attempt that has ended.

    Parameters
    ----------
    outcome : Outcome
        How it ended.
    idempotent : bool
        Whether the request may run more than once.
    sent : bool
        Whether a byte may have reached a target. A peer's ``NotRun`` says that none did.
    time_left_s : float
        Seconds until the deadline.
    region_full : bool
        Whether the region that would be tried next has no free slot.
    answered : bool
        Whether part of an answer has already been passed to the caller.
    body_replayable : bool
        Whether the request body can be sent again from its start.
    """

    outcome: Outcome
    idempotent: bool
    sent: bool
    time_left_s: float
    region_full: bool = False
    answered: bool = False
    body_replayable: bool = True


class Retry(msgspec.Struct, frozen=True):
    """The attempt is to be repeated with another owner or target."""

    reason: Reason


class Stop(msgspec.Struct, frozen=True):
    """The outcome of the attempt is final.

    Parameters
    ----------
    outcome : Outcome
        What to tell the caller.
    cause : str
        Why no further attempt is made.
    """

    outcome: Outcome
    cause: str


class RetryBudget:
    """Token budget that limits retries to a fraction of requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Retries per request, from 0 to 1.
    """

    __slots__ = ('_clock', '_ratio', '_refilled_at', '_tokens')

    def __init__(self, clock: Clock, ratio: float = 0.1) -> None:
        self._clock = clock
        self._ratio = ratio
        self._tokens: float = 1 if ratio else 0
        self._refilled_at = clock.now()

    def __repr__(self) -> str:
        """Return the tokens left."""
        return f'<RetryBudget tokens={self._tokens:.1f} ratio={self._ratio}>'

    def record_request(self) -> None:
        """Count one first attempt."""
        self._add(self._ratio)

    def may_retry(self, reason: Reason, idempotent: bool, sent: bool) -> bool:
        """Return whether a retry is allowed, and use a token when it is.

        Parameters
        ----------
        reason : Reason
            Why the attempt failed.
        idempotent : bool
            Whether the request may run more than once.
        sent : bool
            Whether a byte may have reached a target.
        """
        if not is_repeatable(reason, idempotent, sent):
            return False
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def count_tokens(self) -> float:
        """Return the retries that are possible now."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        if self._ratio:
            self._add(elapsed_s * MIN_RATE)

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + tokens)


def is_repeatable(reason: Reason, idempotent: bool, sent: bool) -> bool:
    """Return whether repeating a request that failed for `reason` is safe and useful."""
    if sent and not idempotent:
        return False
    return reason in RETRIABLE_BREAKS | RETRIABLE_REFUSALS


def choose_retry(attempt: Attempt, budget: RetryBudget) -> Retry | Stop:
    """Return whether to repeat `attempt`; uses a token of `budget` when it is repeated."""
    match attempt.outcome:
        case Done():
            return Stop(attempt.outcome, 'done')
        case NotRun(reason):
            return _choose(attempt, budget, reason)
        case OutcomeUnknown(reason):
            return _choose(msgspec.structs.replace(attempt, sent=True), budget, reason)


def conclude(outcome: Outcome, may_have_run: bool) -> Outcome:
    """Return what to tell the caller of the last try.

    A refusal of a repeat says nothing about an earlier try that may have run.
    """
    if may_have_run and isinstance(outcome, NotRun):
        return OutcomeUnknown(outcome.reason, outcome.detail)
    return outcome


def _choose(attempt: Attempt, budget: RetryBudget, reason: Reason) -> Retry | Stop:
    obstacle = _find_obstacle(attempt)
    if obstacle:
        return Stop(attempt.outcome, obstacle)
    if budget.may_retry(reason, attempt.idempotent, attempt.sent):
        return Retry(reason)
    return Stop(attempt.outcome, 'not repeatable or no retry budget')


def _find_obstacle(attempt: Attempt) -> str:
    obstacles = (
        (attempt.answered, 'answer already begun'),
        (not attempt.body_replayable, 'body cannot be sent again'),
        (attempt.time_left_s <= 0, 'deadline passed'),
        (attempt.region_full, 'region full'),
    )
    return next((cause for applies, cause in obstacles if applies), '')
