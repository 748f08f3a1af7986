"""Size and processor time of the messages of a relay tier, which is not built.

The messages are those of the design: a member tells two relays of its failure domain
what changed; a relay tells the witnesses and the owners of budgets what its members
told it, with demands summed. Arrays replace maps and numbers of the fleet record
replace names.
"""

import time
from collections.abc import Iterator, Sequence

import msgspec

from currantmast.experiment.synthetic import make_heartbeat, make_member
from currantmast.messages import encode_message

Row = list[float]

REPEATS = 300
US_PER_S = 1_000_000
SENT_AT = 123456.789
RATE = 10.123456789
BURST = 5
SLOTS = 12
SERVICE_COUNT = 3

MESSAGE_COSTS = (
    'heartbeat of today B',
    'whole heartbeat B',
    'unchanged heartbeat B',
    'ack with grants B',
    'ack B',
    'whole heartbeat us',
    'unchanged heartbeat us',
)
RELAY_COSTS = ('report B', 'report us', 'answer B', 'answer us')


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Demand for and held share of one budget; the budget by its number."""

    budget: int
    demand: float
    sequence: int


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a member to a relay; empty parts have not changed."""

    member: int
    run: int
    epoch: int
    version: int
    sent_at: float
    wants: tuple[Want, ...] = ()
    capacity: tuple[tuple[int, int, int], ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Share of one budget."""

    budget: int
    sequence: int
    rate: float
    burst: float


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledgement with the lease time that remains, in milliseconds."""

    epoch: int
    version: int
    echoed_sent_at: float
    lease_ms: int
    grants: tuple[Grant, ...] = ()


class Line(msgspec.Struct, frozen=True, array_like=True):
    """What a relay reports of one member: age of its last heartbeat, free slots."""

    member: int
    age_ms: int
    epoch: int
    free: tuple[int, ...]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a relay reports of its failure domain."""

    relay: int
    epoch: int
    version: int
    sent_at: float
    lines: tuple[Line, ...]
    wants: tuple[Want, ...]


def measure_messages(sizes: Sequence[int]) -> Iterator[Row]:
    """Yield sizes and times of a member's messages against budgets that it uses."""
    for size in sizes:
        names = tuple(f'team:team{number:05}' for number in range(size))
        today = make_heartbeat(make_member(1), names, SENT_AT)
        capacity = tuple((SLOTS, 2 * SLOTS, 0) for _ in range(SERVICE_COUNT))
        whole = Beat(1, 1 << 62, 1000, 1000, SENT_AT, _make_wants(size), capacity)
        bare = msgspec.structs.replace(whole, wants=(), capacity=())
        grants = tuple(Grant(number, 100, RATE, BURST) for number in range(size))
        ack = Answer(1000, 1000, SENT_AT, 2500, grants)
        empty = msgspec.structs.replace(ack, grants=())
        yield [
            size,
            len(encode_message(today)),
            *(_count_bytes(message) for message in (whole, bare, ack, empty)),
            _time_codec(whole) * US_PER_S,
            _time_codec(bare) * US_PER_S,
        ]


def measure_relays(sizes: Sequence[int], budgets: int) -> Iterator[Row]:
    """Yield sizes and times of a relay's messages against its members."""
    for size in sizes:
        lines = tuple(
            Line(member, 250, 1000, (SLOTS,) * SERVICE_COUNT) for member in range(size)
        )
        report = Report(1, 1000, 1000, SENT_AT, lines, _make_wants(budgets))
        grants = tuple(Grant(number, 100, RATE, BURST) for number in range(budgets))
        answer = Answer(1000, 1000, SENT_AT, 2500, grants)
        yield [
            size,
            _count_bytes(report),
            _time_codec(report) * US_PER_S,
            _count_bytes(answer),
            _time_codec(answer) * US_PER_S,
        ]


def _make_wants(count: int) -> tuple[Want, ...]:
    return tuple(Want(number, RATE, 100) for number in range(count))


def _count_bytes(message: msgspec.Struct) -> int:
    return len(msgspec.msgpack.encode(message))


def _time_codec(message: msgspec.Struct) -> float:
    """Return the processor time to encode and decode `message` once, in seconds."""
    decoder = msgspec.msgpack.Decoder(type(message))
    started_s = time.process_time()
    for _ in range(REPEATS):
        decoder.decode(msgspec.msgpack.encode(message))
    return (time.process_time() - started_s) / REPEATS
