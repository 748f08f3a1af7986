"""Decoding of objects in the platform's store into the types of `direct.model`.

Private Structs mirror the stored documents.
"""

import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from currantmast.direct.model import (
    Configuration,
    InstanceRecord,
    Location,
    TargetRecord,
    TargetState,
)
from currantmast.direct.updates import InvalidEntry, Topic
from currantmast.fields import parse_address
from currantmast.platform.configurations import DECODE_ERRORS, build_configuration
from currantmast.platform.headertexts import fits_header

CONFIGURATION_NAME = 'main'

# Most requests that a target may say it runs at the same time.
MAX_SLOTS = 1_000_000

# Region of each failure domain, which the store calls a zone. Stored targets name only
# their zone; `configure_regions` sets the regions from the settings once at start.
_regions: dict[str, str] = {}


class DocumentRejected(msgspec.ValidationError):
    """An object in the store has a field with an unusable value."""


def configure_regions(regions: dict[str, str]) -> None:
    """Set the region of each failure domain for the decoders."""
    _regions.clear()
    _regions.update(regions)


# Integers that every encoding between instances can carry.
_Whole = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _ServerSpec(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_left_s: float = 0
    # Start time in Unix milliseconds, always a whole number; distinguishes the runs that
    # share an id.
    born: _Whole = 0
    # Counts the statements of a run.
    seq: _Whole = 0


class _InstanceSpec(msgspec.Struct):
    incarnation: str
    region: str
    failure_domain: str
    public: str
    peer: str
    capacity: float = 1


def decode_configuration(name: str, spec: Any) -> Configuration | InvalidEntry:
    """Return the configuration in an object, or the reason why it is invalid.

    Entries of it that can't be decoded are left out; its faults tell which.
    """
    if name != CONFIGURATION_NAME:
        return InvalidEntry('not the configuration object')
    return _decode_or_invalid(build_configuration, spec)


def decode_target(name: str, spec: Any) -> TargetRecord | InvalidEntry:
    """Return the record of a target, or the reason why it is invalid."""
    return _decode_or_invalid(lambda value: _build_target(name, value), spec)


def decode_evacuation(name: str, spec: Any) -> str:
    """Return the failure domain to evacuate, which is the object's name."""
    return name


def decode_instance(name: str, spec: Any) -> InstanceRecord | InvalidEntry:
    """Return the record of an instance, or the reason why it is invalid."""
    return _decode_or_invalid(lambda value: _build_instance(name, value), spec)


DECODERS = MappingProxyType(
    {
        Topic.configuration: decode_configuration,
        Topic.targets: decode_target,
        Topic.evacuations: decode_evacuation,
        Topic.instances: decode_instance,
    }
)


def encode_instance(record: InstanceRecord) -> bytes:
    """Return the object to store for an instance, as JSON."""
    spec = _InstanceSpec(
        record.incarnation,
        record.location.region,
        record.location.failure_domain,
        str(record.public),
        str(record.peer),
        record.capacity,
    )
    document = {'meta': {'name': record.id}, 'spec': msgspec.to_builtins(spec)}
    return msgspec.json.encode(document)


def _decode_or_invalid(build: Callable[[Any], Any], spec: Any) -> Any:
    try:
        return build(spec)
    except DECODE_ERRORS as error:
        return InvalidEntry(str(error))


def _build_target(name: str, spec: Any) -> TargetRecord:
    server = msgspec.convert(spec, _ServerSpec)
    if not fits_header(name):
        raise DocumentRejected('no header can carry the name')
    if server.zone not in _regions:
        raise DocumentRejected(f'unknown zone {server.zone}')
    if not math.isfinite(server.cold_left_s):
        raise DocumentRejected('cold_left_s must be finite')
    return TargetRecord(
        id=name,
        service=server.service,
        address=parse_address(server.addr),
        location=Location(_regions[server.zone], server.zone),
        slots=server.slots,
        state=TargetState(server.state),
        cold_left_s=max(0, server.cold_left_s),
        started_at_ms=server.born,
        sequence=server.seq,
    )


def _build_instance(name: str, spec: Any) -> InstanceRecord:
    instance = msgspec.convert(spec, _InstanceSpec)
    return InstanceRecord(
        name,
        instance.incarnation,
        Location(instance.region, instance.failure_domain),
        parse_address(instance.public),
        parse_address(instance.peer),
        instance.capacity,
    )
