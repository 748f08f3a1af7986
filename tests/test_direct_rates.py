"""Rate limits of teams over the whole fleet, divided without a coordinator."""

import random

from currantmast.clocks import ManualClock
from currantmast.direct.demands import DemandReport
from currantmast.direct.model import Team
from currantmast.direct.rates import (
    Admitted,
    FleetRateLimiter,
    RateExceeded,
    SharesUnknown,
)

TEAM = Team('schools', rate=9, burst=9)
PERIOD_S = 0.2


class Fleet:
    """Members that send each other their demand and admissions once a period."""

    def __init__(self, size, team=TEAM):
        self.clock = ManualClock(1000)
        self.rng = random.Random(5)
        self.team = team
        self.members = {str(number): self.start() for number in range(size)}
        self.runs = dict.fromkeys(self.members, 'a')
        self.silent = set()
        self.last = {}

    def start(self):
        rates = FleetRateLimiter(self.clock, self.rng)
        rates.replace_limits([self.team])
        return rates

    def announce(self):
        for name, rates in self.members.items():
            if name not in self.silent:
                report = (rates.announce(), rates.count_recently_admitted())
                self.last[name] = DemandReport(name, self.runs[name], *report)
        for name, rates in self.members.items():
            rates.update_peers(
                DemandReport(
                    other,
                    self.runs[other],
                    self.last[other].demands,
                    self.last[other].admitted,
                    recent=not ({name, other} & self.silent),
                )
                for other in self.members
                if other != name and other in self.last
            )

    def step(self):
        self.announce()
        self.clock.advance(PERIOD_S)

    def offer(self, counts):
        """Send `counts[name]` requests to each member; return the number admitted."""
        admitted = 0
        for name, number in counts.items():
            for _ in range(number):
                answer = self.members[name].admit(self.team)
                admitted += isinstance(answer, Admitted)
        return admitted


def run_load(fleet, choose_counts, seconds):
    admitted = []
    for _ in range(round(seconds / PERIOD_S)):
        admitted.append(fleet.offer(choose_counts()))
        fleet.step()
    return admitted


def max_in_window(admitted, window_s=5):
    width = round(window_s / PERIOD_S)
    return max(sum(admitted[at : at + width]) for at in range(len(admitted)))


def test_team_that_sends_many_times_its_rate_gets_its_rate():
    """Guards against shares or borrowed tokens that add up to more than the rate."""
    fleet = Fleet(9)
    run_load(fleet, dict, 10)
    admitted = run_load(fleet, lambda: dict.fromkeys(fleet.members, 2), 30)
    assert max_in_window(admitted) <= (9 * 5 + 9) * 1.1 + 20
    assert sum(admitted) >= 0.9 * 9 * 30


def test_small_team_is_rarely_refused_below_its_rate():
    """Guards against refusals of scattered requests below the team's rate.

    A ninth of a small rate admits no two requests in quick succession.
    """
    fleet = Fleet(9)
    run_load(fleet, dict, 10)
    rng = random.Random(4)
    offered = []

    def make_counts():
        counts = dict.fromkeys(fleet.members, 0)
        for _ in range(rng.choice((0, 1, 1, 2))):
            counts[rng.choice(sorted(counts))] += 1
        offered.append(sum(counts.values()))
        return counts

    admitted = run_load(fleet, make_counts, 60)
    assert sum(offered) / 60 < 9
    assert sum(admitted) >= 0.97 * sum(offered)


def test_demand_at_one_member_gets_most_of_the_rate():
    fleet = Fleet(9)
    run_load(fleet, dict, 10)
    admitted = run_load(fleet, lambda: {'0': 3}, 20)
    assert sum(admitted) / 20 >= 0.7 * 9


def test_restart_grants_no_second_burst():
    """Guards against a second burst from buckets that are full after a restart."""
    fleet = Fleet(9)
    run_load(fleet, dict, 10)
    admitted = run_load(fleet, lambda: dict.fromkeys(fleet.members, 2), 3)
    for name in fleet.members:
        fleet.members[name] = fleet.start()
        fleet.runs[name] = 'b'
    admitted += run_load(fleet, lambda: dict.fromkeys(fleet.members, 2), 3)
    assert max_in_window(admitted) <= (9 * 5 + 9) * 1.1 + 20


def test_team_below_its_rate_is_admitted_right_after_all_members_restart():
    """Guards against refusals right after all members were killed and restarted.

    With buckets that start empty, nearly every request of the first second is refused.
    """
    team = Team('schools', rate=15, burst=15)
    fleet = Fleet(10, team)
    run_load(fleet, dict, 10)
    for name in fleet.members:
        fleet.members[name] = fleet.start()
        fleet.runs[name] = 'b'
    fleet.announce()
    rng = random.Random(3)
    offered = []

    def make_counts():
        names = rng.sample(sorted(fleet.members), 2)
        offered.append(2)
        return dict.fromkeys(names, 1)

    admitted = run_load(fleet, make_counts, 1)
    assert sum(admitted) >= 0.8 * sum(offered)


def test_no_share_rises_while_a_member_is_silent():
    """Guards against both sides of a partition taking over each other's shares."""
    fleet = Fleet(9, Team('schools', rate=90, burst=9))
    run_load(fleet, lambda: dict.fromkeys(fleet.members, 2), 10)
    fleet.silent = {'0', '1', '2', '3'}
    admitted = run_load(fleet, lambda: dict.fromkeys(fleet.members, 20), 10)
    assert max_in_window(admitted) <= (90 * 5 + 9) * 1.1 + 20


def test_refusal_holds_the_wait_until_a_token_is_available():
    fleet = Fleet(1)
    run_load(fleet, dict, 10)
    rates = fleet.members['0']
    answers = [rates.admit(TEAM) for _ in range(10)]
    assert isinstance(answers[8], Admitted)
    assert isinstance(answers[9], RateExceeded)
    assert answers[9].share_tokens < 1
    assert 0 < answers[9].wait_s <= 1 / 9 + 0.001


def test_team_without_a_rate_is_never_refused():
    rates = FleetRateLimiter(ManualClock())
    free = Team('fitters')
    rates.replace_limits([free])
    assert all(isinstance(rates.admit(free), Admitted) for _ in range(1000))


def test_member_that_knows_no_others_admits_nothing():
    """Guards against each member admitting the whole rate while it knows no others.

    The refusal must not name the rate as its reason, since the logs would be wrong.
    """
    rates = FleetRateLimiter(ManualClock())
    rates.replace_limits([TEAM])
    assert rates.admit(TEAM) == SharesUnknown()


def offer_at_random(fleet, rate, seconds, seed):
    """Send requests at random members; return how many were sent and admitted."""
    rng = random.Random(seed)
    offered = []

    def make_counts():
        counts = dict.fromkeys(fleet.members, 0)
        number = sum(rng.random() < rate * PERIOD_S / 20 for _ in range(20))
        for name in rng.choices(sorted(counts), k=number):
            counts[name] += 1
        offered.append(number)
        return counts

    admitted = run_load(fleet, make_counts, seconds)
    return offered, admitted


def test_small_team_is_not_refused_by_many_members():
    """Guards against shares of a small rate of which none is a whole request.

    The load of a large fleet: a team sends two thirds of its rate, over 27 members.
    """
    fleet = Fleet(27, Team('schools', rate=4.5, burst=4.5))
    for rates in fleet.members.values():
        rates.allow_slack(20)
    run_load(fleet, dict, 10)
    offered, admitted = offer_at_random(fleet, rate=3, seconds=60, seed=7)
    assert sum(admitted) >= 0.99 * sum(offered)


def test_sudden_load_at_many_members_stays_within_the_slack():
    """Guards against all members borrowing the same tokens before they hear each other."""
    for rate in (4.5, 30, 150):
        fleet = Fleet(27, Team('schools', rate=rate, burst=rate))
        for rates in fleet.members.values():
            rates.allow_slack(20)
        run_load(fleet, dict, 10)
        offer_at_random(fleet, rate=rate / 1.5, seconds=10, seed=8)
        _, admitted = offer_at_random(fleet, rate=5 * rate, seconds=15, seed=9)
        assert max_in_window(admitted) <= (rate * 5 + rate) * 1.1 + 20


def test_admissions_of_a_team_that_was_left_out_are_counted_once():
    """Guards against a long past count that empties a team's bucket at once."""
    rates = FleetRateLimiter(ManualClock(1000))
    rates.replace_limits([TEAM])
    rates.update_peers([DemandReport('1', 'run', {}, {})])
    before = rates._shares['schools'].fleet_bucket.count()
    rates.update_peers([DemandReport('1', 'run', {'schools': 0.5}, {'schools': 300})])
    assert before - rates._shares['schools'].fleet_bucket.count() <= 1
    rates.update_peers([DemandReport('1', 'run', {}, {})])
    rates.update_peers([DemandReport('1', 'run', {'schools': 0.5}, {'schools': 302})])
    assert before - rates._shares['schools'].fleet_bucket.count() <= 3
