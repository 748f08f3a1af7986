"""Deployments and a store in memory for the tests of configuration."""

import copy
from pathlib import Path

import msgspec
import yaml

from currantmast.deployment import Base, Deployment, Site
from currantmast.errors import StoreConflict

BASE = {
    'name': 'sample',
    'policy': {'kind': 'adaptive'},
    'regions': [
        {'id': 'north', 'failure_domains': ['n1', 'n2']},
        {'id': 'south', 'failure_domains': ['s1', 's2']},
    ],
    'links': [
        {'source': a, 'destination': b, 'capacity_mbit_s': 80, 'delay_ms': 20}
        for a, b in (('north', 'south'), ('south', 'north'))
    ],
    'services': [
        {'id': 'stock', 'kind': 'lookup', 'timeout_ms': 1000},
        {'id': 'orders', 'kind': 'order', 'timeout_ms': 2000},
    ],
    'pools': [
        {
            'service': service,
            'region': region,
            'failure_domain': domain,
            'slots': 4,
            'connections': 100,
            'addresses': [f'127.{number}.0.1:8080', f'127.{number}.0.2:8080'],
        }
        for number, (service, region, domain) in enumerate(
            [
                ('stock', 'north', 'n1'),
                ('stock', 'south', 's1'),
                ('orders', 'north', 'n2'),
                ('orders', 'south', 's2'),
            ],
            start=1,
        )
    ],
    'teams': [
        {
            'id': 'fitters',
            'rate': 50,
            'burst': 20,
            'services': ['stock', 'orders'],
            'key_digests': ['a' * 64],
        },
        {
            'id': 'schools',
            'rate': 10,
            'burst': 5,
            'services': ['stock'],
            'key_digests': ['b' * 64],
        },
    ],
}
SITES = [
    {'id': 'hill', 'region': 'north', 'delay_ms': 3, 'blocks': ['192.0.2.0/25']},
    {'id': 'shore', 'region': 'south', 'delay_ms': 3, 'blocks': ['198.51.100.0/24']},
]
SHIFT = {
    'id': 'move',
    'site': 'hill',
    'source': 'north',
    'destination': 'south',
    'fraction': 0.5,
    'cap_rate': 20,
}


def make_deployment(base=None, sites=None) -> Deployment:
    """Return a small deployment, with `base` and `sites` in place of its parts."""
    return Deployment(
        msgspec.convert(base or BASE, Base),
        tuple(msgspec.convert(site, Site) for site in sites or SITES),
    )


def alter(document, path, value):
    """Return a copy of `document` with the value at `path` replaced."""
    changed = copy.deepcopy(document)
    part = changed
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = value
    return changed


def write_deployment(directory: Path, base=None, sites=None) -> Path:
    """Write the files of a deployment into `directory`."""
    (directory / 'overlays').mkdir(parents=True, exist_ok=True)
    # Sections that samples share would be dumped as aliases, which are rejected.
    plain = copy.deepcopy(base or BASE)
    (directory / 'base.yaml').write_text(dump_yaml(plain))
    for site in sites or SITES:
        overlay = directory / 'overlays' / f'{site["id"]}.yaml'
        overlay.write_text(dump_yaml(site))
    return directory


def dump_yaml(document) -> str:
    dumper = yaml.SafeDumper
    dumper.ignore_aliases = lambda *_: True
    return yaml.dump(document, Dumper=dumper)


class StoredObject(msgspec.Struct):
    name: str
    version: int
    body: bytes


class MemoryStore:
    """Object API in memory: versions never repeat; `before_put` injects races."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.calls = []
        self.before_put = {}

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        return None

    def get(self, name):
        self.calls.append(('get', name))
        return self.objects.get(name)

    def put(self, name, body, if_version):
        self.calls.append(('put', name))
        race = self.before_put.pop(name, None)
        if race:
            race()
        self._check(name, if_version)
        self.revision += 1
        self.objects[name] = StoredObject(name, self.revision, body)
        return self.revision

    def delete(self, name, if_version):
        self.calls.append(('delete', name))
        self._check(name, if_version)
        del self.objects[name]

    def list(self, prefix):
        found = [o for n, o in sorted(self.objects.items()) if n.startswith(prefix)]
        yield from [(stored.name, stored.version) for stored in found]

    def _check(self, name, if_version):
        stored = self.objects.get(name)
        current = stored.version if stored else 0
        if current != if_version:
            raise StoreConflict(name, current)
