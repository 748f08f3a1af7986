"""Quarantine: keeps a request that crashes its targets from running again.

Every request that ran on a target when its connection died becomes a suspect. The next
run of a suspect has a target for itself: a second crash convicts it, a good end clears it.

Bound: copies of a request that always crashes, sent one after the other, crash at most
`MAX_CRASHES_PER_INSTANCE` targets for each instance that has not heard of the others
(one run before the first crash is known and one alone), and at most two in all once each
report reaches the other instances before the next copy. Copies that already run
when the first crash is seen can't be recalled; each counts as one more.
"""

from hashlib import sha256

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.suspects import State, SuspectTable
from currantmast.messages import Suspect
from currantmast.outcomes import NotRun, Reason

# One run before the request is a suspect, and one alone.
MAX_CRASHES_PER_INSTANCE = 2

# Bytes of SHA-256 that identify a request; a collision can't be constructed at will.
FINGERPRINT_BYTES = 16

# Seconds for which a peer's report keeps a suspect from being run alone here as well;
# several heartbeats, so that the loss of one doesn't let a second run start.
PEER_RUN_S = 3


class Clear(msgspec.Struct, frozen=True):
    """The request may share a target with others."""


class RunAlone(msgspec.Struct, frozen=True):
    """The request may run on a target that runs nothing else.

    The caller must end it with `Quarantine.observe_end`, `observe_crash` or `abandon`.
    """


class Quarantine:
    """Requests that were running when a target died.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quarantine_s : float
        Seconds for which a convicted request is refused. After them it is a suspect
        again, so that it crashes at most one target in each such period.
    """

    __slots__ = ('_alone', '_clock', '_peer_runs', '_table')

    def __init__(self, clock: Clock, quarantine_s: float = 600) -> None:
        self._clock = clock
        self._table = SuspectTable(clock, quarantine_s)
        # Suspects that run alone here, by the time of their start, and the times until
        # which those at peers count as running.
        self._alone: dict[str, float] = {}
        self._peer_runs: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of requests remembered."""
        return len(self._table)

    def __repr__(self) -> str:
        """Return the counts."""
        return f'<Quarantine known={len(self)} alone={len(self._alone)}>'

    def check(self, fingerprint: str) -> Clear | RunAlone | NotRun:
        """Return how the request may run now."""
        match self._table.get_state(fingerprint):
            case None | State.cleared:
                return Clear()
            case State.quarantined:
                return NotRun(Reason.quarantined, 'it crashed the targets that ran it')
        if fingerprint in self._alone or self._runs_at_peer(fingerprint):
            return NotRun(Reason.quarantined, 'another run of it is awaited')
        self._alone[fingerprint] = self._clock.now()
        return RunAlone()

    def observe_crash(
        self, fingerprint: str, alone: bool, bystanders: tuple[str, ...] = ()
    ) -> None:
        """Record that a target died while it ran requests.

        Parameters
        ----------
        fingerprint : str
            One of the requests.
        alone : bool
            Whether it had the target for itself. It is convicted only if it was already
            a suspect, that is, if `check` had returned `RunAlone`.
        bystanders : tuple of str
            The other requests that were running on the target.
        """
        if alone and fingerprint in self._alone:
            self._alone.pop(fingerprint, None)
            self._table.put(fingerprint, State.quarantined)
        for suspect in (fingerprint, *bystanders):
            if self._table.get_state(suspect) is not State.quarantined:
                self._table.put(suspect, State.suspect)

    def observe_end(self, fingerprint: str, alone: bool = False) -> None:
        """Record that a run of the request ended without harm to its target.

        Parameters
        ----------
        fingerprint : str
            The request.
        alone : bool
            Whether this run was the one that `RunAlone` had allowed.
        """
        if alone:
            self._alone.pop(fingerprint, None)
        if self._table.get_state(fingerprint) is State.suspect:
            self._table.put(fingerprint, State.cleared)

    def abandon(self, fingerprint: str) -> None:
        """Record that a run alone did not take place; the suspicion remains."""
        self._alone.pop(fingerprint, None)

    def find_state(self, fingerprint: str) -> str:
        """Return ``suspect`` or ``quarantined``, or an empty string."""
        state = self._table.get_state(fingerprint)
        is_open = state in {State.suspect, State.quarantined}
        return state.value if is_open else ''

    def merge(self, suspects: tuple[Suspect, ...]) -> None:
        """Take over what a peer reports.

        Late, repeated and reordered reports are allowed; unknown states are ignored.
        """
        until = self._clock.now() + PEER_RUN_S
        for suspect in suspects:
            if suspect.state == State.alone:
                self._peer_runs[suspect.fingerprint] = until
            self._table.merge(suspect)

    def list_suspects(self) -> tuple[Suspect, ...]:
        """Return what to report to peers; a bounded number, newest first."""
        now = self._clock.now()
        running = tuple(
            Suspect(fingerprint, State.alone, now - since)
            for fingerprint, since in sorted(self._alone.items())
        )
        return running + self._table.list_news()

    def _runs_at_peer(self, fingerprint: str) -> bool:
        now = self._clock.now()
        self._peer_runs = {
            known: until for known, until in self._peer_runs.items() if until > now
        }
        return fingerprint in self._peer_runs


def make_fingerprint(*parts: str) -> str:
    """Return the digest that identifies a request.

    Parameters
    ----------
    parts : str
        Team, service, method, path, query and request key, in this order; an empty
        string for what is absent.
    """
    digest = sha256()
    for part in parts:
        encoded = part.encode('utf-8', 'surrogatepass')
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    return digest.digest()[:FINGERPRINT_BYTES].hex()
