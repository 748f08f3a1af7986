"""Lease on the configuration, needed to admit requests that require an API key.

Each read that shows the configuration in force to be the newest renews the lease. Without
it an instance might admit a key that has been withdrawn.
"""

import math

import msgspec

from currantmast.clocks import Clock
from currantmast.runtime.logs import log_event

# Longest time from the check of the lease until a target may start to run the request.
LEASE_MARGIN_S = 0.7


# Seconds for which no read of an older version counts after a peer told of a newer one last.
# A store that came back from a copy may not have the newer one yet.
NEWER_VERSION_S = 5.0

# Seconds after the first read of a run within which it has heard its peers.
START_SYNC_S = 2.0


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """A peer's newest successful read of the configuration, as sent in its heartbeats.

    The read is timed relative to the receiver's last heartbeat to the peer, which the
    peer echoes, so the two clocks need not agree.

    Parameters
    ----------
    version : int
        Configuration version in force at the peer.
    echoed_incarnation : str
        Incarnation in the receiver's newest heartbeat to the peer.
    echoed_sent_at : float
        Sending time in that heartbeat, in seconds of the receiver's clock.
    offset_s : float
        Seconds from the arrival of that heartbeat until the peer sent its read; negative
        if the read was sent first.
    """

    version: int
    echoed_incarnation: str
    echoed_sent_at: float
    offset_s: float


class Freshness:
    """Time up to which the configuration in force is known to have been the newest.

    The clock must include suspended time, so that a process that was suspended finds its
    lease expired. A read confirms the time at which it was *sent*, since its answer may
    describe the store at any moment after that.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_clock',
        '_confirmed_at',
        '_first_confirmed_at',
        '_newest_heard_at',
        '_newest_told_at',
        '_peer_answered',
        'newest_version',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at = -math.inf
        self._first_confirmed_at = math.inf
        # Newest configuration version that a peer said it has in force, and when one
        # said so first and last.
        self.newest_version = 0
        self._newest_told_at = -math.inf
        self._newest_heard_at = -math.inf
        # Whether a peer has told this run its version.
        self._peer_answered = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Freshness age_s={self.age():.3f}>'

    @property
    def confirmed_at(self) -> float:
        """Clock time of the newest confirmation in seconds; -inf before the first."""
        return self._confirmed_at

    def confirm(self, sent_at: float) -> None:
        """Record a successful read that was sent at `sent_at`."""
        self._first_confirmed_at = min(self._first_confirmed_at, sent_at)
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def confirm_by_peer(self, confirmation: Confirmation, local_version: int) -> bool:
        """Record a peer's read; return whether it renewed the lease.

        Only a peer with the same version counts. A newer version at the peer means that
        the local one is outdated, and an older one proves nothing. The echoed heartbeat
        arrived at the peer no earlier than it was sent, so `echoed_sent_at` + `offset_s` is
        no later than the peer's read. A positive offset is treated as 0.
        """
        self._peer_answered = True
        self._note_version(confirmation.version, local_version)
        if confirmation.version != local_version or not local_version:
            return False
        read_at = confirmation.echoed_sent_at + min(0, confirmation.offset_s)
        renewed = read_at > self._confirmed_at
        self.confirm(min(read_at, self._clock.now()))
        return renewed

    def age(self) -> float:
        """Return the seconds since the newest confirmation; inf before the first."""
        return self._clock.now() - self._confirmed_at

    def is_behind(self, local_version: int) -> bool:
        """Return whether a peer has told lately of a newer version than the local one."""
        heard_s = self._clock.now() - self._newest_heard_at
        return self.newest_version > local_version and heard_s < NEWER_VERSION_S

    def started_behind(self, local_version: int) -> bool:
        """Return whether this run began with a version older than that of its peers.

        Its first read then came from a store that lacks the newest configuration. Later
        on a read proves that the local version was the newest when it was sent.
        """
        told_at = self._newest_told_at
        return (
            self.is_behind(local_version)
            and told_at < self._first_confirmed_at + START_SYNC_S
        )

    def is_synchronized(self, *, has_peers: bool) -> bool:
        """Return whether a peer, if there is any, could tell of a newer version.

        A run that has just started knows nothing but what it has read, and a store that
        came back from a copy may lack a version that its peers have in force.
        """
        waited_s = self._clock.now() - self._first_confirmed_at
        return self._peer_answered or not has_peers or waited_s >= START_SYNC_S

    def is_valid(self, revoke_s: float) -> bool:
        """Return whether requests that require an API key may be admitted.

        Parameters
        ----------
        revoke_s : float
            Time in seconds within which a withdrawn key must stop working.
        """
        return self.age() < revoke_s - LEASE_MARGIN_S

    def _note_version(self, version: int, local_version: int) -> None:
        if version > max(self.newest_version, local_version):
            log_event(
                'configuration_behind', version=local_version, peer_version=version
            )
        if version > self.newest_version:
            self.newest_version = version
            self._newest_told_at = self._clock.now()
        if version == self.newest_version:
            self._newest_heard_at = self._clock.now()
