"""The status that an instance shows to operators."""

import msgspec

from currantmast.decisions.membership import get_key
from currantmast.messages import Member
from currantmast.steering import Steering


class MemberStatus(msgspec.Struct, frozen=True):
    """What this instance knows of a member; `heard_s` is None if never heard."""

    id: str
    incarnation: str
    version: int
    epoch: int
    heard_s: float | None
    leaving: bool


class CapacityStatus(msgspec.Struct, frozen=True):
    """Slots of one service at the owned targets, and requests that wait for them."""

    free: int
    usable: int
    queued: int


class Status(msgspec.Struct, frozen=True):
    """State of one instance.

    Parameters
    ----------
    version : int
        Configuration version in force here.
    leased, lease_reason : bool, str
        Whether this instance may admit keyed work, and why.
    role : str
        ``witness`` or ``member``, ``leaving``, or ``outside`` the fleet.
    expiring : tuple of str
        Former members whose lease may still be valid.
    refused : dict
        Requests not done, by reason.
    """

    id: str
    incarnation: str
    epoch: int
    version: int
    leased: bool
    lease_reason: str
    role: str
    members: tuple[MemberStatus, ...]
    expiring: tuple[str, ...]
    capacity: dict[str, CapacityStatus]
    refused: dict[str, int]
    drained: tuple[str, ...]
    suspects: dict[str, str]
    shares: dict[str, tuple[float, float]]
    store_calls: int


def describe_status(steering: Steering, store_calls: int) -> Status:
    """Return the status of the instance that `steering` decides for.

    Parameters
    ----------
    steering : Steering
        Decisions of the instance.
    store_calls : int
        Calls that it has made on the object API.
    """
    peering = steering.peering
    listed = {get_key(member) for member in peering.record.members}
    unexpired = peering.tracker.list_unexpired()
    operations = steering.configuration and steering.configuration.deployment.operations
    return Status(
        id=steering.member.id,
        incarnation=steering.member.incarnation,
        epoch=peering.record.epoch,
        version=peering.version,
        leased=steering.lease.is_valid(),
        lease_reason=steering.lease.explain(),
        role=_describe_role(steering),
        members=tuple(
            _describe_member(steering, member) for member in peering.record.members
        ),
        expiring=tuple(
            member.id for member in unexpired if get_key(member) not in listed
        ),
        capacity={
            entry.service: CapacityStatus(entry.free, entry.usable, entry.queued)
            for entry in steering.placement.list_capacity()
        },
        refused=dict(steering.refused),
        drained=operations.drained if operations else (),
        suspects={
            suspect.fingerprint: suspect.state
            for suspect in steering.quarantine.list_suspects()
        },
        shares={
            share.budget: (share.rate, share.burst)
            for share in peering.shares.list_held()
        },
        store_calls=store_calls,
    )


def _describe_role(steering: Steering) -> str:
    peering = steering.peering
    for member in peering.record.members:
        if member.incarnation == steering.member.incarnation and member.leaving:
            return 'leaving'
    if not peering.is_member:
        return 'outside'
    return 'witness' if peering.is_witness else 'member'


def _describe_member(steering: Steering, member: Member) -> MemberStatus:
    tracker = steering.peering.tracker
    own = member.incarnation == steering.member.incarnation
    heard_s = 0 if own else tracker.get_silence(member)
    return MemberStatus(
        id=member.id,
        incarnation=member.incarnation,
        version=(
            steering.peering.version
            if own
            else tracker.get_version(member.id, member.incarnation)
        ),
        epoch=tracker.get_epoch(member.id, member.incarnation),
        heard_s=heard_s,
        leaving=member.leaving,
    )
