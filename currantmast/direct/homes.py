"""Object affinity: the targets that cache an object for the callers of a region."""

from collections.abc import Iterable
from functools import lru_cache, partial
from itertools import chain

import msgspec
import xxhash

from currantmast.direct.targets import WARM_OBJECTS, Target

# Chance that a secondary target of an object caches it, from earlier overflow.
SECONDARY_CACHED_CHANCE = 0.5

# Fraction of the targets' caches that is planned for objects of their own region, so that
# a few other objects evict none of them.
CACHE_FRACTION = 0.85

# Copies of all objects that the targets of a region must be able to cache before it gets
# the overflow of another region, and before each object gets a second target in it.
COPIES_FOR_OVERFLOW = 2
COPIES_FOR_SECOND = 4

# Number of different ranks of objects.
RANK_STEPS = 1024


class Homes(msgspec.Struct, frozen=True):
    """The targets that cache an object for the callers of one region.

    They are selected by rendezvous hashing. All instances of the region compute the same
    targets, and when a target is added or removed, only its own objects move.

    Parameters
    ----------
    first : frozenset of str
        Id of the target that is to cache the object.
    second : frozenset of str
        Ids of targets for the requests that exceed the capacity of the first.
    """

    first: frozenset[str] = frozenset()
    second: frozenset[str] = frozenset()

    def get_chance(self, target: Target) -> float:
        """Return the chance from 0 to 1 that `target` caches the object."""
        if target.record.id in self.first:
            return 1
        return SECONDARY_CACHED_CHANCE if target.record.id in self.second else 0


def rank_thing(thing: str, region: str) -> float:
    """Return the rank of an object from 0 to 1; the highest leave `region` first."""
    return _score(thing, region) % RANK_STEPS / RANK_STEPS


def find_homes(
    thing: str, targets: Iterable[Target], things: int, region: str
) -> Homes:
    """Return the targets of `targets` that cache an object.

    An object has one target in the region of its callers, and one in another region for
    overflow. When the targets of a region can't cache all objects, they cache some of
    them, and the region gets no overflow from other regions that have an alternative.

    Parameters
    ----------
    thing : str
        Object of a request.
    targets : iterable of Target
        Targets of one service.
    things : int
        Number of objects in the requests of the region's callers for the service.
    region : str
        Region of the callers.
    """
    regions: dict[str, list[str]] = {}
    for target in targets:
        regions.setdefault(target.record.place.region, []).append(target.record.id)
    local = sorted(regions.pop(region, ()), key=partial(_score, thing))
    copies = _count_copies(local, things)
    overflow = _find_overflow(thing, list(regions.values()), things)
    # When the region can't cache all objects, it caches those of low rank.
    if not local or rank_thing(thing, region) >= copies:
        return Homes(overflow or frozenset(local[:1]))
    second = local[1:2] if copies >= COPIES_FOR_SECOND else []
    return Homes(frozenset(local[:1]), overflow.union(second))


def _find_overflow(thing: str, others: list[list[str]], things: int) -> frozenset[str]:
    spacious = [
        ids for ids in others if _count_copies(ids, things) >= COPIES_FOR_OVERFLOW
    ]
    ids = chain.from_iterable(spacious or others)
    return frozenset(sorted(ids, key=partial(_score, thing))[:1])


def _count_copies(ids: list[str], things: int) -> float:
    return len(ids) * WARM_OBJECTS * CACHE_FRACTION / max(1, things)


@lru_cache(maxsize=65_536)
def _score(thing: str, target_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{thing}|{target_id}'.encode())
