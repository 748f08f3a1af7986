"""Answers from targets, and a parser that finds the one to a given request."""

from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from currantmast.direct.bodies import Body, append_part, complete_body
from currantmast.direct.inbound import CONNECTION_HEADERS
from currantmast.direct.memory import MemoryBudget
from currantmast.errors import (
    AnswerIncomplete,
    AnswerTooLarge,
    ExchangeBroken,
    StatusInvalid,
)
from currantmast.statuses import FINAL_STATUSES, INTERIM_STATUSES

# Longest time for which an idle connection is kept. If the target announces a keep-alive
# timeout, only this fraction of it is used, since a target may close the connection just
# as a request is sent.
IDLE_TIMEOUT_S = 6.0
KEEP_ALIVE_FRACTION = 0.6
MAX_TIMEOUT_DIGITS = 15

# Limits of one exchange. Overhead is everything outside bodies: heads, trailers, chunk
# framing and empty lines. Interim answers have a 1xx status; foreign ones do not belong to
# the request.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_OVERHEAD_BYTES = 256 * 1024
MAX_HEADERS = 256
MAX_INTERIM_ANSWERS = 16
MAX_FOREIGN_ANSWERS = 16

# Body bytes that all exchanges of a process may buffer at the same time.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024

# Statuses of answers that have no body, whatever their headers say.
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Answer(msgspec.Struct, frozen=True):
    """A complete answer from a target.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Reason phrase.
    headers : tuple of tuple
        Names and values, without connection-level headers.
    body : Body
        Complete body, without transfer coding.
    connect_s : float
        Seconds that opening the connection took; 0 on a reused one.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: Body
    connect_s: float = 0

    def get(self, name: str) -> str | None:
        """Return the value of header `name` (lower case), or None."""
        for known, text in self.headers:
            if known.lower() == name:
                return text
        return None


AnswerMatcher = Callable[[Answer], bool]


class BufferedBytes:
    """Count of the body bytes that all exchanges buffer, up to `MAX_BUFFERED_BYTES`.

    Parameters
    ----------
    budget : MemoryBudget, optional
        Budget of the process, from which they are taken.
    """

    __slots__ = ('budget', 'count')

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.count = 0
        self.budget = budget or MemoryBudget()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<BufferedBytes {self.count}>'

    def add(self, size: int) -> None:
        """Reserve `size` bytes for a part of an answer.

        Raises
        ------
        AnswerTooLarge
            If all exchanges together would buffer more than the limit.
        """
        if self.count + size > MAX_BUFFERED_BYTES:
            raise AnswerTooLarge('memory')
        # The target has run the request, so its answer may use the whole budget.
        if not self.budget.reserve(size, is_small=True):
            raise AnswerTooLarge('memory')
        self.count += size

    def give_back(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self.count -= size
        self.budget.held -= size


class AnswerReader:
    """Parser of the bytes from a target, up to the answer to one request.

    Parameters
    ----------
    matches : callable
        Returns whether an answer belongs to the request.
    connect_s : float
        Seconds that opening the connection took, copied to the answer.
    buffered : BufferedBytes
        Counter that all exchanges share.
    is_head : bool
        Whether the request was a HEAD request, whose answer has no body.
    """

    def __init__(
        self,
        matches: AnswerMatcher,
        connect_s: float,
        buffered: BufferedBytes,
        is_head: bool = False,
    ) -> None:
        self.answer: Answer | None = None
        self.idle_s = IDLE_TIMEOUT_S
        self._matches = matches
        self._connect_s = connect_s
        self._buffered = buffered
        self._is_head = is_head
        self._parser = httptools.HttpResponseParser(self)
        self._started_count = 0
        self._interim_count = 0
        self._foreign_count = 0
        self._not_reusable = False
        # Saved from the parser, which resets it after the end of an answer.
        self._keep_alive = False
        self._reason = b''
        self._headers: list[tuple[str, str]] = []
        self._body: Body = b''
        self._buffered_size = 0
        self._received_bytes = 0
        self._body_received_bytes = 0
        # Parts of bodies that were parsed.
        self.part_count = 0
        self._head_complete = False

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        AnswerTooLarge
            If the exchange exceeds one of its limits.
        StatusInvalid
            If an answer has a status outside the range of answers.
        ExchangeBroken
            If the bytes are not valid HTTP.
        """
        if self.answer is not None:
            self._not_reusable = True
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._not_reusable = True
            if self.answer is None:
                raise _unwrap_error(error) from error
        self._received_bytes += len(received)
        # The framing of small chunks may take several times their size, so the limit
        # grows with the body.
        max_overhead = MAX_OVERHEAD_BYTES + self._body_received_bytes
        if (
            self.answer is None
            and self._received_bytes - self._body_received_bytes > max_overhead
        ):
            raise AnswerTooLarge('overhead')

    def is_within_body(self) -> bool:
        """Return whether the head of the present answer is complete."""
        return self._head_complete

    def release(self) -> None:
        """Drop the buffered body and return its bytes to the shared counter."""
        self._buffered.give_back(self._buffered_size)
        self._buffered_size = 0
        self._body = b''

    def close(self) -> None:
        """Release everything that is buffered, the answer too.

        The parser refers back to the reader, so both would otherwise keep the answer
        until the next collection of cycles.
        """
        self.release()
        self.answer = None
        self._parser = None

    def finish(self) -> None:
        """Handle the end of the connection, which ends an answer without a length.

        Raises
        ------
        AnswerIncomplete
            If the connection ended within the head or within a framed body.
        """
        self._not_reusable = True
        names = {name.lower() for name, _ in self._headers}
        framing_headers = names & {'content-length', 'transfer-encoding'}
        if not self._head_complete or framing_headers or self.answer is not None:
            raise AnswerIncomplete('the connection ended before the answer')
        self.on_message_complete()

    def is_reusable(self) -> bool:
        """Return whether the connection may be reused for another request."""
        return not self._not_reusable and self._started_count == 1 and self._keep_alive

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next answer."""
        self._started_count += 1
        self._reason = b''
        self._headers = []
        self.release()
        self._head_complete = False

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        if len(self._headers) >= MAX_HEADERS:
            raise AnswerTooLarge('headers')
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the status, and read the keep-alive timeout from the headers."""
        self._head_complete = True
        status = self._parser.get_status_code()
        if status not in INTERIM_STATUSES and status not in FINAL_STATUSES:
            raise StatusInvalid(status)
        for name, text in self._headers:
            if name.lower() == 'keep-alive':
                self._read_keep_alive(text)
        if status in BODILESS_STATUSES:
            self._keep_answer(status)
        elif self._is_head and status in FINAL_STATUSES:
            # The parser would wait for the body that the head announces.
            self._not_reusable = True
            self._keep_answer(status)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        size = len(body)
        self.part_count += 1
        self._body_received_bytes += size
        if self.answer is not None:
            return
        answer_size = self._buffered_size + size
        if answer_size > MAX_BODY_BYTES:
            raise AnswerTooLarge('body')
        self._buffered.add(size)
        self._buffered_size = answer_size
        self._body = append_part(self._body, body)

    def on_message_complete(self) -> None:
        """Store the answer if it belongs to the request, and discard it otherwise."""
        self._head_complete = False
        status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if status in INTERIM_STATUSES:
            self._count_interim()
        elif status not in BODILESS_STATUSES:
            self._keep_answer(status)

    def _keep_answer(self, status: int) -> None:
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
            complete_body(self._body),
            self._connect_s,
        )
        if self._matches(answer):
            self.answer = answer
            return
        self._foreign_count += 1
        if self._foreign_count > MAX_FOREIGN_ANSWERS:
            raise AnswerTooLarge('foreign')

    def _count_interim(self) -> None:
        self._started_count -= 1
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS:
            raise AnswerTooLarge('interim')

    def _read_keep_alive(self, text: str) -> None:
        for field in text.split(','):
            name, _, seconds = field.strip().partition('=')
            if name.lower() == 'timeout' and _is_count(seconds):
                self.idle_s = min(IDLE_TIMEOUT_S, int(seconds) * KEEP_ALIVE_FRACTION)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS


def _unwrap_error(error: httptools.HttpParserError) -> ExchangeBroken:
    """Return the error that a callback raised, or a new one for a parser error."""
    cause = error.__context__
    if isinstance(cause, ExchangeBroken):
        return cause
    return ExchangeBroken(f'{type(error).__name__}: {error}')
