"""The ramp-ups of all targets: who may send, and what instances tell one another of them."""

from collections.abc import Mapping

from currantmast.direct.coldstart import ColdStartLimit
from currantmast.direct.configurations import CurrentConfiguration
from currantmast.direct.rampup import Situation
from currantmast.direct.targets import Target, TargetTable

# Most levels in a heartbeat, which keeps the datagram small; the lowest are told.
MAX_TOLD = 60


class Ramping:
    """Ramp-ups of all targets, in force while the configuration asks for overload control.

    Parameters
    ----------
    configuration : CurrentConfiguration
        The configuration in force.
    targets : TargetTable
        All targets.
    cold_start_limit : ColdStartLimit
        Ranks of the members for each target.
    """

    __slots__ = ('_configuration', '_ranks', '_targets')

    def __init__(
        self,
        configuration: CurrentConfiguration,
        targets: TargetTable,
        cold_start_limit: ColdStartLimit,
    ) -> None:
        self._configuration = configuration
        self._targets = targets
        self._ranks = cold_start_limit

    def count_active(self) -> int:
        """End the ramp-ups that are due, and return the number of the others."""
        return sum(not self._is_over(target) for target in self._targets.list_all())

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return '<Ramping>'

    def may_send(self, target: Target) -> bool:
        """Return whether the ramp-up of `target`, if any, allows a request now."""
        if not (self._configuration.has_overload_control and target.ramp_up.active):
            return True
        if target.cold_start.is_cold() and target.ramp_up.begins_unused():
            target.cold_start.start_full()
        return target.ramp_up.allows(
            Situation(
                rank=self._ranks.get_rank(target.record),
                members=self._ranks.member_count,
                slots=target.record.slots,
                load=target.load,
                in_flight=target.in_flight,
                cold_until=target.cold_start.ends_at,
            )
        )

    def list_told(self) -> dict[str, int]:
        """Return the levels of targets that gave this instance bad answers, by id."""
        if not self._configuration.has_overload_control:
            return {}
        levels = [
            (target.ramp_up.get_told_level(), target.record.id)
            for target in self._targets.list_all()
        ]
        told = sorted((level, name) for level, name in levels if level is not None)
        return {name: level for level, name in told[:MAX_TOLD]}

    def note_peers(self, levels: Mapping[str, int]) -> None:
        """Record the levels that other members told after bad answers."""
        for target_id, level in levels.items():
            target = self._targets.get(target_id)
            if target is not None:
                target.ramp_up.note_peer_level(level)

    def _is_over(self, target: Target) -> bool:
        # Asking ends a ramp-up that is due, also of a target that nobody sends to.
        self.may_send(target)
        return not (self._configuration.has_overload_control and target.ramp_up.active)
