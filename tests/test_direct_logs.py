"""Log lines for every result of a request and every change of an instance's state."""

import io
import math
import re

import pytest
from test_direct_relays import Relay
from test_direct_steering import (
    LOCAL,
    OK,
    SteeringHarness,
    make_configuration,
    make_route,
    make_target,
)

from currantmast.clocks import ManualClock
from currantmast.direct.attempts import TryLater
from currantmast.direct.following import Follower
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.instance_state import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    InstanceState,
    InstanceSubscriber,
    TargetSubscriber,
)
from currantmast.direct.model import Bounds, InstanceRecord, Location, Team
from currantmast.direct.positions import Position
from currantmast.direct.readtimes import ReadTimes
from currantmast.direct.reports import Heartbeat
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable, WatchExpired
from currantmast.messages import Address
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason
from currantmast.runtime.logs import configure_logs

ADDRESS = Address('127.0.0.1', 1)


@pytest.fixture
def output():
    stream = io.StringIO()
    configure_logs('-', stream, 'DEBUG')
    yield stream
    configure_logs('-')


def list_events(output):
    return re.findall(r'event=(\w+)', output.getvalue())


@pytest.mark.parametrize('reason', list(Reason))
@pytest.mark.parametrize(
    'make_ending',
    [NotRun, OutcomeUnknown, lambda reason: TryLater(NotRun(reason), 1)],
)
def test_each_result_is_logged_with_its_reason_and_inputs(output, reason, make_ending):
    harness = SteeringHarness()
    harness.steering._send_with_retries = lambda *_: make_ending(reason)
    harness.ask()
    (line,) = [line for line in output.getvalue().splitlines() if 'request=q1' in line]
    for field in (f'reason={reason.value}', 'full=', 'strange=', 'late=', 'version=1'):
        assert field in line


def refuse_rate(harness):
    team = Team('schools', rate=1, burst=1)
    harness.state.rate_limiter.replace_limits([team])
    harness.state.rate_limiter.update_peers([])
    for _ in range(3):
        harness.ask()


@pytest.mark.parametrize(
    ('reason', 'cause'),
    [
        (Reason.key_unknown, lambda harness: harness.ask(key='other')),
        (Reason.service_unknown, lambda harness: harness.ask(host='elsewhere')),
        (
            Reason.bad_request,
            lambda harness: harness.ask(**{'x-currantmast-request-id': ''}),
        ),
        (Reason.no_lease, lambda harness: (harness.clock.advance(9), harness.ask())),
        (Reason.rate_exceeded, refuse_rate),
    ],
)
def test_each_refusal_at_admission_is_logged_with_its_reason(output, reason, cause):
    harness = SteeringHarness(OK, OK, OK)
    cause(harness)
    assert f'reason={reason.value}' in output.getvalue()


def test_refusal_for_a_rate_is_logged_with_the_tokens_and_silent_members(output):
    """Guards against a log line that doesn't show whether a refusal was correct."""
    refuse_rate(SteeringHarness(OK, OK, OK))
    for field in (' rate=', ' burst=', 'share_tokens=', 'team_tokens=', 'silent=0'):
        assert field in output.getvalue()


def test_request_in_another_region_is_logged_with_the_cause(output):
    """Guards against a log line that doesn't show why a request left its region."""
    near, far = (
        make_target('t1'),
        make_target('t2', location=Location('skye', 'skye-a')),
    )
    harness = SteeringHarness(OK, targets=(near, far))
    harness.state.targets.get('t1').in_flight = 6
    harness.ask()
    (line,) = [line for line in output.getvalue().splitlines() if 'request=q1' in line]
    for field in ('domain=skye-a', 'crossing=full', 'load=0', 'reported=', 'things='):
        assert field in line


class Source:
    def __init__(self):
        self.script = []

    def list_all(self, topic):
        return self.watch(topic, 0, 0)

    def watch(self, topic, position, wait_s):
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class NoConnections:
    def close_idle(self, target_id):
        """Do nothing, since there are no connections."""


def make_subscribers(state):
    return {
        Topic.configuration: ConfigurationSubscriber(state),
        Topic.targets: TargetSubscriber(state, NoConnections()),
        Topic.evacuations: EvacuationSubscriber(state),
        Topic.instances: InstanceSubscriber(state),
    }


VALUES = {
    Topic.configuration: make_configuration(make_route()),
    Topic.targets: make_target('n'),
    Topic.evacuations: 'n',
    Topic.instances: InstanceRecord('n', 'run', Location('r', 'd'), ADDRESS, ADDRESS),
}


@pytest.mark.parametrize('topic', list(Topic))
def test_each_change_in_the_store_is_logged(output, topic):
    clock = ManualClock(100)
    own = InstanceRecord('i1', 'run', LOCAL, ADDRESS, ADDRESS)
    state = InstanceState(own, Bounds(), clock)
    source = Source()
    subscriber = make_subscribers(state)[topic]
    follower = Follower(topic, source, subscriber, clock, StoreHealth(clock))
    changes = (
        (StoreUpdate(Position(1, 1), (Entry('n', 1, VALUES[topic]),)), 1),
        (StoreUpdate(Position(1, 2), (Entry('n', 2, InvalidEntry('odd')),)), 1),
        (StoreUnavailable('down'), 1),
        (StoreUpdate(Position(1, 2), ()), 1),
        (WatchExpired('gone'), 1),
        (StoreUpdate(Position(1, 3), (Entry('n', 3, VALUES[topic]),)), 0),
        (StoreUpdate(Position(1, 4), (Entry('n', 4, None),)), 0),
    )
    for change, least in changes:
        source.script.append(change)
        before = len(list_events(output))
        follower.step()
        clock.advance(9)
        assert len(list_events(output)) >= before + least, change


def test_member_that_falls_silent_and_returns_is_logged(output):
    clock = ManualClock(100)
    own = InstanceRecord('i1', 'run', LOCAL, ADDRESS, ADDRESS)
    state = InstanceState(own, Bounds(), clock)
    state.members.put(VALUES[Topic.instances])
    with HeartbeatSocket(Address('127.0.0.1', 0), state, clock) as heartbeat_socket:
        for sent_at, pause_s in ((1, 5), (2, 0)):
            state.members.observe(Heartbeat('n', 'run', sent_at, True, False))
            heartbeat_socket._update_from_members()
            clock.advance(pause_s)
            heartbeat_socket._update_from_members()
    events = [name for name in list_events(output) if name.startswith('member_')]
    assert events == ['member_heard', 'member_silent', 'member_heard']


def test_ejection_of_a_target_is_logged_once(output):
    target = SteeringHarness().state.targets.get('t1')
    for _ in range(5):
        target.note_failure()
    assert list_events(output).count('target_ejected') == 1


def test_hostile_callers_add_no_time_series():
    """Guards against time series that grow with the values that callers send."""
    harness = SteeringHarness()

    def count_series():
        return len(harness.steering._meter.render().splitlines())

    def ask(number):
        harness.ask(key=f'other-{number}')
        harness.ask(host=f'host-{number}')
        harness.ask(**{'x-currantmast-request-id': f'"}}\n{number}'}, key='none')

    ask(0)
    before = count_series()
    for number in range(1, 200):
        ask(number)
    assert count_series() == before


def test_source_of_each_topic_and_what_a_relay_cost_are_logged(output):
    """Guards against a reserve whose logs don't tell why it learned of a drain late."""
    with Relay() as relay:
        relay.read(Topic.targets, StoreUpdate(Position(1, 9), ()))
        relay.source.list_all(Topic.targets)
    relay.direct.answers[Topic.targets] = StoreUpdate(Position(1, 12), ())
    relay.source.list_all(Topic.targets)
    events = ['source_changed', 'relay_lost', 'relay_lost', 'source_changed']
    assert list_events(output) == events
    sources = re.findall(r'source=(\S+)', output.getvalue())
    assert sources[0].startswith('entry-')
    assert sources[1] == 'store'
    assert len(re.findall(r'waited_s=\d', output.getvalue())) == 2


def test_request_tells_the_age_of_what_is_known_of_the_targets(output):
    harness = SteeringHarness()
    harness.state.store_health.read_times.note(
        Topic.targets, harness.clock.now() - 3.25
    )
    harness.connections.results = [OK]
    harness.ask()
    assert 'targets_age_s=3.25' in output.getvalue()


def test_age_of_a_topic_is_that_of_its_newest_read():
    clock = ManualClock(100)
    times = ReadTimes(clock)
    assert times.age(Topic.targets) == math.inf
    times.note(Topic.targets, 98)
    times.note(Topic.targets, 97)
    clock.advance(1)
    assert times.age(Topic.targets) == 3
    assert times.age(Topic.evacuations) == math.inf
