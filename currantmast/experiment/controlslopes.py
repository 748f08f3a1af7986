"""Cost of heartbeats, of fleet records and of ownership against the fleet's size."""

import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from statistics import fmean

import msgspec

from currantmast.clocks import ManualClock
from currantmast.decisions.membership import mark_leaving, remove_member
from currantmast.decisions.ownership import choose_owner
from currantmast.experiment.synthetic import (
    FIRST_BUDGET,
    make_deployment,
    make_heartbeat,
    make_record,
    make_steering,
)
from currantmast.messages import (
    FleetRecord,
    Heartbeat,
    HeartbeatAck,
    Member,
    decode_message,
    encode_message,
)
from currantmast.runtime.fleet import decode_record
from currantmast.runtime.status import describe_status
from currantmast.steering import Steering

Row = list[float]

US_PER_S = 1_000_000
MS_PER_S = 1000
ROUNDS = 3
PERIOD_S = 0.5
# At most one division each 0.1 s, so up to five in a period.
DIVISIONS = 5
KEYS = 40
PAST_EPOCHS = 32

HEARTBEAT_COSTS = (
    'owned budgets',
    'heartbeat B',
    'ack B',
    'in and out B/s',
    'receive us each',
    'division ms',
    'cpu ms/s',
)
OWNERSHIP_COSTS = (
    'one key us',
    'record B',
    'record decode ms',
    'change ms',
    'adopt ms',
    'removal check ms',
    'settled check ms',
    'confirmations ms',
    'status B',
    'status ms',
)


def measure_heartbeats(sizes: Sequence[int], teams: int, links: bool) -> Iterator[Row]:
    """Yield the cost of one instance's exchange with all peers.

    Codec and decisions only, for the first member of the record; the kernel's and the
    messaging library's part is measured with real processes.

    Parameters
    ----------
    sizes : sequence of int
        Numbers of peers.
    teams : int
        Teams, each with a budget.
    links : bool
        Whether the 380 directed links of 20 regions are budgets too.
    """
    for size in sizes:
        yield [size, *_measure_exchange(size + 1, teams, links)]


def measure_budgets(sizes: Sequence[int], peers: int) -> Iterator[Row]:
    """Yield the same against the number of teams, at a fixed number of peers."""
    for size in sizes:
        yield [size, *_measure_exchange(peers + 1, size, links=False)]


def measure_ownership(sizes: Sequence[int]) -> Iterator[Row]:
    """Yield the cost of a change of the fleet record against the members."""
    for size in sizes:
        yield [size, *_measure_record(size)]


def _measure_exchange(members: int, teams: int, links: bool) -> Row:
    clock = ManualClock(1)
    deployment = make_deployment(teams=teams, links=links)
    steering = make_steering(clock, deployment, members)
    exchange = Exchange(steering, clock)
    exchange.run()  # Opens the ledgers and hands out shares.
    costs = [exchange.run() for _ in range(ROUNDS)]
    message_bytes = exchange.heartbeat_bytes + costs[-1].ack_bytes
    return [
        exchange.count_owned(),
        exchange.heartbeat_bytes,
        costs[-1].ack_bytes,
        2 * message_bytes * exchange.peers / PERIOD_S,
        fmean(cost.receive_s for cost in costs) / exchange.peers * US_PER_S,
        fmean(cost.division_s for cost in costs) * MS_PER_S,
        fmean(cost.busy_s for cost in costs) / PERIOD_S * MS_PER_S,
    ]


class RoundCost(msgspec.Struct, frozen=True):
    """Processor time of one heartbeat period, and the mean size of an answer."""

    receive_s: float
    division_s: float
    send_s: float
    ack_bytes: float

    @property
    def busy_s(self) -> float:
        """Processor time of the period, with all its divisions."""
        return self.receive_s + self.send_s + DIVISIONS * self.division_s


class Exchange:
    """All heartbeats and answers of one instance with its peers, without sockets.

    Parameters
    ----------
    steering : Steering
        State of the instance.
    clock : ManualClock
        Its clock.
    """

    __slots__ = ('_clock', '_heartbeats', '_payloads', '_steering')

    def __init__(self, steering: Steering, clock: ManualClock) -> None:
        self._steering = steering
        self._clock = clock
        names = (budget.name for budget in steering.inventory.budgets)
        # Links are used by the members of one region only, so they are left out.
        reported = tuple(name for name in names if name.startswith('team:'))
        self._heartbeats = [
            make_heartbeat(member, reported, clock.now())
            for member in steering.peering.record.members
            if member != steering.member
        ]
        self._payloads = [encode_message(one) for one in self._heartbeats]

    def __repr__(self) -> str:
        """Return the number of peers."""
        return f'<Exchange peers={self.peers}>'

    @property
    def peers(self) -> int:
        """Number of peers."""
        return len(self._payloads)

    @property
    def heartbeat_bytes(self) -> int:
        """Size of one heartbeat."""
        return len(self._payloads[0])

    def count_owned(self) -> int:
        """Return the number of budgets that the instance owns."""
        budgets = self._steering.inventory.budgets
        return sum(_owns(self._steering, budget.name) for budget in budgets)

    def run(self) -> RoundCost:
        """Run one heartbeat period and return its cost."""
        self._clock.advance(PERIOD_S)
        self._steering.lease.observe_store_read(self._clock.now())
        started_s = time.process_time()
        sent = sum(map(self._receive, self._payloads))
        receive_s = time.process_time() - started_s
        division_s = _time(self._steering.peering.allocate)
        send_s = _time(self._send_all)
        return RoundCost(receive_s, division_s, send_s, sent / self.peers)

    def _receive(self, payload: bytes) -> int:
        heartbeat = decode_message(payload)
        self._steering.observe_heartbeat(heartbeat)
        return len(encode_message(self._steering.peering.observe_heartbeat(heartbeat)))

    def _send_all(self) -> None:
        """Make and encode the own heartbeat for each peer and take in the answers."""
        sample, peering = self._heartbeats[0], self._steering.peering
        peering.list_silent()
        own = peering.make_heartbeat(self._steering.make_report())
        own = msgspec.structs.replace(own, demands=sample.demands, shares=sample.shares)
        ack = encode_message(self._make_ack(sample))
        for _ in self._payloads:
            encode_message(own)
            peering.observe_ack(decode_message(ack))

    def _make_ack(self, sample: Heartbeat) -> HeartbeatAck:
        return HeartbeatAck(
            sample.sender,
            sample.incarnation,
            epoch=1,
            version=1,
            echoed_incarnation=self._steering.member.incarnation,
            echoed_sent_at=self._clock.now(),
            renews=False,
        )


def _owns(steering: Steering, name: str) -> bool:
    return choose_owner(steering.peering.record, name) == steering.member


def _measure_record(members: int) -> Row:
    record = make_record(members)
    body = msgspec.json.encode(record)
    first = record.members[0].id
    last = record.members[-1].id
    steering = make_steering(ManualClock(1), make_deployment(links=True), members)
    keys = [f'key{number}' for number in range(KEYS)]
    return [
        _time(lambda: _choose_all(record, keys)) / KEYS * US_PER_S,
        len(body),
        _time(lambda: decode_record(body)) * MS_PER_S,
        _time(lambda: _change(record, last)) * MS_PER_S,
        _time(lambda: _adopt(steering, mark_leaving(record, last))) * MS_PER_S,
        _time(lambda: steering.peering.tracker.choose_removals(first)) * MS_PER_S,
        _time_settled(members) * MS_PER_S,
        _time_confirmations(members) * MS_PER_S,
        len(msgspec.json.encode(describe_status(steering, 0))),
        _time(lambda: msgspec.json.encode(describe_status(steering, 0))) * MS_PER_S,
    ]


def _time_settled(members: int) -> float:
    """Return the time to ask once more whether an owned budget is settled.

    All members have confirmed `PAST_EPOCHS` changes, as many as an instance keeps.
    """
    steering = make_steering(ManualClock(1), make_deployment(), members)
    record = steering.peering.record
    for _ in range(PAST_EPOCHS):
        _hear_epoch(steering, record.members, record.epoch)
        record = msgspec.structs.replace(record, epoch=record.epoch + 1)
        steering.peering.tracker.adopt_record(record)
        steering.peering.handover.adopt_record(record)
    _hear_epoch(steering, record.members, record.epoch)
    # The first check after a change drops what all have confirmed; the budget is then
    # checked ten times a second until the next change.
    handover = steering.peering.handover
    handover.is_handed_over(FIRST_BUDGET)
    return _time(lambda: handover.is_handed_over(FIRST_BUDGET))


def _time_confirmations(members: int) -> float:
    """Return the time to hear all members confirm the loss of a failure domain."""
    steering = make_steering(ManualClock(1), make_deployment(), members)
    record = steering.peering.record
    lost = [
        member.id
        for member in record.members
        if member.failure_domain == record.members[-1].failure_domain
        and member != steering.member
    ]
    _hear_epoch(steering, record.members, record.epoch)
    changed = remove_member(record, *lost)
    steering.peering.tracker.adopt_record(changed)
    return _time(lambda: _hear_epoch(steering, changed.members, changed.epoch))


def _hear_epoch(steering: Steering, members: Iterable[Member], epoch: int) -> None:
    for member in members:
        heartbeat = Heartbeat(member.id, member.incarnation, epoch, 1, 1)
        steering.peering.tracker.observe_heartbeat(heartbeat)


def _adopt(steering: Steering, record: FleetRecord) -> None:
    """Adopt a record as the instance does, and use what it owns once."""
    steering.adopt_record(record)
    steering.make_report()
    steering.peering.allocate()


def _change(record: FleetRecord, member_id: str) -> None:
    msgspec.json.encode(remove_member(record, member_id))


def _choose_all(record: FleetRecord, keys: list[str]) -> None:
    for key in keys:
        choose_owner(record, key)


def _time(step: Callable[[], object]) -> float:
    started_s = time.process_time()
    step()
    return time.process_time() - started_s
