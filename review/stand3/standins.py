"""Small stand-ins for the scripts of the third review: store, servers, clients, instances.

They use the standard library only, and follow PROTOCOL.md. Every address is a loopback one.
"""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = '127.0.0.1'

# Descriptors that an instance and a script need at most.
DESCRIPTORS = 4_100

# Exit code if the rule was broken; an error of Python itself ends with 1.
BROKEN = 10
HOST = 'shop.example'
ZONES = {
    'fife-a': 'fife',
    'fife-b': 'fife',
    'skye-a': 'skye',
    'skye-b': 'skye',
}


class Record:
    """File of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w', buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f'{time.monotonic() - self.start:8.3f} {text}\n')


# HTTP.


async def read_head(reader):
    """Return the first line and the headers (lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', '0')))


def make_answer(status, headers=(), body=b'', phrase='Answer'):
    """Return an answer as bytes."""
    lines = [f'HTTP/1.1 {status} {phrase}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def find_ports(count):
    """Return the first of `count` free ports in a row, below those of outgoing calls."""
    for _ in range(200):
        first = random.randrange(16_000, 32_000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sockets.append(sock)
                    sock.bind((LOOPBACK, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return first
    raise OSError('no free ports')


# The platform's store.


class Store:
    """Objects by kind and name, one revision counter, lists and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.address = ''
        # How often it came back from a copy, and the oldest revision with a history.
        self.era = 1
        self.known_from = 0
        # While it is away, it answers 503 and does nothing.
        self.is_away = False

    async def open(self):
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def put(self, kind, name, spec, finalizers=()):
        """Create or replace an object; one that changes nothing makes no event."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        created = known['meta']['created'] if known else self.revision + 1
        meta = {'name': name, 'created': created, 'finalizers': list(finalizers)}
        stored = {'meta': {**meta, 'deleting': False}, 'spec': spec, 'status': None}
        self.objects[kind, name] = stored
        self._record(kind, stored, False)
        return stored

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self._record(kind, known, True)

    def take_copy(self):
        return self.revision, json.dumps(list(self.objects.items()))

    def restore(self, copy):
        """Come back from a copy: revisions are given out again, in a new era."""
        self.revision, objects = copy[0], json.loads(copy[1])
        self.objects = {tuple(place): stored for place, stored in objects}
        self.history.clear()
        self.known_from = self.revision
        self.era += 1

    def _record(self, kind, stored, deleted):
        self.revision += 1
        stored['meta']['rev'] = self.revision
        copy = json.loads(json.dumps(stored))
        self.history.append((self.revision, kind, {'object': copy, 'deleted': deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, url, _ = line.split(' ')
                status, content = 503, None
                if not self.is_away:
                    status, content = await self._answer(method, url, body)
                kind = (('Content-Type', 'application/json'), ('Store-Era', self.era))
                data = b'' if content is None else json.dumps(content).encode()
                writer.write(make_answer(status, kind, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, url, body):
        parts = urlsplit(url)
        query = {name: found[-1] for name, found in parse_qs(parts.query).items()}
        names = [unquote(part) for part in parts.path.strip('/').split('/')]
        kind, name = names[1], names[2] if len(names) > 2 else None
        if name is None and method == 'GET':
            return await self._read(kind, query)
        document = json.loads(body) if body else {}
        if method == 'POST':
            name = document['meta']['name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, document['spec'])
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        revision = query.get('rev') or document.get('meta', {}).get('rev')
        if revision is not None and int(revision) != known['meta']['rev']:
            return 409, known
        if method == 'PUT':
            return 200, self.put(kind, name, document['spec'])
        if method == 'DELETE':
            self.remove(kind, name)
        return 200, known

    async def _read(self, kind, query):
        if 'watch' not in query:
            names = sorted(name for known, name in self.objects if known == kind)
            later = [name for name in names if name > query.get('after', '')]
            items = [self.objects[kind, name] for name in later[:500]]
            more = len(later) > 500
            page = {'items': items, 'has_more': more, 'current_rev': self.revision}
            return 200, page
        since = int(query['watch'])
        until = time.monotonic() + min(30, int(query.get('wait_ms', '0')) / 1000)
        while True:
            if self.is_away:
                return 503, None
            if not self.known_from <= since <= self.revision:
                return 410, None
            changed = self.changed
            events = [
                event
                for revision, known, event in self.history
                if known == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


# Servers.


class Server:
    """One server of a service; `run` decides what a request that it runs does."""

    def __init__(self, fleet, name, service, zone, slots=3, work_s=0.05, run=None):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.run = run
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.born = 0
        self.state = 'ready'
        self.port = 0
        self.life = 0
        self._server = None
        self._writers = set()
        self.extra_headers = ()

    async def start(self, listed=True):
        """Start a new lifetime at the same address, and register it."""
        self.life += 1
        self.running = self.waiting = 0
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        if listed:
            self.register()

    def register(self):
        self.sequence += 1
        spec = {
            'service': self.service,
            'addr': f'{LOOPBACK}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_s': 0,
            'seq': self.sequence,
            'born': self.born,
        }
        self.fleet.store.put('servers', self.name, spec)

    def crash(self):
        """End this lifetime: the port is closed, and all connections are reset."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        life = self.life
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                answer = await self._answer(life, line, headers, body)
                if answer is None or life != self.life:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def describe(self, request_id):
        load = f'{self.running},{self.waiting},{self.slots}'
        headers = [('X-Currantmast-Server-Load', load)]
        if request_id:
            headers.append(('X-Currantmast-Request-Id', request_id))
        return [*headers, *self.extra_headers]

    async def _answer(self, life, line, headers, body):
        method, url, _ = line.split(' ')
        if url == '/healthz':
            own = ('X-Currantmast-Instance-Id', self.name)
            status = 200 if self.state == 'ready' else 503
            return make_answer(status, (own, *self.describe('')))
        request_id = headers.get('x-currantmast-request-id', '')
        expected = headers.get('x-currantmast-expect-instance')
        not_run = ('X-Currantmast-Not-Executed', '1')
        if expected not in (None, self.name):
            own = ('X-Currantmast-Instance-Id', self.name)
            return make_answer(421, (own, not_run, *self.describe(request_id)))
        self.fleet.record(f'server {self.name}/{life} gets {request_id} {method} {url}')
        if self.waiting >= 3 * self.slots:
            return make_answer(503, (not_run, *self.describe(request_id)))
        self.waiting += 1
        while self.running >= self.slots and life == self.life:
            await asyncio.sleep(0.002)
        self.waiting -= 1
        if life != self.life:
            return None
        self.fleet.note_run(self, life, request_id, headers)
        self.running += 1
        try:
            if self.run is not None:
                answer = await self.run(self, request_id, line, headers, body)
                if answer is not None:
                    return answer
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if life != self.life:
            return None
        stamp = ('X-Currantmast-Server-Stamp', f'{self.name}.{request_id}')
        text = f'answer to {request_id}'.encode()
        return make_answer(200, (stamp, *self.describe(request_id)), text)


# The whole.


class Fleet:
    """Store, servers and instances of one script."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record(self.folder / 'record.txt')
        self.store = Store()
        self.servers = []
        self.runs = []
        self.instances = {}
        self.fronts = {}
        self.directories = {}
        self.readiness = {}
        self._place = tempfile.TemporaryDirectory()
        self._boots = {}
        self.sent = 0

    def note_run(self, server, life, request_id, headers):
        self.runs.append((time.monotonic(), server.name, life, request_id))
        self.record(f'server {server.name}/{life} runs {request_id}')

    def publish(self, version, resources):
        spec = {'version': f'{version:08x}', 'resources': resources}
        self.store.put('config', 'main', spec)

    def write_boot(self, name, zone, **limits):
        first = find_ports(12)
        front, ready, control, directory = range(first + 8, first + 12)
        self.fronts[name] = (LOOPBACK, front)
        self.readiness[name] = (LOOPBACK, ready)
        self.directories[name] = (LOOPBACK, directory)
        shape = {'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100}
        shape |= {'link_mbps': 1000.0, 'disk_mb': 0, **limits}
        lines = ['[self]', f'node = "{name}"', 'role = "instance"', 'class = "edge"']
        lines += ['serves = ["edge","directory"]', f'ip = "{LOOPBACK}"']
        lines += [f'zone = "{zone}"', f'region = "{ZONES[zone]}"']
        lines += ['loss_counts = false', 'bootstrap = false', '[self.limits]']
        lines += [f'{known} = {value}' for known, value in shape.items()]
        lines += ['[network]', f'port_range = [{first},{first + 7}]', 'seeds = []']
        lines += ['[network.listen]', f'front = "{LOOPBACK}:{front}"']
        lines += [f'readiness = "{LOOPBACK}:{ready}"']
        lines += [f'control = "{LOOPBACK}:{control}"']
        lines += [f'directory = "{LOOPBACK}:{directory}"', '[network.zones]']
        lines += [f'{known} = "{region}"' for known, region in ZONES.items()]
        lines += ['[provider]', 'discovery = "platform"', 'entry = "directory"']
        lines += ['beat_s = 1.5', '[provider.provider]']
        lines += [f'addr = "{self.store.address}"', 'form = "objects"']
        lines += ['writes_per_s = 400', 'reads_per_s = 2000', 'history_s = 20']
        lines += ['value_bytes = 1048576', 'min_ttl_s = 1', '[terms]']
        lines += ['contracts = ["base","drain","config","cost","retry","recover"]']
        lines += ['[terms.tolerate]', 'machines = 2', 'zones = 1', 'regions = 1']
        lines += ['[terms.bounds]', 'seed_lag_s = 3', 'reuse_after_s = 2']
        lines += ['touch_s = 3', 'ack_s = 4', 'catch_up_s = 4', 'drain_s = 2.5']
        lines += ['grace_s = 6', 'lost_slack_s = 0.2', 'config_apply_s = 2.5']
        lines += ['back_slack_s = 0.25', 'outer_s = 5', 'strict_revoke = true']
        lines += ['revoke_s = 5', 'budget_ratio = 0.2', 'budget_window_s = 10']
        lines += ['budget_extra = 60', 'quota_window_s = 5', 'quota_tolerance = 0.1']
        lines += ['quota_slack = 20', 'cold_factor = 1.5', 'cold_extra = 5']
        lines += ['evac_s = 5', 'recover_s = 15', 'ttl_max_s = 5', 'max_shift = 0.15']
        path = Path(self._place.name) / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        self._boots[name] = path

    def start_instance(self, name):
        """Start the program with the command of the deploy file."""
        environment = {
            known: os.environ[known]
            for known in ('PATH', 'HOME', 'LANG')
            if known in os.environ
        }
        environment['CURRANTMAST_BOOT'] = str(self._boots[name])
        environment['PYTHONPATH'] = f'{ROOT / "target/deps"}:{ROOT}'
        log = open(Path(self._place.name) / f'{name}.log', 'ab')
        self.instances[name] = subprocess.Popen(
            ('python3', '-m', 'currantmast.platform'),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def check_running(self):
        """Raise an error if an instance has ended that nobody ended."""
        for name, process in self.instances.items():
            if process.poll() is not None:
                raise CouldNotRun(f'{name} has ended with {process.poll()}')

    def read_log(self, name):
        return (Path(self._place.name) / f'{name}.log').read_text()

    async def wait_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        for name in self.instances:
            while True:
                self.check_running()
                try:
                    answer = await call(self.readiness[name], 'GET', '/readyz', {}, 1)
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise CouldNotRun(f'{name} is not ready')
                await asyncio.sleep(0.1)

    def close(self):
        for process in self.instances.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


class CouldNotRun(Exception):
    """The case could not be run."""


class Reply:
    """Answer to a client; status 0 stands for none."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_reply(reader):
    head = await read_head(reader)
    if head is None:
        return Reply(0, {}, b'')
    line, headers = head
    body = await read_body(reader, headers)
    return Reply(int(line.split(' ')[1]), headers, body)


def encode_request(method, url, headers, body=b''):
    lines = [f'{method} {url} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def call(address, method, url, headers, timeout_s, body=b''):
    """Make one request on a new connection."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode_request(method, url, {'Host': 'x', **headers}, body))
            return await read_reply(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return Reply(0, {}, b'')
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except TimeoutError:
        return Reply(0, {}, b'')


def make_route(name, prefix, kind, service, **more):
    spec = {
        'host': HOST,
        'path_prefix': prefix,
        'type': kind,
        'timeout_s': 1.5,
        'target_latency_s': 0.6,
        'prio': 1,
        'service': service,
        'attempts': 2,
        'public': False,
        'affinity': True,
        'home_regions': [],
        **more,
    }
    return {'res_kind': 'routes', 'meta': {'name': name}, 'spec': spec}


def make_service(name):
    spec = {'health_path': '/healthz', 'max_conns': 360, 'proto': 'h1', 'tls': False}
    spec |= {'cold_s': 3.0, 'cold_per_s': 3.7}
    return {'res_kind': 'services', 'meta': {'name': name}, 'spec': spec}


def make_tenant(name, *keys, rate=80, burst=80):
    spec = {'api_keys': list(keys), 'prio': 0, 'rate_per_s': rate, 'burst': burst}
    return {
        'res_kind': 'tenants',
        'meta': {'name': name},
        'spec': {**spec, 'home_regions': []},
    }


def make_limits():
    spec = {'max_header_bytes': 16384, 'max_body_bytes': 67108864}
    spec |= {'header_timeout_s': 3, 'idle_s': 15}
    return {'res_kind': 'limits', 'meta': {}, 'spec': spec}


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def main(case, folder):
    """Run `case(fleet)`; it returns the lines that tell how the rule was broken."""

    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft != resource.RLIM_INFINITY and soft < DESCRIPTORS:
        print(f'could not run: {DESCRIPTORS} descriptors are needed, {soft} are allowed')
        sys.exit(2)

    def end(number, frame):
        raise CouldNotRun('ended by a signal')

    signal.signal(signal.SIGTERM, end)

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.store.open()
            broken = await asyncio.wait_for(case(fleet), 110)
            fleet.check_running()
            return fleet, broken
        finally:
            fleet.close()

    try:
        fleet, broken = asyncio.run(run())
    except Exception as error:
        print(f'could not run: {type(error).__name__}: {error}')
        sys.exit(2)
    for line in broken:
        fleet.record(f'BROKEN {line}')
        print(f'BROKEN {line}')
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else 0)
