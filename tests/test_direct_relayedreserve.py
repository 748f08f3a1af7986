"""What a reserve learns in time while the relays that it follows are in trouble."""

import gevent
import pytest
from relayedreserve import RelayedReserve

from currantmast.direct.model import Bounds
from currantmast.direct.updates import Topic

# Seconds before the bound by which a change must be known, so that the last request that
# was sent without knowing it has arrived by then.
SEND_MARGIN_S = 0.3

# Seconds after the trouble at which the store changes.
CHANGE_AFTER_S = 0.1


def freeze_both(relays):
    for relay in relays[:2]:
        relay.freeze()


def silence_both(relays):
    for relay in relays[:2]:
        relay.fall_silent()


def slow_both_down(relays):
    for relay in relays[:2]:
        relay.slow_down()


def cut_both_from_the_store(relays):
    for relay in relays[:2]:
        relay.lose_store()


def refuse_and_freeze(relays):
    relays[0].refuse()
    relays[1].freeze()


def run(size, bounds, trouble):
    with RelayedReserve(size, bounds) as fleet:
        gevent.sleep(0.5)
        fleet.begin_next_watches()
        trouble(fleet.relays)
        gevent.sleep(CHANGE_AFTER_S)
        delays = fleet.measure_delays(fleet.change_all(), bounds.evacuation_s + 1)
    return delays


def check(delays, bounds):
    assert delays[Topic.targets] <= bounds.propagation_s - SEND_MARGIN_S, delays
    assert delays[Topic.configuration] <= bounds.propagation_s - SEND_MARGIN_S, delays
    assert delays[Topic.evacuations] <= bounds.evacuation_s - SEND_MARGIN_S, delays


@pytest.mark.parametrize('size', [9, 63, 195])
@pytest.mark.parametrize('propagation_s', [2.5, 3, 4])
def test_reserve_learns_in_time_while_its_relays_are_frozen(size, propagation_s):
    """Guards against orders for a target that left, from behind two frozen relays."""
    bounds = Bounds(propagation_s=propagation_s)
    check(run(size, bounds, freeze_both), bounds)


@pytest.mark.parametrize(
    'trouble',
    [silence_both, slow_both_down, cut_both_from_the_store, refuse_and_freeze],
)
@pytest.mark.parametrize('propagation_s', [2.5, 3])
def test_reserve_learns_in_time_from_relays_in_other_troubles(trouble, propagation_s):
    """Guards against other relays that fail without saying so."""
    bounds = Bounds(propagation_s=propagation_s)
    check(run(63, bounds, trouble), bounds)


def test_reserve_learns_of_an_evacuation_in_time_by_a_short_bound():
    """Guards against a bound on evacuations that only targets are held to."""
    bounds = Bounds(propagation_s=3, evacuation_s=2.5)
    check(run(63, bounds, freeze_both), bounds)


@pytest.mark.parametrize('trouble', [freeze_both, silence_both, refuse_and_freeze])
def test_reserve_that_starts_reads_all_in_time_beside_silent_relays(trouble):
    """Guards against a start that waits for one silent relay after the other."""
    bounds = Bounds(propagation_s=2.5)

    def let_read_and_trouble(relays):
        gevent.sleep(0.5)
        trouble(relays)

    with RelayedReserve(63, bounds, let_read_and_trouble) as fleet:
        fleet.store.put('evacuations', 'fife-0', {})
        delays = fleet.measure_delays(fleet.started_at, 4)
    check(delays, bounds)


@pytest.mark.parametrize('size', [9, 63])
def test_calm_reserve_learns_at_once(size):
    bounds = Bounds(propagation_s=2.5)
    delays = run(size, bounds, lambda relays: None)
    assert max(delays.values()) < 1.5, delays
