"""Processes that the experiment starts and ends by their id."""

import os
import re
import signal
import subprocess  # noqa: S404
import sys
import time
from pathlib import Path
from typing import Self

import gevent
import msgspec

from currantmast.errors import CurrantmastError

POLL_S = 0.02
"""Pause between two looks at a process or its output, in seconds."""

TAIL_LINES = 15
"""Lines of a process's output that are shown when it fails."""

TAIL_WARNINGS = 3
"""Warnings of each process that are shown when a run fails."""

READY_PREFIX = 'ready '
ROUTINE = re.compile('^ready |level=(INFO|DEBUG)')
RUN_BINARY = 'from currantmast.commands import main; main()'


class ProcessFailed(CurrantmastError):
    """A process ended or did not become ready in time.

    Parameters
    ----------
    name : str
        Name of the process.
    problem : str
        What happened.
    tail : str
        Last lines of its output.
    """

    def __init__(self, name: str, problem: str, tail: str) -> None:
        self.name = name
        self.problem = problem
        self.tail = tail
        super().__init__(f'{name}: {problem}\n{tail}')


class CommandResult(msgspec.Struct, frozen=True):
    """Exit code and whole output of a finished command."""

    code: int
    output: str


def start_binary(arguments: tuple[str, ...], log_path: Path) -> subprocess.Popen:
    """Start the binary with its output appended to the file at `log_path`."""
    # The child gets this process's module path, so it runs the same source or archive.
    environment = os.environ | {
        'PYTHONPATH': os.pathsep.join(sys.path),
        'PYTHONUNBUFFERED': '1',
    }
    command = (sys.executable, '-c', RUN_BINARY, *arguments)
    with log_path.open('ab') as output:
        return subprocess.Popen(  # noqa: S603
            command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            env=environment,
        )


class Process:
    """One run of the binary.

    Parameters
    ----------
    name : str
        Name for messages and for the output file.
    arguments : tuple of str
        Arguments of the binary.
    directory : Path
        Where the output file is written.
    """

    __slots__ = ('_child', 'log_path', 'name')

    def __init__(self, name: str, arguments: tuple[str, ...], directory: Path) -> None:
        self.name = name
        self.log_path = directory / f'{name}.log'
        self._child = start_binary(arguments, self.log_path)

    def __enter__(self) -> Self:
        """Return the process itself."""
        return self

    def __exit__(self, *failure: object) -> None:
        """End the process."""
        self.end()

    def __repr__(self) -> str:
        """Return the name and process id."""
        return f'<Process {self.name} pid={self._child.pid}>'

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._child.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self._child.send_signal(number)

    def wait_ready(self, timeout_s: float) -> None:
        """Wait for the line that starts with ``ready``.

        Raises
        ------
        ProcessFailed
            If the process ended or the line did not come within `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while not has_line(self.read_output(), READY_PREFIX):
            self.check_running()
            if time.monotonic() > deadline:
                raise self.fail(f'not ready after {timeout_s} s')
            gevent.sleep(POLL_S)

    def wait_exit(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its exit code.

        Raises
        ------
        ProcessFailed
            If it still runs after `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while self.is_running():
            if time.monotonic() > deadline:
                raise self.fail(f'still runs after {timeout_s} s')
            gevent.sleep(POLL_S)
        return self._child.returncode

    def check_running(self) -> None:
        """Raise `ProcessFailed` if the process has ended."""
        if not self.is_running():
            raise self.fail(f'ended with exit code {self._child.returncode}')

    def end(self) -> None:
        """End the process at once, also while it is paused."""
        if self.is_running():
            self._child.kill()
        self._child.wait()

    def read_output(self) -> str:
        """Return everything that the process wrote."""
        return self.log_path.read_text(errors='replace')

    def read_warnings(self) -> str:
        """Return the last lines besides those of routine events."""
        lines = self.read_output().splitlines()
        unusual = [line for line in lines if not ROUTINE.search(line)]
        return '\n'.join(unusual[-TAIL_WARNINGS:])

    def fail(self, problem: str) -> ProcessFailed:
        """Return a failure that shows the last lines of the output."""
        lines = self.read_output().splitlines()
        return ProcessFailed(self.name, problem, '\n'.join(lines[-TAIL_LINES:]))


def has_line(text: str, prefix: str) -> bool:
    """Return whether a line of `text` starts with `prefix`."""
    return any(line.startswith(prefix) for line in text.splitlines())


def run_command(
    arguments: tuple[str, ...], directory: Path, timeout_s: float
) -> CommandResult:
    """Run the binary to its end and return the result.

    Raises
    ------
    ProcessFailed
        If it still runs after `timeout_s` seconds; it is ended then.
    """
    stamp = time.monotonic_ns()
    process = Process(f'command-{arguments[0]}-{stamp}', arguments, directory)
    with process:
        code = process.wait_exit(timeout_s)
        return CommandResult(code, process.read_output())
