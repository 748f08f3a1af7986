"""A group of processes that ends together."""

import shutil
import signal
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Self

from loguru import logger

from currantmast.experiment.processes import Process

EXIT_TIMEOUT_S = 30
"""Longest time for a graceful stop, in seconds."""


class ProcessGroup:
    """Named processes of one temporary directory; a context manager.

    Attributes
    ----------
    directory : Path
        Temporary directory with settings and outputs; removed unless the run failed.
    """

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix='currantmast-'))
        self._processes: dict[str, Process] = {}
        self._shown = False
        self._down: set[str] = set()

    def __enter__(self) -> Self:
        """Start the group's processes."""
        try:
            self.start_all()
        except BaseException as failure:
            self.end_all(failure)
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that this group started."""
        self.end_all(failure)

    def start_all(self) -> None:
        """Start the processes; a subclass says which."""

    def start(self, name: str, *arguments: str) -> None:
        """Start the binary with `arguments` as the process `name`."""
        self._processes[name] = Process(name, arguments, self.directory)
        self._down.discard(name)

    def is_up(self, name: str) -> bool:
        """Return whether the process should run: nobody ended it on purpose."""
        return name not in self._down

    def check_running(self) -> None:
        """Check that no process ended by itself.

        Raises
        ------
        ProcessFailed
            At the first one that did.
        """
        for name in self._processes.keys() - self._down:
            self.get_process(name).check_running()

    def get_process(self, name: str) -> Process:
        """Return the latest process of that name."""
        return self._processes[name]

    def list_processes(self) -> tuple[Process, ...]:
        """Return the latest process of every name."""
        return tuple(self._processes.values())

    def kill(self, name: str) -> None:
        """Kill one process without warning."""
        self._down.add(name)
        self._processes[name].end()

    def terminate(self, name: str) -> int:
        """Ask one process to stop and return its exit code.

        Raises
        ------
        ProcessFailed
            If it still runs after `EXIT_TIMEOUT_S`.
        """
        self._down.add(name)
        process = self.get_process(name)
        process.send_signal(signal.SIGTERM)
        return process.wait_exit(EXIT_TIMEOUT_S)

    def end_all(self, failure: BaseException | None) -> None:
        """End all processes; keep the directory and show the outputs after a failure."""
        # Latest first, so that no process sees the end of one that it depends on.
        for process in reversed(self.list_processes()):
            process.end()
        if failure is not None:
            self.show_outputs()
        if not self._shown:
            shutil.rmtree(self.directory)

    def show_outputs(self) -> None:
        """Log the last warnings of every process; keeps the directory after the end."""
        self._shown = True
        logger.error('event=fleet_failed directory={}', self.directory)
        for process in self.list_processes():
            warnings = process.read_warnings()
            if warnings:
                logger.error('event=output process={}\n{}', process.name, warnings)
