"""Errors of commands, and the exit code for each kind of error."""

from collections.abc import Iterable

from currantmast.errors import (
    BlocksOverlap,
    ConfigurationError,
    CurrantmastError,
    SettingsError,
    StoreConflict,
    StoreError,
    TaskFailed,
    TransportError,
    ValueTooLarge,
)

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_IN_FORCE = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_TASK_FAILED = 70


class NotInForce(CurrantmastError):
    """A change is stored, but not in force on every instance.

    Parameters
    ----------
    version : int
        Version of the stored configuration.
    unconfirmed : iterable of str
        Descriptions of the instances that have not confirmed the version.
    """

    def __init__(self, version: int, unconfirmed: Iterable[str]) -> None:
        self.version = version
        self.unconfirmed = tuple(unconfirmed)
        shown = ', '.join(self.unconfirmed)
        super().__init__(f'version {version}: stored, not in force on: {shown}')


class DeploymentRejected(CurrantmastError):
    """A deployment contradicts itself; the message lists every contradiction."""


BAD_INPUT = (
    SettingsError,
    DeploymentRejected,
    ConfigurationError,
    BlocksOverlap,
    ValueTooLarge,
)


def choose_exit_code(failure: CurrantmastError) -> int:
    """Return the process exit code for `failure`, for scripts to check."""
    match failure:
        case NotInForce():
            return EXIT_NOT_IN_FORCE
        case StoreConflict():
            return EXIT_CONFLICT
        case _ if isinstance(failure, BAD_INPUT):
            return EXIT_BAD_INPUT
        case StoreError() | TransportError():
            return EXIT_UNREACHABLE
        case TaskFailed():
            return EXIT_TASK_FAILED
    return EXIT_FAILED
