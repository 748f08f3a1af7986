"""Stand-in of the back ends of the users' platform."""

from collections import Counter, OrderedDict
from hashlib import sha256
from http import HTTPStatus
from typing import Any

import gevent
import msgspec

from currantmast.clocks import BootClock
from currantmast.direct.front import FrontServer
from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.model import CallerLimits
from currantmast.messages import Address

QUEUE_PER_SLOT = 3
KEPT_OBJECTS = 17
MISDIRECTED = 421

# Header of a request that asks for an answer of at least this many bytes.
ANSWER_BYTES = 'x-answer-bytes'


class TargetPlan(msgspec.Struct, frozen=True):
    """One back end.

    Parameters
    ----------
    id, service, zone : str
        As it registers itself.
    slots : int
        Requests that it runs at once.
    warm_s, cold_s : float
        Time of work on objects that it knows, and on others, in seconds.
    """

    id: str
    service: str
    zone: str
    slots: int = 3
    warm_s: float = 0.02
    cold_s: float = 0.06


class PlatformTarget:
    """A back end that counts what it runs; a context manager that listens.

    Parameters
    ----------
    plan : TargetPlan
        What it is.
    ran : Counter
        Runs by request id, shared by all back ends.
    """

    def __init__(self, plan: TargetPlan, ran: Counter[str]) -> None:
        self.plan = plan
        self.tenants: Counter[str] = Counter()
        self.saw_key = False
        self._ran = ran
        self._running = 0
        self._waiting = 0
        self._kept: OrderedDict[str, None] = OrderedDict()
        self._server = FrontServer(
            Address('127.0.0.1', 0), self._answer, CallerLimits, BootClock()
        )
        self.address = self._server.address

    def __enter__(self) -> 'PlatformTarget':
        """Start to listen."""
        self._server.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop listening."""
        self._server.__exit__(*exc_info)

    def __repr__(self) -> str:
        """Return the id."""
        return f'<PlatformTarget {self.plan.id}>'

    def describe(self, state: str = 'ready') -> dict[str, Any]:
        """Return the entry by which it registers itself."""
        return {
            'service': self.plan.service,
            'addr': str(self.address),
            'zone': self.plan.zone,
            'version': 'v1',
            'slots': self.plan.slots,
            'state': state,
            'cold_left_s': 0,
            'seq': 1,
            'born': 1_700_000_000_000,
        }

    def _answer(self, inbound: InboundRequest) -> OutboundAnswer:
        self.saw_key = self.saw_key or inbound.get('api-key') is not None
        expected = inbound.get('x-currantmast-expect-instance')
        if expected not in {None, self.plan.id}:
            return self._reply(inbound, MISDIRECTED)
        if inbound.get('x-currantmast-request-id') is None:
            return self._reply(inbound, HTTPStatus.OK)
        if self._waiting >= self.plan.slots * QUEUE_PER_SLOT:
            not_run = ('X-Currantmast-Not-Executed', '1')
            return self._reply(inbound, HTTPStatus.SERVICE_UNAVAILABLE, not_run)
        self._waiting += 1
        try:
            while self._running >= self.plan.slots:
                gevent.sleep(0.001)
        finally:
            self._waiting -= 1
        return self._run(inbound)

    def _run(self, inbound: InboundRequest) -> OutboundAnswer:
        self._running += 1
        try:
            self._ran[inbound.get('x-currantmast-request-id') or ''] += 1
            self.tenants[inbound.get('x-currantmast-tenant') or ''] += 1
            gevent.sleep(self._choose_time(inbound.get('cookie') or ''))
        finally:
            self._running -= 1
        stamp = ('X-Currantmast-Server-Stamp', self.plan.id)
        return self._reply(inbound, HTTPStatus.OK, stamp)

    def _choose_time(self, object_key: str) -> float:
        known = object_key in self._kept
        self._kept[object_key] = None
        self._kept.move_to_end(object_key)
        if len(self._kept) > KEPT_OBJECTS:
            self._kept.popitem(last=False)
        return self.plan.warm_s if known else self.plan.cold_s

    def _reply(
        self, inbound: InboundRequest, status: int, *headers: tuple[str, str]
    ) -> OutboundAnswer:
        request_id = inbound.get('x-currantmast-request-id') or ''
        load = f'{self._running},{self._waiting},{self.plan.slots}'
        own = (
            ('X-Currantmast-Instance-Id', self.plan.id),
            ('X-Currantmast-Server-Load', load),
            ('X-Currantmast-Request-Id', request_id),
        )
        body = make_body(request_id, bytes(inbound.body))
        size = int(inbound.get(ANSWER_BYTES) or 0)
        return OutboundAnswer(status, (*own, *headers), body.ljust(size, b'.'))


def make_body(request_id: str, sent: bytes) -> bytes:
    """Return the bytes that answer a request, which its caller can check."""
    return sha256(request_id.encode() + sent).hexdigest().encode()
