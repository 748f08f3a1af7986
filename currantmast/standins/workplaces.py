"""Execution of requests on a target stand-in."""

import math
from collections.abc import Callable
from hashlib import sha256
from random import Random
from types import MappingProxyType

import gevent
import msgspec
from gevent.event import Event

from currantmast.clocks import Clock
from currantmast.deployment import ServiceKind
from currantmast.standins.executions import Execution, ExecutionLog, Placement
from currantmast.standins.serving import NoReply, Reply, Request, reply_json
from currantmast.standins.targetsettings import (
    LoadGauge,
    LoadMode,
    LoadReport,
    TargetFaults,
    TargetSettings,
)

POISON = '/poison'
CHUNK_BYTES = 65_536
MS_PER_S = 1000
# Median service times in seconds, used where the settings give none.
MEDIAN_S = MappingProxyType(
    {
        ServiceKind.lookup: 0.01,
        ServiceKind.order: 0.03,
        ServiceKind.upload: 0.05,
    }
)
STATUS_BY_OUTCOME = MappingProxyType(
    {'failed': 500, 'cancelled': 409, 'deadline': 504, 'incomplete': 400}
)


class WorkAnswer(msgspec.Struct, frozen=True):
    """Body of the answer to a request that ran.

    Parameters
    ----------
    echo : str
        ``Echo`` header of the request, else its path and query.
    target, request_id : str
        Address of the target and id of the request.
    number : int
        Number of the execution.
    outcome : str
        Outcome of the execution.
    length, sha256 : int, str
        Bytes of the request body and their digest.
    padding : str
        As many characters as the argument ``answer_bytes`` asked for.
    """

    echo: str
    target: str
    request_id: str
    number: int
    outcome: str
    length: int
    sha256: str
    padding: str = ''


class Workplace:
    """Slots of one target and the requests that run in them.

    Parameters
    ----------
    settings : TargetSettings
        Settings.
    log : ExecutionLog
        Where executions are recorded.
    clock : Clock
        Time of the record.
    rng : Random
        Source of service times.

    Attributes
    ----------
    address : str
        Address of the target in the record.
    crash : callable
        Called by a poison request; it must end all requests.
    faults : TargetFaults
        Faults in force.
    peak, shed : int
        Most requests that ran at once, and requests shed.
    """

    __slots__ = (
        '_clock',
        '_cold',
        '_gauge',
        '_log',
        '_rng',
        '_running',
        '_settings',
        'address',
        'faults',
        'shed',
        'crash',
        'peak',
    )

    def __init__(
        self, settings: TargetSettings, log: ExecutionLog, clock: Clock, rng: Random
    ) -> None:
        self.address = ''
        self.faults = TargetFaults()
        self.shed = 0
        self.peak = 0
        self.crash: Callable[[], object] = Event
        self._settings = settings
        self._log = log
        self._clock = clock
        self._rng = rng
        self._gauge = LoadGauge(clock)
        self._running: dict[Event, Execution] = {}
        self._cold = settings.cold_requests

    def __repr__(self) -> str:
        """Return the number of used slots."""
        return f'<Workplace running={self.count_running()}/{self._settings.slots}>'

    def count_running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def chill(self) -> None:
        """Make the next requests slow, as after a start."""
        self._cold = self._settings.cold_requests

    def report_load(self) -> LoadReport | None:
        """Return the load as the faults present it; None if no answer is due."""
        slots = self._settings.slots
        running = self._gauge.get_running(self.faults.load_lag_s)
        match self.faults.load:
            case LoadMode.stopped:
                return None
            case LoadMode.idle:
                running = 0
            case LoadMode.full:
                running = slots
        return LoadReport(running, slots, self.faults.draining, self._cold > 0)

    def cancel(self, request_id: str) -> int:
        """End the running requests with this id; return how many there were."""
        cancelled = [
            event
            for event, execution in self._running.items()
            if execution.request_id == request_id
        ]
        for event in cancelled:
            event.set()
        return len(cancelled)

    def run(self, request: Request) -> Reply | NoReply:
        """Run `request` in a slot and return its answer."""
        if self.count_running() >= self._settings.slots:
            self.shed += 1
            return Reply(503, b'', (('Shed', '1'),))
        cancelled = Event()
        execution = self._start(request, cancelled)
        try:
            execution.outcome = self._perform(request, execution, cancelled)
        except gevent.GreenletExit:
            execution.outcome = 'crashed'
            raise
        finally:
            self._end(execution, cancelled)
        return _make_reply(request, execution)

    def _start(self, request: Request, cancelled: Event) -> Execution:
        placement = Placement(
            target=self.address,
            service=self._settings.service,
            at=self._clock.now(),
            running=self.count_running() + 1,
            draining=self.faults.draining,
        )
        execution = self._log.start(request, placement)
        self._running[cancelled] = execution
        self.peak = max(self.peak, self.count_running())
        self._gauge.record(self.count_running())
        return execution

    def _end(self, execution: Execution, cancelled: Event) -> None:
        execution.ended_at = self._clock.now()
        self._running.pop(cancelled)
        self._gauge.record(self.count_running())

    def _perform(self, request: Request, execution: Execution, cancelled: Event) -> str:
        service_s = self._draw_service_s()
        try:
            _read_body(request, execution)
        except OSError:
            return 'incomplete'
        if self.faults.fail_fast:
            return 'failed'
        if POISON in request.path:
            self.crash()
            Event().wait()
        limit_s = self._get_limit_s(request, execution)
        if cancelled.wait(max(0, min(service_s, limit_s))):
            return 'cancelled'
        return 'deadline' if limit_s < service_s else 'done'

    def _get_limit_s(self, request: Request, execution: Execution) -> float:
        deadline_ms = request.get_header('Deadline-Ms')
        if not deadline_ms:
            return math.inf
        spent_s = self._clock.now() - execution.started_at
        return float(deadline_ms) / MS_PER_S - spent_s

    def _draw_service_s(self) -> float:
        median_s = self._settings.median_s or MEDIAN_S[self._settings.kind]
        spread = self._rng.lognormvariate(0, self._settings.sigma)
        factor = self.faults.slow_factor
        if self._cold > 0:
            self._cold -= 1
            factor *= self._settings.cold_factor
        return median_s * spread * factor


def _read_body(request: Request, execution: Execution) -> None:
    digest = sha256()
    chunk = request.read_body(CHUNK_BYTES)
    while chunk:
        digest.update(chunk)
        execution.length += len(chunk)
        chunk = request.read_body(CHUNK_BYTES)
    execution.sha256 = digest.hexdigest()


def _make_reply(request: Request, execution: Execution) -> Reply:
    path_and_query = (
        f'{request.path}?{request.query}' if request.query else request.path
    )
    answer = WorkAnswer(
        echo=request.get_header('Echo', path_and_query),
        target=execution.target,
        request_id=execution.request_id,
        number=execution.number,
        outcome=execution.outcome,
        length=execution.length,
        sha256=execution.sha256,
        padding='x' * int(request.arguments.get('answer_bytes', 0)),
    )
    status = STATUS_BY_OUTCOME.get(execution.outcome, 200)
    return reply_json(status, answer, Request_Id=execution.request_id, Echo=answer.echo)
