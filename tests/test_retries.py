from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions.retries import (
    MAX_RETRY_TOKENS,
    MIN_RETRIES_PER_S,
    Attempt,
    Retry,
    RetryBudget,
    Stop,
    choose_retry,
    finalize_outcome,
)
from currantmast.outcomes import Done, NotRun, OutcomeUnknown, Reason

REASONS = st.sampled_from(list(Reason))
OUTCOMES = st.one_of(
    st.builds(Done, st.sampled_from((200, 404, 500, 503))),
    st.builds(NotRun, REASONS),
    st.builds(OutcomeUnknown, REASONS),
)
ATTEMPTS = st.builds(
    Attempt,
    OUTCOMES,
    idempotent=st.booleans(),
    sent=st.booleans(),
    time_left_s=st.sampled_from((-1, 0, 0.5)),
    region_full=st.booleans(),
    answer_started=st.booleans(),
    body_replayable=st.booleans(),
)

FULL = Attempt(NotRun(Reason.no_capacity), idempotent=True, sent=False, time_left_s=1)


@settings(derandomize=True, database=None, max_examples=500)
@given(st.lists(st.just(FULL) | ATTEMPTS, max_size=30), st.sampled_from((0, 0.1, 1)))
def test_retries_are_safe_useful_and_within_the_budget(attempts, ratio):
    """Guards against duplicate execution and against retries that add to overload."""
    clock = ManualClock()
    budget = RetryBudget(clock, ratio)
    retries = 0
    for attempt in attempts:
        budget.record_request()
        clock.advance(0.1)
        match choose_retry(attempt, budget):
            case Retry():
                retries += 1
                may_have_run = attempt.sent or isinstance(
                    attempt.outcome, OutcomeUnknown
                )
                assert attempt.idempotent or not may_have_run
                assert attempt.time_left_s > 0
                assert not attempt.region_full
                assert not attempt.answer_started
                assert not isinstance(attempt.outcome, Done)
            case Stop(outcome):
                assert outcome == attempt.outcome
    allowed = 1 + len(attempts) * (ratio + 0.1 * MIN_RETRIES_PER_S)
    assert retries <= (allowed + 1e-6 if ratio else 0)


def test_budget_has_a_small_capacity_and_a_minimum_rate():
    """Guards against retry storms after quiet hours and no retries at low rates."""
    clock = ManualClock()
    budget = RetryBudget(clock)
    for _ in range(1000):
        budget.record_request()
    assert budget.count_tokens() == MAX_RETRY_TOKENS
    while budget.acquire_retry(Reason.unreachable, idempotent=True, sent=True):
        pass
    clock.advance(1 / MIN_RETRIES_PER_S)
    assert budget.acquire_retry(Reason.no_capacity, idempotent=False, sent=False)
    assert not budget.acquire_retry(Reason.no_capacity, idempotent=False, sent=False)


def test_refused_retry_is_unknown_if_an_earlier_attempt_may_have_run():
    """Guards against reporting "not run" if an earlier attempt may have run.

    Here the first attempt of a lookup ran in a region whose link then failed, and the
    retry was refused.
    """
    refusal = NotRun(Reason.link_full)
    assert finalize_outcome(refusal, may_have_run=True) == OutcomeUnknown(
        Reason.link_full
    )
    assert finalize_outcome(refusal, may_have_run=False) == refusal
    assert finalize_outcome(Done(200), may_have_run=True) == Done(200)
