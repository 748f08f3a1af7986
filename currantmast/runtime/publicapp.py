"""What an instance serves to callers and operators."""

from urllib.parse import parse_qs, unquote

import msgspec

from currantmast.decisions.routing import RouteRequest
from currantmast.outcomes import NotRun, Reason, choose_status
from currantmast.runtime.entry import Entry, Refusal
from currantmast.runtime.servers import Answer, Inbound, encode_json
from currantmast.runtime.status import describe_status
from currantmast.steering import Steering

MS_PER_S = 1000
SERVICE_PREFIX = '/s/'
LOOKUP_PREFIX = '/lookup/'
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class Candidate(msgspec.Struct, frozen=True):
    """One owner as routing rates it; `cost` is None where it is infinite."""

    owner: str
    region: str
    free: int
    usable: int
    queued: int
    age_s: float
    delay_ms: float | None
    cost: float | None
    obstacle: str


class Explanation(msgspec.Struct, frozen=True):
    """Why a request of a caller would go where it goes."""

    site: str
    home: str
    region: str
    team: str
    allowed: bool
    decision: str
    candidates: tuple[Candidate, ...]


class PublicApp:
    """Answers callers and operators.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    entry : Entry
        Serves requests for services.
    """

    __slots__ = ('_entry', '_steering', 'is_leaving')

    def __init__(self, steering: Steering, entry: Entry) -> None:
        self._steering = steering
        self._entry = entry
        self.is_leaving = False

    def respond(self, inbound: Inbound) -> Answer:
        """Return the answer to one request."""
        if inbound.path.startswith(SERVICE_PREFIX):
            return self._respond_service(inbound)
        if inbound.path.startswith(LOOKUP_PREFIX):
            return self._respond_lookup(inbound)
        match inbound.path:
            case '/health/live':
                return Answer(OK)
            case '/health/ready':
                return Answer(OK if self._is_ready() else UNAVAILABLE)
            case '/status':
                return encode_json(OK, describe_status(self._steering))
            case '/explain':
                return self._respond_explain(inbound)
        return Answer(NOT_FOUND)

    def _respond_service(self, inbound: Inbound) -> Answer:
        name, _, path = inbound.path.removeprefix(SERVICE_PREFIX).partition('/')
        query = f'?{inbound.query}' if inbound.query else ''
        return self._entry.respond(inbound, unquote(name), f'/{path}{query}')

    def _respond_lookup(self, inbound: Inbound) -> Answer:
        service = unquote(inbound.path.removeprefix(LOOKUP_PREFIX))
        steering = self._steering
        if steering.inventory is None:
            return _refuse(NotRun(Reason.no_configuration))
        if service not in steering.inventory.services:
            return _refuse(NotRun(Reason.service_unknown, service))
        caller = inbound.headers.get('caller-address', inbound.remote)
        origin = steering.locate(caller, use_shift=False)
        answer = steering.find_instances(caller, origin)
        lifetime = ('Cache-Control', f'max-age={int(answer.lifetime_s)}')
        return encode_json(OK, answer, lifetime)

    def _respond_explain(self, inbound: Inbound) -> Answer:
        query = {name: texts[0] for name, texts in parse_qs(inbound.query).items()}
        steering = self._steering
        if steering.inventory is None:
            return _refuse(NotRun(Reason.no_configuration))
        service = steering.inventory.services.get(query.get('service', ''))
        if service is None:
            return _refuse(NotRun(Reason.service_unknown))
        origin = steering.locate(query.get('caller', ''), use_shift=False)
        team = steering.inventory.teams.get(query.get('team', ''))
        request = RouteRequest(
            service=service.id,
            team=team and team.id,
            home_region=origin.region,
            entry_region=steering.member.region,
            deadline_s=service.timeout_ms / MS_PER_S,
            idempotent=service.idempotent,
        )
        route = steering.route(request)
        allowed = service.open_to_all or (
            team is not None and service.id in team.services
        )
        if isinstance(route, NotRun):
            decision = f'refuse {route.reason}: {route.detail}'
        else:
            decision = f'{route.owner_id} in {route.region} because {route.reason}'
        scores = steering.explain_route(request)
        return encode_json(
            OK,
            Explanation(
                site=origin.site,
                home=origin.home,
                region=origin.region,
                team=query.get('team', ''),
                allowed=allowed,
                decision=decision,
                candidates=tuple(_describe_score(score) for score in scores),
            ),
        )

    def _is_ready(self) -> bool:
        return self._steering.lease.is_valid() and not self.is_leaving


def _refuse(refusal: NotRun) -> Answer:
    body = Refusal('not-run', refusal.reason.value, refusal.detail)
    return encode_json(choose_status(refusal), body, ('Outcome', 'not-run'))


def _describe_score(score) -> Candidate:
    view = score.view
    infinite = float('inf')
    return Candidate(
        owner=view.member_id,
        region=view.region,
        free=view.count_free(),
        usable=view.usable,
        queued=view.queued,
        age_s=view.age_s,
        delay_ms=None if score.delay_s == infinite else score.delay_s * MS_PER_S,
        cost=None if score.cost == infinite else score.cost,
        obstacle=score.obstacle,
    )
