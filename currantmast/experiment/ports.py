"""Ports for the processes of a fleet, which no other process takes meanwhile.

A port that the kernel picks is free again between its reservation and the moment at
which its process binds it, and any connection of the machine may then get it. Ports from
below the kernel's own range, in a block that one test process holds, have no such rival.
"""

import fcntl
import socket
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack
from functools import cache
from pathlib import Path

from currantmast.errors import CurrantmastError
from currantmast.messages import Address

# Below the ports that Linux gives to outgoing connections (32768 and up).
FIRST_PORT = 12_000
LAST_PORT = 32_000

# Ports in one block: several fleets one after the other, each port unused for a while.
BLOCK_SIZE = 400


class NoFreePort(CurrantmastError):
    """All ports, or all blocks of ports, are in use."""


class PortReserver:
    """Reserved ports, kept bound until the block ends so that none is given twice."""

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
        """Return a free address on `host`.

        Raises
        ------
        NoFreePort
            If every port of the block is in use.
        """
        ports = _hold_block()
        for _ in range(BLOCK_SIZE):
            listener = socket.socket()
            address = Address(host, next(ports))
            try:
                listener.bind((address.host, address.port))
            except OSError:
                listener.close()
                continue
            self._stack.enter_context(listener)
            return address
        raise NoFreePort(f'no free port on {host}')


@cache
def _hold_block() -> Iterator[int]:
    """Return the ports of a block that this process holds until it ends, over and over.

    Raises
    ------
    NoFreePort
        If other processes hold all blocks.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        path = Path(tempfile.gettempdir()) / f'currantmast-ports-{first}.lock'
        lock = path.open('w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return _list_ports(first, lock)
    raise NoFreePort('all blocks of ports are held')


def _list_ports(first: int, lock: object) -> Iterator[int]:
    # The generator keeps the lock's file open, and with it the block.
    while lock:
        yield from range(first, first + BLOCK_SIZE)
