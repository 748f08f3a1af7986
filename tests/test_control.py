"""The control link between instances."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
from gevent import socket

from currantmast.messages import Address, HeartbeatAck
from currantmast.runtime.control import (
    FRAME_MARK,
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    SEND_BUFFER_MESSAGES,
    ControlLink,
    encode_frame,
)

ANY = Address('127.0.0.1', 0)


def make_ack(epoch: int) -> HeartbeatAck:
    return HeartbeatAck('a', 'run-1', epoch, 1, 'run-2', 0.5, renews=True)


@contextmanager
def open_link() -> Iterator[ControlLink]:
    with ControlLink(ANY) as link:
        task = gevent.spawn(link.receive)
        try:
            yield link
        finally:
            task.kill()


def test_messages_arrive_in_order():
    with open_link() as sender, open_link() as receiver:
        sender.dial_peers({'b': receiver.address})
        for epoch in range(5):
            assert sender.send('b', make_ack(epoch))
        epochs = [receiver.inbox.get(timeout=2).epoch for _ in range(5)]
    assert epochs == [0, 1, 2, 3, 4]


def test_peers_that_come_and_go_in_series_end_nothing():
    """Guards against the crash of the former messaging library on closed sockets."""
    with open_link() as sender:
        for round_number in range(150):
            with ExitStack() as stack:
                peers = [stack.enter_context(open_link()) for _ in range(4)]
                sender.dial_peers(
                    {str(index): peer.address for index, peer in enumerate(peers)}
                )
                assert sender.send('0', make_ack(round_number))
                assert peers[0].inbox.get(timeout=2).epoch == round_number
                sender.send('1', make_ack(round_number))


def test_a_peer_that_returns_is_dialled_again():
    with open_link() as sender:
        with open_link() as first:
            address = first.address
            sender.dial_peers({'b': address})
            sender.send('b', make_ack(1))
            assert first.inbox.get(timeout=2).epoch == 1
        with ControlLink(address) as second:
            task = gevent.spawn(second.receive)
            with gevent.Timeout(5):
                while second.inbox.empty():
                    sender.send('b', make_ack(2))
                    gevent.sleep(0.05)
            assert second.inbox.get().epoch == 2
            task.kill()


def test_sending_to_a_silent_peer_drops_and_never_blocks():
    with socket.create_server(('127.0.0.1', 0)) as silent, open_link() as sender:
        host, port = silent.getsockname()
        sender.dial_peers({'b': Address(host, port)})
        with gevent.Timeout(2):
            accepted = [sender.send('b', make_ack(1)) for _ in range(100)]
    assert accepted.count(True) == SEND_BUFFER_MESSAGES
    assert sender.dropped == 100 - SEND_BUFFER_MESSAGES


def test_damaged_frames_end_their_connection_only():
    with open_link() as sender, open_link() as receiver:
        target = (receiver.address.host, receiver.address.port)
        with socket.create_connection(target) as odd:
            odd.sendall(FRAME_MARK + (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES))
            assert odd.recv(1) == b''
        with socket.create_connection(target) as odd:
            odd.sendall(encode_frame(b'abc'))
            sender.dial_peers({'b': receiver.address})
            sender.send('b', make_ack(7))
            assert receiver.inbox.get(timeout=2).epoch == 7
    assert receiver.rejected == 1


def test_bytes_lost_inside_a_frame_end_the_connection():
    """Guards against a reader that waits for a frame that was never sent.

    A one-way partition drops bytes in the middle of the stream; what follows is no
    frame head, and its first bytes must not be taken for a length.
    """
    with open_link() as receiver:
        target = (receiver.address.host, receiver.address.port)
        with socket.create_connection(target, 2) as damaged:
            damaged.sendall(encode_frame(b'x' * 20)[:-4])
            damaged.sendall(b'\x00\x01\x02\x03' * 8)
            assert damaged.recv(1) == b''
