"""Shares of budgets that one instance holds and uses."""

import math

from currantmast.clocks import Clock
from currantmast.decisions.buckets import DemandMeter, TokenBucket
from currantmast.decisions.leases import lists_incarnation
from currantmast.decisions.ownership import choose_owner
from currantmast.messages import (
    Demand,
    FleetRecord,
    HeartbeatAck,
    ShareGrant,
    ShareHeld,
)

# Smallest demand that is reported, in units per second.
MIN_REPORTED_DEMAND = 1e-4


def select_grants(
    ack: HeartbeatAck, record: FleetRecord | None, incarnation: str
) -> tuple[ShareGrant, ...]:
    """Return the grants in `ack` that its receiver may apply.

    A grant counts only if the sender has adopted the same epoch as the receiver and
    owns the budget under it, and if it is meant for this incarnation. Otherwise a
    late grant of an earlier owner could enlarge a share that the new owner has
    already counted.

    Parameters
    ----------
    ack : HeartbeatAck
        Acknowledgement received.
    record : FleetRecord or None
        Record that the receiver has adopted.
    incarnation : str
        Incarnation of the receiver.
    """
    if record is None or ack.epoch != record.epoch:
        return ()
    if ack.echoed_incarnation != incarnation:
        return ()
    if not lists_incarnation(record, ack.sender, ack.incarnation):
        return ()
    return tuple(
        grant for grant in ack.grants if _owns_budget(record, ack.sender, grant.budget)
    )


def _owns_budget(record: FleetRecord, member_id: str, budget: str) -> bool:
    owner = choose_owner(record, budget)
    return owner is not None and owner.id == member_id


class ShareHolder:
    """The shares of one instance: a token bucket for each budget.

    Check the lease before `take`, and apply only grants that `select_grants` returned.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_buckets', '_clock', '_demands', '_held', '_latest')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._demands: dict[str, DemandMeter] = {}
        self._held: dict[str, ShareHeld] = {}
        self._latest: dict[str, tuple[int, int]] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ShareHolder {len(self._held)} shares>'

    def take(self, budget: str, amount: float = 1) -> bool:
        """Take `amount` units of `budget` if the share has as many now.

        The attempt counts as demand in either case.
        """
        meter = self._demands.get(budget)
        if meter is None:
            meter = self._demands.setdefault(budget, DemandMeter(self._clock))
        meter.record(amount)
        return self.take_without_demand(budget, amount)

    def take_without_demand(self, budget: str, amount: float = 1) -> bool:
        """Take `amount` units as `take` does, for demand that it has counted before."""
        bucket = self._buckets.get(budget)
        return bucket is not None and bucket.take(amount)

    def holds_any(self, prefix: str) -> bool:
        """Return whether a share of a budget whose name starts with `prefix` is held."""
        return any(name.startswith(prefix) for name in self._held)

    def get_wait(self, budget: str, amount: float = 1) -> float:
        """Return the time in seconds until the held share has `amount` units.

        Infinite if the share's burst is too small or its rate is zero. A second
        `take` after the wait counts the demand twice, which only speeds up the next
        grant.
        """
        bucket = self._buckets.get(budget)
        return math.inf if bucket is None else bucket.get_wait(amount)

    def give_back(self, budget: str, amount: float) -> None:
        """Return taken units that were certainly not used; see `TokenBucket.give_back`."""
        bucket = self._buckets.get(budget)
        if bucket is not None:
            bucket.give_back(amount)

    def apply(self, grant: ShareGrant) -> bool:
        """Replace a share, unless a newer grant was applied before.

        Returns
        -------
        bool
            Whether the share was replaced. It should be reported to the owner soon:
            the owner grants what a reduction frees only after a heartbeat reports it.
        """
        order = (grant.ledger_epoch, grant.sequence)
        if order <= self._latest.get(grant.budget, (-1, -1)):
            return False
        self._latest[grant.budget] = order
        bucket = self._buckets.get(grant.budget)
        if bucket is None:
            bucket = self._buckets.setdefault(grant.budget, TokenBucket(self._clock))
        returned = bucket.resize(grant.rate, grant.burst)
        bucket.add(grant.tokens)
        self._held[grant.budget] = ShareHeld(
            grant.budget, *order, grant.rate, grant.burst, returned
        )
        return True

    def list_held(self) -> tuple[ShareHeld, ...]:
        """Return the shares held, as heartbeats report them."""
        return tuple(self._held.values())

    def list_demands(self) -> tuple[Demand, ...]:
        """Return the demand for each budget in units per second."""
        rates = {budget: meter.measure() for budget, meter in self._demands.items()}
        self._demands = {
            budget: meter
            for budget, meter in self._demands.items()
            if rates[budget] >= MIN_REPORTED_DEMAND
        }
        return tuple(Demand(budget, rates[budget]) for budget in self._demands)

    def drop_all(self) -> None:
        """Drop all shares; to be called before joining as a new incarnation.

        The ledger epoch and sequence number of the newest grant applied for each budget
        are kept, so that late copies of earlier grants are still ignored.
        """
        self._buckets.clear()
        self._held.clear()
