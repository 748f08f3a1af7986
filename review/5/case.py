"""Two machines freeze, through which others in their zone learn of the servers; one server leaves."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))
from standins import Deployment, Failed, call, make_config, make_headers, run_case  # noqa: E402

# Bounds of the site glenbrae-mast-grown.
BOUNDS = {'touch_s': 4, 'ack_s': 5, 'catch_up_s': 6, 'drain_s': 3, 'config_apply_s': 3, 'outer_s': 6,
          'budget_extra': 166, 'cold_extra': 8}
DRAIN_S = BOUNDS['drain_s']
ZONE = 'fife-kirkcaldy'
# That site has seven machines in each zone; three zones are played here.
SIZE = 21
ROUTES = (('/look/', 'idempotent', 'lookups', 1.5, 2), ('/order/', 'non_idempotent', 'orders', 1.5, 2))
TIME_LIMIT_MS = 4000
RATE = 120
FREEZE_AT_S, FREEZE_S, EXIT_AFTER_S, END_AT_S = 3.0, 4.0, 3.5, 10.0
JOIN_BEFORE_S = 0.8


async def check(record, trouble):
    async with Deployment(record, size=SIZE, bounds=BOUNDS) as fleet:
        await fleet.add_servers('lookups', 1)
        await fleet.add_servers('orders', 1, work_s=0.15)
        fleet.store.put('config', 'main', make_config(1, ROUTES))
        await fleet.start_instances()
        await asyncio.sleep(2)
        near = [instance for instance in fleet.instances if instance.zone == ZONE]
        frozen, running = near[:2], near[2:]
        leaving = next(server for server in fleet.servers if server.service == 'orders')
        sent_at, sent_to, late, orders = {}, {}, Counter(), Counter()
        drained_at = float('inf')

        def note_arrival(server, headers, path):
            known = headers.get('x-currantmast-request-id')
            record.note('arrives', id=known, at=server.id, through=sent_to[known])
            if server is leaving and sent_at[known] > drained_at + DRAIN_S:
                late[sent_to[known]] += 1

        def note_run(server, headers, path):
            record.note('runs', id=headers.get('x-currantmast-request-id'), at=server.id)

        fleet.observe(note_arrival, note_run)

        async def send(number, instance):
            known = f'q{number}'
            order = number // len(running) % 2
            sent_at[known], sent_to[known] = record.now(), instance.node
            method, path = ('POST', f'/order/{number}') if order else ('GET', f'/look/{number}')
            record.note('sent', id=known, path=path, to=instance.node)
            try:
                status, _, _ = await call(instance.front, method, path, make_headers(known, TIME_LIMIT_MS),
                                          b'order' if order else b'', TIME_LIMIT_MS / 1000)
            except Failed as error:
                status = str(error)
            record.note('answered', id=known, status=status)
            if order:
                orders[status] += 1

        async def operate():
            nonlocal drained_at
            await asyncio.sleep(FREEZE_AT_S - JOIN_BEFORE_S)
            # All machines hear of a server that joins, and begin their next watches together.
            await fleet.add_server('lookups', ZONE)
            await asyncio.sleep(JOIN_BEFORE_S)
            if trouble:
                for instance in frozen:
                    instance.signal(signal.SIGSTOP)
                    record.note('freeze', node=instance.node)
            await asyncio.sleep(0.1)
            leaving.report('draining')
            drained_at = record.now()
            await asyncio.sleep(EXIT_AFTER_S)
            fleet.store.remove('servers', leaving.id)
            leaving.end()
            await asyncio.sleep(FREEZE_S - EXIT_AFTER_S - 0.1)
            if trouble:
                for instance in frozen:
                    instance.signal(signal.SIGCONT)
                    record.note('wake', node=instance.node)

        task = asyncio.create_task(operate())
        start, number, tasks = record.now(), 0, []
        while record.now() - start < END_AT_S:
            # The zone's clients use its machines that run.
            tasks.append(asyncio.create_task(send(number, running[number % len(running)])))
            number += 1
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(task, *tasks)
        record.note('result', late=dict(late), orders=dict(orders))
        print(f'requests at the leaving server that were sent later than drain_s, by machine: {dict(late)}; '
              f'orders by answer: {dict(orders)}')
        if late:
            return [f'DRAIN: {late.total()} requests reached {leaving.id} later than {DRAIN_S} s']
        return []


run_case(check, Path(__file__).parent)
