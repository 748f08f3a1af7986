"""A server entry of another writer, in which a word looks like a credential to the logs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'bench2'))

from fleet import (  # noqa: E402
    TROUBLE, CouldNotRun, Fleet, Server, call, main, make_headers, make_limits,
    make_route, make_service, make_tenant,
)

# A service that the desired state does not name.
SERVICE = 'standard bearer desk' if TROUBLE else 'standard carrier desk'
BEATS = 30


async def case(folder):
    async with Fleet(folder, 3) as fleet:
        server = await Server(fleet.record, 'i-1').open()
        await fleet.store.put('servers', 'i-1', server.describe())
        await fleet.publish(make_route(), make_service(), make_tenant(), make_limits())
        await fleet.start()
        statuses = {}
        for beat in range(BEATS):
            entry = server.describe(service=SERVICE, cold_left_s=BEATS * 1.5 - beat * 1.5)
            await fleet.store.put('servers', 'i-other', entry)
            fleet.record.line('other writer: servers/i-other', entry)
            for _ in range(3):
                for instance in fleet.instances:
                    request_id, headers = make_headers()
                    status = (await call(instance.front, headers=headers))[0]
                    fleet.record.line('client', request_id, 'to', instance.name, status)
                    statuses[status] = statuses.get(status, 0) + 1
                await asyncio.sleep(0.45)
        ends = {i.name: [round(at, 1) for at, _ in i.ends] for i in fleet.instances}
        fleet.record.line('answers by status', statuses, 'processes ended at', ends)
        print('answers by status', statuses, '- processes ended by themselves at', ends)
        for instance in fleet.instances:
            for line in instance.read_log().splitlines():
                if 'event=task_failed' in line or 'event=instance_failed' in line:
                    fleet.record.line('log', line[line.index('event='):][:200])
        if not statuses.get(200):
            raise CouldNotRun('no request was served')
        return sum(len(times) >= 3 for times in ends.values()) >= 2


main(case)
