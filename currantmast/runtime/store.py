"""Client of the platform's object API."""

from types import TracebackType
from typing import Self
from urllib.parse import quote, urlencode

import msgspec

from currantmast.clocks import Clock
from currantmast.errors import ValueTooLarge, WatchExpired
from currantmast.messages import Address
from currantmast.runtime.callbudgets import CallBudget
from currantmast.runtime.storecalls import (
    ABSENT_STATUS,
    Call,
    StoreChannel,
    check_answer,
)
from currantmast.runtime.storewrites import ConditionalWrite

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_S = 1.0
DEFAULT_CALLS_PER_S = 100.0
# Time in seconds that a watch's answer may come after the watch's own timeout.
WATCH_MARGIN_S = 1.0
EXPIRED_STATUS = 410
PAGE_SIZE = 1000


class StoredObject(msgspec.Struct, frozen=True):
    """An object with its version.

    Parameters
    ----------
    name : str
        Name of the object.
    version : int
        1 for a new object, one more after every update.
    body : bytes
        Value, at most 1 MB.
    """

    name: str
    version: int
    body: bytes


class ObjectEntry(msgspec.Struct, frozen=True):
    """Name and version of an object in a listing."""

    name: str
    version: int


class Listing(msgspec.Struct, frozen=True):
    """Objects under a prefix.

    Parameters
    ----------
    revision : int
        Revision from which a watch misses no change made after the listing began.
    entries : tuple of ObjectEntry
        Entries in order of name.
    """

    revision: int
    entries: tuple[ObjectEntry, ...]


class WatchEvent(msgspec.Struct, frozen=True):
    """A change; version 0 means deleted."""

    revision: int
    name: str
    version: int


class WatchResult(msgspec.Struct, frozen=True):
    """Changes since a revision, and the revision to resume from."""

    revision: int
    events: tuple[WatchEvent, ...]


class _Page(msgspec.Struct, frozen=True):
    revision: int
    entries: tuple[ObjectEntry, ...]
    complete: bool


class ObjectClient:
    """Client of the object API; a context manager.

    Parameters
    ----------
    address : Address
        Address of the object API.
    clock : Clock
        Time of the call budget.
    calls_per_s : float
        Calls per second that this process may make; a watch counts as one.
    timeout_s : float
        Longest time in seconds without progress of a call.
    caller : str
        Name of this process, for the history of the platform.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        calls_per_s: float = DEFAULT_CALLS_PER_S,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        caller: str = '',
    ) -> None:
        self.budget = CallBudget(clock, calls_per_s)
        self._channel = StoreChannel(address, self.budget, timeout_s, caller)

    def __enter__(self) -> Self:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self.close()

    def __repr__(self) -> str:
        """Return the address and the call budget."""
        return f'<ObjectClient {self._channel!r}>'

    def close(self) -> None:
        """Close all connections; the client can be used again."""
        self._channel.close()

    def get(self, name: str) -> StoredObject | None:
        """Return the object `name`, or None when it is absent.

        Raises
        ------
        StoreUnavailable
            If the store gave no answer.
        StoreBudgetExceeded
            If the call budget is used up.
        """
        self.budget.take('get')
        answer = self._channel.read(Call('get', 'GET', _make_path(name)))
        if answer.status == ABSENT_STATUS:
            return None
        return StoredObject(name, answer.version, answer.body)

    def put(self, name: str, body: bytes, if_version: int) -> int:
        """Write the object `name` if it has version `if_version`.

        An answer that was lost is resolved by reading back: the write took effect
        if the next version has the same `body`. Bodies that two writers could write
        alike must therefore carry the writer's name.

        Parameters
        ----------
        name : str
            Name of the object.
        body : bytes
            New value.
        if_version : int
            Version to replace; 0 creates the object.

        Returns
        -------
        int
            Version written.

        Raises
        ------
        StoreConflict
            If the object has another version; nothing was written.
        StoreUnavailable
            If the store refused the call; nothing was written.
        StoreOutcomeUnknown
            If the write may have taken effect.
        StoreBudgetExceeded
            If the call budget is used up; nothing was written.
        ValueTooLarge
            If `body` exceeds 1 MB; nothing was written.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise ValueTooLarge(name, len(body), MAX_VALUE_BYTES)
        self.budget.take('put')
        call = Call('put', 'PUT', _make_path(name), body, if_version)
        return ConditionalWrite(self._channel, name, call).run()

    def delete(self, name: str, if_version: int) -> None:
        """Delete the object `name` if it has version `if_version`.

        Raises
        ------
        StoreConflict
            If the object has another version.
        StoreUnavailable
            If the store refused the call; nothing was deleted.
        StoreOutcomeUnknown
            If the deletion may have taken effect.
        StoreBudgetExceeded
            If the call budget is used up.
        """
        self.budget.take('delete')
        call = Call('delete', 'DELETE', _make_path(name), b'', if_version)
        ConditionalWrite(self._channel, name, call).run()

    def list(self, prefix: str, after: str = '') -> Listing:
        """Return the names and versions of all objects under `prefix`.

        Parameters
        ----------
        prefix : str
            Beginning of the names.
        after : str
            Only names that sort after this one are listed.

        Raises
        ------
        StoreUnavailable
            If the store gave no answer.
        StoreBudgetExceeded
            If the call budget is used up.
        """
        page = self._list_page(prefix, after)
        revision = page.revision
        entries = list(page.entries)
        while not page.complete:
            page = self._list_page(prefix, entries[-1].name)
            entries.extend(page.entries)
        return Listing(revision, tuple(entries))

    def watch(self, prefix: str, since: int, timeout_s: float) -> WatchResult:
        """Wait up to `timeout_s` seconds for changes under `prefix`.

        Raises
        ------
        WatchExpired
            If the store no longer keeps revision `since`: list again.
        StoreUnavailable
            If the store gave no answer.
        StoreBudgetExceeded
            If the call budget is used up.
        """
        self.budget.take('watch')
        query = urlencode({'prefix': prefix, 'since': since, 'timeout_s': timeout_s})
        call = Call('watch', 'GET', f'/watch?{query}')
        answer = self._channel.exchange(call, timeout_s + WATCH_MARGIN_S)
        if answer.status == EXPIRED_STATUS:
            raise WatchExpired(f'{prefix}: revision {since} is no longer kept')
        check_answer(call, answer)
        return msgspec.json.decode(answer.body, type=WatchResult)

    def _list_page(self, prefix: str, after: str) -> _Page:
        self.budget.take('list')
        query = urlencode({'prefix': prefix, 'after': after, 'limit': PAGE_SIZE})
        answer = self._channel.read(Call('list', 'GET', f'/objects?{query}'))
        return msgspec.json.decode(answer.body, type=_Page)


def _make_path(name: str) -> str:
    return f'/objects/{quote(name)}'
