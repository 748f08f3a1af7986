"""Exchanges of the product's own interface with answers that end early."""

import struct
from socket import SO_LINGER, SOL_SOCKET

import gevent
import pytest
from gevent.server import StreamServer

from currantmast.clocks import LoopClock
from currantmast.errors import ExchangeBroken
from currantmast.exchange import Request, SingleSendClient, exchange
from currantmast.messages import Address
from currantmast.runtime.forwarding import Connections, HopRequest

ANSWER = b'HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\no'


@pytest.mark.parametrize('length', range(len(ANSWER) + 1))
def test_answer_that_ends_early_is_never_whole(length):
    """Guards against an empty or short body that is framed as the whole one."""

    def serve(sock, remote):
        sock.recv(65_536)
        sock.sendall(ANSWER[:length])
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    client = SingleSendClient(
        *server.address, connection_timeout=1.0, network_timeout=1.0, concurrency=1
    )
    with pytest.raises(ExchangeBroken):
        exchange(client, Request('GET', '/x', {}), 1.0)
    server.stop()


def serve_early(text, whole):
    """Return a server that answers after the head or the whole body, and resets."""

    def serve(sock, remote):
        received = sock.recv(65_536)
        while whole and len(received) < len(BODY):
            received += sock.recv(65_536)
        sock.sendall(text)
        gevent.sleep(0.2)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack('ii', 1, 0))
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    return server


BODY = b'x' * 16_000_000
SOUND = b'HTTP/1.1 413 Large\r\nContent-Length: 3\r\n\r\nbig'
EARLY = [
    (b'HTTP/1.1 200 OK\r\n\r\npart', False, None),
    (b'HTTP/1.1 200 OK\r\n\r\npart', True, None),
    (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\np\r\n', False, None),
    (b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n', True, None),
    (b'HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n', True, None),
    (SOUND, False, 413),
    (SOUND, True, 413),
]


def try_client(server):
    client = SingleSendClient(
        *server.address, connection_timeout=1.0, network_timeout=1.0, concurrency=1
    )
    return exchange(client, Request('POST', '/x', {}, BODY), 2.0).status


def try_hop(server):
    with Connections(LoopClock()) as connections:
        request = HopRequest('POST', '/x', body=BODY, length=len(BODY))
        return connections.exchange(Address(*server.address), request, 2.0).status


@pytest.mark.parametrize('send', [try_client, try_hop])
@pytest.mark.parametrize(('text', 'whole', 'status'), EARLY)
def test_early_answer_is_delivered_whole_or_not_at_all(send, text, whole, status):
    """Guards against a part, or an odd status, that is taken as the answer."""
    server = serve_early(text, whole)
    if status is None:
        with pytest.raises(ExchangeBroken):
            send(server)
    else:
        assert send(server) == status
    server.stop(timeout=0)
