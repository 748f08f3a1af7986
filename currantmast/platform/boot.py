"""The boot file: the settings that the platform gives to a process, as TOML.

Private Structs mirror the tables of the file; `_build` maps them to `DirectSettings`.
"""

import math
import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from currantmast.direct.connectionslots import compute_connections
from currantmast.direct.memory import DEFAULT_MEMORY_MB, compute_limit
from currantmast.direct.model import Bounds, DirectSettings, Location
from currantmast.errors import SettingsError
from currantmast.fields import parse_address
from currantmast.messages import Address

BOOT_VARIABLE = 'CURRANTMAST_BOOT'


# Bandwidth in Mbit/s that the requests take that keep one core busy.
LINK_MBPS_PER_CORE = 14

# Intervals between the writes of a target after which its entry can expire, counted from
# the first write that fails: the store removes it after three, and the last write may
# have been one interval earlier.
EXPIRY_INTERVALS = 2

# Descriptors of a process whose settings don't name them.
DEFAULT_MAX_FDS = 4200

# Intervals of silence after which the store removes the entry of a target.
LAPSE_INTERVALS = 3


class _Limits(msgspec.Struct):
    cpu_share: float = 1
    cores: float = 1
    link_mbps: float = math.inf
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


class _Self(msgspec.Struct):
    node: str
    zone: str
    region: str
    ip: str
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    directory: str


class _Network(msgspec.Struct):
    # First and last port of the range reserved for traffic between instances.
    port_range: tuple[int, int]
    listen: _Listen
    # Region of each zone.
    zones: dict[str, str]


class _Store(msgspec.Struct):
    addr: str


class _Provider(msgspec.Struct):
    provider: _Store
    # Interval in seconds at which targets write their entries.
    beat_s: float = 1.5


class _BoundsTable(msgspec.Struct):
    revoke_s: float = 5
    grace_s: float = 6
    budget_ratio: float = 0.2
    budget_extra: float = 20
    budget_window_s: float = 10
    cold_factor: float = 1.5
    cold_extra: float = 5
    quota_slack: float = 0
    ttl_max_s: float = 5
    # Seconds after the end of any failure from which the other bounds hold again.
    touch_s: float = 3
    drain_s: float = 2.5
    config_apply_s: float = 2.5
    evac_s: float = 5


class _Terms(msgspec.Struct):
    bounds: _BoundsTable = msgspec.field(default_factory=_BoundsTable)


class _Boot(msgspec.Struct):
    # Named `self` in the file, which can't be used as a field name.
    own: _Self = msgspec.field(name='self')
    network: _Network = msgspec.field()
    provider: _Provider = msgspec.field()
    terms: _Terms = msgspec.field(default_factory=_Terms)


def find_boot_path() -> Path:
    """Return the path of the boot file from the environment.

    Raises
    ------
    SettingsError
        If `CURRANTMAST_BOOT` is not set.
    """
    path = os.environ.get(BOOT_VARIABLE)
    if not path:
        raise SettingsError('environment', BOOT_VARIABLE, path, 'the path of a file')
    return Path(path)


def load_boot(path: Path) -> DirectSettings:
    """Return the settings in the boot file at `path`.

    Raises
    ------
    SettingsError
        If the file can't be read, or a field is missing or invalid.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(str(path), '-', error, 'a TOML file') from error
    return decode_boot(document, str(path))


def decode_boot(document: dict[str, Any], file: str) -> DirectSettings:
    """Return the settings in a parsed boot file.

    Parameters
    ----------
    document : dict
        Tables of the file.
    file : str
        Path of the file, for error messages.

    Raises
    ------
    SettingsError
        If a field is missing or invalid.
    """
    try:
        return _build(msgspec.convert(document, _Boot))
    except (msgspec.MsgspecError, ValueError) as error:
        raise SettingsError(
            file, '-', str(error), 'the fields of a boot file'
        ) from error


def _build(boot: _Boot) -> DirectSettings:
    first_port, last_port = boot.network.port_range
    bounds = boot.terms.bounds
    return DirectSettings(
        id=boot.own.node,
        location=Location(boot.own.region, boot.own.zone),
        public=parse_address(boot.network.listen.front),
        readiness=parse_address(boot.network.listen.readiness),
        lookup=parse_address(boot.network.listen.directory),
        peer=Address(boot.own.ip, first_port),
        metrics=Address(boot.own.ip, last_port),
        store=parse_address(boot.provider.provider.addr),
        regions=boot.network.zones,
        bounds=Bounds(
            revoke_s=bounds.revoke_s,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_extra=bounds.budget_extra,
            retry_window_s=bounds.budget_window_s,
            cold_factor=bounds.cold_factor,
            cold_extra=bounds.cold_extra,
            rate_slack=bounds.quota_slack,
            lookup_ttl_s=bounds.ttl_max_s,
            recovery_s=bounds.touch_s,
            propagation_s=min(bounds.drain_s, bounds.config_apply_s),
            evacuation_s=bounds.evac_s,
            expiry_s=boot.provider.beat_s * EXPIRY_INTERVALS,
            lapse_s=boot.provider.beat_s * LAPSE_INTERVALS,
        ),
        capacity=_compute_capacity(boot.own.limits),
        bootstrap=boot.own.bootstrap,
        memory_bytes=compute_limit(boot.own.limits.memory_mb),
        max_connections=compute_connections(boot.own.limits.max_fds),
    )


def _compute_capacity(limits: _Limits) -> float:
    """Return the cores that a machine's requests can keep busy over its link."""
    cores = limits.cpu_share * limits.cores
    return round(min(cores, limits.link_mbps / LINK_MBPS_PER_CORE), 3)
