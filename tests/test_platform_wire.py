"""Encoding of requests and answers on the platform."""

from currantmast.direct.answers import Answer
from currantmast.platform import wire

ECHO = ('X-Currantmast-Request-Id', 'q1')
STAMP = ('X-Currantmast-Server-Stamp', 'a.b')
NEW_CONNECTION_S = 0.001


def make_answer(status, *headers, connect_s=0.0):
    return Answer(status, '', headers, b'', connect_s)


def test_answer_with_another_id_is_never_accepted():
    other = ('X-Currantmast-Request-Id', 'q0')
    assert wire.matches_request('q1', make_answer(200, ECHO, STAMP))
    assert not wire.matches_request('q1', make_answer(200, other, STAMP))


def test_refusal_without_an_id_counts_only_on_a_new_connection():
    """Guards against a late copy of a refusal that is taken for the next request's own.

    The next request would be sent again elsewhere, although its target runs it.
    """
    refusal = ('X-Currantmast-Not-Executed', 'full')
    late = make_answer(503, refusal)
    own = make_answer(503, refusal, connect_s=NEW_CONNECTION_S)
    assert not wire.matches_request('q1', late)
    assert wire.matches_request('q1', own)
    assert wire.matches_request('q1', make_answer(503, refusal, ECHO))
