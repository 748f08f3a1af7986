"""Object affinity: the targets that cache an object for the callers of a region."""

from collections.abc import Iterable
from functools import lru_cache, partial
from itertools import chain

import msgspec
import xxhash

from currantmast.direct.targets import CACHED_OBJECTS, Target

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


class AffinityTargets(msgspec.Struct, frozen=True):
    """The targets that cache an object for the callers of one region.

    They are selected by rendezvous hashing. All instances of the region compute the same
    targets, and when a target is added or removed, only its own objects move.

    Parameters
    ----------
    primary : frozenset of str
        Id of the target that is to cache the object.
    secondary : frozenset of str
        Ids of targets for the requests that exceed the capacity of the primary one.
    """

    primary: frozenset[str] = frozenset()
    secondary: frozenset[str] = frozenset()

    def get_chance(self, target: Target) -> float:
        """Return the chance from 0 to 1 that `target` caches the object."""
        if target.record.id in self.primary:
            return 1
        return SECONDARY_CACHED_CHANCE if target.record.id in self.secondary else 0


def rank_object(object_key: str, region: str) -> float:
    """Return the rank of an object from 0 to 1; the highest leave `region` first."""
    return hash_object(object_key, region) % RANK_STEPS / RANK_STEPS


def find_affinity_targets(
    object_key: str, targets: Iterable[Target], object_count: int, region: str
) -> AffinityTargets:
    """Return the targets of `targets` that cache an object.

    An object has one target in the region of its callers, and one in another region for
    overflow. When the targets of a region can't cache all objects, they cache some of
    them, and the region gets no overflow from other regions that have an alternative.

    Parameters
    ----------
    object_key : str
        Object of a request.
    targets : iterable of Target
        Targets of one service.
    object_count : int
        Number of objects in the requests of the region's callers for the service.
    region : str
        Region of the callers.
    """
    ids_by_region: dict[str, list[str]] = {}
    for target in targets:
        ids_by_region.setdefault(target.record.location.region, []).append(
            target.record.id
        )
    local = sorted(ids_by_region.pop(region, ()), key=partial(hash_object, object_key))
    copies = _count_copies(local, object_count)
    overflow = _find_overflow(object_key, list(ids_by_region.values()), object_count)
    # When the region can't cache all objects, it caches those of low rank.
    if not local or rank_object(object_key, region) >= copies:
        return AffinityTargets(overflow or frozenset(local[:1]))
    secondary = local[1:2] if copies >= COPIES_FOR_SECOND else []
    return AffinityTargets(frozenset(local[:1]), overflow.union(secondary))


def _find_overflow(
    object_key: str, others: list[list[str]], object_count: int
) -> frozenset[str]:
    large_enough = [
        ids for ids in others if _count_copies(ids, object_count) >= COPIES_FOR_OVERFLOW
    ]
    ids = chain.from_iterable(large_enough or others)
    return frozenset(sorted(ids, key=partial(hash_object, object_key))[:1])


def _count_copies(ids: list[str], object_count: int) -> float:
    """Return how many copies of all objects the targets `ids` together can cache."""
    return len(ids) * CACHED_OBJECTS * CACHE_FRACTION / max(1, object_count)


@lru_cache(maxsize=65_536)
def hash_object(object_key: str, name: str) -> int:
    """Return the hash of an object and a target id or region, for rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f'{object_key}|{name}'.encode())
