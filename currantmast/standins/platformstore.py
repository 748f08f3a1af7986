"""Stand-in of the store of the users' platform, as its published pages describe it."""

import copy
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
import msgspec
from gevent.event import Event

from currantmast.clocks import BootClock
from currantmast.direct.front import FrontServer
from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.model import CallerLimits
from currantmast.messages import Address

PAGE_ITEMS = 50
HISTORY_KEPT = 10_000
MAX_WAIT_S = 30.0
PATH_PARTS = 3
ANY_PORT = Address('127.0.0.1', 0)


class StoreFaults(msgspec.Struct):
    """Faults in force.

    Parameters
    ----------
    outage : bool
        Every call is answered 503 without effect.
    delay_s : float
        Extra time before a call is answered, in seconds.
    lost_answers : int
        Writes still to come that take effect and are answered 502 in place of their
        own answer.
    """

    outage: bool = False
    delay_s: float = 0
    lost_answers: int = 0


class _Change(msgspec.Struct, frozen=True):
    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool


class StoreCopy(msgspec.Struct, frozen=True):
    """What a copy of the store holds.

    Parameters
    ----------
    revision : int
        Revision at which it was taken.
    stored : dict
        The objects, by kind and name.
    """

    revision: int
    stored: dict[tuple[str, str], dict[str, Any]]


class PlatformStore:
    """Objects by kind and name with one revision counter, lists and watches.

    A context manager that listens while it is open.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 lets the kernel choose.
    """

    def __init__(self, address: Address = ANY_PORT) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        # Called before an object is deleted, to change it in between.
        self.before_delete: Callable[[], None] | None = None
        self._stored: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: deque[_Change] = deque(maxlen=HISTORY_KEPT)
        self._revision = 1
        self._forgotten = 0
        self._era = 1
        self._changed = Event()
        self._server = FrontServer(address, self._answer, CallerLimits, BootClock())
        self.address = self._server.address

    def __enter__(self) -> 'PlatformStore':
        """Start to listen."""
        self._server.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop listening."""
        self._server.__exit__(*exc_info)

    def __repr__(self) -> str:
        """Return the revision."""
        return f'<PlatformStore revision={self._revision}>'

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a back end does."""
        known = self._stored.get((kind, name))
        if known is None or known['spec'] != spec:
            self._store(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        known = self._stored.pop((kind, name), None)
        if known is not None:
            self._record(kind, known, deleted=True)

    def forget_history(self) -> None:
        """Drop all history: watches from before end with 410."""
        self._history.clear()
        self._forgotten = self._revision

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(self._revision, copy.deepcopy(self._stored))

    def restore(self, taken: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, and a new era begins."""
        self._stored = copy.deepcopy(taken.stored)
        self._revision = taken.revision
        self._history.clear()
        self._forgotten = taken.revision
        self._era += 1

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        meta = {'name': name, 'created': self._revision, 'finalizers': []}
        stored = {'meta': {**meta, 'deleting': False}, 'spec': spec, 'status': None}
        self._stored[kind, name] = stored
        self._record(kind, stored, deleted=False)
        return stored

    def _record(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self._revision += 1
        stored['meta']['rev'] = self._revision
        self._history.append(_Change(self._revision, kind, stored, deleted))
        self._changed.set()
        self._changed.clear()

    def _answer(self, inbound: InboundRequest) -> OutboundAnswer:
        answer = self._answer_in_era(inbound)
        headers = (*answer.headers, ('Store-Era', str(self._era)))
        return msgspec.structs.replace(answer, headers=headers)

    def _answer_in_era(self, inbound: InboundRequest) -> OutboundAnswer:
        self.calls.append(f'{inbound.method} {inbound.url}')
        gevent.sleep(self.faults.delay_s)
        if self.faults.outage:
            return OutboundAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
        answer = self._call(inbound)
        if inbound.method != 'GET' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return OutboundAnswer(HTTPStatus.BAD_GATEWAY)
        return answer

    def _call(self, inbound: InboundRequest) -> OutboundAnswer:
        url = urlsplit(inbound.url)
        parts = [unquote(part) for part in url.path.strip('/').split('/')]
        query = {name: found[-1] for name, found in parse_qs(url.query).items()}
        kind = parts[1] if len(parts) > 1 else ''
        if len(parts) < PATH_PARTS:
            if inbound.method == 'POST':
                return self._create(kind, msgspec.json.decode(bytes(inbound.body)))
            return self._read(kind, query)
        return self._change(inbound, kind, parts[2], query.get('rev'))

    def _read(self, kind: str, query: dict[str, str]) -> OutboundAnswer:
        revision = query.get('watch')
        if revision is not None:
            return self._watch(kind, int(revision), int(query['wait_ms']))
        names = sorted(name for known, name in self._stored if known == kind)
        after = query.get('after') or ''
        later = [name for name in names if name > after]
        page = {
            'items': [self._stored[kind, name] for name in later[:PAGE_ITEMS]],
            'has_more': len(later) > PAGE_ITEMS,
            'current_rev': self._revision,
        }
        return _reply(page)

    def _watch(self, kind: str, revision: int, wait_ms: int) -> OutboundAnswer:
        until = BootClock().now() + min(MAX_WAIT_S, wait_ms / 1000)
        while True:
            if not self._forgotten <= revision <= self._revision:
                return OutboundAnswer(HTTPStatus.GONE)
            events = _list_events(self._history, kind, revision)
            left_s = until - BootClock().now()
            if events or left_s <= 0:
                return _reply({'events': events, 'current_rev': self._revision})
            self._changed.wait(left_s)

    def _create(self, kind: str, document: dict[str, Any]) -> OutboundAnswer:
        name = document['meta']['name']
        known = self._stored.get((kind, name))
        if known is not None:
            return _reply(known, HTTPStatus.CONFLICT)
        return _reply(self._store(kind, name, document['spec']))

    def _change(
        self, inbound: InboundRequest, kind: str, name: str, revision: str | None
    ) -> OutboundAnswer:
        if inbound.method == 'DELETE' and self.before_delete is not None:
            self.before_delete()
        known = self._stored.get((kind, name))
        if known is None:
            return OutboundAnswer(HTTPStatus.NOT_FOUND)
        if revision is not None and int(revision) != known['meta']['rev']:
            return _reply(known, HTTPStatus.CONFLICT)
        match inbound.method:
            case 'PUT':
                spec = msgspec.json.decode(bytes(inbound.body)).get('spec')
                self.put(kind, name, spec)
                return _reply(self._stored[kind, name])
            case 'DELETE':
                self.remove(kind, name)
        return _reply(known)


def _list_events(
    history: Iterable[_Change], kind: str, revision: int
) -> list[dict[str, Any]]:
    return [
        {'deleted': change.deleted, 'object': change.stored}
        for change in history
        if change.kind == kind and change.revision > revision
    ]


def _reply(content: Any, status: int = HTTPStatus.OK) -> OutboundAnswer:
    headers = (('Content-Type', 'application/json'),)
    return OutboundAnswer(status, headers, msgspec.json.encode(content))
