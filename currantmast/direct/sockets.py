"""Questions about sockets that the libraries don't answer."""

from select import POLLIN, poll

from gevent.socket import socket as Socket


def is_readable(sock: Socket) -> bool:
    """Return whether a socket has unread bytes, or was closed by the other end."""
    # Not `select`, which fails for descriptors above 1,023.
    poller = poll()
    poller.register(sock, POLLIN)
    return bool(poller.poll(0))
