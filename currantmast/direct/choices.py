"""What a request requires of a target, and the choice that was made for it."""

from enum import Enum

import msgspec

from currantmast.direct.copies import CopyKind
from currantmast.direct.loads import LoadKnowledge
from currantmast.direct.targetlimits import LimitedTargets
from currantmast.direct.targets import Target


class Requirements(msgspec.Struct, frozen=True):
    """What a request requires of a target.

    Parameters
    ----------
    service : str
        Service that the request is for.
    object_key : str
        Object that the request concerns; empty when unknown.
    time_left_s : float
        Seconds until the caller or the route times out.
    objective_left_s : float
        Seconds until the answer misses the latency objective of the route.
    limited : LimitedTargets
        Targets whose own limits leave no token for the request.
    work : str
        Kind of work, for which processing times are averaged; empty for the service's.
    by_cost : bool
        Whether overload control places the request.
    absent : tuple of Target
        Targets that are listed but may not get the request now. Objects are assigned to
        them all the same.
    """

    service: str
    object_key: str
    time_left_s: float
    objective_left_s: float
    limited: LimitedTargets = LimitedTargets()
    work: str = ''
    by_cost: bool = False
    absent: tuple[Target, ...] = ()


class SpilloverReason(Enum):
    """Why a request runs outside the local region.

    No local target has affinity to its object (`unkept`); those that have are at their
    load limit (`full`) or would answer too late (`late`); a target in another region has
    a lower cost (`faster`); or the request is part of the region's spillover (`shared`).
    """

    none = 'none'
    unkept = 'unkept'
    full = 'full'
    late = 'late'
    faster = 'faster'
    shared = 'shared'


class Choice(msgspec.Struct, frozen=True):
    """A target for a request, with the expected times.

    Parameters
    ----------
    target : Target
        The target.
    round_trip_s, wait_s, processing_s : float
        Expected round trip, queueing time and processing time, in seconds.
    chance : float
        Chance from 0 to 1 that the target caches the object.
    cached : bool
        Whether this instance sent the object to the target recently.
    candidates : int
        Number of targets compared.
    load : int
        Running and queued requests of the target, as known when it was compared.
    spillover_reason : SpilloverReason
        Why the target is in another region; `none` when it is in the local one.
    copy : CopyKind or None
        Why the target may cache the object; None without overload control.
    knowledge : LoadKnowledge or None
        What was known of the target's load; None without overload control.
    price_s : float
        Price of crossing to another region at that moment, in seconds.
    """

    target: Target
    round_trip_s: float
    wait_s: float
    processing_s: float
    chance: float
    cached: bool
    candidates: int
    load: int = 0
    spillover_reason: SpilloverReason = SpilloverReason.none
    copy: CopyKind | None = None
    knowledge: LoadKnowledge | None = None
    price_s: float = 0

    @property
    def expected_s(self) -> float:
        """Expected latency in seconds."""
        return self.round_trip_s + self.wait_s + self.processing_s


class Obstacle(Enum):
    """Why a request can't go to a target.

    The target has no token of the rate that it takes (`limited`), is at its load limit
    (`full`), is busy and has no affinity to the object (`strange`), or would answer too
    late (`late`).
    """

    limited = 'limited'
    full = 'full'
    strange = 'strange'
    late = 'late'


class NoCapacity(msgspec.Struct, frozen=True):
    """No target can serve the request in time.

    Parameters
    ----------
    candidates : int
        Number of targets compared.
    available_in_s : float
        Seconds until a target is expected to have capacity.
    full, strange, late : int
        Number of targets for each `Obstacle`.
    held : int
        Targets with capacity on the side (local or other regions) that the request may
        not use.
    """

    candidates: int
    available_in_s: float
    full: int = 0
    strange: int = 0
    late: int = 0
    held: int = 0
