"""Trace of one request, collected from the logs of several instances."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path
from types import MappingProxyType

import msgspec

from currantmast.errors import CurrantmastError

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

# Events that report a change of an instance's state. The newest ones before a request
# ended show the state that its routing decisions were based on.
STATE_EVENTS = frozenset(
    (
        'configuration_in_force',
        'domains_evacuated',
        'entry_gone',
        'history_gone',
        'member_heard',
        'member_removed',
        'member_silent',
        'settings_reloaded',
        'started',
        'stopping',
        'store_lost',
        'store_regained',
        'target_ejected',
        'target_listed',
        'target_probed',
        'target_unreachable',
    )
)
TARGET_EVENTS = frozenset(
    (
        'entry_gone',
        'target_ejected',
        'target_listed',
        'target_probed',
        'target_unreachable',
    )
)

# Maps an event to the one that reports the opposite state. Of such a pair, only the newer
# line describes the current state.
OPPOSITE_EVENTS = MappingProxyType(
    {
        'member_heard': 'member_silent',
        'store_regained': 'store_lost',
        'target_probed': 'target_ejected',
    }
)
# Reports the normal state of a member, which is left out of a trace.
NORMAL_EVENT = 'member_heard'


class RequestUnknown(CurrantmastError):
    """No log line contains the request id."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Parameters
    ----------
    time, instance, event : str
        Time of the event, id of the instance that logged it, and name of the event.
    fields : dict of str
        All other fields of the line.
    """

    time: str
    instance: str
    event: str
    fields: dict[str, str]


class RequestTrace(msgspec.Struct, frozen=True):
    """Log lines of a request, and the state of the instances that served it.

    Parameters
    ----------
    request : str
        Id of the request.
    lines : list of LogLine
        Lines of the request, ordered by time.
    beliefs : list of LogLine
        Lines that describe what these instances knew when the request ended, such as
        the configuration version and the state of its targets.
    """

    request: str
    lines: list[LogLine]
    beliefs: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Return the log line in `text`, or None if it is truncated or no log line."""
    fields = {name: _unquote(found) for name, found in FIELD.findall(text)}
    try:
        return LogLine(
            fields.pop('time'), fields.pop('instance'), fields.pop('event'), fields
        )
    except KeyError:
        return None


def build_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Return the trace of `request` from log lines in any order.

    Raises
    ------
    RequestUnknown
        If no log line contains its id.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    parsed.sort(key=lambda line: line.time)
    request_lines = [line for line in parsed if line.fields.get('request') == request]
    if not request_lines:
        raise RequestUnknown(f'{request}: no log line contains this request id')
    return RequestTrace(
        request, request_lines, _find_state_lines(parsed, request_lines)
    )


def show_trace(request: str, paths: tuple[str, ...], as_json: bool) -> None:
    """Print the trace of `request` from the log files at `paths`.

    Raises
    ------
    RequestUnknown
        If no log line contains its id.
    """
    texts = [
        line
        for path in paths
        for line in Path(path).read_text(errors='replace').splitlines()
    ]
    trace = build_trace(request, texts)
    if as_json:
        sys.stdout.write(f'{json.dumps(msgspec.to_builtins(trace))}\n')
    else:
        sys.stdout.write(format_trace(trace))


def format_trace(trace: RequestTrace) -> str:
    """Return a trace as text."""
    state_lines = [f'  {_format_line(line)}' for line in trace.beliefs]
    lines = [f'  {_format_line(line)}' for line in trace.lines]
    parts = [
        f'request {trace.request}',
        *lines,
        'state of the instances at that time',
        *state_lines,
    ]
    return '\n'.join((*parts, ''))


def _find_state_lines(
    parsed: list[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """Return the newest state line of each subject up to the end of the request.

    Only instances that logged the request and targets that it was sent to count.
    """
    end = request_lines[-1].time
    instances = {request_line.instance for request_line in request_lines}
    targets = {
        target
        for request_line in request_lines
        for target in request_line.fields.get('targets', '').split(',')
    }
    newest = {
        _find_subject(line): line
        for line in parsed
        if line.instance in instances
        and line.time <= end
        and _is_relevant(line, targets)
    }
    shown = [line for line in newest.values() if line.event != NORMAL_EVENT]
    return sorted(shown, key=lambda line: line.time)


def _is_relevant(line: LogLine, targets: set[str]) -> bool:
    if line.event in TARGET_EVENTS:
        return _find_target(line) in targets
    return line.event in STATE_EVENTS


def _find_subject(line: LogLine) -> tuple[str | None, ...]:
    """Return the subject of a line; a newer line on the same subject replaces it."""
    event = OPPOSITE_EVENTS.get(line.event, line.event)
    names = (line.fields.get('topic'), line.fields.get('member'), _find_target(line))
    return (line.instance, event, *names)


def _find_target(line: LogLine) -> str:
    return line.fields.get('target') or line.fields.get('name', '')


def _format_line(line: LogLine) -> str:
    fields = ' '.join(f'{name}={text}' for name, text in line.fields.items())
    return f'{line.time} {line.instance} {line.event} {fields}'


def _unquote(found: str) -> str:
    if not found.startswith('"'):
        return found
    try:
        return json.loads(found)
    except ValueError:
        return found.strip('"')
