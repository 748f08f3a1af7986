"""Differences between two configuration documents, by entry; without I/O."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

# Fields of which only the size is shown.
SECRET_FIELDS = frozenset(('api_keys',))


class Difference(msgspec.Struct, frozen=True):
    """An entry that one document has in another form than the other, or not at all.

    Parameters
    ----------
    change : str
        added, removed or changed.
    kind, name : str
        Kind and name of the entry.
    fields : tuple of str
        Changed fields with their values before and after; keys are not shown.
    """

    change: str
    kind: str
    name: str
    fields: tuple[str, ...] = ()


class _Identity(msgspec.Struct, frozen=True, order=True):
    """What tells an entry from the others; `number` counts those of the same name."""

    kind: str
    name: str
    number: int


def list_differences(before: Any, after: Any) -> list[Difference]:
    """Return the entries that differ between two documents that can be read."""
    old = _index_entries(before['resources'])
    new = _index_entries(after['resources'])
    return [
        _compare(identity, old.get(identity), new.get(identity))
        for identity in sorted(old.keys() | new.keys())
        if old.get(identity) != new.get(identity)
    ]


def _index_entries(resources: list[Any]) -> dict[_Identity, dict[str, Any]]:
    indexed: dict[_Identity, dict[str, Any]] = {}
    counts: Counter[_Identity] = Counter()
    for resource in resources:
        entry = resource if isinstance(resource, dict) else {'res_kind': '-'}
        meta = entry.get('meta')
        name = meta.get('name', '') if isinstance(meta, dict) else ''
        first = _Identity(str(entry.get('res_kind')), str(name), 0)
        counts[first] += 1
        numbered = msgspec.structs.replace(first, number=counts[first])
        indexed[numbered] = entry
    return indexed


def _compare(
    identity: _Identity, old: dict[str, Any] | None, new: dict[str, Any] | None
) -> Difference:
    if old is None:
        return Difference('added', identity.kind, identity.name)
    if new is None:
        return Difference('removed', identity.kind, identity.name)
    fields = tuple(_list_fields(old.get('spec'), new.get('spec')))
    return Difference('changed', identity.kind, identity.name, fields)


def _list_fields(old: Any, new: Any) -> Iterator[str]:
    old_fields = old if isinstance(old, dict) else {}
    new_fields = new if isinstance(new, dict) else {}
    for name in sorted(old_fields.keys() | new_fields.keys()):
        before = old_fields.get(name, '-')
        after = new_fields.get(name, '-')
        if before != after:
            yield f'{name}: {_show(name, before)} -> {_show(name, after)}'


def _show(name: str, value: Any) -> str:
    if name not in SECRET_FIELDS:
        return str(value)
    return f'{len(value)} keys' if isinstance(value, list) else 'hidden'
