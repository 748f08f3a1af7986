"""Options that commands share, and their parsing."""

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
# The store serves some hundred writes per second to all clients together. A publication
# is only a short burst.
CALLS_PER_S = 200
DEFAULT_WAIT_S = 10

# Fire lists public attributes of a command as subcommands in its help; the underscore
# hides this one.
decorators.FIRE_METADATA = '_fire_metadata'


class Task(msgspec.Struct, frozen=True):
    """A command whose arguments are parsed, ready to run.

    Fire calls a command before it rejects surplus arguments, such as a misspelled option.
    Commands therefore return a task, which `main` runs only after Fire has accepted every
    argument.
    """

    action: Callable[[], None]


def parse_as_strings(*names: str) -> Callable[[Callable], Callable]:
    """Return a decorator that makes Fire pass the named arguments as strings.

    Without it, Fire reads an id such as ``123`` as a number.
    """
    return decorators.SetParseFn(str, *names)


def open_store(text: str) -> ObjectClient:
    """Return a client of the store at ``ip:port``.

    Raises
    ------
    SettingsError
        If `text` is not an ``ip:port`` address.
    """
    address = read_address('--store', text)
    return ObjectClient(address, LoopClock(), CALLS_PER_S, caller='operator')


def read_address(option: str, text: str) -> Address:
    """Parse the ``ip:port`` address in `text`, the value of `option`.

    Raises
    ------
    SettingsError
        If `text` is not an ``ip:port`` address.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        raise SettingsError(COMMAND_LINE, option, text, ADDRESS_ALLOWED) from error


def read_section(fields: dict[str, Any], section: type) -> Any:
    """Convert options to the struct type `section` and check their limits.

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
    """Check the ``--wait_s`` option and return it in seconds.

    Raises
    ------
    SettingsError
        If `wait_s` is not a number from 0 to 86400, which is one day.
    """
    is_number = isinstance(wait_s, int | float) and not isinstance(wait_s, bool)
    if is_number and 0 <= wait_s <= 86_400:
        return float(wait_s)
    raise SettingsError(COMMAND_LINE, '--wait_s', wait_s, 'seconds from 0 to 86400')
