"""Messages between a relay and the reserves that follow it, and their encoding."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from currantmast.direct.model import Configuration, InstanceRecord, TargetRecord
from currantmast.direct.positions import Position
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable

VALUE_TYPES: Mapping[Topic, type] = MappingProxyType(
    {
        Topic.configuration: Configuration,
        Topic.targets: TargetRecord,
        Topic.evacuations: str,
        Topic.instances: InstanceRecord,
    }
)


class RelayedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the store as a relay sends it.

    Parameters
    ----------
    name : str
        Name of the entry.
    revision : int
        Revision of its last change.
    encoded : bytes or None
        Its value as MessagePack.
    reason : str or None
        Why the value can't be used. The entry was removed if both are None.
    """

    name: str
    revision: int
    encoded: bytes | None
    reason: str | None


class RelayedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A list or the changes of a topic as a relay sends them.

    Parameters
    ----------
    position : Position
        Position to watch from next.
    entries : tuple of RelayedEntry
        The entries.
    age_s : float
        Seconds from the relay's last successful read of the topic to the arrival of the
        call; 0 if the read came later.
    """

    position: Position
    entries: tuple[RelayedEntry, ...]
    age_s: float


# What a value raises that MessagePack can't hold.
ENCODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, TypeError)

_encoder = msgspec.msgpack.Encoder()
_update_decoder = msgspec.msgpack.Decoder(RelayedUpdate)
_value_decoders = {
    topic: msgspec.msgpack.Decoder(kind) for topic, kind in VALUE_TYPES.items()
}


def encode_entry(entry: Entry) -> RelayedEntry:
    """Return an entry of the store as a relay sends it.

    One that can't be encoded counts as invalid, so that the others reach the reserves.
    """
    match entry.value:
        case None:
            return RelayedEntry(entry.name, entry.revision, None, None)
        case InvalidEntry(reason):
            return RelayedEntry(entry.name, entry.revision, None, reason)
    try:
        encoded = _encoder.encode(entry.value)
    except ENCODE_ERRORS as error:
        return RelayedEntry(entry.name, entry.revision, None, f'not encoded: {error}')
    return RelayedEntry(entry.name, entry.revision, encoded, None)


def encode_update(
    position: Position, entries: Iterable[RelayedEntry], age_s: float
) -> bytes:
    """Return a list or the changes of a topic as MessagePack."""
    return _encoder.encode(RelayedUpdate(position, tuple(entries), age_s))


def decode_update(topic: Topic, body: bytes) -> StoreUpdate:
    """Return what a relay sent.

    Raises
    ------
    StoreUnavailable
        If it can't be decoded.
    """
    try:
        relayed = _update_decoder.decode(body)
        entries = tuple(_decode_entry(topic, entry) for entry in relayed.entries)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f'unreadable answer of a relay: {error}') from error
    return StoreUpdate(relayed.position, entries, relayed.age_s)


def _decode_entry(topic: Topic, relayed: RelayedEntry) -> Entry:
    if relayed.encoded is not None:
        value = _decode_value(topic, relayed.encoded)
    elif relayed.reason is not None:
        value = InvalidEntry(relayed.reason)
    else:
        value = None
    return Entry(relayed.name, relayed.revision, value)


def _decode_value(topic: Topic, encoded: bytes) -> Any:
    try:
        return _value_decoders[topic].decode(encoded)
    except msgspec.MsgspecError as error:
        if topic is Topic.configuration:
            # Treated as removed, it would leave an older one in force unnoticed.
            raise
        return InvalidEntry(f'not decoded: {error}')
