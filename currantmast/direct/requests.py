"""Messages between the adapter of a platform and direct steering."""

from enum import Enum
from typing import Any, Protocol

import msgspec

from currantmast.direct.answers import Answer
from currantmast.direct.exchanges import Attempt
from currantmast.direct.inbound import Inbound, Outbound
from currantmast.direct.targets import Load


class Call(msgspec.Struct, frozen=True):
    """What a caller asks.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller; empty when it sent none.
    host, path : str
        What the route is found by.
    key : str or None
        Key of the team; never logged.
    object_key : str
        Object that the request concerns; empty when it names none.
    time_limit_s : float or None
        Seconds that the caller waits.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    object_key: str
    time_limit_s: float | None


class Given(msgspec.Struct, frozen=True):
    """What a target is told beside the caller's request."""

    target_id: str
    team: str | None
    time_left_s: float


class Shed(Enum):
    """Why a target says that it did not run a request."""

    full = 'full'
    misdirected = 'misdirected'


class TargetAnswer(msgspec.Struct, frozen=True):
    """What a target's answer says besides its bytes.

    Parameters
    ----------
    status : int
        HTTP status.
    stamped : bool
        Whether a target vouches for it.
    load : Load or None
        Its load, if it tells.
    shed : Shed or None
        Set when it did not run the request.
    """

    status: int
    stamped: bool
    load: Load | None
    shed: Shed | None


class LookupQuery(msgspec.Struct, frozen=True):
    """Where a caller that looks up instances is."""

    region: str
    domain: str


class Wire(Protocol):
    """The platform's spelling of requests and answers, as an adapter offers it."""

    def decode_call(self, inbound: Inbound) -> Call:
        """Return what a caller asks."""

    def encode_attempt(self, inbound: Inbound, given: Given) -> Attempt:
        """Return the request as a target gets it."""

    def encode_health_query(self, path: str, host: str) -> Attempt:
        """Return the query for a target's health."""

    def owns_answer(self, request_id: str, answer: Answer) -> bool:
        """Return whether an answer belongs to a request."""

    def decode_answer(self, answer: Answer) -> TargetAnswer:
        """Return what a target's answer says besides its bytes."""

    def decode_health(self, answer: Answer, target_id: str) -> tuple[bool, float]:
        """Return whether a target is well, and its cold seconds."""

    def encode_answer(self, answer: Answer) -> Outbound:
        """Return a target's answer as the caller gets it."""

    def decode_lookup(self, inbound: Inbound) -> LookupQuery:
        """Return what a look-up asks."""

    def encode_lookup(self, addresses: tuple[str, ...], ttl_s: float) -> Outbound:
        """Return the answer to a look-up."""


class Registry(Protocol):
    """Writes of instance records, as an adapter offers them."""

    def put_instance(self, record: Any) -> None:
        """Write the record of an instance."""

    def delete_instance(self, instance_id: str) -> None:
        """Remove the record of an instance."""
