"""Exchanges with targets whose answers are late, repeated, truncated or unframed."""

from contextlib import contextmanager

import gevent
import pytest
from gevent.server import StreamServer

from currantmast.clocks import BootClock
from currantmast.direct.answers import AnswerReader, BufferedBytes
from currantmast.direct.exchanges import TargetConnections, TargetRequest
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.messages import Address
from currantmast.platform.wire import matches_request


def make_answer(request_id, body=b'ok', extra=''):
    head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\nContent-Length: {len(body)}\r\n'
    return head.encode() + extra.encode() + b'\r\n' + body


class Target:
    """Target that answers its n-th request, over all connections, with the n-th script.

    A script is a list of steps: bytes to send, seconds to sleep (a float), or 'close'.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = []

    def serve(self, sock, remote):
        self.connections += 1
        while True:
            received = sock.recv(65_536)
            if not received:
                return
            self.requests.append(received)
            script = self.scripts.pop(0)
            for step in script:
                if step == 'close':
                    return
                if isinstance(step, float):
                    gevent.sleep(step)
                else:
                    sock.sendall(step)


@contextmanager
def open_target(*scripts):
    target = Target(*scripts)
    server = StreamServer(('127.0.0.1', 0), target.serve)
    server.start()
    target.address = Address(*server.address)
    with TargetConnections(BootClock()) as pool:
        target.pool = pool
        try:
            yield target
        finally:
            server.stop(timeout=0)


def send(target, request_id, timeout_s=2.0):
    request = TargetRequest('GET', '/x', (('Id', request_id),))
    return target.pool.exchange(
        't',
        target.address,
        request,
        timeout_s,
        lambda answer: answer.get('id') == request_id,
    )


def test_connection_is_reused_after_a_complete_answer():
    with open_target([make_answer('1')], [make_answer('2')]) as target:
        send(target, '1')
        send(target, '2')
    assert target.connections == 1


def test_second_answer_never_reaches_the_next_request():
    """Guards against an answer to one request being delivered to another."""
    repeated = [make_answer('1', b'one') + make_answer('1', b'twice')]
    with open_target(repeated, [make_answer('2', b'two')]) as target:
        assert send(target, '1').body == b'one'
        assert send(target, '2').body == b'two'
    assert target.connections == 2


def test_late_answer_to_another_request_is_skipped():
    late = [make_answer('0', b'late') + make_answer('1', b'own')]
    with open_target(late, [make_answer('2')]) as target:
        assert send(target, '1').body == b'own'
        send(target, '2')
    assert target.connections == 2


def test_connection_with_bytes_after_the_answer_is_not_reused():
    slow_extra = [make_answer('1'), 0.05, make_answer('1')]
    with open_target(slow_extra, [make_answer('2', b'two')]) as target:
        send(target, '1')
        gevent.sleep(0.1)
        assert send(target, '2').body == b'two'
    assert target.connections == 2


@pytest.mark.parametrize('cut', [20, 60, -1])
def test_truncated_answer_is_incomplete(cut):
    answer = make_answer('1', b'x' * 40)
    with (
        open_target([answer[:cut], 'close']) as target,
        pytest.raises(AnswerIncomplete),
    ):
        send(target, '1')


def test_answer_without_length_ends_with_its_connection():
    unframed = b'HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it'
    with open_target([unframed, 'close'], [make_answer('2')]) as target:
        assert send(target, '1').body == b'all of it'
        send(target, '2')
    assert target.connections == 2


def test_malformed_answer_fails_the_exchange():
    nonsense = [b'\x00\xffnonsense\r\n\r\n']
    with open_target(nonsense) as target, pytest.raises(ExchangeBroken):
        send(target, '1')


def test_silent_target_causes_a_timeout():
    with open_target([5.0]) as target, pytest.raises(ProgressTimeout):
        send(target, '1', timeout_s=0.1)


def test_refused_connection_is_reported_as_nothing_sent():
    with open_target() as target:
        target.address = Address('127.0.0.1', 1)
        with pytest.raises(NothingSent):
            send(target, '1')


def test_connection_close_header_prevents_reuse():
    closing = [make_answer('1', extra='Connection: close\r\n')]
    with open_target(closing, [make_answer('2')]) as target:
        send(target, '1')
        send(target, '2')
    assert target.connections == 2


@pytest.mark.parametrize('delay_s', [0.0, 0.02, 0.2])
@pytest.mark.parametrize('split', [0, 25])
def test_late_second_copy_never_answers_the_next_request(delay_s, split):
    """Guards against a copy that arrives after the next request was sent."""
    copy = make_answer('1', b'copy')
    late = [delay_s, copy[:split], delay_s, copy[split:]]
    own = make_answer('2', b'two')
    with open_target([make_answer('1')], [*late, own], [make_answer('3')]) as target:
        send(target, '1')
        assert send(target, '2').body == b'two'
        assert target.connections == 1
        # What else may come on that connection is not waited for.
        send(target, '3')
        assert target.connections == 2


def make_refusal(request_id=None):
    echoed = f'Id: {request_id}\r\n' if request_id else ''
    head = 'HTTP/1.1 503 Service Unavailable\r\nX-Currantmast-Not-Executed: 1\r\n'
    return f'{head}{echoed}Content-Length: 0\r\n\r\n'.encode().replace(
        b'Id:', b'X-Currantmast-Request-Id:'
    )


def make_stamped(request_id):
    head = f'HTTP/1.1 200 OK\r\nX-Currantmast-Request-Id: {request_id}\r\n'
    return (
        f'{head}X-Currantmast-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok'.encode()
    )


@pytest.mark.parametrize('refusal', [make_refusal(), make_refusal('r1')])
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
def test_refusal_written_once_more_refuses_no_later_request(refusal, delay_s):
    """Guards against "not run" for a request that runs, which is then sent elsewhere."""
    with open_target(
        [refusal], [refusal, delay_s, make_stamped('r2')], [make_stamped('r2')]
    ) as target:
        statuses = []
        for request_id in ('r1', 'r2'):
            request = TargetRequest('POST', '/a', (('Host', 'h'),), b'x')
            answer = target.pool.exchange(
                't',
                target.address,
                request,
                1,
                lambda found, sent=request_id: matches_request(sent, found),
            )
            statuses.append(answer.status)
    assert statuses == [503, 200]
    assert len(target.requests) == 2


HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Currantmast-Request-Id: r1\r\n'
    b'X-Currantmast-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n'
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
EARLIER = b'HTTP/1.1 204 No Content\r\nX-Currantmast-Request-Id: r0\r\n\r\n'


@pytest.mark.parametrize(
    'before', [b'', INTERIM, EARLIER], ids=['', 'interim', 'other']
)
@pytest.mark.parametrize('length', range(len(HEAD)))
def test_answer_that_ends_within_its_head_is_incomplete(before, length):
    """Guards against an empty or short body that is framed as the whole one."""
    reader = AnswerReader(
        lambda found: matches_request('r1', found), 0, BufferedBytes()
    )
    if before + HEAD[:length]:
        reader.feed(before + HEAD[:length])
    with pytest.raises(AnswerIncomplete):
        reader.finish()
    assert reader.answer is None


def test_connection_of_a_removed_target_is_closed_in_the_end():
    """Guards against descriptors that are lost with each target that leaves."""
    answer = make_answer('a', extra='Keep-Alive: timeout=1\r\n')
    with open_target([0.2, answer]) as target:
        gevent.spawn_later(0.1, target.pool.close_idle, 't')
        send(target, 'a')
        sock = target.pool._idle['t'][0].sock
        target.pool.close_expired()
        assert not sock.closed
        gevent.sleep(0.7)
        target.pool.close_expired()
        assert sock.closed
        assert not target.pool._idle


def test_answer_to_a_head_request_needs_no_body():
    """Guards against a HEAD request that waits for a body until its timeout."""
    head = b'HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 500\r\n\r\n'
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    with open_target([interim, head], [make_answer('2')]) as target:
        request = TargetRequest('HEAD', '/x', (('Id', '1'),))
        answer = target.pool.exchange(
            't', target.address, request, 1, lambda found: found.get('id') == '1'
        )
        assert (answer.status, answer.body) == (200, b'')
        assert send(target, '2').body == b'ok'
        assert target.connections == 2
