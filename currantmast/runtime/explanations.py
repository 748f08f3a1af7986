"""Explanations of decisions for operators."""

from urllib.parse import parse_qs

import msgspec

from currantmast.decisions.routing import Route, RouteRequest, Score
from currantmast.deployment import Service
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.answers import encode_refusal
from currantmast.runtime.servers import Answer, Inbound, encode_json
from currantmast.steering import Origin, Steering

MS_PER_S = 1000
OK = 200


class Candidate(msgspec.Struct, frozen=True):
    """One owner as routing rates it; `delay_ms` is None where no link leads to it."""

    owner: str
    region: str
    free: int
    usable: int
    queued: int
    age_s: float
    delay_ms: float | None
    weight: float
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


def respond_explain(steering: Steering, inbound: Inbound) -> Answer:
    """Return why a request of a caller and team would go where it goes.

    Nothing is sent and no rate is used.
    """
    query = {name: texts[0] for name, texts in parse_qs(inbound.query).items()}
    if steering.inventory is None:
        return encode_refusal(NotRun(Reason.no_configuration))
    service = steering.inventory.services.get(query.get('service', ''))
    if service is None:
        return encode_refusal(NotRun(Reason.service_unknown))
    origin = steering.locate(query.get('caller', ''), use_shift=False)
    request = _make_request(steering, service, origin, query.get('team', ''))
    return encode_json(OK, _explain(steering, service, origin, request))


def _make_request(
    steering: Steering, service: Service, origin: Origin, team: str
) -> RouteRequest:
    return RouteRequest(
        service=service.id,
        team=team,
        home_region=origin.region,
        entry_region=steering.member.region,
        deadline_s=service.timeout_ms / MS_PER_S,
        idempotent=service.idempotent,
    )


def _explain(
    steering: Steering, service: Service, origin: Origin, request: RouteRequest
) -> Explanation:
    team = steering.inventory.teams.get(request.team or '')
    listed = team is not None and service.id in team.services
    return Explanation(
        site=origin.site,
        home=origin.home,
        region=origin.region,
        team=request.team or '',
        allowed=service.open_to_all or listed,
        decision=_describe_route(steering.route(request)),
        candidates=tuple(
            _describe_score(score) for score in steering.explain_route(request)
        ),
    )


def _describe_route(route: Route | NotRun) -> str:
    match route:
        case NotRun(reason, detail):
            return f'refuse {reason}: {detail}'
        case Route():
            return f'{route.owner_id} in {route.region} because {route.reason}'


def _describe_score(score: Score) -> Candidate:
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
        weight=score.weight,
        obstacle=score.obstacle,
    )
