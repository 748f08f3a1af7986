"""Questions about sockets that the libraries don't answer."""

from gevent.select import select
from gevent.socket import socket as Socket


def is_readable(sock: Socket) -> bool:
    """Return whether a socket has unread bytes, or was closed by the other end."""
    readable, _, _ = select([sock], [], [], 0)
    return bool(readable)
