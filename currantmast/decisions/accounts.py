"""Shares that the owner of a budget counts for its holders, and the pool."""

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.allocation import NO_SHARE, BudgetLimits, Share
from currantmast.decisions.buckets import TokenBucket
from currantmast.decisions.last_seen import MemberKey
from currantmast.messages import ShareGrant, ShareHeld

# The demand of an account rises at once and decays by this factor with each report.
DEMAND_DECAY_FACTOR = 0.8
# Below `SPARSE_DEMAND` units per second the reported average swings with each single
# request and halves between two of them, so that the demand of an account must decay
# more slowly.
SPARSE_DECAY_FACTOR = 0.97
SPARSE_DEMAND = 5


class Account(msgspec.Struct):
    """Shares and demand of one holder, as the ledger knows them.

    Parameters
    ----------
    confirmed : Share
        Share that the holder last reported.
    pending : ShareGrant or None
        Grant sent and not yet reported as held.
    demand : float
        Units per second that the holder would use.
    waiting_since : float or None
        Monotonic time in seconds since which it has had demand but no unit of burst.
    """

    confirmed: Share = NO_SHARE
    pending: ShareGrant | None = None
    demand: float = 0
    waiting_since: float | None = None

    @property
    def counted(self) -> Share:
        """Upper bound of the share that the holder may be using."""
        if self.pending is None:
            return self.confirmed
        return self.confirmed.get_maximum(Share(self.pending.rate, self.pending.burst))


class Accounts:
    """Accounts of all holders of one budget, and the pool, under one ledger epoch.

    The pool is the part of the budget that no counted share uses. It gathers tokens
    as a token bucket, and grants hand them over.

    Parameters
    ----------
    budget : str
        Name of the budget.
    limits : BudgetLimits
        Size of the budget.
    epoch : int
        Fleet epoch under which the ledger was opened.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_accounts', '_budget', '_epoch', '_limits', '_pool', '_sequence')

    def __init__(
        self, budget: str, limits: BudgetLimits, epoch: int, clock: Clock
    ) -> None:
        self._budget = budget
        self._limits = limits
        self._epoch = epoch
        self._pool = TokenBucket(clock)
        self._sequence = 0
        self._accounts: dict[MemberKey, Account] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Accounts {len(self._accounts)} pool={self._pool!r}>'

    def __contains__(self, key: MemberKey) -> bool:
        """Return whether `key` has an account."""
        return key in self._accounts

    def list_all(self) -> tuple[tuple[MemberKey, Account], ...]:
        """Return all accounts with their keys."""
        return tuple(self._accounts.items())

    def get(self, key: MemberKey) -> Account:
        """Return the account of `key`, created without a share if there is none."""
        return self._accounts.setdefault(key, Account())

    def remove(self, key: MemberKey) -> None:
        """Delete the account of `key`, which frees its share."""
        self._accounts.pop(key, None)

    def resize(self, limits: BudgetLimits) -> None:
        """Change the size of the budget."""
        self._limits = limits

    def get_total(self) -> Share:
        """Return the sum of the shares that all holders may be using."""
        counted = [account.counted for account in self._accounts.values()]
        return Share(
            sum(share.rate for share in counted),
            sum(share.burst for share in counted),
        )

    def apply_report(
        self, key: MemberKey, held: ShareHeld | None, demand: float
    ) -> None:
        """Update the account of a holder from its report.

        If a holder that has confirmed a share reports none, either it has dropped the
        share or the report is older than the share. Granting the share again is
        correct in both cases.
        """
        account = self.get(key)
        account.demand = max(demand, self._decay_demand(account.demand))
        pending = account.pending
        if held is None:
            if pending is None and account.confirmed != NO_SHARE:
                self.grant(key, account.confirmed)
        elif pending is not None and _confirms(held, pending):
            account.confirmed = Share(held.rate, held.burst)
            account.pending = None
            self.resize_pool()
            self._pool.add(held.returned)

    def grant(self, key: MemberKey, share: Share) -> None:
        """Make `share` the pending share of `key`.

        The grant carries a token from the pool for each unit that it adds to the
        burst, as far as the pool has any.
        """
        self.resize_pool()
        account = self.get(key)
        added = max(0, share.burst - account.confirmed.burst)
        tokens = min(added, self._pool.count())
        self._pool.take(tokens)
        self._sequence += 1
        account.pending = ShareGrant(
            self._budget,
            self._epoch,
            self._sequence,
            share.rate,
            share.burst,
            tokens,
        )
        self.resize_pool()

    def resize_pool(self) -> None:
        """Resize the pool to what the counted shares leave of the budget."""
        total = self.get_total()
        limits = self._limits
        self._pool.resize(limits.rate - total.rate, limits.burst - total.burst)

    def _decay_demand(self, demand: float) -> float:
        if demand < SPARSE_DEMAND * self._limits.unit:
            return demand * SPARSE_DECAY_FACTOR
        return demand * DEMAND_DECAY_FACTOR


def _confirms(held: ShareHeld, pending: ShareGrant) -> bool:
    reported = (held.ledger_epoch, held.sequence)
    return reported == (pending.ledger_epoch, pending.sequence)
