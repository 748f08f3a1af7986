"""Recognition of entries from an old copy of the store."""

import pytest
from test_direct_steering import make_target

from currantmast.clocks import ManualClock
from currantmast.direct.targetsequences import REMEMBERED_S, TargetSequences


@pytest.fixture
def sequences():
    found = TargetSequences(ManualClock(1000))
    found.put(make_target('t1', started_at_ms=5, sequence=7))
    return found


@pytest.mark.parametrize(
    ('started_at_ms', 'sequence', 'older'),
    [(5, 6, True), (5, 7, False), (5, 8, False), (4, 9, True), (6, 1, False)],
)
def test_listed_target_said_something_newer(sequences, started_at_ms, sequence, older):
    record = make_target('t1', started_at_ms=started_at_ms, sequence=sequence)
    assert sequences.is_older(record) is older


@pytest.mark.parametrize(('sequence', 'older'), [(7, True), (8, False)])
def test_removed_target_said_something_newer(sequences, sequence, older):
    sequences.remove('t1')
    record = make_target('t1', started_at_ms=5, sequence=sequence)
    assert sequences.is_older(record) is older


def test_removed_targets_are_forgotten_in_the_end(sequences):
    """Guards against memory that grows with each target that ever left."""
    for number in range(50):
        sequences.put(make_target(f'n{number}'))
        sequences.remove(f'n{number}')
    sequences.remove('t1')
    sequences.put(make_target('t1', started_at_ms=6))
    sequences._clock.advance(REMEMBERED_S + 1)
    sequences.put(make_target('last'))
    sequences.remove('last')
    assert set(sequences._newest) == {'t1', 'last'}
