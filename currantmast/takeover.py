"""Taking over targets from an owner that may have left work on them."""

from currantmast.clocks import Clock
from currantmast.decisions.handover import Handover
from currantmast.decisions.membership import MembershipTracker
from currantmast.decisions.slots import TargetSlots
from currantmast.deployment import Target
from currantmast.messages import FleetRecord, Member


def name_target(target: Target) -> str:
    """Return the name under which `target` is owned."""
    return f'target:{target.id}'


class Takeover:
    """Tells when a target may be used, and holds the slots of an expired owner.

    Parameters
    ----------
    clock : Clock
        Source of time.
    member : Member
        This instance.
    handover : Handover
        Tells which targets no earlier owner can use.
    tracker : MembershipTracker
        Tells which owners have confirmed that they gave a target up.
    """

    __slots__ = ('_clock', '_handover', '_member', '_tracker')

    def __init__(
        self,
        clock: Clock,
        member: Member,
        handover: Handover,
        tracker: MembershipTracker,
    ) -> None:
        self._clock = clock
        self._member = member
        self._handover = handover
        self._tracker = tracker

    def __repr__(self) -> str:
        """Return the instance that takes over."""
        return f'<Takeover by {self._member.id}>'

    def is_handed_over(self, target: Target) -> bool:
        """Return whether no earlier owner can start work on `target` any more."""
        return self._handover.is_handed_over(name_target(target), target.region)

    def find_predecessor(self, target: Target) -> Member | None:
        """Return the newest earlier owner of `target`, if this instance knows one."""
        return self._handover.get_previous_owner(name_target(target), target.region)

    def is_warm(self, target: Target, record: FleetRecord) -> bool:
        """Return whether another instance has used `target` until now.

        An instance that has just joined knows no earlier owner; the other members of
        the region owned its targets.
        """
        if self.find_predecessor(target) is not None:
            return True
        return any(
            member.region == target.region and member.id != self._member.id
            for member in record.members
        )

    def hold_for_expired(
        self, slots: TargetSlots, record: FleetRecord, since: int, timeout_s: float
    ) -> None:
        """Count all slots as used if an expired owner may have left work behind.

        An owner that confirmed the takeover reports what it still runs instead.

        Parameters
        ----------
        slots : TargetSlots
            A target that has just been settled.
        record : FleetRecord
            Record in force.
        since : int
            Epoch in which this instance became the owner.
        timeout_s : float
            Longest time in seconds that a request of the service takes.
        """
        holder = self.find_predecessor(slots.target) or self._find_departed(record)
        if holder is None:
            return
        if self._tracker.has_confirmed(holder.id, holder.incarnation, since):
            return
        now = self._clock.now()
        slots.hold(slots.target.slots, now + timeout_s, holder.incarnation, now)

    def _find_departed(self, record: FleetRecord) -> Member | None:
        """Return a former member that may have owned targets of this region.

        A member that was leaving owned none any more, and its successors were told
        what it still ran.
        """
        for entry in record.departures:
            member = entry.member
            if member.region == self._member.region and not member.leaving:
                return member
        return None
