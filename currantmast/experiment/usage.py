"""Processor time and resident memory of processes, as the kernel counts them."""

import gc
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

BYTES_PER_MB = 1_000_000
KB_BYTES = 1024
RESET_PEAK = '5'
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
CPU_FIELDS = slice(11, 13)


class Usage(msgspec.Struct, frozen=True):
    """What one step cost.

    Parameters
    ----------
    cpu_s : float
        Processor time of this process in seconds.
    grown_mb, peak_mb : float
        Resident memory kept after the step, and most during it, above the start, in
        MB (10^6 bytes).
    outcome : object
        What the step returned; it counts as kept.
    """

    cpu_s: float
    grown_mb: float
    peak_mb: float
    outcome: Any


def measure_step(step: Callable[[], Any]) -> Usage:
    """Run `step` in this process and return what it cost."""
    gc.collect()
    Path('/proc/self/clear_refs').write_text(RESET_PEAK)
    before_mb = read_memory_mb('self', 'VmRSS')
    started_s = time.process_time()
    outcome = step()
    cpu_s = time.process_time() - started_s
    peak_mb = read_memory_mb('self', 'VmHWM') - before_mb
    gc.collect()
    grown_mb = read_memory_mb('self', 'VmRSS') - before_mb
    return Usage(cpu_s, grown_mb, peak_mb, outcome)


def read_memory_mb(process: int | str, field: str = 'VmRSS') -> float:
    """Return a memory field of a process in MB (10^6 bytes)."""
    for line in Path(f'/proc/{process}/status').read_text().splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1]) * KB_BYTES / BYTES_PER_MB
    return 0


def read_cpu_s(process: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{process}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(int(ticks) for ticks in fields[CPU_FIELDS]) / TICKS_PER_S
