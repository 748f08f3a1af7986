"""Answers to callers and peers, and what a peer's answer says."""

import msgspec

from currantmast.outcomes import (
    Done,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    choose_status,
)
from currantmast.runtime.forwarding import HopAnswer
from currantmast.runtime.servers import Answer, encode_json
from currantmast.work import WorkAnswer

DONE_LABEL = 'done'
NOT_RUN_LABEL = 'not-run'
UNKNOWN_LABEL = 'unknown'


class Refusal(msgspec.Struct, frozen=True):
    """Body of an answer to a request without a target's answer."""

    outcome: str
    reason: str
    detail: str


def name_outcome(outcome: Outcome) -> str:
    """Return the value of the ``Outcome`` header."""
    match outcome:
        case Done():
            return DONE_LABEL
        case NotRun():
            return NOT_RUN_LABEL
        case OutcomeUnknown():
            return UNKNOWN_LABEL


def make_answer(answer: WorkAnswer, request_id: str) -> Answer:
    """Return the HTTP answer that tells a caller or peer how work ended."""
    outcome = answer.outcome
    label = name_outcome(outcome)
    marks = (('Outcome', label), ('Request-Id', request_id))
    status = choose_status(outcome)
    match outcome:
        case Done():
            return Answer(status, (*answer.headers, *marks), answer.body)
        case NotRun(reason, detail) | OutcomeUnknown(reason, detail):
            return encode_json(status, Refusal(label, reason.value, detail), *marks)


def decode_answer(answer: HopAnswer, request_id: str) -> WorkAnswer:
    """Return how a peer says that the work `request_id` ended.

    An answer that does not name the request belongs to another one, and says nothing
    about this one.
    """
    label = answer.get_header('Outcome')
    if answer.get_header('Request-Id') != request_id or label is None:
        if not answer.body_sent:
            return WorkAnswer(NotRun(Reason.unreachable, f'status {answer.status}'))
        return WorkAnswer(OutcomeUnknown(Reason.connection_lost, 'foreign answer'))
    if label == DONE_LABEL:
        headers = tuple(
            (name, text)
            for name, text in answer.headers
            if name.lower() not in {'outcome', 'request-id', 'content-length', 'date'}
        )
        return WorkAnswer(Done(answer.status), headers, answer.body)
    refusal = msgspec.json.decode(answer.body, type=Refusal)
    reason = Reason(refusal.reason)
    if label == NOT_RUN_LABEL:
        return WorkAnswer(NotRun(reason, refusal.detail))
    return WorkAnswer(OutcomeUnknown(reason, refusal.detail))


def encode_refusal(refusal: NotRun) -> Answer:
    """Return the answer that tells a caller of `refusal` before a request exists."""
    body = Refusal(NOT_RUN_LABEL, refusal.reason.value, refusal.detail)
    return encode_json(choose_status(refusal), body, ('Outcome', NOT_RUN_LABEL))
