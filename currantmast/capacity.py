"""Estimates of what regions and links can carry, from the typical sizes of services."""

from currantmast.inventory import BYTES_PER_MBIT, Inventory, Route

MS_PER_S = 1000


def estimate_region_rate(inventory: Inventory, region: str) -> float:
    """Return the most requests per second that the targets of `region` can run.

    All services together; each slot runs requests of the typical time one after
    another.
    """
    return sum(
        target.slots * MS_PER_S / inventory.services[target.service].typical_ms
        for target in inventory.targets.values()
        if target.region == region
    )


def estimate_link_rate(inventory: Inventory, source: str, destination: str) -> float:
    """Return the most requests per second that a link can carry.

    Both directions have the same capacity in practice, so request and response are
    counted together, for the service with the smallest typical size: a rate above
    the estimate cannot be carried whatever the mix of services is.
    """
    link = inventory.links[Route(source, destination)]
    smallest = min(service.typical_bytes for service in inventory.services.values())
    return link.capacity_mbit_s * BYTES_PER_MBIT / smallest
