"""The entry's side of a request: admission, routing, forwarding, the answer."""

import secrets

import msgspec

from currantmast.decisions.admission import AdmissionRequest, Admitted
from currantmast.decisions.retries import (
    Attempt,
    Retry,
    Stop,
    choose_retry,
    finalize_outcome,
)
from currantmast.decisions.routing import Route, RouteRequest, count_headroom
from currantmast.decisions.suspects import SuspectState
from currantmast.messages import Suspect
from currantmast.outcomes import (
    Done,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from currantmast.runtime.answers import make_answer, name_outcome
from currantmast.runtime.hops import PeerSender, Trip
from currantmast.runtime.logs import log_event
from currantmast.runtime.metrics import Metrics
from currantmast.runtime.owner import Owner, identify
from currantmast.runtime.servers import (
    SMALL_BODY_BYTES,
    Answer,
    BodyBroken,
    Inbound,
)
from currantmast.steering import Steering
from currantmast.work import Work, WorkAnswer, filter_headers

MS_PER_S = 1000
REQUEST_ID_BYTES = 8
RATE_POLL_S = 0.02
FIRST_ATTEMPT_PART = 0.5
MIN_RETRY_S = 0.05
# Requests of one instance that may wait for their team's share at once.
MAX_RATE_WAITERS = 64
BEARER = 'bearer '


class Entry:
    """Serves callers' requests.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    owner : Owner
        Runs work on the targets of this instance.
    peers : PeerSender
        Sends work to the owners at other instances.
    metrics : Metrics
        Receives latencies and outcomes.
    """

    __slots__ = ('_metrics', '_owner', '_peers', '_rate_waiters', '_steering')

    def __init__(
        self,
        steering: Steering,
        owner: Owner,
        peers: PeerSender,
        metrics: Metrics,
    ) -> None:
        self._steering = steering
        self._owner = owner
        self._peers = peers
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
            admitted = admission.admit(request, demand_counted=True)
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
        answer = self._try_owners(trip)
        outcome = finalize_outcome(answer.outcome, trip.may_have_run)
        return msgspec.structs.replace(answer, outcome=outcome)

    def _try_owners(self, trip: Trip) -> WorkAnswer:
        self._steering.retries.record_request()
        while True:
            route = self._choose_route(trip)
            if isinstance(route, NotRun):
                return WorkAnswer(route)
            answer = self._attempt(trip, route)
            if isinstance(answer.outcome, Done):
                return answer
            if isinstance(answer.outcome, OutcomeUnknown):
                trip.may_have_run = True
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
        state = (
            SuspectState.quarantined if trip.work.suspicion else SuspectState.suspect
        )
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
            answer = self._peers.send(trip, work, route)
        if isinstance(answer.outcome, Done):
            self._steering.note_duration(work.service.id, clock.now() - started)
        time_left_s = trip.work.deadline_at - clock.now()
        return _mark_stalled(answer, time_left_s)

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
