"""A fleet of real processes on loopback addresses, for experiments and tests."""

import signal
import time
from pathlib import Path
from typing import Any

import gevent

from currantmast.deployment import Deployment
from currantmast.experiment import formats
from currantmast.experiment.controls import Controls
from currantmast.experiment.groups import ProcessGroup
from currantmast.experiment.instances import InstancePlan
from currantmast.experiment.plans import make_plan
from currantmast.experiment.processes import (
    POLL_S,
    CommandResult,
    Process,
    ProcessFailed,
    run_command,
)
from currantmast.loading import load_deployment
from currantmast.messages import Address

READY_TIMEOUT_S = 20
"""Longest time for the start of one process, in seconds."""

COMMAND_TIMEOUT_S = 30
"""Longest time of an operator command, in seconds."""

STORE = 'store'


class LocalFleet(ProcessGroup):
    """Store, targets and instances as processes; a context manager.

    Parameters
    ----------
    deployment_dir : str or Path
        Directory of the deployment to derive the local one from.
    seed : int
        Seed of keys and service times.
    instances_per_region : int
        Instances of each region, spread over its failure domains.
    faults : bool
        Whether fault proxies carry the links between instances and to the store.
    deployment : Deployment or None
        Changed form of the deployment in the directory, for experiments.

    Attributes
    ----------
    plan : FleetPlan
        What is started, with addresses and keys.
    controls : Controls
        Access to the control paths of stand-ins and instances.
    """

    def __init__(
        self,
        deployment_dir: str | Path,
        seed: int = 1,
        instances_per_region: int = 3,
        faults: bool = False,
        deployment: Deployment | None = None,
    ) -> None:
        self._source = Path(deployment_dir)
        self._seed = seed
        loaded = deployment or load_deployment(self._source)
        self.plan = make_plan(loaded, seed, instances_per_region, faults)
        self.controls = Controls()
        super().__init__()

    def __repr__(self) -> str:
        """Return the deployment's name and the number of processes."""
        name = self.plan.deployment.base.name
        return f'<LocalFleet {name} processes={len(self._processes)}>'

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Public addresses of all instances."""
        return tuple(str(instance.public) for instance in self.plan.instances)

    def pause(self, name: str) -> None:
        """Stop one process with SIGSTOP."""
        self.get_process(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.get_process(name).send_signal(signal.SIGCONT)

    def restart(self, instance_id: str, wait: bool = True) -> None:
        """Start an ended instance again, as a new incarnation.

        Raises
        ------
        ProcessFailed
            If it does not become ready in time.
        """
        self._start_instance(self.plan.get_instance(instance_id))
        if wait:
            self.wait_instances()

    def set_store_fault(self, **fields: Any) -> None:
        """Set fields of the store's faults, for example ``outage=True``."""
        self.controls.change(self.plan.store, '/faults', **fields)

    def set_target_fault(self, target: str, **fields: Any) -> None:
        """Set fields of the faults of the target at `target` (``ip:port``)."""
        formats.set_target_fault(
            self.controls, self.plan.find_host(target), target, fields
        )

    def set_link(self, pattern: str, **fields: Any) -> int:
        """Set fields of the faults of links, for example ``cut=True``.

        Parameters
        ----------
        pattern : str
            Pattern of link names, see `LinkPlan`.

        Returns
        -------
        int
            Number of links changed.
        """
        return sum(
            formats.set_link_fault(self.controls, proxy, pattern, fields)
            for proxy in self.plan.proxies
        )

    def run_command(self, *arguments: str) -> CommandResult:
        """Run an operator command of the binary and return its result."""
        return run_command(arguments, self.directory, COMMAND_TIMEOUT_S)

    def wait_instances(self) -> None:
        """Wait until every instance that should run is ready.

        Raises
        ------
        ProcessFailed
            If one ended or is not ready after `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for instance in self.plan.instances:
            if self.is_up(instance.id):
                process = self.get_process(instance.id)
                wait_ready(self.controls, process, instance.public, deadline)

    def start_all(self) -> None:
        """Start the stand-ins, publish the deployment and start the instances."""
        self._start_standins()
        self._publish()
        for instance in self.plan.instances:
            self._start_instance(instance)
        self.wait_instances()

    def _start_standins(self) -> None:
        store = self.plan.store
        self._start_standin(STORE, 'objects', formats.make_store_settings(store))
        for host in self.plan.hosts:
            targets = formats.make_target_settings(self.plan, host, self._seed)
            self._start_standin(host.name, 'targets', targets)
        for proxy in self.plan.proxies:
            links = formats.make_proxy_settings(proxy, self._seed)
            self._start_standin(proxy.name, 'proxy', links)
        for process in self.list_processes():
            process.wait_ready(READY_TIMEOUT_S)

    def _publish(self) -> None:
        directory = formats.write_deployment(
            self._source, self.directory / 'deployment', self.plan.deployment
        )
        command = formats.make_publication(directory, self.plan.store)
        result = self.run_command(*command)
        if result.code:
            raise ProcessFailed('publish', f'exit code {result.code}', result.output)

    def _start_standin(self, name: str, kind: str, settings: Any) -> None:
        path = formats.write_document(self.directory / f'{name}.yaml', settings)
        self.start(name, 'standin', kind, path)

    def _start_instance(self, instance: InstancePlan) -> None:
        document = formats.make_instance_document(self.plan, instance)
        path = formats.write_document(self.directory / f'{instance.id}.yaml', document)
        self.start(instance.id, 'instance', path)


def wait_ready(
    controls: Controls, process: Process, address: Address, deadline: float
) -> None:
    """Wait until the instance at `address` says that it is ready.

    Raises
    ------
    ProcessFailed
        If `process` ended, or if `deadline` (monotonic seconds) has passed.
    """
    while not controls.is_ok(address, '/health/ready'):
        process.check_running()
        if time.monotonic() > deadline:
            raise process.fail('not ready in time')
        gevent.sleep(POLL_S)
