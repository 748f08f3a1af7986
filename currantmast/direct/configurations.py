"""The configuration in force, and the choice of route, service and team for a request."""

from collections.abc import Iterable

from currantmast.direct.model import Configuration, Route, Team, WeightedService
from currantmast.direct.urgency import UrgencyRanks


class RouteTable:
    """Finds routes by host and longest path prefix.

    Every prefix ends with a slash, so only the parts of a path up to a slash are looked
    up. A match costs in proportion to the slashes of the path, not to the routes.

    Parameters
    ----------
    routes : iterable of Route
        All routes of one configuration. Of two with the same host and prefix, the first
        counts.
    """

    __slots__ = ('_by_prefix', '_longest')

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix: dict[tuple[str, str], Route] = {}
        # Length in characters of the longest prefix of each host.
        self._longest: dict[str, int] = {}
        for route in routes:
            self._by_prefix.setdefault((route.host, route.prefix), route)
            length = max(len(route.prefix), self._longest.get(route.host, 0))
            self._longest[route.host] = length

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RouteTable routes={len(self._by_prefix)}>'

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of `path`, or None."""
        end = path.rfind('/', 0, self._longest.get(host, 0))
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of each route over its services by weight.

    This is smooth weighted round robin: in any sequence of requests each service gets
    its weighted share, give or take less than one request.
    """

    __slots__ = ('_rotations',)

    def __init__(self) -> None:
        # By host and prefix of the route, as names need not be unique.
        self._rotations: dict[tuple[str, str], _Rotation] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<WeightedRoundRobin routes={len(self._rotations)}>'

    def pick(self, route: Route) -> WeightedService:
        """Return the service for the next request of `route`."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0]
        place = route.host, route.prefix
        rotation = self._rotations.get(place)
        if rotation is None or rotation.services != route.weighted_services:
            # What the weights of an older configuration left over has another scale.
            rotation = _Rotation(route.weighted_services)
            self._rotations[place] = rotation
        return rotation.pick()


class _Rotation:
    """Smooth weighted round robin over the services of one route."""

    __slots__ = ('_current_weights', '_total', 'services')

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        self.services = services
        self._current_weights: dict[str, float] = {}
        self._total = sum(weighted.weight for weighted in services)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<_Rotation services={len(self.services)}>'

    def pick(self) -> WeightedService:
        """Return the service for the next request."""
        current_weights = self._current_weights
        for weighted in self.services:
            current_weights[weighted.service] = (
                current_weights.get(weighted.service, 0) + weighted.weight
            )
        selected = max(
            self.services, key=lambda option: current_weights[option.service]
        )
        current_weights[selected.service] -= self._total
        return selected


class CurrentConfiguration:
    """The newest configuration seen by this process; an older one never replaces it."""

    __slots__ = ('_routes', 'has_overload_control', 'ranks', 'value')

    def __init__(self) -> None:
        self.value: Configuration | None = None
        self.has_overload_control = False
        self.ranks = UrgencyRanks()
        self._routes = RouteTable(())

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CurrentConfiguration version={self.version}>'

    @property
    def version(self) -> int:
        """Version in force; 0 before the first configuration."""
        return 0 if self.value is None else self.value.version

    def adopt(self, configuration: Configuration) -> bool:
        """Put `configuration` in force if it is newer; return whether it was."""
        if not self.accepts(configuration):
            return False
        ranks = UrgencyRanks(configuration)
        routes = RouteTable(configuration.routes)
        # Nothing of it is in force unless all of it could be read.
        self.value = configuration
        self.has_overload_control = configuration.has_overload_control
        self.ranks = ranks
        self._routes = routes
        return True

    def accepts(self, configuration: Configuration) -> bool:
        """Return whether `configuration` is newer than the one in force."""
        return self.value is None or configuration.version > self.version

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a request, or None."""
        return self._routes.match(host, path)

    def find_team(self, key: str) -> Team | None:
        """Return the team with the API key `key`, or None; an empty key is none."""
        if self.value is None or not key:
            return None
        name = self.value.keys.get(key)
        return None if name is None else self.value.teams.get(name)

    def refuses_key(self, key: str) -> bool:
        """Return whether `key` belongs to a team that can't be read."""
        return self.value is not None and key in self.value.refused_keys
