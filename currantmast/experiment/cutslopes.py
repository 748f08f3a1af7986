"""When members remove those of a region from which only their own region is cut off."""

from collections.abc import Iterator, Sequence

from currantmast.clocks import ManualClock
from currantmast.decisions.membership import MembershipTracker
from currantmast.deployment import Timing
from currantmast.experiment.synthetic import make_record
from currantmast.messages import FleetRecord, Heartbeat

Row = list[float]

STEP_S = 2.0
CUT_S = 600.0
FIRST_REGION = 'region00'
MIDDLE_REGION = 'region10'
OTHER_REGION = 'region15'
CUT_COSTS = (
    'cut from the first region s',
    'cut from a middle region s',
    'members removed',
)


def measure_cuts(sizes: Sequence[int]) -> Iterator[Row]:
    """Yield the time until a region cut from one other region is removed.

    Its members are heard by all other regions throughout. The first region is that of
    the member with the lowest id, the middle one has half of the ids below its own.
    A time of `CUT_S` means that nobody was removed.
    """
    for size in sizes:
        record = make_record(size)
        first_s, _ = _find_removal(record, FIRST_REGION)
        middle_s, removed = _find_removal(record, MIDDLE_REGION)
        yield [size, first_s, middle_s, removed]


def _find_removal(record: FleetRecord, region: str) -> tuple[float, int]:
    clock = ManualClock(1)
    member = next(one for one in record.members if one.region == region)
    tracker = MembershipTracker(clock, Timing(), member.id, member.incarnation)
    tracker.adopt_record(record)
    heartbeats = _make_heartbeats(record, region)
    elapsed_s: float = 0
    while elapsed_s < CUT_S:
        clock.advance(STEP_S)
        elapsed_s += STEP_S
        for heartbeat in heartbeats:
            tracker.observe_heartbeat(heartbeat)
        removed = tracker.choose_removals(member.id)
        if removed:
            return elapsed_s, len(removed)
    return CUT_S, 0


def _make_heartbeats(record: FleetRecord, region: str) -> list[Heartbeat]:
    """Return what `region` hears; its own members miss the other region as well."""
    missed = tuple(one.id for one in record.members if one.region == OTHER_REGION)
    return [
        Heartbeat(
            one.id,
            one.incarnation,
            1,
            1,
            sent_at=1,
            silent=missed if one.region == region else (),
        )
        for one in record.members
        if one.region != OTHER_REGION
    ]
