import pytest
from gevent.server import StreamServer

from currantmast.clocks import LoopClock
from currantmast.errors import AnswerIncomplete, ExchangeBroken, NothingSent
from currantmast.messages import Address
from currantmast.runtime.forwarding import Connections, HopRequest
from currantmast.runtime.servers import Answer, HttpServer

LOCAL = Address('127.0.0.1', 0)
TIMEOUT_S = 5


@pytest.fixture
def connections():
    with Connections(LoopClock()) as pools:
        yield pools


def serve_raw(respond):
    server = StreamServer(('127.0.0.1', 0), respond)
    server.start()
    return server, Address('127.0.0.1', server.server_port)


def read_head(sock):
    data = b''
    while b'\r\n\r\n' not in data:
        data += sock.recv(65536)
    return data


def test_put_is_sent_once_when_the_connection_breaks(connections):
    """Guards against the HTTP library's own repetition of PUT and DELETE."""
    seen = []

    def respond(sock, _address):
        seen.append(read_head(sock))
        sock.close()

    server, address = serve_raw(respond)
    with pytest.raises(ExchangeBroken):
        connections.exchange(address, HopRequest('PUT', '/x', body=b'a', length=1), 2)
    server.stop()
    assert len(seen) == 1


def test_short_answer_is_no_answer(connections):
    """Guards against passing a truncated answer on as a whole one."""

    def respond(sock, _address):
        read_head(sock)
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc')
        sock.close()

    server, address = serve_raw(respond)
    with pytest.raises(AnswerIncomplete):
        connections.exchange(address, HopRequest('GET', '/x'), TIMEOUT_S)
    server.stop()


def test_refused_connection_sent_nothing(connections):
    """Guards against reporting an unsent request as possibly run."""
    server, address = serve_raw(lambda sock, _address: None)
    server.stop()
    with pytest.raises(NothingSent):
        connections.exchange(address, HopRequest('GET', '/x'), TIMEOUT_S)


def test_refusal_before_the_body_does_not_poison_the_connection(connections):
    """Guards against a next request being read as the refused request's body."""
    paths = []

    def respond(inbound):
        paths.append(inbound.path)
        if inbound.method == 'PUT' and inbound.path == '/full':
            return Answer(503)
        return Answer(200, body=inbound.read_body())

    with HttpServer(LOCAL) as server:
        server.start(respond)
        upload = HopRequest(
            'PUT', '/full', body=iter([b'GET /evil']), length=9, ask_first=True
        )
        refusal = connections.exchange(server.address, upload, TIMEOUT_S)
        accepted = connections.exchange(
            server.address,
            HopRequest(
                'PUT', '/ok', body=iter([b'ab', b'c']), length=3, ask_first=True
            ),
            TIMEOUT_S,
        )
    assert (refusal.status, refusal.body_sent) == (503, False)
    assert (accepted.status, accepted.body) == (200, b'abc')
    assert paths == ['/full', '/ok']


def test_connections_are_reused_after_complete_exchanges(connections):
    """Guards against opening a connection for each idempotent request."""
    remotes = set()

    def respond(inbound):
        remotes.add(inbound.stream.rfile)
        return Answer(200, body=b'fine')

    with HttpServer(LOCAL) as server:
        server.start(respond)
        for _ in range(3):
            answer = connections.exchange(server.address, HopRequest('GET', '/'), 2)
            assert answer.body == b'fine'
    assert len(remotes) == 1


def test_headers_beyond_the_bounds_are_rejected(connections):
    """Guards against unbounded memory for headers."""
    headers = tuple((f'X-{number}', 'v') for number in range(100))
    with HttpServer(LOCAL) as server:
        server.start(lambda inbound: Answer(200))
        answer = connections.exchange(
            server.address, HopRequest('GET', '/', headers=headers), TIMEOUT_S
        )
    assert answer.status == 400
