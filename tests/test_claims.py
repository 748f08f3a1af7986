"""At most one execution for each request key."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from currantmast.clocks import ManualClock
from currantmast.decisions.claimkeys import ClaimKey
from currantmast.decisions.claimrecords import (
    ClaimBatch,
    Fresh,
    RecordedAnswer,
    Repeated,
    decode_batch,
    encode_batch,
)
from currantmast.decisions.claims import ClaimLog

LIFETIME_S = 900
OWNERS = 3


class Owner:
    """One owner of the partition, with a batch that may be on its way."""

    def __init__(self, clock, number):
        self.log = ClaimLog(0, clock, LIFETIME_S, f'owner-{number}')
        self.batch = None


class ClaimMachine(RuleBasedStateMachine):
    """Owners that race on one log, with lost, late and refused writes.

    `objects` is the store. `late` holds writes that may still take effect although
    their answer was lost. `holding` counts, for each key, the attempts that were told
    the claim is fresh and did not release it: the executions.
    """

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.objects = {}
        self.late = []
        self.holding = {}
        self.given_up = set()
        self.ran = {}
        self.attempts = 0
        self.claimed = {}
        self.keys = []
        self.owners = [Owner(self.clock, number) for number in range(OWNERS)]

    def make_key(self, number):
        while len(self.keys) <= number:
            issued = int(self.clock.wall())
            text = f'{issued}.{len(self.keys)}'
            self.keys.append(ClaimKey('team', 'orders', text, issued))
        return self.keys[number]

    @rule(owner=strategies.integers(0, OWNERS - 1), key=strategies.integers(0, 3))
    def claim(self, owner, key):
        self.attempts += 1
        claim_key = self.make_key(key)
        self.claimed[f'a{self.attempts}'] = claim_key
        result = self.owners[owner].log.claim(claim_key, f'a{self.attempts}')
        if isinstance(result, Repeated):
            assert result.answer.body == self.ran[claim_key.digest]

    @rule(owner=strategies.integers(0, OWNERS - 1))
    def read(self, owner):
        owner = self.owners[owner]
        if owner.batch is None:
            batches = [decode_batch(body) for body in self.objects.values()]
            owner.log.load(batches, max(self.objects, default=-1), self.clock.now())

    @rule(owner=strategies.integers(0, OWNERS - 1))
    def make(self, owner):
        owner = self.owners[owner]
        owner.batch = owner.batch or owner.log.make_batch()

    def create(self, batch: ClaimBatch):
        if batch.sequence in self.objects:
            return False
        self.objects[batch.sequence] = encode_batch(batch)
        return True

    @rule(owner=strategies.integers(0, OWNERS - 1))
    def write(self, owner):
        owner = self.owners[owner]
        if owner.batch is None:
            return
        batch, owner.batch = owner.batch, None
        if not self.create(batch):
            owner.log.reject(batch)
            return
        for decided in owner.log.commit(batch):
            claimed = decided.claimed
            fresh = isinstance(decided.decision, Fresh)
            if fresh and claimed.attempt not in self.given_up:
                self.holding.setdefault(claimed.digest, []).append(claimed.attempt)

    @rule(owner=strategies.integers(0, OWNERS - 1), lands=strategies.booleans())
    def lose(self, owner, lands):
        owner = self.owners[owner]
        if owner.batch is not None:
            self.late.append(owner.batch)
            owner.log.reject(owner.batch)
            owner.batch = None
            if lands:
                self.create(self.late.pop())

    @rule()
    def land_late(self):
        if self.late:
            self.create(self.late.pop(0))

    @rule(owner=strategies.integers(0, OWNERS - 1))
    def restart(self, owner):
        if self.owners[owner].batch is not None:
            self.late.append(self.owners[owner].batch)
        self.owners[owner] = Owner(self.clock, owner)

    @rule(owner=strategies.integers(0, OWNERS - 1), key=strategies.integers(0, 3))
    def release(self, owner, key):
        claim_key = self.make_key(key)
        attempts = self.holding.get(claim_key.digest)
        if attempts and claim_key.digest not in self.ran:
            self.give_up(owner, claim_key, attempts.pop())

    def give_up(self, owner, claim_key, attempt):
        self.given_up.add(attempt)
        self.owners[owner].log.release(claim_key, attempt)

    @rule(owner=strategies.integers(0, OWNERS - 1), back=strategies.integers(0, 3))
    def release_undecided(self, owner, back):
        """An attempt that was told nothing is given up, maybe at another owner."""
        attempt = f'a{self.attempts - back}'
        claim_key = self.claimed.get(attempt)
        if claim_key and attempt not in self.holding.get(claim_key.digest, ()):
            self.give_up(owner, claim_key, attempt)

    @rule(owner=strategies.integers(0, OWNERS - 1), key=strategies.integers(0, 3))
    def record(self, owner, key):
        claim_key = self.make_key(key)
        attempts = self.holding.get(claim_key.digest)
        if attempts:
            body = self.ran.setdefault(claim_key.digest, attempts[0].encode())
            answer = RecordedAnswer.make_done(200, '', body)
            self.owners[owner].log.record(claim_key, attempts[0], answer)

    @rule(seconds=strategies.sampled_from([1, 59, 61, 400, 901]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(owner=strategies.integers(0, OWNERS - 1))
    def delete(self, owner):
        log = self.owners[owner].log
        for sequence in log.list_obsolete():
            self.objects.pop(sequence, None)
            log.forget(sequence)

    @invariant()
    def at_most_one_execution(self):
        for attempts in getattr(self, 'holding', {}).values():
            assert len(attempts) <= 1


ClaimMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=60, deadline=None, derandomize=True
)
TestClaimMachine = ClaimMachine.TestCase
