"""Which requests are served first, and who comes back when, while room is short."""

import pytest

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
