"""A team above its rate must be held to it, and must cost the other teams nothing."""

from currantmast.deployment import ServiceKind
from currantmast.experiment.load import LoadShape
from currantmast.experiment.scenarios import Scenario, count_unanswered
from currantmast.outcomes import Reason

SECONDS = 8
EXCESS = 3
CALM_RATE = 30
LEAST_PART = 0.8
"""Part of its rate that a team gets at least while it asks for more."""


def test_team_above_its_rate_is_held_to_it(fleet):
    teams = fleet.plan.deployment.base.teams
    greedy = min(teams, key=lambda team: team.rate)
    others = tuple(team.id for team in teams if team is not greedy)
    lookups = (ServiceKind.lookup,)
    greedy_shape = LoadShape(
        greedy.rate * EXCESS, SECONDS, teams=(greedy.id,), kinds=lookups
    )
    calm_shape = LoadShape(CALM_RATE, SECONDS, teams=others)
    with Scenario(fleet, 'rates', seed=10) as scenario:
        scenario.start(greedy_shape)
        scenario.start(calm_shape)
        scenario.join()
        assert scenario.inspect() == ()
        calm = [call for call in scenario.calls if call.team != greedy.id]
        assert count_unanswered(calm) == {}
        own = [call for call in scenario.calls if call.team == greedy.id]
        refused = {call.reason for call in own if call.outcome == 'not-run'}
        assert refused == {Reason.rate_exceeded}
        served = sum(call.outcome == 'done' for call in own)
        assert served >= LEAST_PART * greedy.rate * SECONDS
