"""Handlers of the endpoints beside callers' requests: readiness, look-ups, metrics."""

from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.members import choose_lookup_instances
from currantmast.direct.meters import Meter
from currantmast.direct.requests import WireFormat
from currantmast.direct.rooms import CONNECTION_BYTES, CallerResources
from currantmast.direct.targets import summarize_loads
from currantmast.direct.updates import Topic

# Seconds for which callers may cache a look-up answer. Short, since a new look-up is how
# they learn that an instance has gone.
LOOKUP_TTL_S = 2.0


class Queries:
    """Answers readiness checks, look-ups and scrapes from the state of the instance.

    Parameters
    ----------
    state : InstanceState
        Configuration, targets and members of the instance.
    wire : WireFormat
        Encoding of look-ups on this platform.
    meter : Meter
        Metrics of the instance.
    resources : CallerResources, optional
        Memory and connections of the process.
    """

    __slots__ = ('_meter', '_resources', '_state', '_wire')

    def __init__(
        self,
        state: InstanceState,
        wire: WireFormat,
        meter: Meter,
        resources: CallerResources | None = None,
    ) -> None:
        self._resources = resources or CallerResources()
        self._state = state
        self._wire = wire
        self._meter = meter

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return '<Queries>'

    def answer_readiness(self, inbound: InboundRequest) -> OutboundAnswer:
        """Return 200 when callers may be sent to this instance, otherwise 503."""
        return OutboundAnswer(200 if self._state.is_ready() else 503)

    def answer_lookup(self, inbound: InboundRequest) -> OutboundAnswer:
        """Return the addresses of the instances that a caller should use."""
        query = self._wire.decode_lookup(inbound)
        members = self._state.members
        is_named = self._state.is_ready() and members.own.id in members.entries
        own = (members.own,) if is_named else ()
        chosen_instances = choose_lookup_instances(
            members.own, (*own, *members.list_ready()), query.region, query.domain
        )
        addresses = tuple(str(record.public) for record in chosen_instances)
        ttl_s = min(LOOKUP_TTL_S, self._state.bounds.lookup_ttl_s)
        return self._wire.encode_lookup(addresses, ttl_s)

    def answer_metrics(self, inbound: InboundRequest) -> OutboundAnswer:
        """Return all metrics in the Prometheus text format."""
        state = self._state
        config = state.configuration.value
        gauges = {
            'configuration_version': state.configuration.version,
            'configuration_version_of_peers': state.freshness.newest_version,
            'configuration_entries_unreadable': len(config.faults) if config else 0,
            'configuration_age_seconds': state.freshness.age(),
            'targets_age_seconds': state.store_health.read_times.age(Topic.targets),
            'evacuations_age_seconds': state.store_health.read_times.age(
                Topic.evacuations
            ),
            'targets': len(state.targets),
            'targets_limited': len(state.target_limits),
            'requests_suspected': len(state.targets.crashing_requests),
            'targets_ramping': state.ramping.count_active(),
            'members': len(state.members),
            'members_ready': len(state.members.list_ready()),
            'entry_instances': len(state.members.entries),
            **self._list_resource_gauges(),
            'crossing_price_seconds': state.placement.by_cost.highest_price_s,
            **summarize_loads(state.targets.list_all()),
        }
        for name, value in gauges.items():
            self._meter.set_gauge(name, value)
        headers = (('Content-Type', 'text/plain; version=0.0.4'),)
        return OutboundAnswer(200, headers, self._meter.render())

    def _list_resource_gauges(self) -> dict[str, float]:
        budget = self._resources.budget
        slots = self._resources.slots
        return {
            'memory_held_bytes': budget.held - len(slots) * CONNECTION_BYTES,
            'memory_limit_bytes': budget.limit,
            'memory_refused': budget.refused_count,
            'memory_closed': budget.closed_count,
            'caller_connections': len(slots),
            'caller_connections_limit': slots.limit,
            'caller_connections_closed': slots.closed_count,
            'parser_turns': self._resources.turns.taken_count,
        }
