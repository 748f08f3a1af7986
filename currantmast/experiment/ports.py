"""Kernel-chosen ports."""

import socket
from contextlib import ExitStack

from currantmast.messages import Address


class PortReserver:
    """Kernel-chosen ports, kept bound until the block ends so that none is given twice."""

    __slots__ = ('_stack',)

    def __init__(self) -> None:
        self._stack = ExitStack()

    def __enter__(self) -> 'PortReserver':
        """Return the reserver itself."""
        return self

    def __exit__(self, *failure: object) -> None:
        """Release all ports for the processes to bind."""
        self._stack.close()

    def reserve(self, host: str) -> Address:
        """Return a free address on `host`."""
        listener = self._stack.enter_context(socket.socket())
        listener.bind((host, 0))
        return Address(host, listener.getsockname()[1])
