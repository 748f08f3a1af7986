"""Owned claim partitions: group commit of claims to the object API."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from gevent.event import AsyncResult, Event

from currantmast.clocks import Clock
from currantmast.decisions.claimkeys import ClaimKey
from currantmast.decisions.claimrecords import RecordedAnswer, Unavailable
from currantmast.decisions.claims import ClaimLog, Decision, Pending
from currantmast.decisions.claimsegments import SegmentUpdate
from currantmast.errors import CurrantmastError, StoreConflict, StoreOutcomeUnknown
from currantmast.outcomes import NotRun
from currantmast.runtime.claimstore import SegmentStore
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor

# An idle partition checks this often whether its log must be read again, so that the next
# claim need not wait for a read.
IDLE_CHECK_PERIOD_S = 10.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
OTHER_OWNER = 'the partition has another owner'

ClaimResult = Decision | NotRun


class ClaimSettings(msgspec.Struct, frozen=True):
    """Settings of all partitions of an instance.

    Parameters
    ----------
    writer : str
        Instance and incarnation; `ClaimService` adds the number of the partition task, so
        that no two logs have the same.
    lifetime_s : float
        Lifetime of claims in seconds.
    batch_s : float
        Shortest time in seconds between two writes to one partition.
    """

    writer: str
    lifetime_s: float = 900
    batch_s: float = 0.1


class _Waiters:
    """Attempts that wait for their claims to be decided."""

    __slots__ = ('_results',)

    def __init__(self) -> None:
        self._results: dict[tuple[bytes, str], AsyncResult] = {}

    def add(self, digest: bytes, attempt: str) -> AsyncResult:
        """Add an attempt; return the result that will hold its decision."""
        waiter: AsyncResult = AsyncResult()
        self._results[(digest, attempt)] = waiter
        return waiter

    def remove(self, digest: bytes, attempt: str) -> None:
        """Stop waiting for the decision on an attempt."""
        self._results.pop((digest, attempt), None)

    def decide(self, digest: bytes, attempt: str, decision: Decision) -> None:
        """Pass the decision to an attempt if it still waits."""
        waiter = self._results.pop((digest, attempt), None)
        if waiter is not None:
            waiter.set(decision)

    def refuse_all(self, refusal: Unavailable) -> None:
        """Pass `refusal` to all waiting attempts."""
        for digest, attempt in tuple(self._results):
            self.decide(digest, attempt, refusal)


class PartitionTask:
    """Decides the claims of one partition that this instance owns, and writes its log.

    Parameters
    ----------
    partition : int
        Number of the partition.
    store : ObjectClient
        Client of the object API.
    clock : Clock
        Clock for batches, timeouts and retries.
    settings : ClaimSettings
        Writer, lifetime of claims and batch interval.
    """

    __slots__ = (
        '_clock',
        '_log',
        '_read_done',
        '_retired',
        '_segments',
        '_settings',
        '_store_error',
        '_waiters',
        '_wake',
        '_written_at',
    )

    def __init__(
        self,
        partition: int,
        store: ObjectClient,
        clock: Clock,
        settings: ClaimSettings,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._log = ClaimLog(partition, clock, settings.lifetime_s, settings.writer)
        self._segments = SegmentStore(store, partition, clock)
        self._waiters = _Waiters()
        self._wake = Event()
        self._read_done = Event()
        self._store_error = ''
        self._retired = False
        self._written_at = clock.now() - settings.batch_s

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<PartitionTask {self._log!r} store_error={self._store_error!r}>'

    def claim(self, claim_key: ClaimKey, attempt: str, timeout_s: float) -> ClaimResult:
        """Claim a key for one attempt; wait up to `timeout_s` seconds.

        The call also waits while a new owner reads the log. If no decision is made in
        time, the attempt is given up.
        """
        give_up_at = self._clock.now() + timeout_s
        self._await_read(give_up_at)
        if self._store_error or self._retired:
            return Unavailable(self._store_error or OTHER_OWNER)
        decided = self._log.claim(claim_key, attempt)
        if isinstance(decided, Pending) or self._log.needs_read():
            self._wake.set()
        if not isinstance(decided, Pending):
            return decided
        with self._await_decision(claim_key, attempt) as waiter:
            waiter.wait(max(0, give_up_at - self._clock.now()))
            return waiter.get() if waiter.ready() else Unavailable('timeout')

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> None:
        """Queue the answer of the attempt that holds the claim."""
        self._log.record(claim_key, attempt, answer)
        self._wake.set()

    def release(self, claim_key: ClaimKey, attempt: str) -> None:
        """Give up an attempt that was certainly not sent and never will be."""
        self._log.release(claim_key, attempt)
        self._wake.set()

    def retire(self) -> None:
        """Refuse new claims; `run` returns once all queued operations are written."""
        self._retired = True
        self._read_done.set()
        self._wake.set()

    def run(self) -> None:
        """Read the log and write batches until the partition is retired."""
        retry_s = MIN_RETRY_DELAY_S
        while self._log.has_work() or not self._retired:
            try:
                self._run_once()
            except CurrantmastError as failure:
                self._report_failure(failure)
                self._clock.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_DELAY_S)
            else:
                retry_s = MIN_RETRY_DELAY_S
                self._wait_for_work()

    def _wait_for_work(self) -> None:
        if not (self._log.has_work() or self._retired):
            self._wake.wait(IDLE_CHECK_PERIOD_S)
        self._wake.clear()

    def _await_read(self, give_up_at: float) -> None:
        """Wait until the log is current, the store fails or the partition is retired."""
        while not (self._log.is_current() or self._store_error or self._retired):
            remaining_s = give_up_at - self._clock.now()
            if remaining_s <= 0:
                return
            self._read_done.clear()
            self._wake.set()
            self._read_done.wait(remaining_s)

    def _run_once(self) -> None:
        if self._log.needs_read():
            self._segments.read_into(self._log)
        self._store_error = ''
        self._read_done.set()
        self._append()
        self._segments.delete_obsolete(self._log)

    def _append(self) -> None:
        if not self._log.has_work():
            return
        pause_s = self._written_at + self._settings.batch_s - self._clock.now()
        self._clock.sleep(max(0, pause_s))
        update = self._log.make_update()
        if update is not None:
            self._written_at = self._clock.now()
            self._write(update)

    def _write(self, update: SegmentUpdate) -> None:
        try:
            self._segments.write(update)
        except (StoreConflict, StoreOutcomeUnknown) as conflict:
            # Another owner has appended, or the outcome of this write is unknown. In both
            # cases the update may be in the log: read the log, then write the operations
            # again. Those that are in the log already have no effect the second time.
            log_event('claim_conflict', error=conflict)
            self._log.reject()
        except Exception:
            self._log.reject()
            raise
        else:
            self._commit(update)

    def _commit(self, update: SegmentUpdate) -> None:
        for decided in self._log.commit(update):
            claimed = decided.claimed
            self._waiters.decide(claimed.digest, claimed.attempt, decided.decision)

    def _report_failure(self, failure: CurrantmastError) -> None:
        log_event('claims_unavailable', level='WARNING', error=failure)
        self._store_error = str(failure)
        self._read_done.set()
        self._waiters.refuse_all(Unavailable(self._store_error))

    @contextmanager
    def _await_decision(
        self, claim_key: ClaimKey, attempt: str
    ) -> Iterator[AsyncResult]:
        digest = claim_key.digest
        waiter = self._waiters.add(digest, attempt)
        try:
            yield waiter
        except BaseException:
            # The waiting greenlet was interrupted, so the request was not sent.
            self.release(claim_key, attempt)
            raise
        finally:
            self._waiters.remove(digest, attempt)
        undecided = not waiter.ready() or isinstance(waiter.get(), Unavailable)
        if undecided:
            self.release(claim_key, attempt)


class ClaimService:
    """The claim partitions that this instance owns.

    Parameters
    ----------
    store : ObjectClient
        Client of the object API. Its call budget limits how fast logs are read when
        partitions change their owner.
    clock : Clock
        Clock for batches, timeouts and retries.
    settings : ClaimSettings
        Writer, lifetime of claims and batch interval.
    supervisor : Supervisor
        Runs one task for each partition.
    """

    __slots__ = (
        '_clock',
        '_settings',
        '_store',
        '_supervisor',
        '_task_count',
        '_tasks',
    )

    def __init__(
        self,
        store: ObjectClient,
        clock: Clock,
        settings: ClaimSettings,
        supervisor: Supervisor,
    ) -> None:
        self._store = store
        self._clock = clock
        self._settings = settings
        self._supervisor = supervisor
        self._tasks: dict[int, PartitionTask] = {}
        self._task_count = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ClaimService partitions={sorted(self._tasks)}>'

    def set_owned_partitions(self, owned: frozenset[int]) -> None:
        """Own exactly these partitions from now on; retire the others."""
        for lost in set(self._tasks) - owned:
            self._tasks.pop(lost).retire()
        for gained in sorted(owned - set(self._tasks)):
            task = self._make_task(gained)
            self._tasks[gained] = task
            self._supervisor.add(f'claims-{gained}', task.run)

    def claim(self, claim_key: ClaimKey, attempt: str, timeout_s: float) -> ClaimResult:
        """Claim a key for one attempt; wait up to `timeout_s` seconds.

        Parameters
        ----------
        claim_key : ClaimKey
            Key of the request.
        attempt : str
            Token of the attempt, never used twice.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Fresh, Repeated, InProgress, Unavailable or NotRun
            The request may be sent only on `Fresh`.
        """
        task = self._tasks.get(claim_key.partition)
        if task is None:
            return Unavailable(OTHER_OWNER)
        return task.claim(claim_key, attempt, timeout_s)

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> bool:
        """Queue an answer; return whether this instance owns the partition."""
        task = self._tasks.get(claim_key.partition)
        if task is not None:
            task.record(claim_key, attempt, answer)
        return task is not None

    def release(self, claim_key: ClaimKey, attempt: str) -> bool:
        """Give up an attempt; return whether this instance owns the partition."""
        task = self._tasks.get(claim_key.partition)
        if task is not None:
            task.release(claim_key, attempt)
        return task is not None

    def _make_task(self, partition: int) -> PartitionTask:
        # This instance may own a partition again while the retired task still writes.
        # Both tasks number their batches from 1, so each needs its own writer text.
        self._task_count += 1
        writer = f'{self._settings.writer}/{self._task_count}'
        settings = msgspec.structs.replace(self._settings, writer=writer)
        return PartitionTask(partition, self._store, self._clock, settings)
