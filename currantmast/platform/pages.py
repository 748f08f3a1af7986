"""Decoding of the pages that the platform's store answers with.

Each object is decoded by itself: what another writer left in one of them must not keep an
instance from reading the others.
"""

from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import msgspec

from currantmast.direct.updates import Entry, InvalidEntry, Topic
from currantmast.errors import StoreUnavailable
from currantmast.platform.documents import DECODERS
from currantmast.platform.pruning import isolate_json, prune_json, salvage_json
from currantmast.runtime.logs import log_event


class _Meta(msgspec.Struct):
    name: str
    # Revision of the last change.
    rev: int = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    meta: _Meta
    # Kept as it is: what another writer left there must not spoil the other objects.
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class Page(msgspec.Struct):
    """Answer to a list or a watch.

    Parameters
    ----------
    current_rev : int
        Revision of the store.
    items : list of Raw, optional
        Objects of a list.
    events : list of Raw, optional
        Changes that a watch returns.
    has_more : bool
        Whether more objects follow.
    """

    current_rev: int
    items: list[msgspec.Raw] | None = None
    events: list[msgspec.Raw] | None = None
    has_more: bool = False


_Named = TypeVar('_Named', _Object, _Event)

_page_decoder = msgspec.json.Decoder(Page)


def decode_page(body: bytes) -> Page:
    """Return the page in the body of an answer.

    Raises
    ------
    StoreUnavailable
        If it is no page.
    """
    try:
        return _page_decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        return _decode_repaired(body)


def _decode_repaired(body: bytes) -> Page:
    """Decode a page with an entry that keeps it from being decoded whole."""
    try:
        return _page_decoder.decode(isolate_json(prune_json(body)))
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f'unreadable answer: {error}') from error


def decode_items(topic: Topic, page: Page) -> tuple[Entry, ...]:
    """Return the entries of a list; an object without a readable name is left out.

    Raises
    ------
    StoreUnavailable
        If the page is no list.
    """
    if page.items is None:
        raise StoreUnavailable('the answer has no items')
    found = _decode_all(topic, page.items, _Object)
    return tuple(_build_entry(topic, stored) for stored in found)


def decode_events(topic: Topic, page: Page) -> tuple[Entry, ...]:
    """Return the entries that changed, without a value if they were removed.

    Raises
    ------
    StoreUnavailable
        If the page is no answer to a watch.
    """
    if page.events is None:
        raise StoreUnavailable('the answer has no events')
    found = _decode_all(topic, page.events, _Event)
    return tuple(_build_changed(topic, event) for event in found)


def decode_object(topic: Topic, body: bytes) -> Entry:
    """Return the entry in an answer that holds one object.

    Raises
    ------
    StoreUnavailable
        If the object can't be read.
    """
    stored = next(_decode_all(topic, (msgspec.Raw(body),), _Object), None)
    if stored is None:
        raise StoreUnavailable('the answer is no object')
    return _build_entry(topic, stored)


def _decode_all(
    topic: Topic, raws: Iterable[msgspec.Raw], kind: type[_Named]
) -> Iterator[_Named]:
    for raw in raws:
        try:
            yield msgspec.json.decode(raw, type=kind)
        except (msgspec.MsgspecError, RecursionError) as error:
            log_event(
                'object_unreadable', level='WARNING', topic=topic.value, error=error
            )


def _build_changed(topic: Topic, event: _Event) -> Entry:
    entry = _build_entry(topic, event.object)
    return Entry(entry.name, entry.revision, None) if event.deleted else entry


def _build_entry(topic: Topic, stored: _Object) -> Entry:
    meta = stored.meta
    if meta.deleting:
        return Entry(meta.name, meta.rev, None)
    return Entry(meta.name, meta.rev, _decode_spec(topic, meta.name, stored.spec))


def _decode_spec(topic: Topic, name: str, spec: msgspec.Raw) -> Any:
    try:
        decoded = msgspec.json.decode(spec)
    except (msgspec.MsgspecError, RecursionError) as error:
        if topic is not Topic.configuration:
            return InvalidEntry(str(error))
        # One entry of it must not keep the others from being in force.
        decoded = salvage_json(bytes(spec))
    return DECODERS[topic](name, decoded)
