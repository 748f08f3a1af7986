"""Which former members can certainly no longer hold a valid lease."""

from currantmast.clocks import Clock
from currantmast.decisions.last_seen import LastSeenTable, MemberKey, get_key
from currantmast.decisions.leases import count_majority
from currantmast.messages import Departure, FleetRecord

# Clock rates of two hosts differ by less than 5%; the margin covers rounding.
LEASE_DRIFT_FACTOR = 1.05
LEASE_MARGIN_S = 0.25
# Expired incarnations remembered for those that ask late.
EXPIRED_LIMIT = 1024


def is_below_majority(witnesses: tuple[str, ...], unconfirmed_count: int) -> bool:
    """Return whether `unconfirmed_count` of `witnesses` are too few to renew a lease."""
    return unconfirmed_count < count_majority(len(witnesses))


def is_renewal_blocked(
    record: FleetRecord, departure: Departure, last_seen: LastSeenTable
) -> bool:
    """Return whether a departed member can't renew its lease any more.

    That is so when a blocking set of the witnesses of each epoch that it may be in has
    confirmed a later epoch. An id that was joined again is for the caller to check.
    """
    reported = last_seen.get(get_key(departure.member)).epoch
    for past in record.past_witnesses:
        if past.last_epoch < reported:
            continue
        last_epoch = min(past.last_epoch, departure.epoch - 1)
        unconfirmed_count = sum(
            last_seen.get_confirmed_epoch(witness) <= last_epoch
            for witness in past.witnesses
        )
        if not is_below_majority(past.witnesses, unconfirmed_count):
            return False
        if past.last_epoch >= departure.epoch - 1:
            break
    return True


class LeaseExpiry:
    """Time since which each departed member can't renew its lease.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    lease_s : float
        Time that a renewal lasts, in seconds.
    """

    __slots__ = ('_blocked_at', '_clock', '_expired', '_ids', '_record', '_wait_s')

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._wait_s = lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
        self._record = FleetRecord(0)
        self._ids: frozenset[str] = frozenset()
        self._blocked_at: dict[MemberKey, float] = {}
        self._expired: dict[MemberKey, None] = {}

    def adopt_record(self, record: FleetRecord) -> None:
        """Take over the departures of `record`.

        A member or departed member that it no longer mentions was found expired by
        the one who wrote it.
        """
        mentioned = {get_key(member) for member in record.members}
        departed = {get_key(entry.member) for entry in record.departures}
        before = {get_key(member) for member in self._record.members}
        before.update(get_key(entry.member) for entry in self._record.departures)
        self._expired.update(dict.fromkeys(before - mentioned - departed))
        newest = list(self._expired)[-EXPIRED_LIMIT:]
        self._expired = dict.fromkeys(newest)
        self._blocked_at = {
            blocked: at
            for blocked, at in self._blocked_at.items()
            if blocked in departed
        }
        self._record = record
        self._ids = frozenset(member.id for member in record.members)

    def update(self, last_seen: LastSeenTable) -> None:
        """Start the wait of each departed member that is blocked by now."""
        now = self._clock.now()
        for departure in self._record.departures:
            key = get_key(departure.member)
            if key in self._blocked_at:
                continue
            rejoined = key.id in self._ids
            if rejoined or is_renewal_blocked(self._record, departure, last_seen):
                self._blocked_at[key] = now

    def has_expired(self, key: MemberKey) -> bool:
        """Return whether the lease of `key` has certainly ended."""
        if key in self._expired:
            return True
        blocked_at = self._blocked_at.get(key)
        return blocked_at is not None and (
            self._clock.now() > blocked_at + self._wait_s
        )
