"""The deployment that a configuration version puts in force."""

from enum import StrEnum

import msgspec

from currantmast.messages import Address


class ServiceKind(StrEnum):
    """What a service does with a request."""

    lookup = 'lookup'
    order = 'order'
    upload = 'upload'


class PolicyKind(StrEnum):
    """Which decision policy is in force."""

    adaptive = 'adaptive'
    plain = 'plain'


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all parts of a deployment file."""


class Policy(Section, frozen=True):
    """Decision policy and its weights.

    Parameters
    ----------
    kind : PolicyKind
        ``adaptive``, or the ``plain`` baseline (round robin, static equal shares).
    latency_weight, headroom_weight : float
        Relative weights of network delay and of free slots in routing.
    retry_ratio : float
        Retries as a fraction of requests.
    queue_wait_ms : int
        Longest time in milliseconds that a request waits for a slot.
    floor_share : float
        Fraction of each budget that is split equally over the instances.
    """

    kind: PolicyKind = PolicyKind.adaptive
    latency_weight: float = 1
    headroom_weight: float = 1
    retry_ratio: float = 0.1
    queue_wait_ms: int = 500
    floor_share: float = 0.05


class Timing(Section, frozen=True):
    """Periods and lifetimes, in seconds."""

    heartbeat_s: float = 0.5
    lease_s: float = 3
    removal_after_s: float = 3
    lookup_lifetime_s: float = 5
    claim_lifetime_s: float = 900
    claim_batch_s: float = 0.1
    quarantine_s: float = 600


class Region(Section, frozen=True):
    """A region and its failure domains."""

    id: str
    failure_domains: tuple[str, ...]


class Link(Section, frozen=True):
    """The link from one region to another, one direction.

    Parameters
    ----------
    source, destination : str
        Regions.
    capacity_mbit_s : float
        Capacity in Mbit/s, shared by all traffic.
    delay_ms : float
        One-way delay in milliseconds.
    """

    source: str
    destination: str
    capacity_mbit_s: float
    delay_ms: float


class Service(Section, frozen=True):
    """A service that callers may use.

    Parameters
    ----------
    timeout_ms : int
        Longest time in milliseconds that one request may take.
    max_body_bytes : int
        Largest request body.
    open_to_all : bool
        Whether requests without a key are served.
    """

    id: str
    kind: ServiceKind
    timeout_ms: int
    max_body_bytes: int = 1_048_576
    open_to_all: bool = False
    queue_limit: int = 64

    @property
    def idempotent(self) -> bool:
        """Whether a request may be sent again."""
        return self.kind is ServiceKind.lookup


class Pool(Section, frozen=True):
    """Targets of one service in one failure domain.

    Parameters
    ----------
    slots : int
        Requests that one target runs at once.
    connections : int
        Connections that one target accepts.
    addresses : tuple of str
        ``ip:port`` of each target.
    """

    service: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    addresses: tuple[str, ...]


class Team(Section, frozen=True):
    """A tenant with its rate over the whole fleet.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : float
        Requests at once.
    services : tuple of str
        Services that the team may use.
    key_digests : tuple of str
        SHA-256 of each key, in hexadecimal.
    """

    id: str
    rate: float
    burst: float
    services: tuple[str, ...]
    key_digests: tuple[str, ...] = ()


class Site(Section, frozen=True):
    """A place with callers; one overlay file each.

    Parameters
    ----------
    region : str
        Home region.
    delay_ms : float
        One-way delay in milliseconds to instances of the home region.
    blocks : tuple of str
        Client address blocks in CIDR notation.
    """

    id: str
    region: str
    delay_ms: float
    blocks: tuple[str, ...]


class Shift(Section, frozen=True):
    """A planned move of a site's traffic to another region.

    Parameters
    ----------
    fraction : float
        Part of the site's requests to move, from 0 to 1.
    cap_rate : float
        Most requests per second that may be moved, over the whole fleet.
    """

    id: str
    site: str
    source: str
    destination: str
    fraction: float
    cap_rate: float


class Operations(Section, frozen=True):
    """Changes that operators make while traffic runs.

    Parameters
    ----------
    drained : tuple of str
        ``target:<ip:port>``, ``instance:<id>`` or ``region:<id>``.
    shifts : tuple of Shift
        Active shifts.
    issued_keys : dict
        Team by key digest.
    withdrawn_keys : tuple of str
        Digests that no longer work.
    """

    drained: tuple[str, ...] = ()
    shifts: tuple[Shift, ...] = ()
    issued_keys: dict[str, str] = {}
    withdrawn_keys: tuple[str, ...] = ()


class Target(msgspec.Struct, frozen=True):
    """One back-end server."""

    id: str
    service: str
    region: str
    failure_domain: str
    address: Address
    slots: int
    connections: int


class Base(Section, frozen=True):
    """Content of ``base.yaml``: all but the sites."""

    name: str
    regions: tuple[Region, ...]
    links: tuple[Link, ...]
    services: tuple[Service, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]
    policy: Policy = Policy()
    timing: Timing = Timing()


class Deployment(Section, frozen=True):
    """A base with the sites of its overlays."""

    base: Base
    sites: tuple[Site, ...]
    operations: Operations = Operations()


class Configuration(msgspec.Struct, frozen=True):
    """A deployment under its version number."""

    version: int
    deployment: Deployment
