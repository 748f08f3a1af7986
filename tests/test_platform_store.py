"""Client of the platform's store, tested against the stand-in store."""

import gevent
import msgspec
import pytest
from msgspec.structs import replace

from currantmast.clocks import BootClock
from currantmast.direct.model import InstanceRecord, Location
from currantmast.direct.updates import InvalidEntry, Topic
from currantmast.errors import (
    StoreConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchExpired,
)
from currantmast.messages import Address
from currantmast.platform.documents import configure_regions
from currantmast.platform.store import OBJECT_KINDS, ObjectStore
from currantmast.standins.platformstore import PlatformStore

HERE = Location('fife', 'fife-a')
RECORD = InstanceRecord(
    'i1', 'run-1', HERE, Address('127.0.0.1', 1), Address('127.0.0.1', 2)
)


def make_server(number):
    return {
        'service': 's1',
        'addr': f'10.0.0.1:{1000 + number}',
        'zone': 'fife-a',
        'slots': 3,
        'state': 'ready',
    }


@pytest.fixture
def standin():
    configure_regions({'fife-a': 'fife'})
    with PlatformStore() as store:
        yield store


@pytest.fixture
def client(standin):
    return ObjectStore(standin.address, BootClock())


def test_list_reads_all_pages(standin, client):
    """Guards against a partial list, by which existing targets would be removed."""
    for number in range(120):
        standin.put('servers', f'i-{number:03}', make_server(number))
    news = client.list_all(Topic.targets)
    assert len(news.entries) == 120
    assert {entry.name for entry in news.entries} >= {'i-000', 'i-119'}


def test_change_after_a_list_is_returned_by_the_watch(standin, client):
    standin.put('servers', 'i-1', make_server(1))
    position = client.list_all(Topic.targets).position
    standin.put('servers', 'i-2', make_server(2))
    standin.remove('servers', 'i-1')
    standin.put('config', 'main', {})
    news = client.watch(Topic.targets, position, 0)
    found = [(entry.name, entry.value is None) for entry in news.entries]
    assert found == [('i-2', False), ('i-1', True)]


def test_watch_waits_for_the_first_change(standin, client):
    position = client.list_all(Topic.targets).position
    gevent.spawn_later(0.1, standin.put, 'servers', 'i-1', make_server(1))
    with gevent.Timeout(1):
        news = client.watch(Topic.targets, position, 5)
    assert [entry.name for entry in news.entries] == ['i-1']


def test_watch_without_a_change_ends_after_its_wait(standin, client):
    position = client.list_all(Topic.targets).position
    with gevent.Timeout(1):
        assert not client.watch(Topic.targets, position, 0.1).entries


def test_expired_watch_is_distinguished_from_an_outage(standin, client):
    position = client.list_all(Topic.targets).position
    standin.put('servers', 'i-1', make_server(1))
    standin.forget_history()
    with pytest.raises(WatchExpired):
        client.watch(Topic.targets, position, 0)
    standin.faults.outage = True
    with pytest.raises(StoreUnavailable):
        client.watch(Topic.targets, position, 0)


def test_watch_that_would_be_too_long_is_replaced_by_a_list(standin, client):
    """Guards against an instance that asks for the same long answer again and again."""
    position = client.list_all(Topic.configuration).position
    filler = 'x' * 900_000
    for version in range(1, 6):
        spec = {'version': f'{version:08x}', 'resources': [], 'filler': filler}
        standin.put('config', 'main', spec)
    with pytest.raises(WatchExpired):
        client.watch(Topic.configuration, position, 1)
    (entry,) = client.list_all(Topic.configuration).entries
    assert entry.value.version == 5


def test_invalid_entry_does_not_affect_the_others(standin, client):
    standin.put('servers', 'i-1', make_server(1))
    standin.put('servers', 'i-2', 'not a server')
    found = {
        entry.name: entry.value for entry in client.list_all(Topic.targets).entries
    }
    assert isinstance(found['i-2'], InvalidEntry)
    assert found['i-1'].slots == 3


def test_call_to_a_silent_store_times_out(standin, client):
    standin.faults.delay_s = 3
    with gevent.Timeout(2.5), pytest.raises(StoreUnavailable):
        client.list_all(Topic.targets)


def test_put_instance_replaces_an_existing_record(standin, client):
    client.put_instance(RECORD)
    client.put_instance(RECORD)
    entries = client.list_all(Topic.instances).entries
    assert [entry.value for entry in entries] == [RECORD]
    client.delete_instance(RECORD)
    client.delete_instance(RECORD)
    assert not client.list_all(Topic.instances).entries


def test_record_of_a_new_run_is_not_deleted_for_an_old_one(standin, client):
    """Guards against two that act around a restart: the old run, or a remover that saw it.

    The second of them would delete the record of the run that has just registered.
    """
    returned = replace(RECORD, incarnation='run-2')
    client.put_instance(returned)
    client.delete_instance(RECORD)
    entries = client.list_all(Topic.instances).entries
    assert [entry.value for entry in entries] == [returned]


def test_record_that_changes_during_its_deletion_stays(standin, client):
    client.put_instance(RECORD)
    standin.before_delete = lambda: standin.put('instances', 'i1', {'a': 1})
    with pytest.raises(StoreConflict):
        client.delete_instance(RECORD)
    assert len(client.list_all(Topic.instances).entries) == 1


def test_write_without_an_answer_has_an_unknown_outcome(standin, client):
    standin.faults.delay_s = 3
    with pytest.raises(StoreOutcomeUnknown):
        client.put_instance(RECORD)


ODD_SPECS = {
    'nested deep': b'{"zone":' + b'[' * 5000 + b']' * 5000 + b'}',
    'nested deep, with brackets in text': b'{"a":"]}\\"]","zone":'
    + b'{"a":' * 5000
    + b'"]"'
    + b'}' * 5000
    + b'}',
    'number too large': b'{"slots":1e999}',
    'very long number': b'{"slots":' + b'9' * 400 + b'}',
    'no text': b'{"zone":"\xff\xfe"}',
    'half a surrogate pair': b'{"service":"s1","addr":"10.0.0.1:1","zone":"fife-a",'
    rb'"slots":3,"state":"ready","version":"v1 \ud83d"}',
    'the other half': rb'{"zone":"\udc00 fife"}',
    'half a pair in a key': rb'{"zone":"fife-a","\ud83d":{"a":"\ud83d\ud83d"}}',
    'no number': b'{"slots":NaN}',
    'control characters': b'{"zone":"a\x01b"}',
    'no such escape': rb'{"zone":"\x41"}',
    'nested and half a pair': b'{"a":' * 5000 + rb'"\ud83d"' + b'}' * 5000,
    'port out of range': b'{"service":"s1","addr":"10.0.0.1:99999","zone":"fife-a",'
    b'"slots":3,"state":"ready"}',
    'many slots': b'{"service":"s1","addr":"10.0.0.1:1","zone":"fife-a",'
    b'"slots":' + b'9' * 400 + b',"state":"ready"}',
    'start beyond all clocks': b'{"service":"s1","addr":"10.0.0.1:1","zone":"fife-a",'
    b'"slots":3,"state":"ready","born":99999999999999999999}',
    'long cold': b'{"service":"s1","addr":"10.0.0.1:1","zone":"fife-a",'
    b'"slots":3,"state":"ready","cold_left_s":' + b'9' * 400 + b'}',
}


@pytest.mark.parametrize('topic', [Topic.targets, Topic.configuration, Topic.instances])
@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
def test_odd_entry_stops_nobody_from_reading_the_others(standin, client, topic, spec):
    """Guards against instances that end, or follow nothing, because of one entry."""
    kind = OBJECT_KINDS[topic]
    position = client.list_all(topic).position
    standin.put(kind, 'i-1', make_server(1))
    standin.put(kind, 'odd', msgspec.Raw(spec))
    standin.put(kind, 'z-1', make_server(2))
    for update in (client.list_all(topic), client.watch(topic, position, 0)):
        names = [entry.name for entry in update.entries]
        assert names == ['i-1', 'odd', 'z-1']
        assert isinstance(update.entries[1].value, InvalidEntry)


def test_object_without_a_name_is_left_out(standin, client):
    standin.put('servers', 'i-1', make_server(1))
    standin.put('servers', 'odd', make_server(2))
    standin._stored['servers', 'odd']['meta']['name'] = ['odd']
    names = [entry.name for entry in client.list_all(Topic.targets).entries]
    assert names == ['i-1']
