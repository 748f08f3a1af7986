from hypothesis import given, settings
from hypothesis import strategies as st

from currantmast.clocks import ManualClock
from currantmast.decisions import suspects
from currantmast.decisions.quarantine import (
    MAX_CRASHES_PER_INSTANCE,
    PEER_RUN_TIMEOUT_S,
    Quarantine,
    RunAlone,
    RunShared,
    make_fingerprint,
)
from currantmast.decisions.suspects import MAX_OLDER_ENTRIES, MAX_RECENT_ENTRIES
from currantmast.messages import Suspect
from currantmast.outcomes import NotRun

BAD, GOOD = make_fingerprint('team', 'bad'), make_fingerprint('team', 'good')
LIMIT = 64
OPTIONS = settings(derandomize=True, database=None, max_examples=300)


def exchange(fleet):
    """Send the suspects of every instance to every instance."""
    for sender in fleet:
        for receiver in fleet:
            receiver.merge(sender.list_suspects())


def send_crashing(instance, fingerprint=BAD):
    """Run a request that crashes its target; return whether it ran."""
    match instance.check(fingerprint):
        case NotRun():
            return False
        case decision:
            instance.observe_crash(fingerprint, isinstance(decision, RunAlone))
            return True


def test_crash_in_an_exclusive_run_quarantines_only_suspects():
    """Guards against quarantining a request because its target crashed by itself."""
    clock = ManualClock()
    quarantine = Quarantine(clock, 600)
    quarantine.observe_crash(GOOD, alone=True)
    assert quarantine.check(GOOD) == RunAlone()
    quarantine.observe_end(GOOD, alone=True)
    assert quarantine.check(GOOD) == RunShared()
    assert [send_crashing(quarantine) for _ in range(4)] == [True, True, False, False]
    clock.advance(600)
    assert [send_crashing(quarantine) for _ in range(2)] == [True, False]


def test_other_request_on_a_crashed_target_is_cleared_by_success():
    """Guards against quarantining a request for a crash that another one caused."""
    quarantine = Quarantine(ManualClock())
    quarantine.observe_crash(BAD, alone=False, other_fingerprints=(GOOD,))
    assert quarantine.check(GOOD) == RunAlone()
    assert isinstance(quarantine.check(GOOD), NotRun)
    quarantine.abandon(GOOD)
    assert quarantine.check(GOOD) == RunAlone()
    quarantine.observe_end(GOOD, alone=True)
    assert quarantine.check(GOOD) == RunShared()


def test_exclusive_run_waits_for_one_at_a_peer_until_reports_stop():
    """Guards against two instances that run the same suspect at the same time."""
    clock = ManualClock()
    fleet = (Quarantine(clock), Quarantine(clock))
    fleet[0].observe_crash(BAD, alone=False)
    assert fleet[0].check(BAD) == RunAlone()
    exchange(fleet)
    assert isinstance(fleet[1].check(BAD), NotRun)
    clock.advance(PEER_RUN_TIMEOUT_S)
    assert fleet[1].check(BAD) == RunAlone()


def test_late_report_does_not_make_a_cleared_request_suspect():
    """Guards against a delayed report that makes a cleared request a suspect again."""
    clock = ManualClock()
    fleet = (Quarantine(clock), Quarantine(clock))
    fleet[0].observe_crash(GOOD, alone=False)
    exchange(fleet)
    clock.advance(1)
    fleet[0].check(GOOD)
    fleet[0].observe_end(GOOD, alone=True)
    exchange(fleet[::-1])
    exchange(fleet)
    assert [instance.check(GOOD) for instance in fleet] == [RunShared(), RunShared()]


def test_table_and_reports_are_bounded_and_keep_quarantined_requests(
    monkeypatch,
):
    """Guards against a flood of suspects that evicts a quarantined request."""
    monkeypatch.setattr(suspects, 'MAX_ENTRIES', LIMIT)
    clock = ManualClock()
    quarantine = Quarantine(clock)
    assert [send_crashing(quarantine) for _ in range(3)] == [True, True, False]
    clock.advance(10)
    for number in range(LIMIT + 50):
        quarantine.observe_crash(str(number), alone=False)
    quarantine.merge((Suspect('x', 'no such state', 0),))
    assert len(quarantine) == LIMIT
    assert quarantine.check('0') == RunShared()
    assert not send_crashing(quarantine)
    assert len(quarantine.list_suspects()) <= MAX_RECENT_ENTRIES + MAX_OLDER_ENTRIES
    peer = Quarantine(clock)
    clock.advance(10)
    for _ in range(LIMIT // MAX_OLDER_ENTRIES + 1):
        peer.merge(quarantine.list_suspects())
    assert not send_crashing(peer)


@OPTIONS
@given(
    st.integers(1, 4),
    st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=30),
)
def test_number_of_crashes_is_bounded_with_and_without_reports(size, sequence):
    """Guards against one request that crashes all targets of a service.

    Without reports each instance allows `MAX_CRASHES_PER_INSTANCE` crashes. If reports
    reach all instances before the next copy, the whole fleet allows two.
    """
    clock = ManualClock()
    fleet = [Quarantine(clock) for _ in range(size)]
    crashes = 0
    for chosen, reported in sequence:
        crashes += send_crashing(fleet[chosen % size])
        if reported:
            exchange(fleet)
        clock.advance(0.5)
    assert crashes <= MAX_CRASHES_PER_INSTANCE * size
    if all(reported for _, reported in sequence):
        assert crashes <= 2


@OPTIONS
@given(st.lists(st.tuples(st.integers(0, 1), st.integers(0, 4)), max_size=40))
def test_request_that_never_crashes_a_target_alone_is_never_quarantined(steps):
    """Guards against quarantining a request that repeatedly shares crashing targets."""
    clock = ManualClock()
    fleet = (Quarantine(clock), Quarantine(clock))
    for chosen, action in steps:
        instance = fleet[chosen]
        clock.advance(0.5)
        if action == 0:
            instance.observe_crash(BAD, alone=False, other_fingerprints=(GOOD,))
        elif action == 1:
            exchange(fleet)
        elif action == 2 and instance.check(GOOD) == RunAlone():
            instance.observe_end(GOOD, alone=True)
        elif action == 3:
            instance.observe_end(GOOD)
        for suspect in instance.list_suspects():
            assert (suspect.fingerprint, suspect.state) != (GOOD, 'quarantined')
