"""Request keys: their format, lifetime and partition."""

import re
from hashlib import sha256

import msgspec
import xxhash

from currantmast.clocks import Clock
from currantmast.outcomes import NotRun, Reason

PARTITIONS = 16
# Largest clock skew between hosts at which claims are still safe.
MAX_CLOCK_SKEW_S = 60
DIGEST_BYTES = 16
SEPARATOR = '\n'
_FORMAT = re.compile(r'(\d{1,12})\.([\w-]{1,64})\Z', re.ASCII)


class ClaimKey(msgspec.Struct, frozen=True):
    """Identity of a non-idempotent request, the same whenever a caller resends it.

    Parameters
    ----------
    team, service : str
        Team and service of the request.
    request_key : str
        ``<unix seconds>.<token>`` as the caller sent it.
    issued_at : int
        Unix seconds in the request key.
    """

    team: str
    service: str
    request_key: str
    issued_at: int

    @property
    def digest(self) -> bytes:
        """Digest that identifies the key, 16 bytes."""
        text = SEPARATOR.join((self.team, self.service, self.request_key))
        return sha256(text.encode()).digest()[:DIGEST_BYTES]

    @property
    def partition(self) -> int:
        """Number of the partition whose log holds the claims of the key."""
        return xxhash.xxh64_intdigest(self.digest) % PARTITIONS


def parse_claim_key(
    team: str, service: str, request_key: str, clock: Clock, lifetime_s: float
) -> ClaimKey | NotRun:
    """Return the claim key of a request, or the reason to refuse it.

    Parameters
    ----------
    team, service : str
        Team and service of the request.
    request_key : str
        Value of the ``Request-Key`` header.
    clock : Clock
        Wall clock to check the key against.
    lifetime_s : float
        Lifetime of claims in seconds.
    """
    match = _FORMAT.match(request_key)
    if match is None:
        detail = 'Request-Key: allowed is <unix seconds>.<1 to 64 of A-Z a-z 0-9 _ ->'
        return NotRun(Reason.bad_request, detail)
    key = ClaimKey(team, service, request_key, int(match.group(1)))
    return check_age(key.issued_at, clock, lifetime_s) or key


def get_usable_lifetime_s(lifetime_s: float) -> float:
    """Return the time in seconds for which a request key is accepted.

    It is shorter than the lifetime of claims by the tolerated clock skew, so that no host
    accepts a key whose claim another host may have deleted.
    """
    return lifetime_s - MAX_CLOCK_SKEW_S


def check_age(issued_at: int, clock: Clock, lifetime_s: float) -> NotRun | None:
    """Return the refusal of a key that is too old or in the future, else None.

    Parameters
    ----------
    issued_at : int
        Unix seconds in the request key.
    clock : Clock
        Wall clock to check the key against.
    lifetime_s : float
        Lifetime of claims in seconds.
    """
    age_s = clock.wall() - issued_at
    if age_s > get_usable_lifetime_s(lifetime_s):
        detail = f'Request-Key: {age_s:.0f} s old'
        return NotRun(Reason.request_key_expired, detail)
    if age_s < -MAX_CLOCK_SKEW_S:
        detail = f'Request-Key: {-age_s:.0f} s in the future'
        return NotRun(Reason.bad_request, detail)
    return None
