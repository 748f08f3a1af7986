"""Taking over targets from an owner that may have left work on them."""

from currantmast.clocks import Clock
from currantmast.decisions.handover import Handover
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
    """

    __slots__ = ('_clock', '_handover', '_member')

    def __init__(self, clock: Clock, member: Member, handover: Handover) -> None:
        self._clock = clock
        self._member = member
        self._handover = handover

    def __repr__(self) -> str:
        """Return the instance that takes over."""
        return f'<Takeover by {self._member.id}>'

    def is_settled(self, target: Target) -> bool:
        """Return whether no earlier owner can start work on `target` any more."""
        return self._handover.is_settled(name_target(target), target.region)

    def find_predecessor(self, target: Target) -> Member | None:
        """Return the newest earlier owner of `target`, if this instance knows one."""
        return self._handover.get_predecessor(name_target(target), target.region)

    def hold_for_expired(
        self, slots: TargetSlots, record: FleetRecord, timeout_s: float
    ) -> None:
        """Count all slots as used if an expired owner may have left work behind.

        Parameters
        ----------
        slots : TargetSlots
            A target that has just been settled.
        record : FleetRecord
            Record in force.
        timeout_s : float
            Longest time in seconds that a request of the service takes.
        """
        holder = self._find_expired(slots.target, record)
        if holder is not None:
            now = self._clock.now()
            until = now + timeout_s
            slots.hold(slots.target.slots, until, holder.incarnation, now)

    def _find_expired(self, target: Target, record: FleetRecord) -> Member | None:
        predecessor = self.find_predecessor(target)
        if predecessor is None:
            return self._find_departed(record)
        runs = {member.incarnation for member in record.members}
        return None if predecessor.incarnation in runs else predecessor

    def _find_departed(self, record: FleetRecord) -> Member | None:
        """Return a former member that may have owned targets of this region."""
        for entry in record.departures:
            if entry.member.region == self._member.region:
                return entry.member
        return None
