"""Relays: entry instances pass what they read from the store on to reserves.

Only entry instances read the store. If every member of a large fleet did, its calls would
grow with the fleet, and each new configuration would cross the links between regions once
for each member. A reserve follows an entry instance near it as it would follow the store.
When the relays that it tries fail, it reads the store itself.

A relay passes on only what it has read from the store itself, so nothing is passed on
twice, and it passes on nothing while the store doesn't answer it. Its answers tell how
old its last read is, which limits the reserve's lease on the configuration.
"""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from urllib.parse import parse_qs, urlsplit

import msgspec
import xxhash

from currantmast.clocks import Clock
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.direct.following import (
    Entry,
    InvalidEntry,
    Source,
    StoreUpdate,
    Topic,
)
from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.members import Members
from currantmast.direct.model import Configuration, InstanceRecord, TargetRecord
from currantmast.direct.updatelogs import UpdateLog
from currantmast.errors import (
    StoreError,
    StoreUnavailable,
    TransportError,
    WatchExpired,
)
from currantmast.runtime.logs import log_event

# Longest time in seconds that a watch waits at a relay, and that its answer may take
# beyond that. Short, so that the loss of a relay is noticed soon.
MAX_WAIT_S = 2.0
ANSWER_MARGIN_S = 0.6

# Relays that are tried for one call, and the time in seconds for which one that failed
# isn't tried again.
MAX_RELAYS = 2
RELAY_BACKOFF_S = 3.0

# Shortest time in seconds between calls to the store of a reserve whose relays say that
# the store doesn't answer.
DIRECT_INTERVAL_S = 1.5

# Stands for a list in place of the revision of a watch.
LIST = -1

START_POLL_INTERVAL_S = 0.05

VALUE_TYPES: Mapping[Topic, type] = MappingProxyType(
    {
        Topic.configuration: Configuration,
        Topic.targets: TargetRecord,
        Topic.evacuations: str,
        Topic.instances: InstanceRecord,
    }
)


class RelayedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the store as a relay sends it.

    Parameters
    ----------
    name : str
        Name of the entry.
    revision : int
        Revision of its last change.
    encoded : bytes or None
        Its value as MessagePack.
    reason : str or None
        Why the value can't be used. The entry was removed if both are None.
    """

    name: str
    revision: int
    encoded: bytes | None
    reason: str | None


class RelayedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A list or the changes of a topic as a relay sends them.

    Parameters
    ----------
    revision : int
        Revision to watch from next.
    entries : tuple of RelayedEntry
        The entries.
    age_s : float
        Seconds from the relay's last successful read of the topic to the arrival of the
        call; 0 if the read came later.
    """

    revision: int
    entries: tuple[RelayedEntry, ...]
    age_s: float


_encoder = msgspec.msgpack.Encoder()
_update_decoder = msgspec.msgpack.Decoder(RelayedUpdate)
_value_decoders = {
    topic: msgspec.msgpack.Decoder(kind) for topic, kind in VALUE_TYPES.items()
}


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
        self.logs = {topic: UpdateLog(clock) for topic in Topic}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RecordingSource {self.store!r}>'

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`."""
        sent_at = self._clock.now()
        try:
            update = self.store.list_all(topic)
        except StoreError:
            self.logs[topic].lose()
            raise
        self.logs[topic].put_list(update, sent_at)
        return update

    def watch(self, topic: Topic, revision: int, wait_s: float) -> StoreUpdate:
        """Return the changes after `revision`; wait up to `wait_s` seconds for one."""
        log = self.logs[topic]
        if not log.can_continue(revision):
            # The record lacks changes after a time as a reserve, so it needs a list.
            raise WatchExpired(f'{topic.value}: {revision} was not read from the store')
        sent_at = self._clock.now()
        try:
            update = self.store.watch(topic, revision, wait_s)
        except StoreError:
            log.lose()
            raise
        log.put_changes(update, sent_at)
        return update


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
            topic, revision, wait_s = _decode_call(inbound.url)
        except ValueError:
            return OutboundAnswer(HTTPStatus.BAD_REQUEST)
        log = self._recorded.logs[topic]
        try:
            update = log.list_all() if revision == LIST else log.watch(revision, wait_s)
        except WatchExpired:
            return OutboundAnswer(HTTPStatus.GONE)
        except StoreError:
            return OutboundAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
        relayed = RelayedUpdate(
            update.revision,
            tuple(self._encode(topic, entry) for entry in update.entries),
            max(0, arrived_at - log.read_at),
        )
        return OutboundAnswer(HTTPStatus.OK, (), _encoder.encode(relayed))

    def _encode(self, topic: Topic, entry: Entry) -> RelayedEntry:
        known = self._encoded.get((topic, entry.name))
        if known is not None and known[0] is entry:
            return known[1]
        relayed = _encode_entry(entry)
        self._encoded[topic, entry.name] = (entry, relayed)
        return relayed


class RelayedSource:
    """The store as an instance reads it: itself, or through a relay if it is a reserve.

    Parameters
    ----------
    recorded : RecordingSource
        The store; only what an entry instance reads is recorded.
    members : Members
        Members of the fleet, from which relays are chosen.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_called_store_at',
        '_clock',
        '_connections',
        '_failed_until',
        '_members',
        '_recorded',
    )

    def __init__(
        self, recorded: RecordingSource, members: Members, clock: Clock
    ) -> None:
        self._recorded = recorded
        self._members = members
        self._clock = clock
        self._connections = TargetConnections(clock)
        self._failed_until: dict[str, float] = {}
        self._called_store_at: dict[Topic, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RelayedSource {self._recorded!r}>'

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`."""
        if self._is_entry():
            return self._recorded.list_all(topic)
        self._recorded.logs[topic].lose()
        relayed = self._call_relays(topic, LIST, 0)
        return relayed or self._recorded.store.list_all(topic)

    def watch(self, topic: Topic, revision: int, wait_s: float) -> StoreUpdate:
        """Return the changes after `revision`; wait up to `wait_s` seconds for one."""
        if self._is_entry():
            return self._recorded.watch(topic, revision, wait_s)
        self._recorded.logs[topic].lose()
        relayed = self._call_relays(topic, revision, min(MAX_WAIT_S, wait_s))
        return relayed or self._recorded.store.watch(topic, revision, wait_s)

    def _is_entry(self) -> bool:
        return self._members.own.id in self._members.entries

    def _call_relays(
        self, topic: Topic, revision: int, wait_s: float
    ) -> StoreUpdate | None:
        """Return a relay's answer, or None if the store is to be read.

        Raises
        ------
        WatchExpired
            If the relay doesn't know all changes after `revision`.
        StoreUnavailable
            If the store doesn't answer the relays, and was read a moment ago.
        """
        now = self._clock.now()
        relays = [
            record
            for record in list_relays(self._members)
            if self._failed_until.get(record.id, now) <= now
        ]
        refusals = 0
        for relay in relays[:MAX_RELAYS]:
            try:
                return self._call(relay, topic, revision, wait_s)
            except TransportError as error:
                log_event(
                    'relay_lost',
                    level='WARNING',
                    relay=relay.id,
                    topic=topic.value,
                    error=error,
                )
                self._failed_until[relay.id] = self._clock.now() + RELAY_BACKOFF_S
                self._connections.close_idle(_name_channel(relay, topic))
            except StoreUnavailable:
                refusals += 1
        if refusals and now - self._called_store_at.get(topic, 0) < DIRECT_INTERVAL_S:
            raise StoreUnavailable('the store does not answer the relays')
        self._called_store_at[topic] = now
        return None

    def _call(
        self, relay: InstanceRecord, topic: Topic, revision: int, wait_s: float
    ) -> StoreUpdate:
        path = f'/{topic.value}?revision={revision}&wait_s={wait_s:.3f}'
        request = TargetRequest('GET', path, (('Host', relay.id),))
        answer = self._connections.exchange(
            _name_channel(relay, topic),
            relay.peer,
            request,
            wait_s + ANSWER_MARGIN_S,
            lambda _: True,
        )
        if answer.status == HTTPStatus.GONE:
            raise WatchExpired(f'{topic.value}: {revision}')
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(f'{relay.id}: status {answer.status}')
        return _decode_update(topic, answer.body)


def list_relays(members: Members) -> tuple[InstanceRecord, ...]:
    """Return the ready entry instances of the local region, the nearest first.

    Reserves of a failure domain start with different ones of them.
    """
    own = members.own
    relays = [
        record
        for record in members.entries.pick(members.list_peers())
        if members.is_local(record) and members.is_ready(record.id)
    ]
    relays.sort(
        key=lambda record: (
            record.location.failure_domain != own.location.failure_domain,
            xxhash.xxh3_64_intdigest(f'{own.id}|{record.id}'.encode()),
        )
    )
    return tuple(relays)


def wait_for_relay(members: Members, clock: Clock, wait_s: float) -> None:
    """Wait up to `wait_s` seconds until a starting reserve has heard a relay."""
    latest = clock.now() + wait_s
    while members.own.id not in members.entries and not list_relays(members):
        if clock.now() >= latest:
            return
        clock.sleep(START_POLL_INTERVAL_S)


def _name_channel(relay: InstanceRecord, topic: Topic) -> str:
    return f'{relay.id}/{relay.incarnation}/{topic.value}'


def _encode_entry(entry: Entry) -> RelayedEntry:
    match entry.value:
        case None:
            return RelayedEntry(entry.name, entry.revision, None, None)
        case InvalidEntry(reason):
            return RelayedEntry(entry.name, entry.revision, None, reason)
    return RelayedEntry(entry.name, entry.revision, _encoder.encode(entry.value), None)


def _decode_call(url: str) -> tuple[Topic, int, float]:
    """Return topic, revision and wait in seconds; the revision is `LIST` for a list."""
    parts = urlsplit(url)
    query = parse_qs(parts.query)
    wait_s = float(query.get('wait_s', ['0'])[0])
    revision = int(query.get('revision', [LIST])[0])
    return Topic(parts.path.strip('/')), revision, max(0, min(MAX_WAIT_S, wait_s))


def _decode_update(topic: Topic, body: bytes) -> StoreUpdate:
    try:
        relayed = _update_decoder.decode(body)
        entries = tuple(_decode_entry(topic, entry) for entry in relayed.entries)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f'unreadable answer of a relay: {error}') from error
    return StoreUpdate(relayed.revision, entries, relayed.age_s)


def _decode_entry(topic: Topic, relayed: RelayedEntry) -> Entry:
    if relayed.encoded is not None:
        value = _value_decoders[topic].decode(relayed.encoded)
    elif relayed.reason is not None:
        value = InvalidEntry(relayed.reason)
    else:
        value = None
    return Entry(relayed.name, relayed.revision, value)
