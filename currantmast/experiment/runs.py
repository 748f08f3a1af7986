"""One experiment from the start of a fleet to its report."""

import time

import gevent
import msgspec
from msgspec.structs import replace

from currantmast.deployment import Deployment, PolicyKind
from currantmast.experiment.disturbances import (
    Fault,
    choose_disturbance,
    shape_load,
)
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.inspection import collect_executions, inspect_history
from currantmast.experiment.load import Load, LoadShape
from currantmast.experiment.measures import measure
from currantmast.experiment.operators import Operator
from currantmast.experiment.records import Drain, History
from currantmast.experiment.reports import Report
from currantmast.loading import load_deployment

PARTS = 3
"""A run has three equal parts: before, during and after the disturbance."""


class RunSettings(msgspec.Struct, frozen=True):
    """What to run.

    Parameters
    ----------
    directory : str
        Directory of the deployment.
    seconds : float
        Length of the load.
    seed : int
        Seed of load and keys.
    rate : float
        Calls per second, all callers together.
    policy : PolicyKind
        Decision policy of the derived deployment.
    fault : Fault
        Disturbance of the middle third.
    command : str
        Command line, repeated in the report.
    """

    directory: str
    seconds: float
    seed: int
    rate: float
    policy: PolicyKind
    fault: Fault
    command: str


def run_experiment(settings: RunSettings) -> Report:
    """Start a fleet, send the load and return the report.

    Raises
    ------
    CurrantmastError
        If the deployment is rejected or a process fails.
    """
    deployment = derive_policy(load_deployment(settings.directory), settings.policy)
    with LocalFleet(settings.directory, settings.seed, deployment=deployment) as fleet:
        history = record_history(fleet, settings)
        return make_report(settings, fleet, history)


def derive_policy(deployment: Deployment, policy: PolicyKind) -> Deployment:
    """Return `deployment` with another decision policy."""
    base = deployment.base
    changed = replace(base, policy=replace(base.policy, kind=policy))
    return replace(deployment, base=changed)


def record_history(fleet: LocalFleet, settings: RunSettings) -> History:
    """Send the load with its disturbance and return what was recorded."""
    shape = LoadShape(settings.rate, settings.seconds / PARTS)
    disturb = choose_disturbance(settings.fault)
    with Load(fleet.plan, settings.seed) as load:
        drained = gevent.spawn_later(shape.seconds / 2, drain_target, fleet)
        load.run(shape)
        drain = drained.get()
        with disturb(fleet):
            load.run(shape_load(shape, settings.fault, fleet))
        load.run(shape)
        fleet.check_running()
        executions = collect_executions(fleet.controls, fleet.plan)
        return History(load.calls, executions, [drain])


def drain_target(fleet: LocalFleet) -> Drain:
    """Drain the first target for the rest of the run; return when it was accepted."""
    host = fleet.plan.hosts[0]
    target = host.targets[0].address
    ordered = time.monotonic()
    accepted = Operator(fleet).drain(f'target:{target}')
    return Drain(str(target), accepted, ordered=ordered)


def make_report(settings: RunSettings, fleet: LocalFleet, history: History) -> Report:
    """Return the report on `history`."""
    deployment = fleet.plan.deployment
    return Report(
        command=settings.command,
        seed=settings.seed,
        policy=settings.policy,
        fault=settings.fault,
        rate=settings.rate,
        seconds=settings.seconds,
        measures=measure(history, deployment),
        violations=inspect_history(history, deployment),
    )
