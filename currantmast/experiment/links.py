"""Links between instances, and between instances and the store, as proxies carry them."""

from collections.abc import Iterator

import msgspec

from currantmast.deployment import Deployment, Link
from currantmast.experiment.instances import InstancePlan
from currantmast.experiment.ports import PortReserver
from currantmast.messages import Address

CONTROL = 'control'
PEER = 'peer'
STORE = 'store'


class LinkPlan(msgspec.Struct, frozen=True):
    """One proxied link.

    Parameters
    ----------
    name : str
        ``<kind>.<region>.<instance>.<region>.<instance>``, or ``store.<region>.<instance>``.
    kind : str
        ``control``, ``peer`` or ``store``.
    source, destination : str
        Instances; the destination of a store link is empty.
    listen, upstream : Address
        Where the source connects, and where its bytes go.
    channel : str
        Links of one channel share the bandwidth.
    delay_ms, bandwidth_mbit_s : float
        One-way delay in milliseconds; bandwidth in Mbit/s, 0 for unlimited.
    """

    name: str
    kind: str
    source: str
    destination: str
    listen: Address
    upstream: Address
    channel: str = ''
    delay_ms: float = 0
    bandwidth_mbit_s: float = 0


class ProxyPlan(msgspec.Struct, frozen=True):
    """The process that proxies all links which start in one region.

    The bandwidth between two regions is shared by the connections that the source opens, in both
    directions; connections that the other region opens have as much again.
    """

    name: str
    control: Address
    links: tuple[LinkPlan, ...]


class LinkPlanner:
    """Plans the links of all instances of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Delays and capacities between regions.
    instances : tuple of InstancePlan
        All instances.
    store : Address
        Object API, in the first region.
    """

    def __init__(
        self,
        deployment: Deployment,
        instances: tuple[InstancePlan, ...],
        store: Address,
    ) -> None:
        self._regions = tuple(region.id for region in deployment.base.regions)
        self._links = {
            (link.source, link.destination): link for link in deployment.base.links
        }
        self._instances = instances
        self._store = store

    def __repr__(self) -> str:
        """Return the regions."""
        return f'<LinkPlanner {",".join(self._regions)}>'

    def plan_proxies(self, ports: PortReserver) -> Iterator[ProxyPlan]:
        """Yield one proxy for each region."""
        for number, region in enumerate(self._regions):
            host = f'127.40.{number}.1'
            links = tuple(self._plan_region(region, ports, host))
            yield ProxyPlan(f'proxy-{region}', ports.reserve(host), links)

    def _plan_region(
        self, region: str, ports: PortReserver, host: str
    ) -> Iterator[LinkPlan]:
        for source in self._instances:
            if source.region != region:
                continue
            yield self._plan_store(source, ports.reserve(host))
            for destination in self._instances:
                if destination is not source:
                    yield self._plan_link(
                        CONTROL, source, destination, ports.reserve(host)
                    )
                    yield self._plan_link(
                        PEER, source, destination, ports.reserve(host)
                    )

    def _plan_store(self, source: InstancePlan, listen: Address) -> LinkPlan:
        plan = LinkPlan(
            name=f'{STORE}.{source.region}.{source.id}',
            kind=STORE,
            source=source.id,
            destination='',
            listen=listen,
            upstream=self._store,
        )
        return shape_link(plan, self._links.get((source.region, self._regions[0])))

    def _plan_link(
        self,
        kind: str,
        source: InstancePlan,
        destination: InstancePlan,
        listen: Address,
    ) -> LinkPlan:
        places = (source.region, source.id, destination.region, destination.id)
        plan = LinkPlan(
            name='.'.join((kind, *places)),
            kind=kind,
            source=source.id,
            destination=destination.id,
            listen=listen,
            upstream=destination.control if kind == CONTROL else destination.peer,
        )
        return shape_link(plan, self._links.get((source.region, destination.region)))


def shape_link(plan: LinkPlan, link: Link | None) -> LinkPlan:
    """Return `plan` with the delay and bandwidth of `link`; unchanged inside a region."""
    if link is None:
        return plan
    return msgspec.structs.replace(
        plan,
        channel=f'{link.source}>{link.destination}',
        delay_ms=link.delay_ms,
        bandwidth_mbit_s=link.capacity_mbit_s,
    )
