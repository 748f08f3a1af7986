"""Loads on a shared fleet, each with a history of its own."""

import time
from collections import Counter
from collections.abc import Iterable, Iterator
from types import TracebackType
from typing import Self

import gevent
from loguru import logger
from msgspec.structs import replace

from currantmast.deployment import Operations
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.histories import DONE, Violations
from currantmast.experiment.inspection import collect_executions, inspect_history
from currantmast.experiment.load import Load, LoadShape
from currantmast.experiment.records import Call, Drain, Execution, History, Withdrawal
from currantmast.outcomes import Reason

MOST_SHOWN = 20
"""Calls that are shown when a test fails."""

COMMON_REASONS = frozenset(('', Reason.rate_exceeded, Reason.claims_unavailable))


class Scenario:
    """One experiment on a running fleet; a context manager.

    Several scenarios may use one fleet after each other: each sees only the executions of its own
    calls, by the prefix of their ids.

    Parameters
    ----------
    fleet : LocalFleet
        Running fleet.
    name : str
        Prefix of the call ids, unique on the fleet.
    seed : int
        Seed of the load.

    Attributes
    ----------
    load : Load
        Callers of this scenario.
    history : History
        What was recorded; complete after `inspect`.
    operations : Operations
        Operations that were in force, for the checks.
    """

    def __init__(self, fleet: LocalFleet, name: str, seed: int = 1) -> None:
        self.fleet = fleet
        self.name = name
        self.load = Load(fleet.plan, seed, name)
        self.history = History(calls=self.load.calls)
        self.operations = Operations()
        self._running: list[gevent.Greenlet] = []

    def __enter__(self) -> Self:
        """Return the scenario itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the load; after a failure show what the processes wrote."""
        if failure is not None:
            self._show_calls()
            self.fleet.show_outputs()
        gevent.killall(self._running)
        self.load.__exit__(kind, failure, trace)

    def __repr__(self) -> str:
        """Return the name and the load."""
        return f'<Scenario {self.name} {self.load!r}>'

    @property
    def calls(self) -> list[Call]:
        """Calls recorded so far."""
        return self.history.calls

    def run(self, shape: LoadShape) -> None:
        """Send a load and wait for its end."""
        self.load.run(shape)

    def start(self, shape: LoadShape) -> None:
        """Send a load in the background."""
        self._running.append(self.load.spawn(shape))

    def join(self) -> None:
        """Wait for the loads in the background; raise the first failure."""
        gevent.joinall(self._running, raise_error=True)

    def stop(self) -> None:
        """Send nothing more and wait for the calls that still run."""
        gevent.killall(self._running)
        self.load.join()

    def note_drain(self, target: str) -> None:
        """Record that the drain of `target` has just been accepted."""
        self.history.drains.append(Drain(target, time.monotonic()))

    def note_withdrawal(self, key: str) -> None:
        """Record that the withdrawal of the key of that name has just been accepted."""
        self.history.withdrawals.append(Withdrawal(key, time.monotonic()))

    def inspect(self) -> Violations:
        """Read the executions and return every violation.

        Raises
        ------
        ProcessFailed
            If a process ended by itself.
        """
        self.fleet.check_running()
        self.history.executions = list(self._list_executions())
        deployment = self.fleet.plan.deployment
        return inspect_history(
            self.history, replace(deployment, operations=self.operations)
        )

    def _show_calls(self) -> None:
        unusual = [call for call in self.calls if call.reason not in COMMON_REASONS]
        for call in unusual[:MOST_SHOWN]:
            logger.error('event=call {}', call)

    def _list_executions(self) -> Iterator[Execution]:
        for execution in collect_executions(self.fleet.controls, self.fleet.plan):
            if execution.call_id.startswith(f'{self.name}-'):
                yield execution


def count_unanswered(
    calls: Iterable[Call], besides: tuple[Reason, ...] = ()
) -> dict[str, int]:
    """Return how many calls did not end as done, by kind, outcome and reason.

    Parameters
    ----------
    calls : iterable of Call
        Recorded calls.
    besides : tuple of Reason
        Reasons that are not counted.
    """
    return Counter(
        f'{call.kind} {call.outcome} {call.reason}'
        for call in calls
        if call.outcome != DONE and call.reason not in besides
    )
