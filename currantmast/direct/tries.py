"""Attempts of one request: where it may be sent, how often, and with what result."""

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.retries import conclude
from currantmast.direct.answers import Answer
from currantmast.direct.beliefs import Beliefs
from currantmast.direct.model import Configuration, Route, Service, Team
from currantmast.direct.placement import Chosen, Need, NoRoom
from currantmast.direct.requests import Call, TargetAnswer
from currantmast.direct.targets import Target
from currantmast.outcomes import NotRun, OutcomeUnknown, Reason

# Limits in seconds of the time after which a refused caller may retry.
LEAST_RETRY_AFTER_S = 0.1
MOST_RETRY_AFTER_S = 1.0

# Attempts for one request, including those at unreachable targets, which the route's
# limit doesn't count.
MAX_ATTEMPTS = 4

SERVER_ERROR = 500


class Admission(msgspec.Struct, frozen=True):
    """A request that passed the checks of route, team and rate.

    Parameters
    ----------
    call : Call
        The decoded request.
    route : Route
        Route that matches it.
    team : Team or None
        Team of the caller; None when the route is open or no teams exist.
    service : str
        Service that the request is for.
    homes : frozenset of str
        Regions that may serve it; empty for all.
    started_at : float
        Time at which the request arrived.
    ends_at : float
        Time after which no answer is awaited.
    target_at : float
        Time after which the answer misses the latency objective of the route.
    """

    call: Call
    route: Route
    team: Team | None
    service: str
    homes: frozenset[str]
    started_at: float
    ends_at: float
    target_at: float

    @property
    def thing(self) -> str:
        """Object that the request has affinity for; empty for none."""
        return self.call.thing if self.route.by_object else ''


class Settled(msgspec.Struct, frozen=True):
    """A target answered, and the caller gets this answer."""

    answer: Answer
    seen: TargetAnswer


class TryLater(msgspec.Struct, frozen=True):
    """No target has capacity; one is expected to in `after_s` seconds."""

    refusal: NotRun
    after_s: float


Ending = Settled | TryLater | NotRun | OutcomeUnknown


class Tries:
    """Attempts of one request, which choose targets and decide about retries.

    Parameters
    ----------
    beliefs : Beliefs
        State of this instance.
    admitted : Admission
        The request.
    clock : Clock
        Source of time.
    """

    def __init__(self, beliefs: Beliefs, admitted: Admission, clock: Clock) -> None:
        self._beliefs = beliefs
        self._admitted = admitted
        self._clock = clock
        self._sent = 0
        self._may_have_run = False
        self._failed_answer: Settled | None = None
        self.last: Chosen | None = None
        self.candidates = 0
        self.no_room = NoRoom(0, 0)
        self.ids: list[str] = []

    @property
    def count(self) -> int:
        """Number of attempts started."""
        return len(self.ids)

    def may_go_on(self) -> bool:
        """Return whether time and an attempt are left."""
        admitted = self._admitted
        in_time = self._clock.now() < admitted.ends_at
        return (
            in_time
            and self.count < MAX_ATTEMPTS
            and self._sent < admitted.route.attempts
        )

    def choose(self) -> Chosen | NoRoom:
        """Return the target for the next attempt."""
        admitted = self._admitted
        service = self._find_service()
        now = self._clock.now()
        need = Need(
            service=admitted.service,
            thing=admitted.thing,
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
        """Record the start of an attempt."""
        self.last = chosen
        self.candidates = chosen.candidates
        self.ids.append(chosen.target.record.id)
        self._sent += 1
        service = self._find_service()
        if service is not None and chosen.target.coldness.is_cold():
            rate = self._get_cold_rate(chosen.target, service)
            chosen.target.coldness.take_token(rate)

    def prefer(self, ending: Ending) -> Ending:
        """Return `ending`, or an earlier answered failure if no target answered now."""
        if not isinstance(ending, Settled):
            return self._failed_answer or ending
        if ending.seen.status >= SERVER_ERROR:
            self._failed_answer = ending
        return ending

    def may_repeat(self, ending: Ending) -> bool:
        """Return whether the request may be retried on another target after `ending`."""
        match ending:
            case Settled(_, seen):
                failed = seen.status >= SERVER_ERROR
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

    def explain(self, no_room: NoRoom, ending: Ending) -> Ending:
        """Return the result when no target has capacity for the request."""
        self.candidates = no_room.candidates
        self.no_room = no_room
        if self._may_have_run:
            return self.conclude(ending)
        after_s = min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, no_room.room_in_s))
        detail = f'{no_room.candidates} targets compared'
        return TryLater(NotRun(Reason.no_capacity, detail), after_s)

    def conclude(self, ending: Ending) -> Ending:
        """Return the result when no attempt is left.

        "Not run" becomes "unknown" if a target may have run the request.
        """
        if isinstance(ending, NotRun):
            return conclude(ending, self._may_have_run)
        return ending

    def _is_retryable(self) -> bool:
        return self._admitted.route.kind.repeatable

    def _take_retry(self) -> bool:
        if self._sent >= self._admitted.route.attempts:
            return False
        return self._beliefs.retries.take(self._admitted.service, self._beliefs.bounds)

    def _allows(self, target: Target, service: Service | None) -> bool:
        homes = self._admitted.homes
        if homes and target.record.place.region not in homes:
            return False
        if target.record.id in self.ids:
            return False
        if service is None or not service.cold_rate or not target.coldness.is_cold():
            return True
        return target.coldness.has_token(self._get_cold_rate(target, service))

    def _find_service(self) -> Service | None:
        config: Configuration | None = self._beliefs.configuration.value
        return config.services.get(self._admitted.service) if config else None

    def _get_cold_rate(self, target: Target, service: Service) -> float:
        return self._beliefs.cold_bound.get_rate(
            target.record, service, self._beliefs.bounds
        )
