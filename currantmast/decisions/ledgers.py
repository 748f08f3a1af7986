"""Division of one budget by its owner.

Bound on admissions: at each moment let S be the holders that may still use their
share, with rates r_i, bursts b_i and tokens x_i <= b_i, and let the ledger keep the
rest of the budget as a bucket of its own, the pool, with rate r_0 and burst b_0. The
ledger counts for each holder the larger of its confirmed and its pending share, and
sizes the pool to what the counted shares leave, so that at all times
sum r_i <= rate and sum b_i <= burst, the pool included.

Tokens are created in one way only: a bucket refills at its rate up to its burst, so
that all buckets together gain at most rate x t in a time t. Messages only move
tokens. A grant carries tokens from the pool to a holder, at most as many as it adds
to the burst, and is applied once, since grants are numbered. A holder whose share is
reduced drops the excess tokens before it confirms the reduction, and its burst is
granted elsewhere only after that. The report that confirms the reduction returns the
dropped tokens to the pool, and counts once. Everything else destroys tokens: the
pool and a new holder gain none from a larger burst, and a lost message loses the
tokens that it carries. Hence the tokens at the start of an interval, those in
transit included, are at most sum b_i <= burst, and the admissions in an interval of
length t are at most burst + rate x t. Holders that refill from zero while others are
full don't break this, because the bound at the start is the sum of all bursts, not
the tokens of one holder.

A change of owner keeps the bound: the new ledger starts with an empty pool and
counts what every unexpired member reports under its epoch. Since `select_grants`
drops grants of earlier epochs, a share can't grow after it was reported. A budget
that is resized downward is exceeded by the shares whose reduction is not confirmed
yet; until then no share grows.
"""

from collections.abc import Iterable, Mapping

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.accounts import Account, Accounts
from currantmast.decisions.allocation import (
    BudgetLimits,
    HolderDemand,
    Share,
    choose_shares,
)
from currantmast.decisions.last_seen import MemberKey, get_key
from currantmast.deployment import Policy
from currantmast.messages import Member, ShareGrant, ShareHeld

# A share is reduced only if the desired one is lower by more than this fraction, so
# that shares don't oscillate with the demand. In a shortage any excess is reduced.
REDUCTION_THRESHOLD = 0.2
# There is a shortage if a holder has less than this fraction of its desired share.
SHORTAGE_FRACTION = 0.5
# Without a further unit of burst, a rate grows only by more than this fraction of the
# budget.
INCREASE_THRESHOLD = 0.01
# Relative rounding error by which a sum of shares may exceed the budget.
ROUNDING = 1e-9


class Ledger:
    """Divides one budget between its holders while this instance owns it.

    Parameters
    ----------
    budget : str
        Name of the budget.
    rate, burst : float
        Units per second and units at once, over the whole fleet.
    clock : Clock
        Source of monotonic time.
    policy : Policy
        Policy whose `kind` and `floor_share` decide the shares.
    unit : float
        Smallest useful burst: one request, or one chunk of bytes.
    """

    __slots__ = (
        '_accounts',
        '_awaited',
        '_budget',
        '_clock',
        '_epoch',
        '_limits',
        '_policy',
    )

    def __init__(
        self,
        budget: str,
        rate: float,
        burst: float,
        clock: Clock,
        policy: Policy,
        unit: float = 1,
    ) -> None:
        self._budget = budget
        self._limits = BudgetLimits(rate, burst, unit)
        self._clock = clock
        self._policy = policy
        self._epoch = 0
        self._accounts = Accounts(budget, self._limits, 0, clock)
        self._awaited: set[MemberKey] | None = None

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        state = 'open' if self.is_open else 'collecting'
        return f'<Ledger {self._budget} epoch {self._epoch} {state}>'

    @property
    def is_open(self) -> bool:
        """Whether every expected holder has reported or expired."""
        return self._awaited is not None and not self._awaited

    def open(self, expected_holders: Iterable[Member], epoch: int) -> None:
        """Start collecting the held shares after this instance became the owner.

        Parameters
        ----------
        expected_holders : iterable of Member
            All members and the former members whose leases may still be valid, as
            `membership.MembershipTracker.list_unexpired` returns them.
        epoch : int
            Epoch of the record under which the instance owns the budget.
        """
        self._epoch = epoch
        self._accounts = Accounts(self._budget, self._limits, epoch, self._clock)
        self._awaited = {get_key(member) for member in expected_holders}
        self._resize_pool()

    def observe(
        self,
        holder_id: str,
        incarnation: str,
        held: ShareHeld | None,
        demand_rate: float,
        epoch: int,
    ) -> None:
        """Count the share and the demand that a heartbeat reports.

        Parameters
        ----------
        holder_id, incarnation : str
            Sender of the heartbeat.
        held : ShareHeld or None
            Share of this budget that the sender holds.
        demand_rate : float
            Units per second that the sender would use.
        epoch : int
            Epoch of the heartbeat. Reports from before the ledger's epoch are
            ignored: the holder might still accept grants of the earlier owner.
        """
        if epoch < self._epoch or self._awaited is None:
            return
        key = MemberKey(holder_id, incarnation)
        if held is not None and key not in self._accounts and self._awaited:
            # Members that first report after the ledger is open can't hold a share.
            self._accounts.get(key).confirmed = Share(held.rate, held.burst)
        self._accounts.apply_report(key, held, demand_rate)
        self._awaited.discard(key)
        self._resize_pool()

    def expire(self, holder_id: str, incarnation: str) -> None:
        """Free the share of a former member whose lease has certainly expired."""
        key = MemberKey(holder_id, incarnation)
        self._accounts.remove(key)
        if self._awaited is not None:
            self._awaited.discard(key)
        self._resize_pool()

    def resize(self, rate: float, burst: float) -> None:
        """Change the budget; shares in excess of it are reduced before any grows."""
        self._limits = msgspec.structs.replace(self._limits, rate=rate, burst=burst)
        self._accounts.resize(self._limits)
        self._resize_pool()

    def get_total(self) -> Share:
        """Return the sum of what all holders may be using."""
        return self._accounts.get_total()

    def list_holders(self) -> tuple[MemberKey, ...]:
        """Return the holders whose share is counted or awaited."""
        counted = {key for key, _ in self._accounts.list_all()}
        return tuple(counted | (self._awaited or set()))

    def allocate(
        self, active_holders: Iterable[Member]
    ) -> tuple[tuple[str, ShareGrant], ...]:
        """Return the grants to send now, as pairs of holder id and grant.

        A grant is repeated until its holder reports it as held. Nothing is granted
        while shares are being collected.

        Parameters
        ----------
        active_holders : iterable of Member
            The members of the adopted record. Only they get grants: a grant for a
            departed incarnation must not reach a later one of the same id. The
            shares of others stay counted until `expire`.
        """
        if not self.is_open:
            return ()
        active = sorted(get_key(member) for member in active_holders)
        desired_shares = self._choose_desired_shares(active)
        self._reduce_shares(desired_shares)
        self._increase_shares(desired_shares)
        return tuple(
            (key.id, account.pending)
            for key, account in self._accounts.list_all()
            if account.pending is not None and key in desired_shares
        )

    def _choose_desired_shares(
        self, active: Iterable[MemberKey]
    ) -> dict[MemberKey, Share]:
        now = self._clock.now()
        demands = {}
        for key in active:
            account = self._accounts.get(key)
            units = int(account.confirmed.burst / self._limits.unit)
            _update_waiting_since(account, units, now)
            since = now if account.waiting_since is None else account.waiting_since
            demands[key] = HolderDemand(account.demand, now - since, units)
        return choose_shares(self._limits, demands, self._policy)

    def _reduce_shares(self, desired_shares: Mapping[MemberKey, Share]) -> None:
        threshold = (
            0
            if _has_shortage(self._accounts, self._limits, desired_shares)
            else REDUCTION_THRESHOLD
        )
        for key, desired in desired_shares.items():
            account = self._accounts.get(key)
            if account.pending is None and _needs_reduction(
                account.confirmed, desired, threshold, self._limits.unit
            ):
                self._accounts.grant(key, account.confirmed.get_minimum(desired))

    def _increase_shares(self, desired_shares: Mapping[MemberKey, Share]) -> None:
        """Grant what is free, first to the holders that have waited longest."""
        ready = [
            (account.waiting_since or self._clock.now(), key)
            for key, account in self._accounts.list_all()
            if key in desired_shares and account.pending is None
        ]
        for _, key in sorted(ready):
            share = self._accounts.get(key).confirmed
            added = _find_available(
                self._limits, self.get_total(), share, desired_shares[key]
            )
            if added.burst > 0 or added.rate > INCREASE_THRESHOLD * self._limits.rate:
                self._accounts.grant(key, share + added)

    def _resize_pool(self) -> None:
        """Resize the pool, but only once all shares are counted; it is empty before."""
        if self.is_open:
            self._accounts.resize_pool()


def _update_waiting_since(account: Account, units: int, now: float) -> None:
    if units or not account.demand:
        account.waiting_since = None
    elif account.waiting_since is None:
        account.waiting_since = now


def _find_available(
    limits: BudgetLimits, total: Share, share: Share, desired: Share
) -> Share:
    """Return what may be added to `share` now, with a burst of whole units."""
    rate = min(desired.rate - share.rate, limits.rate - total.rate)
    burst = min(desired.burst - share.burst, limits.burst - total.burst)
    units = max(0, int(burst / limits.unit))
    return Share(max(0, rate), units * limits.unit)


def _has_shortage(
    accounts: Accounts, limits: BudgetLimits, desired_shares: Mapping[MemberKey, Share]
) -> bool:
    """Return whether the budget is exceeded or a holder is short of its share."""
    total = accounts.get_total()
    tolerance = 1 + ROUNDING
    if total.rate > limits.rate * tolerance or total.burst > limits.burst * tolerance:
        return True
    return any(
        _is_short(accounts.get(key).confirmed, desired)
        for key, desired in desired_shares.items()
    )


def _is_short(share: Share, desired: Share) -> bool:
    fraction = SHORTAGE_FRACTION
    return (
        share.rate < desired.rate * fraction or share.burst < desired.burst * fraction
    )


def _needs_reduction(
    share: Share, desired: Share, threshold: float, unit: float
) -> bool:
    """Return whether `share` is to be reduced to `desired`.

    Without a shortage one unit of burst in excess is tolerated, or small changes of
    demand would move units back and forth.
    """
    kept_fraction = 1 - threshold
    tolerance = unit if threshold else 0
    is_rate_over = share.rate * kept_fraction > desired.rate
    return is_rate_over or share.burst * kept_fraction - tolerance > desired.burst
