"""What an instance looks up in the deployment in force."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from currantmast.deployment import Deployment, Link, Service, Shift, Site, Target, Team
from currantmast.fields import parse_address

BYTES_PER_MBIT = 125_000
LINK_BURST_S = 0.25  # Seconds of a link's rate that may be sent at once.
SHIFT_BURST_S = 0.1  # Seconds of a shift's cap that may be moved at once.


class Route(NamedTuple):
    """A pair of regions, one direction."""

    source: str
    destination: str


class Budget(msgspec.Struct, frozen=True):
    """A token bucket that holds over the whole fleet.

    Parameters
    ----------
    name : str
        ``team:<id>``, ``link:<a>><b>`` or ``shift:<id>``.
    rate : float
        Units per second: requests, or bytes for links.
    burst : float
        Units that may be used at once.
    """

    name: str
    rate: float
    burst: float


class Inventory:
    """Indexes over one deployment, with the operations in force applied.

    Parameters
    ----------
    deployment : Deployment
        A deployment that passed `validation`.

    Attributes
    ----------
    services, teams, sites : Mapping
        Sections by id.
    links : Mapping
        `Link` by `Route`.
    targets : Mapping
        `Target` by id, which is its ``ip:port``.
    budgets : tuple of Budget
        Every budget of the fleet, ordered by name.
    """

    __slots__ = (
        'deployment',
        'services',
        'teams',
        'sites',
        'links',
        'targets',
        'budgets',
        '_groups',
        '_teams_by_digest',
        '_drained',
    )

    def __init__(self, deployment: Deployment) -> None:
        base = deployment.base
        self.deployment = deployment
        self.services: Mapping[str, Service] = _index(base.services)
        self.teams: Mapping[str, Team] = _index(base.teams)
        self.sites: Mapping[str, Site] = _index(deployment.sites)
        self.links: Mapping[Route, Link] = MappingProxyType(
            {Route(link.source, link.destination): link for link in base.links}
        )
        self.targets: Mapping[str, Target] = _index(list_targets(deployment))
        self.budgets = tuple(sorted(list_budgets(deployment), key=_get_name))
        self._groups = _group_targets(self.targets)
        self._teams_by_digest = index_keys(deployment)
        self._drained = frozenset(deployment.operations.drained)

    def list_targets(self, region: str, service: str) -> tuple[Target, ...]:
        """Return the targets of `service` in `region`, drained ones included."""
        return tuple(self._groups.get((region, service), ()))

    def find_team(self, digest: str) -> Team | None:
        """Return the team of a key.

        Parameters
        ----------
        digest : str
            SHA-256 of the key in hexadecimal.

        Returns
        -------
        Team or None
            None if the key is unknown or withdrawn.
        """
        return self.teams.get(self._teams_by_digest.get(digest, ''))

    def find_region(self, site: str) -> str | None:
        """Return the home region of `site`, None if the site is unknown."""
        known = self.sites.get(site)
        return known and known.region

    def list_shifts(self, site: str) -> tuple[Shift, ...]:
        """Return the active shifts of `site`."""
        shifts = self.deployment.operations.shifts
        return tuple(shift for shift in shifts if shift.site == site)

    def is_drained(self, kind: str, name: str) -> bool:
        """Return whether operators drain ``<kind>:<name>``."""
        return f'{kind}:{name}' in self._drained

    def is_target_drained(self, target: Target) -> bool:
        """Return whether `target` itself or its region is drained."""
        in_region = self.is_drained('region', target.region)
        return in_region or self.is_drained('target', target.id)

    def __repr__(self) -> str:
        """Return the deployment's name and sizes."""
        name = self.deployment.base.name
        return f'<Inventory {name} targets={len(self.targets)}>'


def list_targets(deployment: Deployment) -> Iterator[Target]:
    """Return every target of `deployment`, in the order of its pools."""
    for pool in deployment.base.pools:
        for text in pool.addresses:
            yield Target(
                id=text,
                service=pool.service,
                region=pool.region,
                failure_domain=pool.failure_domain,
                address=parse_address(text),
                slots=pool.slots,
                connections=pool.connections,
            )


def list_budgets(deployment: Deployment) -> Iterator[Budget]:
    """Return the budgets of teams, links and active shifts."""
    for team in deployment.base.teams:
        yield Budget(f'team:{team.id}', team.rate, team.burst)
    for link in deployment.base.links:
        rate = link.capacity_mbit_s * BYTES_PER_MBIT
        name = f'link:{link.source}>{link.destination}'
        yield Budget(name, rate, rate * LINK_BURST_S)
    for shift in deployment.operations.shifts:
        yield make_shift_budget(shift)


def make_shift_budget(shift: Shift) -> Budget:
    """Return the budget of `shift`.

    A bucket lets at most ``burst + rate * t`` requests through in any `t` seconds.
    Rate and burst add up to the cap, so that no window of a second or longer exceeds
    it. The burst is `SHIFT_BURST_S` of the cap, and at least one request.
    """
    burst = max(1, shift.cap_rate * SHIFT_BURST_S)
    return Budget(f'shift:{shift.id}', shift.cap_rate - burst, burst)


def index_keys(deployment: Deployment) -> dict[str, str]:
    """Return the team id of each key digest that works."""
    operations = deployment.operations
    teams = {
        digest: team.id for team in deployment.base.teams for digest in team.key_digests
    }
    teams.update(operations.issued_keys)
    for digest in operations.withdrawn_keys:
        teams.pop(digest, None)
    return teams


def _index(sections) -> Mapping:
    return MappingProxyType({section.id: section for section in sections})


def _get_name(budget: Budget) -> str:
    return budget.name


def _group_targets(targets: Mapping[str, Target]) -> dict[tuple, list[Target]]:
    groups = defaultdict(list)
    for target in targets.values():
        groups[(target.region, target.service)].append(target)
    return dict(groups)
