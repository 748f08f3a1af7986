"""What an instance serves to callers and operators."""

from collections.abc import Callable
from urllib.parse import unquote

from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.answers import encode_refusal
from currantmast.runtime.entry import Entry
from currantmast.runtime.explanations import respond_explain
from currantmast.runtime.servers import Answer, Inbound, encode_json
from currantmast.runtime.status import describe_status
from currantmast.steering import Steering

SERVICE_PREFIX = '/s/'
LOOKUP_PREFIX = '/lookup/'
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class PublicApp:
    """Answers callers and operators.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    entry : Entry
        Serves requests for services.
    count_calls : callable
        Returns the calls made on the object API.
    """

    __slots__ = ('_count_calls', '_entry', '_steering', 'is_leaving')

    def __init__(
        self, steering: Steering, entry: Entry, count_calls: Callable[[], int]
    ) -> None:
        self._steering = steering
        self._entry = entry
        self._count_calls = count_calls
        self.is_leaving = False

    def respond(self, inbound: Inbound) -> Answer:
        """Return the answer to one request."""
        if inbound.path.startswith(SERVICE_PREFIX):
            return self._respond_service(inbound)
        if inbound.path.startswith(LOOKUP_PREFIX):
            return self._respond_lookup(inbound)
        return self._respond_operator(inbound)

    def _respond_operator(self, inbound: Inbound) -> Answer:
        match inbound.path:
            case '/health/live':
                return Answer(OK)
            case '/health/ready':
                return Answer(OK if self._is_ready() else UNAVAILABLE)
            case '/status':
                return encode_json(
                    OK, describe_status(self._steering, self._count_calls())
                )
            case '/explain':
                return respond_explain(self._steering, inbound)
        return Answer(NOT_FOUND)

    def _respond_service(self, inbound: Inbound) -> Answer:
        name, _, path = inbound.path.removeprefix(SERVICE_PREFIX).partition('/')
        query = f'?{inbound.query}' if inbound.query else ''
        return self._entry.respond(inbound, unquote(name), f'/{path}{query}')

    def _respond_lookup(self, inbound: Inbound) -> Answer:
        service = unquote(inbound.path.removeprefix(LOOKUP_PREFIX))
        steering = self._steering
        if steering.inventory is None:
            return encode_refusal(NotRun(Reason.no_configuration))
        if service not in steering.inventory.services:
            return encode_refusal(NotRun(Reason.service_unknown, service))
        caller = inbound.headers.get('caller-address', inbound.remote)
        origin = steering.locate(caller, use_shift=False)
        answer = steering.find_instances(caller, origin)
        lifetime = ('Cache-Control', f'max-age={int(answer.lifetime_s)}')
        return encode_json(OK, answer, lifetime)

    def _is_ready(self) -> bool:
        return self._steering.peering.is_ready and not self.is_leaving
