"""Every ending of a request and every change of belief has a line in the log."""

import io
import re

import pytest
from loguru import logger
from test_direct_steering import (
    HERE,
    OK,
    World,
    make_configuration,
    make_route,
    make_target,
)

from currantmast.clocks import ManualClock
from currantmast.direct.attempts import TryLater
from currantmast.direct.beliefs import (
    Beliefs,
    ConfigurationSubscriber,
    EvacuationSubscriber,
    InstanceSubscriber,
    TargetSubscriber,
)
from currantmast.direct.following import (
    Entry,
    Follower,
    News,
    StoreHealth,
    Topic,
    Unusable,
)
from currantmast.direct.heartbeats import HeartbeatLink
from currantmast.direct.members import Heartbeat
from currantmast.direct.model import Bounds, InstanceRecord, Place, Team
from currantmast.errors import StoreUnavailable, WatchExpired
from currantmast.messages import Address
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason

THERE = Address('127.0.0.1', 1)


@pytest.fixture
def output():
    stream = io.StringIO()
    handler = logger.add(stream, format='{message} {extra}', level='DEBUG')
    yield stream
    logger.remove(handler)


def list_events(output):
    return re.findall(r'event=(\w+)', output.getvalue())


@pytest.mark.parametrize('reason', list(Reason))
@pytest.mark.parametrize(
    'make_ending',
    [NotRun, OutcomeUnknown, lambda reason: TryLater(NotRun(reason), 1)],
)
def test_each_ending_names_its_reason_and_what_decided_it(output, reason, make_ending):
    world = World()
    world.steering._run = lambda *_: make_ending(reason)
    world.ask()
    (line,) = [line for line in output.getvalue().splitlines() if 'request=q1' in line]
    for field in (f'reason={reason.value}', 'full=', 'strange=', 'late=', 'version=1'):
        assert field in line


def refuse_rate(world):
    team = Team('schools', rate=1, burst=1)
    world.beliefs.rates.follow_teams([team])
    world.beliefs.rates.follow_peers([])
    for _ in range(3):
        world.ask()


@pytest.mark.parametrize(
    ('reason', 'cause'),
    [
        (Reason.key_unknown, lambda world: world.ask(key='other')),
        (Reason.service_unknown, lambda world: world.ask(host='elsewhere')),
        (
            Reason.bad_request,
            lambda world: world.ask(**{'x-currantmast-request-id': ''}),
        ),
        (Reason.no_lease, lambda world: (world.clock.advance(9), world.ask())),
        (Reason.rate_exceeded, refuse_rate),
    ],
)
def test_each_refusal_before_routing_names_its_reason(output, reason, cause):
    world = World(OK, OK, OK)
    cause(world)
    assert f'reason={reason.value}' in output.getvalue()


def test_refusal_for_a_rate_tells_the_tokens_and_who_is_silent(output):
    """Guards against a refusal of which nobody can tell whether it was right."""
    refuse_rate(World(OK, OK, OK))
    for field in (' rate=', ' burst=', 'share_tokens=', 'team_tokens=', 'silent=0'):
        assert field in output.getvalue()


def test_line_of_a_request_that_left_its_region_tells_why(output):
    """Guards against a change of region of which nobody can tell the cause."""
    near, far = make_target('t1'), make_target('t2', place=Place('skye', 'skye-a'))
    world = World(OK, targets=(near, far))
    world.beliefs.targets.get('t1').in_flight = 6
    world.ask()
    (line,) = [line for line in output.getvalue().splitlines() if 'request=q1' in line]
    for field in ('domain=skye-a', 'crossing=full', 'load=0', 'reported=', 'things='):
        assert field in line


class Source:
    def __init__(self):
        self.script = []

    def list_all(self, topic):
        return self.watch(topic, 0, 0)

    def watch(self, topic, revision, wait_s):
        found = self.script.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


class NoConnections:
    def forget(self, target_id):
        """Keep nothing."""


def make_subscribers(beliefs):
    return {
        Topic.configuration: ConfigurationSubscriber(beliefs),
        Topic.targets: TargetSubscriber(beliefs, NoConnections()),
        Topic.evacuations: EvacuationSubscriber(beliefs),
        Topic.instances: InstanceSubscriber(beliefs),
    }


VALUES = {
    Topic.configuration: make_configuration(make_route()),
    Topic.targets: make_target('n'),
    Topic.evacuations: 'n',
    Topic.instances: InstanceRecord('n', 'run', Place('r', 'd'), THERE, THERE),
}


@pytest.mark.parametrize('topic', list(Topic))
def test_each_change_that_the_store_tells_has_a_line(output, topic):
    clock = ManualClock(100)
    own = InstanceRecord('i1', 'run', HERE, THERE, THERE)
    beliefs = Beliefs(own, Bounds(), clock)
    source = Source()
    subscriber = make_subscribers(beliefs)[topic]
    follower = Follower(topic, source, subscriber, clock, StoreHealth(clock))
    changes = (
        (News(1, (Entry('n', 1, VALUES[topic]),)), 1),
        (News(2, (Entry('n', 2, Unusable('odd')),)), 1),
        (StoreUnavailable('down'), 1),
        (News(2, ()), 1),
        (WatchExpired('gone'), 1),
        (News(3, (Entry('n', 3, VALUES[topic]),)), 0),
        (News(4, (Entry('n', 4, None),)), 0),
    )
    for change, least in changes:
        source.script.append(change)
        before = len(list_events(output))
        follower.step()
        clock.advance(9)
        assert len(list_events(output)) >= before + least, change


def test_member_that_falls_silent_and_returns_has_lines(output):
    clock = ManualClock(100)
    own = InstanceRecord('i1', 'run', HERE, THERE, THERE)
    beliefs = Beliefs(own, Bounds(), clock)
    beliefs.members.put(VALUES[Topic.instances])
    with HeartbeatLink(Address('127.0.0.1', 0), beliefs, clock) as link:
        for sent_at, pause_s in ((1, 5), (2, 0)):
            beliefs.members.observe(Heartbeat('n', 'run', sent_at, True, False))
            link._update_from_members()
            clock.advance(pause_s)
            link._update_from_members()
    assert list_events(output) == ['member_heard', 'member_silent', 'member_heard']


def test_ejected_target_has_a_line(output):
    target = World().beliefs.targets.get('t1')
    for _ in range(5):
        target.note_failure()
    assert list_events(output).count('target_ejected') == 1


def test_hostile_callers_make_no_new_labels():
    """Guards against metrics that grow with whatever callers send."""
    world = World()

    def count_series():
        return len(world.steering._meter.write().splitlines())

    def ask(number):
        world.ask(key=f'other-{number}')
        world.ask(host=f'host-{number}')
        world.ask(**{'x-currantmast-request-id': f'"}}\n{number}'}, key='none')

    ask(0)
    before = count_series()
    for number in range(1, 200):
        ask(number)
    assert count_series() == before
