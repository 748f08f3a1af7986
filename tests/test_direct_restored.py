"""Fleets that follow a store which came back from a copy."""

import os
import random

import pytest
from followingfleet import FollowingFleet, make_configuration, make_server

SEED = int(os.environ.get('RESTORED_SEED', '1'))
SIZES = (9, 195)
OUTAGE_S = 2

# The operator writes a lost version again this long after the store's return.
REWRITE_S = 0.5


@pytest.fixture
def fleet(request):
    with FollowingFleet(getattr(request, 'param', 9), random.Random(SEED)) as running:
        put_configuration(running, 3)
        for number in range(1, 20):
            running.store.put('servers', f't{number}', make_server(number))
        running.run(2)
        yield running


def put_configuration(fleet, version):
    fleet.store.put('config', 'main', make_configuration(version, f'r{version}'))


def raise_revision(fleet):
    """Write often enough that a new era reaches the old revision late."""
    for seq in range(60):
        fleet.store.put('servers', 't1', make_server(1, seq=seq, slots=seq + 1))


def lose(fleet, copy):
    """Play an outage after which the store is restored from `copy`."""
    fleet.store.faults.outage = True
    fleet.run(OUTAGE_S)
    fleet.store.restore(copy)
    fleet.store.faults.outage = False


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_confirmed_configuration_is_in_force_after_the_store_was_restored(fleet):
    """Guards against reserves that watch a relay from a revision of the lost history."""
    copy = fleet.store.take_copy()
    raise_revision(fleet)
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(REWRITE_S)
    put_configuration(fleet, 5)
    fleet.run(1)
    put_configuration(fleet, 6)
    fleet.run(1)
    assert set(fleet.versions().values()) == {6}


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_restored_store_is_followed_before_it_is_written_to(fleet):
    """Guards against instances that take each list of the restored store as outdated."""
    copy = fleet.store.take_copy()
    raise_revision(fleet)
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(2.5)
    assert not fleet.list_without_lease()


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_changes_at_revisions_given_out_anew_are_not_missed(fleet):
    """Guards against a watch that goes on at the same revision of another history."""
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    fleet.network.cut_off.update(fleet.instances)
    fleet.run(1)
    fleet.store.restore(copy)
    put_configuration(fleet, 6)
    raise_revision(fleet)
    fleet.network.cut_off.clear()
    fleet.run(1.5)
    assert set(fleet.versions().values()) == {6}


def list_targets(fleet):
    """Return which targets the instances may use, once for all that agree."""
    return {
        frozenset(found.record.id for found in instance.state.targets.list_staying())
        for instance in fleet.instances.values()
    }


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_targets_that_a_restore_lost_stay_until_they_are_written_again(fleet):
    """Guards against a table of targets that a restore empties."""
    copy = fleet.store.take_copy()
    fleet.store.put('servers', 'new', make_server(40))
    fleet.run(1)
    before = list_targets(fleet)
    assert before == {frozenset((*(f't{n}' for n in range(1, 20)), 'new'))}
    lose(fleet, copy)
    for _ in range(3):
        fleet.run(REWRITE_S)
        assert list_targets(fleet) == before
    fleet.store.put('servers', 'new', make_server(40, seq=9))
    fleet.run(2)
    assert list_targets(fleet) == before


def test_target_that_a_restore_lost_is_dropped_if_it_is_not_written_again(fleet):
    copy = fleet.store.take_copy()
    fleet.store.put('servers', 'new', make_server(40))
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(3)
    assert list_targets(fleet) == {frozenset(f't{n}' for n in range(1, 20))}


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_targets_that_left_before_a_restore_get_no_requests_after_it(fleet):
    """Guards against entries from the copy of targets that are leaving or have left."""
    copy = fleet.store.take_copy()
    fleet.store.put('servers', 't2', make_server(2, seq=7, state='draining'))
    fleet.store.remove('servers', 't3')
    fleet.run(1)
    expected = {frozenset(f't{n}' for n in range(1, 20) if n not in {2, 3})}
    assert list_targets(fleet) == expected
    lose(fleet, copy)
    for _ in range(4):
        fleet.run(1)
        assert list_targets(fleet) == expected
    fleet.store.remove('servers', 't2')
    fleet.store.remove('servers', 't3')
    fleet.run(3)
    assert list_targets(fleet) == expected


def test_target_that_a_restore_brings_back_and_that_lives_is_used_again(fleet):
    copy = fleet.store.take_copy()
    fleet.store.remove('servers', 't3')
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(1)
    fleet.store.put('servers', 't3', make_server(3, seq=12, slots=5))
    fleet.run(1.5)
    assert all('t3' in targets for targets in list_targets(fleet))


def test_entry_of_a_target_that_nobody_removes_is_used_in_the_end(fleet):
    """Guards against a living target whose entry the store needn't write again."""
    copy = fleet.store.take_copy()
    fleet.store.remove('servers', 't3')
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(8)
    assert all('t3' in targets for targets in list_targets(fleet))


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_evacuation_that_a_restore_lost_stays_in_force(fleet):
    """Guards against requests to a failure domain before its evacuation is taken back."""
    copy = fleet.store.take_copy()
    fleet.store.put('evacuations', 'fife-0', {})
    fleet.run(1)
    lose(fleet, copy)
    for _ in range(3):
        fleet.run(REWRITE_S)
        assert list_targets(fleet) == {frozenset()}
    fleet.store.put('evacuations', 'fife-0', {})
    fleet.run(2)
    assert list_targets(fleet) == {frozenset()}


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_restored_store_without_the_newest_configuration_renews_no_lease(fleet):
    """Guards against keys in use again that the lost configuration had withdrawn."""
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    returned_at = fleet.clock.now()
    fleet.run(2)
    leases = [found.state.freshness for found in fleet.instances.values()]
    assert all(lease.confirmed_at < returned_at for lease in leases)
    put_configuration(fleet, 5)
    fleet.run(1.5)
    assert not fleet.list_without_lease()


def test_new_run_needs_the_version_that_its_peers_have(fleet):
    """Guards against a withdrawn key in use again after a restart in a restored store."""
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    restarted = fleet.restart('i003')
    fleet.run(1)
    assert not restarted.has_lease()
    put_configuration(fleet, 5)
    fleet.run(1)
    assert restarted.has_lease()


def test_new_run_waits_for_a_configuration_that_is_written_again_late(fleet):
    """Guards against a withdrawn key in use again while the peers still tell of it."""
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    restarted = fleet.restart('i003')
    for _ in range(20):
        fleet.run(0.5)
        assert not restarted.has_lease()
    put_configuration(fleet, 5)
    fleet.run(1)
    assert restarted.has_lease()


def test_lost_configuration_that_is_not_written_again_stops_nobody_for_long(fleet):
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    fleet.run(7)
    assert not fleet.list_without_lease()
    assert set(fleet.versions().values()) == {5}


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
def test_new_run_admits_nothing_before_a_peer_could_tell_of_a_newer_version(fleet):
    """Guards against a withdrawn key in use again until the first heartbeat arrives."""
    copy = fleet.store.take_copy()
    put_configuration(fleet, 5)
    fleet.run(1)
    lose(fleet, copy)
    restarted = fleet.restart('i003')
    for _ in range(12):
        assert not restarted.has_lease()
        assert not restarted.state.is_ready()
        fleet.run(0.1)
    put_configuration(fleet, 5)
    fleet.run(1)
    assert restarted.has_lease()


def test_new_run_whose_peers_are_silent_admits_after_a_while(fleet):
    """Guards against an instance that waits for members that no longer run."""
    for name in fleet.instances:
        if name != 'i003':
            fleet.network.cut_off.add(name)
    restarted = fleet.restart('i003')
    fleet.run(1)
    assert not restarted.has_lease()
    fleet.run(1.5)
    assert restarted.has_lease()
