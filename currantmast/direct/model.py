"""What direct steering knows of its world: places, routes, teams and targets."""

from enum import Enum, StrEnum

import msgspec

from currantmast.messages import Address


class Place(msgspec.Struct, frozen=True):
    """Where something runs."""

    region: str
    failure_domain: str


class WorkKind(Enum):
    """What may be repeated."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    upload = 'upload'

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is WorkKind.idempotent


class Part(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name : str
        Name of the route.
    host, prefix : str
        What a request must match; the prefix begins and ends with a slash.
    kind : WorkKind
        What may be repeated.
    parts : tuple of Part
        Services, with weights above 0.
    timeout_s : float
        Longest time in seconds that a caller is kept waiting.
    latency_objective_s : float
        Time in seconds within which an answer is worth most.
    attempts : int
        Most targets to which one request may be sent.
    priority : int
        Rank; 0 is the highest.
    open : bool
        Whether callers need no key.
    homes : frozenset of str
        Regions that may serve it; empty when all may.
    by_object : bool
        Whether targets are faster with objects that they handled lately.
    """

    name: str
    host: str
    prefix: str
    kind: WorkKind
    parts: tuple[Part, ...]
    timeout_s: float
    latency_objective_s: float
    attempts: int = 1
    priority: int = 0
    open: bool = False
    homes: frozenset[str] = frozenset()
    by_object: bool = False


class Service(msgspec.Struct, frozen=True):
    """A service and what its targets tolerate.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health query.
    max_connections : int
        Connections that one target accepts from all instances.
    cold_s : float
        Seconds for which a target stays cold after its start.
    cold_rate : float
        Requests per second that a cold target tolerates; 0 when there is no bound.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 1
    cold_s: float = 0
    cold_rate: float = 0


class Team(msgspec.Struct, frozen=True):
    """A team with its limits.

    Parameters
    ----------
    name : str
        Name of the team.
    rate : float
        Requests per second over the whole fleet; 0 means no limit.
    burst : float
        Requests beyond the rate that may come at once.
    homes : frozenset of str
        Regions that may serve it; empty when all may.
    priority : int or None
        Rank that takes precedence over the route's.
    """

    name: str
    rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request head and body.
    header_timeout_s : float
        Time in seconds for a whole head.
    idle_s : float
        Time in seconds for which a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_s: float = 15


class Configuration(msgspec.Struct, frozen=True):
    """The whole configuration of one version.

    Parameters
    ----------
    version : int
        Grows with every change.
    routes : tuple of Route
        All routes.
    services : dict of Service
        By name.
    teams : dict of Team
        By name.
    keys : dict of str
        Team names by key; never logged.
    limits : CallerLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: dict[str, Team]
    keys: dict[str, str]
    limits: CallerLimits = CallerLimits()


class TargetState(StrEnum):
    """What a target says of itself."""

    ready = 'ready'
    draining = 'draining'


class TargetRecord(msgspec.Struct, frozen=True):
    """A target as the list names it.

    Parameters
    ----------
    id : str
        Identity of one run of the target.
    service : str
        Service that it belongs to.
    address : Address
        Where it listens; may have belonged to another target.
    place : Place
        Where it runs.
    slots : int
        Requests that it runs at once.
    state : TargetState
        Whether it takes work.
    cold_left_s : float
        Seconds for which it stays cold, counted from when the record was written.
    started_at_ms : int
        Unix milliseconds of its start; tells runs under one id apart.
    """

    id: str
    service: str
    address: Address
    place: Place
    slots: int
    state: TargetState = TargetState.ready
    cold_left_s: float = 0
    started_at_ms: int = 0


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as the store lists it.

    Parameters
    ----------
    id : str
        Name of the machine's instance, stable over restarts.
    incarnation : str
        Random token of one run.
    place : Place
        Where it runs.
    public, peer : Address
        Listeners for callers and for datagrams of peers.
    """

    id: str
    incarnation: str
    place: Place
    public: Address
    peer: Address


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the operator sets for the whole fleet.

    Parameters
    ----------
    revoke_s : float
        Seconds within which a withdrawn key must stop working everywhere.
    grace_s : float
        Seconds between a planned stop and the kill.
    retry_ratio, retry_extra, retry_window_s : float
        Repeats allowed in a window: a share of the requests, and a number beside it.
    cold_factor, cold_extra : float
        A cold target gets at most its rate times the factor plus the extra in a second.
    lookup_ttl_s : float
        Longest lifetime of a look-up answer, in seconds.
    """

    revoke_s: float = 5
    grace_s: float = 6
    retry_ratio: float = 0.2
    retry_extra: float = 20
    retry_window_s: float = 10
    cold_factor: float = 1.5
    cold_extra: float = 5
    lookup_ttl_s: float = 5


class DirectSettings(msgspec.Struct, frozen=True):
    """What one instance is told when it starts.

    Parameters
    ----------
    id : str
        Name of the instance.
    place : Place
        Where it runs.
    public, readiness, lookup : Address
        Listeners for requests, readiness queries and look-ups.
    peer : Address
        Listener for datagrams of other instances.
    metrics : Address
        Listener for metrics.
    store : Address
        The platform's object store.
    regions : dict of str
        Region of each failure domain.
    bounds : Bounds
        Limits in force.
    """

    id: str
    place: Place
    public: Address
    readiness: Address
    lookup: Address
    peer: Address
    metrics: Address
    store: Address
    regions: dict[str, str]
    bounds: Bounds = Bounds()
