"""Seeded open-loop load from several sites and teams."""

import hashlib
import random
import time
from collections.abc import Iterator
from itertools import count
from types import MappingProxyType

import gevent
import msgspec
from gevent.pool import Group

from currantmast import client as callers
from currantmast.deployment import Service, ServiceKind, Site, Team
from currantmast.experiment.formats import Echo, make_path, read_echo
from currantmast.experiment.plans import FleetPlan
from currantmast.experiment.records import Call
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown

ORDER_BYTES = 400
UPLOAD_BYTES = 64_000
ANSWER_BYTES = 300
DRAIN_TIMEOUT_S = 20
"""Longest wait in seconds for calls that still run when the load ends."""

KIND_WEIGHTS = MappingProxyType(
    {
        ServiceKind.lookup: 0.75,
        ServiceKind.order: 0.2,
        ServiceKind.upload: 0.05,
    }
)
"""Part of the calls that each kind of service gets."""

METHODS = MappingProxyType(
    {
        ServiceKind.lookup: 'GET',
        ServiceKind.order: 'POST',
        ServiceKind.upload: 'PUT',
    }
)


class LoadShape(msgspec.Struct, frozen=True):
    """How much load to send, and from whom.

    Parameters
    ----------
    rate : float
        Calls per second, all callers together.
    seconds : float
        Length in seconds.
    team_factor : dict
        Factor on a team's part of the calls, by team; 1 where absent.
    teams, sites : tuple of str
        Teams and sites that call; all where empty.
    kinds : tuple of ServiceKind
        Kinds of services that are called; all where empty.
    keyed : bool
        Whether orders carry a request key.
    upload_bytes : int
        Size of an upload.
    deadline_s : float
        Deadline of each call, in seconds.
    """

    rate: float
    seconds: float
    team_factor: dict[str, float] = {}
    teams: tuple[str, ...] = ()
    sites: tuple[str, ...] = ()
    kinds: tuple[ServiceKind, ...] = ()
    keyed: bool = True
    upload_bytes: int = UPLOAD_BYTES
    deadline_s: float = 8


class Caller(msgspec.Struct, frozen=True):
    """One caller: a team at a site, with its connection."""

    name: str
    team: Team
    site: Site
    client: callers.Client


class Work(msgspec.Struct, frozen=True):
    """One call that the load has drawn."""

    id: str
    caller: Caller
    service: Service
    body: bytes
    request_key: str


class Load:
    """Load on a fleet; a context manager that closes the callers' connections.

    Parameters
    ----------
    plan : FleetPlan
        Fleet with the teams' keys.
    seed : int
        Seed of arrivals and choices.
    name : str
        Prefix of the call ids, unique within one experiment.

    Attributes
    ----------
    calls : list of Call
        Recorded calls, in the order of their ends.
    """

    def __init__(self, plan: FleetPlan, seed: int, name: str = 'load') -> None:
        self.calls: list[Call] = []
        self._plan = plan
        self._name = name
        self._random = random.Random(seed)
        self._numbers = count(1)
        self._group = Group()
        self._failures: list[BaseException] = []
        self._callers = {caller.name: caller for caller in make_callers(plan)}

    def __enter__(self) -> 'Load':
        """Return the load itself."""
        return self

    def __exit__(self, *failure: object) -> None:
        """End the calls that still run and close all connections."""
        self._group.kill()
        for caller in self._callers.values():
            caller.client.close()

    def __repr__(self) -> str:
        """Return the number of recorded calls."""
        return f'<Load {self._name} calls={len(self.calls)}>'

    def run(self, shape: LoadShape) -> None:
        """Send calls at random times, independent of how fast they are answered."""
        until = time.monotonic() + shape.seconds
        due = time.monotonic()
        choices = list(self._list_choices(shape))
        while due < until:
            gevent.sleep(max(0, due - time.monotonic()))
            work = self._draw(choices, shape)
            task = self._group.spawn(self._send, work, shape.deadline_s)
            task.link_exception(self._note_failure)
            due += self._random.expovariate(shape.rate)
        self.join()

    def join(self) -> None:
        """Wait for the calls that still run; raise the first failure of a caller's task."""
        self._group.join(DRAIN_TIMEOUT_S)
        if self._failures:
            raise self._failures[0]

    def spawn(self, shape: LoadShape) -> gevent.Greenlet:
        """Run the load in the background and return its task."""
        return gevent.spawn(self.run, shape)

    def _list_choices(self, shape: LoadShape) -> Iterator['_Choice']:
        services = {item.id: item for item in self._plan.deployment.base.services}
        for caller in self._callers.values():
            for name in caller.team.services:
                choice = _weigh(caller, services[name], shape)
                if choice.weight:
                    yield choice

    def _draw(self, choices: list['_Choice'], shape: LoadShape) -> Work:
        weights = [choice.weight for choice in choices]
        choice = self._random.choices(choices, weights)[0]
        call_id = f'{self._name}-{next(self._numbers)}'
        kind = choice.service.kind
        body = make_body(kind, call_id, shape.upload_bytes)
        keyed = shape.keyed and kind is ServiceKind.order
        request_key = make_request_key(call_id) if keyed else ''
        return Work(call_id, choice.caller, choice.service, body, request_key)

    def _send(self, work: Work, deadline_s: float) -> None:
        self.calls.append(make_call(work, deadline_s))

    def _note_failure(self, task: gevent.Greenlet) -> None:
        self._failures.append(task.exception)


class _Choice(msgspec.Struct, frozen=True):
    """A caller and service with its part of the calls."""

    caller: Caller
    service: Service
    weight: float


def _weigh(caller: Caller, service: Service, shape: LoadShape) -> _Choice:
    """Return the choice with its weight; 0 where `shape` leaves it out."""
    wanted = (
        _is_wanted(caller.team.id, shape.teams),
        _is_wanted(caller.site.id, shape.sites),
        _is_wanted(service.kind, shape.kinds),
    )
    factor = shape.team_factor.get(caller.team.id, 1)
    weight = caller.team.rate * factor * KIND_WEIGHTS[service.kind]
    return _Choice(caller, service, weight * all(wanted))


def _is_wanted(name: str, wanted: tuple[str, ...]) -> bool:
    return not wanted or name in wanted


def make_request_key(token: str) -> str:
    """Return the request key of this second for `token`."""
    return f'{int(time.time())}.{token}'


def make_callers(plan: FleetPlan) -> Iterator[Caller]:
    """Yield one caller for each team at each site."""
    entries = tuple(str(instance.public) for instance in plan.instances)
    for team in plan.deployment.base.teams:
        for site in plan.deployment.sites:
            address = choose_address(site)
            connection = callers.Client(entries, plan.keys[team.id], address)
            yield Caller(f'{team.id}@{site.id}', team, site, connection)


def choose_address(site: Site) -> str:
    """Return a client address of `site`."""
    return site.blocks[0].partition('/')[0]


def make_body(kind: ServiceKind, call_id: str, upload_bytes: int) -> bytes:
    """Return a request body that no other call has."""
    match kind:
        case ServiceKind.lookup:
            return b''
        case ServiceKind.order:
            size = ORDER_BYTES
        case ServiceKind.upload:
            size = upload_bytes
    mark = f'{call_id};'.encode()
    return (mark * (size // len(mark) + 1))[:size]


def make_call(work: Work, deadline_s: float) -> Call:
    """Send `work` through its caller and return the record."""
    path = make_path(work.id, ANSWER_BYTES)
    request = callers.Call(
        work.service.id,
        METHODS[work.service.kind],
        path,
        work.body,
        work.request_key,
        deadline_s,
    )
    sent = time.monotonic()
    answer = work.caller.client.call(request)
    return record_call(work, answer, sent)


def record_call(work: Work, answer: callers.Answer, sent: float) -> Call:
    """Return the record of a finished call.

    Parameters
    ----------
    work : Work
        What was sent.
    answer : Answer
        How it ended.
    sent : float
        Monotonic time of sending, in seconds.
    """
    own, whole = judge_answer(work, answer)
    return Call(
        id=work.id,
        caller=work.caller.name,
        site=work.caller.site.id,
        team=work.caller.team.id,
        service=work.service.id,
        kind=work.service.kind,
        sent=sent,
        ended=time.monotonic(),
        outcome=name_outcome(answer.outcome),
        key=f'{work.caller.team.id}/0',
        reason=get_reason(answer.outcome),
        status=answer.response.status if answer.response else 0,
        sent_bytes=len(work.body),
        bytes=len(answer.body),
        own=own,
        whole=whole,
        request_id=answer.request_id,
        request_key=work.request_key,
        instance=answer.instance,
        attempts=answer.attempts,
    )


class Judgement(msgspec.Struct, frozen=True, array_like=True):
    """Whether an answer is the call's own, and complete."""

    own: bool
    whole: bool

    def __iter__(self) -> Iterator[bool]:
        """Yield both verdicts."""
        yield self.own
        yield self.whole


def judge_answer(work: Work, answer: callers.Answer) -> Judgement:
    """Compare an answer with what was sent; only a `Done` answer is judged."""
    if not isinstance(answer.outcome, Done):
        return Judgement(own=True, whole=True)
    echo = read_echo(answer.body)
    if echo is None:
        return Judgement(own=False, whole=False)
    return Judgement(own=is_own(work, echo), whole=is_whole(work, echo))


def is_own(work: Work, echo: Echo) -> bool:
    """Return whether the answer names the call."""
    return echo.call_id == work.id


def is_whole(work: Work, echo: Echo) -> bool:
    """Return whether the target got the whole body and the answer has all its padding."""
    arrived = echo.sha256 == hashlib.sha256(work.body).hexdigest()
    return arrived and echo.padding_bytes == ANSWER_BYTES


def name_outcome(outcome: Outcome) -> str:
    """Return the outcome as the ``Outcome`` header names it."""
    match outcome:
        case Done():
            return 'done'
        case NotRun():
            return 'not-run'
        case OutcomeUnknown():
            return 'unknown'


def get_reason(outcome: Outcome) -> str:
    """Return the reason of an outcome; empty for `Done`."""
    match outcome:
        case NotRun(reason):
            return str(reason)
        case OutcomeUnknown(reason):
            return str(reason)
        case _:
            return ''
