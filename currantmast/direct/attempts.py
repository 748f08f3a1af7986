"""Attempts of one request: where it may be sent, how often, and with what result."""

import math

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.retries import finalize_outcome
from currantmast.direct.answers import Answer
from currantmast.direct.choices import Choice, NoCapacity, Requirements
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.model import Configuration, Route, Service, Team
from currantmast.direct.requests import CallerRequest, TargetAnswer
from currantmast.direct.targets import Target, TargetTable
from currantmast.direct.urgency import Urgency, make_urgency
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason

# Limits in seconds of the time after which a refused caller may retry.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0

# Maximum number of attempts for one request, including those at unreachable targets,
# which the route's limit doesn't count.
MAX_ATTEMPTS = 4

# Lowest HTTP status of a failed request.
SERVER_ERROR = 500


class Admission(msgspec.Struct, frozen=True):
    """A request that passed the checks of route, team and rate.

    Parameters
    ----------
    call : CallerRequest
        The decoded request.
    route : Route
        Route that matches it.
    team : Team or None
        Team of the caller; None when the route is keyless or no teams exist.
    service : str
        Service that the request is for.
    allowed_regions : frozenset of str
        Regions that may serve it; empty for all, and one empty name for none.
    started_at : float
        Time at which the request arrived.
    deadline_at : float
        Time after which no answer is awaited.
    objective_at : float
        Time after which the answer misses the latency objective of the route.
    by_cost : bool
        Whether overload control places it.
    """

    call: CallerRequest
    route: Route
    team: Team | None
    service: str
    allowed_regions: frozenset[str]
    started_at: float
    deadline_at: float
    objective_at: float
    by_cost: bool = False

    @property
    def team_name(self) -> str:
        """Name of the team; empty for none."""
        return self.team.name if self.team else ''

    @property
    def urgency(self) -> Urgency:
        """Priorities by which the request is ranked."""
        return make_urgency(self.team, self.route)

    @property
    def object_key(self) -> str:
        """Object that the request has affinity for; empty for none.

        Targets cache the same key of two routes as two objects.
        """
        if not self.route.has_affinity or not self.call.object_key:
            return ''
        if self.by_cost:
            return f'{self.route.name}|{self.call.object_key}'
        return self.call.object_key


class Answered(msgspec.Struct, frozen=True):
    """A target answered; the caller gets this answer unless a later one replaces it."""

    answer: Answer
    target_answer: TargetAnswer


class TryLater(msgspec.Struct, frozen=True):
    """No target has capacity; one is expected to in `after_s` seconds."""

    refusal: NotRun
    after_s: float


# Ways in which an attempt, or the whole request, ends.
AttemptResult = Answered | TryLater | NotRun | OutcomeUnknown


class Attempts:
    """Chooses the targets for the attempts of one request and decides about retries.

    Parameters
    ----------
    state : InstanceState
        State of this instance.
    admission : Admission
        The request.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, state: InstanceState, admission: Admission, clock: Clock
    ) -> None:
        self._state = state
        self._admission = admission
        self._clock = clock
        # Attempts that count towards the route's limit: all but those at
        # unreachable targets.
        self._sent = 0
        self._may_have_run = False
        # Whether the next attempt is still to be taken from the retry budget.
        self._owes_retry = False
        self._failed_answer: Answered | None = None
        self.last_choice: Choice | None = None
        self.candidates = 0
        # Targets whose limits left no token at the last choice.
        self.limited = 0
        self.no_capacity = NoCapacity(0, 0)
        # Seconds for which the request waited here for room at a target.
        self.waited_s: float = 0
        self.target_ids: list[str] = []

    @property
    def count(self) -> int:
        """Number of attempts started."""
        return len(self.target_ids)

    def has_attempt_left(self) -> bool:
        """Return whether time and an attempt are left."""
        admission = self._admission
        in_time = self._clock.now() < admission.deadline_at
        return (
            in_time
            and self.count < MAX_ATTEMPTS
            and self._sent < admission.route.attempts
            and self._state.stop.may_finish(
                (admission.service,), admission.started_at, admission.deadline_at
            )
        )

    def choose(self) -> Choice | NoCapacity:
        """Return the target for the next attempt."""
        admission = self._admission
        service = self._find_service()
        now = self._clock.now()
        usable = [
            target
            for target in self._state.targets.list_usable(admission.service)
            if self._allows(target, service)
        ]
        limits = self._state.target_limits
        limited = limits.select_limited(target.record.id for target in usable)
        self.limited = len(limited.exhausted)
        requirements = Requirements(
            service=admission.service,
            object_key=admission.object_key,
            time_left_s=admission.deadline_at - now,
            objective_left_s=admission.objective_at - now,
            limited=limited,
            work=admission.route.name,
            by_cost=admission.by_cost,
            absent=self._list_absent(usable) if admission.by_cost else (),
        )
        choice = self._state.placement.choose(requirements, usable)
        if isinstance(choice, NoCapacity):
            waits = map(limits.get_wait, limited.exhausted)
            available_in_s = min(
                choice.available_in_s,
                *waits,
                _get_pause(self._state.targets, admission.service),
            )
            return msgspec.structs.replace(choice, available_in_s=available_in_s)
        return choice

    def may_wait(self, no_capacity: NoCapacity) -> bool:
        """Return whether the request may wait here until a target has room.

        Not if there is no target, or all are at the limits that they name: those don't
        get room within a moment.
        """
        has_target = self.limited < no_capacity.candidates
        # Time brings room to targets that are full, but not to those that are too slow.
        is_short = no_capacity.full or no_capacity.strange or no_capacity.held
        ranked = self._state.configuration.ranks.enabled
        return bool(ranked and has_target and is_short) and not self._may_have_run

    def affords_retry(self) -> bool:
        """Return whether the budget still has the retry that is about to be sent."""
        if not self._owes_retry:
            return True
        service = self._admission.service
        rank = self._state.configuration.ranks.get_rank(
            service, self._admission.urgency
        )
        return self._state.retries.has_left(service, self._state.bounds, rank)

    def begin(self, choice: Choice) -> None:
        """Record the start of an attempt; if its target is cold, take a token for it."""
        self.last_choice = choice
        self.candidates = choice.candidates
        self.target_ids.append(choice.target.record.id)
        self._sent += 1
        if self._owes_retry:
            self._owes_retry = False
            self._state.retries.spend(self._admission.service, self._state.bounds)
        self._state.target_limits.take_token(choice.target.record.id)
        choice.target.ramp_up.note_sent()
        service = self._find_service()
        if service is not None and choice.target.cold_start.is_cold():
            rate = self._get_cold_rate(choice.target, service)
            choice.target.cold_start.take_token(rate)

    def keep_failure(self, result: AttemptResult) -> AttemptResult:
        """Return `result`, or an earlier failed answer if this attempt got no answer."""
        if not isinstance(result, Answered):
            return self._failed_answer or result
        if result.target_answer.status >= SERVER_ERROR:
            self._failed_answer = result
        return result

    def may_retry(self, result: AttemptResult) -> bool:
        """Return whether another target may get the request, and use the retry budget."""
        match result:
            case Answered(_, target_answer):
                failed = target_answer.status >= SERVER_ERROR
                self._may_have_run = True
                return failed and self._is_retryable() and self._take_retry()
            case NotRun(Reason.unreachable):
                # The target got nothing, so this doesn't count as an attempt.
                self._sent -= 1
                return True
            case NotRun():
                return self._take_retry()
            case OutcomeUnknown():
                self._may_have_run = True
                return self._is_retryable() and self._take_retry()
        return False

    def end_without_capacity(
        self, no_capacity: NoCapacity, result: AttemptResult
    ) -> AttemptResult:
        """Return the result when no target has capacity for the request."""
        self.candidates = no_capacity.candidates
        self.no_capacity = no_capacity
        if self._may_have_run:
            return self.conclude(result)
        after_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, no_capacity.available_in_s)
        )
        detail = f'{no_capacity.candidates} targets weighed'
        return TryLater(NotRun(Reason.no_capacity, detail), after_s)

    def conclude(self, result: AttemptResult) -> AttemptResult:
        """Return the result when no attempt is left.

        "Not run" becomes "unknown" if a target may have run the request.
        """
        if isinstance(result, NotRun):
            return finalize_outcome(result, self._may_have_run)
        return result

    def _is_retryable(self) -> bool:
        return self._admission.route.kind.repeatable

    def _take_retry(self) -> bool:
        if self._sent >= self._admission.route.attempts:
            return False
        service = self._admission.service
        ranks = self._state.configuration.ranks
        if not ranks.enabled:
            return self._state.retries.take(service, self._state.bounds)
        # Taken when the attempt begins, as there may be no time or no target for it.
        self._owes_retry = True
        self._owes_retry = self.affords_retry()
        return self._owes_retry

    def _allows(self, target: Target, service: Service | None) -> bool:
        if not self._serves_region(target):
            return False
        if target.record.id in self.target_ids or not self._state.ramping.may_send(
            target
        ):
            return False
        if service is None or not service.cold_rate or not target.cold_start.is_cold():
            return True
        return target.cold_start.has_token(self._get_cold_rate(target, service))

    def _list_absent(self, usable: list[Target]) -> tuple[Target, ...]:
        """Return the other targets that objects are assigned to."""
        admission = self._admission
        used = {target.record.id for target in usable}
        return tuple(
            target
            for target in self._state.targets.list_listed(admission.service)
            if target.record.id not in used and self._serves_region(target)
        )

    def _serves_region(self, target: Target) -> bool:
        allowed_regions = self._admission.allowed_regions
        return not allowed_regions or target.record.location.region in allowed_regions

    def _find_service(self) -> Service | None:
        config: Configuration | None = self._state.configuration.value
        return config.services.get(self._admission.service) if config else None

    def _get_cold_rate(self, target: Target, service: Service) -> float:
        return self._state.cold_start_limit.get_rate(
            target.record, service, self._state.bounds
        )


def get_reported_load(result: AttemptResult) -> int | None:
    """Return the number of requests that the target reported with its answer."""
    if isinstance(result, Answered) and result.target_answer.load is not None:
        return result.target_answer.load.running + result.target_answer.load.waiting
    return None


def get_outcome(result: AttemptResult) -> tuple[str, str]:
    """Return the outcome and its reason, as logs and metrics name them."""
    match result:
        case Answered(_, target_answer):
            return 'answered', str(target_answer.status)
        case TryLater(refusal, _):
            return 'refused', refusal.reason.value
        case NotRun(reason):
            return 'refused', reason.value
        case OutcomeUnknown(reason):
            return 'unknown', reason.value


def _get_pause(targets: TargetTable, service: str) -> float:
    """Return in how many seconds the first target that wants a pause is back."""
    pauses = (
        targets.notices.get_pause(target.record.id)
        for target in targets.list_service(service)
    )
    return min((pause_s for pause_s in pauses if pause_s), default=math.inf)
