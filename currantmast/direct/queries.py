"""Answers to what is asked beside requests: readiness, look-ups and metrics."""

from currantmast.direct.beliefs import Beliefs
from currantmast.direct.inbound import Inbound, Outbound
from currantmast.direct.members import choose_named
from currantmast.direct.meters import Meter
from currantmast.direct.requests import Wire

# Seconds for which callers may keep a look-up answer: short, since it is how they learn
# that an instance has gone.
LOOKUP_TTL_S = 2.0


class Queries:
    """Answers queries from what the instance believes.

    Parameters
    ----------
    beliefs : Beliefs
        What the instance believes.
    wire : Wire
        The platform's spelling.
    meter : Meter
        Counters and histograms.
    """

    __slots__ = ('_beliefs', '_meter', '_wire')

    def __init__(self, beliefs: Beliefs, wire: Wire, meter: Meter) -> None:
        self._beliefs = beliefs
        self._wire = wire
        self._meter = meter

    def __repr__(self) -> str:
        """Return a short description."""
        return '<Queries>'

    def answer_readiness(self, inbound: Inbound) -> Outbound:
        """Tell whether callers may be sent here."""
        return Outbound(200 if self._beliefs.is_ready() else 503)

    def answer_lookup(self, inbound: Inbound) -> Outbound:
        """Tell a caller which instances to use."""
        query = self._wire.decode_lookup(inbound)
        members = self._beliefs.members
        own = (members.own,) if self._beliefs.is_ready() else ()
        named = choose_named(
            members.own, (*own, *members.list_ready()), query.region, query.domain
        )
        addresses = tuple(str(record.public) for record in named)
        ttl_s = min(LOOKUP_TTL_S, self._beliefs.bounds.lookup_ttl_s)
        return self._wire.encode_lookup(addresses, ttl_s)

    def answer_metrics(self, inbound: Inbound) -> Outbound:
        """Return all metrics as text."""
        beliefs = self._beliefs
        levels = {
            'configuration_version': beliefs.configuration.version,
            'configuration_age_seconds': beliefs.freshness.age(),
            'targets': len(beliefs.targets),
            'members': len(beliefs.members),
            'members_ready': len(beliefs.members.list_ready()),
        }
        for name, level in levels.items():
            self._meter.show(name, level)
        headers = (('Content-Type', 'text/plain; version=0.0.4'),)
        return Outbound(200, headers, self._meter.write())
