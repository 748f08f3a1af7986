"""Ranks of requests by priority, which decide who is served when not all can be.

The team's priority goes before the route's, and the route's decides among teams of one
priority. When targets shed requests, the retry budget is what is short: the most urgent
requests take from it first, at every instance alike and without a message between them.
"""

from collections.abc import Iterable

import msgspec

from currantmast.direct.model import Configuration, Route, Team


class Urgency(msgspec.Struct, frozen=True, order=True):
    """Priorities by which a request is ranked; a smaller one is more urgent.

    Parameters
    ----------
    team, route : int
        Priority of the team, or the route's if the team has none, and of the route.
    """

    team: int
    route: int

    def __str__(self) -> str:
        """Return it as logs and metrics show it."""
        return f'{self.team}.{self.route}'


class UrgencyRanks:
    """The urgencies that a configuration knows, by service.

    Parameters
    ----------
    configuration : Configuration or None
        The configuration; None for no ranks.
    """

    __slots__ = ('_ranks', 'enabled')

    def __init__(self, configuration: Configuration | None = None) -> None:
        self._ranks: dict[str, dict[Urgency, float]] = {}
        # Whether requests are ranked at all.
        self.enabled = bool(configuration and configuration.has_overload_control)
        if configuration is not None and self.enabled:
            self._ranks = _rank_services(configuration)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<UrgencyRanks services={len(self._ranks)}>'

    def get_rank(self, service: str, urgency: Urgency) -> float:
        """Return a rank from 0, the most urgent at `service`, to 1, the least urgent."""
        return self._ranks.get(service, {}).get(urgency, 0)


def make_urgency(team: Team | None, route: Route) -> Urgency:
    """Return the urgency of a request of `team` on `route`."""
    priority = team.priority if team else None
    return Urgency(route.priority if priority is None else priority, route.priority)


def _rank_services(configuration: Configuration) -> dict[str, dict[Urgency, float]]:
    by_priority = {team.priority: team for team in configuration.teams.values()}
    teams = (None, *by_priority.values())
    urgencies: dict[str, set[Urgency]] = {}
    for route in configuration.routes:
        found = {make_urgency(team, route) for team in teams}
        for weighted in route.weighted_services:
            urgencies.setdefault(weighted.service, set()).update(found)
    return {service: _rank(found) for service, found in urgencies.items()}


def _rank(urgencies: Iterable[Urgency]) -> dict[Urgency, float]:
    ordered = sorted(urgencies)
    steps = max(1, len(ordered) - 1)
    return {urgency: index / steps for index, urgency in enumerate(ordered)}
