"""Link budgets: bytes sent between regions, reserved in chunks."""

from types import TracebackType
from typing import Self

from currantmast.decisions.admission import Shares

# Largest reservation, in bytes. Small, so that a transfer that ends early has reserved
# little, and the burst of an instance with little demand can hold one chunk.
CHUNK_BYTES = 16_384


class LinkReservation:
    """Bytes of one transfer that may be sent over a link.

    A context manager: what was reserved but not sent is given back at its end.

    Parameters
    ----------
    shares : Shares
        Shares of the link budgets that this instance holds.
    source, destination : str
        Regions; a transfer within one region uses no budget.
    """

    __slots__ = ('_budget', '_shares', 'reserved', 'sent')

    def __init__(self, shares: Shares, source: str, destination: str) -> None:
        self._budget = (
            None if source == destination else name_link_budget(source, destination)
        )
        self._shares = shares
        self.reserved = 0
        self.sent = 0

    def __enter__(self) -> Self:
        """Return this reservation."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give back what was not sent."""
        unsent = self.reserved - self.sent
        if self._budget and unsent > 0:
            self._shares.give_back(self._budget, unsent)
        self.reserved = self.sent

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<LinkReservation {self._budget} {self.sent} of {self.reserved} bytes>'

    def reserve(self, wanted: int) -> int:
        """Return how many of `wanted` bytes may be sent now.

        Parameters
        ----------
        wanted : int
            Bytes ready to be sent.

        Returns
        -------
        int
            At most `CHUNK_BYTES`; 0 when the share has too few left. Wait then and
            reserve again, at most until the deadline of the request.
        """
        chunk = min(wanted, CHUNK_BYTES)
        if self._budget and not self._shares.take(self._budget, chunk):
            return 0
        self.reserved += chunk
        return chunk

    def record_sent(self, size: int) -> None:
        """Record that `size` reserved bytes were handed to the connection."""
        self.sent += size


def name_link_budget(source: str, destination: str) -> str:
    """Return the name of the budget of a link, whose units are bytes."""
    return f'link:{source}>{destination}'
