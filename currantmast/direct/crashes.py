"""Requests that crash the targets that run them, and are then refused by all members.

Such a request comes again and again, at any member, and each time ends another target
with everything that runs there. Every request that was running on a target when it
crashed is suspected; one that was running on `MAX_CRASHES` different targets, and was not
answered in between, is refused.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import xxhash

from currantmast.clocks import Clock
from currantmast.direct.bodies import Body

# Different targets that a request may crash before it is refused.
MAX_CRASHES = 3

# Seconds after its last crash for which a request is suspected or refused.
SUSPECT_TTL_S = 600.0

# Seconds for which the others are told that a target has answered a suspected request, and
# for which what they tell of it counts as out of date.
CLEARED_TTL_S = 3.0

# Limits of the suspected requests that are remembered by source, and of those, and of
# cleared ones, that are told in one heartbeat.
MAX_SUSPECTS = 1024
MAX_TOLD = 16

# Ids of the crashed targets, by fingerprint of the request; none after an answer.
CrashReport = dict[str, tuple[str, ...]]


class _Suspect:
    """Targets that crashed with a request, and when the last one did."""

    __slots__ = ('crashed_at', 'targets')

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.crashed_at: float = 0


class CrashingRequests:
    """The requests that were running when targets crashed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_cleared', '_clock', '_own', '_peers')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By fingerprint, in the order of the last crash: what happened here, and what
        # the other members tell.
        self._own: OrderedDict[str, _Suspect] = OrderedDict()
        self._peers: OrderedDict[str, _Suspect] = OrderedDict()
        # When a target last answered a suspected request.
        self._cleared: OrderedDict[str, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether any request is suspected."""
        return bool(self._own or self._peers)

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._own.keys() | self._peers.keys())

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CrashingRequests suspects={len(self)}>'

    def note_crash(self, fingerprint: str, target_id: str) -> int:
        """Record that a target crashed while it ran a request; return its crashes."""
        self._add(self._own, fingerprint, (target_id,))
        return len(self._list_targets(fingerprint))

    def note_answer(self, fingerprint: str) -> None:
        """Record that a target has run the request and lives."""
        if fingerprint in self._own or fingerprint in self._peers:
            self._cleared[fingerprint] = self._clock.now()
            self._clear(fingerprint)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether the request has crashed too many targets."""
        self._expire()
        return len(self._list_targets(fingerprint)) >= MAX_CRASHES

    def make_report(self) -> CrashReport:
        """Return what happened here, for the other members: most crashes first."""
        self._expire()
        newest = reversed(self._own.items())
        told = sorted(newest, key=lambda entry: -len(entry[1].targets))[:MAX_TOLD]
        report: CrashReport = dict.fromkeys(tuple(self._cleared)[-MAX_TOLD:], ())
        for fingerprint, suspect in told:
            report[fingerprint] = tuple(suspect.targets)[:MAX_CRASHES]
        return report

    def note_peer(self, report: Mapping[str, Iterable[str]]) -> None:
        """Add what another member tells."""
        for fingerprint, target_ids in report.items():
            if not target_ids:
                self._clear(fingerprint)
            elif fingerprint not in self._cleared:
                self._add(self._peers, fingerprint, target_ids)

    def _add(
        self,
        suspects: OrderedDict[str, _Suspect],
        fingerprint: str,
        target_ids: Iterable[str],
    ) -> None:
        suspect = suspects.setdefault(fingerprint, _Suspect())
        before = len(suspect.targets)
        suspect.targets.update(target_ids)
        if len(suspect.targets) > before:
            # A crash that is told again doesn't keep the request suspected for longer.
            suspect.crashed_at = self._clock.now()
            suspects.move_to_end(fingerprint)
        if len(suspects) > MAX_SUSPECTS:
            suspects.popitem(last=False)

    def _clear(self, fingerprint: str) -> None:
        self._own.pop(fingerprint, None)
        self._peers.pop(fingerprint, None)

    def _list_targets(self, fingerprint: str) -> set[str]:
        targets: set[str] = set()
        for suspects in (self._own, self._peers):
            suspect = suspects.get(fingerprint)
            if suspect is not None:
                targets |= suspect.targets
        return targets

    def _expire(self) -> None:
        now = self._clock.now()
        while (
            self._cleared and next(iter(self._cleared.values())) <= now - CLEARED_TTL_S
        ):
            self._cleared.popitem(last=False)
        oldest = now - SUSPECT_TTL_S
        for suspects in (self._own, self._peers):
            while suspects and next(iter(suspects.values())).crashed_at <= oldest:
                suspects.popitem(last=False)


def make_fingerprint(team: str, method: str, url: str, body: Body) -> str:
    """Return the digest that is the same for all copies of a request."""
    digest = xxhash.xxh3_128()
    for part in (team.encode(), method.encode(), url.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    for block in (body,) if isinstance(body, bytes) else body:
        digest.update(block)
    return digest.hexdigest()
