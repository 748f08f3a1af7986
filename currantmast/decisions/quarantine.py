"""Quarantine of requests that crash their targets (poison requests).

When a target crashes, every request that was running on it becomes a suspect. The next
run of a suspect is exclusive, that is, the only one on its target. If that target crashes
too, the request is quarantined, otherwise it is cleared. Instances report these states to
their peers in heartbeats.

Copies of a request that crashes every target, sent one after the other, crash at most
`MAX_CRASHES_PER_INSTANCE` targets for each instance that has not received the reports of
the others: one in the first run and one in the exclusive run. If each report reaches all
instances before the next copy is sent, they crash at most two targets in the whole fleet.
Copies that are already running when the first crash is seen can't be stopped; each may
crash one more target.
"""

from hashlib import sha256

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.suspects import SuspectState, SuspectTable
from currantmast.messages import Suspect
from currantmast.outcomes import NotRun, Reason

# One in the run that makes the request a suspect, and one in its exclusive run.
MAX_CRASHES_PER_INSTANCE = 2

# Length of a fingerprint, a truncated SHA-256, in bytes; long enough that collisions can't
# be constructed.
FINGERPRINT_BYTES = 16

# Seconds for which a peer's report of an exclusive run keeps this instance from starting
# one for the same request. Several heartbeats, so that the loss of one doesn't let a second
# run start.
PEER_RUN_TIMEOUT_S = 3


class RunShared(msgspec.Struct, frozen=True):
    """Decision that the request may share a target with other requests."""


class RunAlone(msgspec.Struct, frozen=True):
    """Decision that the request must be the only one on its target.

    The calling code must report the end of the run with `Quarantine.observe_end`,
    `Quarantine.observe_crash` or `Quarantine.abandon`.
    """


class Quarantine:
    """Tracks requests that were running when a target crashed.

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
    quarantine_s : float
        Seconds for which a quarantined request is refused. It then becomes a suspect
        again, so that it crashes at most one target in each such period.
    """

    __slots__ = ('_clock', '_exclusive_runs', '_peer_runs', '_table')

    def __init__(self, clock: Clock, quarantine_s: float = 600) -> None:
        self._clock = clock
        self._table = SuspectTable(clock, quarantine_s)
        # By fingerprint: start times of the exclusive runs here, and times until which the
        # exclusive runs at peers count as in progress.
        self._exclusive_runs: dict[str, float] = {}
        self._peer_runs: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of requests in the table."""
        return len(self._table)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Quarantine known={len(self)} alone={len(self._exclusive_runs)}>'

    def check(self, fingerprint: str) -> RunShared | RunAlone | NotRun:
        """Return whether the request may run, and whether its run must be exclusive."""
        match self._table.get_state(fingerprint):
            case None | SuspectState.cleared:
                return RunShared()
            case SuspectState.quarantined:
                return NotRun(Reason.quarantined, 'it crashed the targets that ran it')
        if fingerprint in self._exclusive_runs or self._runs_at_peer(fingerprint):
            return NotRun(Reason.quarantined, 'another run of it is awaited')
        self._exclusive_runs[fingerprint] = self._clock.now()
        return RunAlone()

    def observe_crash(
        self, fingerprint: str, alone: bool, other_fingerprints: tuple[str, ...] = ()
    ) -> None:
        """Record that a target crashed while requests were running on it.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of one of the requests.
        alone : bool
            Whether it was the only request on the target. It is quarantined only if it
            was already a suspect, that is, if `check` had returned `RunAlone`.
        other_fingerprints : tuple of str
            Fingerprints of the other requests that were running on the target.
        """
        if alone and fingerprint in self._exclusive_runs:
            self._exclusive_runs.pop(fingerprint, None)
            self._table.put(fingerprint, SuspectState.quarantined)
        for suspect in (fingerprint, *other_fingerprints):
            if self._table.get_state(suspect) is not SuspectState.quarantined:
                self._table.put(suspect, SuspectState.suspect)

    def observe_end(self, fingerprint: str, alone: bool = False) -> None:
        """Record that a run of the request ended and its target did not crash.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        alone : bool
            Whether this was the run for which `check` had returned `RunAlone`.
        """
        if alone:
            self._exclusive_runs.pop(fingerprint, None)
        if self._table.get_state(fingerprint) is SuspectState.suspect:
            self._table.put(fingerprint, SuspectState.cleared)

    def abandon(self, fingerprint: str) -> None:
        """End an exclusive run that says nothing about the request, which stays a suspect.

        The run did not take place, or it failed in another way than by a crash.
        """
        self._exclusive_runs.pop(fingerprint, None)

    def find_state(self, fingerprint: str) -> str:
        """Return ``suspect`` or ``quarantined``, or an empty string for other requests."""
        state = self._table.get_state(fingerprint)
        is_suspected = state in {SuspectState.suspect, SuspectState.quarantined}
        return state.value if is_suspected else ''

    def merge(self, suspects: tuple[Suspect, ...]) -> None:
        """Merge the suspects that a peer reports.

        Reports may be late, repeated and out of order. Unknown states are ignored.
        """
        until = self._clock.now() + PEER_RUN_TIMEOUT_S
        for suspect in suspects:
            if suspect.state == SuspectState.alone:
                self._peer_runs[suspect.fingerprint] = until
            self._table.merge(suspect)

    def list_suspects(self) -> tuple[Suspect, ...]:
        """Return a bounded number of entries to report to peers.

        Exclusive runs at this instance come first, then recent entries, then older ones.
        """
        now = self._clock.now()
        running = tuple(
            Suspect(fingerprint, SuspectState.alone, now - since)
            for fingerprint, since in sorted(self._exclusive_runs.items())
        )
        return running + self._table.select_for_heartbeat()

    def _runs_at_peer(self, fingerprint: str) -> bool:
        now = self._clock.now()
        self._peer_runs = {
            known: until for known, until in self._peer_runs.items() if until > now
        }
        return fingerprint in self._peer_runs


def make_fingerprint(*parts: str) -> str:
    """Return the digest that is the same for all copies of a request.

    Parameters
    ----------
    parts : str
        Team, service, method, path, query and request key, in this order; empty strings
        for parts that are absent.
    """
    digest = sha256()
    for part in parts:
        encoded = part.encode('utf-8', 'surrogatepass')
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    return digest.digest()[:FINGERPRINT_BYTES].hex()
