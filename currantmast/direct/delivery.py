"""Writing of answers to callers, large ones in parts that the memory budget counts."""

from collections.abc import Callable

from gevent.socket import socket as Socket

from currantmast.direct.answerencoding import encode_answer, encode_head
from currantmast.direct.bodies import split_body
from currantmast.direct.inbound import OutboundAnswer
from currantmast.direct.memory import MemoryBudget

# Size from which an answer is written in parts, and the size of a part.
LARGE_ANSWER_BYTES = 16_384
PART_BYTES = 65_536


class Delivery:
    """Writer of the answers on one connection.

    Parameters
    ----------
    sock : Socket
        Connection to the caller, with the timeout for one part.
    budget : MemoryBudget
        Budget that counts large answers until they are written.
    abort : callable
        Ends the connection without blocking.
    """

    __slots__ = ('_abort', '_budget', '_sock')

    def __init__(
        self, sock: Socket, budget: MemoryBudget, abort: Callable[[], None]
    ) -> None:
        self._sock = sock
        self._budget = budget
        self._abort = abort

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Delivery {self._sock}>'

    def write(self, answer: OutboundAnswer, keep_alive: bool, is_head: bool) -> None:
        """Write one answer.

        Raises
        ------
        OSError
            If the caller has left, or does not read, or the answer was aborted.
        """
        if is_head or len(answer.body) <= LARGE_ANSWER_BYTES:
            self._sock.sendall(encode_answer(answer, keep_alive, is_head))
            return
        with self._budget.open(self._abort) as reservation:
            reservation.hold(len(answer.body))
            self._sock.sendall(encode_head(answer, keep_alive))
            for part in split_body(answer.body, PART_BYTES):
                self._sock.sendall(part)
                reservation.move(len(part))
