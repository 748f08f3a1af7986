"""Encoding of refusals: the status for each reason, and when the caller may come back."""

from http import HTTPStatus
from types import MappingProxyType

from currantmast.direct.attempts import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from currantmast.direct.inbound import OutboundAnswer
from currantmast.outcomes import NotRun, Reason

# Status of a refusal by its reason; 503 for all other reasons.
STATUSES = MappingProxyType(
    {
        Reason.key_unknown: HTTPStatus.UNAUTHORIZED,
        Reason.service_unknown: HTTPStatus.NOT_FOUND,
        Reason.bad_request: HTTPStatus.BAD_REQUEST,
        Reason.rate_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
    }
)


def encode_refusal(
    refusal: NotRun, after_s: float | None, longest_s: float = MAX_RETRY_AFTER_S
) -> OutboundAnswer:
    """Return the answer for a refusal.

    Parameters
    ----------
    refusal : NotRun
        Why the request was refused.
    after_s : float or None
        Seconds after which the caller should come back; None to tell it nothing.
    longest_s : float
        Longest time in seconds that it is told.
    """
    status = STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    headers: tuple[tuple[str, str], ...] = ()
    if after_s is not None:
        bounded = min(longest_s, max(MIN_RETRY_AFTER_S, after_s))
        headers = (('Retry-After', f'{bounded:.2f}'),)
    body = f'{refusal.reason.value}\n'.encode()
    return OutboundAnswer(status, (*headers, ('Content-Type', 'text/plain')), body)
