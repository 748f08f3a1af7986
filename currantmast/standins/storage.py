"""Versioned objects in memory with a bounded record of changes."""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from itertools import islice

import msgspec
from gevent.event import Event

MAX_VALUE_BYTES = 1_000_000


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


class Change(msgspec.Struct, frozen=True):
    """One change of the store.

    Parameters
    ----------
    revision : int
        Number of the change over all objects.
    name : str
        Name of the object.
    version : int
        Version after the change; 0 when the object was deleted.
    """

    revision: int
    name: str
    version: int


class RevisionGone(Exception):
    """Changes after the revision are no longer kept."""


class VersionMismatch(Exception):
    """The object has another version than the write expects."""

    def __init__(self, current: int) -> None:
        self.current = current
        super().__init__(f'current version {current}')


class Storage:
    """Objects, their versions and the newest changes.

    Parameters
    ----------
    changes_kept : int
        Changes from which a watch can resume.
    """

    __slots__ = ('_changed', '_changes', '_names', '_stored', 'revision')

    def __init__(self, changes_kept: int) -> None:
        self._stored: dict[str, StoredObject] = {}
        self._names: list[str] = []
        self._changes: deque[Change] = deque(maxlen=changes_kept)
        self._changed = Event()
        self.revision = 0

    def __repr__(self) -> str:
        """Return the number of objects and the revision."""
        return f'<Storage objects={len(self._names)} revision={self.revision}>'

    def get(self, name: str) -> StoredObject | None:
        """Return the object or None."""
        return self._stored.get(name)

    def put(self, name: str, body: bytes, if_version: int) -> int:
        """Write an object whose version is `if_version`; return the new one.

        Raises
        ------
        VersionMismatch
            If the object has another version.
        """
        self._check_version(name, if_version)
        if name not in self._stored:
            insort(self._names, name)
        version = if_version + 1
        self._stored[name] = StoredObject(name, version, body)
        self._record(name, version)
        return version

    def delete(self, name: str, if_version: int) -> None:
        """Delete an object whose version is `if_version`.

        Raises
        ------
        VersionMismatch
            If the object has another version.
        """
        self._check_version(name, if_version)
        if self._stored.pop(name, None):
            self._names.pop(bisect_left(self._names, name))
            self._record(name, 0)

    def list_page(self, prefix: str, after: str, limit: int) -> list[StoredObject]:
        """Return up to `limit` objects under `prefix`, in order of name."""
        start = max(bisect_left(self._names, prefix), bisect_right(self._names, after))
        page = islice(self._names, start, start + limit)
        return [self._stored[name] for name in page if name.startswith(prefix)]

    def list_changes(self, prefix: str, since: int) -> list[Change]:
        """Return the changes under `prefix` after revision `since`.

        Raises
        ------
        RevisionGone
            If some of them are no longer kept.
        """
        oldest = self._changes[0].revision if self._changes else self.revision + 1
        if since < oldest - 1 or since > self.revision:
            raise RevisionGone
        return [
            change
            for change in self._changes
            if change.revision > since and change.name.startswith(prefix)
        ]

    def wait_change(self, timeout_s: float) -> None:
        """Wait for any change or `timeout_s`."""
        self._changed.wait(timeout_s)

    def wake_waiters(self) -> None:
        """Let every waiting watch look again."""
        self._changed.set()
        self._changed = Event()

    def _check_version(self, name: str, if_version: int) -> None:
        stored = self._stored.get(name)
        current = stored.version if stored else 0
        if current != if_version:
            raise VersionMismatch(current)

    def _record(self, name: str, version: int) -> None:
        self.revision += 1
        self._changes.append(Change(self.revision, name, version))
        self.wake_waiters()
