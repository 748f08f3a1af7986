"""Cost of a real fleet, and the time until a publication is in force everywhere."""

import statistics
import time
from collections.abc import Iterator, Sequence

import gevent
import msgspec
from msgspec.structs import replace

from currantmast.clocks import LoopClock
from currantmast.deployment import Deployment
from currantmast.errors import TransportError
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.plans import InstancePlan
from currantmast.experiment.usage import read_cpu_s, read_memory_mb
from currantmast.loading import load_deployment
from currantmast.operations import add_drain, remove_drain
from currantmast.publication import change_operations
from currantmast.runtime.store import ObjectClient

Row = list[float]

REGIONS = 3
SETTLE_S = 8
POLL_S = 0.005
IN_FORCE_TIMEOUT_S = 30
PUBLICATIONS = 10
CALLS_PER_S = 200
MS_PER_S = 1000
FLEET_COSTS = (
    'cpu ms/s',
    'RSS MB',
    'object API calls/s',
    'calls/s each',
    'calm median ms',
    'calm longest ms',
    'after kill, live ms',
    'after kill, accepted ms',
    'with restart ms',
)


class Held(msgspec.Struct, frozen=True):
    """The part of an instance's status that tells what is in force."""

    version: int = 0
    expiring: tuple[str, ...] = ()


def measure_fleets(
    directory: str, sizes: Sequence[int], seconds: float, seed: int
) -> Iterator[Row]:
    """Yield the cost of each fleet of processes, without load.

    Parameters
    ----------
    directory : str
        Directory of the deployment to derive from.
    sizes : sequence of int
        Instances, multiples of three.
    seconds : float
        Length of the idle measurement of each fleet.
    seed : int
        Seed of keys.
    """
    deployment = reduce_deployment(load_deployment(directory))
    for size in sizes:
        with LocalFleet(directory, seed, size // REGIONS, deployment) as fleet:
            gevent.sleep(SETTLE_S)
            yield [size, *_measure_idle(fleet, seconds), *_measure_changes(fleet)]


def reduce_deployment(deployment: Deployment) -> Deployment:
    """Return `deployment` with one target for each service, all on one host."""
    base = deployment.base
    place = (base.pools[0].region, base.pools[0].failure_domain)
    pools = {
        pool.service: replace(pool, addresses=pool.addresses[:1])
        for pool in base.pools
        if (pool.region, pool.failure_domain) == place
    }
    return replace(deployment, base=replace(base, pools=tuple(pools.values())))


def _measure_idle(fleet: LocalFleet, seconds: float) -> Row:
    pids = [fleet.get_process(plan.id).pid for plan in fleet.plan.instances]
    calls, cpu_s = _count_calls(fleet), sum(map(read_cpu_s, pids))
    started_s = time.monotonic()
    gevent.sleep(seconds)
    took_s = time.monotonic() - started_s
    calls_per_s = (_count_calls(fleet) - calls) / took_s
    used_s = sum(map(read_cpu_s, pids)) - cpu_s
    return [
        used_s / took_s / len(pids) * MS_PER_S,
        statistics.fmean(map(read_memory_mb, pids)),
        calls_per_s,
        calls_per_s / len(pids),
    ]


def _measure_changes(fleet: LocalFleet) -> Row:
    name = f'instance:{fleet.plan.instances[0].id}'
    changes = (add_drain, remove_drain)
    with ObjectClient(
        fleet.plan.store, LoopClock(), CALLS_PER_S, caller='operator'
    ) as client:
        calm = [
            _time_change(fleet, client, changes[number % 2], name)[0]
            for number in range(PUBLICATIONS)
        ]
        victim = fleet.plan.instances[-1].id
        fleet.kill(victim)
        live_s, accepted_s = _time_change(fleet, client, add_drain, name)
        fleet.restart(victim, wait=False)
        restart_s, _ = _time_change(fleet, client, remove_drain, name)
    found = (statistics.median(calm), max(calm), live_s, accepted_s, restart_s)
    return [seconds * MS_PER_S for seconds in found]


def _time_change(
    fleet: LocalFleet, client: ObjectClient, change, name: str
) -> tuple[float, float]:
    """Return the times until a change is in force on the live, and is accepted."""
    started_s = time.monotonic()
    version = change_operations(client, lambda held: change(held, name))
    waiting = _list_up(fleet)
    deadline = started_s + IN_FORCE_TIMEOUT_S
    while waiting and time.monotonic() < deadline:
        waiting = [one for one in waiting if _read(fleet, one).version < version]
        gevent.sleep(POLL_S)
    in_force_s = time.monotonic() - started_s
    while _has_expiring(fleet) and time.monotonic() < deadline:
        gevent.sleep(POLL_S)
    return in_force_s, time.monotonic() - started_s


def _has_expiring(fleet: LocalFleet) -> bool:
    """Return whether the lease of an ended instance may still be valid."""
    plans = _list_up(fleet)
    removed = len(plans) < len(fleet.plan.instances)
    # Expiry counts only once all have adopted the removal: an instance that still
    # lists the ended one names nobody as expiring.
    if removed and not all(_lists_fewer(fleet, plan) for plan in plans):
        return True
    return any(_read(fleet, plan).expiring for plan in plans)


def _lists_fewer(fleet: LocalFleet, plan: InstancePlan) -> bool:
    """Return whether an instance has adopted the removal of an ended one."""
    status = fleet.controls.read(plan.public, '/status', dict)
    return len(status['members']) < len(fleet.plan.instances)


def _list_up(fleet: LocalFleet) -> list[InstancePlan]:
    return [plan for plan in fleet.plan.instances if fleet.is_up(plan.id)]


def _read(fleet: LocalFleet, plan: InstancePlan) -> Held:
    try:
        return fleet.controls.read(plan.public, '/status', Held)
    except TransportError:
        return Held()


def _count_calls(fleet: LocalFleet) -> int:
    return sum(fleet.controls.read(fleet.plan.store, '/calls', dict).values())
