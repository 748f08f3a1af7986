"""Stand-in of the platform's object API."""

from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import msgspec
from gevent.event import Event

from currantmast.clocks import Clock, LoopClock
from currantmast.messages import Address
from currantmast.standins.serving import (
    NoReply,
    Reply,
    Request,
    announce,
    apply_changes,
    load_settings,
    reply_json,
    serve,
)
from currantmast.standins.storage import (
    MAX_VALUE_BYTES,
    Change,
    RevisionGone,
    Storage,
    VersionMismatch,
)

OBJECTS_PATH = '/objects'
OBJECT_PREFIX = '/objects/'
MAX_PAGE = 1000
MAX_WATCH_S = 60.0
HISTORY_KEPT = 200_000


class ObjectsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the stand-in.

    Parameters
    ----------
    address : Address
        Listening address.
    changes_kept : int
        Changes from which a watch can resume.
    call_s : float
        Time that every call takes, in seconds.
    """

    address: Address = Address('127.0.0.1', 0)
    changes_kept: int = 10_000
    call_s: float = 0


class ObjectFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force.

    Parameters
    ----------
    outage : bool
        Every call is answered 503 without effect.
    closed : bool
        Every call's connection is closed without effect or answer.
    delay_s : float
        Extra time before a call takes effect, in seconds.
    lose_answers : int
        Number of writes still to come that take effect and whose connection is
        closed without an answer.
    """

    outage: bool = False
    closed: bool = False
    delay_s: float = 0
    lose_answers: int = 0


class Call(msgspec.Struct, frozen=True):
    """One call in the history.

    Parameters
    ----------
    at : float
        Monotonic time of the stand-in when the call took effect, in seconds.
    kind : str
        ``get``, ``put``, ``delete``, ``list`` or ``watch``.
    name : str
        Object name or prefix.
    caller : str
        ``Caller`` header of the request.
    if_version : int
        Version that a write expects; -1 for reads.
    status : int
        Status of the answer.
    answered : bool
        Whether the answer was sent.
    """

    at: float
    kind: str
    name: str
    caller: str
    if_version: int
    status: int
    answered: bool


class ChangePage(msgspec.Struct, frozen=True):
    """Answer to a watch: events after a revision, and the one to resume from."""

    revision: int
    events: list[Change]


class ObjectService:
    """Object API with fault switches and a history of calls.

    Parameters
    ----------
    settings : ObjectsSettings
        Settings.
    clock : Clock
        Time of the history.

    Attributes
    ----------
    faults : ObjectFaults
        Faults in force.
    """

    def __init__(self, settings: ObjectsSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._storage = Storage(settings.changes_kept)
        self.faults = ObjectFaults()
        self._calls: Counter[str] = Counter()
        self._history: deque[Call] = deque(maxlen=HISTORY_KEPT)

    def __repr__(self) -> str:
        """Return the state of the storage."""
        return f'<ObjectService {self._storage!r}>'

    def answer(self, request: Request) -> Reply | NoReply:
        """Answer one request of the object API or of its control paths."""
        match request.path:
            case '/faults':
                return self._change_faults(request)
            case '/history':
                return reply_json(200, list(self._history))
            case '/calls':
                return reply_json(200, dict(self._calls))
        return self._serve_call(request)

    def _change_faults(self, request: Request) -> Reply:
        if request.method == 'POST':
            try:
                self.faults = apply_changes(self.faults, request.read_body())
            except msgspec.MsgspecError as rejected:
                return reply_json(400, str(rejected))
            self._storage.wake_waiters()
        return reply_json(200, self.faults)

    def _serve_call(self, request: Request) -> Reply | NoReply:
        kind = _name_kind(request)
        self._calls[kind] += 1
        # The body is read before the delay, so that a client that gave up has
        # still written: its answer is lost, not its request.
        body = request.read_body() if kind == 'put' else b''
        gevent.sleep(self._settings.call_s + self.faults.delay_s)
        reply = self._refuse() or self._dispatch(kind, request, body)
        return self._record(kind, request, reply)

    def _refuse(self) -> Reply | NoReply | None:
        if self.faults.closed:
            return NoReply()
        return Reply(503) if self.faults.outage else None

    def _dispatch(self, kind: str, request: Request, body: bytes) -> Reply:
        match kind:
            case 'get':
                return self._get(request)
            case 'put':
                return self._put(request, body)
            case 'delete':
                return self._delete(request)
            case 'list':
                return self._list(request)
            case 'watch':
                return self._watch(request)
        return Reply(404)

    def _record(
        self, kind: str, request: Request, reply: Reply | NoReply
    ) -> Reply | NoReply:
        status = reply.status if isinstance(reply, Reply) else 0
        lost = kind in {'put', 'delete'} and status in {200, 204}
        lost = lost and self.faults.lose_answers > 0
        if lost:
            left = self.faults.lose_answers - 1
            self.faults = msgspec.structs.replace(self.faults, lose_answers=left)
        call = Call(
            at=self._clock.now(),
            kind=kind,
            name=_name_subject(request),
            caller=request.get_header('Caller'),
            if_version=_read_version(request),
            status=status,
            answered=bool(status) and not lost,
        )
        self._history.append(call)
        return NoReply() if lost else reply

    def _get(self, request: Request) -> Reply:
        stored = self._storage.get(_name_subject(request))
        if stored is None:
            return Reply(404)
        return Reply(200, stored.body, (('Object-Version', str(stored.version)),))

    def _put(self, request: Request, body: bytes) -> Reply:
        if len(body) > MAX_VALUE_BYTES:
            return Reply(413)
        name = _name_subject(request)
        try:
            version = self._storage.put(name, body, _read_version(request))
        except VersionMismatch as mismatch:
            return Reply(409, b'', (('Object-Version', str(mismatch.current)),))
        return Reply(200, b'', (('Object-Version', str(version)),))

    def _delete(self, request: Request) -> Reply:
        try:
            self._storage.delete(_name_subject(request), _read_version(request))
        except VersionMismatch as mismatch:
            return Reply(409, b'', (('Object-Version', str(mismatch.current)),))
        return Reply(204)

    def _list(self, request: Request) -> Reply:
        arguments = request.arguments
        limit = min(int(arguments.get('limit', MAX_PAGE)), MAX_PAGE)
        page = self._storage.list_page(
            arguments.get('prefix', ''), arguments.get('after', ''), limit
        )
        entries = [{'name': one.name, 'version': one.version} for one in page]
        content = {
            'revision': self._storage.revision,
            'entries': entries,
            'complete': len(page) < limit,
        }
        return reply_json(200, content)

    def _watch(self, request: Request) -> Reply:
        timeout_s = min(float(request.arguments.get('timeout_s', 0)), MAX_WATCH_S)
        until = self._clock.now() + timeout_s
        since = int(request.arguments.get('since', 0))
        prefix = request.arguments.get('prefix', '')
        try:
            return self._wait_changes(prefix, since, until)
        except RevisionGone:
            return Reply(410)

    def _wait_changes(self, prefix: str, since: int, until: float) -> Reply:
        while not (self.faults.outage or self.faults.closed):
            changes = self._storage.list_changes(prefix, since)
            left_s = until - self._clock.now()
            if changes or left_s <= 0:
                page = ChangePage(self._storage.revision, changes)
                return reply_json(200, page)
            self._storage.wait_change(left_s)
        return Reply(503)


def _name_kind(request: Request) -> str:
    match request.method, request.path:
        case 'GET', '/watch':
            return 'watch'
        case 'GET', '/objects':
            return 'list'
    if request.path.startswith(OBJECT_PREFIX):
        return request.method.lower()
    return 'unknown'


def _name_subject(request: Request) -> str:
    if request.path.startswith(OBJECT_PREFIX):
        return request.path.removeprefix(OBJECT_PREFIX)
    return request.arguments.get('prefix', '')


def _read_version(request: Request) -> int:
    return int(request.get_header('If-Version', '-1'))


@contextmanager
def serve_objects(
    settings: ObjectsSettings, clock: Clock | None = None
) -> Iterator[Address]:
    """Serve the object API while the context is open; yields its address."""
    service = ObjectService(settings, clock or LoopClock())
    with serve(settings.address, service.answer) as address:
        yield address


def run_objects(path: str) -> None:
    """Serve the object API with the settings file `path` until the process ends.

    Raises
    ------
    SettingsError
        If the settings are rejected.
    """
    with serve_objects(load_settings(path, ObjectsSettings)) as address:
        announce(address)
        Event().wait()
