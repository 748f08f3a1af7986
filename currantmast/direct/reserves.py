"""How a reserve reads the store: through a relay near it, or itself when those fail."""

import math
from http import HTTPStatus

import xxhash

from currantmast.clocks import Clock
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.direct.members import Members
from currantmast.direct.model import InstanceRecord
from currantmast.direct.positions import Position
from currantmast.direct.relaymessages import decode_update
from currantmast.direct.relays import MAX_WAIT_S, RecordingSource
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updates import TRANSFER_S, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable, TransportError, WatchExpired
from currantmast.runtime.logs import log_event

# Time in seconds that a relay's answer may take beyond the wait of a watch.
ANSWER_MARGIN_S = 0.6

# Seconds that remain of the bound on a change when a relay's answer is due: for its margin,
# for a call to the store and for what was sent before.
RELAY_MARGIN_S = 1.5

# The same for an entry instance whose own call to the store is due, and which reserves
# follow.
STORE_MARGIN_S = 1.3

# Shortest time in seconds in which an answer of a relay is waited for.
MIN_TIMEOUT_S = 0.2

# Shortest wait in seconds of a watch, however short the bound is.
MIN_WAIT_S = 0.3

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
    health : StoreHealth
        Age of what is known of the store, and the bounds on it.
    """

    __slots__ = (
        '_called_store_at',
        '_clock',
        '_connections',
        '_failed_until',
        '_health',
        '_members',
        '_recorded',
        '_sources',
    )

    def __init__(
        self,
        recorded: RecordingSource,
        members: Members,
        clock: Clock,
        health: StoreHealth,
    ) -> None:
        self._recorded = recorded
        self._members = members
        self._clock = clock
        self._health = health
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
            longest_s = self._limit_store_wait(topic)
            return self._recorded.watch(topic, position, min(longest_s, wait_s))
        longest_s = self._limit_relay_wait(topic)
        relayed = self._read_relayed(topic, position, min(longest_s, wait_s))
        return relayed or self._recorded.store.watch(topic, position, wait_s)

    def _limit_store_wait(self, topic: Topic) -> float:
        """Return the longest wait in seconds of this entry instance at the store.

        A failed call ends the relaying of all topics. So it is enough that calls of one
        topic fail soon after the store fell silent, for the reserves to learn in time.
        """
        has_reserves = len(self._members.entries) < len(self._members)
        if topic is not Topic.configuration or not has_reserves:
            return math.inf
        bound_s = min(map(self._health.get_bound, Topic))
        return max(MIN_WAIT_S, bound_s - STORE_MARGIN_S)

    def _limit_relay_wait(self, topic: Topic) -> float:
        """Return the longest wait in seconds of a watch at a relay.

        If the relay falls silent, enough of the bound is left to ask the store.
        """
        longest_s = self._health.get_bound(topic) - RELAY_MARGIN_S
        return max(MIN_WAIT_S, min(MAX_WAIT_S, longest_s))

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
        answer_by = now + wait_s + ANSWER_MARGIN_S
        refusals = 0
        for relay in self._list_usable_relays():
            timeout_s = answer_by - self._clock.now()
            if timeout_s < MIN_TIMEOUT_S:
                break
            try:
                return self._call(relay, topic, position, timeout_s)
            except TransportError:
                self._failed_until[relay.id] = self._clock.now() + RELAY_BACKOFF_S
                # Connections to the other relays may have fallen silent as well.
                self._connections.close_all_idle()
            except StoreUnavailable:
                refusals += 1
            # The next relay is asked at least for its present state, if time is left.
            present_by = self._clock.now() + ANSWER_MARGIN_S
            answer_by = min(max(answer_by, present_by), self._get_deadline(topic))
        if refusals and now - self._called_store_at.get(topic, 0) < DIRECT_INTERVAL_S:
            raise StoreUnavailable('the store does not answer the relays')
        self._called_store_at[topic] = now
        self._note_source(topic, STORE)
        return None

    def _list_usable_relays(self) -> tuple[InstanceRecord, ...]:
        now = self._clock.now()
        relays = [
            record
            for record in list_relays(self._members)
            if self._failed_until.get(record.id, now) <= now
        ]
        return tuple(relays[:MAX_RELAYS])

    def _get_deadline(self, topic: Topic) -> float:
        """Return the time by which another relay must answer after one has failed.

        It depends on the age of what is known, as the failed relay may have noticed its
        own trouble late.
        """
        age_s = self._health.read_times.age(topic)
        if age_s == math.inf:
            return math.inf
        left_s = self._health.get_bound(topic) - RELAY_MARGIN_S - age_s
        return self._clock.now() + left_s + ANSWER_MARGIN_S

    def _note_source(self, topic: Topic, source: str) -> None:
        if self._sources.get(topic) != source:
            self._sources[topic] = source
            log_event('source_changed', topic=topic.value, source=source)

    def _call(
        self,
        relay: InstanceRecord,
        topic: Topic,
        position: Position | None,
        timeout_s: float,
    ) -> StoreUpdate:
        sent_at = self._clock.now()
        try:
            update = self._exchange(relay, topic, position, timeout_s)
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
        self,
        relay: InstanceRecord,
        topic: Topic,
        position: Position | None,
        timeout_s: float,
    ) -> StoreUpdate:
        path = _make_path(topic, position, max(0, timeout_s - ANSWER_MARGIN_S))
        headers = (('Host', relay.id),)
        transfer_s = TRANSFER_S.get(topic, 0)
        answer = self._connections.exchange(
            _name_channel(relay, topic),
            relay.peer,
            TargetRequest('GET', path, headers, transfer_s=transfer_s),
            timeout_s,
            lambda _: True,
        )
        if answer.status == HTTPStatus.GONE:
            raise WatchExpired(path)
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(f'{relay.id}: status {answer.status}')
        return decode_update(topic, bytes(answer.body))


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
