"""How a reserve reads the store: through a relay near it, or itself when those fail."""

from http import HTTPStatus

import xxhash

from currantmast.clocks import Clock
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.direct.members import Members
from currantmast.direct.model import InstanceRecord
from currantmast.direct.positions import Position
from currantmast.direct.relaymessages import decode_update
from currantmast.direct.relays import MAX_WAIT_S, RecordingSource
from currantmast.direct.updates import StoreUpdate, Topic
from currantmast.errors import StoreUnavailable, TransportError, WatchExpired
from currantmast.runtime.logs import log_event

# Time in seconds that a relay's answer may take beyond the wait of a watch.
ANSWER_MARGIN_S = 0.6

# Relays that are tried for one call, and the time in seconds for which one that failed
# isn't tried again.
MAX_RELAYS = 2
RELAY_BACKOFF_S = 3.0

# Shortest time in seconds between calls to the store of a reserve whose relays say that
# the store doesn't answer.
DIRECT_INTERVAL_S = 1.5

START_POLL_INTERVAL_S = 0.05

# Stands for the store in log lines that tell where a topic is read.
STORE = 'store'


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
        '_sources',
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
        # Where each topic was read last: the id of a relay, or `STORE`.
        self._sources: dict[Topic, str] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RelayedSource {self._recorded!r}>'

    def list_all(self, topic: Topic) -> StoreUpdate:
        """Return every entry of `topic`."""
        if self._is_entry():
            self._note_source(topic, STORE)
            return self._recorded.list_all(topic)
        relayed = self._read_relayed(topic, None, 0)
        return relayed or self._recorded.store.list_all(topic)

    def watch(self, topic: Topic, position: Position, wait_s: float) -> StoreUpdate:
        """Return the changes after `position`; wait up to `wait_s` seconds for one."""
        if self._is_entry():
            self._note_source(topic, STORE)
            return self._recorded.watch(topic, position, wait_s)
        relayed = self._read_relayed(topic, position, min(MAX_WAIT_S, wait_s))
        return relayed or self._recorded.store.watch(topic, position, wait_s)

    def _is_entry(self) -> bool:
        return self._members.own.id in self._members.entries

    def _read_relayed(
        self, topic: Topic, position: Position | None, wait_s: float
    ) -> StoreUpdate | None:
        """Return a relay's answer, or None if the store is to be read.

        Without a position the whole topic is listed.

        Raises
        ------
        WatchExpired
            If the relay doesn't know all changes after `position`.
        StoreUnavailable
            If the store doesn't answer the relays, and was read a moment ago.
        """
        # A reserve doesn't keep its own record up to date, so it relays nothing.
        self._recorded.logs[topic].lose()
        now = self._clock.now()
        relays = [
            record
            for record in list_relays(self._members)
            if self._failed_until.get(record.id, now) <= now
        ]
        path = _make_path(topic, position, wait_s)
        refusals = 0
        for relay in relays[:MAX_RELAYS]:
            try:
                return self._call(relay, path, topic, wait_s)
            except TransportError:
                self._failed_until[relay.id] = self._clock.now() + RELAY_BACKOFF_S
                # Connections to the other relays may have fallen silent as well.
                self._connections.close_all_idle()
            except StoreUnavailable:
                refusals += 1
        if refusals and now - self._called_store_at.get(topic, 0) < DIRECT_INTERVAL_S:
            raise StoreUnavailable('the store does not answer the relays')
        self._called_store_at[topic] = now
        self._note_source(topic, STORE)
        return None

    def _note_source(self, topic: Topic, source: str) -> None:
        if self._sources.get(topic) != source:
            self._sources[topic] = source
            log_event('source_changed', topic=topic.value, source=source)

    def _call(
        self, relay: InstanceRecord, path: str, topic: Topic, wait_s: float
    ) -> StoreUpdate:
        sent_at = self._clock.now()
        try:
            update = self._exchange(relay, path, topic, wait_s)
        except (TransportError, StoreUnavailable) as error:
            log_event(
                'relay_lost' if isinstance(error, TransportError) else 'relay_refused',
                level='WARNING',
                relay=relay.id,
                topic=topic.value,
                error=error,
                waited_s=self._clock.now() - sent_at,
            )
            raise
        self._note_source(topic, relay.id)
        return update

    def _exchange(
        self, relay: InstanceRecord, path: str, topic: Topic, wait_s: float
    ) -> StoreUpdate:
        request = TargetRequest('GET', path, (('Host', relay.id),))
        answer = self._connections.exchange(
            _name_channel(relay, topic),
            relay.peer,
            request,
            wait_s + ANSWER_MARGIN_S,
            lambda _: True,
        )
        if answer.status == HTTPStatus.GONE:
            raise WatchExpired(path)
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(f'{relay.id}: status {answer.status}')
        return decode_update(topic, answer.body)


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


def _make_path(topic: Topic, position: Position | None, wait_s: float) -> str:
    if position is None:
        return f'/{topic.value}'
    history = f'era={position.era}&revision={position.revision}'
    return f'/{topic.value}?{history}&wait_s={wait_s:.3f}'


def _name_channel(relay: InstanceRecord, topic: Topic) -> str:
    return f'{relay.id}/{relay.incarnation}/{topic.value}'
