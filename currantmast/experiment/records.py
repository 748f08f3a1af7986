"""What an experiment records: calls, executions, drains and withdrawals.

All times are seconds of the machine's monotonic clock, which every process of a local fleet
shares.
"""

import msgspec


class Call(msgspec.Struct, frozen=True):
    """One call as its caller saw it.

    Parameters
    ----------
    id : str
        Unique token of the call, part of its path.
    caller, site, team, service, kind : str
        Who called what.
    key : str
        Name of the key, never the key itself.
    sent, ended : float
        Monotonic seconds.
    outcome : str
        ``done``, ``not-run`` or ``unknown``.
    reason : str
        Reason of a refusal or of an unknown outcome.
    status : int
        HTTP status; 0 when no response arrived.
    sent_bytes, bytes : int
        Size of the request body and of the response body.
    own : bool
        Whether the response answers this call.
    whole : bool
        Whether the response is complete.
    request_id, request_key, instance : str
        Identity given by the instance, the caller's key for resends, last instance tried.
    attempts : int
        Instances tried.
    key_valid : bool
        Whether the key was valid for the team when the call was sent.
    """

    id: str
    caller: str
    site: str
    team: str
    service: str
    kind: str
    sent: float
    ended: float
    outcome: str
    key: str = ''
    reason: str = ''
    status: int = 0
    sent_bytes: int = 0
    bytes: int = 0
    own: bool = True
    whole: bool = True
    request_id: str = ''
    request_key: str = ''
    instance: str = ''
    attempts: int = 1
    key_valid: bool = True

    @property
    def latency_s(self) -> float:
        """Time from sending to the end, in seconds."""
        return self.ended - self.sent


class Execution(msgspec.Struct, frozen=True):
    """One run of a request as its target saw it.

    Parameters
    ----------
    target, region, service : str
        Where it ran.
    call_id : str
        Token of the call, from the path.
    request_id : str
        ``Request-Id`` that the owner sent.
    team : str
        ``Team`` header, empty when none came.
    started, ended : float
        Monotonic seconds; `ended` is infinite while the request runs.
    outcome : str
        How the run ended, in the words of the target.
    key_seen : bool
        Whether a header held a key or was an Authorization header.
    """

    target: str
    region: str
    service: str
    call_id: str
    started: float
    ended: float
    request_id: str = ''
    team: str = ''
    outcome: str = 'done'
    key_seen: bool = False


class Drain(msgspec.Struct, frozen=True):
    """A drain of a target.

    Parameters
    ----------
    target : str
        ``ip:port``.
    accepted, undone : float
        When it was accepted and, if at all, undone; monotonic seconds.
    ordered : float
        When the operator gave the command; monotonic seconds.
    """

    target: str
    accepted: float
    undone: float = float('inf')
    ordered: float = 0


class Withdrawal(msgspec.Struct, frozen=True):
    """A key, by name, whose withdrawal was accepted at this time."""

    key: str
    accepted: float


class Version(msgspec.Struct, frozen=True):
    """Configuration version that an instance reported at a time."""

    instance: str
    at: float
    version: int


class History(msgspec.Struct):
    """Everything that one experiment recorded."""

    calls: list[Call] = msgspec.field(default_factory=list)
    executions: list[Execution] = msgspec.field(default_factory=list)
    drains: list[Drain] = msgspec.field(default_factory=list)
    withdrawals: list[Withdrawal] = msgspec.field(default_factory=list)
    versions: list[Version] = msgspec.field(default_factory=list)
