"""Property tests of the parsers: arbitrary bytes in arbitrary chunks."""

from hypothesis import given, settings
from hypothesis import strategies as some

from currantmast.clocks import ManualClock
from currantmast.direct.answers import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    AnswerReader,
    BufferedBytes,
)
from currantmast.direct.inbound import (
    InboundRequest,
    RequestReader,
    RequestRejected,
    admit_all,
)
from currantmast.direct.memory import MemoryBudget
from currantmast.direct.model import CallerLimits
from currantmast.errors import ExchangeBroken

PIECES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 102 Processing\r\n\r\n',
    b'GET /x HTTP/1.1\r\n',
    b'POST /x HTTP/1.1\r\n',
    b'Content-Length: 3\r\n',
    b'Content-Length: 99999999999\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Expect: 100-continue\r\n',
    b'Id: 1\r\n',
    b'X: ' + b'y' * 30_000,
    b'X: y\r\n' * 400,
    b'\r\n',
    b'abc',
    b'3\r\nabc\r\n',
    b'0\r\n\r\n',
    b'3;' + b'y' * 70_000,
    b'z' * 300_000,
)
STREAMS = some.lists(some.sampled_from(PIECES) | some.binary(max_size=20), max_size=60)


@settings(max_examples=300, deadline=None)
@given(STREAMS)
def test_any_answer_bytes_stay_within_limits_or_raise_exchange_broken(stream):
    held = BufferedBytes()
    reader = AnswerReader(lambda answer: answer.get('id') == '1', 0, held)
    try:
        for piece in stream:
            reader.feed(piece)
            assert held.count <= min(MAX_BUFFERED_BYTES, MAX_BODY_BYTES)
        reader.finish()
    except ExchangeBroken:
        assert not reader.is_reusable()
    reader.release()
    assert held.count == 0


@settings(max_examples=300, deadline=None)
@given(STREAMS)
def test_any_request_bytes_become_requests_or_one_rejection(stream):
    limits = CallerLimits(body_bytes=400_000)
    budget = MemoryBudget(clock=ManualClock(0))
    reader = RequestReader(
        lambda: limits, budget.clock, admit_all, lambda: budget.open(lambda: None)
    )
    for piece in stream:
        if not reader.feed(piece):
            break
    for found in reader.parsed:
        assert isinstance(found, InboundRequest | RequestRejected)
        if isinstance(found, InboundRequest):
            assert len(found.body) <= limits.body_bytes
            found.release()
    reader.release()
    assert budget.held == 0
    assert not budget.holders
    rejections = [
        found for found in reader.parsed if isinstance(found, RequestRejected)
    ]
    assert len(rejections) <= 1
