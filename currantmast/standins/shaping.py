"""Delay, bandwidth, jitter and loss of proxied links."""

from collections.abc import Callable
from random import Random

import msgspec

from currantmast.clocks import Clock
from currantmast.messages import Address

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
MS_PER_S = 1000


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of a link that can be changed while it runs.

    Parameters
    ----------
    delay_ms, jitter_ms : float
        One-way delay, and the largest random addition to it, in milliseconds.
    bandwidth_mbit_s : float
        Bandwidth of each direction in Mbit/s; 0 is unlimited. Links of one channel
        share it.
    loss : float
        Fraction of chunks that are lost; a loss stalls the connection for `stall_ms`,
        like a retransmission of TCP.
    stall_ms : float
        Length of a stall in milliseconds.
    cut : bool
        Connections are refused, and the open ones were reset.
    lose_forward, lose_backward : bool
        Bytes in this direction vanish; the connections stay open.
    """

    delay_ms: float = 0
    jitter_ms: float = 0
    bandwidth_mbit_s: float = 0
    loss: float = 0
    stall_ms: float = 200
    cut: bool = False
    lose_forward: bool = False
    lose_backward: bool = False


class LinkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one link.

    Parameters
    ----------
    name : str
        Name on the control paths.
    listen, upstream : Address
        Where callers connect, and where their bytes go.
    channel : str
        Links of one channel share its bandwidth; the link's own name by default.
    faults : LinkFaults
        State at the start.
    """

    name: str
    upstream: Address
    listen: Address = Address('127.0.0.1', 0)
    channel: str = ''
    faults: LinkFaults = LinkFaults()


class Channel:
    """Bandwidth of one direction that links share.

    Parameters
    ----------
    clock : Clock
        Time of transmissions.
    """

    __slots__ = ('_clock', '_free_at')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at = clock.now()

    def __repr__(self) -> str:
        """Return the seconds by which transmission is planned ahead."""
        return f'<Channel backlog_s={self.get_backlog_s():.3f}>'

    def get_backlog_s(self) -> float:
        """Return the seconds until all that was sent has left."""
        return self._free_at - self._clock.now()

    def send(self, size: int, mbit_s: float) -> float:
        """Return the monotonic time at which `size` bytes sent now have left."""
        now = self._clock.now()
        if mbit_s <= 0:
            return now
        duration_s = size * BITS_PER_BYTE / (mbit_s * BITS_PER_MBIT)
        self._free_at = max(now, self._free_at) + duration_s
        return self._free_at


class Shaper:
    """One direction of a link: decides when a chunk arrives.

    Parameters
    ----------
    channel : Channel
        Bandwidth of the direction.
    rng : Random
        Source of jitter and loss.
    get_faults : callable
        Returns the state of the link.
    """

    __slots__ = ('_channel', '_get_faults', '_rng')

    def __init__(
        self, channel: Channel, rng: Random, get_faults: Callable[[], LinkFaults]
    ) -> None:
        self._channel = channel
        self._rng = rng
        self._get_faults = get_faults

    def __repr__(self) -> str:
        """Return the channel."""
        return f'<Shaper {self._channel!r}>'

    def get_backlog_s(self) -> float:
        """Return the seconds by which transmission is planned ahead."""
        return self._channel.get_backlog_s()

    def schedule(self, size: int) -> float:
        """Return the monotonic time at which `size` bytes sent now arrive."""
        faults = self._get_faults()
        sent_at = self._channel.send(size, faults.bandwidth_mbit_s)
        extra_ms = faults.jitter_ms * self._rng.random()
        if self._rng.random() < faults.loss:
            extra_ms += faults.stall_ms
        return sent_at + (faults.delay_ms + extra_ms) / MS_PER_S
