"""Invariants of the fleet under loss, reordering, pauses, deaths and partitions."""

import random

from fleet import KEYS, RATE, Fleet
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

MEMBERS = tuple(f'i{number}' for number in range(7))
some = st.lists(st.sampled_from(MEMBERS), min_size=1, max_size=4, unique=True)
durations = st.sampled_from((0.5, 2, 4, 8, 14))


class FleetMachine(RuleBasedStateMachine):
    """Guards against two holders of one part of a budget, or two owners of a key.

    `Fleet.run` checks both in each step of 50 ms; the admissions are checked at
    the end against every interval.
    """

    @initialize(seed=st.integers(0, 2**16), size=st.sampled_from((3, 2, 5)))
    def form(self, seed, size):
        self.fleet = Fleet(random.Random(seed), size)
        self.fleet.run(8)

    @rule(seconds=durations)
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(members=some, from_store=st.booleans(), seconds=durations)
    def cut(self, members, from_store, seconds):
        self.fleet.cut(members, from_store)
        self.fleet.run(seconds)

    @rule(seconds=durations)
    def cut_store(self, seconds):
        self.fleet.storeless = set(MEMBERS)
        self.fleet.run(seconds)

    @rule(loss=st.sampled_from((0, 0.3, 0.6)), seconds=durations)
    def lose(self, loss, seconds):
        self.fleet.loss = loss
        self.fleet.run(seconds)

    @rule(members=some, seconds=durations)
    def pause(self, members, seconds):
        self.fleet.paused = set(members) & set(self.fleet.nodes)
        self.fleet.run(seconds)

    @rule(members=some, seconds=durations)
    def kill(self, members, seconds):
        self.fleet.dead |= set(members) & set(self.fleet.nodes)
        self.fleet.run(seconds)

    @rule(members=some, seconds=durations)
    def start(self, members, seconds):
        for member in members:
            self.fleet.start(member)
        self.fleet.run(seconds)

    @rule(seconds=durations)
    def heal(self, seconds):
        self.fleet.heal()
        self.fleet.run(seconds)

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        self.fleet.check_admissions()
        self.fleet.heal()
        for member in tuple(self.fleet.dead):
            self.fleet.start(member)
        self.fleet.run(30)
        # Guards against keys that are safe only because nobody may use them.
        running = self.fleet.list_running()
        assert all(any(node.owns(key) for node in running) for key in KEYS)
        admitted = len(self.fleet.admissions)
        self.fleet.run(10, [running[0].member_id])
        # A tenth of the rate shows that the budget is in use, not how well.
        assert len(self.fleet.admissions) > admitted + RATE
        self.fleet.check_admissions()


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=30,
    stateful_step_count=16,
    deadline=None,
    # Shrinking would run thousands of simulated seconds again.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
TestFleet = FleetMachine.TestCase
