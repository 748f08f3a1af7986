"""Expiry of the leases of former members."""

from currantmast.clocks import Clock
from currantmast.decisions.last_seen import LastSeenTable, MemberKey, get_key
from currantmast.decisions.leases import count_majority
from currantmast.messages import Departure, FleetRecord

# The factor covers clock rates of two hosts that differ by up to 5%, the margin
# rounding.
LEASE_DRIFT_FACTOR = 1.05
LEASE_MARGIN_S = 0.25
# Number of expired incarnations, the newest ones, that are kept for late queries.
EXPIRED_LIMIT = 1024


def is_below_majority(witnesses: tuple[str, ...], unconfirmed_count: int) -> bool:
    """Return whether `unconfirmed_count` of `witnesses` are too few to renew a lease."""
    return unconfirmed_count < count_majority(len(witnesses))


def is_renewal_blocked(
    record: FleetRecord, departure: Departure, last_seen: LastSeenTable
) -> bool:
    """Return whether a departed member can no longer renew its lease.

    That is so when a blocking set of the witnesses of each epoch that it may be in has
    confirmed a later epoch; `MembershipTracker` defines blocking sets. An id that has
    joined again is not considered here; see `LeaseExpiry.update`.
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
    """Tracks since when departed members can't renew, and whether their leases ended.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    lease_s : float
        Time that a renewal lasts, in seconds.
    """

    __slots__ = (
        '_blocked_at',
        '_clock',
        '_expired',
        '_member_ids',
        '_record',
        '_wait_s',
    )

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._wait_s = lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
        self._record = FleetRecord(0)
        self._member_ids: frozenset[str] = frozenset()
        self._blocked_at: dict[MemberKey, float] = {}
        self._expired: dict[MemberKey, None] = {}

    def adopt_record(self, record: FleetRecord) -> None:
        """Track the departures of `record`.

        A member or departed member that it no longer lists was found expired by the
        member that wrote it.
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
        self._member_ids = frozenset(member.id for member in record.members)

    def update(self, last_seen: LastSeenTable) -> None:
        """Start the expiry wait of each departed member that can no longer renew.

        The platform reuses an id only after it has ended the old instance. So the wait
        of a departed incarnation starts at the latest when its id has joined again.
        """
        now = self._clock.now()
        for departure in self._record.departures:
            key = get_key(departure.member)
            if key in self._blocked_at:
                continue
            has_rejoined = key.id in self._member_ids
            if has_rejoined or is_renewal_blocked(self._record, departure, last_seen):
                self._blocked_at[key] = now

    def has_expired(self, key: MemberKey) -> bool:
        """Return whether the lease of `key` has certainly ended."""
        if key in self._expired:
            return True
        blocked_at = self._blocked_at.get(key)
        return blocked_at is not None and (
            self._clock.now() > blocked_at + self._wait_s
        )
