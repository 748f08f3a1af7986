"""What targets ask of an instance in their answers."""

import gevent
import msgspec
import pytest
from test_direct_steering import (
    NOT_RUN_HEADER,
    OK,
    STAMP,
    SteeringHarness,
    make_answer,
    make_route,
    make_target,
)

from currantmast.clocks import ManualClock
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.instance_state import TargetSubscriber
from currantmast.direct.probes import Prober
from currantmast.direct.spillover import measure_capacity
from currantmast.platform import wire

LEAVING_HEADERS = ('Server-Leaving', 'X-Currantmast-Server-Leaving')


@pytest.fixture
def subscriber():
    def build(harness):
        return TargetSubscriber(harness.state, TargetConnections(ManualClock(0)))

    return build


def list_asked(harness):
    return [target_id for target_id, _ in harness.connections.sent]


@pytest.mark.parametrize('header', LEAVING_HEADERS)
@pytest.mark.parametrize(
    'answer',
    [
        make_answer(200, STAMP),
        make_answer(500, STAMP),
        make_answer(503, NOT_RUN_HEADER),
    ],
    ids=['served', 'failed', 'refused'],
)
def test_target_that_says_in_an_answer_that_it_leaves_gets_nothing_more(answer, header):
    """Guards against requests to a target that leaves before its entry says so."""
    leaving = msgspec.structs.replace(answer, headers=(*answer.headers, (header, '1')))
    harness = SteeringHarness(leaving, *[OK] * 30)
    harness.ask()
    first = list_asked(harness)[0]
    for _ in range(20):
        harness.ask()
        harness.clock.advance(0.1)
    assert first not in list_asked(harness)[1:]


def test_target_that_leaves_gets_nothing_when_its_entry_returns(subscriber):
    harness = SteeringHarness(
        make_answer(200, STAMP, ('Server-Leaving', '1')),
        OK,
        targets=[make_target('t1', started_at_ms=5)],
    )
    changes = subscriber(harness)
    changes.put('t1', make_target('t1', started_at_ms=5))
    harness.ask()
    changes.remove('t1')
    changes.put('t1', make_target('t1', started_at_ms=5))
    assert harness.ask().status == 503
    assert list_asked(harness) == ['t1']
    changes.put('t1', make_target('t1', started_at_ms=6))
    assert harness.ask().status == 200


@pytest.mark.parametrize('text', ['0', '', 'no'])
def test_target_that_does_not_leave_is_used_on(text):
    assert not wire.decode_answer(make_answer(200, ('Server-Leaving', text))).leaving


def test_misdirected_answer_says_nothing_of_the_target():
    """Guards against a target that is left alone as another one at its address leaves."""
    assert not wire.decode_answer(make_answer(421, ('Server-Leaving', '1'))).leaving


def make_pause(seconds):
    return make_answer(503, NOT_RUN_HEADER, ('Retry-After', str(seconds)))


def test_target_that_wants_a_pause_gets_nothing_until_its_end():
    """Guards against requests to a target that said when to come back."""
    harness = SteeringHarness(make_pause(2.5), OK, targets=[make_target('t1')])
    harness.ask()
    paused_at = harness.clock.now()
    while harness.clock.now() < paused_at + 2.4:
        assert harness.ask().status == 503
        harness.clock.advance(0.1)
    assert list_asked(harness) == ['t1']
    harness.clock.advance(0.2)
    assert harness.ask().status == 200


def test_pauses_of_a_region_move_no_traffic_to_others():
    """Guards against a share of other regions that jumps when many targets shed."""
    harness = SteeringHarness(make_pause(2.5), targets=[make_target('t1')])
    harness.ask()
    assert harness.state.targets.list_usable('desk') == []
    staying = harness.state.targets.list_staying()
    capacity = measure_capacity(staying, harness.state.members.list_all(), 'fife')
    assert capacity['desk'].local_slots == 3


def test_pause_outlives_a_missing_entry(subscriber):
    harness = SteeringHarness(make_pause(2.5), OK, targets=[make_target('t1')])
    changes = subscriber(harness)
    changes.put('t1', make_target('t1'))
    harness.ask()
    changes.remove('t1')
    changes.put('t1', make_target('t1'))
    harness.clock.advance(1)
    assert harness.ask().status == 503
    assert list_asked(harness) == ['t1']


def test_caller_is_told_when_the_first_target_wants_requests_again():
    harness = SteeringHarness(
        make_pause(0.7), targets=[make_target('t1')], route=make_route(priority=1)
    )
    harness.ask()
    harness.clock.advance(0.2)
    answer = harness.ask()
    assert answer.status == 503
    assert float(dict(answer.headers)['Retry-After']) == pytest.approx(0.5)


def make_health(status, target_id='t1', *headers):
    return make_answer(status, ('X-Currantmast-Instance-Id', target_id), *headers)


def probe_twice(*answers):
    """Return the ids of the targets that got one of two probes, 5 s apart."""
    harness = SteeringHarness(*answers, targets=[make_target('t1')])
    target = harness.state.targets.get('t1')
    prober = Prober(harness.state, wire, harness.connections, harness.clock)
    target.ejection.begin()
    for _ in answers:
        harness.clock.advance(5)
        prober.probe_due()
        gevent.sleep(0)
    return list_asked(harness)


def test_pause_in_a_health_answer_ends_the_probes():
    """Guards against health queries to a target that asked for a pause by such an answer."""
    pause = ('Retry-After', '20')
    assert probe_twice(make_health(503, 't1', pause), OK) == ['t1']
    assert probe_twice(make_health(503), OK) == ['t1', 't1']


def test_pause_of_another_target_at_the_address_says_nothing():
    pause = ('Retry-After', '20')
    assert probe_twice(make_health(503, 't2', pause), OK) == ['t1', 't1']


def test_target_that_leaves_by_its_health_answer_gets_nothing_more():
    harness = SteeringHarness(
        make_health(200, 't1', ('Server-Leaving', '1')), targets=[make_target('t1')]
    )
    prober = Prober(harness.state, wire, harness.connections, harness.clock)
    prober.probe(harness.state.targets.get('t1'))
    assert harness.ask().status == 503


def test_target_that_wants_a_pause_is_not_probed():
    harness = SteeringHarness(make_pause(2.5), targets=[make_target('t1')])
    harness.ask()
    harness.state.targets.get('t1').ejection.begin()
    harness.clock.advance(1)
    prober = Prober(harness.state, wire, harness.connections, harness.clock)
    prober.probe_due()
    gevent.sleep(0)
    assert list_asked(harness) == ['t1']


@pytest.mark.parametrize(
    ('status', 'text', 'pause_s'),
    [
        (503, '1.5', 1.5),
        (503, 'Sat, 05 Dec 2026 03:00:00 GMT', 0),
        (503, '-1', 0),
        (503, 'inf', 0),
        (500, '1.5', 0),
        (200, '1.5', 0),
    ],
)
def test_pause_is_read_from_a_refusal(status, text, pause_s):
    answer = make_answer(status, ('Retry-After', text))
    assert wire.decode_answer(answer).pause_s == pause_s
