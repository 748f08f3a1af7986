"""Return of freed memory to the system, on C libraries that offer it.

Freed bodies leave gaps in the heap that other sizes don't fill, so that the process could
grow far beyond what it holds.
"""

import ctypes
from contextlib import suppress

from currantmast.direct.memory import BYTES_PER_MB, MemoryBudget

# Smallest allocation in bytes that is returned at once; below the size of a body's block.
# A fixed value keeps the C library from raising it.
DIRECT_BYTES = 131_072

# Number of the setting in the C library.
MMAP_THRESHOLD = -3

# Fall of the held bytes after which the heap is trimmed.
TRIM_BYTES = 16 * BYTES_PER_MB


class Heap:
    """Heap of the process, which is trimmed after much has been given back.

    Parameters
    ----------
    budget : MemoryBudget
        Budget whose held bytes tell when.
    """

    __slots__ = ('_budget', '_highest', '_library')

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._highest = 0
        self._library = ctypes.CDLL(None)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Heap highest={self._highest}>'

    def configure(self) -> None:
        """Have large allocations returned as soon as they are freed."""
        with suppress(AttributeError):
            self._library.mallopt(MMAP_THRESHOLD, DIRECT_BYTES)

    def update(self) -> None:
        """Trim the heap if far less is held than at an earlier call."""
        held = self._budget.held
        self._highest = max(self._highest, held)
        if self._highest - held < TRIM_BYTES:
            return
        self._highest = held
        with suppress(AttributeError):
            self._library.malloc_trim(0)
