"""What an instance serves to its peers: work, configuration, fleet record."""

from urllib.parse import unquote

import msgspec

from currantmast.decisions.links import LinkReservation
from currantmast.outcomes import NotRun, Reason
from currantmast.pages import encode_configuration
from currantmast.runtime.answers import make_answer
from currantmast.runtime.claimrouter import ClaimRouter
from currantmast.runtime.hops import HEAD_BYTES, LINK_POLL_S
from currantmast.runtime.logs import log_event
from currantmast.runtime.owner import Owner
from currantmast.runtime.servers import (
    SMALL_BODY_BYTES,
    Answer,
    BodyBroken,
    Inbound,
)
from currantmast.steering import Steering
from currantmast.work import Work, WorkAnswer, filter_headers

MS_PER_S = 1000
NOT_FOUND = Answer(404)
WORK_PREFIX = '/requests/'


class PeerApp:
    """Answers the requests of peers.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    owner : Owner
        Runs work on the targets of this instance.
    claims : ClaimRouter
        Serves the claim partitions of this instance.
    """

    __slots__ = ('_claims', '_owner', '_steering')

    def __init__(self, steering: Steering, owner: Owner, claims: ClaimRouter) -> None:
        self._steering = steering
        self._owner = owner
        self._claims = claims

    def respond(self, inbound: Inbound) -> Answer:
        """Return the answer to a peer."""
        if inbound.path.startswith(WORK_PREFIX):
            return self._respond_work(inbound)
        match inbound.path:
            case '/config' if self._steering.configuration is not None:
                body = encode_configuration(self._steering.configuration)
                return Answer(200, body=body)
            case '/claims':
                return self._respond_claims(inbound)
            case '/fleet' if self._steering.peering.record.epoch:
                return Answer(
                    200, body=msgspec.json.encode(self._steering.peering.record)
                )
        return NOT_FOUND

    def _respond_claims(self, inbound: Inbound) -> Answer:
        try:
            return Answer(200, body=self._claims.serve(inbound.read_body()))
        except (BodyBroken, ValueError) as error:
            log_event('claim_call_rejected', level='WARNING', error=error)
            return Answer(400)

    def _respond_work(self, inbound: Inbound) -> Answer:
        request_id = inbound.headers.get('request-id', '')
        try:
            work = self._parse_work(inbound, request_id)
        except (BodyBroken, KeyError, ValueError) as error:
            refusal = NotRun(Reason.bad_request, f'{type(error).__name__}: {error}')
            return make_answer(WorkAnswer(refusal), request_id)
        answer = self._owner.run(work)
        self._wait_for_link(work, answer)
        return make_answer(answer, request_id)

    def _parse_work(self, inbound: Inbound, request_id: str) -> Work:
        if self._steering.inventory is None:
            raise KeyError('no configuration')
        name, _, path = inbound.path.removeprefix(WORK_PREFIX).partition('/')
        service = self._steering.inventory.services[unquote(name)]
        headers = inbound.headers
        length = inbound.length or 0
        small = length <= SMALL_BODY_BYTES
        query = f'?{inbound.query}' if inbound.query else ''
        remaining_s = int(headers['deadline-ms']) / MS_PER_S
        return Work(
            request_id=request_id,
            team=headers.get('team'),
            service=service,
            method=inbound.method,
            path=f'/{path}{query}',
            headers=filter_headers(headers),
            body=inbound.read_body() if small else inbound.iterate_body(),
            length=length,
            deadline_at=self._steering.clock.now() + remaining_s,
            request_key=headers.get('request-key'),
            entry=headers.get('entry', ''),
            entry_region=headers.get('entry-region', ''),
            suspicion=headers.get('suspicion', ''),
        )

    def _wait_for_link(self, work: Work, answer: WorkAnswer) -> None:
        """Take the bytes of the answer from the link's budget before they cross it.

        At the deadline the answer is sent all the same if its entry still waits: work
        that has run must not be reported as lost for the sake of a short delay.
        """
        clock = self._steering.clock
        own_region = self._steering.member.region
        missing = HEAD_BYTES + len(answer.body)
        with LinkReservation(
            self._steering.shares, own_region, work.entry_region or own_region
        ) as link:
            while missing and clock.now() < work.deadline_at:
                reserved = link.reserve(missing)
                missing -= reserved
                link.record_sent(reserved)
                if not reserved:
                    clock.sleep(LINK_POLL_S)
