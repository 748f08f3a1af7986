"""Log lines: one line of key=value fields for each event."""

import json
import re
import sys
from datetime import UTC, datetime
from enum import StrEnum
from types import MappingProxyType
from typing import TextIO

import msgspec

from currantmast.errors import SecretRejected
from currantmast.messages import Address
from currantmast.runtime.logbuffers import LogBuffer

LogValue = str | int | float | bool | StrEnum | Address | BaseException | None

_ACCEPTED = (str, int, float, bool, Address, BaseException, type(None))
_SECRET_FIELDS = frozenset(('authorization', 'key', 'caller_key', 'password'))
_BEARER = re.compile(r'\bbearer\s+\S', re.IGNORECASE)
_PLAIN = re.compile(r'[\w.:/@+<>,*-]+\Z', re.ASCII)


# Levels by rank, the least important first.
LEVELS = MappingProxyType({'DEBUG': 0, 'INFO': 1, 'WARNING': 2, 'ERROR': 3})


class LogContext(msgspec.Struct):
    """The field that every line of this process carries, and where lines go.

    Without a `stream` lines go to the standard error stream.
    """

    instance: str = '-'
    stream: TextIO | LogBuffer | None = None
    level: str = 'INFO'


_context = LogContext()


def configure_logs(
    instance: str, stream: TextIO | LogBuffer | None = None, level: str = 'INFO'
) -> None:
    """Send log lines to `stream`.

    Parameters
    ----------
    instance : str
        Instance id that every line carries.
    stream : text stream or LogBuffer, optional
        Destination; the standard error stream by default.
    level : str
        Least level that is written.
    """
    _context.instance = instance
    _context.stream = stream
    _context.level = level


def log_event(event: str, *, level: str = 'INFO', **fields: LogValue) -> None:
    """Write one line for `event`.

    Parameters
    ----------
    event : str
        Name of the event.
    level : str
        One of `LEVELS`.
    **fields
        Values of plain types. Objects that could hold a caller's key are refused.

    Raises
    ------
    SecretRejected
        If a field is named after a secret, holds an Authorization value, or is of a
        type that is not a plain value (such as `CallerKey`).
    """
    line = format_event(event, level, **fields)
    if LEVELS[level] < LEVELS[_context.level]:
        return
    stream = _context.stream
    if isinstance(stream, LogBuffer):
        stream.write(line, important=LEVELS[level] >= LEVELS['WARNING'])
    else:
        (stream or sys.stderr).write(f'{line}\n')


def format_event(event: str, level: str, **fields: LogValue) -> str:
    """Return the line of an event.

    Raises
    ------
    SecretRejected
        As `log_event` does.
    """
    moment = datetime.now(UTC).isoformat(timespec='milliseconds')
    heading = f'time={moment} level={level} instance={_quote(_context.instance)}'
    parts = [heading, f'event={_quote(event)}']
    for name, content in fields.items():
        parts.append(f'{name}={_format_value(name, content)}')
    return ' '.join(parts)


def _format_value(name: str, content: LogValue) -> str:
    if name.lower() in _SECRET_FIELDS or not isinstance(content, _ACCEPTED):
        kind = type(content).__name__
        raise SecretRejected(f'field {name} of type {kind} must not be logged')
    if isinstance(content, float):
        return f'{content:.6g}'
    if isinstance(content, BaseException):
        text = f'{type(content).__name__}: {content}'
    else:
        text = '-' if content is None else str(content)
    if _BEARER.search(text):
        raise SecretRejected(f'field {name} holds an Authorization value')
    return _quote(text)


def _quote(text: str) -> str:
    return text if _PLAIN.match(text) else json.dumps(text)
