"""Relays: entry instances pass what they read from the store on to reserves.

Only entry instances read the store. If every member of a large fleet did, its calls would
grow with the fleet, and each new configuration would cross the links between regions once
for each member. A reserve follows an entry instance near it as it would follow the store.
When the relays that it tries fail, it reads the store itself.

A relay passes on only what it has read from the store itself, so nothing is passed on
twice, and it passes on nothing while the store doesn't answer it. Its answers tell how
old its last read is, which limits the reserve's lease on the configuration.
"""

from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from currantmast.clocks import Clock
from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.positions import Position
from currantmast.direct.relaymessages import RelayedEntry, encode_entry, encode_update
from currantmast.direct.updatelogs import UpdateLog
from currantmast.direct.updates import Entry, Source, StoreUpdate, Topic
from currantmast.errors import StoreError, WatchExpired

# Longest time in seconds that a watch waits at a relay. Short, so that the loss of a relay
# is noticed soon.
MAX_WAIT_S = 2.0


class RecordingSource:
    """The store, with a record of what was read from it.

    Parameters
    ----------
    store : Source
        The store.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', 'logs', 'store')

    def __init__(self, store: Source, clock: Clock) -> None:
        self.store = store
        self._clock = clock
        self.logs = {topic: UpdateLog() for topic in Topic}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RecordingSource {self.store!r}>'

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`."""
        sent_at = self._clock.now()
        try:
            update = self.store.list_all(topic)
        except StoreError:
            self._lose_all()
            raise
        self.logs[topic].put_list(update, sent_at)
        return update

    def watch(self, topic: Topic, position: Position, wait_s: float) -> StoreUpdate:
        """Return the changes after `position`; wait up to `wait_s` seconds for one."""
        log = self.logs[topic]
        if not log.can_continue(position):
            # The record lacks changes after a time as a reserve, so it needs a list.
            raise WatchExpired(f'{topic.value}: {position} was not read from the store')
        sent_at = self._clock.now()
        try:
            update = self.store.watch(topic, position, wait_s)
        except WatchExpired:
            log.lose()
            raise
        except StoreError:
            self._lose_all()
            raise
        log.put_changes(update, sent_at)
        return update

    def _lose_all(self) -> None:
        """Pass no topic on: the calls of the others may just not have failed yet."""
        for log in self.logs.values():
            log.lose()


class RelayServer:
    """Answers the calls of reserves from the record of what was read from the store.

    Parameters
    ----------
    recorded : RecordingSource
        The record.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_encoded', '_recorded')

    def __init__(self, recorded: RecordingSource, clock: Clock) -> None:
        self._recorded = recorded
        self._clock = clock
        # The encoded entry of each name, for as long as it doesn't change.
        self._encoded: dict[tuple[Topic, str], tuple[Entry, RelayedEntry]] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RelayServer {self._recorded!r}>'

    def answer(self, inbound: InboundRequest) -> OutboundAnswer:
        """Return the answer to a list or watch; 410 if the history is gone."""
        arrived_at = self._clock.now()
        try:
            topic, position, wait_s = _decode_call(inbound.url)
        except (KeyError, ValueError):
            return OutboundAnswer(HTTPStatus.BAD_REQUEST)
        log = self._recorded.logs[topic]
        try:
            update = log.watch(position, wait_s) if position else log.list_all()
        except WatchExpired:
            return OutboundAnswer(HTTPStatus.GONE)
        except StoreError:
            return OutboundAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
        body = encode_update(
            update.position,
            (self._encode(topic, entry) for entry in update.entries),
            max(0, arrived_at - log.read_at),
        )
        return OutboundAnswer(HTTPStatus.OK, (), body)

    def _encode(self, topic: Topic, entry: Entry) -> RelayedEntry:
        key = (topic, entry.name)
        if entry.value is None:
            self._encoded.pop(key, None)
            return encode_entry(entry)
        known = self._encoded.get(key)
        if known is None or known[0] is not entry:
            known = (entry, encode_entry(entry))
            self._encoded[key] = known
        return known[1]


def _decode_call(url: str) -> tuple[Topic, Position | None, float]:
    """Return topic, position and wait in seconds; the position is None for a list."""
    parts = urlsplit(url)
    query = parse_qs(parts.query)
    wait_s = float(query.get('wait_s', ['0'])[0])
    position = _find_position(query) if query.get('revision') else None
    return Topic(parts.path.strip('/')), position, max(0, min(MAX_WAIT_S, wait_s))


def _find_position(query: dict[str, list[str]]) -> Position:
    return Position(int(query['era'][0]), int(query['revision'][0]))
