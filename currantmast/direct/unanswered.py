"""Requests that targets left without an answer, until it is known why.

A target that crashes may fall silent: its connections then tell nothing, and by the time
they are reset it is back. Its next run in the list of targets tells that the one before
has ended. A target that is only slow or cut off is listed with the same run.
"""

from collections import OrderedDict

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.crashes import CrashingRequests
from currantmast.direct.model import TargetRecord
from currantmast.runtime.logs import log_event

# Seconds for which the next run of a silent target is awaited.
AWAITED_S = 15.0

# Runs that are listed within this time in seconds count as one crash: the targets may have
# lost power together, whatever they were running.
SPAN_S = 1.5

# Most unanswered requests that are remembered.
MAX_UNANSWERED = 256


class _Unanswered(msgspec.Struct):
    """A target that left a request unanswered, and since when.

    `counted_at` is the time at which its crash was counted; None before.
    """

    target: TargetRecord
    since: float
    counted_at: float | None = None


class UnansweredRequests:
    """Requests without an answer, by the target that had them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crashing : CrashingRequests
        The requests suspected so far.
    """

    __slots__ = ('_clock', '_crashing', '_known')

    def __init__(self, clock: Clock, crashing: CrashingRequests) -> None:
        self._clock = clock
        self._crashing = crashing
        # By fingerprint and id of the target, the newest last.
        self._known: OrderedDict[tuple[str, str], _Unanswered] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._known)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<UnansweredRequests {len(self)}>'

    def note(self, fingerprint: str, target: TargetRecord) -> None:
        """Record that a target left a request without an answer."""
        self._expire()
        place = fingerprint, target.id
        self._known[place] = _Unanswered(target, self._clock.now())
        self._known.move_to_end(place)
        if len(self._known) > MAX_UNANSWERED:
            self._known.popitem(last=False)

    def forget(self, fingerprint: str, target: TargetRecord) -> None:
        """Forget a request at one target."""
        self._known.pop((fingerprint, target.id), None)

    def note_answer(self, fingerprint: str) -> None:
        """Forget a request that another target has answered."""
        for place in tuple(self._known):
            if place[0] == fingerprint:
                self._known.pop(place)

    def note_listed(self, target: TargetRecord) -> None:
        """Suspect what an earlier run at the address of a listed target left unanswered."""
        self._expire()
        for (fingerprint, _), known in tuple(self._known.items()):
            if known.counted_at is None and _is_next_run(target, known.target):
                self._count(fingerprint, known)

    def _count(self, fingerprint: str, known: _Unanswered) -> None:
        now = self._clock.now()
        last = self._find_last_count(fingerprint)
        known.counted_at = now
        if last is not None and now - last < SPAN_S:
            return
        target_id = known.target.id
        log_event(
            'request_suspected',
            level='WARNING',
            fingerprint=fingerprint,
            target=target_id,
            silent_s=now - known.since,
            crashes=self._crashing.note_crash(fingerprint, target_id),
        )

    def _find_last_count(self, fingerprint: str) -> float | None:
        times = [
            known.counted_at
            for (name, _), known in self._known.items()
            if name == fingerprint and known.counted_at is not None
        ]
        return max(times, default=None)

    def _expire(self) -> None:
        oldest = self._clock.now() - AWAITED_S
        while self._known and next(iter(self._known.values())).since <= oldest:
            self._known.popitem(last=False)


def _is_next_run(listed: TargetRecord, silent: TargetRecord) -> bool:
    return (
        listed.address == silent.address and listed.started_at_ms > silent.started_at_ms
    )
