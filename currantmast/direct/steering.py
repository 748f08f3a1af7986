"""Handling of one request: admission, choice of a target, retries and the answer."""

from http import HTTPStatus

from currantmast.clocks import Clock
from currantmast.direct.admission import DEFAULT_TIME_LIMIT_S, AdmissionControl
from currantmast.direct.answernotices import record_notices
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
    get_outcome,
    get_reported_load,
)
from currantmast.direct.choices import Choice, NoCapacity
from currantmast.direct.costs import Work
from currantmast.direct.crashwatch import CrashWatch
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.inbound import AdmittedHead, InboundRequest, OutboundAnswer
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.loads import Load
from currantmast.direct.meters import Meter
from currantmast.direct.refusals import encode_refusal
from currantmast.direct.requests import (
    AttemptMetadata,
    ShedReason,
    WireFormat,
)
from currantmast.direct.returns import RefusedCaller, ReturnTimes
from currantmast.direct.targets import Target
from currantmast.direct.updates import Topic
from currantmast.direct.waiting import (
    MAX_WAIT_S,
    WAIT_FRACTION,
    WaitingRequests,
)
from currantmast.errors import (
    AnswerIncomplete,
    AnswerTooLarge,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason
from currantmast.runtime.logs import log_event


class Steering:
    """Answers the requests of callers by sending each to a target.

    Parameters
    ----------
    state : InstanceState
        Configuration, targets and budgets of the instance.
    wire : WireFormat
        Encoding of requests and answers on this platform.
    connections : TargetConnections
        Connections to targets.
    clock : Clock
        Source of time.
    meter : Meter
        Metrics of the instance.
    """

    def __init__(
        self,
        state: InstanceState,
        wire: WireFormat,
        connections: TargetConnections,
        clock: Clock,
        meter,
    ) -> None:
        self._state = state
        self._wire = wire
        self._connections = connections
        self._clock = clock
        self._meter = meter
        self._admissions = AdmissionControl(state, wire, meter)
        targets = state.targets
        self._crash_watch = CrashWatch(
            targets.crashing_requests, targets.unanswered, connections
        )
        self._returns = ReturnTimes(clock)
        self._waiting = WaitingRequests(clock)

    def answer(self, inbound: InboundRequest) -> OutboundAnswer:
        """Return the answer to one request."""
        call = self._wire.decode_request(inbound)
        admission = self._admissions.admit(call, inbound)
        if isinstance(admission, OutboundAnswer):
            return admission
        if self._crash_watch.is_refused(inbound, admission.team_name):
            return self._admissions.refuse(
                call, Reason.quarantined, team=admission.team
            )
        attempts = Attempts(self._state, admission, self._clock)
        result = self._send_with_retries(inbound, admission, attempts)
        if self._state.configuration.ranks.enabled:
            result = self._plan_return(admission, result)
        self._log_result(admission, attempts, result)
        return _encode_result(self._wire, result)

    def admit_head(self, head: InboundRequest) -> OutboundAnswer | AdmittedHead:
        """Decide on a large request before its body is read."""
        return self._admissions.admit_head(head)

    def _send_with_retries(
        self, inbound: InboundRequest, admission: Admission, attempts: Attempts
    ) -> AttemptResult:
        state = self._state
        state.retries.note_request(
            admission.service, state.bounds, ranked=state.configuration.ranks.enabled
        )
        result: AttemptResult = NotRun(Reason.deadline)
        while attempts.has_attempt_left():
            choice = self._choose(admission, attempts)
            if isinstance(choice, NoCapacity):
                return attempts.end_without_capacity(choice, result)
            attempts.begin(choice)
            result = attempts.keep_failure(self._send(inbound, admission, choice))
            if not attempts.may_retry(result):
                break
        return attempts.conclude(result)

    def _choose(self, admission: Admission, attempts: Attempts) -> Choice | NoCapacity:
        """Return the target for the next attempt; wait a moment if none has room."""
        choice = attempts.choose()
        if not isinstance(choice, NoCapacity) or not attempts.may_wait(choice):
            return choice
        started = self._clock.now()
        longest_s = min(MAX_WAIT_S, admission.route.latency_objective_s * WAIT_FRACTION)
        wait = self._waiting.begin(
            admission.service,
            admission.urgency,
            min(admission.deadline_at, admission.started_at + longest_s),
        )
        if wait is None:
            return choice
        refusal = choice
        with wait:
            self._meter.set_gauge('waiting_requests', self._waiting.count())
            while isinstance(choice, NoCapacity) and wait.sleep():
                if not attempts.has_attempt_left():
                    break
                choice = attempts.choose()
            wait.found = not isinstance(choice, NoCapacity)
        attempts.waited_s += self._clock.now() - started
        self._meter.set_gauge('waiting_requests', self._waiting.count())
        self._meter.set_gauge('waiting_closed_levels', self._waiting.count_closed())
        # Requests that waited beside this one may have used the budget meanwhile.
        return choice if attempts.affords_retry() else refusal

    def _plan_return(
        self, admission: Admission, result: AttemptResult
    ) -> AttemptResult:
        """Return `result`; for want of room, with the time at which to come back.

        After a target shed a request, another one may take it at once.
        """
        if isinstance(result, Answered):
            self._returns.note_room(admission.service, admission.urgency)
        if not isinstance(result, TryLater):
            return result
        limit_s = admission.call.time_limit_s or DEFAULT_TIME_LIMIT_S
        left_s = admission.started_at + limit_s - self._clock.now()
        caller = RefusedCaller(admission.call.request_id, result.after_s, left_s)
        after_s = self._returns.book(admission.service, admission.urgency, caller)
        self._meter.set_gauge('return_backlog_seconds', self._returns.measure_backlog())
        return TryLater(result.refusal, after_s)

    def _send(
        self, inbound: InboundRequest, admission: Admission, choice: Choice
    ) -> AttemptResult:
        target = choice.target
        started = self._clock.now()
        target.in_flight += 1
        if admission.object_key:
            # Recorded at the start: a request that begins while the first one for the
            # same object still runs is already fast.
            target.note_handled(admission.object_key)
        try:
            answer = self._exchange(inbound, admission, target)
        except NothingSent as error:
            target.ejection.begin()
            log_event('target_unreachable', target=target.record.id, error=error)
            return NotRun(Reason.unreachable)
        except ExchangeBroken as error:
            elapsed_s = self._clock.now() - started
            self._crash_watch.note_break(
                inbound, admission.team_name, target.record, error
            )
            return self._record_break(admission, choice, error, elapsed_s)
        finally:
            target.in_flight -= 1
            self._waiting.note_room(admission.service)
        result = self._process_answer(admission, choice, answer, started)
        if not isinstance(result, NotRun):
            self._crash_watch.note_answer(inbound, admission.team_name)
        return result

    def _record_break(
        self,
        admission: Admission,
        choice: Choice,
        error: ExchangeBroken,
        elapsed_s: float,
    ) -> OutcomeUnknown:
        if not _is_own_limit(error):
            choice.target.note_failure()
        _log_oversize(self._meter, admission, choice.target, error)
        self._state.placement.note_served(admission.service, choice, elapsed_s)
        self._state.stop.note_answer(admission.service, elapsed_s)
        if admission.by_cost and isinstance(error, ProgressTimeout):
            work = Work(admission.service, admission.route.name)
            self._state.placement.by_cost.costs.note_timeout(work, choice, elapsed_s)
        return OutcomeUnknown(_get_failure_reason(error))

    def _exchange(
        self, inbound: InboundRequest, admission: Admission, target: Target
    ) -> Answer:
        time_left_s = admission.deadline_at - self._clock.now()
        team = admission.team.name if admission.team else None
        metadata = AttemptMetadata(target.record.id, team, time_left_s)
        request_id = admission.call.request_id
        return self._connections.exchange(
            target.record.id,
            target.record.address,
            self._wire.encode_target_request(inbound, metadata),
            time_left_s,
            lambda answer: self._wire.matches_request(request_id, answer),
        )

    def _process_answer(
        self, admission: Admission, choice: Choice, answer: Answer, started: float
    ) -> AttemptResult:
        target = choice.target
        target_answer = self._wire.decode_answer(answer)
        elapsed_s = self._clock.now() - started
        if target_answer.load is not None:
            target.note_report(target_answer.load)
        if answer.connect_s:
            self._state.placement.round_trips.note(
                target.record.location.region, answer.connect_s
            )
        if target_answer.stamped or target_answer.shed is ShedReason.full:
            self._state.target_limits.note_answer(
                target.record.id, target_answer.rate_limit
            )
        record_notices(
            self._state.targets,
            target,
            leaving=target_answer.leaving,
            pause_s=target_answer.pause_s,
        )
        match target_answer.shed:
            case ShedReason.full:
                target.note_shed(needs_load=admission.by_cost)
                return NotRun(Reason.target_shed)
            case ShedReason.misdirected:
                # Another target now listens on this address; the store's list of
                # targets will show that later.
                target.ejection.begin()
                return NotRun(Reason.target_lost)
        self._state.stop.note_answer(admission.service, elapsed_s)
        if target_answer.status >= SERVER_ERROR:
            target.note_failure()
        else:
            self._record_success(admission, choice, elapsed_s, target_answer.load)
        if not target_answer.is_deliverable():
            return OutcomeUnknown(Reason.answer_incomplete)
        return Answered(answer, target_answer)

    def _record_success(
        self,
        admission: Admission,
        choice: Choice,
        elapsed_s: float,
        load: Load | None,
    ) -> None:
        if admission.by_cost:
            work = Work(admission.service, admission.route.name)
            self._state.placement.by_cost.costs.note_answer(
                work, choice, elapsed_s, load
            )
            return
        target = choice.target
        processing_s = max(0.001, elapsed_s - choice.round_trip_s - choice.wait_s)
        self._state.placement.note_served(admission.service, choice, elapsed_s)
        processing_times = self._state.placement.processing_times
        cached = choice.cached or processing_times.was_cached(
            admission.service, processing_s
        )
        usual_processing_s = processing_times.get(admission.service, 1 if cached else 0)
        target.history.note_success(processing_s / usual_processing_s)
        target.ramp_up.note_answer(processing_s / usual_processing_s)
        processing_times.note(admission.service, processing_s)
        if choice.chance > 0 and admission.object_key:
            target.note_hit(
                processing_times.was_cached(admission.service, processing_s)
            )

    def _log_result(
        self, admission: Admission, attempts: Attempts, result: AttemptResult
    ) -> None:
        outcome, reason = get_outcome(result)
        elapsed_s = self._clock.now() - admission.started_at
        self._meter.count_outcome(outcome, reason)
        self._meter.observe_latency(outcome, elapsed_s)
        last_choice = attempts.last_choice
        if last_choice is not None:
            self._meter.count_spillover(last_choice.spillover_reason.value)
        log_event(
            'request_ended',
            level='INFO' if outcome == 'answered' else 'WARNING',
            request=admission.call.request_id,
            outcome=outcome,
            reason=reason,
            elapsed_s=elapsed_s,
            route=admission.route.name,
            team=admission.team.name if admission.team else None,
            service=admission.service,
            thing=admission.call.object_key,
            urgency=str(admission.urgency),
            retry_after_s=result.after_s if isinstance(result, TryLater) else None,
            waited_s=attempts.waited_s,
            tries=attempts.count,
            targets=','.join(attempts.target_ids),
            domain=last_choice.target.record.location.failure_domain
            if last_choice
            else None,
            expected_s=last_choice.expected_s if last_choice else None,
            wait_s=last_choice.wait_s if last_choice else None,
            chance=last_choice.chance if last_choice else None,
            crossing=last_choice.spillover_reason.value if last_choice else None,
            load=last_choice.load if last_choice else None,
            reported=get_reported_load(result),
            **_describe_costs(last_choice),
            things=self._state.placement.object_counts.count(admission.service),
            homes=','.join(sorted(admission.allowed_regions)),
            candidates=attempts.candidates,
            full=attempts.no_capacity.full,
            strange=attempts.no_capacity.strange,
            late=attempts.no_capacity.late,
            held=attempts.no_capacity.held,
            limited=attempts.limited,
            share=self._state.placement.spillover.get_share(admission.service),
            version=self._state.configuration.version,
            targets_age_s=self._state.store_health.read_times.age(Topic.targets),
        )


def _describe_costs(choice: Choice | None) -> dict[str, object]:
    """Return what overload control knew of the target, for the log."""
    if choice is None or choice.knowledge is None:
        return {}
    return {
        'copy': choice.copy.value if choice.copy else None,
        'load_source': choice.knowledge.source.value,
        'load_age_s': choice.knowledge.age_s,
        'slowdown': choice.knowledge.slowdown,
        'crossing_price_s': choice.price_s,
    }


def _get_failure_reason(error: ExchangeBroken) -> Reason:
    match error:
        case ProgressTimeout():
            return Reason.deadline
        case AnswerIncomplete():
            return Reason.answer_incomplete
    return Reason.connection_lost


def _encode_result(wire: WireFormat, result: AttemptResult) -> OutboundAnswer:
    match result:
        case Answered(answer):
            return wire.encode_answer(answer)
        case TryLater(refusal, after_s):
            longest_s = max(MAX_RETRY_AFTER_S, after_s)
            return encode_refusal(refusal, after_s, longest_s)
        case NotRun():
            return encode_refusal(result, MIN_RETRY_AFTER_S)
        case OutcomeUnknown(Reason.deadline):
            return OutboundAnswer(HTTPStatus.GATEWAY_TIMEOUT)
        case OutcomeUnknown():
            return OutboundAnswer(HTTPStatus.BAD_GATEWAY)


def _log_oversize(
    meter: Meter, admission: Admission, target: Target, error: ExchangeBroken
) -> None:
    if isinstance(error, AnswerTooLarge):
        meter.count_oversize(error.kind)
        log_event(
            'answer_too_large',
            level='WARNING',
            request=admission.call.request_id,
            target=target.record.id,
            kind=error.kind,
        )


def _is_own_limit(error: ExchangeBroken) -> bool:
    """Return whether this instance, not the target, ended an exchange."""
    return isinstance(error, AnswerTooLarge) and error.kind == 'memory'
