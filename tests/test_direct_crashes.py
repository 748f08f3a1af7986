"""Requests that crash targets: suspected by all members, refused, and cleared."""

import gevent
import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.crashes import (
    CLEARED_TTL_S,
    MAX_CRASHES,
    MAX_SUSPECTS,
    MAX_TOLD,
    SUSPECT_TTL_S,
    CrashingRequests,
    make_fingerprint,
)
from currantmast.direct.crashwatch import CrashWatch
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.model import Location, TargetRecord
from currantmast.direct.unanswered import AWAITED_S, UnansweredRequests
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address

CRASHING = 'f1'


@pytest.fixture
def clock():
    return ManualClock()


def make_members(clock, count):
    return [CrashingRequests(clock) for _ in range(count)]


def tell_all(members):
    reports = [member.make_report() for member in members]
    for member in members:
        for report in reports:
            member.note_peer(report)


@pytest.mark.parametrize('size', [9, 195])
def test_request_that_comes_at_any_member_is_soon_refused_by_all(clock, size):
    """Guards against a request that ends a target each time it comes."""
    members = make_members(clock, size)
    for turn in range(MAX_CRASHES):
        assert not members[turn].is_refused(CRASHING)
        members[turn].note_crash(CRASHING, f't{turn}')
        tell_all(members)
    assert all(member.is_refused(CRASHING) for member in members)
    clock.advance(SUSPECT_TTL_S)
    assert not any(member.is_refused(CRASHING) for member in members)


def test_target_that_keeps_crashing_makes_no_request_refused(clock):
    member = CrashingRequests(clock)
    for _ in range(MAX_CRASHES):
        member.note_crash(CRASHING, 't1')
    assert not member.is_refused(CRASHING)


def test_answered_request_is_cleared_everywhere(clock):
    """Guards against refusing a frequent request because targets crash now and then."""
    first, second = make_members(clock, 2)
    first.note_crash(CRASHING, 't1')
    first.note_crash(CRASHING, 't2')
    tell_all((first, second))
    stale = first.make_report()
    second.note_answer(CRASHING)
    second.note_peer(stale)
    tell_all((first, second))
    second.note_crash(CRASHING, 't3')
    assert not second.is_refused(CRASHING)
    assert CRASHING not in first.make_report() or not first.make_report()[CRASHING]
    clock.advance(CLEARED_TTL_S)
    assert not second.is_refused(CRASHING)
    assert second.make_report() == {CRASHING: ('t3',)}


def test_suspects_are_bounded(clock):
    member = CrashingRequests(clock)
    for number in range(MAX_SUSPECTS + 1):
        member.note_crash(f'q{number}', 't1')
    assert len(member) == MAX_SUSPECTS


def test_fingerprint_tells_callers_and_bodies_apart():
    same = [make_fingerprint('a', 'POST', '/x', b'1') for _ in range(2)]
    others = {
        make_fingerprint('b', 'POST', '/x', b'1'),
        make_fingerprint('a', 'PUT', '/x', b'1'),
        make_fingerprint('a', 'POST', '/y', b'1'),
        make_fingerprint('a', 'POST', '/x', b'2'),
        make_fingerprint('aP', 'OST', '/x', b'1'),
    }
    assert same[0] == same[1]
    assert len(others - set(same)) == len(others)


class FakeConnections:
    """Refuses connections when `refuses` is set."""

    def __init__(self, refuses):
        self.refuses = refuses

    def try_connect(self, address):
        if self.refuses:
            raise NothingSent('refused')


@pytest.mark.parametrize(
    ('error', 'refuses', 'suspected'),
    [
        (ExchangeBroken('reset'), True, True),
        (AnswerIncomplete('closed'), True, True),
        (ExchangeBroken('reset'), False, False),
        (ProgressTimeout('no answer'), True, False),
    ],
)
def test_break_counts_only_if_the_target_is_gone(clock, error, refuses, suspected):
    """Guards against suspecting requests whose answers are lost by living targets."""
    crashing = CrashingRequests(clock)
    unanswered = UnansweredRequests(clock, crashing)
    watch = CrashWatch(crashing, unanswered, FakeConnections(refuses))
    place = Location('fife', 'fife-a')
    inbound = InboundRequest('POST', '/x', [], b'', keep_alive=True, received_at=0)
    for number in range(MAX_CRASHES):
        target = TargetRecord(f't{number}', 's', Address('127.0.0.1', 1), place, 1)
        watch.note_break(inbound, 'a', target, error)
        gevent.sleep(0)
    assert watch.is_refused(inbound, 'a') is suspected
    assert not watch.is_refused(inbound, 'b')


def test_answer_while_a_target_is_checked_clears_the_request(clock):
    """Guards against refusing a request that another target has answered meanwhile."""
    crashing = CrashingRequests(clock)
    unanswered = UnansweredRequests(clock, crashing)
    watch = CrashWatch(crashing, unanswered, FakeConnections(refuses=True))
    target = TargetRecord('t1', 's', Address('127.0.0.1', 1), Location('r', 'd'), 1)
    inbound = InboundRequest('POST', '/x', [], b'', keep_alive=True, received_at=0)
    watch.note_break(inbound, 'a', target, ExchangeBroken('reset'))
    watch.note_answer(inbound, 'a')
    gevent.sleep(0)
    assert not crashing


class SilentTargets:
    """Targets that fall silent with a request, and the instance that notices it."""

    def __init__(self, clock):
        self.clock = clock
        self.crashing = CrashingRequests(clock)
        self.unanswered = UnansweredRequests(clock, self.crashing)
        self.watch = CrashWatch(
            self.crashing, self.unanswered, FakeConnections(refuses=False)
        )
        self.inbound = InboundRequest('POST', '/x', [], b'', True, 0)

    def leave_unanswered(self, number):
        error = ProgressTimeout('no answer')
        self.watch.note_break(self.inbound, 'a', make_run(number, 1000), error)

    def list_run(self, number, started_at_ms):
        self.unanswered.note_listed(make_run(number, started_at_ms))

    def is_refused(self):
        return self.watch.is_refused(self.inbound, 'a')


def make_run(number, started_at_ms):
    place = Location('fife', 'fife-a')
    address = Address('127.0.0.1', 1 + number)
    return TargetRecord(
        f't{number}', 's', address, place, 1, started_at_ms=started_at_ms
    )


def test_request_is_refused_after_targets_fell_silent_with_it_and_restarted(clock):
    """Guards against a request that takes down targets which don't reset connections."""
    targets = SilentTargets(clock)
    for number in range(MAX_CRASHES):
        assert not targets.is_refused()
        targets.leave_unanswered(number)
        clock.advance(3)
        targets.list_run(number, 1000 + 3000 * (number + 1))
    assert targets.is_refused()


def test_request_to_slow_or_cut_off_targets_is_not_suspected(clock):
    """Guards against refusing a request whose targets live on, or restart much later."""
    targets = SilentTargets(clock)
    for number in range(2 * MAX_CRASHES):
        targets.leave_unanswered(number)
        targets.list_run(number, 1000)
        targets.list_run(number + 100, 5000 + 3000 * number)
    clock.advance(AWAITED_S)
    for number in range(2 * MAX_CRASHES):
        targets.list_run(number, 50_000 + 3000 * number)
    assert not targets.crashing
    assert not len(targets.unanswered)


def test_targets_that_lost_power_together_count_as_one_crash(clock):
    """Guards against a page that is refused since many targets had it as they fell."""
    targets = SilentTargets(clock)
    for number in range(2 * MAX_CRASHES):
        targets.leave_unanswered(number)
    for number in range(2 * MAX_CRASHES):
        clock.advance(0.2)
        targets.list_run(number, 61_000 + 200 * number)
    assert not targets.is_refused()


def test_answer_of_another_target_ends_the_suspicion(clock):
    """Guards against refusing a request that only some of its targets did not answer."""
    targets = SilentTargets(clock)
    for number in range(MAX_CRASHES):
        targets.leave_unanswered(number)
    targets.watch.note_answer(targets.inbound, 'a')
    for number in range(MAX_CRASHES):
        targets.list_run(number, 61_000 + 3000 * number)
    assert not targets.crashing


def test_report_is_bounded_also_for_cleared_requests(clock):
    member = CrashingRequests(clock)
    for number in range(MAX_TOLD + 1):
        member.note_crash(f'q{number}', 't1')
        member.note_answer(f'q{number}')
    assert len(member.make_report()) == MAX_TOLD
