"""Measures the claim log against the object API stand-in, in one process.

``python tests/measure_claims.py handover ORDERS CALLS_PER_S`` fills one partition, with
one batch for each order, and measures the first claim at a new owner.
``python tests/measure_claims.py load SECONDS CALLS_PER_S`` claims 100 orders a second
in 16 partitions at eight owners. The seed is 20; each store call takes 3 ms.
"""

import random
import sys
import time
from contextlib import ExitStack

import gevent

from currantmast.clocks import LoopClock
from currantmast.decisions.claimkeys import PARTITIONS, ClaimKey
from currantmast.decisions.claimrecords import Fresh, RecordedAnswer
from currantmast.messages import Address
from currantmast.runtime.claims import ClaimService, ClaimSettings, PartitionTask
from currantmast.runtime.logs import configure_logs
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor
from currantmast.standins.objects import ObjectFaults, ObjectService, ObjectsSettings
from currantmast.standins.serving import serve

SEED = 20
STORE_CALL_S = 0.003
RATE = 100
OWNERS = 8
TIMEOUT_S = 600
RUN_S = 0.05
LIFETIME_S = 900
BATCH_S = 0.1
UNLIMITED = 1e6
ANSWER = RecordedAnswer.make_done(201, 'application/json', bytes(100))


class MeteredClient(ObjectClient):
    """Client that counts the bytes that it writes."""

    written = 0

    def put(self, name, body, if_version):
        self.written += len(body)
        return super().put(name, body, if_version)


def make_key(number):
    issued = int(LoopClock().wall())
    return ClaimKey('team', 'orders', f'{issued}.order-{number:08}', issued)


def make_attempt(number):
    return f'instance-1-{number:08}.0123456789ab'


def measure_handover(stack, orders, calls_per_s):
    clock = LoopClock()
    objects = ObjectService(ObjectsSettings(), clock)
    address = stack.enter_context(serve(Address('127.0.0.1', 0), objects.answer))
    supervisor = stack.enter_context(Supervisor('measure', clock))
    store = stack.enter_context(ObjectClient(address, clock, UNLIMITED))
    old = PartitionTask(0, store, clock, ClaimSettings('old/0123456789abcdef', 900, 0))
    supervisor.add('old', old.run)
    for number in range(orders):
        key = make_key(number)
        assert old.claim(key, make_attempt(number), TIMEOUT_S) == Fresh()
        old.record(key, make_attempt(number), ANSWER)
    old.retire()
    gevent.sleep(1)
    objects.faults = ObjectFaults(delay_s=STORE_CALL_S)
    store = stack.enter_context(ObjectClient(address, clock, calls_per_s))
    settings = ClaimSettings('new/0123456789abcdef', LIFETIME_S, BATCH_S)
    new = PartitionTask(0, store, clock, settings)
    began = time.monotonic()
    supervisor.add('new', new.run)
    result = new.claim(make_key(orders), 'first', TIMEOUT_S)
    seconds = time.monotonic() - began
    counts = dict(store.budget.counts)
    sys.stdout.write(
        f'orders={orders} calls_per_s={calls_per_s:.0f} result={type(result).__name__} '
        f'seconds={seconds:.2f} calls={sum(counts.values())} {counts}\n'
    )


def measure_load(stack, seconds, calls_per_s):
    clock = LoopClock()
    objects = ObjectService(ObjectsSettings(), clock)
    objects.faults = ObjectFaults(delay_s=STORE_CALL_S)
    address = stack.enter_context(serve(Address('127.0.0.1', 0), objects.answer))
    supervisor = stack.enter_context(Supervisor('measure', clock))
    services, stores = [], []
    for owner in range(OWNERS):
        store = stack.enter_context(MeteredClient(address, clock, calls_per_s))
        settings = ClaimSettings(f'i{owner}/0123456789abcdef', LIFETIME_S, BATCH_S)
        service = ClaimService(store, clock, settings, supervisor)
        service.set_owned_partitions(frozenset(range(owner, PARTITIONS, OWNERS)))
        services.append(service)
        stores.append(store)
    gevent.sleep(1)
    latencies, refused = [], []

    def order(number):
        key, attempt = make_key(number), make_attempt(number)
        service = services[key.partition % OWNERS]
        began = time.monotonic()
        result = service.claim(key, attempt, 2)
        latencies.append(time.monotonic() - began)
        if result != Fresh():
            refused.append(result)
            return
        gevent.sleep(RUN_S)
        service.record(key, attempt, ANSWER)

    draw = random.Random(SEED)
    end = time.monotonic() + seconds
    orders = 0
    while time.monotonic() < end:
        gevent.sleep(draw.expovariate(RATE))
        gevent.spawn(order, orders)
        orders += 1
    gevent.sleep(1)
    latencies.sort()
    median, p99 = (latencies[int(len(latencies) * part)] for part in (0.5, 0.99))
    written = sum(store.written for store in stores)
    puts = sum(store.budget.counts['put'] for store in stores)
    sys.stdout.write(
        f'orders={orders} seconds={seconds} calls_per_s={calls_per_s:.0f} '
        f'refused={len(refused)} p50_ms={median * 1000:.1f} p99_ms={p99 * 1000:.1f} '
        f'bytes_per_order={written / orders:.0f} puts={puts}\n'
    )


def main():
    """Run one measurement."""
    configure_logs('measure', level='ERROR')
    kind, amount, calls_per_s = sys.argv[1:]
    measures = {'handover': measure_handover, 'load': measure_load}
    with ExitStack() as stack:
        measures[kind](stack, int(amount), float(calls_per_s))


if __name__ == '__main__':
    main()
