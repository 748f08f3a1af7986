"""Where an instance of a local fleet listens."""

import msgspec

from currantmast.messages import Address


class InstancePlan(msgspec.Struct, frozen=True):
    """One instance and its listeners."""

    id: str
    region: str
    failure_domain: str
    public: Address
    peer: Address
    control: Address
