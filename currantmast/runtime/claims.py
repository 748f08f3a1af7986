"""Claim partitions: group commit of claims to the object API."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from gevent.event import AsyncResult, Event
from gevent.pool import Pool

from currantmast.clocks import Clock
from currantmast.decisions.claimkeys import ClaimKey
from currantmast.decisions.claimrecords import (
    ClaimBatch,
    RecordedAnswer,
    Unavailable,
    decode_batch,
    encode_batch,
    name_batch,
    name_partition,
)
from currantmast.decisions.claims import ClaimLog, Decision, Pending
from currantmast.errors import CurrantmastError, StoreBudgetExceeded, StoreConflict
from currantmast.outcomes import NotRun
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient, StoredObject
from currantmast.runtime.supervisor import Supervisor

# An idle partition reads its log this often, so that a first claim need not wait.
IDLE_S = 10.0
CLEANING_S = 5.0
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 2.0
BUDGET_WAIT_S = 0.02
CONCURRENT_READS = 8
# Obsolete batches deleted in one round, so that deletions don't delay claims.
DELETES_PER_ROUND = 100
CREATED_VERSION = 1

ClaimResult = Decision | NotRun


class ClaimSettings(msgspec.Struct, frozen=True):
    """Settings of all partitions of an instance.

    Parameters
    ----------
    writer : str
        Instance and incarnation.
    lifetime_s : float
        Lifetime of claims in seconds.
    batch_s : float
        Least time in seconds between two writes of one partition.
    """

    writer: str
    lifetime_s: float = 900
    batch_s: float = 0.1


class BatchStore:
    """Batches of one partition in the object API.

    Parameters
    ----------
    store : ObjectClient
        Client of the object API.
    partition : int
        Number of the partition.
    clock : Clock
        Clock to wait by while the call budget is used up.
    """

    __slots__ = ('_cleaned_at', '_clock', '_partition', '_store')

    def __init__(self, store: ObjectClient, partition: int, clock: Clock) -> None:
        self._store = store
        self._partition = partition
        self._clock = clock
        self._cleaned_at = clock.now()

    def __repr__(self) -> str:
        """Return the prefix of the objects."""
        return f'<BatchStore {name_partition(self._partition)}>'

    def read_into(self, log: ClaimLog) -> None:
        """Read the batches that `log` has not seen; it is current if that succeeds.

        Raises
        ------
        StoreError
            If the store can't be read.
        BatchRejected
            If an object is no batch.
        """
        read_at = self._clock.now()
        after = name_batch(self._partition, log.chain.next_sequence - 1)
        if log.chain.next_sequence == 0:
            after = ''
        prefix = name_partition(self._partition)
        names = [entry.name for entry in self._store.list(prefix, after).entries]
        found = Pool(CONCURRENT_READS).map(self._fetch, names)
        if names and found[-1] is None:
            # Newer batches were appended and the last one deleted meanwhile.
            return
        batches = (decode_batch(stored.body) for stored in found if stored)
        log.load(batches, read_at)

    def create(self, batch: ClaimBatch) -> None:
        """Create the object of `batch` if absent.

        Raises
        ------
        StoreConflict
            If there is one; `batch` was not written.
        StoreError
            If `batch` may not have been written.
        """
        self._store.put(batch.name, encode_batch(batch), 0)

    def clean(self, log: ClaimLog) -> None:
        """Delete some of the obsolete batches of `log`, every now and then.

        Raises
        ------
        StoreError
            If the store did not answer.
        """
        now = self._clock.now()
        if now - self._cleaned_at < CLEANING_S:
            return
        self._cleaned_at = now
        for sequence in log.list_obsolete()[:DELETES_PER_ROUND]:
            self._delete(sequence)
            log.chain.forget(sequence)

    def _delete(self, sequence: int) -> None:
        name = name_batch(self._partition, sequence)
        try:
            self._store.delete(name, CREATED_VERSION)
        except StoreConflict as conflict:
            # Another owner has deleted it.
            log_event('batch_absent', level='DEBUG', error=conflict)

    def _fetch(self, name: str) -> StoredObject | None:
        while True:
            try:
                return self._store.get(name)
            except StoreBudgetExceeded:
                self._clock.sleep(BUDGET_WAIT_S)


class _Waiters:
    """Callers that wait for their claims to be decided."""

    __slots__ = ('_results',)

    def __init__(self) -> None:
        self._results: dict[tuple[bytes, str], AsyncResult] = {}

    def add(self, digest: bytes, attempt: str) -> AsyncResult:
        """Return the place where the decision will appear."""
        waiter: AsyncResult = AsyncResult()
        self._results[(digest, attempt)] = waiter
        return waiter

    def remove(self, digest: bytes, attempt: str) -> None:
        """Forget a caller."""
        self._results.pop((digest, attempt), None)

    def decide(self, digest: bytes, attempt: str, decision: Decision) -> None:
        """Tell a caller, if it still waits."""
        waiter = self._results.pop((digest, attempt), None)
        if waiter is not None:
            waiter.set(decision)

    def refuse_all(self, refusal: Unavailable) -> None:
        """Tell all callers that nothing was decided."""
        for digest, attempt in tuple(self._results):
            self.decide(digest, attempt, refusal)


class PartitionTask:
    """Owner of one claim partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    store : ObjectClient
        Client of the object API.
    clock : Clock
        Time of batches and retries.
    settings : ClaimSettings
        Writer, lifetime and batch time.
    """

    __slots__ = (
        '_batches',
        '_clock',
        '_down',
        '_log',
        '_read_done',
        '_retired',
        '_settings',
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
        self._batches = BatchStore(store, partition, clock)
        self._waiters = _Waiters()
        self._wake = Event()
        self._read_done = Event()
        self._down = ''
        self._retired = False
        self._written_at = clock.now() - settings.batch_s

    def __repr__(self) -> str:
        """Return the state of the log."""
        return f'<PartitionTask {self._log!r} down={self._down!r}>'

    def claim(self, claim_key: ClaimKey, attempt: str, timeout_s: float) -> ClaimResult:
        """Claim a key for one attempt; wait up to `timeout_s` seconds.

        The attempt is given up if no decision comes in time.
        """
        if self._down or self._retired:
            return Unavailable(self._down or 'the partition has another owner')
        if not self._log.is_current():
            self._read_done.clear()
            self._wake.set()
            self._read_done.wait(timeout_s)
        decided = self._log.claim(claim_key, attempt)
        if not isinstance(decided, Pending):
            return decided
        self._wake.set()
        with self._await_decision(claim_key, attempt) as waiter:
            waiter.wait(timeout_s)
            return waiter.get() if waiter.ready() else Unavailable('timeout')

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> None:
        """Record the answer of the attempt that holds the claim."""
        self._log.record(claim_key, attempt, answer)
        self._wake.set()

    def release(self, claim_key: ClaimKey, attempt: str) -> None:
        """Give up an attempt that was certainly not sent and never will be."""
        self._log.release(claim_key, attempt)
        self._wake.set()

    def retire(self) -> None:
        """Refuse new claims; `run` returns once all is written."""
        self._retired = True
        self._wake.set()

    def run(self) -> None:
        """Write batches until the partition is retired."""
        retry_s = FIRST_RETRY_S
        while self._log.has_work() or not self._retired:
            try:
                self._work()
            except CurrantmastError as failure:
                self._suspend(failure)
                self._clock.sleep(retry_s)
                retry_s = min(2 * retry_s, LAST_RETRY_S)
            else:
                retry_s = FIRST_RETRY_S
                self._rest()

    def _rest(self) -> None:
        if not (self._log.has_work() or self._retired):
            self._wake.wait(IDLE_S)
        self._wake.clear()

    def _work(self) -> None:
        if not self._log.is_current():
            self._batches.read_into(self._log)
        self._down = ''
        self._read_done.set()
        self._append()
        self._batches.clean(self._log)

    def _append(self) -> None:
        if not self._log.has_work():
            return
        pause_s = self._written_at + self._settings.batch_s - self._clock.now()
        self._clock.sleep(max(0, pause_s))
        batch = self._log.make_batch()
        if batch is not None:
            self._written_at = self._clock.now()
            self._write(batch)

    def _write(self, batch: ClaimBatch) -> None:
        try:
            self._batches.create(batch)
        except StoreConflict as conflict:
            # Another owner appended first: read its batches, then try again.
            log_event('claim_conflict', error=conflict)
            self._log.reject(batch)
        except Exception:
            self._log.reject(batch)
            raise
        else:
            self._tell(batch)

    def _tell(self, batch: ClaimBatch) -> None:
        for decided in self._log.commit(batch):
            claimed = decided.claimed
            self._waiters.decide(claimed.digest, claimed.attempt, decided.decision)

    def _suspend(self, failure: CurrantmastError) -> None:
        log_event('claims_unavailable', level='WARNING', error=failure)
        self._down = str(failure)
        self._read_done.set()
        self._waiters.refuse_all(Unavailable(self._down))

    @contextmanager
    def _await_decision(
        self, claim_key: ClaimKey, attempt: str
    ) -> Iterator[AsyncResult]:
        digest = claim_key.digest
        waiter = self._waiters.add(digest, attempt)
        try:
            yield waiter
        except BaseException:
            # The caller was ended before it could learn the decision or send.
            self.release(claim_key, attempt)
            raise
        finally:
            self._waiters.remove(digest, attempt)
        undecided = not waiter.ready() or isinstance(waiter.get(), Unavailable)
        if undecided:
            self.release(claim_key, attempt)


class ClaimService:
    """Claim partitions that this instance owns.

    Parameters
    ----------
    store : ObjectClient
        Client of the object API; its call budget bounds the reads at a handover.
    clock : Clock
        Time of batches and retries.
    settings : ClaimSettings
        Writer, lifetime and batch time.
    supervisor : Supervisor
        Keeps the partitions' tasks running.
    """

    __slots__ = ('_clock', '_settings', '_store', '_supervisor', '_tasks')

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

    def __repr__(self) -> str:
        """Return the owned partitions."""
        return f'<ClaimService partitions={sorted(self._tasks)}>'

    def adopt(self, owned: frozenset[int]) -> None:
        """Own exactly these partitions from now on."""
        for lost in set(self._tasks) - owned:
            self._tasks.pop(lost).retire()
        for won in sorted(owned - set(self._tasks)):
            task = PartitionTask(won, self._store, self._clock, self._settings)
            self._tasks[won] = task
            self._supervisor.add(f'claims-{won}', task.run)

    def claim(self, claim_key: ClaimKey, attempt: str, timeout_s: float) -> ClaimResult:
        """Claim a key for one attempt; wait up to `timeout_s` seconds.

        Parameters
        ----------
        claim_key : ClaimKey
            Key of the request.
        attempt : str
            Token of the attempt, never used twice; the request id will do.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Fresh, Repeated, InProgress, Unavailable or NotRun
            Only `Fresh` permits to send the request.
        """
        task = self._tasks.get(claim_key.partition)
        if task is None:
            return Unavailable('the partition has another owner')
        return task.claim(claim_key, attempt, timeout_s)

    def record(self, claim_key: ClaimKey, attempt: str, answer: RecordedAnswer) -> bool:
        """Record an answer; return whether this instance owns the partition."""
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
