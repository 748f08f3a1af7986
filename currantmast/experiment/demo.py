"""Commands that run experiments."""

import sys

from currantmast.deployment import PolicyKind
from currantmast.experiment.disturbances import Fault
from currantmast.experiment.reports import (
    Report,
    encode_report,
    format_report,
    format_summary,
)
from currantmast.experiment.runs import RunSettings, run_experiment
from currantmast.experiment.slopes import SlopeCommands

DEMO_SECONDS = 15
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


def _finish(report: Report, json: bool) -> None:
    text = encode_report(report) if json else format_report(report)
    sys.stdout.write(f'{text}\n{format_summary(report)}\n')
    sys.stdout.flush()
    if report.violations:
        sys.exit(EXIT_VIOLATED)
