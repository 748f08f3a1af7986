"""Deployments, fleets and messages of chosen sizes, for the measurement of slopes."""

import struct
from itertools import permutations

from currantmast.clocks import Clock
from currantmast.decisions.membership import choose_witnesses
from currantmast.decisions.ownership import choose_owner
from currantmast.deployment import (
    Base,
    Configuration,
    Deployment,
    Link,
    Pool,
    Region,
    Service,
    ServiceKind,
    Site,
    Team,
)
from currantmast.messages import (
    Address,
    Capacity,
    Demand,
    FleetRecord,
    Heartbeat,
    Member,
    ShareHeld,
)
from currantmast.steering import Steering

SITES = 450
REGIONS = 20
FAILURE_DOMAINS = 44
TEAMS = 8
LINK_MBIT_S = 1000
LINK_DELAY_MS = 20
PREFIX = 24
HOST_BITS = 8
NUMBERS = 1 << PREFIX
STRIDE = 7919  # Odd, so that multiples modulo a power of two are all different.
BASE_ADDRESS = 10 << PREFIX
FIRST_BUDGET = 'team:team00000'
SERVICES = ('lookup', 'orders', 'uploads')

_ROW = struct.Struct('>IB')


def make_address(number: int, port: int = 8080) -> Address:
    """Return the private address with that number."""
    parts = (BASE_ADDRESS + number).to_bytes(4, 'big')
    return Address('.'.join(map(str, parts)), port)


def make_member(number: int, regions: int = REGIONS) -> Member:
    """Return one member; regions and failure domains take turns."""
    return Member(
        id=f'region{number % regions:02}-{number:05}',
        incarnation=f'{number:016x}',
        region=f'region{number % regions:02}',
        failure_domain=f'domain{number % FAILURE_DOMAINS:02}',
        public=make_address(number, 8080),
        peer=make_address(number, 8081),
        control=make_address(number, 8082),
    )


def make_record(count: int, epoch: int = 1, regions: int = REGIONS) -> FleetRecord:
    """Return a fleet record of `count` members."""
    members = [make_member(number, regions) for number in range(count)]
    ordered = tuple(sorted(members, key=lambda member: member.id))
    return FleetRecord(epoch, ordered, choose_witnesses(ordered))


def make_sites(blocks: int, count: int = SITES) -> tuple[Site, ...]:
    """Return `count` sites that hold `blocks` different /24 blocks together."""
    packed = [bytearray() for _ in range(count)]
    for index in range(blocks):
        start = (index * STRIDE % NUMBERS) << HOST_BITS
        packed[index % count] += _ROW.pack(start, PREFIX)
    return tuple(
        Site(
            id=f'site{number:03}',
            region=f'region{number % REGIONS:02}',
            delay_ms=3,
            packed_blocks=bytes(part),
        )
        for number, part in enumerate(packed)
    )


def make_deployment(
    blocks: int = 0, teams: int = TEAMS, targets: int = 60, links: bool = False
) -> Deployment:
    """Return a deployment of chosen sizes; links join all regions if asked for."""
    regions = [f'region{number:02}' for number in range(REGIONS)]
    pairs = tuple(permutations(regions, 2)) if links else ()
    base = Base(
        name='synthetic',
        regions=tuple(Region(region, (f'{region}-a',)) for region in regions),
        links=tuple(Link(*pair, LINK_MBIT_S, LINK_DELAY_MS) for pair in pairs),
        services=tuple(Service(name, ServiceKind.lookup, 1000) for name in SERVICES),
        pools=tuple(_make_pools(regions, targets)),
        teams=tuple(_make_team(number) for number in range(teams)),
    )
    return Deployment(base, make_sites(blocks))


def make_steering(clock: Clock, deployment: Deployment, members: int) -> Steering:
    """Return the state of the member that owns the budget of the first team.

    The fleet has `members` members.
    """
    record = make_record(members)
    owner = choose_owner(record, FIRST_BUDGET)
    steering = Steering(clock, owner, deployment.base.timing)
    steering.adopt_configuration(Configuration(1, deployment))
    steering.adopt_record(record)
    return steering


def make_heartbeat(member: Member, budgets: tuple[str, ...], now: float) -> Heartbeat:
    """Return a heartbeat with demand for and a share of each of `budgets`."""
    return Heartbeat(
        sender=member.id,
        incarnation=member.incarnation,
        epoch=1,
        version=1,
        sent_at=now,
        ready=True,
        demands=tuple(Demand(name, 10.123456789) for name in budgets),
        shares=tuple(
            ShareHeld(name, 1, 10, 10.123456789, 3.123456789) for name in budgets
        ),
        capacity=tuple(Capacity(service, 12, 20, 0) for service in SERVICES),
    )


def _make_team(number: int) -> Team:
    return Team(f'team{number:05}', 1000, 500, SERVICES, (f'{number:064x}',))


def _make_pools(regions: list[str], targets: int):
    for number, region in enumerate(regions):
        chosen = range(number, targets, len(regions))
        addresses = tuple(str(make_address(target)) for target in chosen)
        if addresses:
            service = SERVICES[number % len(SERVICES)]
            yield Pool(service, region, f'{region}-a', 4, 100, addresses)
