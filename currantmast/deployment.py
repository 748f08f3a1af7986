"""The deployment that a configuration version puts in force."""

from enum import StrEnum
from typing import Annotated

import msgspec

from currantmast.fields import (
    Count,
    Digest,
    Fraction,
    Identifier,
    Milliseconds,
    NotNegative,
    Positive,
)
from currantmast.messages import Address

# A shift's burst is at least one request and the sum of rate and burst is its cap
# (see `inventory`), so a lower cap would leave no rate.
CapRate = Annotated[float, msgspec.Meta(ge=2)]


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
    rate_wait_ms : int
        Longest time in milliseconds that a request above its team's share waits for it.
    queue_wait_ms : int
        Longest time in milliseconds that a request waits for a slot.
    floor_share : float
        Fraction of each budget that is split equally over the instances.
    """

    kind: PolicyKind = PolicyKind.adaptive
    latency_weight: NotNegative = 1
    headroom_weight: NotNegative = 1
    retry_ratio: Fraction = 0.1
    queue_wait_ms: Milliseconds = 500
    rate_wait_ms: Milliseconds = 300
    floor_share: Fraction = 0.05


class Timing(Section, frozen=True):
    """Periods and lifetimes, in seconds."""

    heartbeat_s: Positive = 0.5
    lease_s: Positive = 3
    removal_after_s: Positive = 3
    lookup_lifetime_s: Positive = 5
    claim_lifetime_s: Positive = 900
    claim_batch_s: Positive = 0.1
    quarantine_s: Positive = 600


class Region(Section, frozen=True):
    """A region and its failure domains."""

    id: Identifier
    failure_domains: tuple[Identifier, ...]


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
    capacity_mbit_s: Positive
    delay_ms: NotNegative


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
    queue_limit : int
        Requests that wait for a slot of one owner at most.
    typical_ms, typical_bytes : int
        Usual time of a request on a target, and bytes of request and response
        together. Only `validation` uses them, to tell what a region or a link can
        carry.
    """

    id: Identifier
    kind: ServiceKind
    timeout_ms: Count
    max_body_bytes: Count = 1_048_576
    open_to_all: bool = False
    queue_limit: Count = 64
    typical_ms: Count = 50
    typical_bytes: Count = 4096

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
    slots: Count
    connections: Count
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

    id: Identifier
    rate: Positive
    burst: Positive
    services: tuple[str, ...]
    key_digests: tuple[Digest, ...] = ()


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
    packed_blocks : bytes
        Blocks in the form that is published, see `blocks.pack_blocks`; not for files.
    """

    id: Identifier
    region: str
    delay_ms: NotNegative
    blocks: tuple[str, ...] = ()
    packed_blocks: bytes = b''


class Shift(Section, frozen=True):
    """A planned move of a site's traffic to another region.

    Parameters
    ----------
    fraction : float
        Part of the site's requests to move, from 0 to 1.
    cap_rate : float
        Most requests that may be moved in any second, over the whole fleet; at
        least 2.
    """

    id: Identifier
    site: str
    source: str
    destination: str
    fraction: Fraction
    cap_rate: CapRate


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
    issued_keys: dict[Digest, str] = {}
    withdrawn_keys: tuple[Digest, ...] = ()


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

    name: Identifier
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
