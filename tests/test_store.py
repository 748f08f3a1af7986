"""Object client against the stand-in of the object API."""

import gevent
import msgspec
import pytest

from currantmast.clocks import LoopClock, ManualClock
from currantmast.errors import (
    StoreBudgetExceeded,
    StoreConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
    ValueTooLarge,
    WatchExpired,
)
from currantmast.messages import Address
from currantmast.runtime.callbudgets import CallBudget
from currantmast.runtime.httpclients import SingleAttemptClient
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.storecalls import Answer, AnswerLost, Call, StoreChannel
from currantmast.runtime.storewrites import ConditionalWrite
from currantmast.standins.objects import ObjectsSettings, serve_objects


@pytest.fixture
def address():
    with serve_objects(ObjectsSettings(changes_kept=50)) as bound:
        yield bound


@pytest.fixture
def client(address):
    with ObjectClient(address, LoopClock(), 10_000, timeout_s=0.3) as made:
        yield made


def ask(address, method, path, **content):
    control = SingleAttemptClient(address, 5, 1)
    body = msgspec.json.encode(content) if content else b''
    with control.request(method, path, body) as response:
        text = response.read()
    control.close()
    return msgspec.json.decode(text)


def count_writes(address):
    return sum(call['kind'] == 'put' for call in ask(address, 'GET', '/history'))


def test_conditional_update_and_delete(client):
    """Guards against an update or a delete that overwrites a version unseen."""
    assert client.get('a/b c') is None
    assert client.put('a/b c', b'one', 0) == 1
    assert client.put('a/b c', b'two', 1) == 2
    with pytest.raises(StoreConflict) as conflict:
        client.put('a/b c', b'three', 1)
    assert conflict.value.current == 2
    with pytest.raises(StoreConflict):
        client.delete('a/b c', 1)
    assert client.get('a/b c').body == b'two'
    client.delete('a/b c', 2)
    assert client.get('a/b c') is None


def test_lost_answer_is_resolved_by_reading_back(client, address):
    """Guards against the library's own repetition of PUT, seen as a conflict."""
    client.put('x', b'1', 0)
    ask(address, 'POST', '/faults', lose_answers=1)
    assert client.put('x', b'2', 1) == 2
    assert count_writes(address) == 2
    ask(address, 'POST', '/faults', lose_answers=1)
    client.delete('x', 2)
    assert client.get('x') is None


def test_lost_answer_of_a_late_write(client, address):
    """Guards against taking a write as failed that takes effect after the timeout."""
    ask(address, 'POST', '/faults', delay_s=0.4)
    writer = gevent.spawn(client.put, 'late', b'body', 0)
    gevent.sleep(0.35)
    ask(address, 'POST', '/faults', delay_s=0)
    assert writer.get(timeout=5) == 1
    assert client.get('late').body == b'body'


def test_unresolved_write_is_unknown(client, address):
    """Guards against reporting an unresolved write as not written."""
    ask(address, 'POST', '/faults', closed=True)
    with pytest.raises(StoreOutcomeUnknown):
        client.put('x', b'1', 0)
    ask(address, 'POST', '/faults', closed=False, outage=True)
    with pytest.raises(StoreUnavailable):
        client.put('x', b'1', 0)
    ask(address, 'POST', '/faults', outage=False)
    assert client.get('x') is None


class SilentChannel(StoreChannel):
    """Loses every answer to a write; reads find another writer's version."""

    def exchange(self, call, timeout_s=0):
        raise AnswerLost(call.kind)

    def read(self, call):
        return Answer(200, 1, b'theirs')


def test_another_writers_version_is_a_conflict():
    """Guards against mistaking another writer's next version for the own one."""
    budget = CallBudget(ManualClock(), 100)
    channel = SilentChannel(Address('127.0.0.1', 1), budget, 1, '')
    call = Call('put', 'PUT', '/objects/y', b'mine', 0)
    with pytest.raises(StoreConflict):
        ConditionalWrite(channel, 'y', call).run()


def test_listing_pages_and_watch_resume(client, address):
    """Guards against changes missed between a listing and the watch after it."""
    for number in range(1005):
        client.put(f'n/{number:04}', b'', 0)
    listing = client.list('n/')
    assert len({entry.name for entry in listing.entries}) == 1005
    waiting = gevent.spawn(client.watch, 'n/', listing.revision, 5)
    gevent.sleep(0.02)
    client.put('other', b'', 0)
    client.delete('n/0003', 1)
    (event,) = waiting.get(timeout=5).events
    assert (event.name, event.version) == ('n/0003', 0)
    assert client.watch('n/', event.revision, 0).events == ()
    with pytest.raises(WatchExpired):
        client.watch('n/', 1, 0)
    assert ask(address, 'GET', '/calls')['watch'] == 3


def test_value_and_call_limits(address):
    """Guards against calls and values that exceed the platform's limits."""
    clock = ManualClock()
    with ObjectClient(address, clock, calls_per_s=2) as client:
        with pytest.raises(ValueTooLarge):
            client.put('big', bytes(1_000_001), 0)
        client.put('big', bytes(1_000_000), 0)
        assert len(client.get('big').body) == 1_000_000
        with pytest.raises(StoreBudgetExceeded):
            client.get('big')
        clock.advance(1)
        client.get('big')
        assert client.budget.counts == {'put': 1, 'get': 2}
