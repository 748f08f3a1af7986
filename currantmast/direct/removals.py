"""Removal of the records of members that have gone."""

from currantmast.direct.members import Members
from currantmast.direct.model import InstanceRecord

# Time without a heartbeat after which a member's record may be removed. By then its lease
# has expired, so its share of the rate limits can be given to others.
REMOVAL_TIMEOUT_S = 8.0


def list_removable(members: Members) -> tuple[InstanceRecord, ...]:
    """Return the records that this instance should remove.

    Only the living entry instance of a region with the smallest id removes the records of
    its region, so that members don't race. The records of a region in which no member
    lives are removed by the one with the smallest id of all.
    """
    own = members.own
    if own.id not in members.entries:
        return ()
    alive = [peer for peer in members.list_peers() if members.is_alive(peer.id)]
    entries = members.entries.pick(alive)
    is_first = all(own.id < peer.id for peer in entries)
    is_first_locally = all(
        own.id < peer.id for peer in entries if members.is_local(peer)
    )
    first_regions = {own.location.region} if is_first_locally else set()
    if is_first:
        living_regions = {peer.location.region for peer in alive}
        all_regions = {peer.location.region for peer in members.list_peers()}
        first_regions |= all_regions - living_regions - {own.location.region}
    return tuple(
        peer
        for peer in members.list_peers()
        if peer.location.region in first_regions
        and members.measure_silence(peer) > REMOVAL_TIMEOUT_S
    )
