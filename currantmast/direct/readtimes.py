"""How old what an instance knows of the store is, by topic."""

import math

from currantmast.clocks import Clock
from currantmast.direct.updates import Topic


class ReadTimes:
    """Newest time at which what is known of each topic was certainly in the store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_read_at')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._read_at: dict[Topic, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        ages = {topic.value: round(self.age(topic), 3) for topic in self._read_at}
        return f'<ReadTimes {ages}>'

    def note(self, topic: Topic, read_at: float) -> None:
        """Record a read of `topic` that showed the store at `read_at` seconds or later."""
        self._read_at[topic] = max(read_at, self._read_at.get(topic, -math.inf))

    def age(self, topic: Topic) -> float:
        """Return the seconds since the newest read of `topic`; inf before the first."""
        return self._clock.now() - self._read_at.get(topic, -math.inf)
