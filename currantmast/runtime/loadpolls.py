"""The task that reads the load reports of the owned targets."""

import msgspec
from gevent.pool import Pool

from currantmast.decisions.target_load import LoadReport
from currantmast.deployment import Target
from currantmast.errors import TransportError
from currantmast.runtime.forwarding import Connections, HopRequest
from currantmast.runtime.logs import log_event
from currantmast.steering import Steering

LOAD_PERIOD_S = 1.0
LOAD_TIMEOUT_S = 0.5
LOAD_CONCURRENCY = 16


class LoadAnswer(msgspec.Struct, frozen=True):
    """Body of a target's load report."""

    running: int
    slots: int
    draining: bool = False
    cold: bool = False


class LoadPoller:
    """Asks every owned target for its load, once in each period.

    Parameters
    ----------
    steering : Steering
        Takes the reports into account.
    connections : Connections
        Pooled connections to targets.
    """

    __slots__ = ('_connections', '_steering')

    def __init__(self, steering: Steering, connections: Connections) -> None:
        self._steering = steering
        self._connections = connections

    def run(self) -> None:
        """Poll for ever."""
        pool = Pool(LOAD_CONCURRENCY)
        while True:
            self._steering.clock.sleep(LOAD_PERIOD_S)
            pool.map(self._poll, self._steering.targets.list_owned())

    def _poll(self, target: Target) -> None:
        requested_at = self._steering.clock.now()
        request = HopRequest('GET', '/load')
        try:
            answer = self._connections.exchange(target.address, request, LOAD_TIMEOUT_S)
            load = msgspec.json.decode(answer.body, type=LoadAnswer)
        except (TransportError, msgspec.MsgspecError) as error:
            log_event('load_failed', level='DEBUG', target=target.id, error=error)
            return
        report = LoadReport(
            load.running, load.slots, load.draining, load.cold, requested_at
        )
        self._steering.targets.observe_load(target.id, report)
