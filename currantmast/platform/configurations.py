"""Decoding of the stored configuration, entry by entry.

An entry that can't be decoded is left out, and the others are in force. What can still be
read of it keeps its requests from being handled by the entries that remain.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from currantmast.direct.model import (
    CallerLimits,
    Configuration,
    EntryFault,
    Route,
    Service,
    Team,
    WeightedService,
    WorkKind,
)
from currantmast.platform.headertexts import encode_path, fits_header

# What an entry that can't be decoded raises.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError)

# Longest time in seconds for a request of a route that can't be read; it is refused.
UNREADABLE_TIMEOUT_S = 1.0

# Integers that every encoding between instances can carry.
_Int = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]


class _Meta(msgspec.Struct):
    name: str = ''


# Form of a version number, which every encoding between instances can carry.
VERSION_FORM = re.compile('[0-9a-fA-F]{1,8}')


class _Config(msgspec.Struct):
    # Number as eight hexadecimal digits.
    version: str
    resources: list[Any]


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
    prio: _Int = 0
    service: str | None = None
    backends: list[_Backend] = []
    attempts: _Int = 1
    public: bool = False
    # Whether targets are faster with objects that they handled recently.
    affinity: bool = False
    home_regions: list[str] = []


class _ServiceSpec(msgspec.Struct):
    health_path: str = '/'
    max_conns: _Int = 1
    cold_s: float = 0
    cold_per_s: float = 0


class _TenantSpec(msgspec.Struct):
    api_keys: list[str] = []
    prio: _Int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: list[str] = []


class _LimitsSpec(msgspec.Struct):
    max_header_bytes: _Int = 16_384
    max_body_bytes: _Int = 67_108_864
    header_timeout_s: float = 3
    idle_s: float = 15


class _RouteEntry(msgspec.Struct):
    spec: _RouteSpec
    meta: _Meta = msgspec.field(default_factory=_Meta)


class _ServiceEntry(msgspec.Struct):
    spec: _ServiceSpec
    meta: _Meta = msgspec.field(default_factory=_Meta)


class _TenantEntry(msgspec.Struct):
    spec: _TenantSpec
    meta: _Meta = msgspec.field(default_factory=_Meta)


class _LimitsEntry(msgspec.Struct):
    spec: _LimitsSpec


class DecodedTeam(msgspec.Struct, frozen=True):
    """A team, and its API keys, which are never logged or shown."""

    team: Team
    keys: tuple[str, ...]


def build_configuration(spec: Any) -> Configuration:
    """Return the configuration in a decoded document.

    Raises
    ------
    ValidationError, ValueError
        If the document has no readable version or no list of resources.
    """
    config = msgspec.convert(spec, _Config)
    reading = _Reading()
    if not VERSION_FORM.fullmatch(config.version):
        raise ValueError('version must be one to eight hexadecimal digits')
    version = int(config.version, 16)
    for index, resource in enumerate(config.resources):
        reading.read(f'resources[{index}]', resource)
    return Configuration(
        version=version,
        routes=tuple(reading.routes),
        services=reading.services,
        teams=reading.teams,
        keys=reading.keys,
        limits=reading.limits,
        refused_keys=frozenset(reading.refused_keys),
        has_unreadable_team=reading.has_unreadable_team,
        faults=tuple(reading.faults),
    )


class _Reading:
    """What was read of a configuration so far."""

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.services: dict[str, Service] = {}
        self.teams: dict[str, Team] = {}
        self.keys: dict[str, str] = {}
        self.limits = CallerLimits()
        self.refused_keys: set[str] = set()
        self.has_unreadable_team = False
        self.faults: list[EntryFault] = []

    def read(self, path: str, resource: Any) -> None:
        """Read one entry; note a fault if it can't be decoded."""
        kind = _get(resource, 'res_kind')
        if not isinstance(kind, str):
            self.faults.append(EntryFault(path, '', 'no readable kind'))
            return
        if kind not in _READERS:
            return
        read, keep_rest = _READERS[kind]
        try:
            read(self, path, resource)
        except DECODE_ERRORS as error:
            self.faults.append(_make_fault(path, resource, error))
            keep_rest(self, _get(resource, 'spec'))

    def read_route(self, path: str, resource: Any) -> None:
        """Add a route."""
        route = decode_route(resource)
        self.routes.append(route)
        if _find_kind(resource['spec']['type']) is None:
            reason = 'unknown type, never repeated'
            self.faults.append(EntryFault(f'{path}.spec.type', route.name, reason))

    def keep_route(self, spec: Any) -> None:
        """Refuse what an unreadable route matches, so that no shorter prefix gets it."""
        host = _get(spec, 'host')
        prefix = _get(spec, 'path_prefix')
        if isinstance(host, str) and isinstance(prefix, str):
            self.routes.append(_build_unreadable(host, prefix))

    def read_service(self, path: str, resource: Any) -> None:
        """Add a service."""
        service = decode_service(resource)
        self.services[service.name] = service

    def read_team(self, path: str, resource: Any) -> None:
        """Add a team and its keys."""
        decoded = decode_team(resource)
        name = decoded.team.name
        self.teams[name] = decoded.team
        self.keys.update(dict.fromkeys(decoded.keys, name))

    def keep_team(self, spec: Any) -> None:
        """Refuse the readable keys of an unreadable team."""
        self.has_unreadable_team = True
        keys = _get(spec, 'api_keys')
        if isinstance(keys, list):
            self.refused_keys.update(key for key in keys if isinstance(key, str))

    def read_limits(self, path: str, resource: Any) -> None:
        """Replace the limits of callers' requests."""
        self.limits = decode_limits(resource)

    def reset_limits(self, spec: Any) -> None:
        """Use the default limits."""
        self.limits = CallerLimits()

    def keep_nothing(self, spec: Any) -> None:
        """Leave an entry out."""


_Reader = Callable[[_Reading, str, Any], None]
_Keeper = Callable[[_Reading, Any], None]

# By kind of entry, what reads it and what is done if that fails; other kinds are ignored.
_READERS: Mapping[str, tuple[_Reader, _Keeper]] = MappingProxyType(
    {
        'routes': (_Reading.read_route, _Reading.keep_route),
        'services': (_Reading.read_service, _Reading.keep_nothing),
        'tenants': (_Reading.read_team, _Reading.keep_team),
        'limits': (_Reading.read_limits, _Reading.reset_limits),
    }
)


def _get(value: Any, name: str) -> Any:
    return value.get(name) if isinstance(value, dict) else None


def _make_fault(path: str, resource: Any, error: Exception) -> EntryFault:
    reason, _, field = str(error).partition(' - at `$')
    name = _get(_get(resource, 'meta'), 'name')
    shown = name if isinstance(name, str) else ''
    return EntryFault(f'{path}{field.rstrip("`")}', shown, reason)


def _find_kind(name: str) -> WorkKind | None:
    try:
        return WorkKind(name)
    except ValueError:
        return None


def decode_route(resource: Any) -> Route:
    """Return the route in an entry; one of an unknown type is never repeated.

    Raises
    ------
    ValidationError, ValueError
        If the entry can't be decoded.
    """
    entry = msgspec.convert(resource, _RouteEntry)
    spec = entry.spec
    weighted_services = tuple(_list_services(spec))
    if not weighted_services:
        raise ValueError('the route names no service - at `$.spec`')
    return Route(
        name=entry.meta.name,
        host=spec.host.lower(),
        prefix=encode_path(spec.path_prefix),
        kind=_find_kind(spec.type) or WorkKind.non_idempotent,
        weighted_services=weighted_services,
        timeout_s=spec.timeout_s,
        latency_objective_s=spec.target_latency_s or spec.timeout_s,
        attempts=max(1, spec.attempts),
        priority=spec.prio,
        keyless=spec.public,
        allowed_regions=frozenset(spec.home_regions),
        has_affinity=spec.affinity,
    )


def decode_service(resource: Any) -> Service:
    """Return the service in an entry.

    Raises
    ------
    ValidationError
        If the entry can't be decoded.
    """
    entry = msgspec.convert(resource, _ServiceEntry)
    spec = entry.spec
    return Service(
        entry.meta.name,
        spec.health_path,
        spec.max_conns,
        spec.cold_s,
        spec.cold_per_s,
    )


def decode_team(resource: Any) -> DecodedTeam:
    """Return the team in an entry.

    Raises
    ------
    ValidationError, ValueError
        If the entry can't be decoded, or targets can't be told the name.
    """
    entry = msgspec.convert(resource, _TenantEntry)
    if not fits_header(entry.meta.name):
        raise ValueError('no header can carry the name - at `$.meta.name`')
    spec = entry.spec
    homes = frozenset(spec.home_regions)
    team = Team(entry.meta.name, spec.rate_per_s, spec.burst, homes, spec.prio)
    return DecodedTeam(team, tuple(spec.api_keys))


def decode_limits(resource: Any) -> CallerLimits:
    """Return the limits of callers' requests in an entry.

    Raises
    ------
    ValidationError
        If the entry can't be decoded.
    """
    spec = msgspec.convert(resource, _LimitsEntry).spec
    return CallerLimits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        spec.header_timeout_s,
        spec.idle_s,
    )


def _list_services(spec: _RouteSpec) -> Iterator[WeightedService]:
    weighted = [backend for backend in spec.backends if backend.weight > 0]
    for backend in weighted:
        yield WeightedService(backend.service, backend.weight)
    if not weighted and spec.service is not None:
        yield WeightedService(spec.service, 1)


def _build_unreadable(host: str, prefix: str) -> Route:
    return Route(
        name='',
        host=host.lower(),
        prefix=encode_path(prefix),
        kind=WorkKind.non_idempotent,
        weighted_services=(),
        timeout_s=UNREADABLE_TIMEOUT_S,
        latency_objective_s=UNREADABLE_TIMEOUT_S,
        is_readable=False,
    )
