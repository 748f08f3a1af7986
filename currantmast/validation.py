"""Checks across the fields of a deployment, made before it is published."""

from collections.abc import Iterable, Iterator
from itertools import chain, permutations
from pathlib import Path

from currantmast.blocks import BlockTable
from currantmast.deployment import Base, Deployment, Pool, ServiceKind, Team
from currantmast.errors import BlocksOverlap, SettingsError
from currantmast.loading import BASE_FILE, OVERLAY_SUFFIX, OVERLAYS_DIRECTORY

LEASE_HEARTBEATS = 3  # Two heartbeats may be lost before a lease ends.
REMOVAL_HEARTBEATS = 3
# Request keys are refused this long before their claims may be deleted, in seconds.
CLAIM_MARGIN_S = 60
MS_PER_S = 1000


class Finding(SettingsError):
    """A contradiction within a deployment; `file` is relative to its directory."""


def check_deployment(deployment: Deployment, directory: str | Path = '') -> None:
    """Check `deployment` across its fields.

    Parameters
    ----------
    deployment : Deployment
        A deployment that `loading` accepted.
    directory : str or Path
        Its directory, named in errors.

    Raises
    ------
    SettingsError
        At the first contradiction.
    """
    for finding in list_findings(deployment):
        file = str(Path(directory) / finding.file)
        raise SettingsError(file, finding.field, finding.found, finding.allowed)


def list_findings(deployment: Deployment) -> Iterator[Finding]:
    """Return every contradiction in `deployment`, that of `base.yaml` first."""
    base = deployment.base
    return chain(
        _check_domains(base),
        _check_links(base),
        _check_services(base),
        _check_pools(base),
        _check_targets(base),
        _check_teams(base),
        _check_keys(base),
        _check_timing(base),
        _check_sites(deployment),
        _check_blocks(deployment),
    )


def _find(field: str, found: object, allowed: str) -> Finding:
    return Finding(BASE_FILE, field, found, allowed)


def _check_domains(base: Base) -> Iterator[Finding]:
    known: set[str] = set()
    for index, region in enumerate(base.regions):
        field = f'regions[{index}].failure_domains'
        if not region.failure_domains:
            yield _find(field, region.failure_domains, 'at least one failure domain')
        for domain in region.failure_domains:
            if domain in known:
                yield _find(field, domain, 'a failure domain named only once')
            known.add(domain)


def _check_links(base: Base) -> Iterator[Finding]:
    regions = [region.id for region in base.regions]
    missing = set(permutations(regions, 2))
    for index, link in enumerate(base.links):
        pair = (link.source, link.destination)
        if pair in missing:
            missing.remove(pair)
        else:
            shown = f'{link.source}>{link.destination}'
            allowed = f'each pair of two regions once, of {_join(regions)}'
            yield _find(f'links[{index}]', shown, allowed)
    for source, destination in sorted(missing):
        yield _find('links', 'no link', f'a link {source}>{destination}')


def _check_services(base: Base) -> Iterator[Finding]:
    served = {pool.service for pool in base.pools}
    for index, service in enumerate(base.services):
        field = f'services[{index}]'
        if service.id not in served:
            yield _find(field, service.id, 'a service that has a pool')
        if service.typical_ms > service.timeout_ms:
            allowed = f'at most timeout_ms {service.timeout_ms}'
            yield _find(f'{field}.typical_ms', service.typical_ms, allowed)
        if base.policy.queue_wait_ms >= service.timeout_ms:
            allowed = f'less than timeout_ms {service.timeout_ms} of {service.id}'
            yield _find('policy.queue_wait_ms', base.policy.queue_wait_ms, allowed)


def _check_pools(base: Base) -> Iterator[Finding]:
    services = [service.id for service in base.services]
    regions = {region.id: region for region in base.regions}
    for index, pool in enumerate(base.pools):
        field = f'pools[{index}]'
        if pool.service not in services:
            yield _find(f'{field}.service', pool.service, f'one of {_join(services)}')
        region = regions.get(pool.region)
        if region is None:
            yield _find(f'{field}.region', pool.region, f'one of {_join(regions)}')
        elif pool.failure_domain not in region.failure_domains:
            allowed = f'one of {_join(region.failure_domains)}'
            yield _find(f'{field}.failure_domain', pool.failure_domain, allowed)
        yield from _check_sizes(field, pool)


def _check_sizes(field: str, pool: Pool) -> Iterator[Finding]:
    if not pool.addresses:
        yield _find(f'{field}.addresses', pool.addresses, 'at least one address')
    if pool.connections < pool.slots:
        allowed = f'at least slots {pool.slots}, one connection each'
        yield _find(f'{field}.connections', pool.connections, allowed)


def _check_targets(base: Base) -> Iterator[Finding]:
    return _check_repeats(
        (f'pools[{index}].addresses[{number}]', address)
        for index, pool in enumerate(base.pools)
        for number, address in enumerate(pool.addresses)
    )


def _check_teams(base: Base) -> Iterator[Finding]:
    services = [service.id for service in base.services]
    for index, team in enumerate(base.teams):
        field = f'teams[{index}]'
        for name in team.services:
            if name not in services:
                allowed = f'services among {_join(services)}'
                yield _find(f'{field}.services', name, allowed)
        yield from _check_rate(field, team)


def _check_rate(field: str, team: Team) -> Iterator[Finding]:
    if not team.services:
        yield _find(f'{field}.services', team.services, 'at least one service')
    if team.burst < 1:
        yield _find(f'{field}.burst', team.burst, 'at least one request')


def _check_keys(base: Base) -> Iterator[Finding]:
    return _check_repeats(
        (f'teams[{index}].key_digests[{number}]', digest)
        for index, team in enumerate(base.teams)
        for number, digest in enumerate(team.key_digests)
    )


def _check_repeats(fields: Iterable[tuple[str, str]]) -> Iterator[Finding]:
    first_uses: dict[str, str] = {}
    for field, found in fields:
        first_use = first_uses.setdefault(found, field)
        if first_use != field:
            yield _find(field, found, f'a value not used by {first_use}')


def _check_timing(base: Base) -> Iterator[Finding]:
    timing = base.timing
    orders = [
        _get_timeout_s(service) for service in base.services if _is_order(service)
    ]
    longest_s = max([_get_timeout_s(service) for service in base.services], default=0)
    limits = (
        ('lease_s', LEASE_HEARTBEATS * timing.heartbeat_s, '3 heartbeats'),
        ('removal_after_s', REMOVAL_HEARTBEATS * timing.heartbeat_s, '3 heartbeats'),
        (
            'claim_lifetime_s',
            CLAIM_MARGIN_S + max(orders, default=0),
            'margin and order',
        ),
        ('quarantine_s', longest_s, 'the longest timeout of a service'),
    )
    for name, least, reason in limits:
        found = getattr(timing, name)
        if found < least:
            yield _find(f'timing.{name}', found, f'at least {least:g} s: {reason}')
    if orders and timing.claim_batch_s >= min(orders):
        allowed = f'less than {min(orders):g} s, the shortest timeout of an order'
        yield _find('timing.claim_batch_s', timing.claim_batch_s, allowed)
    if not base.policy.latency_weight + base.policy.headroom_weight:
        yield _find('policy.latency_weight', 0, 'one of the two weights above 0')


def _get_timeout_s(service) -> float:
    return service.timeout_ms / MS_PER_S


def _is_order(service) -> bool:
    return service.kind is ServiceKind.order


def _check_sites(deployment: Deployment) -> Iterator[Finding]:
    regions = [region.id for region in deployment.base.regions]
    for site in deployment.sites:
        if site.region not in regions:
            allowed = f'one of {_join(regions)}'
            yield Finding(_name_overlay(site.id), 'region', site.region, allowed)


def _check_blocks(deployment: Deployment) -> Iterator[Finding]:
    try:
        BlockTable.from_sites(deployment.sites)
    except BlocksOverlap as overlap:
        allowed = f'blocks outside {overlap.block} of {overlap.site}'
        place = _name_overlay(overlap.other_site)
        yield Finding(place, 'blocks', overlap.other_block, allowed)


def _name_overlay(site: str) -> str:
    return f'{OVERLAYS_DIRECTORY}/{site}{OVERLAY_SUFFIX}'


def _join(names) -> str:
    return ', '.join(names)
