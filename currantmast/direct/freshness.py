"""The right to admit keyed requests: a lease on the configuration's freshness."""

import math

import msgspec

from currantmast.clocks import Clock

# Seconds between the check of the lease and the moment at which a target may begin to
# run the request.
LEASE_MARGIN_S = 0.7


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """What a peer says of its newest sound read of the configuration.

    Parameters
    ----------
    version : int
        Version that the peer has in force.
    echoed_run : str
        Incarnation of the receiver that sent the echoed heartbeat.
    echoed_at : float
        Time by the receiver's clock that its newest heartbeat to the peer carried.
    offset_s : float
        Seconds by which the peer's read was sent after that heartbeat arrived there;
        negative when it was sent before.
    """

    version: int
    echoed_run: str
    echoed_at: float
    offset_s: float


class Freshness:
    """Moment up to which the configuration in force is known to have been the newest.

    All times are those of one clock that counts suspension, so that a process that was
    suspended finds its lease expired. A read counts from the moment at which it was
    *sent*, since its answer may describe any moment after that.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_confirmed_at')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at = -math.inf

    def __repr__(self) -> str:
        """Return the age of the newest confirmation."""
        return f'<Freshness age_s={self.age():.3f}>'

    @property
    def confirmed_at(self) -> float:
        """Time in seconds of the newest confirmation."""
        return self._confirmed_at

    def confirm(self, sent_at: float) -> None:
        """Record a sound read that was sent at `sent_at`."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def confirm_by_peer(self, confirmation: Confirmation, own_version: int) -> bool:
        """Record a peer's read; return whether it renewed the lease.

        A peer with a newer version shows that the own one is old, one with an older
        version shows nothing. The heartbeat arrived at the peer no earlier than it was
        sent, so `echoed_at` + `offset_s` is no later than the peer's read.
        """
        if confirmation.version != own_version or not own_version:
            return False
        read_at = confirmation.echoed_at + min(0, confirmation.offset_s)
        renewed = read_at > self._confirmed_at
        self.confirm(min(read_at, self._clock.now()))
        return renewed

    def age(self) -> float:
        """Return the seconds since the newest confirmation; infinite before the first."""
        return self._clock.now() - self._confirmed_at

    def is_valid(self, revoke_s: float) -> bool:
        """Return whether keyed requests may be admitted.

        Parameters
        ----------
        revoke_s : float
            Seconds within which a withdrawn key must stop working.
        """
        return self.age() < revoke_s - LEASE_MARGIN_S
