"""Bounded table of requests that are suspected of crashing targets.

Instances exchange their entries in heartbeats.
"""

from enum import StrEnum
from itertools import islice
from types import MappingProxyType

import msgspec

from currantmast.clocks import Clock
from currantmast.messages import Suspect

# Maximum number of entries, about 256 kB. A full table evicts the oldest cleared entry;
# if there is none, the oldest suspect; if there is none either, the oldest quarantined one.
MAX_ENTRIES = 1024

# Seconds after which a suspect expires if its request was not sent again.
SUSPECT_TTL_S = 600

# Seconds for which a cleared entry is kept, so that it reaches all peers.
CLEARED_TTL_S = 10

# Seconds for which an entry counts as recent and is sent in every heartbeat.
RECENT_S = 5

# Maximum number of entries in one heartbeat, together about 3 kB. Older entries are sent in
# rotation, for peers that have joined or were partitioned.
MAX_RECENT_ENTRIES = 32
MAX_OLDER_ENTRIES = 8


class SuspectState(StrEnum):
    """State of a request that was running when a target crashed.

    `alone` means an exclusive run in progress at the sender; it occurs in heartbeats only.
    """

    suspect = 'suspect'
    alone = 'alone'
    quarantined = 'quarantined'
    cleared = 'cleared'


class SuspectEntry(msgspec.Struct, frozen=True):
    """State of a request and the monotonic time in seconds at which it was entered."""

    state: SuspectState
    since: float


class SuspectTable:
    """States of suspected requests by fingerprint (see `quarantine.make_fingerprint`).

    Parameters
    ----------
    clock : Clock
        Clock of this instance.
    quarantine_s : float
        Seconds after which a quarantined request becomes a suspect again.
    """

    __slots__ = ('_clock', '_entries', '_quarantine_s', '_rotation_start')

    def __init__(self, clock: Clock, quarantine_s: float) -> None:
        self._clock = clock
        self._quarantine_s = quarantine_s
        self._entries: dict[str, SuspectEntry] = {}
        self._rotation_start = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<SuspectTable entries={len(self)}>'

    def get_state(self, fingerprint: str) -> SuspectState | None:
        """Return the current state, or None if there is no entry."""
        entry = self._get_current(fingerprint)
        return entry and entry.state

    def put(self, fingerprint: str, state: SuspectState) -> None:
        """Set the state, beginning now."""
        self._store(fingerprint, SuspectEntry(state, self._clock.now()))

    def merge(self, suspect: Suspect) -> None:
        """Store a peer's entry unless the local one takes precedence.

        Quarantined takes precedence over other states; otherwise the later entry does.
        Of two entries with the same state the earlier takes precedence, so that entries
        don't get younger as peers exchange them. An exclusive run at a peer is stored as a
        suspect since the start of that run.
        """
        state = _LOCAL_STATES.get(suspect.state)
        if state is None:
            return
        theirs = SuspectEntry(state, self._clock.now() - suspect.age_s)
        if self._has_expired(theirs):
            return
        own = self._get_current(suspect.fingerprint)
        if own is None or _takes_precedence(theirs, own):
            self._store(suspect.fingerprint, theirs)

    def select_for_heartbeat(self) -> tuple[Suspect, ...]:
        """Return recent entries, newest first, and some older ones in rotation."""
        for fingerprint in tuple(self._entries):
            self._get_current(fingerprint)
        now = self._clock.now()
        ages = {known: now - entry.since for known, entry in self._entries.items()}
        order = sorted(ages, key=ages.get)
        recent = [
            known for known in order[:MAX_RECENT_ENTRIES] if ages[known] <= RECENT_S
        ]
        chosen = recent + self._rotate_older(order[len(recent) :])
        return tuple(
            Suspect(known, self._entries[known].state, ages[known]) for known in chosen
        )

    def _rotate_older(self, older: list[str]) -> list[str]:
        if not older:
            return []
        start = self._rotation_start % len(older)
        self._rotation_start = start + MAX_OLDER_ENTRIES
        return list(islice(older[start:] + older[:start], MAX_OLDER_ENTRIES))

    def _store(self, fingerprint: str, entry: SuspectEntry) -> None:
        self._entries[fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            self._entries.pop(min(self._entries, key=self._get_eviction_key))

    def _get_eviction_key(self, fingerprint: str) -> tuple[int, float]:
        entry = self._entries[fingerprint]
        return _EVICTION_ORDER[entry.state], entry.since

    def _get_current(self, fingerprint: str) -> SuspectEntry | None:
        """Return the current entry, or None.

        An expired entry is dropped, or becomes a suspect if it was quarantined.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or not self._has_expired(entry):
            return entry
        self._entries.pop(fingerprint)
        if entry.state is not SuspectState.quarantined:
            return None
        entry = SuspectEntry(SuspectState.suspect, entry.since + self._quarantine_s)
        if self._has_expired(entry):
            return None
        self._entries[fingerprint] = entry
        return entry

    def _has_expired(self, entry: SuspectEntry) -> bool:
        lifetimes = {
            SuspectState.suspect: SUSPECT_TTL_S,
            SuspectState.quarantined: self._quarantine_s,
            SuspectState.cleared: CLEARED_TTL_S,
        }
        return self._clock.now() - entry.since >= lifetimes[entry.state]


# Local states by the states in heartbeats.
_LOCAL_STATES = MappingProxyType(
    {state.value: state for state in SuspectState}
    | {SuspectState.alone.value: SuspectState.suspect}
)

# Order in which a full table evicts entries.
_EVICTION_ORDER = MappingProxyType(
    {SuspectState.cleared: 0, SuspectState.suspect: 1, SuspectState.quarantined: 2}
)


def _takes_precedence(theirs: SuspectEntry, own: SuspectEntry) -> bool:
    if theirs.state is own.state:
        return theirs.since < own.since
    if SuspectState.quarantined in {theirs.state, own.state}:
        return theirs.state is SuspectState.quarantined
    return theirs.since > own.since
