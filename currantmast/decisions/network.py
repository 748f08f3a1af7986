"""Transfer times between regions."""

import math
from collections.abc import Iterable

from currantmast.deployment import Link

# One-way delay inside a region; the largest among the deployments.
LOCAL_DELAY_S = 0.001

MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class Network:
    """The links between regions.

    Parameters
    ----------
    links : iterable of Link
        Links, one direction each.
    """

    __slots__ = ('_links',)

    def __init__(self, links: Iterable[Link]) -> None:
        self._links = {(link.source, link.destination): link for link in links}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Network links={len(self._links)}>'

    def estimate_round_trip_s(self, source: str, destination: str, size: int) -> float:
        """Return the seconds to send `size` bytes and receive a short answer.

        Infinite when no link leads from one region to the other and back.
        """
        if source == destination:
            return 2 * LOCAL_DELAY_S
        there = self._links.get((source, destination))
        back = self._links.get((destination, source))
        if there is None or back is None:
            return math.inf
        transfer_s = size * BITS_PER_BYTE / (there.capacity_mbit_s * BITS_PER_MBIT)
        return (there.delay_ms + back.delay_ms) / MS_PER_S + transfer_s
