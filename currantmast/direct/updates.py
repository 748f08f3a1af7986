"""What the store tells: entries by topic, and updates of them."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any, Protocol

import msgspec

from currantmast.direct.positions import Position


class Topic(Enum):
    """Group of store entries that one follower reads."""

    configuration = 'configuration'
    targets = 'targets'
    evacuations = 'evacuations'
    instances = 'instances'


# Seconds by which an answer that keeps arriving may exceed its timeout: the configuration
# can be large, and the link slow. Other topics consist of many small entries.
TRANSFER_S: Mapping[Topic, float] = MappingProxyType({Topic.configuration: 8})


class InvalidEntry(msgspec.Struct, frozen=True):
    """Value of an entry that can't be decoded; the entry is treated as removed."""

    reason: str


class Entry(msgspec.Struct, frozen=True):
    """Entry of a topic: its decoded value, `InvalidEntry`, or None when it was removed."""

    name: str
    revision: int
    value: Any


class StoreUpdate(msgspec.Struct, frozen=True):
    """Entries that a list or a watch returned, and the position to watch from next.

    Parameters
    ----------
    position : Position
        Position to watch from next.
    entries : tuple of Entry
        The entries.
    age_s : float
        Seconds by which they may be older than the call; 0 if the store answered itself.
    """

    position: Position
    entries: tuple[Entry, ...]
    age_s: float = 0


class Source(Protocol):
    """Read access to the platform's store; each adapter implements it."""

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`."""

    def watch(self, topic: Topic, position: Position, wait_s: float) -> StoreUpdate:
        """Return the changes after `position`; wait up to `wait_s` seconds for one."""
