"""What the owner of a budget counts for each holder, and the pool of the rest."""

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.allotment import NO_SHARE, Share, Terms
from currantmast.decisions.buckets import TokenBucket
from currantmast.decisions.sightings import MemberKey
from currantmast.messages import ShareGrant, ShareHeld

# Counted demand rises at once and falls by this factor with each report. Below
# `SPARSE_DEMAND` units per second the average itself swings with each request, and
# falls by half between two, so that there it must fall more slowly.
DEMAND_FALL_FACTOR = 0.8
SPARSE_FALL_FACTOR = 0.97
SPARSE_DEMAND = 5


class Account(msgspec.Struct):
    """What the ledger knows of one holder.

    Parameters
    ----------
    confirmed : Share
        Share that the holder last reported.
    pending : ShareGrant or None
        Grant sent and not yet reported as held.
    demand : float
        Units per second that the holder would use.
    waiting_since : float or None
        Monotonic time since when it has had demand but no unit.
    """

    confirmed: Share = NO_SHARE
    pending: ShareGrant | None = None
    demand: float = 0
    waiting_since: float | None = None

    @property
    def counted(self) -> Share:
        """The most that the holder may be using."""
        if self.pending is None:
            return self.confirmed
        return self.confirmed.cover(Share(self.pending.rate, self.pending.burst))


class Accounts:
    """The accounts of one budget under one ledger epoch.

    Parameters
    ----------
    budget : str
        Name of the budget.
    terms : Terms
        Size of the budget.
    epoch : int
        Ledger epoch.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_accounts', '_budget', '_epoch', '_pool', '_sequence', '_terms')

    def __init__(self, budget: str, terms: Terms, epoch: int, clock: Clock) -> None:
        self._budget = budget
        self._terms = terms
        self._epoch = epoch
        self._pool = TokenBucket(clock)
        self._sequence = 0
        self._accounts: dict[MemberKey, Account] = {}

    def __repr__(self) -> str:
        """Return the number of accounts and the pool."""
        return f'<Accounts {len(self._accounts)} pool={self._pool!r}>'

    def __contains__(self, key: MemberKey) -> bool:
        """Return whether `key` has an account."""
        return key in self._accounts

    def list_all(self) -> tuple[tuple[MemberKey, Account], ...]:
        """Return all accounts with their keys."""
        return tuple(self._accounts.items())

    def get(self, key: MemberKey) -> Account:
        """Return the account of `key`, opened without a share if there is none."""
        return self._accounts.setdefault(key, Account())

    def remove(self, key: MemberKey) -> None:
        """Free the share of `key`."""
        self._accounts.pop(key, None)

    def resize(self, terms: Terms) -> None:
        """Change the size of the budget."""
        self._terms = terms

    def get_total(self) -> Share:
        """Return the sum of what all holders may be using."""
        counted = [account.counted for account in self._accounts.values()]
        return Share(
            sum(share.rate for share in counted),
            sum(share.burst for share in counted),
        )

    def report(self, key: MemberKey, held: ShareHeld | None, demand: float) -> None:
        """Take in what a holder reports.

        A holder that reports no share although it has confirmed one either dropped
        it, or the report is older than the share; repeating the share is right in
        both cases.
        """
        account = self.get(key)
        account.demand = max(demand, self._fade(account.demand))
        pending = account.pending
        if held is None:
            if pending is None and account.confirmed != NO_SHARE:
                self.grant(key, account.confirmed)
        elif pending is not None and _confirms(held, pending):
            account.confirmed = Share(held.rate, held.burst)
            account.pending = None
            self.size_pool()
            self._pool.add(held.returned)

    def grant(self, key: MemberKey, share: Share) -> None:
        """Make `share` the pending share of `key`.

        An added burst takes tokens from the pool along, as far as there are any.
        """
        self.size_pool()
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
        self.size_pool()

    def size_pool(self) -> None:
        """Size the pool to what the counted shares leave over, from now on."""
        total = self.get_total()
        terms = self._terms
        self._pool.resize(terms.rate - total.rate, terms.burst - total.burst)

    def _fade(self, demand: float) -> float:
        if demand < SPARSE_DEMAND * self._terms.unit:
            return demand * SPARSE_FALL_FACTOR
        return demand * DEMAND_FALL_FACTOR


def _confirms(held: ShareHeld, pending: ShareGrant) -> bool:
    reported = (held.ledger_epoch, held.sequence)
    return reported == (pending.ledger_epoch, pending.sequence)
