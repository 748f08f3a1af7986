"""Supervisor tree of tasks."""

from collections import deque
from collections.abc import Callable
from itertools import count
from types import TracebackType
from typing import Self

import gevent
from gevent.event import AsyncResult
from gevent.pool import Group

from currantmast.clocks import Clock
from currantmast.errors import LoopRejected, TaskFailed
from currantmast.runtime.logs import log_event
from currantmast.runtime.origins import find_origin

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 5.0
MAX_FAILURES = 5
FAILURE_WINDOW_S = 30.0
REQUIRED_BACKEND = 'epoll'
WATCHDOG_PERIOD_S = 0.05
BLOCKED_AFTER_S = 0.25

Task = Callable[[], object]


class Supervisor:
    """Runs tasks and restarts those that fail; a context manager.

    A task that returns is finished. A task that raises is restarted after 0.1 s,
    doubled with every failure up to 5 s. Five failures within 30 s fail the
    supervisor: `wait` raises. A tree is made by a task that runs a supervisor of its
    own and waits for it.

    Parameters
    ----------
    name : str
        Name in log lines.
    clock : Clock
        Time of backoff and failure window.
    """

    __slots__ = ('_clock', '_failure', '_tasks', 'name')

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self._clock = clock
        self._tasks = Group()
        self._failure: AsyncResult = AsyncResult()

    def __enter__(self) -> Self:
        """Return the supervisor."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End all tasks and wait for their clean-up."""
        self._tasks.kill()

    def __repr__(self) -> str:
        """Return the name and the number of running tasks."""
        return f'<Supervisor {self.name} tasks={len(self._tasks)}>'

    def add(self, name: str, task: Task) -> None:
        """Start `task` and keep it running."""
        self._tasks.spawn(self._keep, f'{self.name}/{name}', task)

    def wait(self, timeout_s: float | None = None) -> None:
        """Wait until a task has failed for good, or `timeout_s` seconds.

        Raises
        ------
        TaskFailed
            If a task failed five times within 30 s.
        """
        self._failure.wait(timeout_s)
        if self._failure.ready():
            self._failure.get()

    def stop(self) -> None:
        """Let `wait` return without a failure."""
        if not self._failure.ready():
            self._failure.set(None)

    def _keep(self, name: str, task: Task) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        while True:
            try:
                task()
            except Exception as failure:
                if not self._may_restart(name, failures, failure):
                    return
            else:
                return

    def _may_restart(
        self, name: str, failures: deque[float], failure: Exception
    ) -> bool:
        now = self._clock.now()
        failures.append(now)
        log_event(
            'task_failed',
            level='ERROR',
            task=name,
            error=failure,
            at=find_origin(failure),
        )
        recent = [moment for moment in failures if now - moment <= FAILURE_WINDOW_S]
        if len(recent) >= MAX_FAILURES:
            if not self._failure.ready():
                self._failure.set_exception(TaskFailed(name, failure))
            return False
        backoff_s = FIRST_BACKOFF_S * 2 ** (len(recent) - 1)
        self._clock.sleep(min(backoff_s, LAST_BACKOFF_S))
        return True


def check_backend() -> None:
    """Check that the event loop runs on epoll.

    Raises
    ------
    LoopRejected
        If it runs on another backend.
    """
    backend = gevent.get_hub().loop.backend
    if backend != REQUIRED_BACKEND:
        raise LoopRejected(
            f'the event loop runs on {backend}, allowed: {REQUIRED_BACKEND}'
        )


def watch_loop(clock: Clock) -> None:
    """Log every time that the event loop was blocked for longer than 0.25 s.

    Parameters
    ----------
    clock : Clock
        Time by which delays of the loop are measured.
    """
    for _ in count():
        expected = clock.now() + WATCHDOG_PERIOD_S
        clock.sleep(WATCHDOG_PERIOD_S)
        blocked_s = clock.now() - expected
        if blocked_s > BLOCKED_AFTER_S:
            log_event('loop_blocked', level='WARNING', blocked_s=blocked_s)
