"""What an instance believes of its world, kept up to date by the followers."""

from typing import Any

from currantmast.clocks import Clock
from currantmast.direct.coldstart import ColdStartLimit
from currantmast.direct.configurations import CurrentConfiguration, PartPicker
from currantmast.direct.exchanges import Exchanges
from currantmast.direct.freshness import Freshness
from currantmast.direct.members import Members
from currantmast.direct.model import (
    Bounds,
    Configuration,
    InstanceRecord,
    TargetRecord,
)
from currantmast.direct.placement import Placement
from currantmast.direct.rates import TeamRates
from currantmast.direct.retries import RetryBudgets
from currantmast.direct.targets import TargetTable
from currantmast.runtime.logs import log_event


class Beliefs:
    """The whole state of one instance.

    Parameters
    ----------
    own : InstanceRecord
        This instance.
    bounds : Bounds
        Limits in force.
    clock : Clock
        Source of time; counts suspension.
    """

    def __init__(self, own: InstanceRecord, bounds: Bounds, clock: Clock) -> None:
        self.bounds = bounds
        self.configuration = CurrentConfiguration()
        self.parts = PartPicker()
        self.freshness = Freshness(clock)
        self.targets = TargetTable(clock)
        self.cold_bound = ColdStartLimit(own.id)
        self.placement = Placement(own.place, clock)
        self.rates = TeamRates(clock)
        self.retries = RetryBudgets(clock)
        self.members = Members(own, clock)
        self.targets_listed = False
        self.members_listed = False
        self.leaving = False
        self.cold_bound.rank_members(self.members.list_all())

    def __repr__(self) -> str:
        """Return the version and the number of targets."""
        version = self.configuration.version
        return f'<Beliefs version={version} targets={len(self.targets)}>'

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        known = self.configuration.value is not None and self.targets_listed
        return known and not self.leaving

    def share_members(self) -> None:
        """Split budgets over the members that are listed now."""
        self.retries.split_over(len(self.members))
        self.cold_bound.rank_members(self.members.list_all())


class ConfigurationSubscriber:
    """Puts newer configurations in force."""

    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs

    def put(self, name: str, value: Configuration) -> None:
        """Adopt a configuration if it is newer."""
        if self._beliefs.configuration.adopt(value):
            self._beliefs.rates.follow_teams(value.teams.values())
            log_event('configuration_in_force', version=value.version)
        elif value.version < self._beliefs.configuration.version:
            log_event('configuration_ignored', version=value.version)

    def remove(self, name: str) -> None:
        """Keep what is in force."""


class TargetSubscriber:
    """Keeps the table of targets."""

    def __init__(self, beliefs: Beliefs, exchanges: Exchanges) -> None:
        self._beliefs = beliefs
        self._exchanges = exchanges

    def put(self, name: str, value: TargetRecord) -> None:
        """Add or update a target."""
        known = self._beliefs.targets.get(name)
        self._beliefs.targets.put(value)
        if known is None or known.record.started_at_ms != value.started_at_ms:
            self._exchanges.forget(name)
        log_event(
            'target_listed',
            target=name,
            service=value.service,
            domain=value.place.failure_domain,
            state=value.state.value,
            cold_left_s=value.cold_left_s,
        )

    def remove(self, name: str) -> None:
        """Forget a target."""
        self._beliefs.targets.remove(name)
        self._exchanges.forget(name)


class EvacuationSubscriber:
    """Keeps the failure domains that get nothing."""

    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs
        self._domains: set[str] = set()

    def put(self, name: str, value: Any) -> None:
        """Send nothing to a domain."""
        self._domains.add(name)
        self._apply()

    def remove(self, name: str) -> None:
        """Take a domain back."""
        self._domains.discard(name)
        self._apply()

    def _apply(self) -> None:
        config = self._beliefs.configuration.value
        services = config.services.values() if config else ()
        cold_s = max((service.cold_s for service in services), default=0)
        self._beliefs.targets.evacuate(frozenset(self._domains), cold_s)
        log_event('domains_evacuated', domains=','.join(sorted(self._domains)))


class InstanceSubscriber:
    """Keeps the members of the fleet."""

    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs
        self.own_record_lost = False

    def put(self, name: str, value: InstanceRecord) -> None:
        """Add or update a member."""
        self._beliefs.members.put(value)
        self._beliefs.share_members()
        log_event('member_listed', member=name, domain=value.place.failure_domain)

    def remove(self, name: str) -> None:
        """Forget a member; a record of this instance must be written again."""
        if name == self._beliefs.members.own.id:
            self.own_record_lost = True
        self._beliefs.members.remove(name)
        self._beliefs.share_members()
