"""Retry policy: which failed attempts are retried, within a retry budget."""

import msgspec

from currantmast.clocks import Clock
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason

# Capacity of the retry budget; limits the burst of retries after a failure.
MAX_RETRY_TOKENS = 10

# Retries per second that the budget allows even at low request rates.
MIN_RETRIES_PER_S = 0.2

# Reasons of refusals that another owner might not give.
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

# Reasons of broken exchanges after which another attempt may succeed.
RETRIABLE_FAILURES = frozenset(
    (Reason.connection_lost, Reason.target_lost, Reason.answer_incomplete)
)


class Attempt(msgspec.Struct, frozen=True):
    """A finished attempt of a request.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the attempt.
    idempotent : bool
        Whether the request may run more than once.
    sent : bool
        Whether any byte may have reached a target; False after a peer's ``NotRun``.
    time_left_s : float
        Seconds until the deadline.
    region_full : bool
        Whether no owner that is left to try has a free slot.
    answer_started : bool
        Whether part of the answer has already been sent to the caller.
    body_replayable : bool
        Whether the request body can be sent again from the start.
    """

    outcome: Outcome
    idempotent: bool
    sent: bool
    time_left_s: float
    region_full: bool = False
    answer_started: bool = False
    body_replayable: bool = True


class Retry(msgspec.Struct, frozen=True):
    """Decision to retry the request with another owner or target."""

    reason: Reason


class Stop(msgspec.Struct, frozen=True):
    """Decision not to retry the request.

    Parameters
    ----------
    outcome : Outcome
        Final outcome.
    cause : str
        Why the request is not retried.
    """

    outcome: Outcome
    cause: str


class RetryBudget:
    """Token bucket that limits retries to a fraction of requests.

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
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
        """Return a short description for debugging."""
        return f'<RetryBudget tokens={self._tokens:.1f} ratio={self._ratio}>'

    def record_request(self) -> None:
        """Add the fraction of a token that one first attempt allows for retries."""
        self._add(self._ratio)

    def acquire_retry(self, reason: Reason, idempotent: bool, sent: bool) -> bool:
        """Take a token and return True if a retry is allowed, else return False.

        Parameters
        ----------
        reason : Reason
            Why the attempt failed.
        idempotent : bool
            Whether the request may run more than once.
        sent : bool
            Whether any byte may have reached a target.
        """
        if not is_retriable(reason, idempotent, sent):
            return False
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def count_tokens(self) -> float:
        """Return the number of tokens, one for each retry."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        if self._ratio:
            self._add(elapsed_s * MIN_RETRIES_PER_S)

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + tokens)


def is_retriable(reason: Reason, idempotent: bool, sent: bool) -> bool:
    """Return whether it is safe and useful to retry a request that failed for `reason`."""
    if sent and not idempotent:
        return False
    return reason in RETRIABLE_FAILURES | RETRIABLE_REFUSALS


def choose_retry(attempt: Attempt, budget: RetryBudget) -> Retry | Stop:
    """Decide whether to retry after `attempt`; a retry takes a token of `budget`."""
    match attempt.outcome:
        case Done():
            return Stop(attempt.outcome, 'done')
        case NotRun(reason):
            return _decide_retry(attempt, budget, reason)
        case OutcomeUnknown(reason):
            return _decide_retry(
                msgspec.structs.replace(attempt, sent=True), budget, reason
            )


def finalize_outcome(outcome: Outcome, may_have_run: bool) -> Outcome:
    """Return the outcome for the caller, given that of the last attempt.

    A refused retry must not be reported as not run if an earlier attempt may have run.
    """
    if may_have_run and isinstance(outcome, NotRun):
        return OutcomeUnknown(outcome.reason, outcome.detail)
    return outcome


def _decide_retry(
    attempt: Attempt, budget: RetryBudget, reason: Reason
) -> Retry | Stop:
    cause = _find_cause(attempt)
    if cause:
        return Stop(attempt.outcome, cause)
    if budget.acquire_retry(reason, attempt.idempotent, attempt.sent):
        return Retry(reason)
    return Stop(attempt.outcome, 'not retriable or retry budget exhausted')


def _find_cause(attempt: Attempt) -> str:
    causes = (
        (attempt.answer_started, 'answer already started'),
        (not attempt.body_replayable, 'body cannot be sent again'),
        (attempt.time_left_s <= 0, 'deadline passed'),
        (attempt.region_full, 'region full'),
    )
    return next((cause for applies, cause in causes if applies), '')
