"""Admission of requests: the checks of route, team and rate before any target is chosen."""

import msgspec

from currantmast.direct.attempts import MIN_RETRY_AFTER_S, Admission
from currantmast.direct.inbound import AdmittedHead, InboundRequest, OutboundAnswer
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.meters import Meter
from currantmast.direct.model import Route, Team
from currantmast.direct.rates import RateExceeded, SharesUnknown
from currantmast.direct.refusals import encode_refusal
from currantmast.direct.requests import CallerRequest, WireFormat
from currantmast.outcomes import NotRun, Reason
from currantmast.runtime.logs import log_event

# Time limit in seconds of a request that names none.
DEFAULT_TIME_LIMIT_S = 30.0

# Seconds before the deadline by which the answer is sent, so that it arrives in time.
ANSWER_MARGIN_S = 0.02

# Retry-After in seconds while the configuration, the lease on it, the targets or the
# shares of team rates are missing.
BOOT_RETRY_AFTER_S = 0.5


class _Checked(msgspec.Struct, frozen=True):
    """Route and team of a request that may be sent."""

    route: Route
    team: Team | None


class AdmissionControl:
    """Decides which requests may be sent, and refuses the others.

    Parameters
    ----------
    state : InstanceState
        Configuration, rates and lease of the instance.
    wire : WireFormat
        Encoding of requests on this platform.
    meter : Meter
        Metrics of the instance.
    """

    __slots__ = ('_meter', '_state', '_wire')

    def __init__(self, state: InstanceState, wire: WireFormat, meter: Meter) -> None:
        self._state = state
        self._wire = wire
        self._meter = meter

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return '<AdmissionControl>'

    def admit(
        self, call: CallerRequest, inbound: InboundRequest
    ) -> Admission | OutboundAnswer:
        """Return the admitted request, or the answer that refuses it."""
        checked = self._check(call, inbound)
        if isinstance(checked, OutboundAnswer):
            return checked
        return self._make_admission(call, checked, inbound.received_at)

    def admit_head(self, head: InboundRequest) -> OutboundAnswer | AdmittedHead:
        """Decide on a large request before its body is read.

        Its team's rate is used now; the rest is decided again with the whole request.
        """
        call = self._wire.decode_request(head)
        checked = self._check(call, head)
        if isinstance(checked, OutboundAnswer):
            return checked
        team = checked.team
        return AdmittedHead(team.name if team else '')

    def refuse(
        self,
        call: CallerRequest,
        reason: Reason,
        after_s: float | None = None,
        team: Team | None = None,
        **inputs: float,
    ) -> OutboundAnswer:
        """Log and count a refusal, and return its answer."""
        log_event(
            'request_refused',
            level='WARNING',
            request=call.request_id,
            reason=reason,
            team=team.name if team else None,
            version=self._state.configuration.version,
            config_age_s=self._state.freshness.age(),
            retry_after_s=after_s,
            **inputs,
        )
        self._meter.count_outcome('refused', reason)
        return encode_refusal(NotRun(reason), after_s)

    def _check(
        self, call: CallerRequest, inbound: InboundRequest
    ) -> _Checked | OutboundAnswer:
        state = self._state
        received_at = inbound.received_at
        config = state.configuration.value
        if config is None or not state.targets_listed:
            return self.refuse(call, Reason.no_configuration, BOOT_RETRY_AFTER_S)
        route = self._match(call)
        if isinstance(route, OutboundAnswer):
            return route
        deadline_at = _find_deadline(call, route, received_at)
        services = (weighted.service for weighted in route.weighted_services)
        if not state.stop.may_finish(services, received_at, deadline_at):
            # Before the team's rate is used, as the request will come elsewhere.
            return self.refuse(call, Reason.stopping, MIN_RETRY_AFTER_S)
        team = None
        if config.requires_keys and not route.keyless:
            found = self._admit_team(call, inbound.admitted)
            if isinstance(found, OutboundAnswer):
                return found
            team = found
        return _Checked(route, team)

    def _match(self, call: CallerRequest) -> Route | OutboundAnswer:
        if not call.request_id:
            return self.refuse(call, Reason.bad_request)
        host = call.host.partition(':')[0]
        route = self._state.configuration.match(host, call.path)
        if route is None:
            return self.refuse(call, Reason.service_unknown)
        if not route.is_readable:
            return self.refuse(call, Reason.entry_unreadable, BOOT_RETRY_AFTER_S)
        return route

    def _admit_team(
        self, call: CallerRequest, is_counted: bool
    ) -> Team | OutboundAnswer:
        state = self._state
        if not state.has_lease():
            return self.refuse(call, Reason.no_lease, BOOT_RETRY_AFTER_S)
        if state.configuration.refuses_key(call.key or ''):
            return self.refuse(call, Reason.entry_unreadable, BOOT_RETRY_AFTER_S)
        team = state.configuration.find_team(call.key or '')
        if team is None:
            return self.refuse(call, Reason.key_unknown)
        return team if is_counted else self._use_rate(call, team)

    def _use_rate(self, call: CallerRequest, team: Team) -> Team | OutboundAnswer:
        match self._state.rate_limiter.admit(team):
            case RateExceeded() as exceeded:
                return self._refuse_rate(call, team, exceeded)
            case SharesUnknown():
                return self.refuse(
                    call, Reason.no_configuration, BOOT_RETRY_AFTER_S, team
                )
        return team

    def _make_admission(
        self, call: CallerRequest, checked: _Checked, received_at: float
    ) -> Admission:
        route = checked.route
        team = checked.team
        allowed_regions = route.allowed_regions
        if team is not None and team.allowed_regions:
            allowed_regions = (
                (allowed_regions & team.allowed_regions)
                if allowed_regions
                else team.allowed_regions
            )
            # Both restrictions apply. Without a common region the set holds only '',
            # which no region matches; an empty set would allow all regions.
            allowed_regions = allowed_regions or frozenset(('',))
        return Admission(
            call=call,
            route=route,
            team=team,
            service=self._state.service_picker.pick(route).service,
            allowed_regions=allowed_regions,
            started_at=received_at,
            deadline_at=_find_deadline(call, route, received_at),
            objective_at=received_at + route.latency_objective_s,
            by_cost=self._state.configuration.has_overload_control,
        )

    def _refuse_rate(
        self, call: CallerRequest, team: Team, exceeded: RateExceeded
    ) -> OutboundAnswer:
        return self.refuse(
            call,
            Reason.rate_exceeded,
            exceeded.wait_s,
            team,
            rate=team.rate,
            burst=team.burst,
            share_tokens=exceeded.share_tokens,
            team_tokens=exceeded.fleet_tokens,
            silent=exceeded.silent,
        )


def _find_deadline(call: CallerRequest, route: Route, received_at: float) -> float:
    limit_s = call.time_limit_s or DEFAULT_TIME_LIMIT_S
    return received_at + min(limit_s, route.timeout_s) - ANSWER_MARGIN_S
