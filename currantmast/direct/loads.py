"""Loads of targets: what they report of themselves, and what is known of it."""

from enum import Enum

import msgspec


class Load(msgspec.Struct, frozen=True):
    """Load that a target reports.

    Parameters
    ----------
    running, waiting : int
        Requests that it runs, and that it queues.
    slots : int
        Requests that it runs at the same time.
    slowdown : float or None
        Ratio of the time that work takes at this moment to the usual time; None when the
        target doesn't report it. It changes within a second, as the target shares its
        machine.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class LoadSource(Enum):
    """Where the known load of a target comes from.

    The target reported it a moment ago (`told`), the members counted their requests in
    heartbeats (`counted`), or only the instance's own requests are known (`guessed`).
    """

    told = 'told'
    counted = 'counted'
    guessed = 'guessed'


class LoadKnowledge(msgspec.Struct, frozen=True):
    """What is known of a target's load.

    Parameters
    ----------
    source : LoadSource
        Where the load comes from.
    age_s : float
        Seconds since it was known; the instance's own requests since then are counted.
    slowdown : float
        Expected ratio of the time that work takes now to the usual time.
    """

    source: LoadSource
    age_s: float
    slowdown: float = 1
