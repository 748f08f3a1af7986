"""A fleet of real instances on a stand-in of the users' platform, under load."""

import json
import random
import tempfile
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any, Self

import gevent
import msgspec
from gevent.pool import Pool

from currantmast.clocks import LoopClock
from currantmast.direct.entries import select_entries
from currantmast.direct.model import InstanceRecord, Location
from currantmast.errors import TransportError
from currantmast.exchange import Request, SingleSendClient, exchange
from currantmast.experiment.ports import PortReserver
from currantmast.experiment.processes import Process
from currantmast.messages import Address
from currantmast.standins.platformstore import PlatformStore
from currantmast.standins.platformtargets import PlatformTarget, TargetPlan, make_body
from currantmast.standins.proxy import Link
from currantmast.standins.shaping import Channel, LinkSettings

ZONES = MappingProxyType(
    {
        'fife-a': 'fife',
        'fife-b': 'fife',
        'skye-a': 'skye',
        'skye-b': 'skye',
        'uist-a': 'uist',
        'uist-b': 'uist',
    }
)
HOST = 'shop.example'
KEYS = MappingProxyType({'schools': 'key-of-schools', 'fitters': 'key-of-fitters'})
ROUTES = (
    ('/look/', 'idempotent', 'lookups'),
    ('/order/', 'non_idempotent', 'orders'),
    ('/film/', 'upload', 'films'),
)
TARGETS_PER_ZONE = 2
THINGS = 20
START_TIMEOUT_S = 15.0
POLL_S = 0.05
CALL_MARGIN_S = 0.5
TIME_LIMIT_S = 2.5
MAX_CALLERS = 500
LOOPBACK = '127.0.0.1'
OK = 200
FIRST_UNKNOWN = 500
PROMISES = frozenset((408, 421, 429, 503))


class WorkPlan(msgspec.Struct, frozen=True):
    """How long requests take, and how long a stop of an instance.

    Parameters
    ----------
    warm_s, cold_s : float
        Time of work on objects that a back end knows, and on others, in seconds.
    slots : int
        Requests that a back end runs at once.
    timeout_s : float
        Timeout of each route in seconds.
    grace_s : float
        Seconds from a planned stop of an instance until it would be killed.
    """

    warm_s: float = 0.02
    cold_s: float = 0.06
    slots: int = 3
    timeout_s: float = 2
    grace_s: float = 6


DEFAULT_WORK = WorkPlan()


class MachinePlan(msgspec.Struct, frozen=True):
    """What the machines of the instances have, and what callers may send.

    Parameters
    ----------
    memory_mb : int
        Memory of each instance in MB (10^6 bytes).
    max_fds : int
        Descriptors of each instance.
    max_body_bytes : int
        Largest body of a request.
    """

    memory_mb: int = 300
    max_fds: int = 4100
    max_body_bytes: int = 67_108_864

    def format_limits(self) -> str:
        """Return the table of the limits in the settings of an instance."""
        return (
            f'[self.limits]\nmemory_mb = {self.memory_mb}\nmax_fds = {self.max_fds}\n'
        )


DEFAULT_MACHINE = MachinePlan()


class Tally(msgspec.Struct):
    """What callers saw.

    Parameters
    ----------
    statuses : Counter
        Answers by status; 0 for none.
    wrong : list of str
        Ids of requests whose answer was not their own.
    refused : list of str
        Ids of requests that were said not to have run.
    """

    statuses: Counter[int] = msgspec.field(default_factory=Counter)
    wrong: list[str] = msgspec.field(default_factory=list)
    refused: list[str] = msgspec.field(default_factory=list)


class PlatformFleet:
    """Store, back ends and instances on one machine; a context manager.

    Parameters
    ----------
    size : int
        Number of instances, spread over the failure domains.
    seed : int
        Seed of the load.
    work : WorkPlan
        How long requests and stops take.
    machine : MachinePlan
        What the machines of the instances have.
    """

    def __init__(
        self,
        size: int = 6,
        seed: int = 1,
        work: WorkPlan = DEFAULT_WORK,
        machine: MachinePlan = DEFAULT_MACHINE,
    ) -> None:
        self.size = size
        self.work = work
        self.machine = machine
        self.version = 1
        self.keys = {team: [key] for team, key in KEYS.items()}
        # Entries of the configuration beside the usual ones.
        self.more_resources: list[Any] = []
        self.ran: Counter[str] = Counter()
        self.tally = Tally()
        self.instances: dict[str, Process] = {}
        self.public: dict[str, Address] = {}
        self.metrics: dict[str, Address] = {}
        self.targets: list[PlatformTarget] = []
        self._dice = random.Random(seed)
        self._stack = ExitStack()
        self._sent = 0
        self._directory = Path()
        self._boots: dict[str, Path] = {}
        # Link of each instance to the store.
        self.store_links: dict[str, Link] = {}
        self._lookups: dict[str, Address] = {}
        self.store = PlatformStore()

    def __enter__(self) -> Self:
        """Start everything and wait until each instance is ready."""
        with ExitStack() as failed_start:
            failed_start.callback(self._stack.close)
            place = self._stack.enter_context(tempfile.TemporaryDirectory())
            self._directory = Path(place)
            self._stack.enter_context(self.store)
            self._start_targets()
            self.publish()
            self._write_boots()
            for name in self._boots:
                self.start(name)
            self.wait_ready()
            failed_start.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End everything."""
        self._stack.close()

    def __repr__(self) -> str:
        """Return the number of instances."""
        return f'<PlatformFleet size={self.size}>'

    def publish(self) -> None:
        """Put the present keys in force as a new version."""
        timeout_s = self.work.timeout_s
        resources = [_make_route(*route, timeout_s) for route in ROUTES]
        resources += [
            {'res_kind': 'services', 'meta': {'name': service}, 'spec': {}}
            for _, _, service in ROUTES
        ]
        resources += [
            {
                'res_kind': 'tenants',
                'meta': {'name': team},
                'spec': {'api_keys': keys, 'rate_per_s': 1000, 'burst': 1000},
            }
            for team, keys in self.keys.items()
        ]
        resources += self.more_resources
        limits = {'max_body_bytes': self.machine.max_body_bytes}
        resources.append(
            {'res_kind': 'limits', 'meta': {'name': 'limits'}, 'spec': limits}
        )
        spec = {'version': f'{self.version:08x}', 'resources': resources}
        self.store.put('config', 'main', spec)
        self.version += 1

    def start(self, name: str) -> None:
        """Start an instance, or start it again."""
        process = Process(
            name, ('platform', f'--boot={self._boots[name]}'), self._directory
        )
        self.instances[name] = self._stack.enter_context(process)

    def wait_ready(self) -> None:
        """Wait until each running instance names all running entry instances.

        Raises
        ------
        ProcessFailed
            If one ends.
        Timeout
            If they don't find each other in time.
        """
        with gevent.Timeout(START_TIMEOUT_S):
            for name, process in self.instances.items():
                while not self._knows_region(name):
                    process.check_running()
                    gevent.sleep(POLL_S)

    def look_up(self, name: str, region: str, zone: str) -> list[str]:
        """Return the addresses that an instance names to a caller; none if it fails."""
        path = f'/lookup?name={HOST}&region={region}&zone={zone}'
        try:
            answer = exchange(_open(self._lookups[name]), Request('GET', path, {}), 1.0)
        except TransportError:
            return []
        return json.loads(answer.body)['addrs']

    def load(self, rate: float, seconds: float) -> Tally:
        """Send requests at `rate` a second for `seconds`; return what callers saw."""
        callers = Pool(MAX_CALLERS)
        for _ in range(round(rate * seconds)):
            callers.spawn(self.call)
            gevent.sleep(self._dice.expovariate(rate))
        callers.join()
        return self.tally

    def call(self, limit_s: float = TIME_LIMIT_S) -> int:
        """Make one request of a caller and return its status; 0 for none."""
        self._sent += 1
        request_id = f'q{self._sent}'
        zone = self._dice.choice(sorted(ZONES))
        prefix, kind, _ = self._dice.choice(ROUTES)
        body = b'film' * 5000 if kind == 'upload' else b''
        object_key = self._dice.randrange(THINGS)
        named = [
            address
            for name in self._dice.sample(sorted(self.instances), len(self.instances))
            if self.instances[name].is_running()
            for address in self.look_up(name, ZONES[zone], zone)
        ]
        if not named:
            self.tally.statuses[0] += 1
            return 0
        headers = {
            'Host': HOST,
            'X-Currantmast-Request-Id': request_id,
            'X-Currantmast-Deadline-Ms': str(round(limit_s * 1000)),
            'Api-Key': self._dice.choice(sorted(KEYS.values())),
            'Cookie': f'X-Currantmast-Affinity-Key={object_key}',
        }
        method = 'GET' if kind == 'idempotent' else 'POST'
        request = Request(method, f'{prefix}{object_key}', headers, body)
        return self._send(request_id, request, self._dice.choice(named), limit_s)

    def list_violations(self) -> list[str]:
        """Return each promise that was broken, as a line."""
        unsafe = [known for known, runs in self.ran.items() if runs > 1]
        lied = [known for known in self.tally.refused if self.ran[known]]
        saw_key = [target.plan.id for target in self.targets if target.saw_key]
        found = {'wrong answer': self.tally.wrong, 'ran after a refusal': lied}
        found |= {'saw a key': saw_key, 'ran twice': unsafe}
        return [f'{what}: {names}' for what, names in found.items() if names]

    def _send(
        self, request_id: str, request: Request, named: str, limit_s: float
    ) -> int:
        host, _, port = named.rpartition(':')
        status = 0
        timeout_s = limit_s + CALL_MARGIN_S
        try:
            answer = exchange(_open(Address(host, int(port))), request, timeout_s)
        except TransportError:
            self.tally.statuses[0] += 1
            return status
        self.tally.statuses[answer.status] += 1
        if answer.status == OK and answer.body != make_body(request_id, request.body):
            self.tally.wrong.append(request_id)
        if answer.status in PROMISES:
            self.tally.refused.append(request_id)
        return answer.status

    def _start_targets(self) -> None:
        for zone in ZONES:
            for _, _, service in ROUTES:
                for number in range(TARGETS_PER_ZONE):
                    plan = TargetPlan(
                        f'{service}-{zone}-{number}',
                        service,
                        zone,
                        slots=self.work.slots,
                        warm_s=self.work.warm_s,
                        cold_s=self.work.cold_s,
                    )
                    target = PlatformTarget(plan, self.ran)
                    self.targets.append(self._stack.enter_context(target))
                    self.store.put('servers', plan.id, target.describe())

    def _write_boots(self) -> None:
        for number in range(self.size):
            name = f'edge-{number}'
            self._boots[name] = self._write_boot(name, _choose_zone(name))

    def _write_boot(self, name: str, zone: str) -> Path:
        with PortReserver() as ports:
            front, ready, lookup = (ports.reserve(LOOPBACK) for _ in range(3))
            peer, metrics = (ports.reserve(LOOPBACK) for _ in range(2))
        self.public[name] = front
        self.metrics[name] = metrics
        self._lookups[name] = lookup
        zones = '\n'.join(f'{known} = "{region}"' for known, region in ZONES.items())
        self._open_store_link(name)
        path = self._directory / f'{name}.toml'
        path.write_text(
            f'[self]\nnode = "{name}"\nzone = "{zone}"\nregion = "{ZONES[zone]}"\n'
            f'ip = "127.0.0.1"\n{self.machine.format_limits()}'
            f'[network]\nport_range = [{peer.port}, {metrics.port}]\n'
            f'[network.listen]\nfront = "{front}"\nreadiness = "{ready}"\n'
            f'directory = "{lookup}"\n[network.zones]\n{zones}\n'
            f'[provider.provider]\naddr = "{self.store_links[name].address}"\n'
            f'[terms.bounds]\ngrace_s = {self.work.grace_s}\n'
        )
        return path

    def _open_store_link(self, name: str) -> None:
        clock = LoopClock()
        settings = LinkSettings(name, upstream=self.store.address)
        channels = (Channel(clock), Channel(clock))
        link = Link(settings, channels, clock, self._dice)
        self._stack.callback(link.close)
        self.store_links[name] = link

    def _knows_region(self, name: str) -> bool:
        zone = _choose_zone(name)
        region = ZONES[zone]
        records = [
            self._make_record(other)
            for other, process in self.instances.items()
            if process.is_running()
        ]
        entries = select_entries(records)
        expected = {
            str(record.public)
            for record in records
            if record.id in entries and record.location.region == region
        }
        return set(self.look_up(name, region, zone)) == expected

    def _make_record(self, name: str) -> InstanceRecord:
        zone = _choose_zone(name)
        public = self.public[name]
        return InstanceRecord(name, '', Location(ZONES[zone], zone), public, public)


def _choose_zone(name: str) -> str:
    zones = sorted(ZONES)
    return zones[int(name.rpartition('-')[2]) % len(zones)]


def _open(address: Address) -> SingleSendClient:
    return SingleSendClient(
        address.host,
        address.port,
        connection_timeout=1.0,
        network_timeout=None,
        concurrency=1,
    )


def _make_route(
    prefix: str, kind: str, service: str, timeout_s: float
) -> dict[str, Any]:
    return {
        'res_kind': 'routes',
        'meta': {'name': f'r-{service}'},
        'spec': {
            'host': HOST,
            'path_prefix': prefix,
            'type': kind,
            'timeout_s': timeout_s,
            'target_latency_s': 0.5,
            'prio': 1,
            'service': service,
            'attempts': 2,
            'public': False,
            'affinity': True,
            'home_regions': [],
        },
    }
