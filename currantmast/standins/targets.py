"""Stand-ins of back-end servers, many in one process."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import msgspec
from gevent import Greenlet, sleep, socket, spawn
from gevent.event import Event

from currantmast.clocks import Clock, LoopClock
from currantmast.messages import Address
from currantmast.standins.executions import ExecutionLog
from currantmast.standins.serving import (
    NoReply,
    Reply,
    Request,
    StandinServer,
    announce,
    apply_changes,
    bind,
    get_address,
    load_settings,
    reply_json,
    serve,
)
from currantmast.standins.targetsettings import TargetSettings, TargetsSettings
from currantmast.standins.workplaces import Workplace

RUNNING_PREFIX = '/running/'


class TargetStatus(msgspec.Struct, frozen=True):
    """Counts of one target since the start of the process."""

    address: str
    service: str
    running: int
    peak: int
    shed: int
    crashes: int
    connections: int


class HostAddresses(msgspec.Struct, frozen=True):
    """Addresses of the control paths and of the targets, in order of settings."""

    control: Address
    targets: tuple[Address, ...]


class Target:
    """One target server.

    Parameters
    ----------
    settings : TargetSettings
        Settings.
    log : ExecutionLog
        Where executions are recorded.
    workplace : Workplace
        Slots in which requests run.
    """

    __slots__ = (
        '_crashes',
        '_log',
        '_recovery',
        '_server',
        '_settings',
        '_workplace',
        'address',
    )

    def __init__(
        self, settings: TargetSettings, log: ExecutionLog, workplace: Workplace
    ) -> None:
        self._settings = settings
        self._log = log
        self._workplace = workplace
        self._crashes = 0
        self._recovery = Greenlet()
        listener = bind(settings.address)
        self.address = get_address(listener)
        self._server = self._listen(listener)
        workplace.address = str(self.address)
        workplace.crash = self._start_crash

    def __repr__(self) -> str:
        """Return the address and the used slots."""
        return f'<Target {self.address} {self._workplace!r}>'

    def close(self) -> None:
        """Break off everything."""
        self._recovery.kill()
        self._server.abort()

    def get_status(self) -> TargetStatus:
        """Return the counts."""
        return TargetStatus(
            address=str(self.address),
            service=self._settings.service,
            running=self._workplace.count_running(),
            peak=self._workplace.peak,
            shed=self._workplace.shed,
            crashes=self._crashes,
            connections=len(self._server.connections),
        )

    def answer(self, request: Request) -> Reply | NoReply:
        """Answer one request for work or for a control path."""
        match request.path:
            case '/faults':
                return self.change_faults(request.method, request.read_body())
            case '/executions':
                return list_executions(self._log, request, str(self.address))
        if self._workplace.faults.silent:
            Event().wait()
        return self._serve_call(request)

    def change_faults(self, method: str, body: bytes) -> Reply:
        """Apply the faults that `body` names if posted; return those in force."""
        if method == 'POST':
            try:
                faults = apply_changes(self._workplace.faults, body)
            except msgspec.MsgspecError as rejected:
                return reply_json(400, str(rejected))
            self._workplace.faults = faults
        return reply_json(200, self._workplace.faults)

    def _serve_call(self, request: Request) -> Reply | NoReply:
        if request.path == '/load':
            report = self._workplace.report_load()
            return NoReply() if report is None else reply_json(200, report)
        if request.path.startswith(RUNNING_PREFIX) and request.method == 'DELETE':
            request_id = request.path.removeprefix(RUNNING_PREFIX)
            return reply_json(200, {'cancelled': self._workplace.cancel(request_id)})
        return self._workplace.run(request)

    def _listen(self, listener: socket.socket) -> StandinServer:
        server = StandinServer(listener, self.answer, self._settings.connections)
        server.start()
        return server

    def _start_crash(self) -> None:
        self._recovery = spawn(self._crash)

    def _crash(self) -> None:
        self._crashes += 1
        self._server.abort()
        listener = bind(self.address)
        sleep(self._settings.down_s)
        self._workplace.chill()
        self._server = self._listen(listener)


class TargetHost:
    """All targets of one process, and their common control paths.

    Parameters
    ----------
    settings : TargetsSettings
        Settings.
    clock : Clock
        Time of the record of executions.
    """

    __slots__ = ('_log', 'targets')

    def __init__(self, settings: TargetsSettings, clock: Clock) -> None:
        self._log = ExecutionLog(settings.key_digests)
        self.targets: list[Target] = []
        for number, one in enumerate(settings.targets):
            rng = Random(f'{settings.seed}/{number}')
            workplace = Workplace(one, self._log, clock, rng)
            self.targets.append(Target(one, self._log, workplace))

    def __repr__(self) -> str:
        """Return the number of targets."""
        return f'<TargetHost targets={len(self.targets)}>'

    def close(self) -> None:
        """Stop all targets."""
        for target in self.targets:
            target.close()

    def answer(self, request: Request) -> Reply | NoReply:
        """Answer one request on the control paths of the process."""
        match request.path:
            case '/executions':
                return list_executions(self._log, request)
            case '/targets':
                return reply_json(200, [target.get_status() for target in self.targets])
            case '/faults':
                return self._change_faults(request)
        return Reply(404)

    def _change_faults(self, request: Request) -> Reply:
        """Apply the body to the target of argument ``target``, or to all."""
        name = request.arguments.get('target', '')
        body = request.read_body()
        chosen = [one for one in self.targets if name in {'', str(one.address)}]
        replies = [one.change_faults(request.method, body) for one in chosen]
        refused = [one for one in replies if one.status != 200]
        return refused[0] if refused else reply_json(200, len(replies))


def list_executions(log: ExecutionLog, request: Request, target: str = '') -> Reply:
    """Return the executions after argument ``after``, all without it."""
    after = int(request.arguments.get('after', -1))
    return reply_json(200, tuple(log.list_after(after, target)))


@contextmanager
def serve_targets(
    settings: TargetsSettings, clock: Clock | None = None
) -> Iterator[HostAddresses]:
    """Serve targets while the context is open; yields their addresses."""
    host = TargetHost(settings, clock or LoopClock())
    try:
        with serve(settings.address, host.answer) as control:
            targets = tuple(target.address for target in host.targets)
            yield HostAddresses(control, targets)
    finally:
        host.close()


def run_targets(path: str) -> None:
    """Serve targets with the settings file `path` until the process ends.

    Raises
    ------
    SettingsError
        If the settings are rejected.
    """
    with serve_targets(load_settings(path, TargetsSettings)) as addresses:
        targets = ','.join(map(str, addresses.targets))
        announce(addresses.control, targets=targets)
        Event().wait()
