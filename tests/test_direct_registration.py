"""Registration of an instance in the store."""

import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.model import DirectSettings, Location
from currantmast.direct.process import DirectInstance
from currantmast.errors import StoreUnavailable
from currantmast.messages import Address
from currantmast.platform import wire

ADDRESS = Address('127.0.0.1', 0)


class RecordingStore:
    def __init__(self):
        self.records = []
        self.lost = False

    def put_instance(self, record):
        if self.lost:
            raise StoreUnavailable('down')
        self.records.append(record)


class Adapter:
    wire = wire

    def __init__(self):
        self.store = RecordingStore()

    def open_store(self, settings):
        return self.store


@pytest.fixture
def instance():
    place = Location('fife', 'fife-a')
    settings = DirectSettings('i1', place, *[ADDRESS] * 6, regions={'fife-a': 'fife'})
    return DirectInstance(Adapter(), settings, ManualClock(1000))


def test_instance_registers_again_after_a_restore(instance):
    """Guards against a member that the others never list, as its record was lost."""
    store = instance._store
    instance._register()
    instance.state.store_health.note_era(1)
    instance._register()
    assert len(store.records) == 1
    instance.state.store_health.note_era(2)
    store.lost = True
    instance._register()
    store.lost = False
    instance._register()
    instance._register()
    assert len(store.records) == 2
