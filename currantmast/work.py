"""Work: one admitted request on its way from the entry to a target."""

from collections.abc import Iterator

import msgspec

from currantmast.deployment import Service
from currantmast.outcomes import Outcome

# Connection-level headers end at each hop; the caller's key must never leave the
# instance that checked it, in whatever header it came.
DROPPED_HEADERS = frozenset(
    (
        'authorization',
        'proxy-authorization',
        'cookie',
        'connection',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'expect',
        'content-length',
        'team',
        'entry',
        'entry-region',
        'deadline-ms',
        'request-id',
        'request-key',
        'suspicion',
        'caller-address',
        'user-agent',
    )
)


class Work(msgspec.Struct, frozen=True):
    """A request that was admitted.

    Parameters
    ----------
    request_id : str
        Identifier that follows the request through every hop and log line.
    team : str or None
        Team that the request runs for.
    service : Service
        Service with its limits.
    method, path : str
        Method and path with query, as the target sees them.
    headers : tuple of tuple
        Headers to pass on; never the caller's key.
    body : bytes or iterator of bytes
        Bytes can be sent again, an iterator can be consumed once.
    length : int
        Body length in bytes.
    deadline_at : float
        Monotonic time in seconds at which the request must have ended.
    request_key : str or None
        Key chosen by the caller that makes resends one execution.
    entry, entry_region : str
        Instance that admitted the request, and its region.
    suspicion : str
        What the entry knows of the request's crashes: ``suspect``, ``quarantined``, or
        empty. The owner may not have heard of them yet.
    """

    request_id: str
    team: str | None
    service: Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterator[bytes]
    length: int
    deadline_at: float
    request_key: str | None
    entry: str
    entry_region: str
    suspicion: str = ''

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again from its start."""
        return isinstance(self.body, bytes)


class WorkAnswer(msgspec.Struct, frozen=True):
    """How work ended, with the target's answer if there is one."""

    outcome: Outcome
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


def filter_headers(
    headers: dict[str, str], secrets: tuple[str, ...] = ()
) -> tuple[tuple[str, str], ...]:
    """Return the headers that may be passed on.

    Parameters
    ----------
    headers : dict
        Values by lower-case name.
    secrets : tuple of str
        Values that must not be passed on under any name.
    """
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in DROPPED_HEADERS and not any(secret in text for secret in secrets)
    )
