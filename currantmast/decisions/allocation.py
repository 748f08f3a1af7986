"""Division of a budget between its holders by their demand."""

import math
from collections.abc import Mapping

import msgspec

from currantmast.decisions.last_seen import MemberKey
from currantmast.deployment import Policy, PolicyKind

# Fraction of a budget that its owner keeps while demand leaves it unused, so that the
# next acknowledgement can grant it to a holder with sudden demand.
RESERVE_FRACTION = 0.1
# Demand below this fraction of an equal share counts as none.
IDLE_FRACTION = 0.01
# Weight factor of the demand of holders that have units. They lose a unit only to
# holders with at least twice their demand.
INCUMBENT_WEIGHT = 2
# Smallest burst, in units, of which some are kept in reserve.
RESERVE_MIN_UNITS = 4
# Once a holder without a unit has waited for this time, or for this many refills of a
# unit if that is longer, its weight grows in proportion to its wait. Moving a unit
# takes up to four heartbeats and the time to refill it, so units should stay with a
# holder for several of both.
WAIT_WEIGHT_S = 10
WAIT_WEIGHT_REFILLS = 10


class Share(msgspec.Struct, frozen=True):
    """A part of a budget: a rate in units per second, and a burst in units."""

    rate: float = 0
    burst: float = 0

    def __add__(self, other: 'Share') -> 'Share':
        """Return the sum of both shares."""
        return Share(self.rate + other.rate, self.burst + other.burst)

    def get_minimum(self, other: 'Share') -> 'Share':
        """Return the smaller rate and the smaller burst."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def get_maximum(self, other: 'Share') -> 'Share':
        """Return the larger rate and the larger burst."""
        return Share(max(self.rate, other.rate), max(self.burst, other.burst))


NO_SHARE = Share()


class BudgetLimits(msgspec.Struct, frozen=True):
    """Size of a budget.

    Parameters
    ----------
    rate : float
        Units per second.
    burst : float
        Units at once.
    unit : float
        Smallest useful burst: one request, or one chunk of bytes.
    """

    rate: float
    burst: float
    unit: float = 1

    @property
    def whole(self) -> Share:
        """The whole budget as one share."""
        return Share(self.rate, self.burst)

    @property
    def units(self) -> int:
        """Number of whole units in the burst."""
        return int(self.burst / self.unit)

    @property
    def refill_s(self) -> float:
        """Time in seconds in which the whole rate refills one unit."""
        return self.unit / self.rate if self.rate > 0 else 0


class HolderDemand(msgspec.Struct, frozen=True):
    """Demand of one holder, and what it has of the budget.

    Parameters
    ----------
    demand : float
        Units per second that the holder would use.
    waited_s : float
        Time in seconds for which it has had demand but no unit of burst.
    units : int
        Whole units of burst that it holds.
    """

    demand: float = 0
    waited_s: float = 0
    units: int = 0


HolderDemands = Mapping[MemberKey, HolderDemand]


def choose_shares(
    terms: BudgetLimits, wants: HolderDemands, policy: Policy
) -> dict[MemberKey, Share]:
    """Return the share that each holder should have.

    A burst below one unit can never admit a request, so burst is allocated in whole
    units, and rate only to holders of at least one unit. If there are at least two
    units per holder, each holder gets one, with an equal part of the floor. If there
    are fewer, units go to the holders with demand, one to each before any gets a
    second. The weight of a holder that waits grows, so that units rotate when there
    are fewer units than holders with demand. Idle units return to the owner, which
    grants them again with the tokens that they have gathered.

    Under the ``plain`` policy all shares are equal, whatever the demand; units that
    can't be divided equally go to the first holders in order of their keys.
    """
    if not wants:
        return {}
    if policy.kind is PolicyKind.plain:
        equal = dict.fromkeys(wants, 1.0)
        units = divide_units(terms.units, equal)
        return _combine_shares(terms, units, _divide_rate(terms.rate, equal, units))
    units = _choose_units(terms, wants)
    return _combine_shares(terms, units, _choose_rates(terms, wants, units, policy))


def divide_units(
    count: int, weights: Mapping[MemberKey, float]
) -> dict[MemberKey, int]:
    """Return `count` whole units divided by weight (largest remainder method)."""
    total = sum(weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 0)
    quotas = {key: count * weight / total for key, weight in weights.items()}
    units = {key: int(quota) for key, quota in quotas.items()}
    by_remainder = sorted(quotas, key=lambda key: (units[key] - quotas[key], key))
    for key in by_remainder[: count - sum(units.values())]:
        units[key] += 1
    return units


def _choose_units(terms: BudgetLimits, wants: HolderDemands) -> dict[MemberKey, int]:
    idle_limit = IDLE_FRACTION * terms.rate / len(wants)
    active = {key: want for key, want in wants.items() if want.demand > idle_limit}
    weights = _compute_weights(terms, active)
    first_holders = _choose_first_holders(terms.units, wants, weights)
    if len(first_holders) == len(wants):
        unused_each = _compute_unused_rate(terms, wants) / len(wants)
        weights = {key: unused_each + weights.get(key, 0) for key in wants}
    spare = terms.units - len(first_holders)
    spare -= _choose_reserve(terms.units, spare - len(active))
    further_units = divide_units(max(0, spare), weights)
    return {key: further_units.get(key, 0) + (key in first_holders) for key in wants}


def _choose_first_holders(
    units: int, wants: HolderDemands, weights: Mapping[MemberKey, float]
) -> set[MemberKey]:
    """Return the holders that get a unit before any holder gets a second one.

    These are all holders if there are two units for each, otherwise the holders with
    demand, by weight.
    """
    if units >= 2 * len(wants):
        return set(wants)
    active = sorted(weights, key=lambda key: (-weights[key], key))
    return set(active[:units])


def _compute_weights(
    terms: BudgetLimits, active: HolderDemands
) -> dict[MemberKey, float]:
    wait_s = max(WAIT_WEIGHT_S, WAIT_WEIGHT_REFILLS * terms.refill_s)
    return {key: _compute_weight(want, wait_s) for key, want in active.items()}


def _compute_unused_rate(terms: BudgetLimits, wants: HolderDemands) -> float:
    """Return the rate that the demand leaves unused.

    It is divided equally, in addition to the demand, so that a holder with sudden
    demand has some burst without waiting for the owner.
    """
    demand = sum(want.demand for want in wants.values())
    return max(0, terms.rate - demand)


def _choose_reserve(units: int, unused: int) -> int:
    """Return how many units the pool keeps in reserve.

    Parameters
    ----------
    units : int
        Units of the whole budget.
    unused : int
        Units that are left when each holder with demand has two; may be negative.
    """
    if units < RESERVE_MIN_UNITS:
        return 0
    return max(0, min(unused, math.ceil(units * RESERVE_FRACTION)))


def _compute_weight(want: HolderDemand, wait_s: float) -> float:
    if want.units:
        return want.demand * INCUMBENT_WEIGHT
    return want.demand * max(1, want.waited_s / wait_s)


def _choose_rates(
    terms: BudgetLimits,
    wants: HolderDemands,
    units: Mapping[MemberKey, int],
    policy: Policy,
) -> dict[MemberKey, float]:
    floor = policy.floor_share * terms.rate
    unused = _compute_unused_rate(terms, wants)
    unused_each = unused / len(wants)
    demands = {key: want.demand + unused_each for key, want in wants.items()}
    reserve = min(RESERVE_FRACTION * terms.rate, max(0, unused - floor))
    floors = _divide_rate(floor, dict.fromkeys(wants, 1.0), units)
    rates = _divide_rate(terms.rate - floor - reserve, demands, units)
    return {key: floors[key] + rates[key] for key in wants}


def _divide_rate(
    rate: float, weights: Mapping[MemberKey, float], units: Mapping[MemberKey, int]
) -> dict[MemberKey, float]:
    """Return `rate` divided by weight between the holders that have units."""
    holder_weights = {
        key: weight if units[key] else 0 for key, weight in weights.items()
    }
    total = sum(holder_weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 0)
    return {key: rate * weight / total for key, weight in holder_weights.items()}


def _combine_shares(
    terms: BudgetLimits,
    units: Mapping[MemberKey, int],
    rates: Mapping[MemberKey, float],
) -> dict[MemberKey, Share]:
    return {key: Share(rates[key], units[key] * terms.unit) for key in units}
