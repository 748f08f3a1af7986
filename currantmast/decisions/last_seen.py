"""Epoch, version and time last heard from each incarnation of each instance."""

import msgspec

from currantmast.clocks import Clock
from currantmast.messages import FleetRecord, Member

NEVER = float('-inf')


class MemberKey(msgspec.Struct, frozen=True, order=True):
    """Identity of one incarnation of an instance."""

    id: str
    incarnation: str


def get_key(member: Member) -> MemberKey:
    """Return the identity of `member`."""
    return MemberKey(member.id, member.incarnation)


class LastSeen(msgspec.Struct):
    """What was last heard from one incarnation; times in monotonic seconds."""

    epoch: int = -1
    version: int = -1
    heard_at: float = NEVER


NEVER_SEEN = LastSeen()


class LastSeenTable:
    """What was last heard from each incarnation, by its key.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_clock', '_confirmed', '_entries')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[MemberKey, LastSeen] = {}
        # Newest epoch by id. An index, since it is looked up very often when a whole
        # failure domain is lost.
        self._confirmed: dict[str, int] = {}

    def update(self, key: MemberKey, epoch: int, version: int = -1) -> bool:
        """Record that `key` was heard now; return whether its epoch advanced."""
        seen = self._entries.setdefault(key, LastSeen())
        has_advanced = epoch > seen.epoch
        seen.heard_at = self._clock.now()
        seen.epoch = max(seen.epoch, epoch)
        self._confirmed[key.id] = max(self.get_confirmed_epoch(key.id), epoch)
        seen.version = max(seen.version, version)
        return has_advanced

    def get(self, key: MemberKey) -> LastSeen:
        """Return what was last heard from `key`, with an epoch of -1 if nothing."""
        return self._entries.get(key, NEVER_SEEN)

    def get_confirmed_epoch(self, member_id: str) -> int:
        """Return the newest epoch heard from any incarnation of an id, or -1.

        A confirmation by a later incarnation counts for the earlier ones too, because
        the platform reuses an id only after it has ended the old instance.
        """
        return self._confirmed.get(member_id, -1)

    def prune(self, record: FleetRecord) -> None:
        """Drop the incarnations that are no longer needed under `record`.

        Members, departed members, past witnesses and incarnations that have reported
        an epoch at least as new as that of `record` are kept.
        """
        kept = {get_key(member) for member in record.members}
        kept.update(get_key(entry.member) for entry in record.departures)
        witnesses = {
            witness for past in record.past_witnesses for witness in past.witnesses
        }
        self._entries = {
            key: seen
            for key, seen in self._entries.items()
            if key in kept or key.id in witnesses or seen.epoch >= record.epoch
        }
        ids = {key.id for key in self._entries}
        self._confirmed = {
            member_id: epoch
            for member_id, epoch in self._confirmed.items()
            if member_id in ids
        }
