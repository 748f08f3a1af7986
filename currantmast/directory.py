"""Look-up answers: which instances a caller should use, in order."""

from collections import defaultdict

import msgspec
import xxhash

from currantmast.inventory import Inventory, Route
from currantmast.messages import FleetRecord, Member

# Callers are spread over this many orders; each order is computed once.
BUCKETS = 1024
# Instances that an answer names of one region, and regions that it names.
REGION_ENTRIES = 4
ANSWER_REGIONS = 3


class LookupEntry(msgspec.Struct, frozen=True):
    """An instance in a look-up answer.

    Parameters
    ----------
    id : str
        Name of the instance.
    address : str
        ``ip:port`` for callers.
    """

    id: str
    address: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Instances to use, best first.

    Parameters
    ----------
    instances : tuple of LookupEntry
        Empty only when the fleet has no member.
    lifetime_s : float
        Seconds for which the caller may keep the answer.
    """

    instances: tuple[LookupEntry, ...]
    lifetime_s: float


class Directory:
    """Answers look-ups under one fleet record and one deployment.

    Members that leave are not named. Drained instances, and those of drained regions,
    are named only when there is no other.

    Parameters
    ----------
    record : FleetRecord
        The members.
    inventory : Inventory
        Links, drains and lifetime.
    """

    __slots__ = ('_inventory', '_regions', '_drained', '_answers')

    def __init__(self, record: FleetRecord, inventory: Inventory) -> None:
        self._inventory = inventory
        self._answers: dict[tuple[str, int], LookupAnswer] = {}
        self._regions: dict[str, list[Member]] = defaultdict(list)
        self._drained: list[Member] = []
        for member in record.members:
            if not member.leaving:
                self._add(member)

    def find(self, caller: str, home: str) -> LookupAnswer:
        """Return the instances that a caller should use.

        Parameters
        ----------
        caller : str
            Address of the caller. The same caller gets the same order while the
            record and the deployment stay, and callers are spread evenly.
        home : str
            Home region of the caller.
        """
        bucket = xxhash.xxh3_64_intdigest(caller.encode()) % BUCKETS
        answer = self._answers.get((home, bucket))
        if answer is None:
            answer = self._make_answer(home, bucket)
            self._answers[(home, bucket)] = answer
        return answer

    def __repr__(self) -> str:
        """Return the number of regions and of answers computed."""
        return f'<Directory regions={len(self._regions)} answers={len(self._answers)}>'

    def _add(self, member: Member) -> None:
        inventory = self._inventory
        in_region = inventory.is_drained('region', member.region)
        if in_region or inventory.is_drained('instance', member.id):
            self._drained.append(member)
        else:
            self._regions[member.region].append(member)

    def _make_answer(self, home: str, bucket: int) -> LookupAnswer:
        members = [
            member
            for region in self._order_regions(home)[:ANSWER_REGIONS]
            for member in order_members(self._regions[region], bucket)[:REGION_ENTRIES]
        ]
        chosen = members or order_members(self._drained, bucket)[:REGION_ENTRIES]
        return LookupAnswer(
            tuple(LookupEntry(member.id, str(member.public)) for member in chosen),
            self._inventory.deployment.base.timing.lookup_lifetime_s,
        )

    def _order_regions(self, home: str) -> list[str]:
        return sorted(
            self._regions,
            key=lambda region: (self._get_delay(home, region), region),
        )

    def _get_delay(self, home: str, region: str) -> float:
        link = self._inventory.links.get(Route(home, region))
        if link is None:
            # A region without a link is last; home needs none and is first.
            return -1 if region == home else float('inf')
        return link.delay_ms


def order_members(members: list[Member], bucket: int) -> list[Member]:
    """Return `members` in rendezvous order for the callers of `bucket`.

    The second one is of another failure domain than the first where there is one, so
    that a caller whose first choice fails with its domain needs one more attempt only.
    """
    ordered = sorted(members, key=lambda one: _weigh(one, bucket), reverse=True)
    for index, member in enumerate(ordered):
        if member.failure_domain != ordered[0].failure_domain:
            ordered.insert(1, ordered.pop(index))
            break
    return ordered


def _weigh(member: Member, bucket: int) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{member.id}\0{bucket}'.encode()), member.id
