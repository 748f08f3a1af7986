"""Data types of direct steering: locations, routes, teams, targets and settings."""

from enum import Enum, StrEnum

import msgspec

from currantmast.direct.connectionslots import MAX_CONNECTIONS
from currantmast.direct.memory import DEFAULT_LIMIT_BYTES
from currantmast.messages import Address

# Priority of the most urgent requests; a larger number is less urgent.
HIGHEST_PRIORITY = 0


class Location(msgspec.Struct, frozen=True):
    """Region and failure domain of a target or an instance."""

    region: str
    failure_domain: str


class WorkKind(Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    upload = 'upload'
    download = 'download'

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in {WorkKind.idempotent, WorkKind.download}


class WeightedService(msgspec.Struct, frozen=True):
    """A service with its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host, prefix : str
        What a request must match; the prefix begins and ends with a slash.
    kind : WorkKind
        Whether requests may be retried.
    weighted_services : tuple of WeightedService
        Services that share the requests, with weights above 0.
    timeout_s : float
        Longest time in seconds until the caller gets an answer.
    latency_objective_s : float
        Latency objective in seconds, from the arrival of the request.
    attempts : int
        Maximum number of targets to which one request may be sent.
    priority : int
        Priority; 0 is the highest.
    keyless : bool
        Whether callers need no key.
    allowed_regions : frozenset of str
        Regions that may serve the route; empty when all may.
    has_affinity : bool
        Whether targets are faster with objects that they handled recently.
    is_readable : bool
        False if only host and prefix could be read; its requests are refused.
    """

    name: str
    host: str
    prefix: str
    kind: WorkKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    latency_objective_s: float
    attempts: int = 1
    priority: int = 0
    keyless: bool = False
    allowed_regions: frozenset[str] = frozenset()
    has_affinity: bool = False
    is_readable: bool = True


class Service(msgspec.Struct, frozen=True):
    """A service with the limits of its targets.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one target accepts from all instances together.
    cold_s : float
        Seconds after its start for which a target is cold and takes fewer requests.
    cold_rate : float
        Requests per second that a cold target can take; 0 means no limit.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 1
    cold_s: float = 0
    cold_rate: float = 0


class Team(msgspec.Struct, frozen=True):
    """A team with its rate limit and regions.

    Parameters
    ----------
    name : str
        Name of the team.
    rate : float
        Requests per second over the whole fleet; 0 means no limit.
    burst : float
        Requests that may come at once after a pause, as the size of a token bucket.
    allowed_regions : frozenset of str
        Regions that may serve the team; empty when all may.
    priority : int or None
        Priority that overrides the route's; None when the route's applies.
    """

    name: str
    rate: float = 0
    burst: float = 0
    allowed_regions: frozenset[str] = frozenset()
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and time limits of a caller's requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request head and body, in bytes.
    header_timeout_s : float
        Seconds within which the whole head must arrive.
    idle_s : float
        Seconds for which a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_s: float = 15


class EntryFault(msgspec.Struct, frozen=True):
    """An entry of a configuration that can't be used as it stands.

    Parameters
    ----------
    path : str
        Where the fault is in the document.
    name : str
        Name of the entry; empty if it has none.
    reason : str
        What is wrong; never holds a key.
    """

    path: str
    name: str
    reason: str


class Configuration(msgspec.Struct, frozen=True):
    """One version of the whole configuration.

    Parameters
    ----------
    version : int
        Version number; increases with every change.
    routes : tuple of Route
        All routes.
    services : dict of Service
        By name.
    teams : dict of Team
        By name.
    keys : dict of str
        Team names by API key; never logged.
    limits : CallerLimits
        Limits of callers' requests.
    refused_keys : frozenset of str
        API keys of teams that can't be read; never logged.
    has_unreadable_team : bool
        Whether a team can't be read.
    faults : tuple of EntryFault
        Entries that were left out, or are used only in part.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: dict[str, Team]
    keys: dict[str, str]
    limits: CallerLimits = CallerLimits()
    refused_keys: frozenset[str] = frozenset()
    has_unreadable_team: bool = False
    faults: tuple[EntryFault, ...] = ()

    @property
    def requires_keys(self) -> bool:
        """Whether routes that aren't keyless need a key."""
        return bool(self.teams) or self.has_unreadable_team

    @property
    def has_overload_control(self) -> bool:
        """Whether requests are queued, rejected and placed by overload control.

        A configuration asks for it by ranking at least one route of its teams highest.
        Routes that need no key belong to no team, and are often left without a rank.
        """
        return any(
            route.is_readable
            and route.priority == HIGHEST_PRIORITY
            and not route.keyless
            for route in self.routes
        )


class TargetState(StrEnum):
    """State that a target reports of itself."""

    ready = 'ready'
    draining = 'draining'


class TargetRecord(msgspec.Struct, frozen=True):
    """A target as the store lists it.

    Parameters
    ----------
    id : str
        Id of the target.
    service : str
        Service that it belongs to.
    address : Address
        Where it listens; another target may have used the address before.
    location : Location
        Where it runs.
    slots : int
        Requests that it runs at the same time.
    state : TargetState
        Whether it accepts requests.
    cold_left_s : float
        Seconds for which it stays cold, from the moment the record was written.
    started_at_ms : int
        Unix milliseconds of its start; distinguishes runs under the same id.
    sequence : int
        Rises with each statement of a run.
    """

    id: str
    service: str
    address: Address
    location: Location
    slots: int
    state: TargetState = TargetState.ready
    cold_left_s: float = 0
    started_at_ms: int = 0
    sequence: int = 0


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as the store lists it.

    Parameters
    ----------
    id : str
        Name of the instance, stable over restarts.
    incarnation : str
        Random token that is new at each start of the process.
    location : Location
        Where it runs.
    public, peer : Address
        Addresses on which it listens for callers, and for datagrams of peers.
    capacity : float
        Processor cores that it may use, or fewer if its network link is slow.
    """

    id: str
    incarnation: str
    location: Location
    public: Address
    peer: Address
    capacity: float = 1


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the operator sets for the whole fleet.

    Parameters
    ----------
    revoke_s : float
        Seconds within which a withdrawn key must stop working everywhere.
    grace_s : float
        Seconds from a planned stop until the process is killed.
    retry_ratio, retry_extra, retry_window_s : float
        In any window of `retry_window_s` seconds the fleet may send a service
        `retry_ratio` times its requests plus `retry_extra` retries.
    cold_factor, cold_extra : float
        A cold target gets at most its rate times the factor, plus the extra, per second.
    rate_slack : float
        Requests by which a team may exceed its rate in any few seconds.
    recovery_s : float
        Seconds after the end of a failure of an instance, its links or the store within
        which it must act on the store's present state.
    expiry_s : float
        Seconds for which a target must fail to renew its entry before it can expire.
    lapse_s : float
        Seconds after which the entry of a target that no longer renews it has expired.
    lookup_ttl_s : float
        Longest lifetime of a look-up answer, in seconds.
    propagation_s : float
        Seconds within which a change of targets or of the configuration in the store must
        be acted on.
    evacuation_s : float
        The same for an evacuation.
    """

    revoke_s: float = 5
    grace_s: float = 6
    retry_ratio: float = 0.2
    retry_extra: float = 20
    retry_window_s: float = 10
    cold_factor: float = 1.5
    cold_extra: float = 5
    rate_slack: float = 0
    recovery_s: float = 3
    expiry_s: float = 3
    lapse_s: float = 4.5
    lookup_ttl_s: float = 5
    propagation_s: float = 2.5
    evacuation_s: float = 5


class DirectSettings(msgspec.Struct, frozen=True):
    """Settings of one instance.

    Parameters
    ----------
    id : str
        Name of the instance.
    location : Location
        Where it runs.
    public, readiness, lookup : Address
        Addresses to listen on for requests, readiness checks and look-ups.
    peer : Address
        Address to listen on for datagrams of other instances.
    metrics : Address
        Address that serves the metrics.
    store : Address
        Address of the platform's object store.
    regions : dict of str
        Region of each failure domain.
    bounds : Bounds
        Limits of the whole fleet.
    capacity : float
        Processor cores that it may use, or fewer if its network link is slow.
    bootstrap : bool
        Whether the whole fleet starts for the first time.
    memory_bytes : int
        Most bytes that it holds for callers and targets.
    max_connections : int
        Most connections of callers.
    """

    id: str
    location: Location
    public: Address
    readiness: Address
    lookup: Address
    peer: Address
    metrics: Address
    store: Address
    regions: dict[str, str]
    bounds: Bounds = Bounds()
    capacity: float = 1
    bootstrap: bool = False
    memory_bytes: int = DEFAULT_LIMIT_BYTES
    max_connections: int = MAX_CONNECTIONS
