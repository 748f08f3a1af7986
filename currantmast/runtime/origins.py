"""Where an unexpected error was raised, for log lines."""

import traceback
from pathlib import Path

# Innermost calls that are named; the outer ones are the same for every failure of a task.
MAX_CALLS = 4


def find_origin(error: BaseException) -> str:
    """Return the innermost calls that led to `error`, the last one first.

    Returns
    -------
    str
        For example ``logs.py:117<instance_state.py:230``; a dash without a traceback.
    """
    frames = traceback.extract_tb(error.__traceback__, -MAX_CALLS)
    calls = [f'{Path(frame.filename).name}:{frame.lineno}' for frame in frames]
    return '<'.join(reversed(calls)) or '-'
