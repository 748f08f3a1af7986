"""Handling of one request: its targets, its retries and the answer to the caller."""

import msgspec
import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.answers import Answer
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.instance_state import ConfigurationSubscriber, InstanceState
from currantmast.direct.meters import Meter
from currantmast.direct.model import (
    Bounds,
    Configuration,
    EntryFault,
    InstanceRecord,
    Location,
    Route,
    Service,
    TargetRecord,
    TargetState,
    Team,
    WeightedService,
    WorkKind,
)
from currantmast.direct.queries import Queries
from currantmast.direct.steering import Steering
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address
from currantmast.platform import wire

LOCAL = Location('fife', 'fife-a')
REMOTE = Location('skye', 'skye-a')
STAMP = ('X-Currantmast-Server-Stamp', 's')
NOT_RUN_HEADER = ('X-Currantmast-Not-Executed', '1')


def make_target(name, location=LOCAL, **fields):
    return TargetRecord(name, 'desk', Address('127.0.0.1', 9), location, 3, **fields)


def make_route(kind=WorkKind.idempotent, name='r', **fields):
    settings = {'timeout_s': 2, 'latency_objective_s': 0.5, 'attempts': 2, **fields}
    return Route(name, 'h', '/a/', kind, (WeightedService('desk', 1),), **settings)


def make_configuration(route, version=1, keys=None):
    return Configuration(
        version=version,
        routes=(route,),
        services={'desk': Service('desk', cold_s=3, cold_rate=2)},
        teams={'schools': Team('schools')},
        keys={'k1': 'schools'} if keys is None else keys,
    )


class FakeConnections:
    """Returns or raises the next of a list of results at each exchange."""

    def __init__(self, *results):
        self.results = list(results)
        self.sent = []

    def exchange(self, target_id, address, request, timeout_s, matches):
        self.sent.append((target_id, dict(request.headers)))
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class SteeringHarness:
    """An instance with fake connections to targets and a manual clock."""

    def __init__(self, *results, route=None, targets=None, **configuration):
        self.clock = ManualClock(100)
        here = Address('127.0.0.1', 1)
        own = InstanceRecord('i1', 'run', LOCAL, here, here)
        self.state = InstanceState(own, Bounds(), self.clock)
        config = make_configuration(route or make_route(), **configuration)
        self.state.configuration.adopt(config)
        self.state.rate_limiter.replace_limits(config.teams.values())
        self.state.targets_listed = True
        self.state.freshness.confirm(self.clock.now())
        for target in targets or (make_target('t1'), make_target('t2')):
            self.state.targets.put(target)
        self.connections = FakeConnections(*results)
        self.steering = Steering(
            self.state, wire, self.connections, self.clock, Meter()
        )
        # Lets the retry budget fill.
        self.state.retries.note_request('desk', Bounds())
        self.clock.advance(4)
        self.state.freshness.confirm(self.clock.now())

    def ask(self, key='k1', **headers):
        fields = {
            'host': 'h',
            'x-currantmast-request-id': 'q1',
            'x-currantmast-deadline-ms': '3000',
            **headers,
        }
        if key is not None:
            fields['api-key'] = key
        inbound = InboundRequest(
            'GET', '/a/x', list(fields.items()), b'', True, self.clock.now()
        )
        return self.steering.answer(inbound)


def make_answer(status=200, *headers):
    return Answer(status, 'Any', headers, b'body')


OK = make_answer(200, STAMP)
NOT_RUN_ANSWER = make_answer(503, NOT_RUN_HEADER)
NON_IDEMPOTENT_ROUTE = make_route(WorkKind.non_idempotent)


def test_answer_is_passed_on_unchanged():
    answer = SteeringHarness(OK).ask()
    assert (answer.status, answer.body) == (200, b'body')
    assert STAMP in answer.headers


def test_target_sees_the_team_and_never_the_key():
    harness = SteeringHarness(OK)
    harness.ask(**{'x-currantmast-tenant': 'forged'})
    _, headers = harness.connections.sent[0]
    assert headers['x-currantmast-tenant'] == 'schools'
    assert 'k1' not in headers.values()
    assert int(headers['x-currantmast-deadline-ms']) <= 2000


@pytest.mark.parametrize(
    'broken', [ExchangeBroken(''), AnswerIncomplete(''), ProgressTimeout('')]
)
def test_non_idempotent_request_is_never_sent_twice(broken):
    """Guards against a non-idempotent request that runs twice after a lost answer."""
    harness = SteeringHarness(broken, OK, route=NON_IDEMPOTENT_ROUTE)
    assert harness.ask().status in {502, 504}
    assert len(harness.connections.sent) == 1


def test_idempotent_request_is_sent_to_another_target():
    harness = SteeringHarness(ExchangeBroken(''), OK)
    assert harness.ask().status == 200
    first, second = (target for target, _ in harness.connections.sent)
    assert first != second


@pytest.mark.parametrize('kind', list(WorkKind))
@pytest.mark.parametrize('not_run', [NOT_RUN_ANSWER, make_answer(421), NothingSent('')])
def test_request_that_did_not_run_goes_to_another_target(kind, not_run):
    harness = SteeringHarness(not_run, OK, route=make_route(kind))
    assert harness.ask().status == 200


@pytest.mark.parametrize('status', [408, 429, 503])
def test_not_run_status_of_a_target_that_may_have_run_is_not_passed_on(status):
    """Guards against telling the caller "not run" about a request that ran."""
    harness = SteeringHarness(make_answer(status, STAMP), route=NON_IDEMPOTENT_ROUTE)
    assert harness.ask().status == 502


def test_refusal_after_a_possible_run_does_not_claim_not_run():
    harness = SteeringHarness(ExchangeBroken(''), NOT_RUN_ANSWER)
    assert harness.ask().status == 502


def test_no_capacity_after_a_possible_run_does_not_claim_not_run():
    """Guards against "not run" when only the second target was unreachable."""
    harness = SteeringHarness(ExchangeBroken(''), NothingSent(''))
    assert harness.ask().status == 502


def test_refusal_without_a_run_is_503_with_retry_after():
    harness = SteeringHarness(
        NOT_RUN_ANSWER, NOT_RUN_ANSWER, route=NON_IDEMPOTENT_ROUTE
    )
    answer = harness.ask()
    assert answer.status == 503
    assert float(dict(answer.headers)['Retry-After']) > 0


def test_success_without_a_stamp_is_not_delivered():
    assert (
        SteeringHarness(make_answer(200), route=NON_IDEMPOTENT_ROUTE).ask().status
        == 502
    )


def test_server_error_is_retried_elsewhere_or_passed_on():
    failed = make_answer(500, STAMP)
    assert SteeringHarness(failed, OK).ask().status == 200
    assert SteeringHarness(failed, ExchangeBroken('')).ask().status == 500
    assert SteeringHarness(failed, route=NON_IDEMPOTENT_ROUTE).ask().status == 500


def test_no_more_targets_than_attempts_allow():
    harness = SteeringHarness(ExchangeBroken(''), ExchangeBroken(''), OK)
    assert harness.ask().status == 502
    assert len(harness.connections.sent) == 2


def test_withdrawn_key_is_refused_and_a_stale_instance_admits_nobody():
    """Guards against a suspended instance that still admits a withdrawn key."""
    harness = SteeringHarness(OK)
    harness.clock.advance(4.5)
    assert harness.ask().status == 503
    harness.state.freshness.confirm(harness.clock.now())
    newer = make_configuration(make_route(), version=2, keys={})
    harness.state.configuration.adopt(newer)
    assert harness.ask().status == 401
    assert not harness.connections.sent


def test_older_configuration_is_never_put_in_force_again():
    harness = SteeringHarness(OK)
    harness.state.configuration.adopt(make_configuration(make_route(), 5))
    assert not harness.state.configuration.adopt(make_configuration(make_route(), 4))
    assert harness.state.configuration.version == 5


def test_instance_without_a_configuration_answers_503():
    """Guards against 401 or 404 from an instance that has no configuration yet."""
    harness = SteeringHarness(OK)
    harness.state.configuration.value = None
    assert harness.ask(key='any').status == 503


def test_target_outside_the_allowed_regions_gets_nothing():
    targets = (make_target('t1'), make_target('t2', REMOTE))
    harness = SteeringHarness(
        OK, route=make_route(allowed_regions=frozenset(['skye'])), targets=targets
    )
    harness.ask()
    assert harness.connections.sent[0][0] == 't2'


@pytest.mark.parametrize(
    'unavailable',
    [make_target('t1', state=TargetState.draining), make_target('t1', REMOTE)],
)
def test_leaving_target_and_evacuated_domain_get_nothing(unavailable):
    harness = SteeringHarness(OK, targets=(unavailable,))
    harness.state.targets.evacuate(frozenset(['skye-a']), 3)
    assert harness.ask().status == 503
    assert not harness.connections.sent


def test_cold_target_gets_no_more_than_its_limit():
    """Guards against a burst of requests that overloads a target that just started."""
    bounds = Bounds()
    cold = make_target('t1', cold_left_s=30)
    harness = SteeringHarness(*[OK] * 200, targets=(cold,))
    sent = []
    for _ in range(100):
        before = len(harness.connections.sent)
        harness.ask()
        sent.append(len(harness.connections.sent) - before)
        harness.clock.advance(0.05)
        harness.state.freshness.confirm(harness.clock.now())
    worst = max(sum(sent[at : at + 20]) for at in range(80))
    assert 1 <= worst <= 2 * bounds.cold_factor + bounds.cold_extra


def make_odd_harness(**changes):
    harness = SteeringHarness(OK)
    config = make_configuration(make_route(), 2)
    short_route = msgspec.structs.replace(make_route(), prefix='/')
    routes = (short_route, make_route(keyless=True, is_readable=False))
    fields = {'routes': routes, 'refused_keys': frozenset(('k2',)), **changes}
    fields['faults'] = (EntryFault('resources[1]', 'odd', 'why'),)
    subscriber = ConfigurationSubscriber(harness.state)
    subscriber.put('main', msgspec.structs.replace(config, **fields))
    return harness


def test_unreadable_route_refuses_and_no_shorter_prefix_gets_its_requests(capsys):
    """Guards against requests that run by the route of a shorter prefix."""
    harness = make_odd_harness()
    answer = harness.ask()
    assert (answer.status, answer.body) == (503, b'entry_unreadable\n')
    assert not harness.connections.sent
    assert 'event=configuration_entry_unreadable' in capsys.readouterr().err
    metrics = Queries(harness.state, wire, Meter()).answer_metrics(None).body
    assert b'name="configuration_entries_unreadable"} 1.0' in metrics


@pytest.mark.parametrize(('key', 'status'), [('k1', 200), ('k2', 503), ('k3', 401)])
def test_key_of_an_unreadable_team_is_refused_but_not_unknown(key, status):
    harness = make_odd_harness(routes=(make_route(),))
    assert harness.ask(key).status == status


@pytest.mark.parametrize(('key', 'status'), [(None, 401), ('k2', 503)])
def test_unreadable_teams_open_no_route(key, status):
    """Guards against requests that need no key as no team could be read."""
    harness = make_odd_harness(
        routes=(make_route(),), teams={}, keys={}, has_unreadable_team=True
    )
    assert harness.ask(key).status == status
    assert not harness.connections.sent
