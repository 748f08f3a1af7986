"""Commands that run experiments."""

import sys
from http import HTTPStatus

import gevent

from currantmast.deployment import PolicyKind
from currantmast.experiment.disturbances import Fault
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.reports import (
    Report,
    encode_report,
    format_report,
    format_summary,
)
from currantmast.experiment.runs import RunSettings, run_experiment
from currantmast.experiment.slopes import SlopeCommands
from currantmast.standins.platformfleet import PlatformFleet

DEMO_SECONDS = 15
HOLD_S = 600
DEMO_RATE = 200
"""Calls per second that nine instances and their targets share on one machine of 10 cores."""

EXIT_VIOLATED = 1
"""A guarantee was broken; a wrong answer is one of the violations."""


class ExperimentCommands:
    """Run a fleet of local processes under load and check what they did."""

    def __init__(self) -> None:
        self.slopes = SlopeCommands()

    def demo(
        self,
        deployment_dir: str,
        seconds: float = DEMO_SECONDS,
        seed: int = 1,
        json: bool = False,
    ) -> None:
        """Run the fleet without faults and print the report.

        Parameters
        ----------
        deployment_dir : str
            Directory of the deployment.
        seconds : float
            Length of the load.
        seed : int
            Seed of load and keys.
        json : bool
            Print the report as JSON.
        """
        command = f'currantmast experiment demo {deployment_dir}'
        settings = RunSettings(
            directory=deployment_dir,
            seconds=seconds,
            seed=seed,
            rate=DEMO_RATE,
            policy=PolicyKind.adaptive,
            fault=Fault.none,
            command=f'{command} --seconds={seconds} --seed={seed}',
        )
        _finish(run_experiment(settings), json)

    def run(  # noqa: WPS211 - each argument is an option of the command line
        self,
        deployment_dir: str,
        policy: str = PolicyKind.adaptive,
        fault: str = Fault.none,
        seconds: float = DEMO_SECONDS,
        seed: int = 1,
        rate: float = DEMO_RATE,
        json: bool = False,
    ) -> None:
        """Run the fleet with a policy and a fault and print the report.

        Parameters
        ----------
        deployment_dir : str
            Directory of the deployment.
        policy : str
            ``adaptive`` or ``plain``.
        fault : str
            ``none``, ``store``, ``instance``, ``region``, ``pause`` or ``surge``.
        seconds : float
            Length of the load.
        seed : int
            Seed of load and keys.
        rate : float
            Calls per second, all callers together.
        json : bool
            Print the report as JSON.
        """
        options = f'--policy={policy} --fault={fault} --rate={rate}'
        command = f'currantmast experiment run {deployment_dir} {options}'
        settings = RunSettings(
            directory=deployment_dir,
            seconds=seconds,
            seed=seed,
            rate=rate,
            policy=PolicyKind(policy),
            fault=Fault(fault),
            command=f'{command} --seconds={seconds} --seed={seed}',
        )
        _finish(run_experiment(settings), json)

    def platform(
        self, instances: int = 6, seconds: float = 10, rate: float = 60, seed: int = 1
    ) -> None:
        """Run instances on a stand-in of the users' platform, under load.

        Parameters
        ----------
        instances : int
            Number of instances.
        seconds : float
            Length of the load.
        rate : float
            Requests per second.
        seed : int
            Seed of the load.
        """
        with PlatformFleet(instances, seed) as fleet:
            tally = fleet.load(rate, seconds)
            violations = fleet.list_violations()
        answered = tally.statuses[HTTPStatus.OK]
        refused = sum(tally.statuses.values()) - answered
        sys.stdout.write(
            f'platform answered={answered} refused={refused} wrong={len(violations)}\n'
        )
        sys.stdout.writelines(f'{violation}\n' for violation in violations)
        if violations:
            sys.exit(EXIT_VIOLATED)

    def hold(self, deployment_dir: str, seconds: float = HOLD_S, seed: int = 1) -> None:
        """Run a local fleet for trying out commands, and print how to reach it.

        Parameters
        ----------
        deployment_dir : str
            Directory of the deployment.
        seconds : float
            Time until the fleet is ended.
        seed : int
            Seed of keys and service times.
        """
        with LocalFleet(deployment_dir, seed) as fleet:
            sys.stdout.write(describe_fleet(fleet))
            sys.stdout.flush()
            gevent.sleep(seconds)


def describe_fleet(fleet: LocalFleet) -> str:
    """Return one line for each thing that a user needs to reach `fleet`."""
    team, key = next(iter(fleet.plan.keys.items()))
    lines = [
        f'store={fleet.plan.store}',
        f'deployment={fleet.directory / "deployment"}',
        f'logs={fleet.directory}',
        f'team={team} key={key}',
    ]
    lines += [
        f'instance={plan.id} public={plan.public}' for plan in fleet.plan.instances
    ]
    host = fleet.plan.hosts[0]
    lines.append(f'target={host.targets[0].address}')
    return '\n'.join([*lines, ''])


def _finish(report: Report, json: bool) -> None:
    text = encode_report(report) if json else format_report(report)
    sys.stdout.write(f'{text}\n{format_summary(report)}\n')
    sys.stdout.flush()
    if report.violations:
        sys.exit(EXIT_VIOLATED)
