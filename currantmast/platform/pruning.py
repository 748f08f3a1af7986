"""Repair of JSON that a decoder rejects whole because of one part of it."""

import re
from typing import Any

import msgspec

# Nesting that is kept: more than any document has that is of use.
MAX_DEPTH = 64

# Strings, in which brackets mean nothing, and brackets.
_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]|[\]}]', re.DOTALL)

# Strings, and what else stands between brackets, commas and colons, with a colon that
# follows a string: then it is a key.
_SCALARS = re.compile(
    rb'(?P<text>"(?:[^"\\]++|\\.)*+")(?P<colon>\s*:)?|[^\s\[\]{},:"]++', re.DOTALL
)

# Stands for a value that can't be decoded; no type accepts it.
UNDECODABLE = object()

_Parts = dict[str, msgspec.Raw] | list[msgspec.Raw]

# Valid JSON that can be skipped, but not decoded: no number is so large.
_UNDECODABLE = b'1e999'


def prune_json(body: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Return a JSON text with null in place of what is nested too deep.

    The text is scanned without recursion, and not checked otherwise.

    Parameters
    ----------
    body : bytes
        The JSON text.
    max_depth : int
        Deepest nesting of arrays and objects that is kept.
    """
    kept: list[bytes] = []
    kept_from = 0
    depth = 0
    for token in _TOKENS.finditer(body):
        match token[0]:
            case b'[' | b'{':
                depth += 1
                if depth == max_depth + 1:
                    kept.extend((body[kept_from : token.start()], b'null'))
            case b']' | b'}':
                depth -= 1
                if depth == max_depth:
                    kept_from = token.end()
    kept.append(body[kept_from:])
    return b''.join(kept)


def isolate_json(body: bytes) -> bytes:
    """Return a JSON text in which what can't be decoded spoils only what it is part of.

    A decoder that skips over a value still rejects half of a surrogate pair, or a number
    that is none. Such a part is replaced by one that only fails when it is decoded.

    Parameters
    ----------
    body : bytes
        The JSON text.
    """
    return _SCALARS.sub(_replace_undecodable, body)


def salvage_json(body: bytes) -> Any:
    """Return what can be decoded of a JSON text, and `UNDECODABLE` in place of the rest.

    Parameters
    ----------
    body : bytes
        The JSON text.
    """
    return _salvage(isolate_json(prune_json(body)))


def _salvage(text: bytes | msgspec.Raw) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.MsgspecError:
        return _salvage_parts(text)


def _salvage_parts(text: bytes | msgspec.Raw) -> Any:
    try:
        parts = msgspec.json.decode(text, type=_Parts)
    except msgspec.MsgspecError:
        return UNDECODABLE
    if isinstance(parts, dict):
        return {name: _salvage(part) for name, part in parts.items()}
    return [_salvage(part) for part in parts]


def _replace_undecodable(scalar: re.Match[bytes]) -> bytes:
    if _is_decodable(scalar['text'] or scalar[0]):
        return scalar[0]
    if scalar['colon']:
        return b'"":%b,"":' % _UNDECODABLE
    return _UNDECODABLE


def _is_decodable(text: bytes) -> bool:
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except msgspec.MsgspecError:
        return False
    return True
