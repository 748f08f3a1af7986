"""Single calls on the object API, each sent once and counted."""

import msgspec
from geventhttpclient.response import HTTPParseError

from currantmast.errors import StoreUnavailable
from currantmast.messages import Address
from currantmast.runtime.callbudgets import CallBudget
from currantmast.runtime.httpclients import SingleAttemptClient

CONNECTIONS = 8
READ_ATTEMPTS = 2
ABSENT_STATUS = 404
DONE_STATUSES = frozenset((200, 204, ABSENT_STATUS))


class Call(msgspec.Struct, frozen=True):
    """One call.

    Parameters
    ----------
    kind : str
        ``get``, ``put``, ``delete``, ``list`` or ``watch``.
    method, path : str
        HTTP method and path with query.
    body : bytes
        Value to write.
    if_version : int
        Version that a write expects; -1 for reads.
    """

    kind: str
    method: str
    path: str
    body: bytes = b''
    if_version: int = -1

    def make_headers(self, caller: str) -> dict[str, str]:
        """Return the headers of the call."""
        headers = {'Caller': caller}
        if self.if_version >= 0:
            headers['If-Version'] = str(self.if_version)
        return headers


class Answer(msgspec.Struct, frozen=True):
    """Whole answer to a call; version 0 when it carries none."""

    status: int
    version: int
    body: bytes


class AnswerLost(StoreUnavailable):
    """A call was sent and no whole answer came."""


class StoreChannel:
    """Connections to the object API.

    Parameters
    ----------
    address : Address
        Address of the object API.
    budget : CallBudget
        Counts the calls.
    timeout_s : float
        Longest time in seconds without progress of a call.
    caller : str
        Name of this process, for the history of the platform.
    """

    __slots__ = ('_address', '_caller', '_pools', '_timeout_s', 'budget')

    def __init__(
        self, address: Address, budget: CallBudget, timeout_s: float, caller: str
    ) -> None:
        self.budget = budget
        self._address = address
        self._timeout_s = timeout_s
        self._caller = caller
        self._pools: dict[float, SingleAttemptClient] = {}

    def __repr__(self) -> str:
        """Return the address and the call budget."""
        return f'<StoreChannel {self._address} {self.budget!r}>'

    def close(self) -> None:
        """Close all connections; the channel can be used again."""
        for timeout_s in tuple(self._pools):
            self._pools.pop(timeout_s).close()

    def read(self, call: Call) -> Answer:
        """Return the answer to `call`, sent twice if the first answer is lost.

        Raises
        ------
        StoreUnavailable
            If the store gave no usable answer.
        """
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return check_answer(call, self.exchange(call))
            except AnswerLost:
                # Reading twice is harmless, and a kept connection may be dead.
                self.budget.force(call.kind)
        return check_answer(call, self.exchange(call))

    def exchange(self, call: Call, timeout_s: float = 0) -> Answer:
        """Send `call` once and return its answer, whatever its status.

        Raises
        ------
        StoreUnavailable
            If no connection could be opened: the call had no effect.
        AnswerLost
            If the call may have had an effect.
        """
        timeout_s = timeout_s or self._timeout_s
        pool = self._pools.get(timeout_s)
        if pool is None:
            pool = SingleAttemptClient(self._address, timeout_s, CONNECTIONS)
            self._pools[timeout_s] = pool
        try:
            return _receive(pool, call, call.make_headers(self._caller))
        except ConnectionRefusedError as refused:
            raise StoreUnavailable(f'{self._address}: {refused}') from refused
        except (OSError, RuntimeError, HTTPParseError) as failure:
            # The other kept connections may be silent too.
            self._discard(pool, timeout_s)
            raise AnswerLost(f'{self._address}: {failure}') from failure

    def _discard(self, pool: SingleAttemptClient, timeout_s: float) -> None:
        if self._pools.get(timeout_s) is pool:
            self._pools.pop(timeout_s)
            pool.close()


def check_answer(call: Call, answer: Answer) -> Answer:
    """Return `answer` if the store performed the call.

    Raises
    ------
    StoreUnavailable
        If it did not.
    """
    if answer.status in DONE_STATUSES:
        return answer
    raise StoreUnavailable(f'{call.kind}: the store answered {answer.status}')


def _receive(pool: SingleAttemptClient, call: Call, headers: dict[str, str]) -> Answer:
    response = pool.request(call.method, call.path, call.body, headers)
    with response:
        body = response.read()
        version = int(response.get('Object-Version', '0'))
        return Answer(response.status_code, version, body)
