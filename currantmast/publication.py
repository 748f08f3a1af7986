"""Publication of configurations through the platform's store.

``config/head`` names the version, the pages and the operations. Pages are named by
their digest and never change. Every change is one conditional update of the head.

The store counts versions of an object from 1 again after a deletion. Each page
therefore holds the configuration version that first named it, so that the name of a
deleted page never comes back and a late deletion cannot hit a page in use.
"""

import hashlib
import secrets
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from currantmast.deployment import (
    Configuration,
    Deployment,
    Operations,
    Section,
)
from currantmast.errors import (
    ConfigurationDamaged,
    ConfigurationError,
    ConfigurationMissing,
    StoreConflict,
    StoreError,
)
from currantmast.operations import check_operations
from currantmast.pages import (
    PAGE_LIMIT_BYTES,
    Page,
    decode_pages,
    encode_page,
    list_pages,
)
from currantmast.validation import check_deployment

HEAD = 'config/head'
PAGE_PREFIX = 'config/page/'
WRITER_BYTES = 8
READ_ATTEMPTS = 3


class ObjectStore(Protocol):
    """The part of `runtime.store.ObjectClient` that publication uses."""

    def get(self, name: str) -> Any:
        """Return the object with its version and body, None if it is absent."""

    def put(self, name: str, body: bytes, if_version: int) -> int:
        """Write the object if its version is `if_version`; return the new one."""

    def delete(self, name: str, if_version: int) -> None:
        """Delete the object if its version is `if_version`."""

    def list(self, prefix: str) -> Any:
        """Return a listing whose `entries` have names and versions."""


class PageReference(Section, frozen=True):
    """A page that a head names.

    Parameters
    ----------
    digest : str
        SHA-256 of the page, which names its object.
    content : str
        SHA-256 of the page without the version that first named it, by which a
        publisher finds the pages that need no writing.
    """

    digest: str
    content: str


class Head(Section, frozen=True):
    """The configuration in force.

    Parameters
    ----------
    version : int
        Number of the configuration; each change adds one.
    pages : tuple of PageReference
        The pages, in order.
    operations : Operations
        Changes that operators made.
    writer : str
        Random token of one write, so that a writer whose answer was lost can tell
        its own write from another one.
    """

    version: int
    pages: tuple[PageReference, ...]
    operations: Operations
    writer: str


class HeldHead(msgspec.Struct, frozen=True):
    """A head with the version that the store gave its object; 0 when absent."""

    head: Head
    stored_version: int


def publish(client: ObjectStore, deployment: Deployment) -> int:
    """Put `deployment` in the place of the one in force.

    The operations in force stay; those in `deployment` are not used.

    Parameters
    ----------
    client : ObjectStore
        Client of the platform's store.
    deployment : Deployment
        Deployment to put in force.

    Returns
    -------
    int
        Version of the new configuration.

    Raises
    ------
    SettingsError
        If `deployment` contradicts itself, see `validation`.
    StoreConflict
        If another operator changed the configuration meanwhile; nothing is in force.
    OperationRejected
        If an operation in force names something that `deployment` does not have.
    StoreError
        If the store failed.
    """
    check_deployment(deployment)
    # Pages are listed before the head is read: see `_delete_obsolete`.
    listed = client.list(PAGE_PREFIX).entries
    held = read_head(client)
    check_operations(held.head.operations, deployment)
    references = _write_pages(client, held.head, list_pages(deployment))
    version = _write_head(client, held, references, held.head.operations)
    _delete_obsolete(client, listed, (*references, *held.head.pages))
    return version


def change_operations(
    client: ObjectStore, change: Callable[[Operations], Operations]
) -> int:
    """Change the operations in force.

    Parameters
    ----------
    client : ObjectStore
        Client of the platform's store.
    change : callable
        Returns the new operations for the ones in force.

    Returns
    -------
    int
        Version of the new configuration, or of the one in force if `change` changed
        nothing.

    Raises
    ------
    ConfigurationMissing
        If nothing has been published.
    StoreConflict
        If another operator changed the configuration meanwhile; nothing is changed.
    OperationRejected
        If an operation names something that the deployment does not have.
    StoreError
        If the store failed.
    """
    held = _require_head(client)
    deployment = _read_deployment(client, held.head)
    operations = change(held.head.operations)
    check_operations(operations, deployment)
    if operations == held.head.operations:
        return held.head.version
    return _write_head(client, held, held.head.pages, operations)


def read_head(client: ObjectStore) -> HeldHead:
    """Return the head; one of version 0 without pages when nothing is published.

    Raises
    ------
    ConfigurationDamaged
        If the object is no head.
    StoreError
        If the store failed.
    """
    stored = client.get(HEAD)
    if stored is None:
        return HeldHead(Head(0, (), Operations(), ''), 0)
    try:
        head = msgspec.json.decode(stored.body, type=Head)
    except msgspec.MsgspecError as error:
        raise ConfigurationDamaged(f'{HEAD}: {error}') from error
    return HeldHead(head, stored.version)


def read_configuration(client: ObjectStore) -> Configuration:
    """Return the configuration in force, read from the store in whole.

    Raises
    ------
    ConfigurationMissing, ConfigurationDamaged, StoreError
        As for `ConfigurationReader.read`.
    """
    return ConfigurationReader(client).read()


class ConfigurationReader:
    """Reader that fetches pages only when they differ from those it read last.

    Most changes are operations, which the head holds itself; they cost one call.

    Parameters
    ----------
    client : ObjectStore
        Client of the platform's store.
    """

    __slots__ = ('_client', '_pages', '_deployment')

    def __init__(self, client: ObjectStore) -> None:
        self._client = client
        self._pages: tuple[PageReference, ...] = ()
        self._deployment: Deployment | None = None

    def read(self) -> Configuration:
        """Return the configuration in force.

        Raises
        ------
        ConfigurationMissing
            If nothing has been published.
        ConfigurationDamaged
            If a page stays absent or does not match its digest.
        StoreError
            If the store failed.
        """
        for attempt in range(1, READ_ATTEMPTS + 1):
            head = _require_head(self._client).head
            try:
                return self._read_pages(head)
            except ConfigurationDamaged:
                # Two publications since the head was read have deleted its pages.
                if attempt == READ_ATTEMPTS:
                    raise
        raise ConfigurationMissing('no attempt was made')

    def _read_pages(self, head: Head) -> Configuration:
        if self._deployment is None or head.pages != self._pages:
            self._deployment = _read_deployment(self._client, head)
            self._pages = head.pages
        deployment = msgspec.structs.replace(
            self._deployment, operations=head.operations
        )
        return Configuration(head.version, deployment)


def _check_size(name: str, body: bytes) -> bytes:
    if len(body) > PAGE_LIMIT_BYTES:
        message = f'{name}: {len(body)} bytes, limit {PAGE_LIMIT_BYTES}'
        raise ConfigurationError(message)
    return body


def _require_head(client: ObjectStore) -> HeldHead:
    held = read_head(client)
    if not held.stored_version:
        raise ConfigurationMissing(f'{HEAD} is absent: nothing has been published')
    return held


def _read_deployment(client: ObjectStore, head: Head) -> Deployment:
    return decode_pages(_read_page(client, page.digest) for page in head.pages)


def _read_page(client: ObjectStore, digest: str) -> bytes:
    stored = client.get(PAGE_PREFIX + digest)
    if stored is None or _digest(stored.body) != digest:
        raise ConfigurationDamaged(f'page {digest} is absent or altered')
    return stored.body


def _write_pages(
    client: ObjectStore, head: Head, pages: Iterable[Page]
) -> tuple[PageReference, ...]:
    in_force = {reference.content: reference for reference in head.pages}
    references = []
    for page in pages:
        content = _digest(encode_page(page))
        known = in_force.get(content)
        if known is None:
            stamped = msgspec.structs.replace(page, published=head.version + 1)
            known = PageReference(_write_page(client, stamped), content)
        references.append(known)
    return tuple(references)


def _write_page(client: ObjectStore, page: Page) -> str:
    body = encode_page(page)
    digest = _digest(body)
    name = PAGE_PREFIX + digest
    try:
        client.put(name, _check_size(name, body), 0)
    except StoreConflict:
        return digest  # A publisher of the same version wrote the same page.
    return digest


def _write_head(
    client: ObjectStore,
    held: HeldHead,
    pages: tuple[PageReference, ...],
    operations: Operations,
) -> int:
    version = held.head.version + 1
    head = Head(version, pages, operations, secrets.token_hex(WRITER_BYTES))
    body = msgspec.json.encode(head)
    client.put(HEAD, _check_size(HEAD, body), held.stored_version)
    return version


def _delete_obsolete(
    client: ObjectStore, listed: Iterable[Any], kept: Iterable[PageReference]
) -> None:
    """Delete the listed pages that neither the new head nor the last one names.

    The pages were listed before the head was read, so a page of a publisher that
    started later is not among them; one that started earlier has lost the race.
    Readers may still be fetching the pages of the last head.
    """
    names = {PAGE_PREFIX + reference.digest for reference in kept}
    for entry in listed:
        if entry.name not in names:
            _delete_page(client, entry.name, entry.version)


def _delete_page(client: ObjectStore, name: str, version: int) -> None:
    try:
        client.delete(name, version)
    except StoreError:
        return  # The publication is complete; the next one deletes the page.


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
