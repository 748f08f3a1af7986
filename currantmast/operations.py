"""Changes of operators, and what they may refer to."""

import re
from collections.abc import Iterable

from msgspec.structs import replace

from currantmast.deployment import Deployment, Operations, Shift
from currantmast.errors import OperationRejected
from currantmast.inventory import Inventory, Route

DRAIN_KINDS = ('target', 'instance', 'region')
_INSTANCE_ID = re.compile('[a-z0-9][a-z0-9._-]{0,63}')


def add_drain(operations: Operations, name: str) -> Operations:
    """Return `operations` with ``<kind>:<id>`` drained."""
    return replace(operations, drained=_add(operations.drained, name))


def remove_drain(operations: Operations, name: str) -> Operations:
    """Return `operations` with ``<kind>:<id>`` in use again.

    Raises
    ------
    OperationRejected
        If it was not drained.
    """
    if name not in operations.drained:
        raise OperationRejected(f'undrain {name}', 'it is not drained')
    return replace(operations, drained=_remove(operations.drained, name))


def start_shift(operations: Operations, shift: Shift) -> Operations:
    """Return `operations` with `shift` active, in place of one with the same id."""
    others = tuple(known for known in operations.shifts if known.id != shift.id)
    return replace(operations, shifts=(*others, shift))


def stop_shift(operations: Operations, shift_id: str) -> Operations:
    """Return `operations` without a shift.

    Raises
    ------
    OperationRejected
        If no such shift is active.
    """
    others = tuple(known for known in operations.shifts if known.id != shift_id)
    if len(others) == len(operations.shifts):
        raise OperationRejected(f'stop shift {shift_id}', 'it is not active')
    return replace(operations, shifts=others)


def issue_key(operations: Operations, digest: str, team: str) -> Operations:
    """Return `operations` with a key of `team` added by its digest."""
    return replace(operations, issued_keys={**operations.issued_keys, digest: team})


def withdraw_key(operations: Operations, digest: str) -> Operations:
    """Return `operations` with a key withdrawn for good.

    The digest stays listed when it was issued, so that issuing it again or
    publishing a base that names it does not bring it back.
    """
    issued = {
        known: team for known, team in operations.issued_keys.items() if known != digest
    }
    withdrawn = _add(operations.withdrawn_keys, digest)
    return replace(operations, issued_keys=issued, withdrawn_keys=withdrawn)


def check_operations(operations: Operations, deployment: Deployment) -> None:
    """Check that `operations` refer to parts of `deployment` only.

    Raises
    ------
    OperationRejected
        At the first one that does not.
    """
    inventory = Inventory(deployment)
    for name in operations.drained:
        _check_drain(name, inventory)
    for shift in operations.shifts:
        _check_shift(shift, inventory)
    for team in operations.issued_keys.values():
        if team not in inventory.teams:
            raise OperationRejected(f'key of team {team}', 'there is no such team')


def _check_drain(name: str, inventory: Inventory) -> None:
    kind, _, part = name.partition(':')
    match kind:
        case 'target':
            known = part in inventory.targets
        case 'region':
            known = part in _list_regions(inventory)
        case 'instance':
            # Instances come and go without a publication.
            known = _INSTANCE_ID.fullmatch(part) is not None
        case _:
            raise OperationRejected(f'drain {name}', f'kinds are {DRAIN_KINDS}')
    if not known:
        raise OperationRejected(f'drain {name}', f'there is no such {kind}')


def _check_shift(shift: Shift, inventory: Inventory) -> None:
    if inventory.find_region(shift.site) != shift.source:
        reason = f'site {shift.site} does not have home region {shift.source}'
        raise OperationRejected(f'shift {shift.id}', reason)
    if Route(shift.source, shift.destination) not in inventory.links:
        reason = f'there is no link from {shift.source} to {shift.destination}'
        raise OperationRejected(f'shift {shift.id}', reason)


def _list_regions(inventory: Inventory) -> frozenset[str]:
    return frozenset(region.id for region in inventory.deployment.base.regions)


def _add(names: Iterable[str], name: str) -> tuple[str, ...]:
    return (*_remove(names, name), name)


def _remove(names: Iterable[str], name: str) -> tuple[str, ...]:
    return tuple(known for known in names if known != name)
