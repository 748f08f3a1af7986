"""Options that commands share, and how they are read."""

from collections.abc import Callable
from typing import Any

import msgspec
from fire import decorators

from currantmast.clocks import LoopClock
from currantmast.errors import SettingsError
from currantmast.fields import ADDRESS_ALLOWED, parse_address
from currantmast.messages import Address
from currantmast.runtime.store import ObjectClient

COMMAND_LINE = 'command line'
# The store serves some hundred writes a second to all; a publication is a short burst.
CALLS_PER_S = 200
DEFAULT_WAIT_S = 10


# Fire shows public attributes of a command as commands of their own in its help.
decorators.FIRE_METADATA = '_fire_metadata'


class Task(msgspec.Struct, frozen=True):
    """A command whose arguments are read.

    Fire calls a command before it rejects the arguments that are left over. Commands
    therefore return a task, which `main` runs only after Fire has accepted all.
    """

    action: Callable[[], None]


def take_texts(*names: str) -> Callable[[Callable], Callable]:
    """Return a decorator that keeps Fire from reading options as numbers."""
    return decorators.SetParseFn(str, *names)


def open_store(text: str) -> ObjectClient:
    """Return a client of the store at ``ip:port``.

    Raises
    ------
    SettingsError
        If `text` is no such address.
    """
    address = read_address('--store', text)
    return ObjectClient(address, LoopClock(), CALLS_PER_S, caller='operator')


def read_address(option: str, text: str) -> Address:
    """Return the address that an option holds.

    Raises
    ------
    SettingsError
        If `text` is no ``ip:port``.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        raise SettingsError(COMMAND_LINE, option, text, ADDRESS_ALLOWED) from error


def read_section(fields: dict[str, Any], section: type) -> Any:
    """Return the struct that options describe.

    Raises
    ------
    SettingsError
        If an option is outside its limits.
    """
    try:
        return msgspec.convert(fields, section)
    except msgspec.ValidationError as error:
        raise SettingsError(COMMAND_LINE, 'options', fields, str(error)) from error


def read_wait(wait_s: Any) -> float:
    """Return the time to wait, in seconds.

    Raises
    ------
    SettingsError
        If `wait_s` is no number from 0 to one day.
    """
    is_number = isinstance(wait_s, int | float) and not isinstance(wait_s, bool)
    if is_number and 0 <= wait_s <= 86_400:
        return float(wait_s)
    raise SettingsError(COMMAND_LINE, '--wait_s', wait_s, 'seconds from 0 to 86400')
