"""Admission control: checks the API key, lease, limits and team rate of a request."""

import re
from hashlib import sha256
from types import MappingProxyType
from typing import Protocol

import msgspec

from currantmast.clocks import Clock
from currantmast.deployment import Configuration, Operations, Service, Team
from currantmast.outcomes import NotRun, Reason

MS_PER_S = 1000

# A claim records that a request key has been used. Its key is refused from this many seconds
# before the end of the claim's lifetime, so that a claim is never deleted while a resend of
# its request may still be admitted.
CLAIM_MARGIN_S = 60

# Seconds by which the timestamp of a request key may lie in the future, to allow for clock
# skew. Together with `CLAIM_MARGIN_S`, a key with such a timestamp is still refused 30 s
# before its claim can be deleted.
CLOCK_SKEW_S = 30

REQUEST_KEY_PATTERN = re.compile(
    r'(?P<seconds>\d{1,12})\.[A-Za-z0-9_-]{1,64}', re.ASCII
)


class Lease(Protocol):
    """Interface of a lease, the right of an instance to admit requests for a limited time.

    It is reduced to what admission needs.
    """

    def is_valid(self) -> bool:
        """Return whether this instance may admit requests now."""

    def explain(self) -> str:
        """Return why the lease is valid or not, for error messages."""


class Shares(Protocol):
    """Interface of the budget shares that an instance holds.

    A share is the part of a fleet-wide rate limit that one instance may use.
    """

    def take(self, budget: str, amount: float = 1) -> bool:
        """Take `amount` units of `budget`, or return False and take nothing.

        Either way the units count as demand for the budget.
        """

    def take_without_demand(self, budget: str, amount: float = 1) -> bool:
        """Take units without counting demand, for a request that `take` has refused."""

    def give_back(self, budget: str, amount: float) -> None:
        """Give back `amount` units that were taken but not used."""


class AdmissionRequest(msgspec.Struct, frozen=True):
    """The properties of a request that decide its admission.

    Parameters
    ----------
    service : str
        Service that the request is for.
    key : str or None
        API key as the caller sent it; left out of ``repr`` to keep it out of logs.
    deadline_s : float or None
        Seconds that the caller allows; None for the timeout of the service.
    request_key : str or None
        Key that identifies resends of one request, ``<unix seconds>.<token>``.
    body_bytes : int or None
        Content length of the request; None when it is not known in advance.
    """

    service: str
    key: str | None = None
    deadline_s: float | None = None
    request_key: str | None = None
    body_bytes: int | None = None

    def __repr__(self) -> str:
        """Return a short description for debugging, without the API key."""
        return (
            f'<AdmissionRequest {self.service} keyed={self.key is not None} '
            f'deadline_s={self.deadline_s} body_bytes={self.body_bytes}>'
        )


class Admitted(msgspec.Struct, frozen=True):
    """The result of admission for a request that may run.

    Parameters
    ----------
    team : str or None
        Team that the request runs for; None without an API key.
    service : Service
        Configuration of the requested service.
    deadline_at : float
        Monotonic time in seconds by which the request must have ended.
    timeout_s : float
        Seconds from admission to `deadline_at`.
    max_body_bytes : int
        Limit for a body whose size is not known in advance.
    """

    team: str | None
    service: Service
    deadline_at: float
    timeout_s: float
    max_body_bytes: int


class AdmissionTables(msgspec.Struct, frozen=True):
    """Lookup tables of one configuration version.

    Parameters
    ----------
    version : int
        Configuration version.
    claim_lifetime_s : float
        Seconds for which the claim of a request key is kept.
    services : mapping of str to Service
        Services by identifier.
    teams : mapping of str to Team
        Teams by the digest of each of their API keys.
    """

    version: int
    claim_lifetime_s: float
    services: MappingProxyType[str, Service]
    teams: MappingProxyType[str, Team]


class Admission:
    """Checks requests against the current configuration.

    Parameters
    ----------
    clock : Clock
        Source of monotonic and wall-clock time.
    lease : Lease
        Lease without which this instance may admit nothing.
    shares : Shares
        Shares of the team rate limits that this instance holds.
    """

    __slots__ = ('_clock', '_lease', '_shares', '_tables')

    def __init__(self, clock: Clock, lease: Lease, shares: Shares) -> None:
        self._clock = clock
        self._lease = lease
        self._shares = shares
        self._tables: AdmissionTables | None = None

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        version = self._tables and self._tables.version
        return f'<Admission version={version}>'

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply `configuration`, unless its version is lower than the current one."""
        if self._tables is None or configuration.version >= self._tables.version:
            self._tables = make_tables(configuration)

    def admit(
        self, request: AdmissionRequest, *, demand_counted: bool = False
    ) -> Admitted | NotRun:
        """Return the admitted request, or the reason for its refusal.

        The rate is checked last, so that only admitted requests use rate tokens.

        Parameters
        ----------
        request : AdmissionRequest
            The request.
        demand_counted : bool
            Whether the request has already counted as demand, in an earlier call that
            refused it for the rate.
        """
        tables = self._tables
        if tables is None:
            return NotRun(Reason.no_configuration)
        service = tables.services.get(request.service)
        if service is None:
            return NotRun(Reason.service_unknown)
        team = _find_team(tables, request.key)
        timeout_s = _limit_timeout(request.deadline_s, service)
        refusal = (
            _refuse_caller(request.key, team, service)
            or self._refuse_without_lease()
            or self._refuse_limits(request, service, timeout_s)
            or self._refuse_rate(team, demand_counted=demand_counted)
        )
        return refusal or Admitted(
            team=team and team.id,
            service=service,
            deadline_at=self._clock.now() + timeout_s,
            timeout_s=timeout_s,
            max_body_bytes=service.max_body_bytes,
        )

    def _refuse_without_lease(self) -> NotRun | None:
        if self._lease.is_valid():
            return None
        return NotRun(Reason.no_lease, self._lease.explain())

    def _refuse_limits(
        self, request: AdmissionRequest, service: Service, timeout_s: float
    ) -> NotRun | None:
        return (
            _refuse_deadline(timeout_s)
            or _refuse_body(request.body_bytes, service)
            or self._refuse_request_key(request.request_key)
        )

    def _refuse_request_key(self, request_key: str | None) -> NotRun | None:
        if request_key is None:
            return None
        match = REQUEST_KEY_PATTERN.fullmatch(request_key)
        if match is None:
            return NotRun(Reason.bad_request, 'Request-Key: <unix seconds>.<token>')
        age_s = self._clock.wall() - int(match['seconds'])
        if age_s < -CLOCK_SKEW_S:
            return NotRun(Reason.bad_request, 'Request-Key lies in the future')
        if age_s > self._tables.claim_lifetime_s - CLAIM_MARGIN_S:
            return NotRun(Reason.request_key_expired)
        return None

    def _refuse_rate(self, team: Team | None, *, demand_counted: bool) -> NotRun | None:
        take = self._shares.take_without_demand if demand_counted else self._shares.take
        if team is None or take(f'team:{team.id}'):
            return None
        return NotRun(Reason.rate_exceeded, f'team {team.id}')


def digest_key(key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal, as listed in configurations."""
    return sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def make_tables(configuration: Configuration) -> AdmissionTables:
    """Return the lookup tables for `configuration`."""
    base = configuration.deployment.base
    services = {service.id: service for service in base.services}
    teams = _map_keys_to_teams(base.teams, configuration.deployment.operations)
    return AdmissionTables(
        version=configuration.version,
        claim_lifetime_s=base.timing.claim_lifetime_s,
        services=MappingProxyType(services),
        teams=MappingProxyType(teams),
    )


def _map_keys_to_teams(
    teams: tuple[Team, ...], operations: Operations
) -> dict[str, Team]:
    by_id = {team.id: team for team in teams}
    keys = {digest.lower(): team for team in teams for digest in team.key_digests}
    for digest, team_id in operations.issued_keys.items():
        team = by_id.get(team_id)
        if team is not None:
            keys[digest.lower()] = team
    for withdrawn in operations.withdrawn_keys:
        keys.pop(withdrawn.lower(), None)
    return keys


def _find_team(tables: AdmissionTables, key: str | None) -> Team | None:
    return None if key is None else tables.teams.get(digest_key(key))


def _refuse_caller(
    key: str | None, team: Team | None, service: Service
) -> NotRun | None:
    """Refuse missing and unknown API keys, and services that the team may not use.

    Services that are open to all need no key, but a key that is sent must be valid.
    """
    if service.open_to_all and (key is None or team is not None):
        return None
    if team is None:
        return NotRun(Reason.key_unknown)
    if service.id in team.services:
        return None
    return NotRun(Reason.service_not_allowed, f'team {team.id}')


def _limit_timeout(deadline_s: float | None, service: Service) -> float:
    timeout_s = service.timeout_ms / MS_PER_S
    return timeout_s if deadline_s is None else min(deadline_s, timeout_s)


def _refuse_deadline(timeout_s: float) -> NotRun | None:
    # NaN compares false with everything, so it is refused as well.
    return None if timeout_s > 0 else NotRun(Reason.deadline, 'passed on arrival')


def _refuse_body(body_bytes: int | None, service: Service) -> NotRun | None:
    if body_bytes is None or 0 <= body_bytes <= service.max_body_bytes:
        return None
    return NotRun(
        Reason.bad_request,
        f'body of {body_bytes} bytes, allowed: 0 to {service.max_body_bytes}',
    )
