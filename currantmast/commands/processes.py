"""Commands that run a process; each imports its modules only when it is called."""

import sys
from importlib import import_module
from typing import Any

from currantmast.commands.options import Task, parse_as_strings
from currantmast.settings import load_settings


class StandinCommands:
    """Run stand-ins for external systems in tests, the demo and experiments."""

    @parse_as_strings('settings')
    def objects(self, settings: str) -> Task:  # noqa: WPS110 - the command's name
        """Run the object API; SETTINGS is its YAML file."""
        return Task(
            lambda: load('currantmast.standins.objects', 'run_objects')(settings)
        )

    @parse_as_strings('settings')
    def targets(self, settings: str) -> Task:
        """Run targets; SETTINGS is their YAML file."""
        return Task(
            lambda: load('currantmast.standins.targets', 'run_targets')(settings)
        )

    @parse_as_strings('settings')
    def proxy(self, settings: str) -> Task:
        """Run the fault-injecting proxy; SETTINGS is its YAML file."""
        return Task(lambda: load('currantmast.standins.proxy', 'run_proxy')(settings))


def load(module: str, name: str) -> Any:
    """Import `module` and return its attribute `name`."""
    return getattr(import_module(module), name)


def run_instance(path: str) -> None:
    """Run an instance until it stops, then exit with its exit code.

    Raises
    ------
    SettingsError
        If the settings file is rejected.
    """
    run = load('currantmast.runtime.process', 'run_instance')
    sys.exit(run(load_settings(path)))


def run_platform(boot: str | None) -> None:
    """Run an instance on the users' platform, then exit with its exit code.

    Raises
    ------
    SettingsError
        If the settings file is missing or rejected.
    """
    sys.exit(load('currantmast.platform.adapter', 'run_platform')(boot))
