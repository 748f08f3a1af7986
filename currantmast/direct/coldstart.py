"""Slow start of cold targets: which instances may send to them, and at what rate."""

from collections.abc import Iterable

import xxhash

from currantmast.clocks import Clock
from currantmast.decisions.buckets import TokenBucket
from currantmast.direct.model import Bounds, InstanceRecord, Service, TargetRecord

# Instances that may send to a cold target, for each request per second of its rate
# limit: few, so that their bursts together stay within the limit.
SENDERS_PER_RATE = 0.5


class ColdStart:
    """Cold state of a target, and the token bucket for requests to it meanwhile.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_bucket', '_clock', '_starts_full', '_until')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket = TokenBucket(clock)
        self._starts_full = False
        self._until = clock.now()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ColdStart cold={self.is_cold()}>'

    def mark(self, seconds: float) -> None:
        """Treat the target as cold for `seconds` from now."""
        self._until = max(self._until, self._clock.now() + seconds)

    @property
    def ends_at(self) -> float:
        """Time at which the target is, or was, no longer cold."""
        return self._until

    def start_full(self) -> None:
        """Let the bucket hold its one token at once, if this instance may send."""
        self._starts_full = True

    def is_cold(self) -> bool:
        """Return whether the target is cold."""
        return self._clock.now() < self._until

    def has_token(self, rate: float) -> bool:
        """Return whether a request may be sent now, at `rate` requests per second."""
        self._bucket.resize(rate, 1)
        if self._starts_full and rate > 0:
            self._bucket.add(1)
        self._starts_full = False
        return self._bucket.count() >= 1

    def take_token(self, rate: float) -> None:
        """Take a token for a sent request, at `rate` requests per second."""
        self._bucket.resize(rate, 1)
        self._bucket.take(1)


class ColdStartLimit:
    """Division of a cold target's rate limit over the instances that may send to it.

    The limit applies to the requests from all instances within any second. It is kept
    without communication: all instances compute the same few senders for each target,
    those in the target's region first, and each sender has a burst of one request.

    Parameters
    ----------
    own_id : str
        Id of this instance.
    """

    __slots__ = ('_members', '_own_id', '_ranks')

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._members: tuple[InstanceRecord, ...] = ()
        # By id and region of the target, as one may start again elsewhere.
        self._ranks: dict[tuple[str, str], int] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ColdStartLimit members={len(self._members)}>'

    def rank_members(self, members: Iterable[InstanceRecord]) -> None:
        """Set the members of the fleet, from which the senders are selected."""
        self._members = tuple(members)
        self._ranks.clear()

    @property
    def member_count(self) -> int:
        """Number of members, from which the senders are selected."""
        return len(self._members)

    def get_rate(self, target: TargetRecord, service: Service, bounds: Bounds) -> float:
        """Return the requests per second that this instance may send, possibly 0.

        The burst of one request is subtracted from its part of the limit.
        """
        limit = service.cold_rate * bounds.cold_factor + bounds.cold_extra
        wanted = max(1, int(limit * SENDERS_PER_RATE))
        senders = min(wanted, len(self._members))
        if self.get_rank(target) >= senders:
            return 0
        return max(0, limit / senders - 1)

    def get_rank(self, target: TargetRecord) -> int:
        """Return the rank of this instance among the senders, from 0.

        It is the number of members if this instance is none of them.
        """
        place = target.id, target.location.region
        rank = self._ranks.get(place)
        if rank is None:
            rank = self._compute_rank(target)
            self._ranks[place] = rank
        return rank

    def _compute_rank(self, target: TargetRecord) -> int:
        ordered = sorted(
            self._members,
            key=lambda member: (
                member.location.region != target.location.region,
                xxhash.xxh3_64_intdigest(f'{target.id}|{member.id}'.encode()),
            ),
        )
        ids = [member.id for member in ordered]
        # An instance that isn't among the members sends nothing to cold targets.
        return ids.index(self._own_id) if self._own_id in ids else len(ids)
