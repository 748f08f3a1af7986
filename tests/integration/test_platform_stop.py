"""A planned stop of one instance under new, kept and slow orders."""

import signal
from itertools import count

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.pool import Pool

from currantmast.clocks import BootClock
from currantmast.standins.platformfleet import HOST, KEYS, PlatformFleet, WorkPlan

STOPPED = 'edge-0'
RATE = 10
BEFORE_S = 4
TIME_LIMIT_MS = 20_000
BODY = b'order' * 20
SLOW_BODY_S = 1.0
CUT = 'cut'
NOT_CONNECTED = 'not connected'
KINDS = ('new', 'kept', 'slow')


class Order(msgspec.Struct):
    """One order, and what its caller saw: a status, `CUT` or `NOT_CONNECTED`."""

    id: str
    kind: str
    sent_at: float
    seen: str = ''


class Orders:
    """Sends orders to the instance that stops, and notes how they end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.clock = BootClock()
        self.sent = []
        self._kept = []
        self._pool = Pool(500)
        self._numbers = count()

    def send_until(self, until):
        while self.clock.now() < until:
            for kind in KINDS:
                order = Order(f'{kind}-{next(self._numbers)}', kind, self.clock.now())
                self.sent.append(order)
                self._pool.spawn(self._send, order)
            gevent.sleep(len(KINDS) / RATE)

    def join(self):
        self._pool.join()

    def list_cut(self):
        """Return the orders that ran and whose callers got no answer."""
        return [
            order
            for order in self.sent
            if order.seen == CUT and self.fleet.ran[order.id]
        ]

    def list_seen(self, *seen):
        return [order for order in self.sent if order.seen in seen]

    def _send(self, order):
        try:
            connection = self._connect(order)
        except OSError:
            order.seen = NOT_CONNECTED
            return
        keeps = False
        try:
            order.seen, keeps = self._exchange(connection, order)
        except OSError:
            order.seen = CUT
        if keeps and order.kind == 'kept':
            self._kept.append(connection)
        else:
            connection.close()

    def _connect(self, order):
        if order.kind == 'kept' and self._kept:
            return self._kept.pop()
        address = self.fleet.public[STOPPED]
        return socket.create_connection((address.host, address.port))

    def _exchange(self, connection, order):
        head = (
            f'POST /order/{order.id} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Currantmast-Request-Id: {order.id}\r\n'
            f'X-Currantmast-Deadline-Ms: {TIME_LIMIT_MS}\r\n'
            f'Api-Key: {KEYS["schools"]}\r\nContent-Length: {len(BODY)}\r\n\r\n'
        )
        half = len(BODY) // 2 if order.kind == 'slow' else len(BODY)
        connection.sendall(head.encode() + BODY[:half])
        if BODY[half:]:
            gevent.sleep(SLOW_BODY_S)
            connection.sendall(BODY[half:])
        answer = b''
        while not is_complete(answer):
            received = connection.recv(4096)
            if not received:
                return CUT, False
            answer += received
        keeps = b'connection: close' not in answer.lower()
        return answer.split(b' ')[1].decode(), keeps


def is_complete(answer):
    head, end, body = answer.partition(b'\r\n\r\n')
    if not end:
        return False
    lines = head.lower().split(b'\r\n')
    lengths = [line for line in lines if line.startswith(b'content-length:')]
    return len(body) >= int(lengths[0].partition(b':')[2])


def stop_under_orders(work):
    """Return the orders, and the clock time of the stop."""
    with PlatformFleet(size=3, seed=5, work=work) as fleet:
        orders = Orders(fleet)
        begins_at = orders.clock.now()
        stops_at = begins_at + BEFORE_S
        sending = gevent.spawn(orders.send_until, stops_at + work.grace_s + 1)
        gevent.sleep(stops_at - orders.clock.now())
        stops_at = orders.clock.now()
        fleet.instances[STOPPED].send_signal(signal.SIGTERM)
        code = fleet.instances[STOPPED].wait_exit(work.grace_s)
        sending.join()
        orders.join()
        refused = [order.id for order in orders.list_seen('503')]
        assert not [known for known in refused if fleet.ran[known]]
        assert not fleet.list_violations()
        assert code == 0
    return orders, stops_at


def make_work(grace_s, work_s, timeout_s=5):
    return WorkPlan(work_s, work_s, 100, timeout_s, grace_s)


SHORT = make_work(6, 0.3)
PLANS = (
    SHORT,
    make_work(6, 2.0),
    make_work(6, 2.6),
    make_work(6, 3.5),
    make_work(6, 3.5, 8),
    make_work(10, 4.7),
)


@pytest.fixture(scope='module')
def stops():
    """Stops of all plans, side by side."""
    running = {plan: gevent.spawn(stop_under_orders, plan) for plan in PLANS}
    return {plan: task.get() for plan, task in running.items()}


@pytest.mark.parametrize('plan', PLANS, ids=str)
def test_planned_stop_cuts_no_order_that_runs(stops, plan):
    """Guards against orders that are passed on late in a stop, run, and get no answer."""
    orders, stops_at = stops[plan]
    cut = [(order.id, order.sent_at - stops_at) for order in orders.list_cut()]
    assert not cut
    assert orders.list_seen('200')


def test_short_orders_are_served_until_callers_have_left(stops):
    """Guards against a stop that turns away what it has the time to serve."""
    orders, stops_at = stops[SHORT]
    early = [order for order in orders.sent if order.sent_at < stops_at + 2.5]
    assert {order.seen for order in early} == {'200'}
