"""Findings about a configuration document before it is sent; without I/O.

Each check passes over the entries once. Regions of teams and routes are compared by their
distinct sets, which are few however many entries have them.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Any

import msgspec

from currantmast.direct.model import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Team,
)
from currantmast.platform.configurations import (
    DECODE_ERRORS,
    DecodedTeam,
    build_configuration,
    decode_limits,
    decode_route,
    decode_service,
    decode_team,
)

BYTES_PER_MB = 1_000_000


class Finding(msgspec.Struct, frozen=True):
    """Something in a document that is wrong or has no effect.

    Parameters
    ----------
    rule : str
        Which check found it.
    path : str
        Where it is in the document.
    name : str
        Name of the entry; empty if it has none.
    detail : str
        What is wrong; never holds a key.
    """

    rule: str
    path: str
    name: str
    detail: str


class Surroundings(msgspec.Struct, frozen=True):
    """What a document is checked against beside itself.

    Parameters
    ----------
    regions : frozenset of str
        All regions; empty if they are not known.
    memory_mb : float
        Memory of a machine in megabytes; 0 if it is not known.
    version_in_force : int
        Version that the document would replace; -1 for none.
    """

    regions: frozenset[str] = frozenset()
    memory_mb: float = 0
    version_in_force: int = -1


class _Placed(msgspec.Struct, frozen=True):
    """A decoded entry and its path in the document."""

    path: str
    value: Any


class _Entries(msgspec.Struct, frozen=True):
    """The decodable entries of a document, by kind."""

    routes: list[_Placed]
    services: list[_Placed]
    teams: list[_Placed]
    limits: list[_Placed]


def list_findings(document: Any, surroundings: Surroundings) -> list[Finding]:
    """Return what is wrong with a configuration document.

    Raises
    ------
    ValidationError, ValueError
        If the document has no readable version or no list of resources.
    """
    configuration = build_configuration(document)
    entries = _decode_entries(document['resources'])
    return [
        *_check_version(configuration, surroundings),
        *_list_faults(configuration),
        *_check_names(entries),
        *_check_places(entries.routes),
        *_check_services(entries),
        *_check_keys(entries.teams),
        *_check_regions(entries, surroundings.regions),
        *_check_homes(entries),
        *_check_route_limits(entries.routes),
        *_check_rates(entries.teams),
        *_check_memory(entries.limits, surroundings.memory_mb),
    ]


def _decode_entries(resources: list[Any]) -> _Entries:
    entries = _Entries([], [], [], [])
    targets = {
        'routes': (decode_route, entries.routes),
        'services': (decode_service, entries.services),
        'tenants': (decode_team, entries.teams),
        'limits': (decode_limits, entries.limits),
    }
    for index, resource in enumerate(resources):
        kind = resource.get('res_kind') if isinstance(resource, dict) else None
        if not isinstance(kind, str) or kind not in targets:
            continue
        decode, found = targets[kind]
        # What can't be decoded is among the faults of the configuration.
        with suppress(*DECODE_ERRORS):
            found.append(_Placed(f'resources[{index}]', decode(resource)))
    return entries


def _check_version(
    configuration: Configuration, surroundings: Surroundings
) -> Iterator[Finding]:
    if configuration.version <= surroundings.version_in_force:
        detail = f'not above the version in force, {surroundings.version_in_force:08x}'
        yield Finding('version_not_newer', 'version', '', detail)


def _list_faults(configuration: Configuration) -> Iterator[Finding]:
    for fault in configuration.faults:
        yield Finding('unreadable', fault.path, fault.name, fault.reason)


def _check_names(entries: _Entries) -> Iterator[Finding]:
    teams = [_Placed(placed.path, placed.value.team) for placed in entries.teams]
    for group in (entries.routes, entries.services, teams):
        first_paths: dict[str, str] = {}
        for placed in group:
            name = placed.value.name
            first = first_paths.setdefault(name, placed.path)
            if first != placed.path:
                yield Finding(
                    'duplicate_name', placed.path, name, f'the name is used at {first}'
                )


def _check_places(routes: Iterable[_Placed]) -> Iterator[Finding]:
    first_paths: dict[tuple[str, str], str] = {}
    for placed in routes:
        route: Route = placed.value
        first = first_paths.setdefault((route.host, route.prefix), placed.path)
        if first != placed.path:
            detail = f'never matches: same host and prefix as {first}'
            yield Finding('route_shadowed', placed.path, route.name, detail)
        if not _can_match(route):
            detail = 'never matches: a host without port and a prefix in slashes needed'
            yield Finding('route_unmatchable', placed.path, route.name, detail)


def _can_match(route: Route) -> bool:
    has_slashes = route.prefix.startswith('/') and route.prefix.endswith('/')
    return has_slashes and bool(route.host) and ':' not in route.host


def _check_services(entries: _Entries) -> Iterator[Finding]:
    known = {placed.value.name for placed in entries.services}
    named: set[str] = set()
    for placed in entries.routes:
        services = {found.service for found in placed.value.weighted_services}
        named |= services
        for missing in sorted(services - known):
            detail = f'service {missing} does not exist'
            yield Finding('service_unknown', placed.path, placed.value.name, detail)
    for placed in entries.services:
        service: Service = placed.value
        if service.name not in named:
            detail = 'no route names it'
            yield Finding('service_unused', placed.path, service.name, detail)


def _check_keys(teams: Iterable[_Placed]) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for placed in teams:
        decoded: DecodedTeam = placed.value
        name = decoded.team.name
        if not decoded.keys:
            yield Finding('team_without_keys', placed.path, name, 'it has no keys')
        others = Counter(owners[key] for key in decoded.keys if key in owners)
        for other, count in others.items():
            detail = f'{count} of its keys belong to {other} too; the last team counts'
            yield Finding('key_shared', placed.path, name, detail)
        owners.update(dict.fromkeys(decoded.keys, name))


def _check_regions(entries: _Entries, regions: frozenset[str]) -> Iterator[Finding]:
    if not regions:
        return
    teams = [_Placed(placed.path, placed.value.team) for placed in entries.teams]
    for placed in (*entries.routes, *teams):
        for missing in sorted(placed.value.allowed_regions - regions):
            detail = f'region {missing} does not exist'
            yield Finding('region_unknown', placed.path, placed.value.name, detail)


def _check_homes(entries: _Entries) -> Iterator[Finding]:
    """Find teams that have no region in common with some routes."""
    names_by_homes = _group_routes(entries.routes)
    apart_by_homes: dict[frozenset[str], list[str]] = {}
    for placed in entries.teams:
        team: Team = placed.value.team
        homes = team.allowed_regions
        if homes not in apart_by_homes:
            apart_by_homes[homes] = _list_apart(homes, names_by_homes)
        apart = apart_by_homes[homes]
        if apart:
            detail = f'no common region with {len(apart)} routes, such as {apart[0]}'
            yield Finding('no_common_region', placed.path, team.name, detail)


def _group_routes(routes: Iterable[_Placed]) -> dict[frozenset[str], list[str]]:
    """Return the names of routes that need keys and have regions, by these regions."""
    names_by_homes: dict[frozenset[str], list[str]] = {}
    for placed in routes:
        route: Route = placed.value
        if route.allowed_regions and not route.keyless:
            names_by_homes.setdefault(route.allowed_regions, []).append(route.name)
    return names_by_homes


def _list_apart(
    homes: frozenset[str], names_by_homes: dict[frozenset[str], list[str]]
) -> list[str]:
    apart: list[str] = []
    for others, names in names_by_homes.items():
        if homes and homes.isdisjoint(others):
            apart.extend(names)
    return apart


def _check_route_limits(routes: Iterable[_Placed]) -> Iterator[Finding]:
    for placed in routes:
        route: Route = placed.value
        if route.timeout_s <= 0:
            detail = f'a timeout of {route.timeout_s:g} s'
            yield Finding('timeout_zero', placed.path, route.name, detail)
        if route.timeout_s < route.latency_objective_s:
            detail = (
                f'the timeout of {route.timeout_s:g} s is below the objective of '
                f'{route.latency_objective_s:g} s'
            )
            yield Finding('timeout_below_objective', placed.path, route.name, detail)


def _check_rates(teams: Iterable[_Placed]) -> Iterator[Finding]:
    for placed in teams:
        team = placed.value.team
        if team.rate > 0 and team.burst < 1:
            detail = f'a burst of {team.burst:g} holds no request'
            yield Finding('burst_below_one', placed.path, team.name, detail)


def _check_memory(limits: Iterable[_Placed], memory_mb: float) -> Iterator[Finding]:
    for placed in limits:
        found: CallerLimits = placed.value
        if memory_mb and found.body_bytes > memory_mb * BYTES_PER_MB:
            detail = f'bodies of {found.body_bytes} bytes, memory of {memory_mb:g} MB'
            yield Finding('body_beyond_memory', placed.path, '', detail)
