"""Changes the configuration and waits until the change is in force."""

from collections.abc import Callable
from typing import Any

import msgspec

from currantmast.clocks import LoopClock
from currantmast.commands.acceptance import Acceptance
from currantmast.commands.options import open_store, read_wait
from currantmast.commands.printing import show_progress, show_result
from currantmast.deployment import Deployment, Operations
from currantmast.publication import ObjectStore, change_operations, publish
from currantmast.runtime.store import ObjectClient


class Accepted(msgspec.Struct, frozen=True):
    """A change that is in force.

    Parameters
    ----------
    version : int
        Version of the configuration.
    members : int
        Number of instances on which it is in force.
    """

    version: int
    members: int


class Change(msgspec.Struct, frozen=True):
    """Applies one change of the configuration with the options of a command.

    Parameters
    ----------
    store : str
        ``ip:port`` of the store.
    wait_s : float
        Maximum time to wait until the change is in force, in seconds.
    as_json : bool
        Whether the result is written as JSON.
    """

    store: str
    wait_s: float
    as_json: bool

    def open(self) -> ObjectClient:
        """Check the options and return a client of the store.

        Raises
        ------
        SettingsError
            If an option is outside its limits.
        """
        read_wait(self.wait_s)
        return open_store(self.store)

    def publish(self, deployment: Deployment) -> None:
        """Publish `deployment` and wait until it is in force.

        Raises
        ------
        CurrantmastError
            As for `publication.publish`, and as for `wait`.
        """
        with self.open() as client:
            self.wait(client, publish(client, deployment))

    def apply(self, change: Callable[..., Operations], *details: Any) -> None:
        """Change the operations and wait until the change is in force.

        Parameters
        ----------
        change : callable
            Called with the current operations and `details`; returns the new operations.
        *details
            Further arguments of `change`.

        Raises
        ------
        CurrantmastError
            As for `publication.change_operations`, and as for `wait`.
        """
        with self.open() as client:
            version = change_operations(
                client, lambda current: change(current, *details)
            )
            self.wait(client, version)

    def wait(self, client: ObjectStore, version: int) -> None:
        """Wait until `version` is in force and print the number of instances.

        Raises
        ------
        NotInForce
            If it is not in force on every instance within `wait_s`.
        """
        show_progress(f'version {version}: stored')
        members = Acceptance(client, LoopClock()).wait(version, self.wait_s)
        text = f'version {version}: in force on {members} instances'
        show_result(Accepted(version, members), text, self.as_json)
