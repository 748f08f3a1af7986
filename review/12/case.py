"""A request that crashes the servers that run it comes again and is never refused."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand3'))

from standins import (  # noqa: E402
    HOST,
    Server,
    call,
    has_trouble,
    main,
    make_limits,
    make_route,
    make_service,
    make_tenant,
)

SERVERS = 6
BACK_AFTER_S = 3.0
LASTS_S = 60.0
USUAL_INTERVAL_S = 0.05
WORK_S = 0.4
CRASHING_INTERVAL_S = 4.0

# Bounds of the rule.
TOUCH_S = 3.0
CRASHES = 3
MOST_RETRIES = 3


class Crashes:
    """What the crashing request did."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ended = []

    async def run(self, server, request_id, line, headers, body):
        """Crash the server that begins to run the request."""
        if not has_trouble() or '/crashing' not in line:
            return
        self.ended.append((time.monotonic(), server.name, request_id))
        self.fleet.record(f'server {server.name}/{server.life} crashes with {request_id}')
        asyncio.get_running_loop().create_task(self._start_again(server))
        server.crash()

    async def _start_again(self, server):
        """Start a new lifetime under the id and at the address that the server had."""
        server.life += 1
        await asyncio.sleep(BACK_AFTER_S)
        server.life -= 1
        await server.start()
        self.fleet.record(f'server {server.name}/{server.life} is back')


async def case(fleet):
    crashes = Crashes(fleet)
    for number in range(SERVERS):
        zone = ('skye-a', 'skye-b')[number % 2]
        server = Server(
            fleet, f'orders-{number}', 'orders', zone, work_s=WORK_S, run=crashes.run
        )
        fleet.servers.append(server)
        await server.start()
    fleet.publish(
        1,
        [
            make_route('r-orders', '/order/', 'non_idempotent', 'orders'),
            make_service('orders'),
            make_tenant('shops', 'key-of-shops'),
            make_limits(),
        ],
    )
    for number, zone in enumerate(('skye-a', 'skye-b', 'fife-a')):
        fleet.write_boot(f'edge-{number}', zone)
    for name in fleet.fronts:
        fleet.start_instance(name)
    await fleet.wait_ready()
    statuses = Counter()

    async def send(kind, request_id, path, object_key):
        headers = {
            'Host': HOST,
            'X-Currantmast-Request-Id': request_id,
            'X-Currantmast-Deadline-Ms': '4000',
            'Api-Key': 'key-of-shops',
            'Cookie': f'X-Currantmast-Affinity-Key={object_key}',
        }
        name = random.choice(sorted(fleet.fronts))
        fleet.record(f'client sends {request_id} to {name}')
        answer = await call(fleet.fronts[name], 'POST', path, headers, 5, b'order')
        fleet.record(f'client gets {answer.status} for {request_id}')
        statuses[kind, answer.status] += 1

    sent_at = {}
    jobs = []
    started = time.monotonic()
    next_crashing = started + 2
    while time.monotonic() < started + LASTS_S:
        number = len(jobs)
        if time.monotonic() >= next_crashing:
            next_crashing += CRASHING_INTERVAL_S
            request_id = f'crashing-{number}'
            sent_at[request_id] = time.monotonic()
            jobs.append(send('crashing', request_id, '/order/crashing', 7))
        else:
            jobs.append(send('usual', f'usual-{number}', f'/order/{number}', number % 20))
        jobs[-1] = asyncio.create_task(jobs[-1])
        await asyncio.sleep(USUAL_INTERVAL_S)
    await asyncio.gather(*jobs)
    print(f'crashed servers: {[name for _, name, _ in crashes.ended]}')
    print(f'statuses: {dict(statuses)}')
    fleet.record(f'statuses: {dict(statuses)}')
    if len(crashes.ended) < CRASHES:
        return []
    bound_from = crashes.ended[CRASHES - 1][0] + TOUCH_S
    # Arrivals count whether the server crashed or not.
    arrived = {request_id for _, _, _, request_id in fleet.runs if request_id in sent_at}
    late = [known for known in sorted(arrived, key=sent_at.get) if sent_at[known] > bound_from]
    if len(late) <= MOST_RETRIES:
        return []
    return [
        f'{len(late)} retries sent later than {TOUCH_S} s after the third crash reached '
        f'servers: {late}'
    ]


if __name__ == '__main__':
    main(case, FOLDER)
