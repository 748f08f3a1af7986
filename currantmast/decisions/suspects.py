"""Bounded table of suspected, quarantined and cleared requests."""

from enum import StrEnum
from itertools import islice
from types import MappingProxyType

import msgspec

from currantmast.clocks import Clock
from currantmast.messages import Suspect

# Entries remembered; about 256 kB. Beyond them the oldest cleared, then the oldest
# suspected, then the oldest quarantined ones are forgotten.
MAX_ENTRIES = 1024

# Seconds after which a suspect that was not sent again is forgotten.
SUSPECT_S = 600

# Seconds for which a clearance is remembered, so that it reaches all peers.
CLEARED_S = 10

# Seconds for which an entry is reported in every heartbeat.
NEWS_S = 5

# Entries in one heartbeat: new ones, and older ones by turns for peers that have joined
# or were cut off; about 3 kB.
MAX_NEWS = 32
MAX_REMINDERS = 8


class State(StrEnum):
    """What is known of a request; `alone` occurs in reports only."""

    suspect = 'suspect'
    alone = 'alone'
    quarantined = 'quarantined'
    cleared = 'cleared'


class Entry(msgspec.Struct, frozen=True):
    """State of a request and the monotonic time in seconds of its entry into it."""

    state: State
    since: float


class SuspectTable:
    """States of requests by fingerprint.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quarantine_s : float
        Seconds until a quarantined request becomes a suspect again.
    """

    __slots__ = ('_clock', '_entries', '_quarantine_s', '_reminded')

    def __init__(self, clock: Clock, quarantine_s: float) -> None:
        self._clock = clock
        self._quarantine_s = quarantine_s
        self._entries: dict[str, Entry] = {}
        self._reminded = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __repr__(self) -> str:
        """Return the number of entries."""
        return f'<SuspectTable entries={len(self)}>'

    def get_state(self, fingerprint: str) -> State | None:
        """Return the present state, or None when nothing is known."""
        entry = self._age(fingerprint)
        return entry and entry.state

    def put(self, fingerprint: str, state: State) -> None:
        """Enter `state` now."""
        self._store(fingerprint, Entry(state, self._clock.now()))

    def merge(self, suspect: Suspect) -> None:
        """Take over a peer's entry unless the own one takes precedence.

        A conviction outranks all; otherwise the later entry holds. Of equal states the
        earlier entry holds, so that ages don't shrink as entries pass between peers.
        A run alone at a peer is merged as a suspicion of the time of its start.
        """
        state = _MERGED_STATES.get(suspect.state)
        if state is None:
            return
        theirs = Entry(state, self._clock.now() - suspect.age_s)
        if self._is_past(theirs):
            return
        own = self._age(suspect.fingerprint)
        if own is None or _outranks(theirs, own):
            self._store(suspect.fingerprint, theirs)

    def list_news(self) -> tuple[Suspect, ...]:
        """Return the newest entries, and some of the older ones by turns."""
        for fingerprint in tuple(self._entries):
            self._age(fingerprint)
        now = self._clock.now()
        ages = {known: now - entry.since for known, entry in self._entries.items()}
        order = sorted(ages, key=ages.get)
        news = [known for known in order[:MAX_NEWS] if ages[known] <= NEWS_S]
        chosen = news + self._choose_reminders(order[len(news) :])
        return tuple(
            Suspect(known, self._entries[known].state, ages[known]) for known in chosen
        )

    def _choose_reminders(self, older: list[str]) -> list[str]:
        if not older:
            return []
        start = self._reminded % len(older)
        self._reminded = start + MAX_REMINDERS
        return list(islice(older[start:] + older[:start], MAX_REMINDERS))

    def _store(self, fingerprint: str, entry: Entry) -> None:
        self._entries[fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            self._entries.pop(min(self._entries, key=self._rank))

    def _rank(self, fingerprint: str) -> tuple[int, float]:
        entry = self._entries[fingerprint]
        return _RANKS[entry.state], entry.since

    def _age(self, fingerprint: str) -> Entry | None:
        """Return the entry after the changes that time alone has made."""
        entry = self._entries.get(fingerprint)
        if entry is None or not self._is_past(entry):
            return entry
        self._entries.pop(fingerprint)
        if entry.state is not State.quarantined:
            return None
        entry = Entry(State.suspect, entry.since + self._quarantine_s)
        if self._is_past(entry):
            return None
        self._entries[fingerprint] = entry
        return entry

    def _is_past(self, entry: Entry) -> bool:
        lifetimes = {
            State.suspect: SUSPECT_S,
            State.quarantined: self._quarantine_s,
            State.cleared: CLEARED_S,
        }
        return self._clock.now() - entry.since >= lifetimes[entry.state]


# States of reports and what they are merged as.
_MERGED_STATES = MappingProxyType(
    {state.value: state for state in State} | {State.alone.value: State.suspect}
)

# Order in which a full table forgets entries.
_RANKS = MappingProxyType({State.cleared: 0, State.suspect: 1, State.quarantined: 2})


def _outranks(theirs: Entry, own: Entry) -> bool:
    if theirs.state is own.state:
        return theirs.since < own.since
    if State.quarantined in {theirs.state, own.state}:
        return theirs.state is State.quarantined
    return theirs.since > own.since
