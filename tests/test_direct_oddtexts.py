"""Texts that others choose: names, ids and paths that are logged, sent or compared."""

import random

import pytest
from followingfleet import FollowingFleet, make_configuration, make_server
from test_direct_steering import OK, SteeringHarness, make_route

from currantmast.direct.model import Team

# Reads like an Authorization header, though it is none.
LIKE_A_CREDENTIAL = 'standard bearer desk'


def test_service_that_reads_like_a_credential_ends_no_follower():
    """Guards against a log line about one entry that ends processes, or loses others."""
    with FollowingFleet(9, random.Random(1)) as fleet:
        fleet.store.put('config', 'main', make_configuration(3, 'a'))
        fleet.run(1)
        for beat in range(6):
            odd = make_server(9, service=LIKE_A_CREDENTIAL, cold_left_s=9 - beat)
            fleet.store.put('servers', 'a-odd', odd)
            fleet.store.put('servers', f't{beat}', make_server(beat))
            fleet.run(0.5)
        fleet.run(1)
        for instance in fleet.instances.values():
            listed = {found.record.id for found in instance.state.targets.list_all()}
            assert listed == {'a-odd', *(f't{beat}' for beat in range(6))}


@pytest.mark.parametrize('field', ['team', 'route', 'object', 'id'])
def test_request_that_reads_like_a_credential_gets_its_answer(field):
    """Guards against work that ran and whose answer a log line turns into an error."""
    route = make_route(name=LIKE_A_CREDENTIAL if field == 'route' else 'r')
    harness = SteeringHarness(OK, route=route)
    if field == 'team':
        config = harness.state.configuration.value
        config.teams['schools'] = Team(LIKE_A_CREDENTIAL)
    headers = {}
    if field == 'object':
        headers['cookie'] = f'X-Currantmast-Affinity-Key="{LIKE_A_CREDENTIAL}"'
    if field == 'id':
        headers['x-currantmast-request-id'] = LIKE_A_CREDENTIAL
    assert harness.ask(**headers).status == 200
    assert len(harness.connections.sent) == 1
