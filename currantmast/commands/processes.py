"""Commands that run processes, whose modules are imported only when needed."""

from importlib import import_module
from typing import Any

from currantmast.commands.options import Task, take_texts


class StandinCommands:
    """Run stand-ins of outside systems for tests, demo and experiments."""

    @take_texts('settings')
    def objects(self, settings: str) -> Task:  # noqa: WPS110 - the command's name
        """Run the object API; SETTINGS is its YAML file."""
        return Task(
            lambda: load('currantmast.standins.objects', 'run_objects')(settings)
        )

    @take_texts('settings')
    def targets(self, settings: str) -> Task:
        """Run targets; SETTINGS is their YAML file."""
        return Task(
            lambda: load('currantmast.standins.targets', 'run_targets')(settings)
        )


def load(module: str, name: str) -> Any:
    """Return `name` of `module`, imported now."""
    return getattr(import_module(module), name)


def run_instance(path: str) -> None:
    """Run an instance until it is stopped.

    Raises
    ------
    SettingsError
        If the settings file is rejected.
    """
    settings = load('currantmast.settings', 'load_settings')(path)
    load('currantmast.runtime.process', 'run_instance')(settings)
