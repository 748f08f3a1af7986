"""The memory budget: who gets room, who loses it, and that all of it comes back."""

from types import SimpleNamespace

import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.connectionslots import (
    ConnectionSlots,
    SlotUse,
    compute_connections,
)
from currantmast.direct.heap import TRIM_BYTES, Heap
from currantmast.direct.memory import (
    SMALL_BYTES,
    STALL_S,
    MemoryBudget,
    compute_limit,
)
from currantmast.direct.rooms import CallerResources

MB = 1_000_000


class Holder:
    """A large body, and whether it was closed."""

    def __init__(self, budget, size, team='t'):
        self.closed = False
        self.reservation = budget.open(self.close)
        self.reservation.announce(size, team)
        self.has_room = self.reservation.grow()

    def close(self):
        self.closed = True


@pytest.fixture
def budget():
    return MemoryBudget(16 * MB, ManualClock(0))


def test_largest_body_fits_on_the_smallest_machine():
    budget = MemoryBudget(compute_limit(200), ManualClock(0))
    assert Holder(budget, 67_108_864).has_room


def test_large_bodies_leave_room_for_small_ones(budget):
    assert Holder(budget, 7 * MB, 'a').has_room
    assert Holder(budget, 7 * MB, 'b').has_room
    assert not Holder(budget, SMALL_BYTES + 1, 'c').has_room
    assert budget.open(lambda: None).add(SMALL_BYTES)


def test_one_team_cannot_take_all_room_but_one_body_may(budget):
    assert Holder(budget, 14 * MB, 'a').has_room
    other = MemoryBudget(16 * MB, ManualClock(0))
    assert Holder(other, 6 * MB, 'a').has_room
    assert not Holder(other, 6 * MB, 'a').has_room
    assert Holder(other, 6 * MB, 'b').has_room


def test_body_that_stalled_longest_is_closed_and_gives_its_bytes_back(budget):
    first, second = Holder(budget, 4 * MB, 'a'), Holder(budget, 4 * MB, 'b')
    budget.clock.advance(STALL_S)
    second.reservation.add(SMALL_BYTES)
    assert budget.close_stalled()
    assert (first.closed, second.closed) == (True, False)
    assert budget.held == 4 * MB
    assert not budget.close_stalled()


def test_body_that_moves_too_little_counts_as_stalled(budget):
    """Guards against a sender that keeps its room with single bytes."""
    dripping = Holder(budget, 4 * MB)
    for _ in range(10):
        budget.clock.advance(STALL_S / 5)
        dripping.reservation.add(1)
    assert budget.close_stalled()


def test_complete_body_is_not_closed(budget):
    holder = Holder(budget, 4 * MB)
    holder.reservation.add(4 * MB)
    holder.reservation.complete()
    budget.clock.advance(10)
    assert not budget.close_stalled()


def test_all_bytes_come_back_on_every_way_out(budget):
    with pytest.raises(RuntimeError), budget.open(lambda: None) as reservation:
        reservation.announce(0, 't')
        reservation.grow()
        reservation.add(10 * SMALL_BYTES)
        raise RuntimeError
    reservation.release()
    assert (budget.held, budget.by_team['t']) == (0, 0)
    assert not budget.holders


def test_pressure_ends_once_half_is_free(budget):
    holder = Holder(budget, 12 * MB)
    assert not budget.reserve(12 * MB, is_small=False)
    budget.end_pressure()
    assert budget.is_pressed
    holder.reservation.release()
    budget.end_pressure()
    assert not budget.is_pressed


class Slot:
    def __init__(self, use):
        self.use = use
        self.closed = False

    def get_use(self):
        return self.use

    def close(self):
        self.closed = True


def test_idlest_connection_closes_first_and_answering_ones_never():
    slots = ConnectionSlots(3)
    answering, receiving, idle = map(
        Slot, (SlotUse.answering, SlotUse.receiving, SlotUse.idle)
    )
    for slot in (answering, receiving, idle):
        assert slots.add(slot)
    assert slots.add(Slot(SlotUse.answering))
    assert idle.closed
    assert slots.add(Slot(SlotUse.answering))
    assert receiving.closed
    assert not slots.add(Slot(SlotUse.idle))
    assert len(slots) == 3


def test_connections_leave_descriptors_for_others():
    assert compute_connections(4200) == 3000
    assert compute_connections(400) == 150
    assert compute_connections(10) == 1


def test_heap_is_trimmed_once_after_much_was_given_back(budget):
    trims = []
    heap = Heap(budget)
    heap._library = SimpleNamespace(malloc_trim=trims.append)
    budget.held = 2 * TRIM_BYTES
    heap.update()
    budget.held = TRIM_BYTES + 1
    heap.update()
    assert not trims
    budget.held = TRIM_BYTES
    heap.update()
    heap.update()
    assert trims == [0]


def test_connection_without_memory_closes_an_idle_one(budget):
    """Guards against connections beyond the memory, within the descriptors."""
    resources = CallerResources(budget)
    idle, answering = Slot(SlotUse.idle), Slot(SlotUse.answering)
    with resources.admit(idle), resources.admit(answering) as is_admitted:
        assert is_admitted
        budget.held += budget.limit
        with resources.admit(Slot(SlotUse.answering)) as is_admitted:
            assert is_admitted
            assert idle.closed
            with resources.admit(Slot(SlotUse.idle)) as is_admitted:
                assert not is_admitted
        budget.held -= budget.limit
    assert (budget.held, len(resources.slots)) == (0, 0)
