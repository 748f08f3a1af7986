"""Requests to the owners at other instances, within the budgets of the links."""

from collections.abc import Callable, Iterator
from urllib.parse import quote

import msgspec

from currantmast.decisions.links import LinkReservation
from currantmast.decisions.routing import Route
from currantmast.errors import (
    AnswerIncomplete,
    CurrantmastError,
    NothingSent,
    ProgressTimeout,
    TransportError,
)
from currantmast.messages import Address
from currantmast.outcomes import NotRun, Outcome, OutcomeUnknown, Reason
from currantmast.runtime.answers import decode_answer
from currantmast.runtime.forwarding import Connections, HopRequest
from currantmast.runtime.servers import BodyBroken
from currantmast.steering import Origin, Steering
from currantmast.work import Work, WorkAnswer

MS_PER_S = 1000
LINK_POLL_S = 0.01
# Bytes of a request line and headers, counted against a link besides the body.
HEAD_BYTES = 512


class LinkFull(CurrantmastError):
    """The share of a link had no room for a body before its deadline."""


class Trip(msgspec.Struct):
    """An admitted request, where it comes from, and what became of its tries."""

    work: Work
    origin: Origin
    tried: tuple[str, ...] = ()
    body_begun: bool = False
    may_have_run: bool = False


class PeerSender:
    """Sends work to the owners at other instances.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    connections : Connections
        Pooled connections to peers.
    find_peer : callable
        Returns the address of a peer's work port by its id, or None.
    """

    __slots__ = ('_connections', '_find_peer', '_steering')

    def __init__(
        self,
        steering: Steering,
        connections: Connections,
        find_peer: Callable[[str], Address | None],
    ) -> None:
        self._steering = steering
        self._connections = connections
        self._find_peer = find_peer

    def send(self, trip: Trip, work: Work, route: Route) -> WorkAnswer:
        """Send `work` to the owner that `route` names and return how it ended."""
        address = self._find_peer(route.owner_id)
        if address is None:
            return WorkAnswer(NotRun(Reason.unreachable, 'the peer has left'))
        service = work.service.id
        self._steering.views.note_sent(route.owner_id, service)
        try:
            return self._forward(trip, work, route, address)
        finally:
            self._steering.views.note_ended(route.owner_id, service)

    def _forward(
        self, trip: Trip, work: Work, route: Route, address: Address
    ) -> WorkAnswer:
        remaining_s = min(
            work.deadline_at - self._steering.clock.now(), route.timeout_s
        )
        member = self._steering.member
        try:
            with LinkReservation(
                self._steering.shares, member.region, route.region
            ) as link:
                request = self._make_hop(trip, work, link, remaining_s)
                answer = self._connections.exchange(address, request, remaining_s)
        except (LinkFull, BodyBroken, TransportError) as error:
            return WorkAnswer(_explain_failure(error, trip))
        return decode_answer(answer, work.request_id)

    def _make_hop(
        self, trip: Trip, work: Work, link: LinkReservation, remaining_s: float
    ) -> HopRequest:
        self._reserve_all(link, HEAD_BYTES, work.deadline_at)
        if isinstance(work.body, bytes):
            self._reserve_all(link, work.length, work.deadline_at)
            body = work.body
        else:
            body = self._meter_body(trip, work.body, link)
        return HopRequest(
            method=work.method,
            path=f'/requests/{quote(work.service.id)}{work.path}',
            headers=_make_hop_headers(work, remaining_s),
            body=body,
            length=work.length,
            fresh=not work.service.idempotent,
            ask_first=not work.replayable,
        )

    def _meter_body(
        self, trip: Trip, chunks: Iterator[bytes], link: LinkReservation
    ) -> Iterator[bytes]:
        """Yield the body as fast as the share of the link allows."""
        trip.body_begun = True
        for chunk in chunks:
            position = 0
            while position < len(chunk):
                size = self._reserve(link, len(chunk) - position, trip.work.deadline_at)
                yield chunk[position : position + size]
                link.record_sent(size)
                position += size

    def _reserve_all(
        self, link: LinkReservation, size: int, deadline_at: float
    ) -> None:
        reserved = 0
        while reserved < size:
            reserved += self._reserve(link, size - reserved, deadline_at)
        link.record_sent(size)

    def _reserve(self, link: LinkReservation, size: int, deadline_at: float) -> int:
        clock = self._steering.clock
        while True:
            reserved = link.reserve(size)
            if reserved or not size:
                return reserved
            if clock.now() >= deadline_at:
                raise LinkFull('no room before the deadline')
            clock.sleep(LINK_POLL_S)


def _make_hop_headers(work: Work, remaining_s: float) -> tuple[tuple[str, str], ...]:
    marks = [
        ('Deadline-Ms', str(int(remaining_s * MS_PER_S))),
        ('Request-Id', work.request_id),
        ('Entry', work.entry),
        ('Entry-Region', work.entry_region),
    ]
    if work.team is not None:
        marks.append(('Team', work.team))
    if work.request_key is not None:
        marks.append(('Request-Key', work.request_key))
    if work.suspicion:
        marks.append(('Suspicion', work.suspicion))
    return (*work.headers, *marks)


def _explain_failure(error: CurrantmastError, trip: Trip) -> Outcome:
    match error:
        case NothingSent():
            return NotRun(Reason.unreachable, str(error))
        case LinkFull() if not trip.body_begun:
            return NotRun(Reason.link_full, str(error))
        case ProgressTimeout():
            return OutcomeUnknown(Reason.deadline, 'the peer made no progress')
        case AnswerIncomplete():
            return OutcomeUnknown(Reason.answer_incomplete, str(error))
        case _:
            return OutcomeUnknown(Reason.connection_lost, str(error))
