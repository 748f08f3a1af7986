"""Decoding of objects in the platform's store into the types of `direct.model`.

Private Structs mirror the stored documents.
"""

import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from currantmast.direct.model import (
    CallerLimits,
    Configuration,
    InstanceRecord,
    Location,
    Route,
    Service,
    TargetRecord,
    TargetState,
    Team,
    WeightedService,
    WorkKind,
)
from currantmast.direct.updates import InvalidEntry, Topic
from currantmast.fields import parse_address

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


class _Meta(msgspec.Struct):
    name: str = ''


class _Resource(msgspec.Struct):
    # Type of the resource: routes, services, tenants or limits; others are ignored.
    res_kind: str
    spec: dict[str, Any]
    meta: _Meta = msgspec.field(default_factory=_Meta)


class _Config(msgspec.Struct):
    # Number as eight hexadecimal digits.
    version: str
    resources: list[_Resource]


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct):
    host: str
    path_prefix: str
    # Kind of work (see `WorkKind`), which decides whether a request may be retried; not
    # a media type.
    type: str
    timeout_s: float
    target_latency_s: float = 0
    # Priority; 0 is the highest.
    prio: int = 0
    service: str | None = None
    backends: list[_Backend] = []
    attempts: int = 1
    public: bool = False
    # Whether targets are faster with objects that they handled recently.
    affinity: bool = False
    home_regions: list[str] = []


class _ServiceSpec(msgspec.Struct):
    health_path: str = '/'
    max_conns: int = 1
    cold_s: float = 0
    cold_per_s: float = 0


class _TenantSpec(msgspec.Struct):
    api_keys: list[str] = []
    prio: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: list[str] = []


class _LimitsSpec(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_s: float = 15


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
    """Return the configuration in an object, or the reason why it is invalid."""
    if name != CONFIGURATION_NAME:
        return InvalidEntry('not the configuration object')
    return _decode_or_invalid(_build_configuration, spec)


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
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        return InvalidEntry(str(error))


def _build_configuration(spec: Any) -> Configuration:
    config = msgspec.convert(spec, _Config)
    tenants = [
        (resource.meta.name, msgspec.convert(resource.spec, _TenantSpec))
        for resource in _list_resources(config, 'tenants')
    ]
    limits = [
        msgspec.convert(resource.spec, _LimitsSpec)
        for resource in _list_resources(config, 'limits')
    ]
    services = [
        _build_service(resource.meta.name, resource.spec)
        for resource in _list_resources(config, 'services')
    ]
    return Configuration(
        version=int(config.version, 16),
        routes=tuple(
            _build_route(resource.meta.name, resource.spec)
            for resource in _list_resources(config, 'routes')
        ),
        services={service.name: service for service in services},
        teams={name: _build_team(name, tenant) for name, tenant in tenants},
        keys={key: name for name, tenant in tenants for key in tenant.api_keys},
        limits=_build_limits(limits[-1] if limits else _LimitsSpec()),
    )


def _list_resources(config: _Config, kind: str) -> list[_Resource]:
    return [resource for resource in config.resources if resource.res_kind == kind]


def _build_route(name: str, spec: dict[str, Any]) -> Route:
    route = msgspec.convert(spec, _RouteSpec)
    weighted_services = tuple(
        WeightedService(backend.service, backend.weight)
        for backend in route.backends
        if backend.weight > 0
    )
    if not weighted_services and route.service is not None:
        weighted_services = (WeightedService(route.service, 1),)
    if not weighted_services:
        raise DocumentRejected(f'route {name} names no service')
    return Route(
        name=name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=WorkKind(route.type),
        weighted_services=weighted_services,
        timeout_s=route.timeout_s,
        latency_objective_s=route.target_latency_s or route.timeout_s,
        attempts=max(1, route.attempts),
        priority=route.prio,
        keyless=route.public,
        allowed_regions=frozenset(route.home_regions),
        has_affinity=route.affinity,
    )


def _build_service(name: str, spec: dict[str, Any]) -> Service:
    service = msgspec.convert(spec, _ServiceSpec)
    return Service(
        name, service.health_path, service.max_conns, service.cold_s, service.cold_per_s
    )


def _build_team(name: str, tenant: _TenantSpec) -> Team:
    allowed_regions = frozenset(tenant.home_regions)
    return Team(name, tenant.rate_per_s, tenant.burst, allowed_regions, tenant.prio)


def _build_limits(limits: _LimitsSpec) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_s,
    )


def _build_target(name: str, spec: Any) -> TargetRecord:
    server = msgspec.convert(spec, _ServerSpec)
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
