"""The control link: typed messages between instances, one TCP connection a direction."""

from collections.abc import Mapping
from typing import Self

from gevent import sleep, socket
from gevent.greenlet import Greenlet
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from currantmast.errors import CurrantmastError
from currantmast.messages import (
    Address,
    ControlMessage,
    MessageRejected,
    decode_message,
    encode_message,
)
from currantmast.runtime.logs import log_event

SEND_BUFFER_MESSAGES = 8
INBOX_LIMIT = 4096
LISTEN_BACKLOG = 256
MAX_INBOUND = 4096
LENGTH_BYTES = 4
# Begins each frame, so that bytes lost in the middle of a stream are noticed.
FRAME_MARK = b'\xc1\xcf'
# Bounds what a damaged length field can make this process allocate.
MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
# A peer that takes no byte for this long is dialled anew.
SEND_TIMEOUT_S = 3.0
FIRST_REDIAL_S = 0.1
LAST_REDIAL_S = 1.0


class FrameRejected(CurrantmastError):
    """A peer sent a frame longer than allowed, or closed in the middle of one."""


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
        '_peers',
        '_senders',
        '_server',
        'address',
        'dropped',
        'inbox',
        'rejected',
    )

    def __init__(self, listen: Address) -> None:
        self._server = StreamServer(
            (listen.host, listen.port),
            self._read,
            backlog=LISTEN_BACKLOG,
            spawn=MAX_INBOUND,
        )
        # Readers of a closed link have nothing left to finish.
        self._server.stop_timeout = 0
        self._server.init_socket()
        host, port = self._server.socket.getsockname()[:2]
        self.address = Address(host, port)
        self.inbox: Queue = Queue(maxsize=INBOX_LIMIT)
        self.dropped = 0
        self.rejected = 0
        self._peers: dict[str, Address] = {}
        self._senders: dict[str, _Sender] = {}

    def __enter__(self) -> Self:
        """Return the open link."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all sockets."""
        self.close()

    def __repr__(self) -> str:
        """Return the address and the number of peers."""
        return f'<ControlLink {self.address} peers={len(self._senders)}>'

    def dial_peers(self, peers: Mapping[str, Address]) -> None:
        """Dial exactly `peers`, by instance id."""
        for gone in set(self._senders) - set(peers):
            self._senders.pop(gone).close()
        for peer_id, address in peers.items():
            if self._peers.get(peer_id) != address or peer_id not in self._senders:
                self._dial(peer_id, address)
        self._peers = dict(peers)

    def redial(self, peer_id: str) -> None:
        """Replace the connection to `peer_id`, which may have gone silent."""
        address = self._peers.get(peer_id)
        if address is not None:
            self._dial(peer_id, address)

    def send(self, peer_id: str, message: ControlMessage) -> bool:
        """Queue `message` for `peer_id`; return whether it was accepted."""
        sender = self._senders.get(peer_id)
        if sender is None:
            return False
        accepted = sender.put(encode_message(message))
        self.dropped += not accepted
        return accepted

    def receive(self) -> None:
        """Move received messages into the inbox, for ever."""
        self._server.serve_forever()

    def close(self) -> None:
        """Close all sockets."""
        self.dial_peers({})
        self._server.stop(timeout=0)

    def _read(self, connection: socket.socket, remote: tuple[str, int]) -> None:
        with connection, connection.makefile('rb') as stream:
            try:
                self._read_frames(stream)
            except (OSError, FrameRejected) as error:
                log_event('control_connection_lost', remote=remote[0], error=error)

    def _read_frames(self, stream: socket.SocketIO) -> None:
        while True:
            payload = _read_frame(stream)
            if payload is None:
                return
            try:
                message = decode_message(payload)
            except MessageRejected:
                self.rejected += 1
                continue
            self.inbox.put(message)

    def _dial(self, peer_id: str, address: Address) -> None:
        previous = self._senders.pop(peer_id, None)
        if previous is not None:
            previous.close()
        self._senders[peer_id] = _Sender(peer_id, address)


class _Sender:
    """Connection to one peer with a bounded queue; dials again after a failure."""

    __slots__ = ('_address', '_peer_id', '_queue', '_task')

    def __init__(self, peer_id: str, address: Address) -> None:
        self._peer_id = peer_id
        self._address = address
        self._queue: Queue = Queue(maxsize=SEND_BUFFER_MESSAGES)
        self._task: Greenlet = Greenlet.spawn(self._run)

    def put(self, payload: bytes) -> bool:
        """Queue a frame; return whether there was room."""
        try:
            self._queue.put_nowait(payload)
        except Full:
            return False
        return True

    def close(self) -> None:
        """End the task, which closes its socket."""
        self._task.kill(block=False)

    def _run(self) -> None:
        pause_s = FIRST_REDIAL_S
        connected = True
        while True:
            try:
                self._send_frames()
            except OSError as error:
                if connected:
                    log_event('peer_unreachable', peer=self._peer_id, error=error)
                connected = False
                sleep(pause_s)
                pause_s = min(LAST_REDIAL_S, pause_s * 2)

    def _send_frames(self) -> None:
        target = (self._address.host, self._address.port)
        with socket.create_connection(target, CONNECT_TIMEOUT_S) as connection:
            connection.settimeout(SEND_TIMEOUT_S)
            while True:
                payload = self._queue.get()
                connection.sendall(encode_frame(payload))


def encode_frame(payload: bytes) -> bytes:
    """Return the bytes of a frame: mark, length and payload."""
    return b''.join((FRAME_MARK, len(payload).to_bytes(LENGTH_BYTES), payload))


def _read_frame(stream: socket.SocketIO) -> bytes | None:
    """Return the next frame, or None at a clean end.

    Raises
    ------
    FrameRejected
        If the frame has no mark, is too long or is cut short.
    """
    head = stream.read(len(FRAME_MARK) + LENGTH_BYTES)
    if not head:
        return None
    size = int.from_bytes(head[len(FRAME_MARK) :])
    whole = len(head) == len(FRAME_MARK) + LENGTH_BYTES
    if not whole or not head.startswith(FRAME_MARK) or size > MAX_FRAME_BYTES:
        raise FrameRejected(f'frame head {head.hex()}')
    payload = stream.read(size)
    if len(payload) < size:
        raise FrameRejected(f'{len(payload)} of {size} bytes')
    return payload
