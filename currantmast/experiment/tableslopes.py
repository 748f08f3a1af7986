"""Cost of the client block table and of the other state of one instance."""

import random
import time
from collections.abc import Callable, Iterator, Sequence

import msgspec

from currantmast.blocks import BlockTable
from currantmast.clocks import LoopClock
from currantmast.deployment import Configuration, Deployment, Operations
from currantmast.experiment.synthetic import (
    make_address,
    make_deployment,
    make_steering,
)
from currantmast.experiment.usage import Usage, measure_step, read_memory_mb
from currantmast.pages import (
    decode_configuration,
    decode_pages,
    encode_configuration,
    encode_page,
    list_pages,
)
from currantmast.publication import Head, PageReference
from currantmast.steering import Steering

Row = list[float]

CALLERS = 20_000
MEMBERS = 2100
US_PER_S = 1_000_000
MS_PER_S = 1000
CALLER_BITS = 24
DIGEST_DIGITS = 64
WRITER_DIGITS = 16

BLOCK_COSTS = (
    'columns B',
    'table RSS MB',
    'configuration and table RSS MB',
    'peak MB',
    'build s',
    'longest stop ms',
    'process RSS MB',
    'look-up us',
)
PAGE_COSTS = (
    'pages',
    'largest page B',
    'all pages B',
    'head B',
    'encode s',
    'decode s',
    'peer transfer B',
    'transfer decode s',
    'adopt s',
    'adopt again ms',
)
LOOKUP_COSTS = ('look-up us', 'of it site us')
BLOCKS = 100_000
STATE_COSTS = ('RSS MB', 'adopt ms')


class StopMeter:
    """Longest time between two calls; passed where other tasks could run."""

    __slots__ = ('_last', 'longest_s')

    def __init__(self) -> None:
        self._last = time.perf_counter()
        self.longest_s: float = 0

    def __call__(self) -> None:
        """Note the time since the call before."""
        now = time.perf_counter()
        self.longest_s = max(self.longest_s, now - self._last)
        self._last = now

    def __repr__(self) -> str:
        """Return the longest time."""
        return f'<StopMeter {self.longest_s:.6f} s>'


def measure_blocks(
    sizes: Sequence[int], seed: int, members: int = MEMBERS
) -> Iterator[Row]:
    """Yield memory and processor time of the table at each number of blocks."""
    for size in sizes:
        yield _measure_blocks(size, seed, members)


def measure_pages(sizes: Sequence[int], members: int = MEMBERS) -> Iterator[Row]:
    """Yield the cost of publication and adoption at each number of blocks."""
    for size in sizes:
        yield [size, *_measure_pages(make_deployment(size), members)]


def measure_state(kind: str, sizes: Sequence[int]) -> Iterator[Row]:
    """Yield memory and time of adoption against ``teams``, ``targets`` or ``peers``."""
    step = {'teams': _adopt_teams, 'targets': _adopt_targets, 'peers': _adopt_peers}
    kept = []  # Memory freed by one size would hide what the next one takes.
    for size in sizes:
        usage = measure_step(_prepare(step[kind], size))
        kept.append(usage.outcome)
        yield [size, usage.grown_mb, usage.cpu_s * MS_PER_S]


def measure_lookups(
    sizes: Sequence[int], seed: int, blocks: int = BLOCKS
) -> Iterator[Row]:
    """Yield the time of one look-up's decision against the members of the fleet."""
    for size in sizes:
        steering = make_steering(LoopClock(), make_deployment(blocks), size)
        _hear_all(steering)
        site_us = _time_site(steering, seed)
        yield [size, time_lookups(steering, seed) * US_PER_S, site_us]


def time_lookups(steering: Steering, seed: int, count: int = CALLERS) -> float:
    """Return the processor time of one look-up's decision in seconds."""
    generator = random.Random(seed)
    callers = [
        make_address(generator.getrandbits(CALLER_BITS)).host for _ in range(count)
    ]
    _look_up_all(steering, callers)
    started_s = time.process_time()
    _look_up_all(steering, callers)
    return (time.process_time() - started_s) / count


def _time_site(steering: Steering, seed: int) -> float:
    """Return the time in us to find a caller's site and region alone."""
    generator = random.Random(seed)
    callers = [
        make_address(generator.getrandbits(CALLER_BITS)).host for _ in range(CALLERS)
    ]
    started_s = time.process_time()
    for caller in callers:
        steering.locate(caller, use_shift=False)
    return (time.process_time() - started_s) / CALLERS * US_PER_S


def _hear_all(steering: Steering) -> None:
    for member in steering.peering.record.members:
        steering.views.observe(member.id, ())


def _look_up_all(steering: Steering, callers: list[str]) -> None:
    for caller in callers:
        steering.find_instances(caller, steering.locate(caller, use_shift=False))


def _measure_blocks(size: int, seed: int, members: int) -> Row:
    sites = measure_step(lambda: make_deployment(size))
    meter = StopMeter()
    table = measure_step(lambda: BlockTable.from_sites(sites.outcome.sites, meter))
    steering = make_steering(LoopClock(), make_deployment(), members)
    steering.adopt_configuration(Configuration(2, sites.outcome))
    _hear_all(steering)
    return [
        size,
        table.outcome.nbytes,
        table.grown_mb,
        sites.grown_mb + table.grown_mb,
        table.peak_mb,
        table.cpu_s,
        meter.longest_s * MS_PER_S,
        read_memory_mb('self'),
        time_lookups(steering, seed) * US_PER_S,
    ]


def _measure_pages(deployment: Deployment, members: int) -> Row:
    encoded = measure_step(
        lambda: [encode_page(page) for page in list_pages(deployment)]
    )
    bodies = encoded.outcome
    decoded = measure_step(lambda: decode_pages(bodies))
    transfer = encode_configuration(Configuration(2, decoded.outcome))
    received = measure_step(lambda: decode_configuration(transfer))
    steering = make_steering(LoopClock(), make_deployment(), members)
    adopted = measure_step(lambda: steering.adopt_configuration(received.outcome))
    again = decode_configuration(
        encode_configuration(Configuration(3, decoded.outcome))
    )
    unchanged: Usage = measure_step(lambda: steering.adopt_configuration(again))
    lengths = [len(body) for body in bodies]
    return [
        len(bodies),
        max(lengths),
        sum(lengths),
        _count_head(len(bodies)),
        encoded.cpu_s,
        decoded.cpu_s,
        len(transfer),
        received.cpu_s,
        adopted.cpu_s,
        unchanged.cpu_s * MS_PER_S,
    ]


def _count_head(pages: int) -> int:
    """Return the size of a head that names `pages` pages and no operation."""
    page = PageReference('0' * DIGEST_DIGITS, '0' * DIGEST_DIGITS)
    head = Head(1, (page,) * pages, Operations(), '0' * WRITER_DIGITS)
    return len(msgspec.json.encode(head))


def _prepare(step: Callable[[int], object], size: int) -> Callable[[], object]:
    return lambda: step(size)


def _adopt_teams(size: int) -> Steering:
    return make_steering(LoopClock(), make_deployment(teams=size), 1)


def _adopt_targets(size: int) -> Steering:
    return make_steering(LoopClock(), make_deployment(targets=size), 1)


def _adopt_peers(size: int) -> Steering:
    return make_steering(LoopClock(), make_deployment(), size)
