"""At most one execution for each request key."""

import itertools
from functools import partial

import gevent
import pytest
from hypothesis import given, settings, strategies
from msgspec.structs import replace

from currantmast.clocks import LoopClock, ManualClock
from currantmast.decisions.claimkeys import ClaimKey, parse_claim_key
from currantmast.decisions.claimrecords import (
    Fresh,
    InProgress,
    RecordedAnswer,
    Released,
    Repeated,
    Unavailable,
)
from currantmast.decisions.claims import ClaimLog, Pending
from currantmast.decisions.claimsegments import (
    SEGMENT_BYTES,
    SegmentUpdate,
    decode_segment,
)
from currantmast.messages import Address
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.claims import ClaimService, ClaimSettings, PartitionTask
from currantmast.runtime.claimstore import SegmentStore
from currantmast.runtime.store import (
    MAX_VALUE_BYTES,
    Listing,
    ObjectClient,
    ObjectEntry,
    StoredObject,
)
from currantmast.runtime.supervisor import Supervisor
from currantmast.standins.objects import ObjectFaults, ObjectService, ObjectsSettings
from currantmast.standins.serving import serve

LIFETIME_S = 900
OWNERS = 3
INCARNATIONS = itertools.count()
# One or two batches fill a segment, so that races have full, new and deleted segments.
ONE_BATCH_BYTES = 1
TWO_BATCHES_BYTES = 80
ORDERS_IN_A_BATCH = 10
# A new owner of a partition with 5,000 orders makes at most this many calls.
MAX_HANDOVER_CALLS = 100


# Actions of a race; the ones listed several times are drawn more often.
ACTIONS = (
    *('claim', 'append', 'claim', 'append', 'start_write', 'lose_answer', 'apply_late'),
    *('claim', 'append', 'claim', 'append', 'release', 'release_undecided'),
    *('record', 'delete', 'restart', 'pass_time'),
)
# Reads that pause between listing and fetching, and deletions that take effect late.
PAUSES = ('start_read', 'delete_late')


class SkewedClock:
    """Clock of a host whose wall clock is off by `offset` seconds."""

    def __init__(self, clock, offset):
        self.now = clock.now
        self.wall = lambda: clock.wall() + offset


class Owner:
    """One owner of the partition, with the update and the read that are in flight."""

    def __init__(self, clock, number, segment_bytes):
        # Wall clocks differ by 50 s, less than the margin of 60 s.
        skewed = SkewedClock(clock, 25 * (number - 1))
        writer = f'{number}/{next(INCARNATIONS)}'
        self.log = ClaimLog(0, skewed, LIFETIME_S, writer, segment_bytes)
        self.update = None
        self.listing = None


class Race:
    """Concurrent owners of one log, with lost, late and rejected writes.

    `objects` is the store: version and body by segment number. `late` holds writes and
    deletions whose answer was lost and which may still take effect. `running` has, for
    each key, the attempts whose claim was fresh and not released, that is, the executions.
    """

    def __init__(self, segment_bytes):
        self.clock = ManualClock()
        self.segment_bytes = segment_bytes
        self.objects, self.late = {}, []
        self.running, self.given_up, self.answers = {}, set(), {}
        self.attempts, self.claimed = 0, {}
        self.keys = {}
        self.owners = [self.make_owner(number) for number in range(OWNERS)]

    def make_owner(self, number):
        return Owner(self.clock, number, self.segment_bytes)

    def get_key(self, slot):
        """Return the key in a slot; a key that has expired is replaced by a new one."""
        key = self.keys.get(slot)
        wall = int(self.clock.wall())
        if key is None or wall - key.issued_at > LIFETIME_S:
            key = ClaimKey('team', 'orders', f'{wall}.{slot}', wall)
            self.keys[slot] = key
        return key

    def start_read(self, owner, _):
        """List the objects; `read` fetches them, maybe after other actions."""
        owner = self.owners[owner]
        if owner.listing is None and owner.update is None:
            newest = owner.log.chain.newest.number
            listed = {
                number: version
                for number, (version, _) in sorted(self.objects.items())
                if number >= newest
            }
            owner.listing = (self.clock.now(), listed)

    def read(self, number):
        self.start_read(number, 0)
        log = self.owners[number].log
        read_at, listed = self.owners[number].listing
        self.owners[number].listing = None
        if listed == {log.chain.newest.number: log.chain.newest.version}:
            log.load((), read_at)
            return
        if listed and max(listed) not in self.objects:
            return
        found = [
            decode_segment(listed_number, *self.objects[listed_number])
            for listed_number in listed
            if listed_number in self.objects
        ]
        log.load(found, read_at)

    def write(self, update: SegmentUpdate):
        number = update.segment.number
        version = self.objects.get(number, (0, b''))[0]
        if version != update.if_version:
            return False
        self.objects[number] = (version + 1, update.body)
        return True

    def remove(self, number, version):
        if self.objects.get(number, (0, b''))[0] == version:
            self.objects.pop(number)

    def give_up(self, owner, claim_key, attempt):
        self.given_up.add(attempt)
        self.owners[owner].log.release(claim_key, attempt)

    def prepare(self, number):
        owner = self.owners[number]
        reading = owner.listing is not None
        if owner.update is None and (reading or not owner.log.is_current()):
            self.read(number)

    def claim(self, owner, slot):
        self.prepare(owner)
        owner, key = self.owners[owner], self.get_key(slot)
        self.attempts += 1
        self.claimed[f'a{self.attempts}'] = key
        result = owner.log.claim(key, f'a{self.attempts}')
        if isinstance(result, Repeated):
            assert result.answer.body == self.answers[key]

    def start_write(self, owner, _):
        """Make an update; `append` or `lose_answer` finishes it after other actions."""
        self.prepare(owner)
        owner = self.owners[owner]
        if owner.update is None:
            owner.update = owner.log.make_update()

    def take_update(self, owner):
        self.start_write(owner, 0)
        owner = self.owners[owner]
        update, owner.update = owner.update, None
        return owner.log, update

    def append(self, owner, _):
        log, update = self.take_update(owner)
        if update is None:
            return
        if not self.write(update):
            log.reject()
            return
        for decided in log.commit(update):
            claimed = decided.claimed
            fresh = isinstance(decided.decision, Fresh)
            if fresh and claimed.attempt not in self.given_up:
                key = self.claimed[claimed.attempt]
                self.running.setdefault(key, []).append(claimed.attempt)

    def lose_answer(self, owner, written):
        log, update = self.take_update(owner)
        if update is None:
            return
        if written:
            self.write(update)
        else:
            self.late.append(partial(self.write, update))
        log.reject()

    def apply_late(self, *_):
        if self.late:
            self.late.pop(0)()

    def restart(self, owner, _):
        update = self.owners[owner].update
        if update is not None:
            self.late.append(partial(self.write, update))
        self.owners[owner] = self.make_owner(owner)

    def release(self, owner, slot):
        key = self.get_key(slot)
        attempts = self.running.get(key)
        if attempts and key not in self.answers:
            self.give_up(owner, key, attempts.pop())

    def release_undecided(self, owner, back):
        """Give up an attempt that isn't running, maybe again or at another owner."""
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
        for segment in log.list_obsolete():
            self.remove(segment.number, segment.version)
            log.chain.forget(segment.number)

    def delete_late(self, owner, _):
        """Start only the first deletion, which takes effect later, if at all."""
        for segment in self.owners[owner].log.list_obsolete()[:1]:
            self.late.append(partial(self.remove, segment.number, segment.version))

    def check_at_most_one_execution(self):
        for attempts in self.running.values():
            assert len(attempts) <= 1


def draw_steps(actions):
    step = strategies.tuples(
        strategies.sampled_from(actions),
        strategies.integers(0, OWNERS - 1),
        strategies.integers(0, 1),
    )
    return strategies.lists(step, min_size=60, max_size=120)


def run_race(segment_bytes, steps):
    race = Race(segment_bytes)
    for action, owner, slot in steps:
        getattr(race, action)(owner, slot)
        race.check_at_most_one_execution()


@settings(max_examples=400, deadline=None, derandomize=True)
@given(draw_steps(ACTIONS))
def test_racing_owners_run_a_key_at_most_once(steps):
    """Guards against a second execution, whatever order of events leads to it."""
    run_race(ONE_BATCH_BYTES, steps)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(draw_steps((*ACTIONS, *PAUSES)))
def test_racing_owners_that_pause_run_a_key_at_most_once(steps):
    """Guards against a second execution when segments grow, vanish and return."""
    run_race(TWO_BATCHES_BYTES, steps)


def test_segment_deleted_at_once_is_not_created_again():
    """Guards against an owner that creates a segment deleted before it was read."""
    steps = (
        # Owner 1 still has an expired claim queued; owner 0 reads the empty log.
        *(('claim', 1, 0), ('pass_time', 2, 1), ('claim', 0, 1), ('start_write', 0, 0)),
        *(('append', 1, 0), ('claim', 1, 1), ('append', 1, 0), ('delete', 1, 0)),
        ('append', 0, 0),
    )
    run_race(ONE_BATCH_BYTES, steps)


def test_segment_deleted_while_it_is_read_is_not_taken_for_the_newest():
    """Guards against taking a late write under a deleted number for the newest segment."""
    steps = (
        # The first write of owner 2 is late; owner 1 fills the segment.
        *(('claim', 2, 0), ('start_write', 2, 0), ('restart', 2, 0)),
        *(('claim', 1, 0), ('append', 1, 0), ('claim', 1, 1), ('append', 1, 0)),
        *(('pass_time', 2, 1), ('start_read', 0, 0), ('claim', 1, 0), ('append', 1, 0)),
        *(('delete', 1, 0), ('apply_late', 0, 0), ('claim', 0, 0), ('append', 0, 0)),
    )
    run_race(TWO_BATCHES_BYTES, steps)


def make_logs(count, segment_bytes=SEGMENT_BYTES):
    clock = ManualClock()
    logs = [
        ClaimLog(0, clock, LIFETIME_S, f'w{number}', segment_bytes)
        for number in range(count)
    ]
    for log in logs:
        log.load((), clock.now())
    issued = int(clock.wall())
    return clock, ClaimKey('t', 'orders', f'{issued}.k', issued), *logs


def append(log):
    """Append the queued operations as if the store took them; return the update."""
    update = log.make_update()
    log.commit(update)
    return update


def test_rejected_batch_is_undecided_until_read():
    """Guards against an owner that repeats a rejected append before it reads the log."""
    clock, key, one, two = make_logs(2)
    assert isinstance(one.claim(key, 'a'), Pending)
    assert isinstance(two.claim(key, 'b'), Pending)
    first, second = one.make_update(), two.make_update()
    assert [decided.decision for decided in one.commit(first)] == [Fresh()]
    assert (first.name, first.if_version) == (second.name, second.if_version)
    two.reject()
    assert two.make_update() is None
    assert isinstance(two.claim(replace(key, team='u'), 'c'), Unavailable)
    two.load([first.segment], clock.now())
    (decided,) = two.commit(two.make_update())
    assert decided.decision == InProgress()


def test_released_attempt_is_never_fresh():
    """Guards against a claim that arrives after the release of its attempt."""
    clock, key, one, two = make_logs(2)
    one.claim(key, 'a')
    late = one.make_update()
    one.reject()
    one.release(key, 'a')
    two.release(key, 'a')
    two.load([late.segment], clock.now())
    update = two.make_update()
    assert two.commit(update) == ()
    assert isinstance(two.claim(key, 'b'), Pending)
    one.load([update.segment], clock.now())
    assert isinstance(one.make_update().batch.operations[0], Released)


def test_claim_after_its_release_is_not_fresh():
    """Guards against an attempt that runs although it was given up elsewhere."""
    _, key, log = make_logs(1)
    log.release(key, 'a')
    append(log)
    log.claim(key, 'a')
    (decided,) = log.commit(log.make_update())
    assert isinstance(decided.decision, Unavailable)


def test_commit_after_a_pause_decides_nothing():
    """Guards against a fresh claim by an owner that read the log long ago."""
    clock, key, log = make_logs(1)
    log.claim(key, 'a')
    update = log.make_update()
    clock.advance(61)
    assert log.commit(update) == ()
    assert not log.is_current()


def test_read_that_took_too_long_is_ignored():
    """Guards against objects created again between the listing and the fetch."""
    clock, key, one, two = make_logs(2)
    one.claim(key, 'a')
    late, read_at = one.make_update(), clock.now()
    clock.advance(61)
    two.load([late.segment], read_at)
    assert not two.is_current()
    assert two.chain.next_sequence == 0


def test_late_batch_of_a_deleted_segment_is_ignored():
    """Guards against applying a batch that no later batch of the log refers to."""
    clock, key, one, two, three = make_logs(3, segment_bytes=1)
    one.claim(key, 'late')
    two.claim(replace(key, team='u'), 'first')
    append(two)
    two.claim(key, 'second')
    successor = two.make_update()
    assert successor.segment.number == 1
    three.load([one.make_update().segment, successor.segment], clock.now())
    three.record(key, 'second', RecordedAnswer('done', 200))
    append(three)
    assert isinstance(three.claim(key, 'x'), Repeated)


def list_obsolete(log):
    return [segment.number for segment in log.list_obsolete()]


def test_deletions_leave_no_gap():
    """Guards against a deleted segment that hides an older one which is still needed."""
    clock, key, log = make_logs(1, segment_bytes=1)
    for number, issued in enumerate((key.issued_at + 50, key.issued_at, 0)):
        log.record(replace(key, team=f't{number}', issued_at=issued), 'a', None)
        append(log)
    clock.advance(LIFETIME_S + 1)
    assert list_obsolete(log) == []


def test_newest_segment_is_never_deleted():
    """Guards against segment numbers that start at 0 again after deletions."""
    clock, key, log = make_logs(1, segment_bytes=1)
    for number in range(3):
        log.claim(replace(key, team=f't{number}'), 'a')
        append(log)
    clock.advance(LIFETIME_S + 1)
    assert list_obsolete(log) == [0, 1]


def test_segment_is_kept_for_each_of_its_batches():
    """Guards against deleting a segment while one of its keys is still accepted."""
    clock, key, log = make_logs(1, segment_bytes=60)
    for number, issued in enumerate((key.issued_at + 50, 0, 0, 0)):
        log.release(replace(key, team=f't{number}', issued_at=issued), 'a')
        append(log)
    assert log.chain.newest.number == 1
    clock.advance(LIFETIME_S + 1)
    assert list_obsolete(log) == []
    clock.advance(50)
    assert list_obsolete(log) == [0]


def test_segment_is_kept_until_its_successor_is_known_for_long():
    """Guards against deleting a segment that another owner has listed as the newest."""
    clock, key, log = make_logs(1, segment_bytes=1)
    log.claim(key, 'a')
    append(log)
    clock.advance(LIFETIME_S + 1)
    log.load((), clock.now())
    log.claim(replace(key, team='u', issued_at=int(clock.wall())), 'b')
    append(log)
    clock.advance(119)
    assert list_obsolete(log) == []
    clock.advance(2)
    assert list_obsolete(log) == [0]


def test_full_segment_is_followed_by_the_next():
    """Guards against segments that grow without limit, and updates of a full one."""
    clock, key, one, two = make_logs(2)
    update = None
    for number in itertools.count():
        one.record(key, f'a{number}', RecordedAnswer('done', 200, body=bytes(999)))
        if one.chain.newest.size >= SEGMENT_BYTES:
            break
        update = append(one)
        assert (update.segment.number, update.if_version) == (0, number)
    two.load([decode_segment(0, update.segment.version, update.body)], clock.now())
    two.release(key, 'a')
    for log in (one, two):
        following = log.make_update()
        assert (following.segment.number, following.if_version) == (1, 0)
        assert len(following.segment.batches) == 1


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
    """Guards against two executions when two owners race and store answers are lost."""
    tasks = [fleet.start('one'), fleet.start('two')]
    for number in range(20):
        objects.faults = ObjectFaults(lose_answers=number % 3)
        results = claim_all(tasks, make_key(number), 6)
        assert sum(isinstance(result, Fresh) for result in results) == 1
        assert not any(isinstance(result, Repeated) for result in results)


def test_answer_survives_the_owner(fleet):
    """Guards against a second execution after the partition has changed its owner."""
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


def fill(address, orders):
    """Write a log with `orders` answered orders; return the key of the first."""
    clock = LoopClock()
    log = ClaimLog(0, clock, LIFETIME_S, 'filler')
    log.load((), clock.now())
    answer = RecordedAnswer.make_done(201, 'application/json', b'{"booking":12345678}')
    with ObjectClient(address, clock, 1e6) as store:
        for start in range(0, orders, ORDERS_IN_A_BATCH):
            for number in range(start, start + ORDERS_IN_A_BATCH):
                key = make_key(f'filled-{number}')
                log.claim(key, f'attempt-of-{number:012}')
                log.record(key, f'attempt-of-{number:012}', answer)
            update = append(log)
            store.put(update.name, update.body, update.if_version)
    return key, answer


def count_calls(store):
    return store.budget.counts.total()


def test_handover_of_a_long_log_needs_few_calls(fleet):
    """Guards against refusals and an exhausted call budget after a change of owner."""
    key, answer = fill(fleet.address, 5000)
    task = fleet.start('new')
    assert task.claim(key, 'a', 5) == Repeated(answer)
    assert count_calls(fleet.stores[-1]) <= MAX_HANDOVER_CALLS


def test_conflict_reads_from_the_newest_segment_on(fleet):
    """Guards against reading a whole log again after another owner's append."""
    fill(fleet.address, 1000)
    first, second = fleet.start('one'), fleet.start('two')
    for number, task in enumerate((first, second, first)):
        before = [count_calls(store) for store in fleet.stores]
        assert task.claim(make_key(f'k{number}'), 'a', 5) == Fresh()
    made = count_calls(fleet.stores[0]) - before[0]
    # The rejected update, a listing, the newest segment, and the update again.
    assert made <= 4


def test_claim_waits_while_its_log_is_read(fleet, objects):
    """Guards against refusals by a new owner that has not read its log yet."""
    fill(fleet.address, 1000)
    objects.faults = ObjectFaults(delay_s=0.05)
    assert fleet.start('new').claim(make_key('k'), 'a', 5) == Fresh()


def test_log_is_read_before_its_first_claim(fleet):
    """Guards against reads that delay the first claim after a change of owner."""
    fill(fleet.address, 1000)
    fleet.start('new')
    gevent.sleep(0.5)
    store = fleet.stores[-1]
    assert store.budget.counts['list'] == 1
    assert store.budget.counts['get'] > 1


def test_retired_owner_writes_queued_answers(fleet):
    """Guards against answers lost when an owner leaves gracefully."""
    task, key = fleet.start('one'), make_key('k')
    assert task.claim(key, 'a', 5) == Fresh()
    answer = RecordedAnswer.make_done(201, 'text/plain', b'done')
    task.record(key, 'a', answer)
    task.retire()
    assert isinstance(task.claim(make_key('other'), 'b', 5), Unavailable)
    claim_until(fleet.start('two'), key, Repeated(answer))


def test_largest_segment_is_far_below_the_limit_of_the_store():
    """Guards against a batch that the store refuses for its size."""
    _, key, log = make_logs(1)
    answer = RecordedAnswer.make_done(201, 'application/json', bytes(3000))
    while log.chain.newest.size < SEGMENT_BYTES // 2:
        log.record(key, 'a' * 40, answer)
        append(log)
    for _ in range(1000):
        log.record(key, 'a' * 40, answer)
    assert len(append(log).body) < MAX_VALUE_BYTES / 2


def test_vanished_newest_segment_is_listed_again():
    """Guards against a log taken as current although its last segment was not read."""
    clock, key, log, reader = make_logs(2)
    log.claim(key, 'a')
    store = SlowStore(clock, [append(log)])
    store.get = lambda name: None
    clock.advance(61)
    SegmentStore(store, 0, clock).read_into(reader)
    assert not reader.is_current()


class SlowStore:
    """Store in which each read of an object takes 40 s."""

    def __init__(self, clock, updates):
        self.clock, self.calls = clock, []
        self.objects = {update.name: update for update in updates}

    def list(self, prefix, after):
        self.calls.append('list')
        names = [name for name in self.objects if name > after]
        return Listing(0, tuple(ObjectEntry(name, 1) for name in names))

    def get(self, name):
        self.calls.append('get')
        self.clock.advance(40)
        return StoredObject(name, 1, self.objects[name].body)


def test_read_that_took_too_long_is_continued():
    """Guards against a slow owner that reads a long log from its beginning for ever."""
    clock, key, log, reader = make_logs(2, segment_bytes=1)
    updates = []
    for number in range(2):
        log.claim(replace(key, team=f't{number}'), 'a')
        updates.append(append(log))
    store = SlowStore(clock, updates)
    clock.advance(61)
    segments = SegmentStore(store, 0, clock)
    segments.read_into(reader)
    assert not reader.is_current()
    segments.read_into(reader)
    assert reader.is_current()
    assert store.calls == ['list', 'get', 'get', 'list']


def test_released_claim_may_run_again(fleet):
    """Guards against a key that stays claimed although its request was never sent."""
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


def test_killed_caller_releases_its_claim(fleet, objects):
    """Guards against a key that stays claimed by a caller that was killed."""
    task, key = fleet.start('one'), make_key('k')
    assert task.claim(make_key('other'), 'x', 5) == Fresh()
    objects.faults = ObjectFaults(delay_s=0.1)
    caller = gevent.spawn(task.claim, key, 'a', 5)
    gevent.sleep(0.05)
    caller.kill()
    objects.faults = ObjectFaults()
    claim_until(task, key, Fresh())


def test_service_decides_only_its_partitions(fleet):
    """Guards against claims decided for a partition of another instance."""
    store = ObjectClient(fleet.address, fleet.clock, 1000)
    settings = ClaimSettings('one', 900, 0.01)
    service = ClaimService(store, fleet.clock, settings, fleet.supervisor)
    fleet.stores.append(store)
    key = make_key('k')
    assert isinstance(service.claim(key, 'a', 1), Unavailable)
    service.set_owned_partitions(frozenset([key.partition]))
    assert service.claim(key, 'b', 5) == Fresh()
    service.set_owned_partitions(frozenset())
    assert isinstance(service.claim(key, 'c', 1), Unavailable)
    assert not service.release(key, 'b')
