"""Homes: the targets that keep an object, the same for all instances of a region."""

from collections.abc import Iterable
from functools import lru_cache, partial
from itertools import chain

import msgspec
import xxhash

from currantmast.direct.targets import WARM_OBJECTS, Target

# Chance that a second target for an object knows it, from earlier overflow.
SECOND_WARM_PART = 0.5

# Part of what targets can keep that their region's own objects may fill, so that a few
# strange ones push none of them out.
KEPT_PART = 0.85

# Copies of all its objects that a region must be able to keep before it gets those of
# another region, and before each object gets a second target in it.
COPIES_FOR_OVERFLOW = 2
COPIES_FOR_SECOND = 4

# Steps of the hash that decides which objects a region keeps.
HASH_STEPS = 1024


class Homes(msgspec.Struct, frozen=True):
    """The targets that keep an object for the callers of one region.

    All instances of the region compute the same ones, so that all requests for an object
    meet the same targets; when one comes or goes, only its own objects move.

    Parameters
    ----------
    first : frozenset of str
        The target that is to keep the object.
    second : frozenset of str
        Targets that get what the first has no room for.
    """

    first: frozenset[str] = frozenset()
    second: frozenset[str] = frozenset()

    def get_chance(self, target: Target) -> float:
        """Return the chance that `target` knows the object."""
        if target.record.id in self.first:
            return 1
        return SECOND_WARM_PART if target.record.id in self.second else 0


def rank_thing(thing: str, region: str) -> float:
    """Return the rank of an object from 0 to 1; the lowest stay in `region` longest."""
    return _score(thing, region) % HASH_STEPS / HASH_STEPS


def find_homes(
    thing: str, targets: Iterable[Target], things: int, region: str
) -> Homes:
    """Return the targets of `targets` that keep the object `thing`.

    An object has one target in the region of its callers, and one elsewhere for what
    doesn't fit there. A region whose targets can't keep all objects keeps a part of
    them, and gets none from other regions.

    Parameters
    ----------
    thing : str
        The object.
    targets : iterable of Target
        Targets of one service.
    things : int
        Objects that the callers of the region ask the service for.
    region : str
        Region of the callers.
    """
    regions: dict[str, list[str]] = {}
    for target in targets:
        regions.setdefault(target.record.place.region, []).append(target.record.id)
    near = sorted(regions.pop(region, ()), key=partial(_score, thing))
    copies = _count_copies(near, things)
    overflow = _find_overflow(thing, list(regions.values()), things)
    # A hash decides which objects a region keeps when it can't keep all.
    if not near or rank_thing(thing, region) >= copies:
        return Homes(overflow or frozenset(near[:1]))
    second = near[1:2] if copies >= COPIES_FOR_SECOND else []
    return Homes(frozenset(near[:1]), overflow.union(second))


def _find_overflow(thing: str, far: list[list[str]], things: int) -> frozenset[str]:
    roomy = [ids for ids in far if _count_copies(ids, things) >= COPIES_FOR_OVERFLOW]
    ids = chain.from_iterable(roomy or far)
    return frozenset(sorted(ids, key=partial(_score, thing))[:1])


def _count_copies(ids: list[str], things: int) -> float:
    return len(ids) * WARM_OBJECTS * KEPT_PART / max(1, things)


@lru_cache(maxsize=65_536)
def _score(thing: str, target_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{thing}|{target_id}'.encode())
