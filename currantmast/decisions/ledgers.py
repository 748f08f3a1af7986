"""Division of one budget by its owner.

Bound. At each moment let S be the holders that may still use their share, with
rates r_i, bursts b_i and tokens x_i <= b_i, and let the ledger keep the rest of the
budget as a bucket of its own, the pool, with rate r_0 and burst b_0. The ledger
counts for each holder the larger of its confirmed and its pending share, and sizes
the pool to what the counted shares leave over, so that at all times
sum r_i <= rate and sum b_i <= burst, the pool included.

Tokens appear in one way only: a bucket refills at its rate up to its burst, so that
all together gain at most rate x t in a time t. Messages move tokens. A grant carries
tokens from the pool to a holder, no more than its added burst, and is applied once,
by its order. A reduced share truncates the tokens before the reduction is confirmed
and its burst is granted elsewhere; the report that confirms it, and counts once,
returns them to the pool. Everything else removes tokens: the pool and a new holder
gain none from a larger burst, a lost message loses what it carries. Hence the tokens
at the start of an interval, those under way included, are at most sum b_i <= burst, and the admissions in an interval of length t are at most
burst + rate x t. A holder that refills from zero while others are full does not
break this, because the sum of all bursts, not the tokens of one, bounds the start.

A change of owner keeps the bound: the new ledger starts with an empty pool, counts
what every unexpired member reports under its epoch, and since `select_grants` drops
grants of earlier epochs, no reported share can grow behind its back. A budget that
is resized downward is exceeded by what is not yet confirmed as reduced; until then
nothing grows.
"""

from collections.abc import Iterable, Mapping

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.accounts import Account, Accounts
from currantmast.decisions.allotment import (
    Share,
    Terms,
    Want,
    choose_shares,
)
from currantmast.decisions.sightings import MemberKey, get_key
from currantmast.deployment import Policy
from currantmast.messages import Member, ShareGrant, ShareHeld

# A share is reduced only if it exceeds the wanted one by this part, so that shares
# don't oscillate with the demand, unless a holder has less than the part it is due.
REDUCTION_THRESHOLD = 0.2
PRESSED_FRACTION = 0.5
# A share is increased only by at least this part of the budget.
INCREASE_THRESHOLD = 0.01
# Sums of shares may exceed a budget by the rounding of their addition.
ROUNDING = 1e-9


class Ledger:
    """Allots the shares of one budget while its instance owns the budget.

    Parameters
    ----------
    budget : str
        Name of the budget.
    rate, burst : float
        Units per second and units at once, over the whole fleet.
    clock : Clock
        Source of monotonic time.
    policy : Policy
        Allotment policy and floor.
    unit : float
        Smallest useful burst: one request, or one chunk of bytes.
    """

    __slots__ = (
        '_accounts',
        '_awaited',
        '_budget',
        '_clock',
        '_epoch',
        '_policy',
        '_terms',
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
        self._terms = Terms(rate, burst, unit)
        self._clock = clock
        self._policy = policy
        self._epoch = 0
        self._accounts = Accounts(budget, self._terms, 0, clock)
        self._awaited: set[MemberKey] | None = None

    def __repr__(self) -> str:
        """Return the state of the ledger."""
        state = 'open' if self.is_open else 'collecting'
        return f'<Ledger {self._budget} epoch {self._epoch} {state}>'

    @property
    def is_open(self) -> bool:
        """Whether every expected holder has reported or expired."""
        return self._awaited is not None and not self._awaited

    def open(self, expected_holders: Iterable[Member], epoch: int) -> None:
        """Start collecting shares after this instance became the owner.

        Parameters
        ----------
        expected_holders : iterable of Member
            All members and former members not certainly expired, as
            `membership.Observer.list_unexpired` returns them.
        epoch : int
            Epoch of the record under which the instance owns the budget.
        """
        self._epoch = epoch
        self._accounts = Accounts(self._budget, self._terms, epoch, self._clock)
        self._awaited = {get_key(member) for member in expected_holders}
        self._size_pool()

    def observe(
        self,
        holder_id: str,
        incarnation: str,
        held: ShareHeld | None,
        demand_rate: float,
        epoch: int,
    ) -> None:
        """Take in what a heartbeat reports.

        Parameters
        ----------
        holder_id, incarnation : str
            Sender of the heartbeat.
        held : ShareHeld or None
            Share of this budget that it holds.
        demand_rate : float
            Units per second that it would use.
        epoch : int
            Epoch of the heartbeat. Reports from before the ledger's epoch are
            ignored: the holder might still accept grants of the earlier owner.
        """
        if epoch < self._epoch or self._awaited is None:
            return
        key = MemberKey(holder_id, incarnation)
        if held is not None and key not in self._accounts and self._awaited:
            # Members that appear after the ledger is open can't hold a share yet.
            self._accounts.get(key).confirmed = Share(held.rate, held.burst)
        self._accounts.report(key, held, demand_rate)
        self._awaited.discard(key)
        self._size_pool()

    def expire(self, holder_id: str, incarnation: str) -> None:
        """Free the share of a former member that has certainly expired."""
        key = MemberKey(holder_id, incarnation)
        self._accounts.remove(key)
        if self._awaited is not None:
            self._awaited.discard(key)
        self._size_pool()

    def resize(self, rate: float, burst: float) -> None:
        """Change the budget; shares above it are reduced first."""
        self._terms = msgspec.structs.replace(self._terms, rate=rate, burst=burst)
        self._accounts.resize(self._terms)
        self._size_pool()

    def get_total(self) -> Share:
        """Return the sum of what all holders may be using."""
        return self._accounts.get_total()

    def list_holders(self) -> tuple[MemberKey, ...]:
        """Return the holders whose share is counted or awaited."""
        counted = {key for key, _ in self._accounts.list_all()}
        return tuple(counted | (self._awaited or set()))

    def allot(
        self, active_holders: Iterable[Member]
    ) -> tuple[tuple[str, ShareGrant], ...]:
        """Return the grants to send now, by id of their holder.

        A grant is repeated until its holder reports it. Nothing is granted while
        shares are being collected.

        Parameters
        ----------
        active_holders : iterable of Member
            The members of the adopted record. Only they get grants: a grant for a
            departed incarnation must not reach a later one of the same id. What
            others hold stays counted until `expire`.
        """
        if not self.is_open:
            return ()
        active = sorted(get_key(member) for member in active_holders)
        wanted = self._choose_wanted(active)
        self._reduce(wanted)
        self._increase(wanted)
        return tuple(
            (key.id, account.pending)
            for key, account in self._accounts.list_all()
            if account.pending is not None and key in wanted
        )

    def _choose_wanted(self, active: Iterable[MemberKey]) -> dict[MemberKey, Share]:
        now = self._clock.now()
        wants = {}
        for key in active:
            account = self._accounts.get(key)
            units = int(account.confirmed.burst / self._terms.unit)
            _note_waiting(account, units, now)
            since = now if account.waiting_since is None else account.waiting_since
            wants[key] = Want(account.demand, now - since, units)
        return choose_shares(self._terms, wants, self._policy)

    def _reduce(self, wanted: Mapping[MemberKey, Share]) -> None:
        threshold = (
            0
            if _is_pressed(self._accounts, self._terms, wanted)
            else REDUCTION_THRESHOLD
        )
        for key, want in wanted.items():
            account = self._accounts.get(key)
            if account.pending is None and _exceeds(
                account.confirmed, want, threshold, self._terms.unit
            ):
                self._accounts.grant(key, account.confirmed.limit(want))

    def _increase(self, wanted: Mapping[MemberKey, Share]) -> None:
        """Grant what is free, first to holders that have waited longest."""
        ready = [
            (account.waiting_since or self._clock.now(), key)
            for key, account in self._accounts.list_all()
            if key in wanted and account.pending is None
        ]
        for _, key in sorted(ready):
            share = self._accounts.get(key).confirmed
            added = _find_room(self._terms, self.get_total(), share, wanted[key])
            if added.burst > 0 or added.rate > INCREASE_THRESHOLD * self._terms.rate:
                self._accounts.grant(key, share + added)

    def _size_pool(self) -> None:
        """Let the pool gather tokens once all shares are counted."""
        if self.is_open:
            self._accounts.size_pool()


def _note_waiting(account: Account, units: int, now: float) -> None:
    if units or not account.demand:
        account.waiting_since = None
    elif account.waiting_since is None:
        account.waiting_since = now


def _find_room(terms: Terms, total: Share, share: Share, want: Share) -> Share:
    """Return what may be added to `share` now, in whole units of burst."""
    rate = min(want.rate - share.rate, terms.rate - total.rate)
    burst = min(want.burst - share.burst, terms.burst - total.burst)
    units = max(0, int(burst / terms.unit))
    return Share(max(0, rate), units * terms.unit)


def _is_pressed(
    accounts: Accounts, terms: Terms, wanted: Mapping[MemberKey, Share]
) -> bool:
    """Return whether the budget is exceeded or a holder is far below its due."""
    total = accounts.get_total()
    slack = 1 + ROUNDING
    if total.rate > terms.rate * slack or total.burst > terms.burst * slack:
        return True
    return any(
        _is_below(accounts.get(key).confirmed, want) for key, want in wanted.items()
    )


def _is_below(share: Share, want: Share) -> bool:
    due = PRESSED_FRACTION
    return share.rate < want.rate * due or share.burst < want.burst * due


def _exceeds(share: Share, want: Share, threshold: float, unit: float) -> bool:
    """Return whether `share` is to be reduced to `want`.

    Without pressure on the budget one unit of burst more than wanted is no reason, or
    small changes of demand would move units to and fro.
    """
    kept = 1 - threshold
    spare = unit if threshold else 0
    is_rate_over = share.rate * kept > want.rate
    return is_rate_over or share.burst * kept - spare > want.burst
