"""Placement of requests on the owned targets, through queues for their slots."""

from currantmast.clocks import Clock
from currantmast.decisions.slots import SlotQueue, TargetSlots, Waiter
from currantmast.inventory import Inventory
from currantmast.messages import Capacity
from currantmast.outcomes import NotRun, Outcome, Reason
from currantmast.target_table import TargetTable

MS_PER_S = 1000


class Placement:
    """Gives requests slots of the targets that this instance owns.

    Parameters
    ----------
    clock : Clock
        Source of time.
    targets : TargetTable
        The owned targets.
    """

    __slots__ = ('_clock', '_queues', '_targets')

    def __init__(self, clock: Clock, targets: TargetTable) -> None:
        self._clock = clock
        self._targets = targets
        self._queues: dict[str, SlotQueue] = {}

    def __repr__(self) -> str:
        """Return the number of waiting requests."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return f'<Placement waiting={waiting}>'

    def adopt_inventory(self, inventory: Inventory) -> None:
        """Add queues for new services; limits of running queues stay."""
        wait_s = inventory.deployment.base.policy.queue_wait_ms / MS_PER_S
        for service in inventory.services.values():
            if service.id not in self._queues:
                self._queues[service.id] = SlotQueue(
                    self._clock, service.queue_limit, wait_s
                )

    def push(self, service: str, waiter: Waiter) -> NotRun | None:
        """Queue `waiter` for a slot of `service`, or return why it can't wait."""
        usable = self._targets.list_usable(service)
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
        self._targets.release_former(slots)
        self.dispatch(slots.target.service)

    def dispatch(self, service: str) -> None:
        """Start the waiters of `service` that a slot is free for."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.dispatch(self._targets.list_usable(service))

    def dispatch_all(self) -> None:
        """Start or refuse waiters of all services; to be called periodically."""
        for service in self._queues:
            self.dispatch(service)

    def list_capacity(self) -> tuple[Capacity, ...]:
        """Return free and usable slots of each service."""
        return tuple(
            self._sum_capacity(service, queue)
            for service, queue in self._queues.items()
        )

    def _sum_capacity(self, service: str, queue: SlotQueue) -> Capacity:
        usable = self._targets.list_usable(service)
        return Capacity(
            service=service,
            free=sum(slots.count_free() for slots in usable),
            usable=sum(slots.count_usable() for slots in usable),
            queued=len(queue),
        )
