"""Which requests an instance still passes on in a planned stop."""

import math

import pytest
from test_direct_steering import OK, SteeringHarness

from currantmast.clocks import ManualClock
from currantmast.direct.stopping import PlannedStop
from currantmast.errors import ExchangeBroken

GRACE_S = 6


@pytest.fixture
def clock():
    return ManualClock(100)


@pytest.fixture
def stop(clock):
    found = PlannedStop(clock)
    found.note_answer('fast', 0.3)
    found.note_answer('slow', 3.5)
    return found


def may_finish(stop, clock, timeout_s, service):
    now = clock.now()
    return stop.may_finish((service,), now, now + timeout_s)


def test_all_requests_are_passed_on_before_the_stop(stop, clock):
    assert may_finish(stop, clock, 60, 'slow')
    assert not stop.begun


def test_request_whose_deadline_is_before_the_exit_is_passed_on(stop, clock):
    stop.begin(GRACE_S)
    assert may_finish(stop, clock, 5.5, 'unknown')
    clock.advance(3.5)
    assert may_finish(stop, clock, 2.0, 'slow')
    assert not may_finish(stop, clock, 2.2, 'slow')


@pytest.mark.parametrize(
    ('service', 'after_s', 'passed_on'),
    [
        ('fast', 2.9, True),
        ('fast', 3.1, False),
        ('slow', 1.1, True),
        ('slow', 1.4, False),
        ('unknown', 0, False),
    ],
)
def test_request_with_a_late_deadline_goes_by_the_slowest_answer(
    stop, clock, service, after_s, passed_on
):
    """Guards against a late request that runs longer than the process does."""
    stop.begin(GRACE_S)
    clock.advance(after_s)
    assert may_finish(stop, clock, 30, service) is passed_on


def test_request_that_arrived_slowly_goes_by_the_time_at_which_it_began(stop, clock):
    """Guards against a slow upload that is refused though there is time to serve it."""
    stop.begin(GRACE_S)
    clock.advance(3.5)
    assert stop.may_finish(('fast',), clock.now() - 1, math.inf)
    assert not stop.may_finish(('slow',), clock.now() - 1, math.inf)


def test_slowest_service_of_a_route_decides(stop, clock):
    stop.begin(GRACE_S)
    clock.advance(1.4)
    assert not stop.may_finish(('fast', 'slow'), clock.now(), math.inf)


def test_slow_answer_counts_among_many_fast_ones(stop, clock):
    """Guards against an average that hides the orders that would be cut off."""
    for _ in range(100):
        stop.note_answer('slow', 0.1)
    stop.begin(GRACE_S)
    clock.advance(2.5)
    assert not may_finish(stop, clock, 30, 'slow')


def test_slow_answer_is_forgotten_in_the_end(stop, clock):
    for _ in range(5000):
        stop.note_answer('slow', 0.1)
    stop.begin(GRACE_S)
    clock.advance(2.5)
    assert may_finish(stop, clock, 30, 'slow')


def test_refused_request_uses_no_rate_and_reaches_no_target():
    """Guards against a team that pays for requests which a stopping instance refuses."""
    harness = SteeringHarness()
    harness.state.stop.begin(1)
    answer = harness.ask()
    assert answer.status == 503
    assert dict(answer.headers)['Retry-After'] == '0.10'
    assert not harness.connections.sent
    assert not harness.state.rate_limiter.count_recently_admitted()


def test_request_that_ends_in_time_is_served_in_a_stop():
    harness = SteeringHarness()
    harness.state.stop.begin(GRACE_S)
    harness.connections.results = [OK]
    assert harness.ask().status == 200


def test_no_further_attempt_starts_that_would_outlive_the_process():
    """Guards against a retry whose answer nobody is left to deliver."""
    harness = SteeringHarness(OK, ExchangeBroken('reset'), OK)
    harness.ask()
    harness.state.stop.note_answer('desk', 0.5)
    harness.state.stop.begin(2)
    exchange = harness.connections.exchange

    def exchange_slowly(*arguments):
        harness.clock.advance(1.5)
        return exchange(*arguments)

    harness.connections.exchange = exchange_slowly
    assert harness.ask().status == 502
    assert len(harness.connections.sent) == 2
