"""The targets that an instance owns: slots, queues and handover."""

from collections.abc import Iterable

from currantmast.clocks import Clock
from currantmast.decisions.handover import Handover
from currantmast.decisions.membership import Observer
from currantmast.decisions.ownership import choose_owner
from currantmast.decisions.slots import SlotQueue, TargetSlots, Waiter
from currantmast.decisions.target_load import LoadReport
from currantmast.deployment import Target
from currantmast.inventory import Inventory
from currantmast.messages import Capacity, FleetRecord, Member, Remaining
from currantmast.outcomes import NotRun, Outcome, Reason

MS_PER_S = 1000


def name_target(target: Target) -> str:
    """Return the name under which `target` is owned."""
    return f'target:{target.id}'


class OwnedTargets:
    """Slots and queues of the targets that this instance owns.

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
    observer : Observer
        Tells which former members have expired.
    """

    __slots__ = (
        '_clock',
        '_former',
        '_handover',
        '_inventory',
        '_member',
        '_observer',
        '_owned',
        '_queues',
        '_record',
        '_settled',
    )

    def __init__(
        self, clock: Clock, member: Member, handover: Handover, observer: Observer
    ) -> None:
        self._clock = clock
        self._member = member
        self._handover = handover
        self._observer = observer
        self._record = FleetRecord(0)
        self._inventory: Inventory | None = None
        self._owned: dict[str, TargetSlots] = {}
        self._former: dict[str, TargetSlots] = {}
        self._settled: set[str] = set()
        self._queues: dict[str, SlotQueue] = {}

    def __repr__(self) -> str:
        """Return the counts."""
        return f'<OwnedTargets owned={len(self._owned)} settled={len(self._settled)}>'

    def adopt_record(self, record: FleetRecord) -> None:
        """Own the targets that `record` gives to this instance."""
        self._record = record
        self._settled.clear()
        self._assign()

    def adopt_inventory(self, inventory: Inventory) -> None:
        """Follow the targets, drains and limits of a new configuration."""
        self._inventory = inventory
        wait_s = inventory.deployment.base.policy.queue_wait_ms / MS_PER_S
        for service in inventory.services.values():
            if service.id not in self._queues:
                self._queues[service.id] = SlotQueue(
                    self._clock, service.queue_limit, wait_s
                )
        self._assign()

    def push(self, service: str, waiter: Waiter) -> NotRun | None:
        """Queue `waiter` for a slot of `service`, or return why it can't wait."""
        usable = self.list_usable(service)
        if not usable:
            return NotRun(Reason.not_owner, f'no usable target of {service}')
        refusal = self._queues[service].push(waiter)
        self._queues[service].dispatch(usable)
        return refusal

    def cancel(self, service: str, request_id: str) -> bool:
        """Remove a waiter; return whether it still waited."""
        return self._queues[service].cancel(request_id)

    def finish(self, slots: TargetSlots, request_id: str, outcome: Outcome) -> None:
        """End a request on a target and start the next waiters."""
        slots.finish(request_id, outcome)
        if not slots.count_running():
            self._former.pop(slots.target.id, None)
        self.dispatch(slots.target.service)

    def dispatch(self, service: str) -> None:
        """Start the waiters of `service` that a slot is free for."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.dispatch(self.list_usable(service))

    def dispatch_all(self) -> None:
        """Start or refuse waiters of all services; to be called periodically."""
        for service in self._queues:
            self.dispatch(service)

    def list_usable(self, service: str) -> list[TargetSlots]:
        """Return the targets of `service` that may be given work now."""
        return [
            slots
            for slots in self._owned.values()
            if slots.target.service == service and self._is_settled(slots)
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

    def list_remaining(self) -> tuple[Remaining, ...]:
        """Return the work that still runs on targets now owned by others."""
        return tuple(
            Remaining(target_id, slots.count_running())
            for target_id, slots in self._former.items()
        )

    def list_capacity(self) -> tuple[Capacity, ...]:
        """Return free and usable slots of each service."""
        return tuple(
            self._sum_capacity(service, queue)
            for service, queue in self._queues.items()
        )

    def count_running(self) -> int:
        """Return the requests that run on targets now."""
        everyone = (*self._owned.values(), *self._former.values())
        return sum(slots.count_running() for slots in everyone)

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
        if slots.count_running():
            self._former[target_id] = slots

    def _take_over(self, target: Target) -> None:
        slots = self._former.pop(target.id, None)
        if slots is None:
            had_owner = self._find_predecessor(target) is not None
            slots = TargetSlots(self._clock, target, warm=had_owner)
        self._owned[target.id] = slots

    def _follow_drain(self, slots: TargetSlots) -> None:
        if self._inventory.is_target_drained(slots.target):
            slots.drain()
        else:
            slots.undrain()

    def _is_settled(self, slots: TargetSlots) -> bool:
        target = slots.target
        if target.id in self._settled:
            return True
        if not self._handover.is_settled(name_target(target), target.region):
            return False
        self._settled.add(target.id)
        self._hold_for_expired(slots)
        return True

    def _hold_for_expired(self, slots: TargetSlots) -> None:
        """Count all slots as used if an expired owner may have left work behind."""
        predecessor = self._find_predecessor(slots.target)
        holder = self._find_departed(predecessor)
        if holder is None:
            return
        now = self._clock.now()
        until = now + self._get_timeout(slots)
        slots.hold(slots.target.slots, until, holder.incarnation, now)

    def _find_departed(self, predecessor: Member | None) -> Member | None:
        departed = [
            entry.member
            for entry in self._record.departures
            if entry.member.region == self._member.region
        ]
        if predecessor is None:
            return departed[0] if departed else None
        runs = {member.incarnation for member in self._record.members}
        return None if predecessor.incarnation in runs else predecessor

    def _find_predecessor(self, target: Target) -> Member | None:
        return self._handover.get_predecessor(name_target(target), target.region)

    def _get_timeout(self, slots: TargetSlots) -> float:
        service = self._inventory.services.get(slots.target.service)
        return 0 if service is None else service.timeout_ms / MS_PER_S

    def _sum_capacity(self, service: str, queue: SlotQueue) -> Capacity:
        usable = self.list_usable(service)
        return Capacity(
            service=service,
            free=sum(slots.count_free() for slots in usable),
            usable=sum(slots.count_usable() for slots in usable),
            queued=len(queue),
        )
