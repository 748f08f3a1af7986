from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from currantmast.clocks import ManualClock
from currantmast.decisions.slots import (
    LoadReport,
    SlotQueue,
    TargetSlots,
    Waiter,
    choose_target,
)
from currantmast.decisions.target_health import EJECT_AFTER, FIRST_EJECTION_S
from currantmast.deployment import Target
from currantmast.messages import Address
from currantmast.outcomes import Done, NotRun, OutcomeUnknown, Reason

DONE = Done(200)
LOST = OutcomeUnknown(Reason.connection_lost)
SHED = NotRun(Reason.target_shed)
ERROR = Done(500)


def make_slots(clock, number=0, slots=3, warm=True):
    address = Address('127.0.0.1', 1)
    target = Target(f't{number}', 's', 'r', 'd', address, slots, 10)
    return TargetSlots(clock, target, warm=warm)


def run(slots, result, request_id='x'):
    assert slots.try_start(request_id)
    slots.finish(request_id, result)


def push(queue, request_id, team='a', *, deadline_at=100, alone=False):
    """Queue a waiter and return the list to which its refusal or target is added."""
    answers = []
    waiter = Waiter(request_id, team, deadline_at, answers.append, alone)
    refusal = queue.push(waiter)
    return [refusal] if refusal else answers


def test_cold_new_and_returning_targets_start_with_one_slot():
    """Guards against a burst of requests to a target that has just started."""
    slots = make_slots(ManualClock(), warm=False)
    counts = []
    for event in (None, 'run', 'run', 'cold', 'run', 'cold', 'drain'):
        match event:
            case 'run':
                run(slots, DONE)
            case 'cold':
                slots.observe_load(LoadReport(0, 3, cold=True))
            case 'drain':
                slots.drain()
                assert not slots.try_start('y')
                slots.undrain()
        counts.append(slots.count_free())
    assert counts == [1, 2, 3, 1, 2, 2, 1]


def test_slow_start_advances_during_long_requests():
    """Guards against a slow start that long uploads hold at one slot for minutes."""
    clock = ManualClock()
    slots = make_slots(clock, warm=False)
    assert slots.try_start('long')
    clock.advance(2)
    assert slots.try_start('second')


def test_failures_eject_then_probe_with_backoff():
    """Guards against a failing target that keeps receiving requests."""
    clock = ManualClock()
    slots = make_slots(clock)
    for _ in range(EJECT_AFTER):
        run(slots, ERROR)
    assert slots.count_usable() == 0
    clock.advance(FIRST_EJECTION_S)
    assert slots.count_free() == 1
    run(slots, ERROR)
    clock.advance(FIRST_EJECTION_S)
    assert slots.count_free() == 0
    clock.advance(FIRST_EJECTION_S)
    run(slots, DONE)
    assert slots.count_free() == 2


def test_fast_failures_do_not_attract_requests():
    """Guards against preferring a target that looks idle because it fails quickly."""
    clock = ManualClock()
    failing_target, healthy_target = make_slots(clock, 1), make_slots(clock, 2)
    run(failing_target, ERROR)
    assert healthy_target.try_start('running')
    clock.advance(1)
    assert choose_target((failing_target, healthy_target)) is healthy_target


def test_choice_is_most_free_then_least_recently_used():
    """Guards against sending all requests to the first of several equal targets."""
    clock = ManualClock()
    targets = [make_slots(clock, number) for number in range(3)]
    order = []
    for number in range(6):
        clock.advance(1)
        chosen = choose_target(targets)
        assert chosen.try_start(str(number))
        order.append(chosen.target.id)
    assert order == ['t0', 't1', 't2', 't0', 't1', 't2']


def test_load_reports_never_raise_the_number_of_free_slots():
    """Guards against load reports that are late or wrong and cause overload."""
    clock = ManualClock()
    slots = make_slots(clock)
    assert slots.try_start('own')
    slots.observe_load(LoadReport(0, 100, requested_at=clock.now()))
    assert slots.count_free() == 2
    slots.finish('own', DONE)
    slots.observe_load(LoadReport(1, 3, requested_at=clock.now()))
    assert slots.count_free() == 3, 'the report lags behind the own request'
    slots.observe_load(LoadReport(5, 0, requested_at=clock.now()))
    assert slots.count_usable() == 1
    assert slots.count_free() == 0
    clock.advance(10)
    assert slots.count_free() == 3, 'the report is out of date'
    slots.observe_load(LoadReport(0, 3, draining=True, requested_at=clock.now()))
    assert slots.count_free() == 0


def test_shed_answer_limits_the_target_for_a_time():
    """Guards against retrying at once on a target that sheds load."""
    clock = ManualClock()
    slots = make_slots(clock)
    assert slots.try_start('running')
    run(slots, SHED)
    assert slots.count_free() == 0
    clock.advance(1)
    assert slots.count_free() == 2


def test_hold_of_an_expired_owner_ends_by_a_later_report_only():
    """Guards against overload by requests that a previous owner still has running."""
    clock = ManualClock(10)
    slots = make_slots(clock)
    slots.hold(3, until=60, holder='previous', releasable_after=10)
    slots.observe_load(LoadReport(0, 3, requested_at=12))
    assert slots.count_free() == 0
    clock.advance(3)
    slots.observe_load(LoadReport(1, 3, requested_at=13))
    assert slots.count_free() == 2


def test_teams_are_served_round_robin_and_the_longest_queue_is_evicted():
    """Guards against starvation of teams by one that fills the queue."""
    clock = ManualClock()
    queue = SlotQueue(clock, limit=4, wait_s=1)
    slots = make_slots(clock, slots=1)
    assert slots.try_start('first')
    large = [push(queue, f'a{number}', 'a') for number in range(4)]
    small = [push(queue, f'b{number}', 'b') for number in range(3)]
    assert [bool(answers) for answers in large] == [False, False, True, True]
    assert [bool(answers) for answers in small] == [False, False, True]
    running, order = 'first', []
    while len(queue):
        slots.finish(running, DONE)
        assert queue.dispatch((slots,)) == 1
        (running,) = slots._running
        order.append(running)
    assert order == ['a0', 'b0', 'a1', 'b1']


def test_busy_owner_reserves_a_target_for_a_request_that_runs_alone():
    """Guards against starvation of a request that must run alone."""
    clock = ManualClock()
    targets = [make_slots(clock, number) for number in range(2)]
    queue = SlotQueue(clock, limit=99, wait_s=1)
    for number in range(5):
        push(queue, f'p{number}')
    queue.dispatch(targets)
    alone = push(queue, 'alone', 'b', alone=True)
    for number in range(20):
        push(queue, f'q{number}')
        oldest = next((slots for slots in targets if slots._running), None)
        oldest.finish(next(iter(oldest._running)), DONE)
        queue.dispatch(targets)
        if alone:
            break
    assert alone[0].count_running() == 1
    assert alone[0].count_free() == 0


RESULTS = st.sampled_from((DONE, DONE, LOST, SHED, ERROR))


class SlotStateMachine(RuleBasedStateMachine):
    """Compares the owner's count with the requests that the targets are running."""

    LIMIT, SLOTS, TIMEOUT_S = 5, 3, 6

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(50)
        self.targets = [make_slots(self.clock, number) for number in range(2)]
        self.queue = SlotQueue(self.clock, self.LIMIT, wait_s=1)
        # For each target, the requests that it is running, from any owner, and their ends.
        self.work = [{} for _ in self.targets]
        self.pushed, self.resolved, self.cancelled = set(), [], set()

    def resolve(self, request_id, answer):
        self.resolved.append(request_id)
        if isinstance(answer, TargetSlots):
            number = self.targets.index(answer)
            assert not answer._drained
            self.work[number][request_id] = self.clock.now() + self.TIMEOUT_S

    @rule(team=st.sampled_from('abc'), alone=st.sampled_from((False, False, True)))
    def push(self, team, alone):
        request_id = str(len(self.pushed))
        self.pushed.add(request_id)
        waiter = Waiter(
            request_id,
            team,
            self.clock.now() + self.TIMEOUT_S,
            lambda answer: self.resolve(request_id, answer),
            alone,
        )
        if self.queue.push(waiter):
            self.resolved.append(request_id)
        self.queue.dispatch(self.targets)

    @precondition(lambda self: len(self.queue))
    @rule(data=st.data())
    def cancel(self, data):
        waiting = sorted(self.pushed - set(self.resolved) - self.cancelled)
        request_id = data.draw(st.sampled_from(waiting))
        assert self.queue.cancel(request_id)
        assert not self.queue.cancel(request_id)
        self.cancelled.add(request_id)

    @precondition(lambda self: any(slots._running for slots in self.targets))
    @rule(data=st.data(), result=RESULTS)
    def finish(self, data, result):
        numbers = [n for n, slots in enumerate(self.targets) if slots._running]
        number = data.draw(st.sampled_from(numbers))
        slots = self.targets[number]
        request_id = data.draw(st.sampled_from(sorted(slots._running)))
        assert slots.finish(request_id, result)
        assert not slots.finish(request_id, result)
        if result is not LOST:
            self.work[number].pop(request_id)
        self.queue.dispatch(self.targets)

    @rule(number=st.integers(0, 1), count=st.integers(0, 2))
    def take_over(self, number, count):
        """Hold slots for a previous owner's requests before this owner starts any."""
        slots = self.targets[number]
        if not self.work[number] and not slots.count_held():
            until = self.clock.now() + self.TIMEOUT_S
            slots.hold(count, until, 'previous')
            for _ in range(count):
                self.work[number][object()] = until

    @rule(
        number=st.integers(0, 1),
        running=st.integers(0, 6),
        slots=st.integers(0, 9),
        flags=st.sampled_from(((False, False), (True, False), (False, True))),
    )
    def report(self, number, running, slots, flags):
        report = LoadReport(running, slots, *flags, requested_at=self.clock.now())
        self.targets[number].observe_load(report)

    @rule(number=st.integers(0, 1), drained=st.booleans())
    def drain(self, number, drained):
        slots = self.targets[number]
        slots.drain() if drained else slots.undrain()

    @rule(seconds=st.sampled_from((0.1, 0.6, 3)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        for slots, work in zip(self.targets, self.work, strict=True):
            for request_id, until in tuple(work.items()):
                if until <= self.clock.now():
                    work.pop(request_id)
                    slots.finish(request_id, NotRun(Reason.deadline))
        self.queue.dispatch(self.targets)

    @invariant()
    def work_never_exceeds_slots(self):
        for slots, work in zip(self.targets, self.work, strict=True):
            assert len(work) <= self.SLOTS
            assert slots.count_running() + slots.count_held() <= self.SLOTS
            alone = any(entry.alone for entry in slots._running.values())
            assert not alone or len(work) == 1

    @invariant()
    def queue_is_bounded_and_loses_no_waiter(self):
        assert len(self.queue) <= self.LIMIT
        assert len(self.resolved) == len(set(self.resolved))
        waiting = self.pushed - set(self.resolved) - self.cancelled
        assert len(waiting) == len(self.queue)
        assert not waiting or self.queue.next_expiry() > self.clock.now()


TestSlots = SlotStateMachine.TestCase
TestSlots.settings = settings(
    derandomize=True, database=None, max_examples=200, stateful_step_count=40
)
