"""Answers of targets, and the reader that finds the one that belongs to a request."""

from collections.abc import Callable

import httptools
import msgspec

from currantmast.direct.inbound import CONNECTION_HEADERS
from currantmast.errors import AnswerIncomplete, AnswerTooLarge, ExchangeBroken

# Seconds for which an idle connection is kept when the target names no time, and the
# part of the named time: a target may close it just as a request is sent.
IDLE_S = 6.0
IDLE_PART = 0.6

# Bounds of one exchange. Overhead is all that is no body: heads, trailers, the framing of
# chunks, and empty lines.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_OVERHEAD_BYTES = 256 * 1024
MAX_HEADERS = 256
MAX_INTERIM_ANSWERS = 16
MAX_FOREIGN_ANSWERS = 16

# Bytes of bodies that all exchanges of a process may hold at the same time.
MAX_HELD_BYTES = 24 * 1024 * 1024

FIRST_FINAL_STATUS = 200


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of a target.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : tuple of tuple
        Names and values, without those of the connection.
    body : bytes
        The whole body.
    opened_s : float
        Seconds that opening the connection took; 0 on a kept one.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    opened_s: float = 0

    def get(self, name: str) -> str | None:
        """Return the value of header `name` (lower case), or None."""
        for known, text in self.headers:
            if known.lower() == name:
                return text
        return None


Owns = Callable[[Answer], bool]


class HeldBytes:
    """Counts the bytes of bodies that all exchanges hold."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0

    def __repr__(self) -> str:
        """Return the count."""
        return f'<HeldBytes {self.count}>'

    def add(self, size: int) -> None:
        """Count the bytes of a part.

        Raises
        ------
        AnswerTooLarge
            If all exchanges together hold too many.
        """
        if self.count + size > MAX_HELD_BYTES:
            raise AnswerTooLarge('memory')
        self.count += size


class AnswerReader:
    """Parses what a target sends until the answer that belongs to the request."""

    def __init__(self, owns: Owns, opened_s: float, held: HeldBytes) -> None:
        self.answer: Answer | None = None
        self.idle_s = IDLE_S
        self._owns = owns
        self._opened_s = opened_s
        self._held = held
        self._parser = httptools.HttpResponseParser(self)
        self._begun = 0
        self._interim = 0
        self._foreign = 0
        self._dirty = False
        # The parser forgets it once it has told that an answer is complete.
        self._keep_alive = False
        self._reason = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._received = 0
        self._body_received = 0
        self._head_done = False

    def feed(self, received: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        AnswerTooLarge
            If they go beyond a bound.
        ExchangeBroken
            If they are no answer.
        """
        if self.answer is not None:
            self._dirty = True
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._dirty = True
            if self.answer is None:
                raise _find_cause(error) from error
        self._received += len(received)
        # Framing of small chunks takes a few times their size.
        most = MAX_OVERHEAD_BYTES + self._body_received
        if self.answer is None and self._received - self._body_received > most:
            raise AnswerTooLarge('overhead')

    def release(self) -> None:
        """Hold no bytes any more."""
        self._held.count -= self._size
        self._size = 0
        self._body = []

    def finish(self) -> None:
        """Take the end of the connection, which ends an answer without a length.

        Raises
        ------
        AnswerIncomplete
            If the answer was announced to be longer.
        """
        self._dirty = True
        names = {name.lower() for name, _ in self._headers}
        framed = names & {'content-length', 'transfer-encoding'}
        if not self._head_done or framed or self.answer is not None:
            raise AnswerIncomplete('the connection ended before the answer')
        self.on_message_complete()

    def is_clean(self) -> bool:
        """Return whether the connection may carry another request."""
        return not self._dirty and self._begun == 1 and self._keep_alive

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._begun += 1
        self._reason = b''
        self._headers = []
        self.release()
        self._head_done = False

    def on_status(self, status: bytes) -> None:
        """Take a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if len(self._headers) >= MAX_HEADERS:
            raise AnswerTooLarge('headers')
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Note how long the connection may be idle."""
        self._head_done = True
        for name, text in self._headers:
            if name.lower() == 'keep-alive':
                self._take_idle_time(text)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_received += len(body)
        if self.answer is not None:
            return
        if self._size + len(body) > MAX_BODY_BYTES:
            raise AnswerTooLarge('body')
        self._held.add(len(body))
        self._size += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Keep the answer if it belongs to the request."""
        status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if status < FIRST_FINAL_STATUS:
            self._count_interim()
            return
        if self.answer is not None:
            return
        headers = tuple(
            (name, text)
            for name, text in self._headers
            if name.lower() not in CONNECTION_HEADERS
        )
        answer = Answer(
            status,
            self._reason.decode('latin-1'),
            headers,
            b''.join(self._body),
            self._opened_s,
        )
        if self._owns(answer):
            self.answer = answer
            return
        self._foreign += 1
        if self._foreign > MAX_FOREIGN_ANSWERS:
            raise AnswerTooLarge('foreign')

    def _count_interim(self) -> None:
        self._begun -= 1
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise AnswerTooLarge('interim')

    def _take_idle_time(self, text: str) -> None:
        for field in text.split(','):
            name, _, seconds = field.strip().partition('=')
            if name.lower() == 'timeout' and seconds.isdigit():
                self.idle_s = min(IDLE_S, int(seconds) * IDLE_PART)


def _find_cause(error: httptools.HttpParserError) -> ExchangeBroken:
    """Return the typed error for one of the parser, which wraps those of callbacks."""
    cause = error.__context__
    if isinstance(cause, AnswerTooLarge):
        return cause
    return ExchangeBroken(f'{type(error).__name__}: {error}')
