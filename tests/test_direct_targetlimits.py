"""Limits that targets name for the requests of the whole fleet."""

import os
import random

import msgspec
import pytest
from limitedfleet import EXTRA, FACTOR, LimitedFleet

from currantmast.direct.answers import Answer
from currantmast.direct.instance_state import TargetSubscriber
from currantmast.platform import wire

LOAD = 15
SEED = int(os.environ.get('LIMIT_SEED', '3'))


@pytest.fixture
def fleet(request):
    with LimitedFleet(getattr(request, 'param', 9), random.Random(SEED)) as running:
        running.run(LOAD, 2)
        yield running


@pytest.mark.parametrize('fleet', [9, 60], indirect=True)
@pytest.mark.parametrize('rate', [1.1, 3.4])
def test_limit_that_a_target_names_is_kept_by_the_whole_fleet(fleet, rate):
    fleet.target.rate = rate
    fleet.run(LOAD, 16)
    assert fleet.target.measure_excess() <= 0


@pytest.mark.parametrize('rate', [1.1, 3.4])
def test_target_at_its_limit_is_used_up_to_it(fleet, rate):
    """Guards against shares of a small rate that admit nothing."""
    fleet.target.rate = rate
    fleet.run(LOAD, 4)
    since = fleet.run(LOAD, 12)
    assert fleet.target.count_since(since) >= 0.7 * rate * 12


def test_limit_ends_for_all_when_the_target_names_none(fleet):
    fleet.target.rate = 1.1
    fleet.run(LOAD, 5)
    fleet.target.rate = None
    fleet.run(LOAD, 2)
    since = fleet.run(LOAD, 2)
    assert fleet.target.count_since(since) == LOAD * 2


def test_limit_that_rises_and_falls_is_followed(fleet):
    fleet.target.rate = 1.1
    fleet.run(LOAD, 6)
    fleet.target.rate = 3.4
    since = fleet.run(LOAD, 6)
    assert fleet.target.count_since(since) >= 0.7 * 3.4 * 6
    fleet.target.rate = 1.1
    fleet.run(LOAD, 4)
    since = fleet.run(LOAD, 4)
    assert fleet.target.count_since(since) <= FACTOR * 1.1 * 4 + EXTRA


def test_limit_of_nothing_still_lets_the_target_be_asked(fleet):
    """Guards against a target that nobody asks again whether it names a limit."""
    fleet.target.rate = 0
    fleet.run(LOAD, 10)
    fleet.target.rate = None
    fleet.run(LOAD, 12)
    since = fleet.run(LOAD, 2)
    assert fleet.target.count_since(since) == LOAD * 2


@pytest.mark.parametrize('fleet', [9, 60], indirect=True)
def test_limit_under_the_prefixed_header_is_kept(fleet):
    fleet.target.header = 'X-Currantmast-Server-Limit'
    fleet.target.rate = 1.1
    fleet.run(LOAD, 10)
    assert fleet.target.measure_excess() <= 0


@pytest.mark.parametrize('fleet', [9, 60], indirect=True)
def test_instance_that_starts_again_keeps_the_limit(fleet):
    """Guards against a new run that knows of no limit and is told none for a while."""
    fleet.target.rate = 1.1
    fleet.run(LOAD, 5)
    for name in sorted(fleet.instances)[:3]:
        fleet.restart(name)
        fleet.run(LOAD, 2)
    assert fleet.target.measure_excess() <= 0


@pytest.mark.parametrize('fleet', [9, 60], indirect=True)
def test_instances_that_do_not_hear_each_other_keep_the_limit(fleet):
    """Guards against a share that rises when the others fall silent."""
    fleet.target.rate = 1.1
    fleet.run(LOAD, 5)
    fleet.cut_off.update(sorted(fleet.instances)[::2])
    fleet.run(LOAD, 6)
    fleet.cut_off.clear()
    fleet.run(LOAD, 3)
    assert fleet.target.measure_excess() <= 0


@pytest.mark.parametrize('fleet', [9, 60], indirect=True)
def test_request_that_only_a_target_at_its_limit_could_take_is_refused_at_once(fleet):
    fleet.target.rate = 0.5
    fleet.run(LOAD, 5)
    before = fleet.clock.now()
    answers = [instance.ask() for instance in fleet.instances.values()]
    assert fleet.clock.now() == before
    assert 503 in {answer.status for answer in answers}


def test_target_that_starts_anew_has_no_limit(fleet):
    fleet.target.rate = 1.1
    fleet.run(LOAD, 1)
    state = next(iter(fleet.instances.values())).state
    assert len(state.target_limits) == 1
    record = state.targets.get('t1').record
    newer = msgspec.structs.replace(record, started_at_ms=record.started_at_ms + 1)
    TargetSubscriber(state, NoConnections()).put('t1', newer)
    assert len(state.target_limits) == 0


class NoConnections:
    def close_idle(self, target_id):
        """Close nothing."""


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('1.1', 1.1), ('0', 0), ('', None), ('-1', None), ('nan', None), ('inf', None)],
)
@pytest.mark.parametrize('name', ['Server-Limit', 'X-Currantmast-Server-Limit'])
def test_limit_is_read_from_its_header(name, text, rate):
    answer = Answer(200, 'OK', ((name, text),), b'')
    assert wire.decode_answer(answer).rate_limit == rate


def test_limit_outlives_a_missing_entry_of_its_target(fleet):
    """Guards against a limit that is forgotten while the entry is only gone for a moment."""
    fleet.target.rate = 1.1
    fleet.run(LOAD, 1)
    state = next(iter(fleet.instances.values())).state
    record = state.targets.get('t1').record
    subscriber = TargetSubscriber(state, NoConnections())
    subscriber.remove('t1')
    subscriber.put('t1', record)
    assert len(state.target_limits) == 1
