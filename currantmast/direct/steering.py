"""Steering: the life of one request, from its arrival to its answer."""

from http import HTTPStatus
from types import MappingProxyType

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.beliefs import Beliefs
from currantmast.direct.exchanges import Answer, Exchanges
from currantmast.direct.front import Inbound, Outbound
from currantmast.direct.model import Configuration, Route, Team
from currantmast.direct.placement import Chosen, Need, NoRoom
from currantmast.direct.rates import OverRate
from currantmast.direct.requests import Call, Given, Shed, TargetAnswer, Wire
from currantmast.direct.targets import Target
from currantmast.errors import (
    AnswerIncomplete,
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

# Seconds after which a refused caller may try again, at least and at most.
LEAST_RETRY_AFTER_S = 0.1
MOST_RETRY_AFTER_S = 1.0
BOOT_RETRY_AFTER_S = 0.5

# Tries of one request, for targets that could not be reached at all.
MAX_TRIES = 4

SERVER_ERROR = 500

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


class Admission(msgspec.Struct, frozen=True):
    """A request that may be sent to a target."""

    call: Call
    route: Route
    team: Team | None
    service: str
    homes: frozenset[str]
    started_at: float
    ends_at: float
    target_at: float


class Settled(msgspec.Struct, frozen=True):
    """A target answered, and the caller gets that."""

    answer: Answer
    seen: TargetAnswer


class TryLater(msgspec.Struct, frozen=True):
    """No target has room; `after_s` seconds until one is expected to."""

    refusal: NotRun
    after_s: float


Ending = Settled | TryLater | NotRun | OutcomeUnknown


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
        tries = _Tries(self._beliefs, admitted, self._clock)
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
        admission = beliefs.rates.admit(team)
        if isinstance(admission, OverRate):
            return self._refuse(call, Reason.rate_exceeded, admission.wait_s, team)
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
            ends_at=received_at + min(limit_s, route.timeout_s) - ANSWER_MARGIN_S,
            target_at=received_at + route.latency_objective_s,
        )

    def _run(self, inbound: Inbound, admitted: Admission, tries: '_Tries') -> Ending:
        self._beliefs.retries.note_request(admitted.service, self._beliefs.bounds)
        ending: Ending = NotRun(Reason.deadline)
        while tries.may_go_on():
            chosen = tries.choose()
            if isinstance(chosen, NoRoom):
                tries.candidates = chosen.candidates
                return tries.explain(chosen, ending)
            tries.begin(chosen)
            ending = tries.prefer(self._send(inbound, admitted, chosen))
            if not tries.may_repeat(ending):
                break
        return tries.conclude(ending)

    def _send(self, inbound: Inbound, admitted: Admission, chosen: Chosen) -> Ending:
        target = chosen.target
        started = self._clock.now()
        target.in_flight += 1
        try:
            answer = self._exchange(inbound, admitted, target)
        except NothingSent as error:
            target.ejection.begin()
            log_event('target_unreachable', target=target.record.id, error=error)
            return NotRun(Reason.unreachable)
        except ExchangeBroken as error:
            target.note_failure()
            elapsed_s = self._clock.now() - started
            self._beliefs.placement.note_served(admitted.service, chosen, elapsed_s)
            return OutcomeUnknown(_find_reason(error))
        finally:
            target.in_flight -= 1
        return self._judge(admitted, chosen, answer, started)

    def _exchange(
        self, inbound: Inbound, admitted: Admission, target: Target
    ) -> Answer:
        left_s = admitted.ends_at - self._clock.now()
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
        self, admitted: Admission, chosen: Chosen, answer: Answer, started: float
    ) -> Ending:
        target = chosen.target
        seen = self._wire.decode_answer(answer)
        elapsed_s = self._clock.now() - started
        if answer.opened_s:
            self._beliefs.placement.delays.note(
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
        return Settled(answer, seen)

    def _note_served(
        self, admitted: Admission, chosen: Chosen, elapsed_s: float
    ) -> None:
        target = chosen.target
        thing = admitted.call.thing if admitted.route.by_object else ''
        work_s = max(0.001, elapsed_s - chosen.transit_s - chosen.wait_s)
        self._beliefs.placement.note_served(admitted.service, chosen, elapsed_s)
        times = self._beliefs.placement.times
        knew = target.knows(thing) or times.was_warm(admitted.service, work_s)
        usual_s = times.get(admitted.service, 1 if knew else 0)
        target.history.note_success(work_s / usual_s)
        times.note(admitted.service, work_s)
        if thing:
            if chosen.chance > 0:
                target.note_hit(times.was_warm(admitted.service, work_s))
            target.note_handled(thing)

    def _refuse(
        self,
        call: Call,
        reason: Reason,
        after_s: float | None = None,
        team: Team | None = None,
    ) -> Outbound:
        log_event(
            'request_refused',
            level='WARNING',
            request=call.request_id,
            reason=reason,
            team=team.name if team else None,
            version=self._beliefs.configuration.version,
            config_age_s=self._beliefs.freshness.age(),
        )
        self._meter.count('refused', reason)
        return _encode_refusal(NotRun(reason), after_s)

    def _encode(self, ending: Ending) -> Outbound:
        match ending:
            case Settled(answer):
                return self._wire.encode_answer(answer)
            case TryLater(refusal, after_s):
                return _encode_refusal(refusal, after_s)
            case NotRun():
                return _encode_refusal(ending, LEAST_RETRY_AFTER_S)
            case OutcomeUnknown(Reason.deadline):
                return Outbound(HTTPStatus.GATEWAY_TIMEOUT)
            case OutcomeUnknown():
                return Outbound(HTTPStatus.BAD_GATEWAY)

    def _log_end(self, admitted: Admission, tries: '_Tries', ending: Ending) -> None:
        outcome, reason = _describe(ending)
        elapsed_s = self._clock.now() - admitted.started_at
        self._meter.count(outcome, reason)
        self._meter.time(outcome, elapsed_s)
        last = tries.last
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
            thing=admitted.call.thing,
            tries=tries.count,
            targets=','.join(tries.ids),
            domain=last.target.record.place.failure_domain if last else None,
            expected_s=last.expected_s if last else None,
            wait_s=last.wait_s if last else None,
            chance=last.chance if last else None,
            homes=','.join(sorted(admitted.homes)),
            candidates=tries.candidates,
            version=self._beliefs.configuration.version,
        )


class _Tries:
    """The tries of one request: how often and where it may go, and what is known."""

    def __init__(self, beliefs: Beliefs, admitted: Admission, clock: Clock) -> None:
        self._beliefs = beliefs
        self._admitted = admitted
        self._clock = clock
        self._sent = 0
        self._may_have_run = False
        self._failed: Settled | None = None
        self.last: Chosen | None = None
        self.candidates = 0
        self.ids: list[str] = []

    @property
    def count(self) -> int:
        """Number of tries begun."""
        return len(self.ids)

    def may_go_on(self) -> bool:
        """Return whether there is time and a try left."""
        admitted = self._admitted
        in_time = self._clock.now() < admitted.ends_at
        return (
            in_time and self.count < MAX_TRIES and self._sent < admitted.route.attempts
        )

    def choose(self) -> Chosen | NoRoom:
        """Return the target for the next try."""
        admitted = self._admitted
        config: Configuration | None = self._beliefs.configuration.value
        service = config.services.get(admitted.service) if config else None
        now = self._clock.now()
        need = Need(
            service=admitted.service,
            thing=admitted.call.thing if admitted.route.by_object else '',
            time_left_s=admitted.ends_at - now,
            target_left_s=admitted.target_at - now,
        )
        usable = [
            target
            for target in self._beliefs.targets.list_usable(admitted.service)
            if self._allows(target, service)
        ]
        return self._beliefs.placement.choose(need, usable)

    def begin(self, chosen: Chosen) -> None:
        """Record a try."""
        self.last = chosen
        self.candidates = chosen.candidates
        self.ids.append(chosen.target.record.id)
        self._sent += 1
        if chosen.target.coldness.is_cold():
            chosen.target.coldness.take_token(self._get_cold_rate(chosen.target))

    def prefer(self, ending: Ending) -> Ending:
        """Return the better one of `ending` and a failure that a target answered."""
        if not isinstance(ending, Settled):
            return self._failed or ending
        if ending.seen.status >= SERVER_ERROR:
            self._failed = ending
        return ending

    def may_repeat(self, ending: Ending) -> bool:
        """Return whether another target may get the request after `ending`."""
        match ending:
            case Settled(_, seen):
                failed = seen.status >= SERVER_ERROR
                self._may_have_run = True
                return failed and self._can_repeat() and self._take_repeat()
            case NotRun(Reason.unreachable):
                # Nothing arrived, so it is no repeat for the service.
                self._sent -= 1
                return True
            case NotRun():
                return self._take_repeat()
            case OutcomeUnknown():
                self._may_have_run = True
                return self._can_repeat() and self._take_repeat()
        return False

    def explain(self, no_room: NoRoom, ending: Ending) -> Ending:
        """Return the ending when no target can take the request now."""
        if self._may_have_run:
            return ending
        after_s = min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, no_room.room_in_s))
        detail = f'{no_room.candidates} targets weighed'
        return TryLater(NotRun(Reason.no_capacity, detail), after_s)

    def conclude(self, ending: Ending) -> Ending:
        """Return the ending when no try is left; no promise after a possible run."""
        if self._may_have_run and isinstance(ending, NotRun):
            return OutcomeUnknown(ending.reason)
        return ending

    def _can_repeat(self) -> bool:
        return self._admitted.route.kind.repeatable

    def _take_repeat(self) -> bool:
        if self._sent >= self._admitted.route.attempts:
            return False
        return self._beliefs.retries.take(self._admitted.service, self._beliefs.bounds)

    def _allows(self, target: Target, service) -> bool:
        homes = self._admitted.homes
        if homes and target.record.place.region not in homes:
            return False
        if target.record.id in self.ids:
            return False
        if service is None or not service.cold_rate or not target.coldness.is_cold():
            return True
        return target.coldness.has_token(self._get_cold_rate(target))

    def _get_cold_rate(self, target: Target) -> float:
        config = self._beliefs.configuration.value
        service = config.services[self._admitted.service]
        return self._beliefs.cold_bound.get_rate(
            target.record, service, self._beliefs.bounds
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


def _describe(ending: Ending) -> tuple[str, str]:
    match ending:
        case Settled(_, seen):
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
        bounded = min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, after_s))
        headers = (('Retry-After', f'{bounded:.2f}'),)
    body = f'{refusal.reason.value}\n'.encode()
    return Outbound(status, (*headers, ('Content-Type', 'text/plain')), body)
