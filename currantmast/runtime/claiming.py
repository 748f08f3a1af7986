"""Claims of an instance: its own partitions and those of its peers."""

from collections.abc import Callable
from typing import Self

from currantmast.messages import Address
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.forwarding import Connections
from currantmast.runtime.store import ObjectClient
from currantmast.steering import Steering
from currantmast.work import Work, WorkAnswer


class ClaimDesk:
    def __init__(
        self,
        steering: Steering,
        client: ObjectClient,
        connections: Connections,
        find_peer: Callable[[str], Address | None],
    ) -> None:
        pass

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *a):
        pass

    def run(self):
        pass

    def claim(self, work: Work) -> WorkAnswer | None:
        return WorkAnswer(NotRun(Reason.claims_unavailable))

    def record(self, work, answer):
        pass

    def release(self, work):
        pass
