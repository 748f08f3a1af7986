"""State of an instance, kept up to date by followers of the store and by heartbeats."""

import math
from typing import Any

from currantmast.clocks import Clock
from currantmast.direct.coldstart import ColdStartLimit
from currantmast.direct.configurations import CurrentConfiguration, WeightedRoundRobin
from currantmast.direct.demands import DemandReport
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.freshness import Freshness
from currantmast.direct.members import Members
from currantmast.direct.model import (
    Bounds,
    Configuration,
    InstanceRecord,
    TargetRecord,
)
from currantmast.direct.placement import Placement
from currantmast.direct.ramping import Ramping
from currantmast.direct.rates import FleetRateLimiter
from currantmast.direct.retries import RetryBudgets
from currantmast.direct.stopping import PlannedStop
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.targetlimits import TargetLimits
from currantmast.direct.targets import TargetTable
from currantmast.runtime.logs import log_event


class InstanceState:
    """Everything that one instance knows: configuration, targets, members and budgets.

    It may lag behind the store, and behind what other instances know.

    Parameters
    ----------
    own : InstanceRecord
        Record of this instance.
    bounds : Bounds
        Limits of the whole fleet.
    clock : Clock
        Source of time; it also advances while the machine is suspended.
    """

    def __init__(self, own: InstanceRecord, bounds: Bounds, clock: Clock) -> None:
        self.configuration = CurrentConfiguration()
        self.service_picker = WeightedRoundRobin()
        self.freshness = Freshness(clock)
        self.targets = TargetTable(clock)
        self.target_limits = TargetLimits(clock)
        self.cold_start_limit = ColdStartLimit(own.id)
        self._ramping = Ramping(self.configuration, self.targets, self.cold_start_limit)
        self.placement = Placement(own.location, clock)
        self.rate_limiter = FleetRateLimiter(clock)
        self.retries = RetryBudgets(clock)
        self.store_health = StoreHealth(clock)
        self.members = Members(own, clock)
        # Version of the configuration in the store, when it was read last.
        self.stored_version = 0
        self.targets_listed = False
        # Time at which the members were listed for the first time.
        self.members_listed_at = math.inf
        self.stop = PlannedStop(clock)
        self.apply_bounds(bounds)
        self._divide_budgets()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        version = self.configuration.version
        return f'<InstanceState version={version} targets={len(self.targets)}>'

    @property
    def members_listed(self) -> bool:
        """Whether the members were listed."""
        return self.members_listed_at < math.inf

    @property
    def ramping(self) -> Ramping:
        """Ramp-ups of all targets."""
        return self._ramping

    @property
    def leaving(self) -> bool:
        """Whether the planned stop of this instance has begun."""
        return self.stop.begun

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        known = self.configuration.value is not None and self.targets_listed
        return known and self._is_synchronized() and not self.leaving

    def confirm_configuration(self, sent_at: float) -> None:
        """Renew the lease after a read that was sent at `sent_at`.

        After a restore the store may lack the newest version, by which a key was taken
        away, until the operator has written it again.
        """
        version = self.configuration.version
        health = self.store_health
        lacks_newest = health.is_restoring() and self.stored_version < version
        if health.is_rewriting() or lacks_newest or self.freshness.is_behind(version):
            return
        self.freshness.confirm(sent_at)

    def has_lease(self) -> bool:
        """Return whether requests that require an API key may be admitted."""
        behind = self.freshness.started_behind(self.configuration.version)
        is_valid = self.freshness.is_valid(self.bounds.revoke_s)
        return is_valid and self._is_synchronized() and not behind

    def list_demands(self) -> tuple[DemandReport, ...]:
        """Return the demand that the other active members reported, by team."""
        return self.members.reports.list_demands(self._list_expected())

    def list_limited_demands(self) -> tuple[DemandReport, ...]:
        """Return their demand by target, for the targets that name a limit."""
        return self.members.reports.list_limited_demands(self._list_expected())

    def apply_bounds(self, bounds: Bounds) -> None:
        """Set the limits of the whole fleet."""
        self.bounds = bounds
        self.rate_limiter.allow_slack(bounds.rate_slack)
        self.store_health.apply_bounds(bounds)

    def update_entries(self) -> bool:
        """Select the entry instances anew; return whether they changed."""
        changed = self.members.update_entries()
        if changed:
            self._divide_budgets()
        return changed

    def _is_synchronized(self) -> bool:
        return self.freshness.is_synchronized(has_peers=len(self.members) > 1)

    def _list_expected(self) -> frozenset[str]:
        """Return the ids of the other members that are expected to report demand.

        These are the first entry instances. One that replaced another is expected to
        report none before it is heard.
        """
        entries = self.members.entries
        first = {
            member_id
            for member_id in entries.ids
            if entries.since(member_id) <= self.members_listed_at
        }
        return frozenset(first - {self.members.own.id})

    def _divide_budgets(self) -> None:
        """Divide the fleet's budgets between the entry instances."""
        entries = self.members.entries.pick(self.members.list_all())
        self.retries.set_member_count(len(entries))
        self.cold_start_limit.rank_members(entries)


class ConfigurationSubscriber:
    """Puts newer configurations from the store in force."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state

    def put(self, name: str, value: Configuration) -> None:
        """Put a configuration in force if it is newer."""
        self._state.stored_version = value.version
        if self._state.configuration.accepts(value):
            self._state.rate_limiter.replace_limits(value.teams.values())
            self._state.configuration.adopt(value)
            log_event('configuration_in_force', version=value.version)
            _log_faults(value)
        elif value.version < self._state.configuration.version:
            log_event('configuration_ignored', version=value.version)

    def remove(self, name: str) -> None:
        """Keep the configuration in force although the store has none."""


def _log_faults(configuration: Configuration) -> None:
    for fault in configuration.faults:
        log_event(
            'configuration_entry_unreadable',
            level='WARNING',
            version=configuration.version,
            path=fault.path,
            name=fault.name,
            reason=fault.reason,
        )


class TargetSubscriber:
    """Keeps the table of targets, and closes idle connections to earlier runs."""

    def __init__(self, state: InstanceState, connections: TargetConnections) -> None:
        self._state = state
        self._connections = connections

    def put(self, name: str, value: TargetRecord) -> None:
        """Add or update a target; close idle connections to an earlier run of it."""
        known = self._state.targets.get(name)
        self._state.targets.unanswered.note_listed(value)
        self._state.targets.put(value)
        if known is None or known.record.started_at_ms != value.started_at_ms:
            self._connections.close_idle(name)
        if self._state.targets.runs.put(name, value.started_at_ms):
            self._forget_run(name)
        log_event(
            'target_listed',
            target=name,
            service=value.service,
            domain=value.location.failure_domain,
            state=value.state.value,
            cold_left_s=value.cold_left_s,
        )

    def remove(self, name: str) -> None:
        """Remove a target and close the idle connections to it."""
        self._state.targets.remove(name)
        self._connections.close_idle(name)
        for gone in self._state.targets.runs.remove(name):
            self._forget_run(gone)

    def _forget_run(self, name: str) -> None:
        self._state.target_limits.forget(name)
        self._state.targets.notices.forget(name)


class EvacuationSubscriber:
    """Keeps the set of evacuated failure domains, whose targets get no requests."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state
        self._domains: set[str] = set()

    def put(self, name: str, value: Any) -> None:
        """Evacuate the failure domain `name`."""
        self._domains.add(name)
        self._apply()

    def remove(self, name: str) -> None:
        """End the evacuation of the failure domain `name`."""
        self._domains.discard(name)
        self._apply()

    def _apply(self) -> None:
        config = self._state.configuration.value
        services = config.services.values() if config else ()
        cold_s = max((service.cold_s for service in services), default=0)
        self._state.targets.evacuate(frozenset(self._domains), cold_s)
        log_event('domains_evacuated', domains=','.join(sorted(self._domains)))


class InstanceSubscriber:
    """Keeps the members of the fleet that the store lists."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state
        self.own_record_lost = False

    def put(self, name: str, value: InstanceRecord) -> None:
        """Add or update a member."""
        self._state.members.put(value)
        log_event('member_listed', member=name, domain=value.location.failure_domain)

    def remove(self, name: str) -> None:
        """Remove a member; note when it is this instance, which must register again."""
        if name == self._state.members.own.id:
            self.own_record_lost = True
        self._state.members.remove(name)
