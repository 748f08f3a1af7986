"""Strict reading of YAML files into structs."""

import math
import re
from pathlib import Path
from typing import Any, TypeVar

import yaml
from msgspec import ValidationError, convert
from msgspec import inspect as inspection

from currantmast.errors import SettingsError

ROOT_FIELD = '$'
SECRET_FIELD = 'key'  # Fields so named may hold a key in clear text by mistake.
HIDDEN = 'a value that is not shown'
LARGEST_NUMBER = 2**53  # Beyond it a float no longer holds every integer.

_Section = TypeVar('_Section')
_AT_PATH = re.compile(r' - at `(?:key` in `)?\$\.?(?P<path>[^`]*)`$')
_GOT = re.compile(', got `[^`]*`')
_NAMED_FIELD = re.compile('(?:unknown|required) field `(?P<name>[^`]*)`')
_STEP = re.compile(r'\.\.\.|[^.\[\]]+')  # msgspec shows any key as `...`.


class _StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects aliases, duplicate keys and keys that are no text."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            _raise_at(self.peek_event(), 'alias', 'a value written out in full')
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> dict:
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                _raise_at(key_node, f'key {key!r}', 'keys that are text')
            if key in seen:
                _raise_at(key_node, f'key {key!r} again', 'each key once')
            seen.add(key)
        return super().construct_mapping(node, deep)


class _Rejected(yaml.MarkedYAMLError):
    """A construct that YAML allows and these files do not."""

    def __init__(self, mark: Any, found: str, allowed: str) -> None:
        self.found = found
        self.allowed = allowed
        super().__init__(problem=found, problem_mark=mark)


def _raise_at(node: Any, found: str, allowed: str) -> None:
    raise _Rejected(node.start_mark, found, allowed)


def read_document(path: Path) -> dict:
    """Return the mapping in the YAML file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read, is no YAML mapping, uses an alias, repeats a
        key, or holds a number that is not finite.
    """
    document = _parse_document(path)
    if not isinstance(document, dict):
        raise SettingsError(str(path), ROOT_FIELD, document, 'a mapping of fields')
    _check_numbers(str(path), '', document)
    return document


def convert_document(path: Path, document: dict, section: type[_Section]) -> _Section:
    """Return `document` as a struct.

    Parameters
    ----------
    path : Path
        File of the document, named in errors.
    document : dict
        Plain values as `read_document` returns them.
    section : type
        Struct type with the limits of each field.

    Raises
    ------
    SettingsError
        If a field is unknown, missing, of another type or outside its limits.
    """
    try:
        return convert(document, section)
    except ValidationError as error:
        raise _explain_rejection(str(path), document, section, str(error)) from error


def _parse_document(path: Path) -> Any:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        allowed = 'a readable file in UTF-8'
        raise SettingsError(str(path), ROOT_FIELD, str(error), allowed) from error
    try:
        return yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except _Rejected as error:
        place = _describe_mark(error.problem_mark)
        raise SettingsError(str(path), place, error.found, error.allowed) from error
    except (yaml.YAMLError, ValueError) as error:
        place = _describe_mark(getattr(error, 'problem_mark', None))
        found = getattr(error, 'problem', str(error))
        raise SettingsError(str(path), place, found, 'valid YAML') from error


def _describe_mark(mark: Any) -> str:
    return ROOT_FIELD if mark is None else f'line {mark.line + 1}'


def _check_numbers(file: str, field: str, found: Any) -> None:
    match found:
        case dict():
            for name, inner in found.items():
                _check_numbers(file, f'{field}.{name}'.lstrip('.'), inner)
        case list():
            for index, inner in enumerate(found):
                _check_numbers(file, f'{field}[{index}]', inner)
        case int() | float():
            if abs(found) > LARGEST_NUMBER or not math.isfinite(found):
                allowed = f'finite numbers up to {LARGEST_NUMBER}'
                raise SettingsError(file, field, found, allowed)


def _explain_rejection(
    file: str, document: dict, section: type, message: str
) -> SettingsError:
    place = _AT_PATH.search(message)
    field = place.group('path') if place else ''
    problem = _AT_PATH.sub('', message)
    named = _NAMED_FIELD.search(problem)
    if named:
        return _explain_field(
            file, document, _join(field, named.group('name')), section
        )
    found = _find_value(document, field)
    allowed = _describe_allowed(section, field, problem)
    return SettingsError(file, field or ROOT_FIELD, found, allowed)


def _explain_field(
    file: str, document: dict, field: str, section: type
) -> SettingsError:
    found = _find_value(document, field)
    parent, _, name = field.rpartition('.')
    names = [known.name for known in _find_type(section, parent).fields]
    allowed = ', '.join(names)
    if name in names:
        return SettingsError(file, field, 'no value', f'{name} is required')
    return SettingsError(file, field, found, f'only the fields {allowed}')


def _describe_allowed(section: type, field: str, problem: str) -> str:
    known = _find_type(section, field)
    if isinstance(known, inspection.EnumType):
        return f'one of {", ".join(known.cls)}'
    return _GOT.sub('', problem).removeprefix('Expected ').replace('`', '')


def _join(parent: str, name: str) -> str:
    return f'{parent}.{name}' if parent else name


def _find_value(document: Any, field: str) -> Any:
    found = document
    for step in _STEP.findall(field):
        if isinstance(found, list) and step.isdigit():
            found = found[int(step)]
        elif isinstance(found, dict) and step in found:
            found = found[step]
    return HIDDEN if SECRET_FIELD in field else found


def _find_type(section: type, field: str) -> Any:
    known: Any = inspection.type_info(section)
    for step in _STEP.findall(field):
        match known:
            case inspection.StructType(fields=fields):
                known = next(part.type for part in fields if part.name == step)
            case inspection.VarTupleType(item_type=inner):
                known = inner
            case inspection.DictType(value_type=inner):
                known = inner
    return known
