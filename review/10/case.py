"""A new desired state allows larger bodies; callers with open connections send them."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'bench2'))

from fleet import (  # noqa: E402
    TROUBLE, Connection, CouldNotRun, Fleet, Server, call, main, make_headers,
    make_limits, make_route, make_service, make_tenant,
)

CALLERS = 30
SMALL = 100_000
LARGE = 600_000
APPLY_S = 2.5


async def case(folder):
    async with Fleet(folder, 3) as fleet:
        for number in range(4):
            server = await Server(fleet.record, f'i-{number}', service='films').open()
            await fleet.store.put('servers', server.name, server.describe())
        rest = (
            make_route('/film/', 'upload', 'films', timeout_s=4, attempts=1),
            make_service('films'), make_tenant(),
        )
        small = make_limits(max_body_bytes=300_000)
        large = make_limits(max_body_bytes=2_000_000)
        await fleet.publish(*rest, small if TROUBLE else large)
        await fleet.start()
        connections = [
            await Connection(fleet.instances[k % 3].front).open() for k in range(CALLERS)
        ]

        async def upload(connection, size, note):
            request_id, headers = make_headers()
            status, _, _ = await connection.ask(
                'POST', '/film/1', headers, b'f' * size, 5
            )
            ran = [i for i in servers_ran(fleet, request_id)]
            fleet.record.line('client', request_id, note, size, 'bytes:', status, ran)
            return status

        before = [await upload(c, SMALL, 'kept connection') for c in connections]
        await fleet.publish(*rest, large)
        confirmed = fleet.record.now()
        await asyncio.sleep(APPLY_S + 1)
        kept = [await upload(c, LARGE, 'kept connection') for c in connections]
        fresh = []
        for k in range(CALLERS):
            connection = await Connection(fleet.instances[k % 3].front).open()
            fresh.append(await upload(connection, LARGE, 'new connection'))
            connection.close()
        for connection in connections:
            connection.close()
        # Denied: a 4xx of the system's own other than 408, 421 and 429. No stand-in of a
        # server answers with one.
        denied = sum(400 <= s < 500 and s not in (408, 421, 429) for s in kept + fresh)
        asked = len(before) + len(kept) + len(fresh)
        words = (
            f'confirmed at {confirmed:.1f}; before {tally(before)}; on kept connections '
            f'{tally(kept)}; on new ones {tally(fresh)}; denied {denied} of {asked}, '
            f'allowed {5 + asked / 500:.1f}'
        )
        fleet.record.line(words)
        print(words)
        if before.count(200) < CALLERS or fresh.count(200) < CALLERS:
            raise CouldNotRun('ordinary uploads were not served')
        return denied > 5 + asked / 500


def servers_ran(fleet, request_id):
    return [s.name for s in Server.all_servers if request_id in s.ran]


def tally(statuses):
    return {status: statuses.count(status) for status in sorted(set(statuses))}


main(case)
