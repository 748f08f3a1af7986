"""A fleet of decision modules over a network and store that a test disturbs."""

import random
from itertools import count

from currantmast.clocks import ManualClock
from currantmast.decisions import membership
from currantmast.decisions.budgets import ShareHolder, select_grants
from currantmast.decisions.handover import Handover, must_reopen_ledger
from currantmast.decisions.leases import Lease, lists_incarnation
from currantmast.decisions.ledgers import Ledger
from currantmast.decisions.membership import MembershipTracker, may_renew_lease
from currantmast.decisions.ownership import choose_owner
from currantmast.deployment import Policy, Timing
from currantmast.messages import Address, FleetRecord, Heartbeat, HeartbeatAck, Member

ADDRESS = Address('127.0.0.1', 1)
TIMING = Timing()
RATE = 20.0
BURST = 10.0
BUDGET = 'team:a'
KEYS = (BUDGET, *(f'target:{number}' for number in range(6)))
PERIOD_S = 0.5
DRIFT = 0.02


def make_member(member_id, incarnation='x', region='r', domain='d'):
    return Member(member_id, incarnation, region, domain, ADDRESS, ADDRESS, ADDRESS)


class Node:
    """One instance: the decision modules joined as the runtime joins them."""

    def __init__(self, fleet, member_id, clock):
        self.fleet, self.clock = fleet, clock
        self.member_id = member_id
        self.reset()

    def reset(self):
        """Start as a new incarnation that knows nothing."""
        self.incarnation = f'{self.member_id}-{next(self.fleet.numbers)}'
        self.record = None
        self.lease = Lease(self.clock, TIMING.lease_s)
        self.tracker = MembershipTracker(
            self.clock, TIMING, self.member_id, self.incarnation
        )
        self.handover = Handover(self.tracker)
        self.shares = ShareHolder(self.clock)
        self.ledger = None

    def adopt(self, record):
        previous = self.record
        if previous is not None and record.epoch <= previous.epoch:
            return
        had_joined = lists_incarnation(previous, self.member_id, self.incarnation)
        is_listed = lists_incarnation(record, self.member_id, self.incarnation)
        if had_joined and not is_listed:
            self.reset()
            return
        self.record = record
        self.lease.adopt_record(record, self.member_id, self.incarnation)
        self.tracker.adopt_record(record)
        self.handover.adopt_record(record)
        owner = choose_owner(record, BUDGET)
        if owner is None or owner.id != self.member_id or not is_listed:
            self.ledger = None
        elif self.ledger is None or must_reopen_ledger(
            previous, record, BUDGET, self.member_id
        ):
            self.ledger = Ledger(BUDGET, RATE, BURST, self.clock, Policy())
            self.ledger.open(self.tracker.list_unexpired(), record.epoch)

    def owns(self, key):
        if self.record is None or not self.lease.is_valid():
            return False
        owner = choose_owner(self.record, key)
        return owner.id == self.member_id and self.handover.is_handed_over(key)

    def take(self):
        return self.lease.is_valid() and self.shares.take(BUDGET)

    def tick(self):
        """Do what the runtime does each heartbeat period."""
        if not lists_incarnation(self.record, self.member_id, self.incarnation):
            member = make_member(self.member_id, self.incarnation)
            self.fleet.change(self, lambda old: membership.add_member(old, member))
        elif self.lease.expires_at() - self.clock.now() < 2 or self.is_due():
            self.fleet.read_store(self)
        removals = self.tracker.choose_removals(self.member_id)
        if removals and self.fleet.record.epoch == self.record.epoch:
            self.fleet.change(
                self, lambda old: membership.remove_member(old, *removals)
            )
        if self.record is not None:
            self.send_heartbeats()

    def is_due(self):
        """Return whether a witness reads the store although its lease is renewed.

        Witnesses that were removed while cut off hear of it in no other way if they
        renew each other's lease and all others in their record have gone.
        """
        return self.member_id in self.record.witnesses and self.fleet.rng.random() < 0.1

    def send_heartbeats(self):
        heartbeat = Heartbeat(
            self.member_id,
            self.incarnation,
            self.record.epoch,
            1,
            self.clock.now(),
            demands=self.shares.list_demands(),
            shares=self.shares.list_held(),
            silent=self.tracker.list_silent(),
        )
        for member in self.record.members:
            self.fleet.send(self, member.id, heartbeat)

    def receive(self, sender_record, message):
        if self.fleet.rng.random() < 0.7:
            self.adopt(sender_record)
        if self.record is None:
            return
        if isinstance(message, Heartbeat):
            self.receive_heartbeat(message)
        else:
            self.receive_ack(message)

    def receive_heartbeat(self, message):
        self.tracker.observe_heartbeat(message)
        grants = ()
        is_known = lists_incarnation(self.record, message.sender, message.incarnation)
        if self.ledger is not None and is_known:
            held = next(iter(message.shares), None)
            demand = next((entry.rate for entry in message.demands), 0)
            self.ledger.observe(
                message.sender, message.incarnation, held, demand, message.epoch
            )
            for key in self.ledger.list_holders():
                if self.tracker.has_expired(key.id, key.incarnation):
                    self.ledger.expire(key.id, key.incarnation)
            grants = tuple(
                grant
                for holder, grant in self.ledger.allocate(self.record.members)
                if holder == message.sender
            )
        renews = may_renew_lease(self.record, self.member_id, self.incarnation, message)
        ack = HeartbeatAck(
            self.member_id,
            self.incarnation,
            self.record.epoch,
            1,
            message.incarnation,
            message.sent_at,
            renews,
            grants,
        )
        self.fleet.send(self, message.sender, ack)

    def receive_ack(self, ack):
        self.tracker.observe_epoch(ack.sender, ack.incarnation, ack.epoch)
        if ack.echoed_incarnation == self.incarnation and ack.renews:
            self.lease.observe_ack(ack.sender, ack.epoch, ack.echoed_sent_at)
        for grant in select_grants(ack, self.record, self.incarnation):
            self.shares.apply(grant)


class Fleet:
    """Nodes, one store object, and messages under way.

    Parameters
    ----------
    rng : random.Random
        Source of loss, duplication, delay and order.
    size : int
        Number of instances.
    """

    def __init__(self, rng, size=5):
        self.rng, self.numbers = rng, count()
        self.now = 0.0
        self.record = FleetRecord(0)
        self.loss = 0.05
        self.messages = []
        self.nodes, self.groups = {}, {}
        self.paused, self.dead, self.storeless = set(), set(), set()
        self.clocks = {}
        self.admissions = []
        for number in range(size):
            self.start(f'i{number}')

    def start(self, member_id):
        """Start a process under `member_id`; the platform has ended the last one."""
        self.clocks.setdefault(member_id, self.make_clock())
        clock, _ = self.clocks[member_id]
        self.nodes[member_id] = Node(self, member_id, clock)
        self.dead.discard(member_id)
        self.paused.discard(member_id)

    def make_clock(self):
        rate = 1 + self.rng.uniform(-DRIFT, DRIFT)
        return ManualClock(self.rng.uniform(0, 1000)), rate

    def change(self, node, make_next):
        """Update the record conditionally, from what is in the store now."""
        if node.member_id in self.storeless:
            return
        try:
            self.record = node.tracker.prune(make_next(self.record))
        except membership.MemberUnknown:
            return
        except membership.IncarnationReused:
            # Joined, and removed before the answer of the store arrived.
            node.reset()
            return
        if self.rng.random() < 0.8:
            node.adopt(self.record)

    def read_store(self, node):
        """Read now and deliver with the messages."""
        if node.member_id not in self.storeless:
            read = (self.record, node.clock.now())
            self.post(node.member_id, node.incarnation, self.record, read)

    def send(self, node, receiver, message):
        if receiver == node.member_id:
            node.receive(node.record, message)
            return
        is_cut = self.groups.get(node.member_id) != self.groups.get(receiver)
        if is_cut or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < 0.1)):
            self.post(receiver, None, node.record, message)

    def post(self, receiver, incarnation, record, message):
        delay = self.rng.choice((0.02, 0.02, 0.02, 0.06, 0.3, 4))
        self.messages.append((self.now + delay, receiver, incarnation, record, message))

    def deliver(self):
        """Deliver what is due, in any order, except to paused and dead nodes."""
        silent = self.paused | self.dead
        due = [
            entry
            for entry in self.messages
            if entry[0] <= self.now and entry[1] not in silent
        ]
        self.messages = [
            entry
            for entry in self.messages
            if entry not in due and entry[1] not in self.dead
        ]
        self.rng.shuffle(due)
        for _, receiver, incarnation, record, message in due:
            node = self.nodes[receiver]
            if incarnation is None:
                node.receive(record, message)
            elif incarnation == node.incarnation:
                node.adopt(record)
                if node.incarnation == incarnation:
                    node.lease.observe_store_read(message[1])

    def run(self, seconds, spenders=None):
        """Let time pass in small steps and check the invariants in each.

        Without `spenders`, other nodes spend from time to time.
        """
        end = self.now + seconds
        chosen = spenders or ()
        while self.now < end:
            before = self.now
            self.now += 0.05
            for clock, rate in self.clocks.values():
                clock.advance(0.05 * rate)
            if spenders is None and self.rng.random() < 0.04:
                chosen = self.rng.sample(sorted(self.nodes), self.rng.randint(0, 2))
            self.deliver()
            for number, node in enumerate(self.list_running()):
                phase = 0.05 * (number % 7)
                if (self.now + phase) // PERIOD_S != (before + phase) // PERIOD_S:
                    node.tick()
                self.spend(node, chosen)
            self.check()

    def spend(self, node, spenders):
        if node.member_id in spenders:
            for _ in range(3):
                if node.take():
                    self.admissions.append(self.now)

    def cut(self, members, from_store=True):
        """Separate `members` from the others, and from the store."""
        self.groups = dict.fromkeys(members, 1)
        self.storeless = set(members) if from_store else set()

    def heal(self):
        """End all partitions and pauses."""
        self.groups, self.loss = {}, 0.05
        self.storeless, self.paused = set(), set()

    def list_running(self):
        silent = self.paused | self.dead
        return [node for node in self.nodes.values() if node.member_id not in silent]

    def check(self):
        """Check that no two nodes use the same part of anything."""
        # A paused node may resume at any moment, so it counts like a running one.
        alive = [node for key, node in self.nodes.items() if key not in self.dead]
        leased = [node for node in alive if node.lease.is_valid()]
        held = [share for node in leased for share in node.shares.list_held()]
        assert sum(share.rate for share in held) <= RATE + 1e-6, held
        assert sum(share.burst for share in held) <= BURST + 1e-6, held
        for key in KEYS:
            owners = [node.incarnation for node in alive if node.owns(key)]
            assert len(owners) <= 1, (key, owners)

    def check_admissions(self):
        """Check every interval against the bound of the token bucket."""
        rate = RATE * (1 + DRIFT)
        least = 0.0
        for number, at in enumerate(self.admissions):
            # Admissions less the refill since the start of any interval.
            level = number - rate * at
            least = level if number == 0 else min(least, level)
            assert level + 1 - least <= BURST + 1e-6, (number, at)


def make_fleet(seed, size=5):
    """Return a fleet that has formed and divided its budget."""
    fleet = Fleet(random.Random(seed), size)
    fleet.run(10)
    return fleet
