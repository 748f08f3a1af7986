"""Token bucket bounds over recorded histories.

An admission happens inside an instance, at some moment between the sending of the call and its
start on a target. Both ends are recorded on one clock, so each event is the interval from sending
to start. A window that contains whole intervals certainly contains their admissions. So the bound
of the bucket applies without an allowance for the service path.
"""

from collections.abc import Iterable
from itertools import repeat
from typing import NamedTuple

import msgspec


class Span(msgspec.Struct, frozen=True, order=True):
    """Interval in monotonic seconds within which an admission happened."""

    start: float
    end: float


class Bound(msgspec.Struct, frozen=True):
    """Most events that any window may hold: ``burst + rate * (t + resolution_s)``.

    Parameters
    ----------
    rate : float
        Events per second.
    burst : float
        Events at once.
    resolution_s : float
        Resolution of the recorded times, in seconds.
    """

    rate: float
    burst: float
    resolution_s: float = 0


class Excess(msgspec.Struct, frozen=True):
    """A window that holds more events than allowed.

    Parameters
    ----------
    start, end : float
        Window in monotonic seconds.
    allowed : float
        Events that the bound allows in the window.
    """

    start: float
    end: float
    allowed: float


class _Leaf(NamedTuple):
    """Value of a window start and its position."""

    value: float
    index: int


_NOWHERE = _Leaf(float('-inf'), 0)


class _StartTree:
    """Best window start under "add one to every start up to an index".

    A segment tree. The value of a leaf is the number of spans inside the window that begins
    there, plus ``rate * start``. A leaf takes part once its own span has been added, because
    the best window begins with a span that it contains.
    """

    __slots__ = ('_added', '_best', '_size', '_values')

    def __init__(self, values: list[float]) -> None:
        self._values = values
        self._size = 1 << max(0, len(values) - 1).bit_length()
        self._best = list(repeat(_NOWHERE, 2 * self._size))
        self._added = list(repeat(0, 2 * self._size))

    def add_span(self, index: int) -> None:
        """Add the span at `index`: one to its leaf and to every earlier one."""
        node = index + self._size
        self._added[node] += 1
        self._best[node] = _Leaf(self._values[index] + self._added[node], index)
        # The earlier leaves are below the left siblings on the way to the root.
        while node > 1:
            if node % 2:
                self._add(node - 1)
            node //= 2
            self._pull(node)

    def find_best(self) -> _Leaf:
        """Return the leaf with the largest value."""
        return self._best[1]

    def _add(self, node: int) -> None:
        best = self._best[node]
        self._best[node] = _Leaf(best.value + 1, best.index)
        self._added[node] += 1

    def _pull(self, node: int) -> None:
        left, right = self._best[2 * node : 2 * node + 2]
        best = max(left, right)
        self._best[node] = _Leaf(best.value + self._added[node], best.index)


def find_excess(spans: Iterable[Span], bound: Bound) -> Excess | None:
    """Return the window with the largest excess over `bound`, if any exceeds it."""
    ordered = sorted(spans)
    if not ordered:
        return None
    tree = _StartTree([bound.rate * span.start for span in ordered])
    worst = None
    worst_margin: float = 0
    ends = sorted(range(len(ordered)), key=lambda index: ordered[index].end)
    for index in ends:
        tree.add_span(index)
        best = tree.find_best()
        end = ordered[index].end
        margin = best.value - bound.burst - bound.rate * (end + bound.resolution_s)
        if margin > worst_margin:
            worst = _measure(ordered[best.index].start, end, bound)
            worst_margin = margin
    return worst


def find_crowd(spans: Iterable[Span], bound: Bound, length_s: float) -> Excess | None:
    """Return a window of `length_s` seconds that holds more than `bound.burst` spans, if any."""
    ordered = sorted(spans)
    for first, span in enumerate(ordered):
        end = span.start + length_s - bound.resolution_s
        count = sum(later.end <= end for later in ordered[first:])
        if count > bound.burst:
            return Excess(span.start, end, bound.burst)
    return None


def _measure(start: float, end: float, bound: Bound) -> Excess:
    length = end - start + bound.resolution_s
    return Excess(start, end, bound.burst + bound.rate * length)


def count_inside(spans: Iterable[Span], excess: Excess) -> int:
    """Return how many spans lie inside the window of `excess`."""
    return sum(excess.start <= span.start and span.end <= excess.end for span in spans)
