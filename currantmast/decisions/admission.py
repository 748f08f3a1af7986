"""Admission: which requests may enter, for which team and until when."""

import re
from hashlib import sha256
from types import MappingProxyType
from typing import Protocol

import msgspec

from currantmast.clocks import Clock
from currantmast.deployment import Configuration, Operations, Service, Team
from currantmast.outcomes import NotRun, Reason

MS_PER_S = 1000

# Seconds before the end of a claim's lifetime at which its request key is refused,
# so that no claim is deleted while a resend may still be admitted.
CLAIM_MARGIN_S = 60

# Seconds that a request key may lie in the future. With the margin above, a key of this
# date is still refused 30 s before its claim can be deleted.
CLOCK_SKEW_S = 30

REQUEST_KEY_FORM = re.compile(r'(?P<seconds>\d{1,12})\.[A-Za-z0-9_-]{1,64}', re.ASCII)


class Lease(Protocol):
    """The part of a lease that admission needs."""

    def is_valid(self) -> bool:
        """Return whether work may be admitted now."""

    def explain(self) -> str:
        """Return what the lease rests on."""


class Shares(Protocol):
    """The part of a share holder that decisions on requests need."""

    def take(self, budget: str, amount: float = 1) -> bool:
        """Take `amount` units of `budget`, or return False and take nothing."""

    def take_without_demand(self, budget: str, amount: float = 1) -> bool:
        """Take units for a request that `take` has refused before."""

    def give_back(self, budget: str, amount: float) -> None:
        """Return `amount` units that were taken but not used."""


class AdmissionRequest(msgspec.Struct, frozen=True):
    """What admission needs to know of a request.

    Parameters
    ----------
    service : str
        Service that the caller asks for.
    key : str or None
        Key as the caller sent it; left out of every ``repr``.
    deadline_s : float or None
        Seconds that the caller allows; None leaves it to the service.
    request_key : str or None
        ``<unix seconds>.<token>``.
    body_bytes : int or None
        Announced size of the body; None when it is not announced.
    """

    service: str
    key: str | None = None
    deadline_s: float | None = None
    request_key: str | None = None
    body_bytes: int | None = None

    def __repr__(self) -> str:
        """Return a description without the key."""
        return (
            f'<AdmissionRequest {self.service} keyed={self.key is not None} '
            f'deadline_s={self.deadline_s} body_bytes={self.body_bytes}>'
        )


class Admitted(msgspec.Struct, frozen=True):
    """A request that may run.

    Parameters
    ----------
    team : str or None
        Team that the request runs for; None without a key.
    service : Service
        The service with its limits.
    deadline_at : float
        Monotonic time in seconds at which the request must have ended.
    timeout_s : float
        Seconds from admission to `deadline_at`.
    max_body_bytes : int
        Limit for a body whose size was not announced.
    """

    team: str | None
    service: Service
    deadline_at: float
    timeout_s: float
    max_body_bytes: int


class AdmissionTables(msgspec.Struct, frozen=True):
    """Look-up tables of one configuration version."""

    version: int
    claim_lifetime_s: float
    services: MappingProxyType[str, Service]
    teams: MappingProxyType[str, Team]


class Admission:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    clock : Clock
        Source of monotonic and wall-clock time.
    lease : Lease
        Right of this instance to admit.
    shares : Shares
        Shares of the team rates that this instance holds.
    """

    __slots__ = ('_clock', '_lease', '_shares', '_tables')

    def __init__(self, clock: Clock, lease: Lease, shares: Shares) -> None:
        self._clock = clock
        self._lease = lease
        self._shares = shares
        self._tables: AdmissionTables | None = None

    def __repr__(self) -> str:
        """Return the version in force."""
        version = self._tables and self._tables.version
        return f'<Admission version={version}>'

    def set_configuration(self, configuration: Configuration) -> None:
        """Put `configuration` in force; a lower version than the present is ignored."""
        if self._tables is None or configuration.version >= self._tables.version:
            self._tables = make_tables(configuration)

    def admit(
        self, request: AdmissionRequest, *, late: bool = False
    ) -> Admitted | NotRun:
        """Return the admitted request or why it is refused.

        The rate is checked last, so that only an admitted request uses a rate token.

        Parameters
        ----------
        request : AdmissionRequest
            The request.
        late : bool
            Whether the request was refused for its rate before and has waited; it does
            not count as demand again.
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
            or self._refuse_rate(team, late=late)
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
        form = REQUEST_KEY_FORM.fullmatch(request_key)
        if form is None:
            return NotRun(Reason.bad_request, 'Request-Key: <unix seconds>.<token>')
        age_s = self._clock.wall() - int(form['seconds'])
        if age_s < -CLOCK_SKEW_S:
            return NotRun(Reason.bad_request, 'Request-Key lies in the future')
        if age_s > self._tables.claim_lifetime_s - CLAIM_MARGIN_S:
            return NotRun(Reason.request_key_expired)
        return None

    def _refuse_rate(self, team: Team | None, *, late: bool) -> NotRun | None:
        take = self._shares.take_without_demand if late else self._shares.take
        if team is None or take(f'team:{team.id}'):
            return None
        return NotRun(Reason.rate_exceeded, f'team {team.id}')


def digest_key(key: str) -> str:
    """Return the SHA-256 of `key` in hexadecimal, as configurations list it."""
    return sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def make_tables(configuration: Configuration) -> AdmissionTables:
    """Return the look-up tables for `configuration`."""
    base = configuration.deployment.base
    services = {service.id: service for service in base.services}
    teams = _list_keys(base.teams, configuration.deployment.operations)
    return AdmissionTables(
        version=configuration.version,
        claim_lifetime_s=base.timing.claim_lifetime_s,
        services=MappingProxyType(services),
        teams=MappingProxyType(teams),
    )


def _list_keys(teams: tuple[Team, ...], operations: Operations) -> dict[str, Team]:
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
    """Refuse missing and unknown keys; a key that is sent must be valid everywhere."""
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
    # A deadline that is not a number compares false and is refused as well.
    return None if timeout_s > 0 else NotRun(Reason.deadline, 'passed on arrival')


def _refuse_body(body_bytes: int | None, service: Service) -> NotRun | None:
    if body_bytes is None or 0 <= body_bytes <= service.max_body_bytes:
        return None
    return NotRun(
        Reason.bad_request,
        f'body of {body_bytes} bytes, allowed: 0 to {service.max_body_bytes}',
    )
