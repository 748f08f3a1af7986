"""Targets: ejection, probes, limits of cold targets and changes of the target list."""

from currantmast.clocks import ManualClock
from currantmast.direct.coldstart import ColdStartLimit
from currantmast.direct.loads import Load
from currantmast.direct.model import (
    Bounds,
    InstanceRecord,
    Location,
    Service,
    TargetRecord,
)
from currantmast.direct.targets import Target, TargetTable
from currantmast.messages import Address

HERE = Location('fife', 'fife-a')
ADDRESS = Address('127.0.0.1', 9)


def make_record(name='t1', **fields):
    return TargetRecord(name, 'desk', ADDRESS, HERE, 3, **fields)


def test_failures_in_a_row_eject_until_a_probe_succeeds():
    clock = ManualClock(100)
    target = Target(make_record(), clock)
    for _ in range(3):
        target.note_failure()
    assert target.ejection
    assert not target.ejection.begin_probe()
    clock.advance(0.6)
    assert target.ejection.begin_probe()
    assert not target.ejection.begin_probe()
    target.note_probe(healthy=False, cold_s=0)
    clock.advance(0.6)
    assert not target.ejection.begin_probe()
    clock.advance(0.6)
    assert target.ejection.begin_probe()
    target.note_probe(healthy=True, cold_s=2)
    assert not target.ejection
    assert target.cold_start.is_cold()


def test_success_between_failures_keeps_a_target():
    target = Target(make_record(), ManualClock(100))
    for _ in range(6):
        target.note_failure()
        target.history.note_success(1)
    assert not target.ejection


def test_failure_rate_and_slowness_decay():
    clock = ManualClock(100)
    target = Target(make_record(), clock)
    target.history.note_success(8)
    target.note_failure()
    clock.advance(40)
    assert target.history.slowness < 1.01
    assert target.history.failure_rate < 0.01


def test_restart_under_the_same_id_discards_the_earlier_run():
    table = TargetTable(ManualClock(100))
    table.put(make_record(started_at_ms=1))
    table.get('t1').note_handled('x')
    table.put(make_record(started_at_ms=1, cold_left_s=0))
    assert table.get('t1').has_cached('x')
    table.put(make_record(started_at_ms=2))
    assert not table.get('t1').has_cached('x')


def test_targets_of_a_restored_domain_are_cold():
    table = TargetTable(ManualClock(100))
    table.put(make_record())
    table.evacuate(frozenset(['fife-a']), 3)
    assert table.list_usable('desk') == []
    table.evacuate(frozenset(), 3)
    assert table.list_usable('desk')[0].cold_start.is_cold()


def test_all_instances_together_stay_within_the_limit_of_a_cold_target():
    """Guards against overload after a restart, when a target looks idle to all."""
    bounds = Bounds()
    service = Service('desk', cold_s=3, cold_rate=3.5)
    record = make_record(cold_left_s=30)
    members = [
        InstanceRecord(f'i{number}', 'r', HERE, ADDRESS, ADDRESS)
        for number in range(70)
    ]
    clock = ManualClock(100)
    targets = []
    for member in members:
        limit = ColdStartLimit(member.id)
        limit.rank_members(members)
        targets.append((Target(record, clock), limit.get_rate(record, service, bounds)))
    clock.advance(1)
    sent = []
    for _ in range(80):
        count = 0
        for target, rate in targets:
            if target.cold_start.has_token(rate):
                target.cold_start.take_token(rate)
                count += 1
        sent.append(count)
        clock.advance(0.05)
    worst = max(sum(sent[at : at + 20]) for at in range(60))
    assert 3 <= worst <= 3.5 * bounds.cold_factor + bounds.cold_extra


def test_reported_load_takes_precedence_over_heartbeats_while_recent():
    """Guards against queues caused by requests that no heartbeat has reported yet."""
    clock = ManualClock(0)
    table = TargetTable(clock)
    table.put(make_record())
    target = table.get('t1')
    target.in_flight = 1
    target.note_report(Load(running=3, waiting=4, slots=3))
    assert target.load == 7
    table.update_peer_loads({'t1': 1})
    assert target.load == 7
    clock.advance(0.2)
    table.update_peer_loads({'t1': 1})
    assert target.load == 2


def test_reported_load_below_own_requests_is_ignored():
    target = Target(make_record(), ManualClock(0))
    target.in_flight = 3
    target.note_report(Load(running=1, waiting=0, slots=3))
    assert target.load == 3
