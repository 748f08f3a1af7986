"""At most one execution for each request key."""

import itertools

import gevent
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from currantmast.clocks import LoopClock, ManualClock
from currantmast.decisions.claimkeys import ClaimKey, parse_claim_key
from currantmast.decisions.claimrecords import (
    ClaimBatch,
    Fresh,
    InProgress,
    RecordedAnswer,
    Repeated,
    Unavailable,
    decode_batch,
    encode_batch,
)
from currantmast.decisions.claims import ClaimLog
from currantmast.messages import Address
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.claims import ClaimService, ClaimSettings, PartitionTask
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor
from currantmast.standins.objects import ObjectFaults, ObjectService, ObjectsSettings
from currantmast.standins.serving import serve

LIFETIME_S = 900
OWNERS = 3


owners = strategies.integers(0, OWNERS - 1)
slots = strategies.integers(0, 1)


class Owner:
    """One owner of the partition, with a batch that may be on its way."""

    def __init__(self, clock, number):
        self.log = ClaimLog(0, clock, LIFETIME_S, f'owner-{number}')
        self.batch = None


class ClaimMachine(RuleBasedStateMachine):
    """Owners that race on one log, with lost, late and refused writes.

    `objects` is the store. `late` holds writes that may still take effect although
    their answer was lost. `running` names, for each key, the attempts that were told
    that the claim is fresh and have not released it: the executions.
    """

    @initialize()
    def start(self):
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
        owner.log.load(batches, max(self.objects, default=-1), self.clock.now())

    def create(self, batch: ClaimBatch):
        if batch.sequence in self.objects:
            return False
        self.objects[batch.sequence] = encode_batch(batch)
        return True

    def give_up(self, owner, claim_key, attempt):
        self.given_up.add(attempt)
        self.owners[owner].log.release(claim_key, attempt)

    @rule(owner=owners, slot=slots)
    def claim(self, owner, slot):
        owner, key = self.owners[owner], self.get_key(slot)
        if owner.batch is None and not owner.log.is_current():
            self.read(owner)
        self.attempts += 1
        self.claimed[f'a{self.attempts}'] = key
        result = owner.log.claim(key, f'a{self.attempts}')
        if isinstance(result, Repeated):
            assert result.answer.body == self.answers[key]

    @rule(owner=owners)
    def start_write(self, owner):
        """The owner may pause now; the batch is finished by `append` or `lose`."""
        owner = self.owners[owner]
        if owner.batch is None:
            if not owner.log.is_current():
                self.read(owner)
            owner.batch = owner.log.make_batch()

    @rule(owner=owners)
    def append(self, owner):
        self.start_write(owner)
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

    @rule(owner=owners, lands=strategies.booleans())
    def lose(self, owner, lands):
        self.start_write(owner)
        owner = self.owners[owner]
        batch, owner.batch = owner.batch, None
        if batch is None:
            return
        if lands:
            self.create(batch)
        else:
            self.late.append(batch)
        owner.log.reject(batch)

    @rule()
    def land_late(self):
        if self.late:
            self.create(self.late.pop(0))

    @rule(owner=owners)
    def restart(self, owner):
        if self.owners[owner].batch is not None:
            self.late.append(self.owners[owner].batch)
        self.owners[owner] = Owner(self.clock, owner)

    @rule(owner=owners, slot=slots)
    def release(self, owner, slot):
        key = self.get_key(slot)
        attempts = self.running.get(key)
        if attempts and key not in self.answers:
            self.give_up(owner, key, attempts.pop())

    @rule(owner=owners, back=strategies.integers(0, 5))
    def release_undecided(self, owner, back):
        """An attempt is given up, maybe again, maybe at another owner."""
        attempt = f'a{self.attempts - back}'
        key = self.claimed.get(attempt)
        if key and attempt not in self.running.get(key, ()):
            self.give_up(owner, key, attempt)

    @rule(owner=owners, slot=slots)
    def record(self, owner, slot):
        key = self.get_key(slot)
        attempts = self.running.get(key)
        if attempts:
            body = self.answers.setdefault(key, attempts[0].encode())
            answer = RecordedAnswer.make_done(200, '', body)
            self.owners[owner].log.record(key, attempts[0], answer)

    @rule(seconds=strategies.sampled_from([1, 30, 61, 830, 905]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(owner=owners)
    def delete(self, owner):
        log = self.owners[owner].log
        for sequence in log.list_obsolete():
            self.objects.pop(sequence, None)
            log.forget(sequence)

    @invariant()
    def at_most_one_execution(self):
        for attempts in getattr(self, 'running', {}).values():
            assert len(attempts) <= 1


ClaimMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=80, deadline=None, derandomize=True
)
TestClaimMachine = ClaimMachine.TestCase


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
