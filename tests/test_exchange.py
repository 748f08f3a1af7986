"""Exchanges of the product's own interface with answers that end early."""

import pytest
from gevent.server import StreamServer

from currantmast.errors import ExchangeBroken
from currantmast.exchange import Request, SingleSendClient, exchange

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
