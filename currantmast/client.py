"""The caller's side: look-ups, ordered tries and typed answers."""

import time
from contextlib import closing
from types import TracebackType
from typing import Self

import gevent
import msgspec

from currantmast.errors import NothingSent, TransportError
from currantmast.exchange import Request, Response, exchange
from currantmast.lookups import (
    Directory,
    Entry,
    LookupFailed,
    Lookups,
    Pools,
    make_pool,
)
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason

REPEAT_PAUSE_S = 0.1
"""Pause before a request whose first execution still runs is asked for again, in seconds."""

ANSWER_MARGIN_S = 0.25
"""Time in seconds that the instance's deadline ends before the caller gives up, so that its answer
"not run" still arrives."""

MS_PER_S = 1000

TRY_ELSEWHERE = frozenset(
    (
        Reason.no_lease,
        Reason.not_member,
        Reason.no_configuration,
        Reason.not_owner,
        Reason.unreachable,
    )
)
"""Refusals that concern the instance and not the request."""


class Refusal(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    outcome: str
    reason: str
    detail: str = ''


class Answer(msgspec.Struct, frozen=True):
    """How a request ended.

    Parameters
    ----------
    outcome : Done, NotRun or OutcomeUnknown
        Typed outcome.
    response : Response or None
        Complete response, where one arrived.
    instance : str
        Instance that was tried last.
    attempts : int
        Instances that were tried, resends included.
    """

    outcome: Outcome
    response: Response | None = None
    instance: str = ''
    attempts: int = 0

    @property
    def body(self) -> bytes:
        """Body of the response; empty when none arrived."""
        return b'' if self.response is None else self.response.body

    @property
    def request_id(self) -> str:
        """Request id that the instance gave; empty when no response arrived."""
        if self.response is None:
            return ''
        return self.response.headers.get('request-id', '')


class Call(msgspec.Struct, frozen=True):
    """One request of a caller.

    Parameters
    ----------
    service, method, path : str
        Service, HTTP method and path below the service, with query.
    body : bytes
        Request body.
    request_key : str
        Key under which resends count as one execution; empty for none.
    deadline_s : float
        Longest time in seconds for the whole call.
    """

    service: str
    method: str
    path: str
    body: bytes = b''
    request_key: str = ''
    deadline_s: float = 10

    @property
    def resendable(self) -> bool:
        """Whether the call may be sent again after bytes may have left."""
        return self.method == 'GET' or bool(self.request_key)


class Client:
    """Connection to the system for one caller.

    Parameters
    ----------
    entry_addresses : tuple of str
        ``ip:port`` of instances that answer the first look-up.
    key : str
        Key of the caller's team; empty for routes that are open to all.
    caller_address : str
        Sent as ``Caller-Address`` by tests and trusted forwarders; empty otherwise.
    attempt_timeout_s : float
        Longest time in seconds to wait for one instance before a call that may be resent
        goes to the next one.

    Examples
    --------
    >>> with Client(('127.0.0.1:8080',), key) as client:
    ...     answer = client.get('lookup', 'stock/7')
    """

    def __init__(
        self,
        entry_addresses: tuple[str, ...],
        key: str = '',
        caller_address: str = '',
        attempt_timeout_s: float = 3,
    ) -> None:
        self.attempt_timeout_s = attempt_timeout_s
        self._key = key
        self._entries = entry_addresses
        self._caller_headers = {}
        if caller_address:
            self._caller_headers['Caller-Address'] = caller_address
        self._pools = Pools()
        self._lookups = Lookups(self._pools, entry_addresses, self._caller_headers)

    def __enter__(self) -> Self:
        """Return the client itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self.close()

    def __repr__(self) -> str:
        """Return the entry addresses."""
        return f'<Client entries={",".join(self._entries)}>'

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()

    def get(self, service: str, path: str, deadline_s: float = 10) -> Answer:
        """Run an idempotent request; it is sent again on another instance if one fails.

        Parameters
        ----------
        service, path : str
            Service and path below it.
        deadline_s : float
            Longest time in seconds.
        """
        return self.call(Call(service, 'GET', path, deadline_s=deadline_s))

    def post(
        self,
        service: str,
        path: str,
        body: bytes = b'',
        request_key: str = '',
        deadline_s: float = 10,
    ) -> Answer:
        """Run a request that is not idempotent.

        Without `request_key` it is sent once: after bytes may have left, a failure ends as
        `OutcomeUnknown`. With one it is sent again, since resends are one execution.
        """
        return self.call(Call(service, 'POST', path, body, request_key, deadline_s))

    def put(
        self,
        service: str,
        path: str,
        body: bytes,
        request_key: str = '',
        deadline_s: float = 30,
    ) -> Answer:
        """Upload `body`; resent under the same rules as `post`."""
        return self.call(Call(service, 'PUT', path, body, request_key, deadline_s))

    def look_up(self, service: str) -> Directory:
        """Return the instances to use for `service`, from the cache while it is fresh.

        Raises
        ------
        LookupFailed
            If no entry answered and no earlier answer is known.
        """
        return self._lookups.find(service)

    def call(self, call: Call) -> Answer:
        """Try the listed instances in order until one gives a final answer."""
        return _Attempts(self, call).run()

    def send(self, address: str, call: Call, timeout_s: float) -> Response:
        """Send `call` once to the instance at `address`.

        Raises
        ------
        TransportError
            If no complete response arrived within `timeout_s` seconds.
        """
        request = Request(
            call.method,
            f'/s/{call.service}/{call.path}',
            self._make_headers(call, timeout_s),
            call.body,
        )
        if call.resendable:
            return exchange(self._pools.get(address), request, timeout_s)
        # An idle connection may be closed by its other end while the request is on its way,
        # so a request that may be sent only once gets a new connection.
        with closing(make_pool(address, 1)) as pool:
            return exchange(pool, request, timeout_s)

    def _make_headers(self, call: Call, timeout_s: float) -> dict[str, str]:
        left_s = max(timeout_s / 2, timeout_s - ANSWER_MARGIN_S)
        headers = {'Deadline-Ms': str(int(left_s * MS_PER_S))}
        if self._key:
            headers['Authorization'] = f'Bearer {self._key}'
        if call.request_key:
            headers['Request-Key'] = call.request_key
        return headers | self._caller_headers


class _Attempts:
    """The tries of one call."""

    __slots__ = ('_call', '_client', '_count', '_deadline', '_ran')

    def __init__(self, client: Client, call: Call) -> None:
        self._client = client
        self._call = call
        self._deadline = time.monotonic() + call.deadline_s
        self._count = 0
        # An earlier try may have run: from then on no refusal proves "not run".
        self._ran: OutcomeUnknown | None = None

    def run(self) -> Answer:
        """Return the first final answer, or the last one before the deadline."""
        answer = Answer(NotRun(Reason.unreachable, 'no instance was tried'))
        while self._count_left() > 0:
            for entry in self._list_entries():
                answer = self._try(entry)
                if self._is_final(answer):
                    return self._finish(answer)
            gevent.sleep(min(REPEAT_PAUSE_S, max(0, self._count_left())))
        return self._finish(answer)

    def _count_left(self) -> float:
        return self._deadline - time.monotonic()

    def _list_entries(self) -> tuple[Entry, ...]:
        try:
            return self._client.look_up(self._call.service).instances
        except LookupFailed:
            return ()

    def _try(self, entry: Entry) -> Answer:
        left = self._count_left()
        if left <= 0:
            return Answer(NotRun(Reason.deadline), None, entry.id, self._count)
        self._count += 1
        if self._call.resendable:
            left = min(left, self._client.attempt_timeout_s)
        try:
            response = self._client.send(entry.address, self._call, left)
        except NothingSent as unsent:
            refusal = NotRun(Reason.unreachable, str(unsent))
            return Answer(refusal, None, entry.id, self._count)
        except TransportError as broken:
            self._ran = OutcomeUnknown(Reason.connection_lost, str(broken))
            return Answer(self._ran, None, entry.id, self._count)
        return Answer(read_outcome(response), response, entry.id, self._count)

    def _is_final(self, answer: Answer) -> bool:
        match answer.outcome:
            case Done():
                return True
            case NotRun(Reason.in_progress):
                return self._ran is None
            case NotRun(reason):
                return reason not in TRY_ELSEWHERE
            case OutcomeUnknown(reason):
                self._ran = answer.outcome
                if reason is Reason.claim_outcome_unknown:
                    return True
                return not self._call.resendable

    def _finish(self, answer: Answer) -> Answer:
        if self._ran is None or isinstance(answer.outcome, Done):
            return answer
        return msgspec.structs.replace(answer, outcome=self._ran)


def read_outcome(response: Response) -> Outcome:
    """Return the outcome that `response` states.

    A response without a known ``Outcome`` header proves nothing and is `OutcomeUnknown`.
    """
    match response.headers.get('outcome'):
        case 'done':
            return Done(response.status)
        case 'not-run':
            return NotRun(*_read_reason(response))
        case 'unknown':
            return OutcomeUnknown(*_read_reason(response))
        case _:
            status = response.status
            return OutcomeUnknown(
                Reason.answer_incomplete, f'status {status} without outcome'
            )


def _read_reason(response: Response) -> tuple[Reason, str]:
    try:
        refusal = msgspec.json.decode(response.body, type=Refusal)
    except msgspec.MsgspecError:
        return Reason.answer_incomplete, 'the refusal cannot be read'
    try:
        return Reason(refusal.reason), refusal.detail
    except ValueError:
        return Reason.answer_incomplete, f'unknown reason {refusal.reason}'
