"""Which requests are served first, and who comes back when, while room is short."""

from contextlib import ExitStack

import gevent
import pytest
from test_direct_steering import SteeringHarness, make_route, make_target

from currantmast.clocks import ManualClock
from currantmast.direct.model import (
    Bounds,
    Configuration,
    Route,
    Service,
    Team,
    WeightedService,
    WorkKind,
)
from currantmast.direct.retries import RetryBudgets
from currantmast.direct.returns import RefusedCaller, ReturnTimes
from currantmast.direct.urgency import Urgency, UrgencyRanks, make_urgency
from currantmast.direct.waiting import (
    MAX_WAITING,
    POLL_PER_WAITING_S,
    WaitingRequests,
    WaitLevel,
)

BOUNDS = Bounds(retry_ratio=0.2, retry_extra=200, retry_window_s=10)
USUAL = Urgency(1, 1)
TEAMS = (Team('clinics', priority=0), Team('schools', priority=1), Team('others'))


def make_ranks(*route_priorities):
    """Return the ranks of a service with a route of each priority."""
    served_by = (WeightedService('desk', 1),)
    routes = tuple(
        Route(f'r{prio}', 'h', '/a/', WorkKind.upload, served_by, 2, 1, priority=prio)
        for prio in route_priorities
    )
    teams = {team.name: team for team in TEAMS}
    config = Configuration(1, routes, {'desk': Service('desk')}, teams, {})
    return UrgencyRanks(config), routes


def test_priority_of_the_team_goes_before_that_of_the_route():
    ranks, (first, second) = make_ranks(0, 2)
    clinics, schools, others = TEAMS
    ordered = (
        make_urgency(clinics, first),
        make_urgency(clinics, second),
        make_urgency(schools, first),
        make_urgency(schools, second),
        make_urgency(others, second),
    )
    found = [ranks.get_rank('desk', urgency) for urgency in ordered]
    assert found == sorted(set(found))
    assert (found[0], found[-1]) == (0, 1)
    assert make_urgency(None, first) == Urgency(0, 0)


def test_nothing_is_ranked_without_a_highest_priority():
    ranks, (route, _) = make_ranks(1, 2)
    assert not ranks.enabled
    assert ranks.get_rank('desk', make_urgency(None, route)) == 0


@pytest.mark.parametrize('instances', [1, 9, 195])
def test_retries_go_to_the_more_urgent_while_targets_shed_half(instances):
    """Load: all targets shed half of the requests; every third request is urgent."""
    ranks, (urgent_route, other_route) = make_ranks(0, 2)
    clock = ManualClock(100)
    budgets = [RetryBudgets(clock) for _ in range(instances)]
    wanted = {urgent_route: 0, other_route: 0}
    taken = dict(wanted)
    requests = 6000
    for number in range(requests):
        budget = budgets[number // 3 % instances]
        budget.set_member_count(instances)
        budget.note_request('desk', BOUNDS, ranked=True)
        clock.advance(BOUNDS.retry_window_s / requests)
        if number % 2:
            continue
        route = other_route if number % 3 else urgent_route
        rank = ranks.get_rank('desk', make_urgency(TEAMS[-1], route))
        wanted[route] += 1
        if budget.has_left('desk', BOUNDS, rank):
            budget.spend('desk', BOUNDS)
            taken[route] += 1
    # An instance with a request a second or less can't keep every part of a retry.
    usual = 0.6 * BOUNDS.retry_ratio * requests
    limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_extra
    assert usual < sum(taken.values()) <= limit
    urgent, other = (taken[route] / wanted[route] for route in wanted)
    assert urgent >= 2 * other


def refuse(returns, name, urgency=USUAL, time_left_s=9):
    return returns.book('desk', urgency, RefusedCaller(name, 0.1, time_left_s))


def test_callers_come_back_in_order_at_the_pace_of_the_room():
    """Load: a burst of 2.3 times the room, of which 1.3 times is refused."""
    clock = ManualClock(100)
    returns = ReturnTimes(clock)
    due = []
    for number in range(400):
        clock.advance(0.05)
        returns.note_room('desk', USUAL)
        for extra in range(2 if number % 3 == 0 else 1):
            due.append(
                clock.now() + refuse(returns, f'q{number}-{extra}', time_left_s=60)
            )
    assert due == sorted(due)
    late = due[200:]
    pace = len(late) / (late[-1] - late[0])
    assert pace == pytest.approx(20, rel=0.1)


def test_times_stay_short_in_calm_and_never_pass_what_a_caller_honours():
    """Load: one team sends 9.6 times its usual, and nothing finds room for a while."""
    returns = ReturnTimes(ManualClock(100))
    for _ in range(100):
        returns.note_room('desk', USUAL)
    assert refuse(returns, 'calm') == pytest.approx(0.1)
    surge = [refuse(returns, f'q{number}') for number in range(1000)]
    assert max(surge) == 3
    # The more urgent don't wait behind them.
    assert refuse(returns, 'urgent', Urgency(0, 0)) < 1.2


def test_callers_who_come_back_at_once_delay_nobody_of_another_service():
    returns = ReturnTimes(ManualClock(100))
    for number in range(100):
        refuse(returns, f'q{number}')
    caller = RefusedCaller('q', 0.1, 9)
    assert returns.book('other', USUAL, caller) < 1.2
    assert returns.measure_backlog() <= 4


class Room:
    """Waits of a service whose targets get room after `opens_after_s`."""

    def __init__(self):
        self.clock = ManualClock(100)
        self.waiting = WaitingRequests(self.clock)

    def wait(self, opens_after_s, urgency=USUAL):
        """Return how long a request waited and whether it found room; None if refused."""
        began = self.clock.now()
        wait = self.waiting.begin('desk', urgency, began + 0.1)
        if wait is None:
            return None
        with wait:
            while not wait.found and wait.sleep():
                wait.found = self.clock.now() - began >= opens_after_s
        return self.clock.now() - began, wait.found


def test_request_waits_until_a_target_answers():
    """Load: a burst for which the targets get room within a moment."""
    room = Room()
    waited_s, found = room.wait(0.04)
    assert found
    assert waited_s < 0.07


def test_more_urgent_request_looks_for_room_first():
    """Load: requests of two urgencies wait when a target answers."""
    room = Room()
    looks = []

    def look(urgency):
        with room.waiting.begin('desk', urgency, 200) as wait:
            room.waiting.note_room('desk')
            wait.sleep()
            looks.append(urgency)

    tasks = [gevent.spawn(look, urgency) for urgency in (USUAL, Urgency(0, 1))]
    gevent.joinall(tasks, raise_error=True)
    assert looks == [Urgency(0, 1), USUAL]


def test_nothing_waits_that_will_be_refused():
    """Load: 2.3 times the room for seconds, so that waits end without room."""
    room = Room()
    ends = [room.wait(9) for _ in range(30)]
    held = [end for end in ends if end]
    assert len(held) < 15
    assert max(waited_s for waited_s, _ in held) <= 0.12
    # The less urgent don't wait for what the more urgent don't get; others do.
    assert room.wait(0, Urgency(2, 1)) is None or ends[-1] is None
    assert room.wait(0, Urgency(0, 1))[1]


def test_waits_begin_again_once_trials_find_room():
    room = Room()
    while room.waiting.levels.get(('desk', USUAL), WaitLevel()).is_open:
        room.wait(9)
    found = []
    for _ in range(40):
        room.clock.advance(1)
        found.append(room.wait(0.02))
    level = room.waiting.levels['desk', USUAL]
    assert level.is_open
    assert all(found)


def test_less_urgent_wait_again_though_the_more_urgent_no_longer_come():
    """Load: a surge of urgent requests that ends, while others go on."""
    room = Room()
    while room.waiting.levels.get(('desk', USUAL), WaitLevel()).is_open:
        room.wait(9)
    for _ in range(40):
        room.clock.advance(1)
        room.wait(0.02, Urgency(2, 1))
    assert room.waiting.levels['desk', USUAL].is_open


def test_looks_for_room_are_bounded_while_many_wait():
    """Load: answers come all the time, and many requests look for room at each."""
    room = Room()
    looks = 0
    with ExitStack() as stack:
        for _ in range(MAX_WAITING - 1):
            stack.enter_context(room.waiting.begin('desk', USUAL, 200))
        wait = stack.enter_context(room.waiting.begin('desk', USUAL, 101))
        while wait.sleep():
            room.waiting.note_room('desk')
            looks += 1
    assert looks <= 1 / (POLL_PER_WAITING_S * MAX_WAITING)


def test_no_more_wait_than_memory_is_planned_for():
    room = Room()
    waits = [room.waiting.begin('desk', USUAL, 200) for _ in range(MAX_WAITING)]
    with ExitStack() as stack:
        for wait in waits:
            stack.enter_context(wait)
        assert room.waiting.begin('desk', USUAL, 200) is None
    assert room.waiting.begin('desk', USUAL, 200) is not None


@pytest.mark.parametrize('priority', [0, 1])
def test_request_waits_only_where_a_route_has_the_highest_priority(priority):
    """Load: a burst that fills the only target."""
    harness = SteeringHarness(
        targets=[make_target('t1')], route=make_route(priority=priority)
    )
    harness.state.targets.get('t1').peers_in_flight = 6
    began = harness.clock.now()
    answer = harness.ask()
    assert answer.status == 503
    waited_s = harness.clock.now() - began
    # An eighth of the objective of half a second at most.
    assert 0 < waited_s < 0.07 if priority == 0 else waited_s == 0
    assert 0.1 <= float(dict(answer.headers)['Retry-After']) <= 1
