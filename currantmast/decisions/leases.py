"""Member leases, renewed by witnesses or by reads of the store."""

import msgspec

from currantmast.clocks import Clock
from currantmast.messages import FleetRecord

NEVER = float('-inf')
# Version while no configuration is in force.
NO_VERSION = -1


def lists_incarnation(
    record: FleetRecord | None, member_id: str, incarnation: str
) -> bool:
    """Return whether `record` lists `member_id` under `incarnation`."""
    if record is None:
        return False
    return any(
        member.id == member_id and member.incarnation == incarnation
        for member in record.members
    )


def count_majority(witnesses: int) -> int:
    """Return how many of `witnesses` witnesses must acknowledge a renewal.

    At least two: a sole witness that was cut off and removed would renew its own
    lease forever without learning of its removal. It has to read the store instead.
    """
    return max(2, witnesses // 2 + 1)


class LeaseHolder(msgspec.Struct, frozen=True):
    """The member that a lease belongs to, and the record it has adopted."""

    record: FleetRecord
    member_id: str
    incarnation: str

    @property
    def is_listed(self) -> bool:
        """Whether the record lists this incarnation."""
        return lists_incarnation(self.record, self.member_id, self.incarnation)


class VersionLag:
    """Tracks since when newer configuration versions than the one held are known.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_clock', '_held', '_known_at')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held = NO_VERSION
        self._known_at: dict[int, float] = {}

    @property
    def behind_since(self) -> float | None:
        """Time at which the oldest missing version became known, None if up to date."""
        return min(self._known_at.values(), default=None)

    def observe(self, known: int) -> None:
        """Record that version `known` exists."""
        if known > max(self._known_at, default=self._held):
            self._known_at[known] = self._clock.now()

    def adopt(self, version: int) -> None:
        """Record that `version` is in force; a lower one than before is ignored."""
        self._held = max(self._held, version)
        self._known_at = {
            known: at for known, at in self._known_at.items() if known > self._held
        }

    def __repr__(self) -> str:
        """Return the newest known version and the version held."""
        known = max(self._known_at, default=self._held)
        return f'version {known} known, {self._held} held'


class Lease:
    """The lease under which a member admits keyed requests and acts as an owner.

    The lease is valid for `lease_s` after the send time of the newest heartbeat
    that a majority of the witnesses of the adopted epoch acknowledged, or of the
    newest store read that still lists this incarnation. Only the local clock is used.

    A renewal stays valid when the member adopts a later record that still lists it:
    it was made before a blocking set of the earlier witnesses confirmed a later
    epoch, and `membership.MembershipTracker` counts the expiry time from that
    confirmation.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    lease_s : float
        Time that a renewal lasts, in seconds.
    """

    __slots__ = ('_acks', '_clock', '_holder', '_lease_s', '_renewed_at', '_versions')

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._holder: LeaseHolder | None = None
        self._acks: dict[str, float] = {}
        self._renewed_at = NEVER
        self._versions = VersionLag(clock)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Lease {self.explain()}>'

    def adopt_record(self, record: FleetRecord, self_id: str, incarnation: str) -> None:
        """Count acknowledgements under `record` from now on.

        Ignored unless the epoch of `record` is newer than the adopted one. A new
        incarnation adopts any record, and starts without a renewal.
        """
        holder = LeaseHolder(record, self_id, incarnation)
        previous = self._holder
        if previous is not None and previous.incarnation != incarnation:
            self._renewed_at = NEVER
        elif previous is not None and record.epoch <= previous.record.epoch:
            return
        elif previous is not None:
            self._renewed_at = self._find_renewal()
        self._acks = {}
        self._holder = holder

    def observe_ack(
        self,
        witness_id: str,
        epoch: int,
        echoed_sent_at: float,
        incarnation: str | None = None,
    ) -> None:
        """Count an acknowledgement that renews the lease.

        Parameters
        ----------
        witness_id : str
            Sender of the acknowledgement.
        epoch : int
            Epoch that the sender has adopted.
        echoed_sent_at : float
            Send time of the acknowledged heartbeat, in seconds of the local
            monotonic clock.
        incarnation : str, optional
            Incarnation of the sender; checked against the record when given.
        """
        holder = self._holder
        if holder is None or epoch != holder.record.epoch:
            return
        if witness_id not in holder.record.witnesses:
            return
        if incarnation is not None and not lists_incarnation(
            holder.record, witness_id, incarnation
        ):
            return
        if echoed_sent_at <= self._clock.now():
            newest = self._acks.get(witness_id, NEVER)
            self._acks[witness_id] = max(newest, echoed_sent_at)

    def observe_store_read(self, sent_at: float) -> None:
        """Renew the lease by a store read whose record has been adopted.

        Parameters
        ----------
        sent_at : float
            Monotonic time in seconds at which the read was sent.
        """
        holder = self._holder
        if holder is None or not holder.is_listed:
            return
        if sent_at <= self._clock.now():
            self._renewed_at = max(self._renewed_at, sent_at)

    def observe_version(self, known: int) -> None:
        """Record that configuration version `known` exists."""
        self._versions.observe(known)

    def set_version(self, held: int) -> None:
        """Record that configuration version `held` is in force here."""
        self._versions.adopt(held)

    def expires_at(self) -> float:
        """Return the monotonic time in seconds at which the lease ends.

        Minus infinity if the lease was never renewed or the adopted record does not
        list this incarnation. A configuration version that is known but not in
        force counts against the lease: it ends at most `lease_s` after the version
        became known.
        """
        holder = self._holder
        if holder is None or not holder.is_listed:
            return NEVER
        start = self._find_renewal()
        if self._versions.behind_since is not None:
            start = min(start, self._versions.behind_since)
        return start + self._lease_s

    def is_valid(self) -> bool:
        """Return whether keyed requests may be admitted now."""
        return self._clock.now() < self.expires_at()

    def explain(self) -> str:
        """Return why the lease is valid or not, for logs and the status page."""
        now = self._clock.now()
        if self._holder is None:
            return 'no fleet record adopted'
        if not self._holder.is_listed:
            return f'not listed in epoch {self._holder.record.epoch}'
        if self.is_valid():
            return f'valid for {self.expires_at() - now:.3f} s'
        renewal = self._find_renewal()
        if renewal == NEVER:
            return 'never renewed'
        if renewal + self._lease_s <= now:
            return f'last renewed {now - renewal:.3f} s ago'
        return str(self._versions)

    def _find_renewal(self) -> float:
        holder = self._holder
        if holder is None:
            return NEVER
        acknowledged_at = dict(self._acks)
        if holder.member_id in holder.record.witnesses:
            acknowledged_at[holder.member_id] = self._clock.now()
        majority = count_majority(len(holder.record.witnesses))
        if len(acknowledged_at) < majority:
            return self._renewed_at
        newest_first = sorted(acknowledged_at.values(), reverse=True)
        return max(self._renewed_at, newest_first[majority - 1])
