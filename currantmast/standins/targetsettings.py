"""Settings, faults and load reports of target stand-ins."""

from collections import deque
from enum import StrEnum

import msgspec

from currantmast.clocks import Clock
from currantmast.deployment import ServiceKind
from currantmast.messages import Address

# Changes of load kept for reports that lag; enough for 10 s at 400 requests/s.
LOAD_SAMPLES = 8192


class LoadMode(StrEnum):
    """How the load endpoint answers."""

    honest = 'honest'
    stopped = 'stopped'
    idle = 'idle'
    full = 'full'


class TargetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one target.

    Parameters
    ----------
    service : str
        Service of the target.
    kind : ServiceKind
        Chooses the service time where `median_s` is 0.
    address : Address
        Listening address; port 0 lets the kernel choose.
    slots, connections : int
        Requests run and connections held at once.
    median_s, sigma : float
        Median in seconds and spread of the log-normal service time.
    cold_requests : int
        Requests after a start that run slower.
    cold_factor : float
        Factor on their service time.
    down_s : float
        Time in seconds that the target stays down after a crash.
    """

    service: str
    kind: ServiceKind = ServiceKind.lookup
    address: Address = Address('127.0.0.1', 0)
    slots: int = 3
    connections: int = 330
    median_s: float = 0
    sigma: float = 0.3
    cold_requests: int = 0
    cold_factor: float = 5
    down_s: float = 2


class TargetsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a process that hosts targets.

    Parameters
    ----------
    targets : tuple of TargetSettings
        Targets to host.
    address : Address
        Address of the control paths for all targets.
    seed : int
        Seed of the service times.
    key_digests : tuple of str
        SHA-256 of the callers' keys, which no header may hold.
    """

    targets: tuple[TargetSettings, ...]
    address: Address = Address('127.0.0.1', 0)
    seed: int = 1
    key_digests: tuple[str, ...] = ()


class TargetFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults and states in force on a target.

    Parameters
    ----------
    draining : bool
        The target reports that it is leaving; it still runs what it gets.
    fail_fast : bool
        Every request is answered 500 at once.
    silent : bool
        Connections are accepted; no request is ever answered.
    load : LoadMode
        How the load endpoint answers.
    load_lag_s : float
        Age of the load that is reported, in seconds.
    slow_factor : float
        Factor on all service times.
    """

    draining: bool = False
    fail_fast: bool = False
    silent: bool = False
    load: LoadMode = LoadMode.honest
    load_lag_s: float = 0
    slow_factor: float = 1


class LoadReport(msgspec.Struct, frozen=True):
    """Answer of the load endpoint."""

    running: int
    slots: int
    draining: bool
    cold: bool


class LoadGauge:
    """Number of running requests, now and in the recent past.

    Parameters
    ----------
    clock : Clock
        Time of the record.
    """

    __slots__ = ('_clock', '_samples')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[tuple[float, int]] = deque(maxlen=LOAD_SAMPLES)

    def __repr__(self) -> str:
        """Return the newest value."""
        return f'<LoadGauge running={self.get_running(0)}>'

    def record(self, running: int) -> None:
        """Record a change."""
        self._samples.append((self._clock.now(), running))

    def get_running(self, lag_s: float) -> int:
        """Return the number of requests that ran `lag_s` seconds ago."""
        latest = self._clock.now() - lag_s
        for at, running in reversed(self._samples):
            if at <= latest:
                return running
        return 0
