"""The targets that an instance owns: their slots and their handover."""

from collections.abc import Iterable

from currantmast.clocks import Clock
from currantmast.decisions.handover import Handover
from currantmast.decisions.membership import MembershipTracker
from currantmast.decisions.ownership import choose_owner
from currantmast.decisions.slots import TargetSlots
from currantmast.decisions.target_load import LoadReport
from currantmast.deployment import Target
from currantmast.inventory import Inventory
from currantmast.messages import FleetRecord, Member, Remaining
from currantmast.takeover import Takeover, name_target

MS_PER_S = 1000


class TargetTable:
    """Slots of the targets that this instance owns.

    A target is usable once its earlier owner can't start work on it any more. Slots on
    which an earlier owner may still have work count as used.

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

    __slots__ = (
        '_clock',
        '_former',
        '_inventory',
        '_member',
        '_owned',
        '_record',
        '_settled',
        '_taken',
        '_takeover',
    )

    def __init__(
        self,
        clock: Clock,
        member: Member,
        handover: Handover,
        tracker: MembershipTracker,
    ) -> None:
        self._clock = clock
        self._member = member
        self._takeover = Takeover(clock, member, handover, tracker)
        self._record = FleetRecord(0)
        self._inventory: Inventory | None = None
        self._owned: dict[str, TargetSlots] = {}
        self._former: dict[str, TargetSlots] = {}
        self._settled: set[str] = set()
        # Epoch in which each target was taken over, until it is settled.
        self._taken: dict[str, int] = {}

    def __repr__(self) -> str:
        """Return the counts."""
        return f'<TargetTable owned={len(self._owned)} settled={len(self._settled)}>'

    def adopt_record(self, record: FleetRecord) -> None:
        """Own the targets that `record` gives to this instance."""
        self._record = record
        self._settled.clear()
        self._assign()

    def adopt_inventory(self, inventory: Inventory) -> None:
        """Follow the targets and drains of a new configuration."""
        self._inventory = inventory
        self._assign()

    def list_usable(self, service: str) -> list[TargetSlots]:
        """Return the targets of `service` that may be given work now."""
        return [
            slots
            for slots in self._owned.values()
            if slots.target.service == service and self._is_handed_over(slots)
        ]

    def list_owned(self) -> tuple[Target, ...]:
        """Return the targets that the fleet record gives to this instance."""
        return tuple(slots.target for slots in self._owned.values())

    def observe_load(self, target_id: str, report: LoadReport) -> None:
        """Take the load report of an owned target into account."""
        slots = self._owned.get(target_id)
        if slots is not None:
            slots.observe_load(report)

    def observe_remaining(self, sender: str, remaining: Iterable[Remaining]) -> None:
        """Hold the slots on which `sender`, a former owner, still has work.

        A sender that no longer reports a target has finished its work there.
        """
        running = {entry.target: entry.running for entry in remaining}
        for target_id, slots in self._owned.items():
            count = running.get(target_id, 0)
            slots.hold(count, self._clock.now() + self._get_timeout(slots), sender)

    def release_former(self, slots: TargetSlots) -> None:
        """Forget a target that another instance owns once its work has ended."""
        if not slots.count_running():
            self._former.pop(slots.target.id, None)

    def list_remaining(self) -> tuple[Remaining, ...]:
        """Return the work that still runs on targets now owned by others."""
        return tuple(
            Remaining(target_id, slots.count_running())
            for target_id, slots in self._former.items()
        )

    def _assign(self) -> None:
        if self._inventory is None:
            return
        wanted = {
            target.id: target
            for target in self._inventory.targets.values()
            if self._owns(target)
        }
        for target_id in set(self._owned) - set(wanted):
            self._give_up(target_id)
        for target_id in set(wanted) - set(self._owned):
            self._take_over(wanted[target_id])
        for slots in self._owned.values():
            self._follow_drain(slots)

    def _owns(self, target: Target) -> bool:
        if target.region != self._member.region:
            return False
        owner = choose_owner(self._record, name_target(target), target.region)
        return owner is not None and owner.incarnation == self._member.incarnation

    def _give_up(self, target_id: str) -> None:
        slots = self._owned.pop(target_id)
        self._settled.discard(target_id)
        self._taken.pop(target_id, None)
        if slots.count_running():
            self._former[target_id] = slots

    def _take_over(self, target: Target) -> None:
        slots = self._former.pop(target.id, None)
        if slots is None:
            warm = self._takeover.is_warm(target, self._record)
            slots = TargetSlots(self._clock, target, warm=warm)
        self._owned[target.id] = slots
        self._taken[target.id] = self._record.epoch

    def _follow_drain(self, slots: TargetSlots) -> None:
        if self._inventory.is_target_drained(slots.target):
            slots.drain()
        else:
            slots.undrain()

    def _is_handed_over(self, slots: TargetSlots) -> bool:
        target = slots.target
        if target.id in self._settled:
            return True
        if not self._takeover.is_handed_over(target):
            return False
        self._settled.add(target.id)
        since = self._taken.pop(target.id, None)
        if since is not None:
            timeout_s = self._get_timeout(slots)
            self._takeover.hold_for_expired(slots, self._record, since, timeout_s)
        return True

    def _get_timeout(self, slots: TargetSlots) -> float:
        service = self._inventory.services.get(slots.target.service)
        return 0 if service is None else service.timeout_ms / MS_PER_S
