"""The entry's side of a request: admission, routing, forwarding, the answer."""

import secrets
from collections.abc import Callable, Iterator
from urllib.parse import quote

import msgspec

from currantmast.decisions.admission import AdmissionRequest, Admitted
from currantmast.decisions.links import LinkReservation
from currantmast.decisions.retries import Attempt, Retry, Stop, choose_retry
from currantmast.decisions.routing import Route, RouteRequest, count_headroom
from currantmast.decisions.suspects import State
from currantmast.errors import (
    AnswerIncomplete,
    CurrantmastError,
    NothingSent,
    ProgressTimeout,
    TransportError,
)
from currantmast.messages import Address, Suspect
from currantmast.outcomes import (
    Done,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    choose_status,
)
from currantmast.runtime.forwarding import Connections, HopAnswer, HopRequest
from currantmast.runtime.logs import log_event
from currantmast.runtime.metrics import Metrics
from currantmast.runtime.owner import Owner, identify
from currantmast.runtime.servers import (
    SMALL_BODY_BYTES,
    Answer,
    BodyBroken,
    Inbound,
    encode_json,
)
from currantmast.steering import Origin, Steering
from currantmast.work import Work, WorkAnswer, filter_headers

MS_PER_S = 1000
REQUEST_ID_BYTES = 8
LINK_POLL_S = 0.01
RATE_POLL_S = 0.02
FIRST_ATTEMPT_PART = 0.5
MIN_RETRY_S = 0.05
# Requests of one instance that may wait for their team's share at once.
MAX_RATE_WAITERS = 64
# Bytes of a request line and headers, counted against a link besides the body.
HEAD_BYTES = 512
BEARER = 'bearer '
DONE_LABEL = 'done'
NOT_RUN_LABEL = 'not-run'
UNKNOWN_LABEL = 'unknown'


class LinkFull(CurrantmastError):
    """The share of a link had no room for a body before its deadline."""


class Refusal(msgspec.Struct, frozen=True):
    """Body of an answer to a request without a target's answer."""

    outcome: str
    reason: str
    detail: str


class Trip(msgspec.Struct):
    """An admitted request with where it comes from and which owners were tried."""

    work: Work
    origin: Origin
    tried: tuple[str, ...] = ()
    body_begun: bool = False


class Entry:
    """Serves callers' requests.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    owner : Owner
        Runs work on the targets of this instance.
    connections : Connections
        Pooled connections to peers.
    find_peer : callable
        Returns the address of a peer's work port by its id, or None.
    metrics : Metrics
        Receives latencies and outcomes.
    """

    __slots__ = (
        '_connections',
        '_find_peer',
        '_metrics',
        '_owner',
        '_rate_waiters',
        '_steering',
    )

    def __init__(
        self,
        steering: Steering,
        owner: Owner,
        connections: Connections,
        find_peer: Callable[[str], Address | None],
        metrics: Metrics,
    ) -> None:
        self._steering = steering
        self._owner = owner
        self._connections = connections
        self._find_peer = find_peer
        self._metrics = metrics
        self._rate_waiters = 0

    def respond(self, inbound: Inbound, service: str, path: str) -> Answer:
        """Return the answer to a caller's request for `path` of `service`."""
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        started = self._steering.clock.now()
        answer = self._serve(inbound, service, path, request_id)
        elapsed_s = self._steering.clock.now() - started
        self._note_end(service, request_id, answer.outcome, elapsed_s)
        return make_answer(answer, request_id)

    def _serve(
        self, inbound: Inbound, service: str, path: str, request_id: str
    ) -> WorkAnswer:
        try:
            request = _parse_request(inbound, service)
        except ValueError as error:
            return WorkAnswer(NotRun(Reason.bad_request, str(error)))
        admitted = self._admit(request)
        if isinstance(admitted, NotRun):
            return WorkAnswer(admitted)
        try:
            work = self._make_work(inbound, path, request_id, admitted)
        except BodyBroken as error:
            return WorkAnswer(NotRun(Reason.bad_request, str(error)))
        caller = inbound.headers.get('caller-address', inbound.remote)
        suspicion = self._steering.quarantine.find_state(identify(work))
        work = msgspec.structs.replace(work, suspicion=suspicion)
        return self._steer(Trip(work, self._steering.locate(caller)))

    def _admit(self, request: AdmissionRequest) -> Admitted | NotRun:
        """Admit `request`, after a short wait if only its team's share is used up.

        Shares follow demand with a delay of a heartbeat or two; a request that comes
        earlier is inside its team's rate and must not be refused for that.
        """
        admission = self._steering.admission
        admitted = admission.admit(request)
        clock = self._steering.clock
        give_up_at = clock.now() + self._steering.rate_wait_s
        while _waits_for_rate(admitted) and self._rate_waiters < MAX_RATE_WAITERS:
            if clock.now() >= give_up_at:
                break
            self._rate_waiters += 1
            clock.sleep(RATE_POLL_S)
            self._rate_waiters -= 1
            admitted = admission.admit(request, late=True)
        return admitted

    def _make_work(
        self, inbound: Inbound, path: str, request_id: str, admitted: Admitted
    ) -> Work:
        length = inbound.length or 0
        small = length <= SMALL_BODY_BYTES
        key = _find_key(inbound)
        return Work(
            request_id=request_id,
            team=admitted.team,
            service=admitted.service,
            method=inbound.method,
            path=path,
            headers=filter_headers(inbound.headers, (key,) if key else ()),
            body=inbound.read_body() if small else inbound.iterate_body(),
            length=length,
            deadline_at=admitted.deadline_at,
            request_key=inbound.headers.get('request-key'),
            entry=self._steering.member.id,
            entry_region=self._steering.member.region,
        )

    def _steer(self, trip: Trip) -> WorkAnswer:
        self._steering.retries.record_request()
        while True:
            route = self._choose_route(trip)
            if isinstance(route, NotRun):
                return WorkAnswer(route)
            answer = self._attempt(trip, route)
            trip.tried = (*trip.tried, route.owner_id)
            self._note_crash(trip, answer.outcome)
            match choose_retry(
                self._describe_attempt(trip, answer), self._steering.retries
            ):
                case Stop():
                    return answer
                case Retry(reason):
                    log_event('retry', request=trip.work.request_id, reason=reason)

    def _note_crash(self, trip: Trip, outcome: Outcome) -> None:
        """Tell the next owner of a crash; two in one trip convict the request."""
        if not isinstance(outcome, OutcomeUnknown):
            return
        if outcome.reason is not Reason.target_lost:
            return
        fingerprint = identify(trip.work)
        state = State.quarantined if trip.work.suspicion else State.suspect
        self._steering.quarantine.merge((Suspect(fingerprint, state.value, 0),))
        trip.work = msgspec.structs.replace(trip.work, suspicion=state.value)

    def _choose_route(self, trip: Trip) -> Route | NotRun:
        work = trip.work
        route = self._steering.route(make_route_request(work, trip, self._steering))
        chosen = isinstance(route, Route)
        log_event(
            'route',
            request=work.request_id,
            service=work.service.id,
            team=work.team,
            site=trip.origin.site,
            home=trip.origin.home,
            region=route.region if chosen else None,
            owner=route.owner_id if chosen else None,
            attempt=len(trip.tried) + 1,
            reason=route.reason,
            detail=None if chosen else route.detail,
        )
        return route

    def _attempt(self, trip: Trip, route: Route) -> WorkAnswer:
        clock = self._steering.clock
        started = clock.now()
        work = limit_attempt(trip, started)
        if route.owner_id == self._steering.member.id:
            answer = self._owner.run(work)
        else:
            answer = self._send(trip, work, route)
        if isinstance(answer.outcome, Done):
            self._steering.note_duration(work.service.id, clock.now() - started)
        time_left_s = trip.work.deadline_at - clock.now()
        return _mark_stalled(answer, time_left_s)

    def _send(self, trip: Trip, work: Work, route: Route) -> WorkAnswer:
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
        self._reserve(link, HEAD_BYTES, work.deadline_at)
        if isinstance(work.body, bytes):
            self._reserve_all(link, work.length, work.deadline_at)
            body = work.body
        else:
            body = self._meter_body(trip, work.body, link)
        return HopRequest(
            method=work.method,
            path=f'/work/{quote(work.service.id)}{work.path}',
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
                link.confirm(size)
                position += size

    def _reserve_all(
        self, link: LinkReservation, size: int, deadline_at: float
    ) -> None:
        reserved = 0
        while reserved < size:
            reserved += self._reserve(link, size - reserved, deadline_at)
        link.confirm(link.reserved)

    def _reserve(self, link: LinkReservation, size: int, deadline_at: float) -> int:
        clock = self._steering.clock
        while True:
            reserved = link.reserve(size)
            if reserved or not size:
                return reserved
            if clock.now() >= deadline_at:
                raise LinkFull('no room before the deadline')
            clock.sleep(LINK_POLL_S)

    def _describe_attempt(self, trip: Trip, answer: WorkAnswer) -> Attempt:
        work = trip.work
        views = self._steering.list_views(work.service.id)
        headrooms = count_headroom(
            view for view in views if view.member_id not in trip.tried
        )
        return Attempt(
            outcome=answer.outcome,
            idempotent=work.service.idempotent,
            sent=not isinstance(answer.outcome, NotRun),
            time_left_s=work.deadline_at - self._steering.clock.now(),
            region_full=all(headroom.is_full() for headroom in headrooms),
            body_replayable=work.replayable or not trip.body_begun,
        )

    def _note_end(
        self, service: str, request_id: str, outcome: Outcome, elapsed_s: float
    ) -> None:
        self._steering.note_refusal(outcome)
        label = name_outcome(outcome)
        self._metrics.count(f'outcome.{label}')
        self._metrics.time(f'latency.{service}', elapsed_s)
        match outcome:
            case Done(status):
                reason, detail = str(status), None
            case NotRun(code, text) | OutcomeUnknown(code, text):
                reason, detail = code.value, text
        log_event(
            'request_end',
            request=request_id,
            service=service,
            outcome=label,
            reason=reason,
            detail=detail,
            elapsed_ms=elapsed_s * MS_PER_S,
        )


def limit_attempt(trip: Trip, now: float) -> Work:
    """Return the work of `trip` with the deadline of its next attempt.

    The first attempt of idempotent work gets half of the time left, so that another
    one can follow on a new connection when the first makes no progress.
    """
    work = trip.work
    if not work.service.idempotent or trip.tried:
        return work
    attempt_s = (work.deadline_at - now) * FIRST_ATTEMPT_PART
    return msgspec.structs.replace(work, deadline_at=now + attempt_s)


def _mark_stalled(answer: WorkAnswer, time_left_s: float) -> WorkAnswer:
    """Return `answer`, as a lost connection if only its attempt ran out of time."""
    outcome = answer.outcome
    if not isinstance(outcome, OutcomeUnknown) or time_left_s < MIN_RETRY_S:
        return answer
    if outcome.reason is not Reason.deadline:
        return answer
    return WorkAnswer(OutcomeUnknown(Reason.connection_lost, 'no progress'))


def make_route_request(work: Work, trip: Trip, steering: Steering) -> RouteRequest:
    """Return what routing needs to know of `trip`."""
    return RouteRequest(
        service=work.service.id,
        team=work.team,
        home_region=trip.origin.region,
        entry_region=steering.member.region,
        deadline_s=work.deadline_at - steering.clock.now(),
        body_bytes=work.length,
        idempotent=work.service.idempotent,
        tried=trip.tried,
    )


def name_outcome(outcome: Outcome) -> str:
    """Return the value of the ``Outcome`` header."""
    match outcome:
        case Done():
            return DONE_LABEL
        case NotRun():
            return NOT_RUN_LABEL
        case OutcomeUnknown():
            return UNKNOWN_LABEL


def make_answer(answer: WorkAnswer, request_id: str) -> Answer:
    """Return the HTTP answer that tells a caller or peer how work ended."""
    outcome = answer.outcome
    label = name_outcome(outcome)
    marks = (('Outcome', label), ('Request-Id', request_id))
    status = choose_status(outcome)
    match outcome:
        case Done():
            return Answer(status, (*answer.headers, *marks), answer.body)
        case NotRun(reason, detail) | OutcomeUnknown(reason, detail):
            return encode_json(status, Refusal(label, reason.value, detail), *marks)


def decode_answer(answer: HopAnswer, request_id: str) -> WorkAnswer:
    """Return how a peer says that the work `request_id` ended.

    An answer that does not name the request belongs to another one, and says nothing
    about this one.
    """
    label = answer.get_header('Outcome')
    if answer.get_header('Request-Id') != request_id or label is None:
        if not answer.body_sent:
            return WorkAnswer(NotRun(Reason.unreachable, f'status {answer.status}'))
        return WorkAnswer(OutcomeUnknown(Reason.connection_lost, 'foreign answer'))
    if label == DONE_LABEL:
        headers = tuple(
            (name, text)
            for name, text in answer.headers
            if name.lower() not in {'outcome', 'request-id', 'content-length', 'date'}
        )
        return WorkAnswer(Done(answer.status), headers, answer.body)
    refusal = msgspec.json.decode(answer.body, type=Refusal)
    reason = Reason(refusal.reason)
    if label == NOT_RUN_LABEL:
        return WorkAnswer(NotRun(reason, refusal.detail))
    return WorkAnswer(OutcomeUnknown(reason, refusal.detail))


def _waits_for_rate(admitted: Admitted | NotRun) -> bool:
    return isinstance(admitted, NotRun) and admitted.reason is Reason.rate_exceeded


def _find_key(inbound: Inbound) -> str | None:
    text = inbound.headers.get('authorization', '')
    if not text.lower().startswith(BEARER):
        return None
    return text[len(BEARER) :].strip() or None


def _parse_request(inbound: Inbound, service: str) -> AdmissionRequest:
    deadline = inbound.headers.get('deadline-ms')
    if 'transfer-encoding' in inbound.headers:
        raise ValueError('Transfer-Encoding: allowed: Content-Length only')
    return AdmissionRequest(
        service=service,
        key=_find_key(inbound),
        deadline_s=None if deadline is None else _parse_deadline(deadline),
        request_key=inbound.headers.get('request-key'),
        body_bytes=inbound.length,
    )


def _parse_deadline(text: str) -> float:
    try:
        return float(int(text)) / MS_PER_S
    except ValueError as error:
        raise ValueError('Deadline-Ms: allowed: whole milliseconds') from error


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
