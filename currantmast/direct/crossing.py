"""Price of crossing: which requests of a region run in other regions.

The region's share says how many requests cross (see `spillover`). Those cross that gain
more than a price, in seconds of expected latency. The price rises while more of them cross
than the share allows and falls while fewer do, so that those that gain the most cross.
"""

from currantmast.direct.spillover import DEVIATION_FRACTION, MIN_DEVIATION

# Price in seconds at the largest excess over the share, negated at the largest shortfall.
MAX_PRICE_S = 0.4

# Least limit used for the price; below it one request would change the price too much.
MIN_PRICED_LIMIT = 6.0


class CrossingPrice:
    """Price of crossing for the requests of one service.

    Attributes
    ----------
    balance : float
        Requests sent to other regions in excess of the share; may be negative.
    """

    __slots__ = ('_limit', 'balance')

    def __init__(self) -> None:
        self.balance: float = 0
        self._limit = MIN_DEVIATION

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CrossingPrice {self.price_s:.3f}>'

    @property
    def price_s(self) -> float:
        """Gain in seconds above which a request crosses; negative to attract requests."""
        return MAX_PRICE_S * self.balance / max(self._limit, MIN_PRICED_LIMIT)

    def allow(self, recent_requests: float) -> None:
        """Set how far the balance may go, from the number of recent requests."""
        self._limit = max(MIN_DEVIATION, DEVIATION_FRACTION * recent_requests)
        self.balance = max(-self._limit, min(self._limit, self.balance))

    def may_send(self, share: float, *, remote: bool) -> bool:
        """Return whether a request may go to a side without a deviation that is too large."""
        return abs(self.balance + remote - share) <= self._limit

    def note_sent(self, share: float, *, remote: bool) -> None:
        """Count a request that was sent to a side."""
        balance = self.balance + remote - share
        self.balance = max(-self._limit, min(self._limit, balance))
