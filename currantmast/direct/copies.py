"""Copies: which targets cache an object under overload control.

Each failure domain has one target for an object, found by rendezvous hashing. The region
of the callers uses as many of its domains' targets as its caches have room for; requests
that exceed them go to the domains of other regions. The target of a domain doesn't depend
on who asks, so all instances agree without messages, and when a target comes or goes, only
its own objects move.
"""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

import msgspec

from currantmast.direct.affinity import (
    CACHE_FRACTION,
    COPIES_FOR_OVERFLOW,
    hash_object,
    rank_object,
)
from currantmast.direct.model import Location
from currantmast.direct.targets import CACHED_OBJECTS, Target

# Targets in other regions for an object that the region of its callers doesn't cache.
REMOTE_COPIES = 3


class CopyKind(Enum):
    """Why a target may cache an object.

    It is the first of the object's targets in the local region (`first`) or another one
    there (`second`); or the one in another region that regularly gets the object
    (`remote`) or rarely does (`spare`). It may be none of these (`strange`), or the
    request names no object (`keyless`).
    """

    first = 'first'
    second = 'second'
    remote = 'remote'
    spare = 'spare'
    strange = 'strange'
    no_object = 'no_object'


class Copy(msgspec.Struct, frozen=True):
    """A target that may cache an object, and why."""

    target: Target
    kind: CopyKind


class ObjectDemand(msgspec.Struct, frozen=True):
    """An object that callers of a region request.

    Parameters
    ----------
    key : str
        The object.
    count : int
        Number of objects in the requests of the region's callers for the service.
    location : Location
        Where the requests arrive.
    share : float
        Share of the region's requests that runs in other regions, from 0 to 1.
    """

    key: str
    count: int
    location: Location
    share: float


def list_copies(demand: ObjectDemand, targets: Iterable[Target]) -> list[Copy]:
    """Return the targets that may cache an object: local ones first, best first."""
    sizes: Counter[str] = Counter()
    best: dict[str, tuple[int, Target]] = {}
    for target in targets:
        location = target.record.location
        sizes[location.region] += 1
        score = hash_object(demand.key, target.record.id)
        found = best.get(location.failure_domain)
        if found is None or score < found[0]:
            best[location.failure_domain] = (score, target)
    ordered = [each for _, each in sorted(best.values(), key=lambda item: item[0])]
    local = _list_local(demand, ordered, sizes)
    return [*local, *_list_remote(demand, ordered, sizes, is_kept=bool(local))]


def _list_local(
    demand: ObjectDemand, ordered: list[Target], sizes: Counter[str]
) -> list[Copy]:
    region = demand.location.region
    room = _count_copies(sizes[region], demand.count)
    whole = int(room)
    kept = whole + (rank_object(demand.key, region) < room - whole)
    chosen = [each for each in ordered if each.record.location.region == region]
    return [
        Copy(target, CopyKind.second if index else CopyKind.first)
        for index, target in enumerate(chosen[:kept])
    ]


def _list_remote(
    demand: ObjectDemand, ordered: list[Target], sizes: Counter[str], *, is_kept: bool
) -> list[Copy]:
    region = demand.location.region
    others = [each for each in ordered if each.record.location.region != region]
    large_enough = [
        each
        for each in others
        if _count_copies(sizes[each.record.location.region], demand.count)
        >= COPIES_FOR_OVERFLOW
    ]
    chosen = (large_enough or others)[: 1 if is_kept else REMOTE_COPIES]
    regular = not is_kept or rank_object(demand.key, region) >= 1 - demand.share
    return [
        Copy(target, CopyKind.remote if regular and not index else CopyKind.spare)
        for index, target in enumerate(chosen)
    ]


def _count_copies(targets: int, count: int) -> float:
    """Return how many copies of all objects a region's targets together can cache."""
    return targets * CACHED_OBJECTS * CACHE_FRACTION / max(1, count)
