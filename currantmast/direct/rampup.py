"""Ramp-up of targets that start or recover: how many requests each instance may send.

It handles the requests that all instances would send at once to a target that starts,
restarts, ends its cold time, an ejection or a pause, or whose failure domain comes back.
"""

import math
from enum import StrEnum

import msgspec

from currantmast.clocks import Clock
from currantmast.runtime.logs import log_event

# Seconds in which the level doubles without answers, and the limit to which bad answers
# extend them.
STEP_S = 0.5
MAX_STEP_S = 2.0

# Seconds for which a target is idle before the turn to send passes to other instances, and
# the parts of a large fleet that have a turn one after the other.
TURN_S = 0.25
TURNS = 8

# Ratio of a processing time to the usual one from which an answer counts as slow.
SLOW_RATIO = 3.0

# Seconds after a decrease within which further bad answers belong to the same overload.
ROUND_S = 0.2

# Seconds after a decrease for which the other instances are told of the level, unless a
# good answer follows.
TOLD_S = 2.0

# Longest ramp-up in seconds after the cold time, or after the last failure.
MAX_RAMP_S = 10.0

# Running and queued requests for each slot of a target at its usual load.
USUAL_LOAD_PER_SLOT = 2


class RampCause(StrEnum):
    """Why a target ramps up."""

    cold = 'cold'
    restart = 'restart'
    ejection = 'ejection'
    evacuation = 'evacuation'
    pause = 'pause'
    peers = 'peers'


class Situation(msgspec.Struct, frozen=True):
    """What an instance knows of a target when it asks whether to send.

    Parameters
    ----------
    rank : int
        Rank of this instance among the members, from 0; `members` if it is none of them.
    members : int
        Instances that may send.
    slots : int
        Requests that the target runs at the same time.
    load : int
        Running and queued requests of the target, from all instances.
    in_flight : int
        Those of this instance.
    cold_until : float
        Time at which the target is, or was, no longer cold.
    """

    rank: int
    members: int
    slots: int
    load: int
    in_flight: int
    cold_until: float

    @property
    def usual_load(self) -> int:
        """Running and queued requests that the target has when it doesn't ramp up."""
        return max(1, self.slots) * USUAL_LOAD_PER_SLOT

    def get_share(self, level: int, turn: int) -> int:
        """Return how many of `level` requests belong to this instance.

        The shares of all members add up to the level. Each turn begins with the instances
        that had no share in the one before.
        """
        if self.rank >= self.members:
            return 0
        part = max(level, math.ceil(self.members / TURNS)) if turn else level
        place = (self.rank - turn * part) % self.members
        return math.ceil((part - place) / self.members) if part > place else 0


class RampUp:
    """Ramp-up of one target, as one instance knows it.

    The level is the number of requests that all instances together may have at the
    target. Each instance estimates it, and sends only its share. Beyond the usual load of
    the target the level lets more instances send, and not more requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    target_id : str
        Id of the target.
    slots : int
        Requests that the target runs at the same time.
    is_cold : bool
        Whether the target was listed as cold, and so ramps up from the first.

    Attributes
    ----------
    active : bool
        Whether the target ramps up.
    level : float
        Requests that all instances together may have at it.
    """

    __slots__ = (
        '_cause',
        '_clock',
        '_counts',
        '_has_answers',
        '_idle_since',
        '_is_cold',
        '_is_logged',
        '_sent_at',
        '_share',
        '_shrunk_at',
        '_since',
        '_slots',
        '_slowdown',
        '_step_s',
        '_stepped_at',
        '_target_id',
        '_told_until',
        'active',
        'level',
    )

    def __init__(
        self, clock: Clock, target_id: str, slots: int, *, is_cold: bool
    ) -> None:
        self._clock = clock
        self._target_id = target_id
        self._slowdown: float = 1
        # An earlier object of the same run may have sent a request just now.
        self._sent_at = clock.now()
        self._has_answers = False
        self.begin(RampCause.cold, slots)
        self.active = is_cold

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RampUp active={self.active} level={self.level:.1f}>'

    def begin(self, cause: RampCause, slots: int, delay_s: float = 0) -> None:
        """Begin the ramp-up `delay_s` seconds from now, anew if it is under way."""
        self.active = True
        self._slots = max(1, slots)
        self.level: float = self._slots
        self._cause = cause
        self._since = self._clock.now() + delay_s
        self._stepped_at = self._since
        self._idle_since = self._since
        self._step_s = STEP_S
        self._shrunk_at = -math.inf
        self._told_until = -math.inf
        self._share = 1
        self._is_cold = False
        self._is_logged = False
        self._counts = {'good': 0, 'slow': 0, 'refused': 0, 'failed': 0}

    def allows(self, situation: Situation) -> bool:
        """Return whether this instance may send a request now."""
        self._advance(situation)
        if not self.active:
            return True
        if not self._is_logged:
            self._log_begin(situation)
        level = max(1, int(self.level))
        self._share = situation.get_share(level, self._count_turns(situation))
        if self._is_cold and self._shrunk_at == -math.inf:
            # The rate of a cold target divides it. It is slow, and must have no queue.
            return situation.load < min(level, max(1, situation.slots))
        most = min(level, situation.usual_load)
        return situation.in_flight < self._share and situation.load < most

    def begins_unused(self) -> bool:
        """Return whether nobody asked since the begin, and nothing was sent for a second."""
        return not self._is_logged and self._clock.now() - self._sent_at >= 1

    def note_sent(self) -> None:
        """Record that this instance sends a request."""
        self._sent_at = self._clock.now()

    def get_told_level(self) -> int | None:
        """Return the level that others should know of, after bad answers to this one."""
        is_told = self.active and self._clock.now() < self._told_until
        return int(self.level) if is_told else None

    def note_peer_level(self, level: int) -> None:
        """Lower the level to that of an instance that got bad answers.

        An instance that got answers itself relies on them. A new one begins a ramp-up.
        """
        if not (self.active or self._has_answers):
            self.begin(RampCause.peers, self._slots)
        if self.active and not any(self._counts.values()):
            now = self._clock.now()
            self.level = max(1, min(self.level, level))
            self._stepped_at = max(self._stepped_at, now)
            self._idle_since = max(self._idle_since, now)

    def note_slowdown(self, slowdown: float | None) -> None:
        """Record the slowdown that the target reports, if it does."""
        self._slowdown = slowdown or 1

    def note_answer(self, slowness: float) -> None:
        """Record an answer whose processing took `slowness` times the usual."""
        self._has_answers = True
        if not self.active:
            return
        if max(slowness, self._slowdown) < SLOW_RATIO:
            self._counts['good'] += 1
            self._grow()
        elif not self._is_cold:
            # A cold target is slow at any level.
            self._counts['slow'] += 1
            self._shrink()

    def note_refusal(self) -> None:
        """Record that the target refused a request because it was full."""
        self._has_answers = True
        if self.active:
            self._counts['refused'] += 1
            self._shrink()

    def note_failure(self) -> None:
        """Record a failed request or broken connection."""
        self._has_answers = True
        if self.active:
            self._counts['failed'] += 1
            self._since = max(self._since, self._clock.now())
            self._shrink()

    def _advance(self, situation: Situation) -> None:
        """Raise the level by the time that passed, and end the ramp-up when it is due."""
        now = self._clock.now()
        final_level = max(situation.usual_load * 2, situation.members)
        self._is_cold = now < situation.cold_until
        # Nothing grows with time before the cold time is over.
        self._since = max(self._since, situation.cold_until)
        self._stepped_at = max(self._stepped_at, situation.cold_until)
        while self.level < final_level and now - self._stepped_at >= self._step_s:
            self._stepped_at += self._step_s
            self.level *= 2
        if self._is_cold:
            # The other instances begin after the cold time, not all at its end.
            self.level = min(self.level, situation.usual_load)
        elif self.level >= final_level:
            self._end('usual_load')
        elif now - self._since >= MAX_RAMP_S:
            self._end('time')

    def _count_turns(self, situation: Situation) -> int:
        """Return how often the turn to send has passed on, since nobody used it."""
        now = self._clock.now()
        if situation.load or self._is_cold or now < self._told_until:
            self._idle_since = max(self._idle_since, now)
        self._idle_since = max(self._idle_since, situation.cold_until)
        return max(0, int((now - self._idle_since) / TURN_S))

    def _grow(self) -> None:
        """Raise the level: twofold until the first bad answer, then by one a round.

        An instance sees only the answers to its share of the requests, so each stands
        for those of the others too.
        """
        added = self.level if self._shrunk_at == -math.inf else 1
        self.level += added / max(1, self._share)
        self._told_until = -math.inf
        self._step_s = max(STEP_S, self._step_s / 2)

    def _shrink(self) -> None:
        """Halve the level, and lengthen the steps that raise it again."""
        now = self._clock.now()
        self._stepped_at = max(self._stepped_at, now)
        self._told_until = now + TOLD_S
        if now - self._shrunk_at < ROUND_S:
            return
        self._shrunk_at = now
        self.level = max(1, min(self.level, self._slots * USUAL_LOAD_PER_SLOT) / 2)
        self._step_s = min(MAX_STEP_S, self._step_s * 2)

    def _end(self, reason: str) -> None:
        self.active = False
        if self._is_logged:
            log_event(
                'target_ramp_ended',
                target=self._target_id,
                reason=reason,
                took_s=self._clock.now() - self._since,
                allowed=int(self.level),
                **self._counts,
            )

    def _log_begin(self, situation: Situation) -> None:
        self._is_logged = True
        log_event(
            'target_ramp_begun',
            target=self._target_id,
            cause=self._cause.value,
            allowed=int(self.level),
            slots=situation.slots,
            load=situation.load,
            rank=situation.rank,
            members=situation.members,
            cold=self._is_cold,
        )
