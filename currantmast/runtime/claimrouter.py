"""Claims, records and releases at whichever instance owns the partition of a key."""

import secrets
from collections.abc import Callable

import gevent
import msgspec

from currantmast.decisions.claimkeys import PARTITIONS, ClaimKey, parse_claim_key
from currantmast.decisions.claimrecords import (
    Fresh,
    InProgress,
    RecordedAnswer,
    Repeated,
    Unavailable,
)
from currantmast.decisions.ownership import choose_owner, list_owned
from currantmast.errors import TransportError
from currantmast.messages import Address
from currantmast.outcomes import Done, NotRun, OutcomeUnknown, Reason
from currantmast.runtime.claims import ClaimResult, ClaimService, ClaimSettings
from currantmast.runtime.forwarding import Connections, HopRequest
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor
from currantmast.steering import Steering
from currantmast.work import Work, WorkAnswer

CLAIMS_PATH = '/claims'
# Random bytes in the token of an attempt.
ATTEMPT_BYTES = 6
MAX_CLAIM_WAIT_S = 2.5
# Longest wait for one answer. The next call opens a new connection, in case the pooled one
# was dead.
CALL_TIMEOUT_S = 0.8
TEMPORARY_OWNERSHIP_S = 15.0
CLAIM_RETRY_DELAY_S = 0.1
OWNERSHIP_CHECK_PERIOD_S = 0.25
# Records and releases are delivered in the background, in up to this many calls.
NOTICE_ATTEMPTS = 5
NOTICE_PAUSE_S = 0.5
NOTICE_TIMEOUT_S = 1.0
CONTENT_TYPE = 'content-type'


class ClaimCall(msgspec.Struct, frozen=True, tag='claim'):
    """Asks the owner of a partition to claim a key for one attempt."""

    key: ClaimKey
    attempt: str
    timeout_s: float


class RecordCall(msgspec.Struct, frozen=True, tag='record'):
    """Tells the owner of a partition the answer of an attempt."""

    key: ClaimKey
    attempt: str
    answer: RecordedAnswer


class ReleaseCall(msgspec.Struct, frozen=True, tag='release'):
    """Tells the owner of a partition that an attempt was not sent."""

    key: ClaimKey
    attempt: str


PartitionCall = ClaimCall | RecordCall | ReleaseCall
_call_decoder = msgspec.msgpack.Decoder(PartitionCall)
_result_decoder = msgspec.msgpack.Decoder(
    Fresh | Repeated | InProgress | Unavailable | NotRun
)


class ClaimAttempt(msgspec.Struct, frozen=True):
    """One attempt to execute the request with this key, identified by its token."""

    key: ClaimKey
    token: str


class ClaimRouter:
    """Claims request keys at the owners of their partitions.

    It also runs the partitions that this instance owns.

    Parameters
    ----------
    steering : Steering
        Fleet record and configuration.
    client : ObjectClient
        Client of the object API.
    connections : Connections
        Pooled connections to peers.
    find_peer : callable
        Returns the peer address of the instance with a given id, or None.
    """

    __slots__ = (
        '_attempts',
        '_client',
        '_connections',
        '_find_peer',
        '_owned',
        '_service',
        '_steering',
        '_temporary_until',
    )

    def __init__(
        self,
        steering: Steering,
        client: ObjectClient,
        connections: Connections,
        find_peer: Callable[[str], Address | None],
    ) -> None:
        self._steering = steering
        self._client = client
        self._connections = connections
        self._find_peer = find_peer
        self._service: ClaimService | None = None
        self._attempts: dict[str, ClaimAttempt] = {}
        self._owned: frozenset[int] = frozenset()
        # Partitions whose owner was unreachable, with the monotonic time until which
        # this instance owns them as well.
        self._temporary_until: dict[int, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ClaimRouter attempts={len(self._attempts)}>'

    def run(self) -> None:
        """Run the partitions that the fleet record assigns to this instance."""
        timing = self._steering.timing
        member = self._steering.member
        settings = ClaimSettings(
            writer=f'{member.id}/{member.incarnation}',
            lifetime_s=timing.claim_lifetime_s,
            batch_s=timing.claim_batch_s,
        )
        clock = self._steering.clock
        with Supervisor('claims', clock) as supervisor:
            self._service = ClaimService(self._client, clock, settings, supervisor)
            supervisor.add('follow', self._watch_ownership)
            supervisor.wait()

    def claim(self, work: Work) -> WorkAnswer | None:
        """Claim the request key of `work`; return None if it may run, else its answer."""
        key = self._parse(work)
        if isinstance(key, NotRun):
            return WorkAnswer(key)
        attempt, result = self._claim_key(work, key)
        log_event(
            'claim',
            request=work.request_id,
            partition=key.partition,
            result=type(result).__name__,
        )
        if isinstance(result, Fresh):
            self._attempts[work.request_id] = attempt
            return None
        return convert_result(result)

    def record(self, work: Work, answer: WorkAnswer) -> None:
        """Record the answer of claimed work in the claim log, for resends."""
        attempt = self._attempts.pop(work.request_id)
        recorded = make_recorded_answer(answer)
        call = RecordCall(attempt.key, attempt.token, recorded)
        gevent.spawn(self._notify, attempt.key, call)

    def release(self, work: Work) -> None:
        """Give up the claim of work that certainly did not run."""
        attempt = self._attempts.pop(work.request_id)
        self._release(attempt)

    def serve(self, body: bytes) -> bytes:
        """Execute a peer's `PartitionCall`; return the encoded result.

        Raises
        ------
        ValueError
            If `body` is not an encoded `PartitionCall`.
        """
        call = _call_decoder.decode(body)
        return msgspec.msgpack.encode(self._serve_call(call))

    def _watch_ownership(self) -> None:
        names = {
            _get_ownership_key(partition): partition for partition in range(PARTITIONS)
        }
        while True:
            peering = self._steering.peering
            owned = list_owned(peering.record, self._steering.member.id, names)
            if not peering.is_member:
                owned = ()
            self._owned = frozenset(names[name] for name in owned)
            self._update_partitions()
            self._steering.clock.sleep(OWNERSHIP_CHECK_PERIOD_S)

    def _claim_key(self, work: Work, key: ClaimKey) -> tuple[ClaimAttempt, ClaimResult]:
        """Claim `key`; retry while its owner changes or an earlier attempt runs.

        The retries also let a resend get an answer that has only just been recorded and
        is not in the log yet.
        """
        clock = self._steering.clock
        give_up_at = min(work.deadline_at, clock.now() + MAX_CLAIM_WAIT_S)
        while True:
            token = f'{work.request_id}.{secrets.token_hex(ATTEMPT_BYTES)}'
            attempt = ClaimAttempt(key, token)
            remaining_s = give_up_at - clock.now()
            result = self._claim_at_owner(attempt, min(remaining_s, CALL_TIMEOUT_S))
            may_change = isinstance(result, Unavailable | InProgress)
            if not may_change or remaining_s < 2 * CLAIM_RETRY_DELAY_S:
                return attempt, result
            clock.sleep(CLAIM_RETRY_DELAY_S)

    def _update_partitions(self) -> None:
        now = self._steering.clock.now()
        self._temporary_until = {
            partition: until
            for partition, until in self._temporary_until.items()
            if until > now
        }
        self._service.set_owned_partitions(
            self._owned | frozenset(self._temporary_until)
        )

    def _own_temporarily(self, partition: int) -> None:
        """Own a partition for a while because its listed owner is unreachable.

        This is safe, since conditional updates decide between several owners. It only
        causes conflicts while the listed owner appends as well.
        """
        if self._service is None or not self._steering.peering.is_member:
            return
        log_event('claims_stand_in', partition=partition)
        until = self._steering.clock.now() + TEMPORARY_OWNERSHIP_S
        self._temporary_until[partition] = until
        self._update_partitions()

    def _parse(self, work: Work) -> ClaimKey | NotRun:
        return parse_claim_key(
            work.team or '',
            work.service.id,
            work.request_key or '',
            self._steering.clock,
            self._steering.timing.claim_lifetime_s,
        )

    def _claim_at_owner(self, attempt: ClaimAttempt, timeout_s: float) -> ClaimResult:
        call = ClaimCall(attempt.key, attempt.token, timeout_s)
        try:
            result = self._call_owner(attempt.key, call, timeout_s)
        except TransportError as error:
            # The owner may still write the claim, but this attempt will never be sent.
            self._release(attempt)
            self._own_temporarily(attempt.key.partition)
            return Unavailable(str(error))
        return result

    def _release(self, attempt: ClaimAttempt) -> None:
        call = ReleaseCall(attempt.key, attempt.token)
        gevent.spawn(self._notify, attempt.key, call)

    def _notify(self, key: ClaimKey, call: PartitionCall) -> None:
        """Deliver a call in the background to the owner, or to a later one on a retry."""
        for _ in range(NOTICE_ATTEMPTS):
            try:
                result = self._call_owner(key, call, NOTICE_TIMEOUT_S)
            except TransportError as error:
                result = Unavailable(str(error))
            if not isinstance(result, Unavailable):
                return
            self._steering.clock.sleep(NOTICE_PAUSE_S)
        log_event('claim_notice_lost', level='WARNING', detail=result.detail)

    def _call_owner(
        self, key: ClaimKey, call: PartitionCall, timeout_s: float
    ) -> ClaimResult:
        if key.partition in self._temporary_until:
            return self._serve_call(call)
        owner = choose_owner(
            self._steering.peering.record, _get_ownership_key(key.partition)
        )
        if owner is None:
            return Unavailable('the partition has no owner')
        if owner.incarnation == self._steering.member.incarnation:
            return self._serve_call(call)
        address = self._find_peer(owner.id)
        if address is None:
            return Unavailable('the owner of the partition has left')
        request = HopRequest('POST', CLAIMS_PATH, body=msgspec.msgpack.encode(call))
        request = msgspec.structs.replace(request, length=len(request.body))
        answer = self._connections.exchange(address, request, timeout_s)
        try:
            return _result_decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            return Unavailable(f'status {answer.status}: {error}')

    def _serve_call(self, call: PartitionCall) -> ClaimResult:
        """Execute a call here; `Fresh` also tells that a record or release was taken."""
        if self._service is None:
            return Unavailable('claims are not ready')
        match call:
            case ClaimCall(key, attempt, timeout_s):
                return self._service.claim(key, attempt, timeout_s)
            case RecordCall(key, attempt, answer):
                done = self._service.record(key, attempt, answer)
            case ReleaseCall(key, attempt):
                done = self._service.release(key, attempt)
        return Fresh() if done else Unavailable('the partition has another owner')


def convert_result(result: ClaimResult) -> WorkAnswer:
    """Return the answer for a result other than `Fresh`: the request is not sent."""
    match result:
        case Repeated(answer):
            return _convert_recorded_answer(answer)
        case InProgress():
            return WorkAnswer(NotRun(Reason.in_progress, 'an earlier send of it runs'))
        case Unavailable(detail):
            return WorkAnswer(NotRun(Reason.claims_unavailable, detail))
        case NotRun():
            return WorkAnswer(result)


def make_recorded_answer(answer: WorkAnswer) -> RecordedAnswer:
    """Return the part of `answer` that the claim log keeps."""
    match answer.outcome:
        case Done(status):
            return RecordedAnswer.make_done(
                status, _find_content_type(answer), answer.body
            )
        case NotRun(reason) | OutcomeUnknown(reason):
            return RecordedAnswer('unknown', 0, body=reason.value.encode())


def _convert_recorded_answer(record: RecordedAnswer) -> WorkAnswer:
    if record.outcome != 'done':
        unknown = OutcomeUnknown(Reason.claim_outcome_unknown, 'it ran before')
        return WorkAnswer(unknown)
    headers = (
        ('Content-Type', record.content_type or 'application/octet-stream'),
        ('Repeated', 'truncated' if record.truncated else 'whole'),
    )
    return WorkAnswer(Done(record.status), headers, record.body)


def _find_content_type(answer: WorkAnswer) -> str:
    for name, text in answer.headers:
        if name.lower() == CONTENT_TYPE:
            return text
    return ''


def _get_ownership_key(partition: int) -> str:
    return f'claims:{partition}'
