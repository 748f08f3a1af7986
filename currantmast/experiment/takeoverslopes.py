"""Time and calls to read a partition's log from the object API at takeover."""

import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from currantmast.clocks import LoopClock
from currantmast.decisions.claimkeys import ClaimKey
from currantmast.decisions.claims import ClaimLog
from currantmast.experiment import formats
from currantmast.experiment.controls import Controls
from currantmast.experiment.plans import STORE_HOST, PortReserver
from currantmast.experiment.processes import Process
from currantmast.messages import Address
from currantmast.runtime.claimstore import SegmentStore
from currantmast.runtime.store import ObjectClient
from currantmast.settings import InstanceSettings

Row = list[float]

LIFETIME_S = 900.0
READY_TIMEOUT_S = 20
WRITE_CALLS_PER_S = 1000
TAKEOVER_COSTS = ('calls', 'read s', 'read ms a batch')
MS_PER_S = 1000


def get_calls_per_s() -> float:
    """Return the call budget for claims unless the settings say otherwise."""
    return next(
        field.default
        for field in msgspec.structs.fields(InstanceSettings)
        if field.name == 'claim_calls_per_s'
    )


def measure_takeover(sizes: Sequence[int]) -> Iterator[Row]:
    """Yield the cost of reading a log of each number of batches, one claim each.

    The reader has the call budget of an instance; a call of the stand-in takes 2 ms.
    """
    with PortReserver() as ports:
        address = ports.reserve(STORE_HOST)
    with tempfile.TemporaryDirectory() as directory:
        place = Path(directory)
        settings = formats.make_store_settings(address)
        path = formats.write_document(place / 'store.yaml', settings)
        with Process('store', ('standin', 'objects', str(path)), place) as store:
            store.wait_ready(READY_TIMEOUT_S)
            for partition, size in enumerate(sizes):
                _write_log(address, partition, size)
                yield [size, *_read_log(address, partition, size)]


def _write_log(address: Address, partition: int, size: int) -> None:
    clock = LoopClock()
    log = ClaimLog(partition, clock, LIFETIME_S, 'writer')
    log.load((), clock.now())
    with ObjectClient(address, clock, WRITE_CALLS_PER_S, caller='writer') as client:
        segments = SegmentStore(client, partition, clock)
        for number in range(size):
            issued_at = int(clock.wall())
            key = ClaimKey('team', 'orders', f'{issued_at}.{number}', issued_at)
            log.claim(key, str(number))
            update = log.make_update()
            segments.write(update)
            log.commit(update)


def _read_log(address: Address, partition: int, size: int) -> Row:
    clock = LoopClock()
    controls = Controls()
    before = _count_calls(controls, address)
    with ObjectClient(address, clock, get_calls_per_s(), caller='reader') as client:
        log = ClaimLog(partition, clock, LIFETIME_S)
        started_s = time.monotonic()
        SegmentStore(client, partition, clock).read_into(log)
        took_s = time.monotonic() - started_s
    calls = _count_calls(controls, address) - before
    controls.close()
    return [calls, took_s, took_s / size * MS_PER_S]


def _count_calls(controls: Controls, address: Address) -> int:
    return sum(controls.read(address, '/calls', dict).values())
