"""Health probes of ejected targets."""

import gevent

from currantmast.clocks import Clock
from currantmast.direct.answernotices import record_notices
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.requests import TargetHealth, WireFormat
from currantmast.direct.targets import Target
from currantmast.runtime.logs import log_event
from currantmast.runtime.origins import find_origin

PROBE_PERIOD_S = 0.1
PROBE_TIMEOUT_S = 1.0


class Prober:
    """Task that sends health queries to ejected targets.

    Parameters
    ----------
    state : InstanceState
        Targets and the configuration of their services.
    wire : WireFormat
        Encoding of requests and answers on the platform.
    connections : TargetConnections
        Connections to targets.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        state: InstanceState,
        wire: WireFormat,
        connections: TargetConnections,
        clock: Clock,
    ) -> None:
        self._state = state
        self._wire = wire
        self._connections = connections
        self._clock = clock

    def run(self) -> None:
        """Probe forever."""
        while True:
            self.probe_due()
            self._clock.sleep(PROBE_PERIOD_S)

    def probe_due(self) -> None:
        """Start the probes that are due."""
        targets = self._state.targets
        for target in targets.list_all():
            # A probe is a request too, which a target in a pause doesn't want.
            is_paused = targets.notices.get_pause(target.record.id) > 0
            if not is_paused and target.ejection.begin_probe():
                gevent.spawn(self.probe, target)

    def probe(self, target: Target) -> None:
        """Query one target and record the result."""
        health = TargetHealth()
        try:
            health = self._query_health(target)
        except Exception as error:
            # Whatever went wrong: without a result the target would never be probed again.
            log_event(
                'probe_failed',
                target=target.record.id,
                error=error,
                at=find_origin(error),
            )
        record_notices(
            self._state.targets, target, leaving=health.leaving, pause_s=health.pause_s
        )
        target.note_probe(health.healthy, health.cold_s)
        log_event(
            'target_probed',
            target=target.record.id,
            healthy=health.healthy,
            cold_s=health.cold_s,
            pause_s=health.pause_s,
        )

    def _query_health(self, target: Target) -> TargetHealth:
        config = self._state.configuration.value
        service = config.services.get(target.record.service) if config else None
        query = self._wire.encode_health_query(
            service.health_path if service else '/', str(target.record.address)
        )
        answer = self._connections.exchange(
            target.record.id,
            target.record.address,
            query,
            PROBE_TIMEOUT_S,
            lambda _: True,
        )
        return self._wire.decode_health(answer, target.record.id)
