"""What targets ask of an instance in their answers."""

import msgspec
import pytest
from test_direct_steering import (
    NOT_RUN_HEADER,
    OK,
    STAMP,
    SteeringHarness,
    make_answer,
    make_target,
)

from currantmast.clocks import ManualClock
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.instance_state import TargetSubscriber
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
