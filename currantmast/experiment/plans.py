"""Which processes a local fleet has, and where they listen."""

import hashlib
import random
from collections import defaultdict

import msgspec
from msgspec.structs import replace

from currantmast.deployment import Deployment, Pool, Region, Team
from currantmast.experiment.instances import InstancePlan
from currantmast.experiment.links import LinkPlan, LinkPlanner, ProxyPlan
from currantmast.experiment.ports import PortReserver
from currantmast.messages import Address

INSTANCES_PER_REGION = 3
STORE_HOST = '127.30.0.1'
KEY_BITS = 128


class HostedTarget(msgspec.Struct, frozen=True):
    """One target and the pool it belongs to."""

    service: str
    address: Address
    slots: int
    connections: int


class TargetHost(msgspec.Struct, frozen=True):
    """The process that hosts all targets of one failure domain."""

    name: str
    region: str
    control: Address
    targets: tuple[HostedTarget, ...]


class FleetPlan(msgspec.Struct, frozen=True):
    """Everything that a local fleet starts.

    Parameters
    ----------
    deployment : Deployment
        Derived deployment: local addresses, keys of this run.
    instances : tuple of InstancePlan
        Instances in the order of their regions.
    hosts : tuple of TargetHost
        Target processes.
    store : Address
        Listener of the object API.
    keys : dict
        Key of each team by team id.
    proxies : tuple of ProxyPlan
        Fault proxies; none where instances connect directly.
    """

    deployment: Deployment
    instances: tuple[InstancePlan, ...]
    hosts: tuple[TargetHost, ...]
    store: Address
    keys: dict[str, str]
    proxies: tuple[ProxyPlan, ...] = ()

    def list_links(self, source: str) -> tuple[LinkPlan, ...]:
        """Return the proxied links that start at the instance `source`."""
        return tuple(
            link
            for proxy in self.proxies
            for link in proxy.links
            if link.source == source
        )

    def get_instance(self, instance_id: str) -> InstancePlan:
        """Return the plan of one instance."""
        return next(plan for plan in self.instances if plan.id == instance_id)

    def find_host(self, target: str) -> TargetHost:
        """Return the process that hosts the target at `target` (``ip:port``)."""
        for host in self.hosts:
            if any(str(hosted.address) == target for hosted in host.targets):
                return host
        raise KeyError(target)


def make_plan(
    deployment: Deployment,
    seed: int,
    instances_per_region: int = INSTANCES_PER_REGION,
    faults: bool = False,
) -> FleetPlan:
    """Return the plan of a local fleet for `deployment`.

    Parameters
    ----------
    deployment : Deployment
        Deployment as its directory holds it.
    seed : int
        Seed of the keys.
    instances_per_region : int
        Instances of each region, spread over its failure domains.
    faults : bool
        Whether fault proxies carry all links, with the deployment's delays.
    """
    with PortReserver() as ports:
        hosts = _plan_hosts(deployment, ports)
        instances = _plan_instances(deployment, ports, instances_per_region)
        store = ports.reserve(STORE_HOST)
        planner = LinkPlanner(deployment, instances, store)
        proxies = tuple(planner.plan_proxies(ports)) if faults else ()
    keys = _make_keys(deployment, seed)
    derived = _derive_deployment(deployment, hosts, keys)
    return FleetPlan(derived, instances, hosts, store, keys, proxies)


def digest_key(key: str) -> str:
    """Return the digest under which a configuration lists `key`."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_key(generator: random.Random, team: str) -> str:
    """Return a new key for `team`."""
    return f'{team}.{generator.getrandbits(KEY_BITS):032x}'


def _plan_instances(
    deployment: Deployment, ports: PortReserver, count: int
) -> tuple[InstancePlan, ...]:
    return tuple(
        _plan_instance(region, ports, f'127.10.{number}.{index + 1}', index)
        for number, region in enumerate(deployment.base.regions)
        for index in range(count)
    )


def _plan_instance(
    region: Region, ports: PortReserver, host: str, index: int
) -> InstancePlan:
    domains = region.failure_domains
    return InstancePlan(
        id=f'{region.id}-{index + 1}',
        region=region.id,
        failure_domain=domains[index % len(domains)],
        public=ports.reserve(host),
        peer=ports.reserve(host),
        control=ports.reserve(host),
    )


def _plan_hosts(deployment: Deployment, ports: PortReserver) -> tuple[TargetHost, ...]:
    pools = defaultdict(list)
    for pool in deployment.base.pools:
        pools[(pool.region, pool.failure_domain)].append(pool)
    return tuple(
        _plan_host(place, members, ports, f'127.20.0.{number + 1}')
        for number, (place, members) in enumerate(pools.items())
    )


def _plan_host(
    place: tuple[str, str], pools: list[Pool], ports: PortReserver, host: str
) -> TargetHost:
    region, domain = place
    targets = tuple(
        HostedTarget(pool.service, ports.reserve(host), pool.slots, pool.connections)
        for pool in pools
        for _ in pool.addresses
    )
    return TargetHost(f'targets-{domain}', region, ports.reserve(host), targets)


def _make_keys(deployment: Deployment, seed: int) -> dict[str, str]:
    generator = random.Random(seed)
    return {team.id: make_key(generator, team.id) for team in deployment.base.teams}


def _derive_deployment(
    deployment: Deployment, hosts: tuple[TargetHost, ...], keys: dict[str, str]
) -> Deployment:
    addresses = iter([str(target.address) for host in hosts for target in host.targets])
    # Hosts list their pools in the order of the deployment's pools of one failure domain.
    ordered = sorted(deployment.base.pools, key=_make_host_order(deployment))
    pools = tuple(
        replace(pool, addresses=tuple(next(addresses) for _ in pool.addresses))
        for pool in ordered
    )
    teams = tuple(_give_key(team, keys[team.id]) for team in deployment.base.teams)
    return replace(deployment, base=replace(deployment.base, pools=pools, teams=teams))


def _make_host_order(deployment: Deployment):
    places = list(
        dict.fromkeys(
            (pool.region, pool.failure_domain) for pool in deployment.base.pools
        )
    )
    return lambda pool: places.index((pool.region, pool.failure_domain))


def _give_key(team: Team, key: str) -> Team:
    return replace(team, key_digests=(digest_key(key),))
