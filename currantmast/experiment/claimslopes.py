"""Cost of claims and of reading a partition's log at takeover."""

import time
from collections.abc import Iterable, Iterator, Sequence

from currantmast.clocks import ManualClock
from currantmast.decisions.claimkeys import ClaimKey
from currantmast.decisions.claimrecords import RecordedAnswer
from currantmast.decisions.claims import ClaimLog
from currantmast.decisions.claimsegments import SegmentUpdate, decode_segment
from currantmast.experiment.usage import measure_step

Row = list[float]

LIFETIME_S = 900.0
CLAIMS_PER_BATCH = 200
"""Claims, or answers, of one batch; as many operations as it takes."""

US_PER_S = 1_000_000
CLAIM_COSTS = (
    'log B',
    'B a claim',
    'largest segment B',
    'claim and answer us',
    'segments',
    'load s',
    'load us a claim',
    'RSS MB',
)


def measure_claims(sizes: Sequence[int], body_bytes: int) -> Iterator[Row]:
    """Yield the cost of a partition's log against its number of claims.

    Parameters
    ----------
    sizes : sequence of int
        Claims in the log, each with its answer.
    body_bytes : int
        Size of each recorded answer.
    """
    for size in sizes:
        yield [size, *_measure_log(size, body_bytes)]


def _measure_log(size: int, body_bytes: int) -> Row:
    clock = ManualClock(1)
    started_s = time.process_time()
    updates = {
        update.segment.number: update for update in _write_log(size, body_bytes, clock)
    }
    write_s = time.process_time() - started_s
    loaded = measure_step(lambda: _load(updates.values(), clock))
    bodies = [update.body for update in updates.values()]
    total = sum(map(len, bodies))
    return [
        total,
        total / size,
        max(map(len, bodies)),
        write_s / size * US_PER_S,
        len(bodies),
        loaded.cpu_s,
        loaded.cpu_s / size * US_PER_S,
        loaded.grown_mb,
    ]


def _write_log(
    size: int, body_bytes: int, clock: ManualClock
) -> Iterator[SegmentUpdate]:
    log = ClaimLog(0, clock, LIFETIME_S, 'region00-00000/0123456789abcdef')
    log.load((), clock.now())
    answer = RecordedAnswer.make_done(200, 'application/json', b'x' * body_bytes)
    for first in range(0, size, CLAIMS_PER_BATCH):
        keys = [
            _make_key(number, clock)
            for number in range(first, min(size, first + CLAIMS_PER_BATCH))
        ]
        for number, key in enumerate(keys, first):
            log.claim(key, f'{number:032x}')
        yield _write_batch(log)
        for number, key in enumerate(keys, first):
            log.record(key, f'{number:032x}', answer)
        yield _write_batch(log)


def _write_batch(log: ClaimLog) -> SegmentUpdate:
    update = log.make_update()
    log.commit(update)
    return update


def _load(updates: Iterable[SegmentUpdate], clock: ManualClock) -> ClaimLog:
    segments = [
        decode_segment(update.segment.number, update.segment.version, update.body)
        for update in updates
    ]
    log = ClaimLog(0, clock, LIFETIME_S)
    log.load(segments, clock.now())
    return log


def _make_key(number: int, clock: ManualClock) -> ClaimKey:
    issued_at = int(clock.wall())
    return ClaimKey('team00001', 'orders', f'{issued_at}.{number:032x}', issued_at)
