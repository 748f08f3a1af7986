"""Least-squares slopes of measured costs against sizes."""

import math
import statistics
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from currantmast.errors import CurrantmastError

MIN_POINTS = 2
CONSTANT_EXPONENT = 0.2
LINEAR_EXPONENT = 0.8
WORSE_EXPONENT = 1.2


class TooFewSizes(CurrantmastError):
    """A slope needs at least two different sizes."""


class Shape(StrEnum):
    """How a cost grows with the size, by the exponent of a power law."""

    unknown = 'unknown'
    constant = 'constant'
    below = 'below linear'
    linear = 'linear'
    worse = 'worse than linear'


class Fit(msgspec.Struct, frozen=True):
    """A straight line through measured points.

    Parameters
    ----------
    slope : float
        Units of the cost for one unit of size.
    intercept : float
        Cost at size 0.
    residual : float
        Root of the mean squared distance of the points from the line, in units of
        the cost.
    exponent : float
        Exponent of the power law through the points of the two largest sizes; not a
        number if one is not positive.
    """

    slope: float
    intercept: float
    residual: float
    exponent: float

    @property
    def shape(self) -> Shape:
        """How the cost grows."""
        if math.isnan(self.exponent):
            return Shape.unknown
        if abs(self.exponent) < CONSTANT_EXPONENT:
            return Shape.constant
        if self.exponent < LINEAR_EXPONENT:
            return Shape.below
        return Shape.linear if self.exponent <= WORSE_EXPONENT else Shape.worse

    def predict(self, size: float) -> float:
        """Return the cost at `size` on the line."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Return the least-squares line of `costs` against `sizes`.

    Parameters
    ----------
    sizes, costs : sequence of float
        Points, of equal length.

    Raises
    ------
    TooFewSizes
        If fewer than two different sizes are given.
    """
    if len(set(sizes)) < MIN_POINTS:
        raise TooFewSizes(f'{len(set(sizes))} sizes; at least {MIN_POINTS} are needed')
    slope, intercept = statistics.linear_regression(sizes, costs)
    squares = [
        (cost - intercept - slope * size) ** 2
        for size, cost in zip(sizes, costs, strict=True)
    ]
    residual = math.sqrt(sum(squares) / len(squares))
    return Fit(slope, intercept, residual, _find_exponent(sizes, costs))


def _find_exponent(sizes: Sequence[float], costs: Sequence[float]) -> float:
    """Return the exponent between the two largest sizes.

    Small sizes show fixed costs in the first place, which hide the growth.
    """
    points = sorted(zip(sizes, costs, strict=True))
    (size, cost), (largest, largest_cost) = points[-MIN_POINTS:]
    if min(size, cost, largest_cost) <= 0 or size == largest:
        return math.nan
    return math.log(largest_cost / cost) / math.log(largest / size)
