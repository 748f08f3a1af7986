"""The owner's side of a request: claim, slot, exchange with the target."""

from collections.abc import Iterable
from typing import Protocol

from gevent.event import AsyncResult

from currantmast.clocks import Clock
from currantmast.decisions.quarantine import (
    Quarantine,
    RunAlone,
    RunShared,
    make_fingerprint,
)
from currantmast.decisions.slots import TargetSlots, Waiter
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Suspect
from currantmast.outcomes import Done, NotRun, Outcome, OutcomeUnknown, Reason
from currantmast.runtime.forwarding import Connections, HopAnswer, HopRequest
from currantmast.runtime.logs import log_event
from currantmast.steering import Steering
from currantmast.work import Work, WorkAnswer

MS_PER_S = 1000
SHED_STATUS = 503
SHED_HEADER = 'shed'
CANCEL_TIMEOUT_S = 0.5
# An exchange with an owner in another region ends this long before the caller's
# deadline, so that the answer still reaches the entry.
MIN_EXCHANGE_S = 0.005


class Claimant(Protocol):
    """Claims request keys, so that resends are one execution."""

    def claim(self, work: Work) -> WorkAnswer | None:
        """Return None if `work` may run, else its answer."""

    def record(self, work: Work, answer: WorkAnswer) -> None:
        """Keep the answer of claimed work for resends."""

    def release(self, work: Work) -> None:
        """Give up the claim of work that certainly did not run."""


class Owner:
    """Runs work on the targets that this instance owns.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    connections : Connections
        Pooled connections to targets.
    claimant : Claimant
        Claims for work with a request key.
    """

    __slots__ = ('_claimant', '_clock', '_connections', '_fingerprints', '_steering')

    def __init__(
        self, steering: Steering, connections: Connections, claimant: Claimant
    ) -> None:
        self._steering = steering
        self._connections = connections
        self._claimant = claimant
        self._clock: Clock = steering.clock
        self._fingerprints: dict[str, dict[str, str]] = {}

    def run(self, work: Work) -> WorkAnswer:
        """Run `work` on a target, or return why it did not run."""
        fingerprint = identify(work)
        refusal = self._check_right()
        if refusal is not None:
            return WorkAnswer(refusal)
        quarantine = self._steering.quarantine
        if work.suspicion:
            quarantine.merge((Suspect(fingerprint, work.suspicion, 0),))
        match quarantine.check(fingerprint):
            case RunShared():
                return self._run_claimed(work, fingerprint, alone=False)
            case RunAlone():
                return self._run_suspect(work, fingerprint)
            case NotRun() as refused:
                return WorkAnswer(refused)

    def _run_suspect(self, work: Work, fingerprint: str) -> WorkAnswer:
        log_event(
            'suspect_runs_alone', request=work.request_id, service=work.service.id
        )
        answer = self._run_claimed(work, fingerprint, alone=True)
        if isinstance(answer.outcome, NotRun):
            self._steering.quarantine.abandon(fingerprint)
        return answer

    def _check_right(self) -> NotRun | None:
        if self._steering.lease.is_valid():
            return None
        return NotRun(Reason.no_lease, self._steering.lease.explain())

    def _run_claimed(self, work: Work, fingerprint: str, *, alone: bool) -> WorkAnswer:
        if work.service.idempotent or work.request_key is None:
            return self._run_on_slot(work, fingerprint, alone=alone)
        earlier = self._claimant.claim(work)
        if earlier is not None:
            return earlier
        answer = self._run_on_slot(work, fingerprint, alone=alone)
        match answer.outcome:
            case NotRun():
                self._claimant.release(work)
            case Done() | OutcomeUnknown():
                self._claimant.record(work, answer)
        return answer

    def _run_on_slot(self, work: Work, fingerprint: str, *, alone: bool) -> WorkAnswer:
        granted = self._wait_for_slot(work, alone)
        if isinstance(granted, NotRun):
            return WorkAnswer(granted)
        # The wait may have outlasted the lease, for example while the process was
        # paused; the right is checked at the moment of use.
        refusal = self._check_right()
        if refusal is not None:
            self._steering.placement.finish(granted, work.request_id, refusal)
            return WorkAnswer(refusal)
        running = self._fingerprints.setdefault(granted.target.id, {})
        running[work.request_id] = fingerprint
        answer = WorkAnswer(OutcomeUnknown(Reason.connection_lost, 'task ended'))
        try:
            answer = self._exchange(work, granted)
        finally:
            self._settle(work, granted, answer.outcome, alone)
        return answer

    def _wait_for_slot(self, work: Work, alone: bool) -> TargetSlots | NotRun:
        result: AsyncResult = AsyncResult()
        waiter = Waiter(
            request_id=work.request_id,
            team=work.team,
            deadline_at=work.deadline_at,
            resolve=result.set,
            alone=alone,
        )
        refusal = self._steering.placement.push(work.service.id, waiter)
        if refusal is not None:
            return refusal
        try:
            return result.get()
        except BaseException:
            self._abandon_wait(work, result)
            raise

    def _abandon_wait(self, work: Work, result: AsyncResult) -> None:
        if self._steering.placement.cancel(work.service.id, work.request_id):
            return
        granted = result.value
        if isinstance(granted, TargetSlots):
            unused = NotRun(Reason.deadline, 'the caller left')
            self._steering.placement.finish(granted, work.request_id, unused)

    def _exchange(self, work: Work, slots: TargetSlots) -> WorkAnswer:
        remaining_s = work.deadline_at - self._clock.now()
        if remaining_s < MIN_EXCHANGE_S:
            return WorkAnswer(NotRun(Reason.deadline, 'passed before the target'))
        log_event(
            'placement',
            request=work.request_id,
            service=work.service.id,
            team=work.team,
            target=slots.target.id,
            entry=work.entry,
            running=slots.count_running(),
            reason='most_free_slots',
        )
        request = _make_request(work, remaining_s)
        try:
            answer = self._connections.exchange(
                slots.target.address, request, remaining_s
            )
        except NothingSent as error:
            return WorkAnswer(NotRun(Reason.unreachable, str(error)))
        except ExchangeBroken as error:
            return self._end_broken(work, slots, error)
        return _convert(answer)

    def _end_broken(
        self, work: Work, slots: TargetSlots, error: ExchangeBroken
    ) -> WorkAnswer:
        log_event(
            'exchange_broken',
            request=work.request_id,
            target=slots.target.id,
            error=error,
        )
        match error:
            case ProgressTimeout():
                self._cancel(work, slots)
                return WorkAnswer(OutcomeUnknown(Reason.deadline, 'no progress'))
            case AnswerIncomplete():
                reason = Reason.answer_incomplete
            case _:
                reason = Reason.target_lost
        return WorkAnswer(OutcomeUnknown(reason, 'the connection broke'))

    def _cancel(self, work: Work, slots: TargetSlots) -> None:
        request = HopRequest('DELETE', f'/running/{work.request_id}')
        try:
            self._connections.exchange(slots.target.address, request, CANCEL_TIMEOUT_S)
        except (NothingSent, ExchangeBroken) as error:
            log_event('cancel_failed', request=work.request_id, error=error)

    def _settle(
        self, work: Work, slots: TargetSlots, outcome: Outcome, alone: bool
    ) -> None:
        running = self._fingerprints[slots.target.id]
        fingerprint = running.pop(work.request_id)
        self._judge(self._steering.quarantine, fingerprint, outcome, alone, running)
        self._steering.placement.finish(slots, work.request_id, outcome)

    def _judge(
        self,
        quarantine: Quarantine,
        fingerprint: str,
        outcome: Outcome,
        alone: bool,
        running: dict[str, str],
    ) -> None:
        match outcome:
            case Done():
                quarantine.observe_end(fingerprint, alone)
            case OutcomeUnknown(Reason.target_lost | Reason.answer_incomplete):
                quarantine.observe_crash(fingerprint, alone, tuple(running.values()))
            case _ if alone:
                quarantine.abandon(fingerprint)


def identify(work: Work) -> str:
    """Return the fingerprint of `work` for the quarantine."""
    path, _, query = work.path.partition('?')
    return make_fingerprint(
        work.team or '',
        work.service.id,
        work.method,
        path,
        query,
        work.request_key or '',
    )


def _make_request(work: Work, remaining_s: float) -> HopRequest:
    extra = [
        ('Deadline-Ms', str(int(remaining_s * MS_PER_S))),
        ('Request-Id', work.request_id),
    ]
    if work.team is not None:
        extra.append(('Team', work.team))
    if work.request_key is not None:
        extra.append(('Request-Key', work.request_key))
    return HopRequest(
        method=work.method,
        path=work.path,
        headers=_join(work.headers, extra),
        body=work.body,
        length=work.length,
        fresh=not work.service.idempotent,
        ask_first=not work.replayable,
    )


def _join(
    headers: Iterable[tuple[str, str]], extra: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    return (*headers, *extra)


def _convert(answer: HopAnswer) -> WorkAnswer:
    if answer.status == SHED_STATUS and answer.get_header(SHED_HEADER):
        return WorkAnswer(NotRun(Reason.target_shed, 'the target shed load'))
    if not answer.body_sent:
        return WorkAnswer(NotRun(Reason.target_shed, f'status {answer.status}'))
    headers = tuple(
        (name, text)
        for name, text in answer.headers
        if name.lower() not in {'content-length', 'date', 'outcome', 'request-id'}
    )
    return WorkAnswer(Done(answer.status), headers, answer.body)
