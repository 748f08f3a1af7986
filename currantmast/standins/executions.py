"""Record of what targets executed."""

from collections.abc import Iterable, Iterator
from hashlib import sha256

import msgspec

from currantmast.standins.serving import Request

AUTHORIZATION = 'authorization'


class Execution(msgspec.Struct):
    """One execution of a request on a target.

    Parameters
    ----------
    number : int
        Position in the log of the process.
    target, service : str
        Address and service of the target.
    request_id, request_key, team : str
        Headers of the request; empty when absent.
    method, path : str
        Request line without the query.
    started_at, ended_at : float
        Monotonic time of the host in seconds; ``ended_at`` is 0 while running.
    running : int
        Requests that ran on the target once this one had started.
    outcome : str
        ``running``, ``done``, ``failed``, ``cancelled``, ``deadline``, ``incomplete``
        or ``crashed``.
    draining : bool
        Whether the target was draining when the request started.
    headers : tuple of str
        Lower-case names of all headers.
    key_seen : bool
        Whether a header held a caller's key or was an Authorization header.
    length, sha256 : int, str
        Bytes of the body and their digest.
    """

    number: int
    target: str
    service: str
    request_id: str
    request_key: str
    team: str
    method: str
    path: str
    started_at: float
    running: int
    draining: bool
    headers: tuple[str, ...]
    key_seen: bool
    ended_at: float = 0
    outcome: str = 'running'
    length: int = 0
    sha256: str = ''


class Placement(msgspec.Struct, frozen=True):
    """Where and when a request starts."""

    target: str
    service: str
    at: float
    running: int
    draining: bool


class ExecutionLog:
    """Executions of all targets of one process.

    Parameters
    ----------
    key_digests : iterable of str
        SHA-256 of the keys to look for in headers, in hexadecimal.
    """

    __slots__ = ('_entries', '_key_digests')

    def __init__(self, key_digests: Iterable[str]) -> None:
        self._entries: list[Execution] = []
        self._key_digests = frozenset(key_digests)

    def __repr__(self) -> str:
        """Return the number of executions."""
        return f'<ExecutionLog entries={len(self._entries)}>'

    def start(self, request: Request, placement: Placement) -> Execution:
        """Record and return the start of an execution."""
        headers = tuple(request.list_headers())
        execution = Execution(
            number=len(self._entries),
            target=placement.target,
            service=placement.service,
            request_id=request.get_header('Request-Id'),
            request_key=request.get_header('Request-Key'),
            team=request.get_header('Team'),
            method=request.method,
            path=request.path,
            started_at=placement.at,
            running=placement.running,
            draining=placement.draining,
            headers=tuple(name for name, _ in headers),
            key_seen=any(self._holds_key(name, text) for name, text in headers),
        )
        self._entries.append(execution)
        return execution

    def list_after(self, number: int, target: str = '') -> Iterator[Execution]:
        """Yield the executions after `number`, of one target or of all."""
        for execution in self._entries[number + 1 :]:
            if not target or execution.target == target:
                yield execution

    def _holds_key(self, name: str, text: str) -> bool:
        if name == AUTHORIZATION:
            return True
        digests = (sha256(word.encode()).hexdigest() for word in text.split())
        return any(digest in self._key_digests for digest in digests)
