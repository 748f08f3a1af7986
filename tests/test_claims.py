"""At most one execution for each request key."""

import itertools

import gevent
import pytest
from hypothesis import given, settings, strategies
from msgspec.structs import replace

from currantmast.clocks import LoopClock, ManualClock
from currantmast.decisions.claimkeys import ClaimKey, parse_claim_key
from currantmast.decisions.claimrecords import (
    ClaimBatch,
    Fresh,
    InProgress,
    RecordedAnswer,
    Released,
    Repeated,
    Unavailable,
    decode_batch,
    encode_batch,
)
from currantmast.decisions.claims import ClaimLog, Pending
from currantmast.messages import Address
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.claims import ClaimService, ClaimSettings, PartitionTask
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor
from currantmast.standins.objects import ObjectFaults, ObjectService, ObjectsSettings
from currantmast.standins.serving import serve

LIFETIME_S = 900
OWNERS = 3
INCARNATIONS = itertools.count()


# Actions of the race; the more likely ones are listed more often.
ACTIONS = (
    *('claim', 'append', 'claim', 'append', 'start_write', 'lose', 'land_late'),
    *('claim', 'append', 'claim', 'append', 'release', 'release_undecided'),
    *('record', 'delete', 'restart', 'pass_time'),
)


class SkewedClock:
    """A host's view of the time: its wall clock is off."""

    def __init__(self, clock, offset):
        self.now = clock.now
        self.wall = lambda: clock.wall() + offset


class Owner:
    """One owner of the partition, with a batch that may be on its way."""

    def __init__(self, clock, number):
        # Wall clocks differ by 50 s, less than the margin of 60 s.
        skewed = SkewedClock(clock, 25 * (number - 1))
        writer = f'{number}/{next(INCARNATIONS)}'
        self.log = ClaimLog(0, skewed, LIFETIME_S, writer)
        self.batch = None


class Race:
    """Owners that race on one log, with lost, late and refused writes.

    `objects` is the store. `late` holds writes that may still take effect although
    their answer was lost. `running` names, for each key, the attempts that were told
    that the claim is fresh and have not released it: the executions.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.objects, self.late = {}, []
        self.running, self.given_up, self.answers = {}, set(), {}
        self.attempts, self.claimed = 0, {}
        self.keys = {}
        self.owners = [Owner(self.clock, number) for number in range(OWNERS)]

    def get_key(self, slot):
        """Return the key in a slot; callers replace their keys now and then."""
        key = self.keys.get(slot)
        wall = int(self.clock.wall())
        if key is None or wall - key.issued_at > LIFETIME_S:
            key = ClaimKey('team', 'orders', f'{wall}.{slot}', wall)
            self.keys[slot] = key
        return key

    def read(self, owner):
        batches = [decode_batch(body) for body in self.objects.values()]
        owner.log.load(batches, self.clock.now())

    def create(self, batch: ClaimBatch):
        if batch.sequence in self.objects:
            return False
        self.objects[batch.sequence] = encode_batch(batch)
        return True

    def give_up(self, owner, claim_key, attempt):
        self.given_up.add(attempt)
        self.owners[owner].log.release(claim_key, attempt)

    def claim(self, owner, slot):
        owner, key = self.owners[owner], self.get_key(slot)
        if owner.batch is None and not owner.log.is_current():
            self.read(owner)
        self.attempts += 1
        self.claimed[f'a{self.attempts}'] = key
        result = owner.log.claim(key, f'a{self.attempts}')
        if isinstance(result, Repeated):
            assert result.answer.body == self.answers[key]

    def start_write(self, owner, _):
        """The owner may pause now; the batch is finished by `append` or `lose`."""
        owner = self.owners[owner]
        if owner.batch is None:
            if not owner.log.is_current():
                self.read(owner)
            owner.batch = owner.log.make_batch()

    def append(self, owner, _):
        self.start_write(owner, 0)
        owner = self.owners[owner]
        batch, owner.batch = owner.batch, None
        if batch is None:
            return
        if not self.create(batch):
            owner.log.reject(batch)
            return
        for decided in owner.log.commit(batch):
            claimed = decided.claimed
            fresh = isinstance(decided.decision, Fresh)
            if fresh and claimed.attempt not in self.given_up:
                key = self.claimed[claimed.attempt]
                self.running.setdefault(key, []).append(claimed.attempt)

    def lose(self, owner, lands):
        self.start_write(owner, 0)
        owner = self.owners[owner]
        batch, owner.batch = owner.batch, None
        if batch is None:
            return
        if lands:
            self.create(batch)
        else:
            self.late.append(batch)
        owner.log.reject(batch)

    def land_late(self, *_):
        if self.late:
            self.create(self.late.pop(0))

    def restart(self, owner, _):
        if self.owners[owner].batch is not None:
            self.late.append(self.owners[owner].batch)
        self.owners[owner] = Owner(self.clock, owner)

    def release(self, owner, slot):
        key = self.get_key(slot)
        attempts = self.running.get(key)
        if attempts and key not in self.answers:
            self.give_up(owner, key, attempts.pop())

    def release_undecided(self, owner, back):
        """An attempt is given up, maybe again, maybe at another owner."""
        attempt = f'a{self.attempts - back}'
        key = self.claimed.get(attempt)
        if key and attempt not in self.running.get(key, ()):
            self.give_up(owner, key, attempt)

    def record(self, owner, slot):
        key = self.get_key(slot)
        attempts = self.running.get(key)
        if attempts:
            body = self.answers.setdefault(key, attempts[0].encode())
            answer = RecordedAnswer.make_done(200, '', body)
            self.owners[owner].log.record(key, attempts[0], answer)

    def pass_time(self, owner, slot):
        self.clock.advance((1, 61, 800, 905)[owner + slot])

    def delete(self, owner, _):
        log = self.owners[owner].log
        for sequence in log.list_obsolete():
            self.objects.pop(sequence, None)
            log.chain.forget(sequence)

    def check_at_most_one_execution(self):
        for attempts in self.running.values():
            assert len(attempts) <= 1


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(ACTIONS),
            strategies.integers(0, OWNERS - 1),
            strategies.integers(0, 1),
        ),
        min_size=60,
        max_size=120,
    )
)
def test_racing_owners_run_a_key_at_most_once(steps):
    """Guards against a second execution, whatever order of events leads to it."""
    race = Race()
    for action, owner, slot in steps:
        getattr(race, action)(owner, slot)
        race.check_at_most_one_execution()


def make_logs(count):
    clock = ManualClock()
    logs = [ClaimLog(0, clock, LIFETIME_S, f'w{number}') for number in range(count)]
    for log in logs:
        log.load((), 0)
    issued = int(clock.wall())
    return clock, ClaimKey('t', 'orders', f'{issued}.k', issued), *logs


def test_rejected_batch_is_undecided_until_read():
    """Guards against an owner that appends in vain to a log it has not read."""
    clock, key, one, two = make_logs(2)
    assert isinstance(one.claim(key, 'a'), Pending)
    assert isinstance(two.claim(key, 'b'), Pending)
    first, second = one.make_batch(), two.make_batch()
    assert [decided.decision for decided in one.commit(first)] == [Fresh()]
    two.reject(second)
    assert two.make_batch() is None
    assert isinstance(two.claim(replace(key, team='u'), 'c'), Unavailable)
    two.load([first], clock.now())
    (decided,) = two.commit(two.make_batch())
    assert decided.decision == InProgress()


def test_released_attempt_is_never_fresh():
    """Guards against a late claim of an attempt whose release came first."""
    _, key, one, two = make_logs(2)
    one.claim(key, 'a')
    late = one.make_batch()
    one.reject(late)
    one.release(key, 'a')
    two.release(key, 'a')
    two.load([late], 0)
    (batch,) = [two.make_batch()]
    assert two.commit(batch) == ()
    assert isinstance(two.claim(key, 'b'), Pending)
    one.load([late, batch], 0)
    assert isinstance(one.make_batch().operations[0], Released)


def test_claim_after_its_release_is_not_fresh():
    """Guards against an attempt that runs after it was given up elsewhere."""
    _, key, log = make_logs(1)
    log.release(key, 'a')
    log.commit(log.make_batch())
    log.claim(key, 'a')
    (decided,) = log.commit(log.make_batch())
    assert isinstance(decided.decision, Unavailable)


def test_commit_after_a_pause_decides_nothing():
    """Guards against a fresh claim by an owner that read the log long ago."""
    clock, key, log = make_logs(1)
    log.claim(key, 'a')
    batch = log.make_batch()
    clock.advance(61)
    assert log.commit(batch) == ()
    assert not log.is_current()


def test_late_batch_in_a_deleted_place_is_passed_over():
    """Guards against replaying a batch that the log's later batches don't follow."""
    _, key, one, two, three = make_logs(3)
    one.claim(key, 'late')
    two.claim(replace(key, team='u'), 'first')
    two.commit(two.make_batch())
    two.claim(key, 'second')
    successor = two.make_batch()
    three.load([one.make_batch(), successor], 0)
    three.record(key, 'second', RecordedAnswer('done', 200))
    three.commit(three.make_batch())
    assert isinstance(three.claim(key, 'x'), Repeated)


def test_deletions_leave_no_gap():
    """Guards against a deleted batch that hides an older one still needed."""
    clock, key, log = make_logs(1)
    for number, issued in enumerate((key.issued_at + 50, key.issued_at, 0)):
        log.record(replace(key, team=f't{number}', issued_at=issued), 'a', None)
        log.commit(log.make_batch())
    clock.advance(LIFETIME_S + 1)
    assert log.list_obsolete() == ()


def test_absent_last_batch_is_not_reused():
    """Guards against sequence numbers that start anew after deletions."""
    clock, key, log = make_logs(1)
    for number in range(3):
        log.claim(replace(key, team=f't{number}'), 'a')
        log.commit(log.make_batch())
    clock.advance(LIFETIME_S + 1)
    assert log.list_obsolete() == (0, 1)


@pytest.mark.parametrize(
    ('age', 'result'),
    [(0, None), (839, None), (841, Reason.request_key_expired), (-61, 'bad_request')],
)
def test_request_key_age(age, result):
    """Guards against a key that is accepted after its claim may be deleted."""
    clock = ManualClock()
    text = f'{int(clock.wall()) - age}.token'
    parsed = parse_claim_key('t', 'orders', text, clock, LIFETIME_S)
    assert (parsed.reason if isinstance(parsed, NotRun) else None) == result
    for wrong in ('', 'x.y', '1700000000', f'{text}!', f'{text}\n'):
        assert parse_claim_key('t', 's', wrong, clock, 9e9).reason == 'bad_request'


class Fleet:
    """Instances that claim keys of one partition in one store."""

    def __init__(self, address, supervisor):
        self.address = address
        self.supervisor = supervisor
        self.clock = LoopClock()
        self.stores = []

    def start(self, name):
        store = ObjectClient(self.address, self.clock, 1000, timeout_s=0.2)
        self.stores.append(store)
        task = PartitionTask(0, store, self.clock, ClaimSettings(name, 900, 0.01))
        self.supervisor.add(name, task.run)
        return task


@pytest.fixture
def objects():
    return ObjectService(ObjectsSettings(), LoopClock())


@pytest.fixture
def fleet(objects):
    with (
        serve(Address('127.0.0.1', 0), objects.answer) as address,
        Supervisor('claims', LoopClock()) as supervisor,
    ):
        fleet = Fleet(address, supervisor)
        yield fleet
    for store in fleet.stores:
        store.close()


def make_key(token):
    issued = int(LoopClock().wall())
    return ClaimKey('team', 'orders', f'{issued}.{token}', issued)


def claim_until(task, key, expected):
    """Claim with new attempts until the result is `expected`; fails after 10 s."""
    with gevent.Timeout(10):
        for number in itertools.count():
            if task.claim(key, f'until-{number}', 5) == expected:
                return
            gevent.sleep(0.02)


def claim_all(tasks, key, attempts):
    callers = [
        gevent.spawn(tasks[number % len(tasks)].claim, key, f'{key}{number}', 5)
        for number in range(attempts)
    ]
    return [caller.get(timeout=10) for caller in callers]


def test_racing_owners_yield_one_fresh_claim(fleet, objects):
    """Guards against two owners that both execute a request, with lost answers."""
    tasks = [fleet.start('one'), fleet.start('two')]
    for number in range(20):
        objects.faults = ObjectFaults(lose_answers=number % 3)
        results = claim_all(tasks, make_key(number), 6)
        assert sum(isinstance(result, Fresh) for result in results) == 1
        assert not any(isinstance(result, Repeated) for result in results)


def test_answer_survives_the_owner(fleet):
    """Guards against a second execution after the partition has moved."""
    first, key = fleet.start('one'), make_key('k')
    assert first.claim(key, 'a', 5) == Fresh()
    assert first.claim(key, 'b', 5) == InProgress()
    second = fleet.start('two')
    assert second.claim(key, 'c', 5) == InProgress()
    answer = RecordedAnswer.make_done(201, 'text/plain', bytes(3000))
    assert answer.truncated
    first.record(key, 'a', answer)
    claim_until(first, key, Repeated(answer))
    assert fleet.start('three').claim(key, 'd', 5) == Repeated(answer)


def test_released_claim_may_run_again(fleet):
    """Guards against a key that is lost although its request was never sent."""
    task, key = fleet.start('one'), make_key('k')
    assert task.claim(key, 'a', 5) == Fresh()
    task.release(key, 'a')
    claim_until(task, key, Fresh())
    task.release(key, 'a')
    gevent.sleep(0.1)
    assert task.claim(key, 'c', 5) == InProgress()


def test_store_outage_refuses_and_recovers(fleet, objects):
    """Guards against a fresh claim that the store does not hold."""
    task, key = fleet.start('one'), make_key('k')
    assert task.claim(make_key('other'), 'x', 5) == Fresh()
    objects.faults = ObjectFaults(closed=True)
    assert isinstance(task.claim(key, 'a', 5), Unavailable)
    assert isinstance(task.claim(key, 'b', 5), Unavailable)
    objects.faults = ObjectFaults()
    claim_until(task, key, Fresh())


def test_claim_given_up_by_its_caller(fleet, objects):
    """Guards against a key that is held by a caller that is gone."""
    task, key = fleet.start('one'), make_key('k')
    assert task.claim(make_key('other'), 'x', 5) == Fresh()
    objects.faults = ObjectFaults(delay_s=0.1)
    caller = gevent.spawn(task.claim, key, 'a', 5)
    gevent.sleep(0.05)
    caller.kill()
    objects.faults = ObjectFaults()
    claim_until(task, key, Fresh())


def test_service_owns_only_its_partitions(fleet):
    """Guards against claims decided for a partition of another instance."""
    store = ObjectClient(fleet.address, fleet.clock, 1000)
    settings = ClaimSettings('one', 900, 0.01)
    service = ClaimService(store, fleet.clock, settings, fleet.supervisor)
    fleet.stores.append(store)
    key = make_key('k')
    assert isinstance(service.claim(key, 'a', 1), Unavailable)
    service.adopt(frozenset([key.partition]))
    assert service.claim(key, 'b', 5) == Fresh()
    service.adopt(frozenset())
    assert isinstance(service.claim(key, 'c', 1), Unavailable)
    assert not service.release(key, 'b')
