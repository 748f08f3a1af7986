"""Explanation of the choice of a route, from a configuration alone; without I/O."""

import msgspec

from currantmast.direct.configurations import RouteTable
from currantmast.direct.model import Configuration, Route, Team


class RouteVerdict(msgspec.Struct, frozen=True):
    """A route of the host, and why it is or isn't the one for a path."""

    route: str
    prefix: str
    verdict: str


class RouteChoice(msgspec.Struct, frozen=True):
    """Which route a request takes, and why not the others.

    Parameters
    ----------
    route : str
        Name of the route; empty for none.
    outcome : str
        What happens to a request.
    services : tuple of str
        Services with their weights.
    regions : tuple of str
        Regions that may serve it; empty for all.
    verdicts : tuple of RouteVerdict
        All routes of the host.
    other_hosts : int
        Number of routes of other hosts.
    """

    route: str
    outcome: str
    services: tuple[str, ...]
    regions: tuple[str, ...]
    verdicts: tuple[RouteVerdict, ...]
    other_hosts: int


def explain_choice(
    configuration: Configuration, host: str, path: str, team: str
) -> RouteChoice:
    """Return how a request of `team` (empty for none) to `host` and `path` is routed."""
    host_name = host.partition(':')[0].lower()
    plain_path = path.partition('?')[0]
    chosen = RouteTable(configuration.routes).match(host_name, plain_path)
    same_host = [route for route in configuration.routes if route.host == host_name]
    weighted = chosen.weighted_services if chosen else ()
    found = configuration.teams.get(team)
    regions = _list_regions(chosen, found) if chosen else frozenset()
    return RouteChoice(
        route=chosen.name if chosen else '',
        outcome=_find_outcome(configuration, chosen, team),
        services=tuple(f'{option.service}:{option.weight:g}' for option in weighted),
        regions=tuple(sorted(regions)),
        verdicts=tuple(_judge(route, chosen, plain_path) for route in same_host),
        other_hosts=len(configuration.routes) - len(same_host),
    )


def _find_outcome(configuration: Configuration, chosen: Route | None, team: str) -> str:
    if chosen is None:
        return 'refused with 404: no route matches'
    if not chosen.is_readable:
        return 'refused with 503: the entry of the route is unreadable'
    if chosen.keyless or not configuration.requires_keys:
        return 'served without a key'
    if not team:
        return 'needs the key of a team'
    return _find_team_outcome(chosen, configuration.teams.get(team))


def _find_team_outcome(chosen: Route, team: Team | None) -> str:
    if team is None:
        return 'refused: there is no readable team of this name'
    if _list_regions(chosen, team) == {''}:
        return 'refused with 503: route and team have no common region'
    return f'served for team {team.name}'


def _list_regions(route: Route, team: Team | None) -> frozenset[str]:
    """Return the allowed regions: empty for all, one empty name for none."""
    homes = team.allowed_regions if team and not route.keyless else frozenset()
    if not homes or not route.allowed_regions:
        return homes or route.allowed_regions
    return (homes & route.allowed_regions) or frozenset(('',))


def _judge(route: Route, chosen: Route | None, path: str) -> RouteVerdict:
    return RouteVerdict(route.name, route.prefix, _find_verdict(route, chosen, path))


def _find_verdict(route: Route, chosen: Route | None, path: str) -> str:
    if route is chosen:
        return 'chosen: the longest prefix that begins the path'
    if not path.startswith(route.prefix):
        return 'its prefix does not begin the path'
    if not route.prefix.endswith('/'):
        return 'its prefix does not end with a slash'
    if chosen is None or route.prefix == chosen.prefix:
        return 'an earlier route has the same prefix'
    return 'a longer prefix matches'
