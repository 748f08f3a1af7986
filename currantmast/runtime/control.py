"""The control link: typed messages between instances over pynng."""

from collections import deque
from collections.abc import Mapping
from typing import Self

import pynng
from gevent.queue import Queue
from gevent.socket import wait_read

from currantmast.messages import (
    Address,
    ControlMessage,
    MessageRejected,
    decode_message,
    encode_message,
)

SEND_BUFFER_MESSAGES = 8
INBOX_LIMIT = 4096
TASK_THREADS = 2


def bound_threads() -> None:
    """Limit the worker threads of the messaging library.

    The default is two threads a core and more, about 30 on a ten-core machine; the
    messages of one instance need two. Takes effect only before the first socket.
    """
    lib = pynng.lib
    for parameter in (
        lib.NNG_INIT_NUM_TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, TASK_THREADS)


# Closed sockets are kept for a while: a worker thread of the library may still call
# back into a socket that has just been closed, and must not find it collected.
_retired: deque[pynng.Push0] = deque(maxlen=256)


def _retire(socket: pynng.Push0) -> None:
    socket.close()
    _retired.append(socket)


class ControlLink:
    """Owns the sockets that carry control messages.

    Sending never blocks: a message for a peer that can't be reached is dropped, since
    every control message is repeated with newer content.

    Parameters
    ----------
    listen : Address
        Address to listen on; port 0 lets the kernel choose.
    """

    __slots__ = (
        '_listener',
        '_peers',
        '_sockets',
        'address',
        'dropped',
        'inbox',
        'rejected',
    )

    def __init__(self, listen: Address) -> None:
        bound_threads()
        self._listener = pynng.Pull0(listen=f'tcp://{listen}')
        bound = str(self._listener.listeners[0].local_address)
        host, port = bound.rsplit(':', 1)
        self.address = Address(host, int(port))
        self.inbox: Queue = Queue(maxsize=INBOX_LIMIT)
        self.dropped = 0
        self.rejected = 0
        self._peers: dict[str, Address] = {}
        self._sockets: dict[str, pynng.Push0] = {}

    def __enter__(self) -> Self:
        """Return the open link."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all sockets."""
        self.close()

    def __repr__(self) -> str:
        """Return the address and the number of peers."""
        return f'<ControlLink {self.address} peers={len(self._sockets)}>'

    def dial_peers(self, peers: Mapping[str, Address]) -> None:
        """Dial exactly `peers`, by instance id."""
        for gone in set(self._sockets) - set(peers):
            _retire(self._sockets.pop(gone))
        for peer_id, address in peers.items():
            if self._peers.get(peer_id) != address or peer_id not in self._sockets:
                self._dial(peer_id, address)
        self._peers = dict(peers)

    def redial(self, peer_id: str) -> None:
        """Replace the connection to `peer_id`, which may have gone silent."""
        address = self._peers.get(peer_id)
        if address is not None:
            self._dial(peer_id, address)

    def send(self, peer_id: str, message: ControlMessage) -> bool:
        """Queue `message` for `peer_id`; return whether it was accepted."""
        socket = self._sockets.get(peer_id)
        if socket is None:
            return False
        try:
            socket.send(encode_message(message), block=False)
        except pynng.NNGException:
            self.dropped += 1
            return False
        return True

    def receive(self) -> None:
        """Move received messages into the inbox, for ever."""
        while True:
            payload = self._receive_one()
            try:
                message = decode_message(payload)
            except MessageRejected:
                self.rejected += 1
                continue
            self.inbox.put(message)

    def close(self) -> None:
        """Close all sockets."""
        self.dial_peers({})
        self._listener.close()

    def _receive_one(self) -> bytes:
        while True:
            try:
                return self._listener.recv(block=False)
            except pynng.TryAgain:
                wait_read(self._listener.recv_fd)

    def _dial(self, peer_id: str, address: Address) -> None:
        previous = self._sockets.pop(peer_id, None)
        if previous is not None:
            _retire(previous)
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=100,
            reconnect_time_max=1000,
        )
        socket.dial(f'tcp://{address}', block=False)
        self._sockets[peer_id] = socket
