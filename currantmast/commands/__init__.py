"""The ``currantmast`` command line."""

import sys
from collections.abc import Sequence
from typing import Any

import fire

from currantmast.commands import inspection, processes
from currantmast.commands.changes import Change
from currantmast.commands.errors import choose_exit_code
from currantmast.commands.keys import KeyCommands
from currantmast.commands.options import DEFAULT_WAIT_S, Task, parse_as_strings
from currantmast.commands.requests import show_trace
from currantmast.commands.shifts import ShiftCommands
from currantmast.errors import CurrantmastError
from currantmast.loading import load_deployment
from currantmast.operations import add_drain, remove_drain

VERSION = '0.2.0'


class Commands:
    """Operate a currantmast fleet.

    Exit codes: 0 done; 1 a check found something; 2 bad input; 3 stored, but not in force everywhere; 4 another
    operator changed the configuration first; 5 the store or an instance is
    unreachable; 70 a task of an instance failed.
    """

    def __init__(self) -> None:
        self.shift = ShiftCommands()
        self.key = KeyCommands()
        self.standin = processes.StandinCommands()

    @property
    def config(self) -> Any:
        """Check and compare configuration documents of the users' platform."""
        return processes.load('currantmast.commands.configurations', 'ConfigCommands')()

    @property
    def routes(self) -> Any:
        """Explain the routes of a configuration document."""
        return processes.load('currantmast.commands.configurations', 'RouteCommands')()

    @property
    def experiment(self) -> Any:
        """Run a fleet of local processes under load."""
        return processes.load('currantmast.experiment.demo', 'ExperimentCommands')()

    def version(self) -> str:
        """Return the version of this binary."""
        return VERSION

    @parse_as_strings('settings')
    def instance(self, settings: str) -> Task:
        """Run an instance until SIGTERM; SETTINGS is its YAML file."""
        return Task(lambda: processes.run_instance(settings))

    def platform(self, *, boot: str | None = None) -> Task:
        """Run an instance on the users' platform until SIGTERM.

        Parameters
        ----------
        boot : str, optional
            The platform's settings file; by default the one named by the environment.
        """
        return Task(lambda: processes.run_platform(boot))

    @parse_as_strings('request')
    def explain_request(self, request: str, *paths: str, json: bool = False) -> Task:
        """Show what happened to a request, from log files of instances.

        Parameters
        ----------
        request : str
            Id of the request.
        paths : str
            Log files, complete or truncated, of one or more instances.
        json : bool
            Write the trace as JSON.
        """
        return Task(lambda: show_trace(str(request), paths, json))

    @parse_as_strings('directory')
    def check(self, directory: str, *, json: bool = False) -> Task:
        """Check the deployment in DIRECTORY without publishing it.

        Parameters
        ----------
        directory : str
            Directory with base.yaml and overlays.
        json : bool
            Write the result as JSON.
        """
        return Task(lambda: inspection.check(directory, json))

    @parse_as_strings('directory', 'store')
    def publish(
        self,
        directory: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Publish the deployment in DIRECTORY; active drains, shifts and key changes stay.

        Parameters
        ----------
        directory : str
            Directory with base.yaml and overlays.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until it is in force everywhere.
        json : bool
            Write the result as JSON.
        """
        change = Change(store, wait_s, json)
        return Task(lambda: change.publish(load_deployment(directory)))

    @parse_as_strings('store')
    def status(self, *, store: str, json: bool = False) -> Task:
        """Show the stored version and what each instance reports.

        Parameters
        ----------
        store : str
            ip:port of the store.
        json : bool
            Write the result as JSON.
        """
        return Task(lambda: inspection.show_status(store, json))

    @parse_as_strings('instance', 'caller', 'team', 'service')
    def explain(
        self,
        *,
        instance: str,
        caller: str,
        team: str,
        service: str,
        json: bool = False,
    ) -> Task:
        """Show how an instance would route a request, and why.

        Parameters
        ----------
        instance : str
            ip:port on which the instance serves callers.
        caller : str
            IP address of the caller.
        team : str
            Team of the request.
        service : str
            Service of the request.
        json : bool
            Write the answer as JSON.
        """
        query = {'caller': caller, 'team': team, 'service': service}
        return Task(lambda: inspection.explain(instance, query, json))

    @parse_as_strings('name', 'store')
    def drain(
        self,
        name: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Stop giving new work to a target, an instance or a region.

        Parameters
        ----------
        name : str
            target:<ip:port>, instance:<id> or region:<id>.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until the drain is in force everywhere.
        json : bool
            Write the result as JSON.
        """
        change = Change(store, wait_s, json)
        return Task(lambda: change.apply(add_drain, name))

    @parse_as_strings('name', 'store')
    def undrain(
        self,
        name: str,
        *,
        store: str,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
    ) -> Task:
        """Resume giving work to a drained target, instance or region.

        Parameters
        ----------
        name : str
            target:<ip:port>, instance:<id> or region:<id>.
        store : str
            ip:port of the store.
        wait_s : float
            Seconds to wait until it is in force everywhere.
        json : bool
            Write the result as JSON.
        """
        change = Change(store, wait_s, json)
        return Task(lambda: change.apply(remove_drain, name))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command in `arguments`, by default those of the process.

    Raises
    ------
    SystemExit
        With the exit code of the failure, see `errors.choose_exit_code`.
    """
    command = list(sys.argv[1:] if arguments is None else arguments)
    try:
        _run(command)
    except CurrantmastError as failure:
        sys.stderr.write(f'{type(failure).__name__}: {failure}\n')
        sys.exit(choose_exit_code(failure))


def _run(command: list[str]) -> None:
    result = fire.Fire(Commands(), command, 'currantmast', serialize=_omit_task)
    if isinstance(result, Task):
        result.action()


def _omit_task(result: Any) -> Any:
    return None if isinstance(result, Task) else result
