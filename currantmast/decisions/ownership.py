"""Ownership of keys: rendezvous hashing over the members of a fleet record."""

from collections.abc import Iterable

import xxhash

from currantmast.messages import FleetRecord, Member


def _compute_weight(member: Member, key: str) -> tuple[int, str]:
    name = f'{member.id}\0{key}'.encode()
    return xxhash.xxh3_64_intdigest(name), member.id


def choose_owner(
    record: FleetRecord, key: str, region: str | None = None
) -> Member | None:
    """Return the member that owns `key`.

    The result depends only on the record, so that all processes agree. A member that
    joins or leaves moves only the keys that it gains or loses.

    Parameters
    ----------
    record : FleetRecord
        Record of the epoch in question.
    key : str
        Name of a target, budget or claim partition.
    region : str, optional
        Restricts the candidates to the members of a region.

    Returns
    -------
    Member or None
        None when no member qualifies.
    """
    candidates = (
        member
        for member in record.members
        if not member.leaving and region in {None, member.region}
    )
    return max(
        candidates, key=lambda member: _compute_weight(member, key), default=None
    )


def list_owned(
    record: FleetRecord,
    member_id: str,
    keys: Iterable[str],
    region: str | None = None,
) -> tuple[str, ...]:
    """Return those of `keys` that `member_id` owns, in their order."""
    return tuple(key for key in keys if _is_owner(record, member_id, key, region))


def _is_owner(
    record: FleetRecord, member_id: str, key: str, region: str | None
) -> bool:
    owner = choose_owner(record, key, region)
    return owner is not None and owner.id == member_id
