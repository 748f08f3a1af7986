"""Steering: the life of one request, from its arrival to its answer."""

from http import HTTPStatus
from types import MappingProxyType

from currantmast.clocks import Clock
from currantmast.direct.answers import Answer
from currantmast.direct.attempts import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    SERVER_ERROR,
    Admission,
    Answered,
    AttemptResult,
    Attempts,
    TryLater,
)
from currantmast.direct.beliefs import Beliefs
from currantmast.direct.exchanges import Exchanges
from currantmast.direct.inbound import Inbound, Outbound
from currantmast.direct.model import Route, Team
from currantmast.direct.placement import Choice, NoCapacity
from currantmast.direct.rates import OverRate, Undivided
from currantmast.direct.requests import Call, Given, Shed, TargetAnswer, Wire
from currantmast.direct.targets import Target
from currantmast.errors import (
    AnswerIncomplete,
    AnswerTooLarge,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason
from currantmast.runtime.logs import log_event

# Seconds that a caller waits when it names no limit.
DEFAULT_TIME_LIMIT_S = 30.0

# Seconds before a caller's limit at which its answer leaves.
ANSWER_MARGIN_S = 0.02

# Seconds after which a caller may try again while nothing is known yet.
BOOT_RETRY_AFTER_S = 0.5

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


class Steering:
    """Answers the requests of callers.

    Parameters
    ----------
    beliefs : Beliefs
        What the instance believes.
    wire : Wire
        The platform's spelling.
    exchanges : Exchanges
        Connections to targets.
    clock : Clock
        Source of time.
    meter : Meter
        Counters and histograms.
    """

    def __init__(
        self, beliefs: Beliefs, wire: Wire, exchanges: Exchanges, clock: Clock, meter
    ) -> None:
        self._beliefs = beliefs
        self._wire = wire
        self._exchanges = exchanges
        self._clock = clock
        self._meter = meter

    def answer(self, inbound: Inbound) -> Outbound:
        """Return the answer to one request."""
        call = self._wire.decode_call(inbound)
        admitted = self._admit(call, inbound.received_at)
        if isinstance(admitted, Outbound):
            return admitted
        tries = Attempts(self._beliefs, admitted, self._clock)
        ending = self._run(inbound, admitted, tries)
        self._log_end(admitted, tries, ending)
        return self._encode(ending)

    def _admit(self, call: Call, received_at: float) -> Admission | Outbound:
        beliefs = self._beliefs
        config = beliefs.configuration.value
        if config is None or not beliefs.targets_listed:
            return self._refuse(call, Reason.no_configuration, BOOT_RETRY_AFTER_S)
        if not call.request_id:
            return self._refuse(call, Reason.bad_request)
        route = beliefs.configuration.match(call.host.partition(':')[0], call.path)
        if route is None:
            return self._refuse(call, Reason.service_unknown)
        team = None
        if config.teams and not route.open:
            found = self._find_team(call)
            if isinstance(found, Outbound):
                return found
            team = found
        return self._make_admission(call, route, team, received_at)

    def _find_team(self, call: Call) -> Team | Outbound:
        beliefs = self._beliefs
        if not beliefs.freshness.is_valid(beliefs.bounds.revoke_s):
            return self._refuse(call, Reason.no_lease, BOOT_RETRY_AFTER_S)
        team = beliefs.configuration.find_team(call.key or '')
        if team is None:
            return self._refuse(call, Reason.key_unknown)
        match beliefs.rates.admit(team):
            case OverRate() as over:
                return self._refuse_rate(call, team, over)
            case Undivided():
                return self._refuse(
                    call, Reason.no_configuration, BOOT_RETRY_AFTER_S, team
                )
        return team

    def _make_admission(
        self, call: Call, route: Route, team: Team | None, received_at: float
    ) -> Admission:
        limit_s = call.time_limit_s or DEFAULT_TIME_LIMIT_S
        homes = route.homes
        if team is not None and team.homes:
            homes = (homes & team.homes) if homes else team.homes
            # Both bind; no region at all is left when they have none in common.
            homes = homes or frozenset(('',))
        return Admission(
            call=call,
            route=route,
            team=team,
            service=self._beliefs.parts.pick(route).service,
            homes=homes,
            started_at=received_at,
            deadline_at=received_at + min(limit_s, route.timeout_s) - ANSWER_MARGIN_S,
            objective_at=received_at + route.latency_objective_s,
        )

    def _run(
        self, inbound: Inbound, admitted: Admission, tries: Attempts
    ) -> AttemptResult:
        self._beliefs.retries.note_request(admitted.service, self._beliefs.bounds)
        ending: AttemptResult = NotRun(Reason.deadline)
        while tries.has_attempt_left():
            chosen = tries.choose()
            if isinstance(chosen, NoCapacity):
                return tries.end_without_capacity(chosen, ending)
            tries.begin(chosen)
            ending = tries.keep_failure(self._send(inbound, admitted, chosen))
            if not tries.may_retry(ending):
                break
        return tries.conclude(ending)

    def _send(
        self, inbound: Inbound, admitted: Admission, chosen: Choice
    ) -> AttemptResult:
        target = chosen.target
        started = self._clock.now()
        target.in_flight += 1
        if admitted.object_key:
            # Work that begins while the first on its object still runs is fast already.
            target.note_handled(admitted.object_key)
        try:
            answer = self._exchange(inbound, admitted, target)
        except NothingSent as error:
            target.ejection.begin()
            log_event('target_unreachable', target=target.record.id, error=error)
            return NotRun(Reason.unreachable)
        except ExchangeBroken as error:
            target.note_failure()
            self._log_oversize(admitted, target, error)
            elapsed_s = self._clock.now() - started
            self._beliefs.placement.note_served(admitted.service, chosen, elapsed_s)
            return OutcomeUnknown(_find_reason(error))
        finally:
            target.in_flight -= 1
        return self._judge(admitted, chosen, answer, started)

    def _log_oversize(
        self, admitted: Admission, target: Target, error: ExchangeBroken
    ) -> None:
        if isinstance(error, AnswerTooLarge):
            self._meter.count_oversize(error.kind)
            log_event(
                'answer_too_large',
                level='WARNING',
                request=admitted.call.request_id,
                target=target.record.id,
                kind=error.kind,
            )

    def _exchange(
        self, inbound: Inbound, admitted: Admission, target: Target
    ) -> Answer:
        left_s = admitted.deadline_at - self._clock.now()
        team = admitted.team.name if admitted.team else None
        given = Given(target.record.id, team, left_s)
        request_id = admitted.call.request_id
        return self._exchanges.exchange(
            target.record.id,
            target.record.address,
            self._wire.encode_attempt(inbound, given),
            left_s,
            lambda answer: self._wire.owns_answer(request_id, answer),
        )

    def _judge(
        self, admitted: Admission, chosen: Choice, answer: Answer, started: float
    ) -> AttemptResult:
        target = chosen.target
        seen = self._wire.decode_answer(answer)
        elapsed_s = self._clock.now() - started
        if seen.load is not None:
            target.note_report(seen.load)
        if answer.opened_s:
            self._beliefs.placement.round_trips.note(
                target.record.place.region, answer.opened_s
            )
        match seen.shed:
            case Shed.full:
                target.note_shed()
                return NotRun(Reason.target_shed)
            case Shed.misdirected:
                # Another target has the address now; the list will say so.
                target.ejection.begin()
                return NotRun(Reason.target_lost)
        if seen.status >= SERVER_ERROR:
            target.note_failure()
        else:
            self._note_served(admitted, chosen, elapsed_s)
        if not _is_deliverable(seen):
            return OutcomeUnknown(Reason.answer_incomplete)
        return Answered(answer, seen)

    def _note_served(
        self, admitted: Admission, chosen: Choice, elapsed_s: float
    ) -> None:
        target = chosen.target
        processing_s = max(0.001, elapsed_s - chosen.round_trip_s - chosen.wait_s)
        self._beliefs.placement.note_served(admitted.service, chosen, elapsed_s)
        times = self._beliefs.placement.processing_times
        knew = chosen.cached or times.was_cached(admitted.service, processing_s)
        usual_s = times.get(admitted.service, 1 if knew else 0)
        target.history.note_success(processing_s / usual_s)
        times.note(admitted.service, processing_s)
        if chosen.chance > 0 and admitted.object_key:
            target.note_hit(times.was_cached(admitted.service, processing_s))

    def _refuse_rate(self, call: Call, team: Team, over: OverRate) -> Outbound:
        return self._refuse(
            call,
            Reason.rate_exceeded,
            over.wait_s,
            team,
            rate=team.rate,
            burst=team.burst,
            share_tokens=over.share_tokens,
            team_tokens=over.team_tokens,
            silent=over.silent,
        )

    def _refuse(
        self,
        call: Call,
        reason: Reason,
        after_s: float | None = None,
        team: Team | None = None,
        **inputs: float,
    ) -> Outbound:
        log_event(
            'request_refused',
            level='WARNING',
            request=call.request_id,
            reason=reason,
            team=team.name if team else None,
            version=self._beliefs.configuration.version,
            config_age_s=self._beliefs.freshness.age(),
            retry_after_s=after_s,
            **inputs,
        )
        self._meter.count('refused', reason)
        return _encode_refusal(NotRun(reason), after_s)

    def _encode(self, ending: AttemptResult) -> Outbound:
        match ending:
            case Answered(answer):
                return self._wire.encode_answer(answer)
            case TryLater(refusal, after_s):
                return _encode_refusal(refusal, after_s)
            case NotRun():
                return _encode_refusal(ending, MIN_RETRY_AFTER_S)
            case OutcomeUnknown(Reason.deadline):
                return Outbound(HTTPStatus.GATEWAY_TIMEOUT)
            case OutcomeUnknown():
                return Outbound(HTTPStatus.BAD_GATEWAY)

    def _log_end(
        self, admitted: Admission, tries: Attempts, ending: AttemptResult
    ) -> None:
        outcome, reason = _describe(ending)
        elapsed_s = self._clock.now() - admitted.started_at
        self._meter.count(outcome, reason)
        self._meter.time(outcome, elapsed_s)
        last = tries.last_choice
        if last is not None:
            self._meter.count_crossing(last.spillover_reason.value)
        log_event(
            'request_ended',
            level='INFO' if outcome == 'answered' else 'WARNING',
            request=admitted.call.request_id,
            outcome=outcome,
            reason=reason,
            elapsed_s=elapsed_s,
            route=admitted.route.name,
            team=admitted.team.name if admitted.team else None,
            service=admitted.service,
            thing=admitted.call.object_key,
            tries=tries.count,
            targets=','.join(tries.target_ids),
            domain=last.target.record.place.failure_domain if last else None,
            expected_s=last.expected_s if last else None,
            wait_s=last.wait_s if last else None,
            chance=last.chance if last else None,
            crossing=last.spillover_reason.value if last else None,
            load=last.load if last else None,
            reported=_get_reported(ending),
            things=self._beliefs.placement.object_counts.count(admitted.service),
            homes=','.join(sorted(admitted.homes)),
            candidates=tries.candidates,
            full=tries.no_capacity.full,
            strange=tries.no_capacity.strange,
            late=tries.no_capacity.late,
            held=tries.no_capacity.held,
            share=self._beliefs.placement.spillover.get_share(admitted.service),
            version=self._beliefs.configuration.version,
        )


def _is_deliverable(seen: TargetAnswer) -> bool:
    """Return whether the caller may get a target's answer as it is.

    A success that no target vouches for may be anybody's bytes. A status that promises
    "not run" must not reach the caller from a target that may have run the request.
    """
    if seen.status in PROMISES:
        return False
    return seen.stamped or seen.status >= HTTPStatus.MULTIPLE_CHOICES


def _find_reason(error: ExchangeBroken) -> Reason:
    match error:
        case ProgressTimeout():
            return Reason.deadline
        case AnswerIncomplete():
            return Reason.answer_incomplete
    return Reason.connection_lost


def _get_reported(ending: AttemptResult) -> int | None:
    """Return how many requests the target said it had when it answered."""
    if isinstance(ending, Answered) and ending.seen.load is not None:
        return ending.seen.load.running + ending.seen.load.waiting
    return None


def _describe(ending: AttemptResult) -> tuple[str, str]:
    match ending:
        case Answered(_, seen):
            return 'answered', str(seen.status)
        case TryLater(refusal, _):
            return 'refused', refusal.reason.value
        case NotRun(reason):
            return 'refused', reason.value
        case OutcomeUnknown(reason):
            return 'unknown', reason.value


STATUSES = MappingProxyType(
    {
        Reason.key_unknown: HTTPStatus.UNAUTHORIZED,
        Reason.service_unknown: HTTPStatus.NOT_FOUND,
        Reason.bad_request: HTTPStatus.BAD_REQUEST,
        Reason.rate_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
    }
)


def _encode_refusal(refusal: NotRun, after_s: float | None) -> Outbound:
    status = STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    headers: tuple[tuple[str, str], ...] = ()
    if after_s is not None:
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s))
        headers = (('Retry-After', f'{bounded:.2f}'),)
    body = f'{refusal.reason.value}\n'.encode()
    return Outbound(status, (*headers, ('Content-Type', 'text/plain')), body)
