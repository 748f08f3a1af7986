"""Entry instances: the members that look-ups name and that carry the callers' requests.

In a large fleet each team, object and target would have its requests spread over so many
members that nobody sees more than a few of them: shares of a rate fall below one request,
loads of targets are known late, and everybody has to hear everybody. Therefore only the
members with most capacity in each failure domain are entry instances, as few as carry the
load with room to spare. The others are reserves: they serve whoever connects to them, and
take the place of entry instances that fail. In a small fleet every member is an entry
instance.

All members compute the same entry instances from the listed records. They may differ for
as long as it takes to notice a failure.
"""

import math
from collections.abc import Collection, Iterable

from currantmast.clocks import Clock
from currantmast.direct.model import InstanceRecord

# Fraction of a failure domain's capacity that its entry instances have together, and the
# least number of them.
CAPACITY_FRACTION = 0.4
MIN_PER_DOMAIN = 2

# Entry instances of a failure domain that are wanted if they are about equally large.
# Callers choose among them at random, so a small one would get as much as a large one.
WANTED_PER_DOMAIN = 3
MIN_RELATIVE_CAPACITY = 0.5


def select_entries(
    records: Iterable[InstanceRecord], failed: Collection[str] = ()
) -> frozenset[str]:
    """Return the ids of the entry instances of all failure domains.

    Parameters
    ----------
    records : iterable of InstanceRecord
        All members.
    failed : collection of str
        Ids of members that can't be entry instances now.
    """
    by_domain: dict[str, list[InstanceRecord]] = {}
    for record in records:
        by_domain.setdefault(record.location.failure_domain, []).append(record)
    selected: set[str] = set()
    for members in by_domain.values():
        selected.update(_select_in_domain(members, failed))
    return frozenset(selected)


def _select_in_domain(
    members: list[InstanceRecord], failed: Collection[str]
) -> list[str]:
    needed = CAPACITY_FRACTION * sum(member.capacity for member in members)
    usable = [member for member in members if member.id not in failed]
    usable.sort(key=lambda member: (-member.capacity, member.id))
    selected: list[str] = []
    for member in usable:
        is_large = member.capacity >= usable[0].capacity * MIN_RELATIVE_CAPACITY
        wanted = WANTED_PER_DOMAIN if is_large else MIN_PER_DOMAIN
        if needed <= 0 and len(selected) >= wanted:
            break
        selected.append(member.id)
        needed -= member.capacity
    return selected


class EntryInstances:
    """The current entry instances, and since when each is one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_since', 'ids')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[str, float] = {}
        self.ids: frozenset[str] = frozenset()

    def __contains__(self, member_id: str) -> bool:
        """Return whether a member is an entry instance."""
        return member_id in self.ids

    def __len__(self) -> int:
        """Return the number of entry instances."""
        return len(self.ids)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<EntryInstances {len(self)}>'

    def update(
        self, records: Iterable[InstanceRecord], failed: Collection[str] = ()
    ) -> bool:
        """Select the entry instances anew; return whether they changed."""
        ids = select_entries(records, failed)
        if ids == self.ids:
            return False
        now = self._clock.now()
        self._since = {member_id: self._since.get(member_id, now) for member_id in ids}
        self.ids = ids
        return True

    def pick(self, records: Iterable[InstanceRecord]) -> tuple[InstanceRecord, ...]:
        """Return the records of entry instances among `records`."""
        return tuple(record for record in records if record.id in self.ids)

    def since(self, member_id: str) -> float:
        """Return when a member became an entry instance; -inf if it is none."""
        return self._since.get(member_id, -math.inf)
