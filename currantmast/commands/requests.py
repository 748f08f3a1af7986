"""The story of one request, from the logs of all instances."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path
from types import MappingProxyType

import msgspec

from currantmast.errors import CurrantmastError

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

# Events that change what an instance believes; the newest before a request tell what it
# was decided on.
BELIEFS = frozenset(
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
ABOUT_TARGETS = frozenset(
    (
        'entry_gone',
        'target_ejected',
        'target_listed',
        'target_probed',
        'target_unreachable',
    )
)


# Events that end what another one began; only the newer of two tells what was believed.
OPPOSED = MappingProxyType(
    {
        'member_heard': 'member_silent',
        'store_regained': 'store_lost',
        'target_probed': 'target_ejected',
    }
)
# The usual state of a member, which explains nothing.
USUAL = 'member_heard'


class RequestUnknown(CurrantmastError):
    """No line of the logs names the request."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Parameters
    ----------
    time, instance, event : str
        When, where and what.
    fields : dict of str
        Everything else.
    """

    time: str
    instance: str
    event: str
    fields: dict[str, str]


class Story(msgspec.Struct, frozen=True):
    """What happened to a request, and what was believed then."""

    request: str
    lines: list[LogLine]
    beliefs: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Return the log line in `text`, or None when it is cut or something else."""
    fields = {name: _unquote(found) for name, found in FIELD.findall(text)}
    try:
        return LogLine(
            fields.pop('time'), fields.pop('instance'), fields.pop('event'), fields
        )
    except KeyError:
        return None


def tell_story(request: str, texts: Iterable[str]) -> Story:
    """Return the story of `request` from log lines in any order.

    Raises
    ------
    RequestUnknown
        If no line names it.
    """
    parsed = [line for line in map(parse_line, texts) if line is not None]
    parsed.sort(key=lambda line: line.time)
    own = [line for line in parsed if line.fields.get('request') == request]
    if not own:
        raise RequestUnknown(f'{request}: no line names it')
    return Story(request, own, _find_beliefs(parsed, own))


def show_story(request: str, paths: tuple[str, ...], as_json: bool) -> None:
    """Print the story of `request` from the files at `paths`.

    Raises
    ------
    RequestUnknown
        If no line names it.
    """
    texts = [
        line
        for path in paths
        for line in Path(path).read_text(errors='replace').splitlines()
    ]
    story = tell_story(request, texts)
    if as_json:
        sys.stdout.write(f'{json.dumps(msgspec.to_builtins(story))}\n')
    else:
        sys.stdout.write(format_story(story))


def format_story(story: Story) -> str:
    """Return a story as text."""
    beliefs = [f'  {_format_line(line)}' for line in story.beliefs]
    lines = [f'  {_format_line(line)}' for line in story.lines]
    parts = [f'request {story.request}', *lines, 'believed then', *beliefs]
    return '\n'.join((*parts, ''))


def _find_beliefs(parsed: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return the newest belief of each kind before the end, at the instances concerned."""
    end = own[-1].time
    instances = {ending.instance for ending in own}
    targets = {
        target
        for ending in own
        for target in ending.fields.get('targets', '').split(',')
    }
    newest = {
        _find_subject(line): line
        for line in parsed
        if line.instance in instances and line.time <= end and _concerns(line, targets)
    }
    telling = [line for line in newest.values() if line.event != USUAL]
    return sorted(telling, key=lambda line: line.time)


def _concerns(line: LogLine, targets: set[str]) -> bool:
    if line.event in ABOUT_TARGETS:
        return _find_target(line) in targets
    return line.event in BELIEFS


def _find_subject(line: LogLine) -> tuple[str | None, ...]:
    """Return what a line is about: a newer one about the same replaces it."""
    event = OPPOSED.get(line.event, line.event)
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
