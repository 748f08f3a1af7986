"""How a budget should be divided between its holders."""

import math
from collections.abc import Mapping

import msgspec

from currantmast.decisions.sightings import MemberKey
from currantmast.deployment import Policy, PolicyKind

# Part of a budget that stays with its owner while demand leaves it over, so that
# sudden demand is met with the next acknowledgement.
RESERVE_FRACTION = 0.1
# Demand below this part of an equal share counts as none.
IDLE_FRACTION = 0.01
# A holder of units keeps them against others of less than twice its demand.
INCUMBENT_WEIGHT = 2
# Units in a burst from which on one is kept in reserve.
RESERVE_MIN_UNITS = 4
# A holder without a unit that has waited this long weighs twice as much as before
# when it has waited twice as long. Moving a unit takes up to four heartbeats and its
# refill, so that units should stay for several of both.
WAIT_WEIGHT_S = 10
WAIT_WEIGHT_REFILLS = 10


class Share(msgspec.Struct, frozen=True):
    """A part of a budget: units per second, and units at once."""

    rate: float = 0
    burst: float = 0

    def __add__(self, other: 'Share') -> 'Share':
        """Return both parts together."""
        return Share(self.rate + other.rate, self.burst + other.burst)

    def limit(self, other: 'Share') -> 'Share':
        """Return the smaller rate and the smaller burst."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def cover(self, other: 'Share') -> 'Share':
        """Return the larger rate and the larger burst."""
        return Share(max(self.rate, other.rate), max(self.burst, other.burst))


NO_SHARE = Share()


class Terms(msgspec.Struct, frozen=True):
    """A budget to divide.

    Parameters
    ----------
    rate : float
        Units per second.
    burst : float
        Units at once.
    unit : float
        Smallest burst that is of use: one request, or one chunk of bytes.
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
        """Whole units in the burst."""
        return int(self.burst / self.unit)

    @property
    def refill_s(self) -> float:
        """Time in seconds that the whole rate needs for one unit."""
        return self.unit / self.rate if self.rate > 0 else 0


class Want(msgspec.Struct, frozen=True):
    """What is known of a holder's need.

    Parameters
    ----------
    demand : float
        Units per second that it would use.
    waited_s : float
        Time in seconds that it has had demand but no unit.
    units : int
        Units of burst that it holds.
    """

    demand: float = 0
    waited_s: float = 0
    units: int = 0


Wants = Mapping[MemberKey, Want]


def choose_shares(terms: Terms, wants: Wants, policy: Policy) -> dict[MemberKey, Share]:
    """Return the share that each holder should have.

    A burst below one unit can never admit a request, so burst is allotted in whole
    units, and rate only where there is at least one unit. With at least two units
    for each holder, each has one, with an equal part of the floor. With fewer, units
    go where the demand is, one to each user before a second to any; demand that waits
    gains weight, so that units go round when there are more users than units. Idle units return to the owner, which
    hands them out again with the tokens that they have gathered.

    Under the ``plain`` policy all shares are equal, whatever the demand; units that
    can't be divided go to the first holders in order.
    """
    if not wants:
        return {}
    if policy.kind is PolicyKind.plain:
        equal = dict.fromkeys(wants, 1.0)
        units = divide_units(terms.units, equal)
        return _combine(terms, units, _divide_rate(terms.rate, equal, units))
    units = _choose_units(terms, wants)
    return _combine(terms, units, _choose_rates(terms, wants, units, policy))


def divide_units(
    count: int, weights: Mapping[MemberKey, float]
) -> dict[MemberKey, int]:
    """Return `count` whole units divided by weight, by the largest remainder."""
    total = sum(weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 0)
    quotas = {key: count * weight / total for key, weight in weights.items()}
    units = {key: int(quota) for key, quota in quotas.items()}
    by_remainder = sorted(quotas, key=lambda key: (units[key] - quotas[key], key))
    for key in by_remainder[: count - sum(units.values())]:
        units[key] += 1
    return units


def _choose_units(terms: Terms, wants: Wants) -> dict[MemberKey, int]:
    idle_limit = IDLE_FRACTION * terms.rate / len(wants)
    users = {key: want for key, want in wants.items() if want.demand > idle_limit}
    weights = _weigh_users(terms, users)
    first = _choose_first(terms.units, wants, weights)
    if len(first) == len(wants):
        spread = _count_unused(terms, wants) / len(wants)
        weights = {key: spread + weights.get(key, 0) for key in wants}
    spare = terms.units - len(first)
    spare -= _choose_reserve(terms.units, spare - len(users))
    more = divide_units(max(0, spare), weights)
    return {key: more.get(key, 0) + (key in first) for key in wants}


def _choose_first(
    units: int, wants: Wants, weights: Mapping[MemberKey, float]
) -> set[MemberKey]:
    """Return who gets a unit before anyone gets a second: all, or the users."""
    if units >= 2 * len(wants):
        return set(wants)
    users = sorted(weights, key=lambda key: (-weights[key], key))
    return set(users[:units])


def _weigh_users(terms: Terms, users: Wants) -> dict[MemberKey, float]:
    wait_s = max(WAIT_WEIGHT_S, WAIT_WEIGHT_REFILLS * terms.refill_s)
    return {key: _weigh(want, wait_s) for key, want in users.items()}


def _count_unused(terms: Terms, wants: Wants) -> float:
    """Return the rate that the demand leaves unused.

    It is divided equally, besides the demand, so that sudden demand anywhere finds a
    burst without waiting for the owner.
    """
    demand = sum(want.demand for want in wants.values())
    return max(0, terms.rate - demand)


def _choose_reserve(units: int, unused: int) -> int:
    """Return the units kept in the pool: none while users are short of them."""
    if units < RESERVE_MIN_UNITS:
        return 0
    return max(0, min(unused, math.ceil(units * RESERVE_FRACTION)))


def _weigh(want: Want, wait_s: float) -> float:
    if want.units:
        return want.demand * INCUMBENT_WEIGHT
    return want.demand * max(1, want.waited_s / wait_s)


def _choose_rates(
    terms: Terms, wants: Wants, units: Mapping[MemberKey, int], policy: Policy
) -> dict[MemberKey, float]:
    floor = policy.floor_share * terms.rate
    unused = _count_unused(terms, wants)
    spread = unused / len(wants)
    demands = {key: want.demand + spread for key, want in wants.items()}
    reserve = min(RESERVE_FRACTION * terms.rate, max(0, unused - floor))
    floors = _divide_rate(floor, dict.fromkeys(wants, 1.0), units)
    rates = _divide_rate(terms.rate - floor - reserve, demands, units)
    return {key: floors[key] + rates[key] for key in wants}


def _divide_rate(
    rate: float, weights: Mapping[MemberKey, float], units: Mapping[MemberKey, int]
) -> dict[MemberKey, float]:
    """Return `rate` divided by weight over the holders of units."""
    useful = {key: weight if units[key] else 0 for key, weight in weights.items()}
    total = sum(useful.values())
    if total <= 0:
        return dict.fromkeys(weights, 0)
    return {key: rate * weight / total for key, weight in useful.items()}


def _combine(
    terms: Terms, units: Mapping[MemberKey, int], rates: Mapping[MemberKey, float]
) -> dict[MemberKey, Share]:
    return {key: Share(rates[key], units[key] * terms.unit) for key in units}
