"""Operator commands on a local fleet."""

import time

from currantmast.deployment import Shift
from currantmast.experiment import formats
from currantmast.experiment.fleet import LocalFleet
from currantmast.experiment.plans import digest_key
from currantmast.experiment.processes import CommandResult, ProcessFailed


class Operator:
    """Runs operator commands and waits until they are accepted.

    Parameters
    ----------
    fleet : LocalFleet
        Running fleet.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet

    def __repr__(self) -> str:
        """Return the fleet."""
        return f'<Operator {self._fleet!r}>'

    def drain(self, name: str) -> float:
        """Drain ``<kind>:<id>``; return the monotonic time of acceptance in seconds."""
        return self._run(formats.make_drain(name))

    def undrain(self, name: str) -> float:
        """Undo the drain of ``<kind>:<id>``; return the time of acceptance."""
        return self._run(formats.make_undrain(name))

    def start_shift(self, shift: Shift) -> float:
        """Start or change a shift; return the time of acceptance."""
        return self._run(formats.make_shift(shift))

    def stop_shift(self, shift_id: str) -> float:
        """Stop a shift; return the time of acceptance."""
        return self._run(formats.make_shift_stop(shift_id))

    def issue_key(self, team: str, key: str) -> float:
        """Issue `key` to `team`; return the time of acceptance."""
        return self._run(formats.make_issue(team, digest_key(key)))

    def withdraw_key(self, key: str) -> float:
        """Withdraw `key`; return the time of acceptance."""
        return self._run(formats.make_withdrawal(digest_key(key)))

    def _run(self, arguments: tuple[str, ...]) -> float:
        store = f'--store={self._fleet.plan.store}'
        result = self._fleet.run_command(*arguments, store)
        if result.code:
            raise _describe(arguments, result)
        return time.monotonic()


def _describe(arguments: tuple[str, ...], result: CommandResult) -> ProcessFailed:
    name = ' '.join(arguments[:2])
    return ProcessFailed(name, f'exit code {result.code}', result.output)
