"""Outcomes of a request: typed sentinels with a reason."""

from enum import StrEnum
from types import MappingProxyType

import msgspec


class Reason(StrEnum):
    """Why a request was refused or ended without a known result."""

    key_unknown = 'key_unknown'
    service_unknown = 'service_unknown'
    service_not_allowed = 'service_not_allowed'
    bad_request = 'bad_request'
    request_key_expired = 'request_key_expired'
    rate_exceeded = 'rate_exceeded'
    no_lease = 'no_lease'
    not_member = 'not_member'
    no_configuration = 'no_configuration'
    entry_unreadable = 'entry_unreadable'
    not_owner = 'not_owner'
    no_capacity = 'no_capacity'
    stopping = 'stopping'
    link_full = 'link_full'
    deadline = 'deadline'
    claims_unavailable = 'claims_unavailable'
    in_progress = 'in_progress'
    quarantined = 'quarantined'
    target_shed = 'target_shed'
    unreachable = 'unreachable'
    connection_lost = 'connection_lost'
    target_lost = 'target_lost'
    answer_incomplete = 'answer_incomplete'
    claim_outcome_unknown = 'claim_outcome_unknown'


class Done(msgspec.Struct, frozen=True, tag='done'):
    """The request ran and its whole answer is known.

    Parameters
    ----------
    status : int
        HTTP status of the target's answer.
    """

    status: int


class NotRun(msgspec.Struct, frozen=True, tag='not-run'):
    """The request certainly did not run.

    Parameters
    ----------
    reason : Reason
        Why it was refused.
    detail : str
        Explanation for a person; never holds a key.
    """

    reason: Reason
    detail: str = ''


class OutcomeUnknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The request may have run.

    Parameters
    ----------
    reason : Reason
        What broke the exchange.
    detail : str
        Explanation for a person; never holds a key.
    """

    reason: Reason
    detail: str = ''


Outcome = Done | NotRun | OutcomeUnknown

STATUS_BY_REASON = MappingProxyType(
    {
        Reason.key_unknown: 401,
        Reason.service_not_allowed: 403,
        Reason.service_unknown: 404,
        Reason.bad_request: 400,
        Reason.request_key_expired: 400,
        Reason.rate_exceeded: 429,
        Reason.in_progress: 409,
    }
)
DEFAULT_NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504


def choose_status(outcome: Outcome) -> int:
    """Return the HTTP status that tells a caller of `outcome`."""
    match outcome:
        case Done(status):
            return status
        case NotRun(reason):
            return STATUS_BY_REASON.get(reason, DEFAULT_NOT_RUN_STATUS)
        case OutcomeUnknown():
            return UNKNOWN_STATUS
