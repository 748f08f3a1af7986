"""Shares of one team's rate against the number of instances that hold them."""

import random
import time
from collections.abc import Iterator, Sequence

import msgspec

from currantmast.clocks import ManualClock
from currantmast.decisions.allocation import Share
from currantmast.decisions.buckets import TokenBucket
from currantmast.decisions.budgets import ShareHolder
from currantmast.decisions.ledgers import Ledger
from currantmast.deployment import Policy
from currantmast.experiment.synthetic import make_member
from currantmast.messages import Member

Row = list[float]

BUDGET = 'team:team00000'
PERIOD_S = 0.5
STEP_S = 0.01
DIVISION_STEPS = 10  # A division each 0.1 s, as at run time.
WARM_UP_S = 10.0
MS_PER_S = 1000
SHARE_COSTS = (
    'requests',
    'waited %',
    'refused after 0.3 s %',
    'grants/s',
    'over the budget',
    'division ms',
    'a report us',
)


class ShareSettings(msgspec.Struct, frozen=True):
    """One trial of a budget.

    Parameters
    ----------
    rate, burst : float
        The team's rate in requests per second, and its burst.
    load : float
        Demand as a fraction of the rate.
    skew : float
        Exponent of the demand over the holders by rank; 0 is even.
    seconds : float
        Length of the trial after the warm-up.
    seed : int
        Seed of the arrivals.
    """

    rate: float
    burst: float
    load: float
    skew: float
    seconds: float
    seed: int


class Tally(msgspec.Struct):
    """Counts of one trial; times in seconds of processor time."""

    requests: int = 0
    refused: int = 0
    refused_late: int = 0
    grants: int = 0
    admitted_over: int = 0
    divisions: int = 0
    division_s: float = 0
    reports: int = 0
    report_s: float = 0


class Waiting(msgspec.Struct, frozen=True):
    """A request above its holder's share that may still be admitted."""

    holder: int
    until: float


class BudgetTrial:
    """A ledger and its holders under one manual clock.

    Parameters
    ----------
    holders : int
        Instances that hold shares.
    settings : ShareSettings
        Rate and demand.
    wait_s : float
        Longest time that a request waits for its holder's share.
    """

    def __init__(self, holders: int, settings: ShareSettings, wait_s: float) -> None:
        self._settings = settings
        self._wait_s = wait_s
        self._clock = ManualClock(1)
        self._members = [make_member(number) for number in range(holders)]
        self._holders = [ShareHolder(self._clock) for _ in self._members]
        self._ledger = Ledger(
            BUDGET, settings.rate, settings.burst, self._clock, Policy()
        )
        self._ledger.open(self._members, 1)
        # What one central bucket would have admitted tells which refusals are wrongful.
        self._central = TokenBucket(self._clock)
        self._central.resize(settings.rate, settings.burst)
        self._central.add(settings.burst)
        self._generator = random.Random(settings.seed)
        weights = [1 / rank**settings.skew for rank in range(1, holders + 1)]
        self._generator.shuffle(weights)
        self._weights = weights
        self._index = {member.id: at for at, member in enumerate(self._members)}
        self._waiting: list[Waiting] = []
        self.tally = Tally()

    def __repr__(self) -> str:
        """Return the counts."""
        return f'<BudgetTrial {self.tally!r}>'

    @property
    def total(self) -> Share:
        """Sum of what all holders may be using."""
        return self._ledger.get_total()

    def run(self) -> Tally:
        """Run warm-up and trial and return the counts of the trial."""
        self._run_for(WARM_UP_S)
        self.tally = Tally()
        self._run_for(self._settings.seconds)
        return self.tally

    def _run_for(self, seconds: float) -> None:
        steps_per_period = round(PERIOD_S / STEP_S)
        for step in range(round(seconds / STEP_S)):
            self._clock.advance(STEP_S)
            self._retry_waiting()
            self._arrive()
            # Heartbeats of different instances are not in step.
            for at in range(
                step % steps_per_period, len(self._members), steps_per_period
            ):
                self._report(self._members[at], at)
            if step % DIVISION_STEPS == 0:
                self._divide()

    def _arrive(self) -> None:
        mean = self._settings.rate * self._settings.load * STEP_S
        count = round(self._generator.gauss(mean, mean**0.5))
        chosen = self._generator.choices(
            range(len(self._members)), self._weights, k=max(0, count)
        )
        for at in chosen:
            self._request(at)

    def _request(self, at: int) -> None:
        self.tally.requests += 1
        is_inside = self._central.take(1)
        if self._holders[at].take(BUDGET):
            self.tally.admitted_over += not is_inside
            return
        if is_inside:
            self.tally.refused += 1
            self._waiting.append(Waiting(at, self._clock.now() + self._wait_s))

    def _retry_waiting(self) -> None:
        kept = []
        for waiting in self._waiting:
            if self._holders[waiting.holder].take_without_demand(BUDGET):
                continue
            if self._clock.now() >= waiting.until:
                self.tally.refused_late += 1
            else:
                kept.append(waiting)
        self._waiting = kept

    def _report(self, member: Member, at: int) -> None:
        holder = self._holders[at]
        held = {share.budget: share for share in holder.list_held()}
        demands = {demand.budget: demand.rate for demand in holder.list_demands()}
        started_s = time.process_time()
        self._ledger.observe(
            member.id,
            member.incarnation,
            held.get(BUDGET),
            demands.get(BUDGET, 0),
            1,
        )
        self.tally.report_s += time.process_time() - started_s
        self.tally.reports += 1

    def _divide(self) -> None:
        started_s = time.process_time()
        grants = self._ledger.allocate(self._members)
        self.tally.division_s += time.process_time() - started_s
        self.tally.divisions += 1
        for holder_id, grant in grants:
            at = self._index[holder_id]
            if self._holders[at].apply(grant):
                # A changed share is reported at once, as at run time.
                self._report(self._members[at], at)
        self.tally.grants += len(grants)


def measure_shares(sizes: Sequence[int], settings: ShareSettings) -> Iterator[Row]:
    """Yield refusals and transfers of one budget against its holders.

    The grants of a division reach their holders at once; reports every 0.5 s. A
    refusal is wrongful when one central bucket would have admitted the request.
    """
    for size in sizes:
        tally = BudgetTrial(size, settings, 0.3).run()
        yield [
            size,
            tally.requests,
            100 * tally.refused / max(1, tally.requests),
            100 * tally.refused_late / max(1, tally.requests),
            tally.grants / settings.seconds,
            tally.admitted_over,
            tally.division_s / tally.divisions * MS_PER_S,
            tally.report_s / max(1, tally.reports) * MS_PER_S * MS_PER_S,
        ]
