"""Client of the platform's object store."""

from http import HTTPStatus
from types import MappingProxyType
from urllib.parse import quote, urlencode

from currantmast.clocks import Clock
from currantmast.direct.answers import Answer
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.direct.model import InstanceRecord
from currantmast.direct.positions import Position
from currantmast.direct.updates import TRANSFER_S, Entry, StoreUpdate, Topic
from currantmast.errors import (
    AnswerTooLarge,
    StoreAnswerTooLarge,
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransportError,
    WatchExpired,
)
from currantmast.messages import Address
from currantmast.platform.documents import CONFIGURATION_NAME, encode_instance
from currantmast.platform.pages import (
    Page,
    decode_events,
    decode_items,
    decode_object,
    decode_page,
)

# Names of the header with the number of times that the store came back from a copy. The
# page that introduced it gives the name without the prefix that other headers bear.
STORE_ERAS = ('store-era', 'x-currantmast-store-era')
MAX_ERA_DIGITS = 18

CALL_TIMEOUT_S = 1.0

# Time that a watch may take to answer beyond its requested wait.
WATCH_MARGIN_S = 0.6

# Connections that carry writes.
WRITES = 'writes'

OBJECT_KINDS = MappingProxyType(
    {
        Topic.configuration: 'config',
        Topic.targets: 'servers',
        Topic.evacuations: 'evacuations',
        Topic.instances: 'instances',
    }
)


class ObjectStore:
    """Client of the object store, with a separate connection for each topic's watch.

    Parameters
    ----------
    address : Address
        Address of the store.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_address', '_connections', '_headers', 'call_count')

    def __init__(self, address: Address, clock: Clock) -> None:
        self._address = address
        self._headers = (
            ('Host', str(address)),
            ('Content-Type', 'application/json'),
        )
        self._connections = TargetConnections(clock)
        self.call_count = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ObjectStore {self._address}>'

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`.

        Raises
        ------
        StoreError
            If a page can't be read; a partial list is never returned.
        """
        entries: list[Entry] = []
        first: Position | None = None
        query: dict[str, str] = {}
        while True:
            page, position = self._read(topic, query, CALL_TIMEOUT_S)
            found = decode_items(topic, page)
            entries.extend(found)
            # A watch from the first page's position repeats the changes between pages.
            first = first or position
            if position.era != first.era:
                raise StoreUnavailable('the store was restored between two pages')
            if not page.has_more:
                return StoreUpdate(first, tuple(entries))
            if not found:
                raise StoreUnavailable('a page that has more names no object')
            query = {'after': found[-1].name}

    def watch(self, topic: Topic, position: Position, wait_s: float) -> StoreUpdate:
        """Return the changes after `position`, waiting up to `wait_s` for the first.

        Raises
        ------
        WatchExpired
            If the store no longer keeps the history since `position`, or came back from
            a copy since, or if the changes since are too long to be read.
        StoreError
            If the call failed.
        """
        query = {'watch': str(position.revision), 'wait_ms': str(round(wait_s * 1000))}
        try:
            page, newest = self._read(topic, query, wait_s + WATCH_MARGIN_S)
        except StoreAnswerTooLarge as error:
            # It holds each change since the position, and would be as long again; a list
            # holds the present state only.
            raise WatchExpired(f'{topic.value}: {error}') from error
        if newest.era != position.era:
            # It may have given the revision out again, so changes may be missing.
            raise WatchExpired(f'{topic.value}: {position} is of another era')
        return StoreUpdate(newest, decode_events(topic, page))

    def read_configuration(self) -> bytes:
        """Return the stored object that holds the configuration, as JSON.

        Raises
        ------
        StoreError
            If it does not exist or can't be read.
        """
        kind = OBJECT_KINDS[Topic.configuration]
        answer = self._call('GET', f'/objects/{kind}/{CONFIGURATION_NAME}')
        _raise_for_status(answer)
        return bytes(answer.body)

    def put_instance(self, record: InstanceRecord) -> None:
        """Create or replace the record of an instance.

        Raises
        ------
        StoreError
            If it is not certain that the record was written.
        """
        body = encode_instance(record)
        kind = OBJECT_KINDS[Topic.instances]
        created = self._call('POST', f'/objects/{kind}', body)
        if created.status == HTTPStatus.CONFLICT:
            name = quote(record.id, safe='')
            _raise_for_status(self._call('PUT', f'/objects/{kind}/{name}', body))
        else:
            _raise_for_status(created)

    def delete_instance(self, record: InstanceRecord) -> None:
        """Remove the record of a run of an instance, unless a newer run replaced it.

        Raises
        ------
        StoreError
            If it is not certain that the record was removed, or if it changed meanwhile.
        """
        name = quote(record.id, safe='')
        path = f'/objects/{OBJECT_KINDS[Topic.instances]}/{name}'
        answer = self._call('GET', path)
        if answer.status == HTTPStatus.NOT_FOUND:
            return
        _raise_for_status(answer)
        stored = decode_object(Topic.instances, bytes(answer.body))
        if stored.value is None or stored.value == record:
            deleted = self._call('DELETE', f'{path}?rev={stored.revision}')
            if deleted.status != HTTPStatus.NOT_FOUND:
                _raise_for_status(deleted)

    def _read(
        self, topic: Topic, query: dict[str, str], timeout_s: float
    ) -> tuple[Page, Position]:
        """Return a page and the position of the store when it answered."""
        path = f'/objects/{OBJECT_KINDS[topic]}'
        if query:
            path = f'{path}?{urlencode(query)}'
        answer = self._send(topic.value, self._make_request(path, topic), timeout_s)
        if answer.status == HTTPStatus.GONE:
            raise WatchExpired(f'{topic.value}: {query}')
        _raise_for_status(answer)
        page = decode_page(bytes(answer.body))
        return page, Position(_find_era(answer), page.current_rev)

    def _call(self, method: str, path: str, body: bytes = b'') -> Answer:
        request = TargetRequest(method, path, self._headers, body)
        try:
            return self._send(WRITES, request, CALL_TIMEOUT_S)
        except StoreUnavailable as error:
            raise StoreOutcomeUnknown(f'{method} {path}: {error}') from error

    def _make_request(self, path: str, topic: Topic) -> TargetRequest:
        transfer_s = TRANSFER_S.get(topic, 0)
        return TargetRequest('GET', path, self._headers, transfer_s=transfer_s)

    def _send(self, channel: str, request: TargetRequest, timeout_s: float) -> Answer:
        self.call_count += 1
        try:
            return self._connections.exchange(
                channel, self._address, request, timeout_s, lambda _: True
            )
        except AnswerTooLarge as error:
            raise StoreAnswerTooLarge(str(error)) from error
        except TransportError as error:
            # Other pooled connections to the store may be dead as well.
            self._connections.close_all_idle()
            raise StoreUnavailable(str(error)) from error


def _find_era(answer: Answer) -> int:
    """Return the era that an answer tells; 0 if it tells none."""
    for name in STORE_ERAS:
        text = answer.get(name) or ''
        if text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS:
            return int(text)
    return 0


def _raise_for_status(answer: Answer) -> None:
    if answer.status == HTTPStatus.CONFLICT:
        raise StoreConflict('object', 0)
    if answer.status == HTTPStatus.NOT_FOUND:
        raise StoreError('the object does not exist')
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise StoreUnavailable(f'status {answer.status}')
