"""Encoding of requests and answers on the platform."""

import time

import pytest

from currantmast.direct.answers import Answer
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.loads import Load
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


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,0,8', Load(3, 0, 8)),
        ('3, 1, 8, 250', Load(3, 1, 8, 2.5)),
        ('3,1,8,100,7,x', Load(3, 1, 8, 1)),
        ('3,1,8,0', Load(3, 1, 8)),
        ('3,1,8,nan', Load(3, 1, 8)),
        ('3,1', None),
        ('3,-1,8', None),
        ('\u0663,1,8', None),
        ('', None),
    ],
)
def test_load_has_three_fields_or_more(text, load):
    answer = make_answer(200, ('X-Currantmast-Server-Load', text))
    assert wire.decode_answer(answer).load == load


def find_key(cookie):
    head = InboundRequest('GET', '/', [('cookie', cookie)], b'', True, 0)
    return wire.decode_request(head).object_key


@pytest.mark.parametrize(
    ('cookie', 'key'),
    [
        ('X-Currantmast-Affinity-Key=17', '17'),
        ('a=b; X-Currantmast-Affinity-Key=17; c=d', '17'),
        ('a=b;X-Currantmast-Affinity-Key = "1 7"', '1 7'),
        ('X-Currantmast-Affinity-Key=a=b', 'a=b'),
        ('X-Currantmast-Affinity-Key=', ''),
        ('X-Currantmast-Affinity-Key', ''),
        ('Not-X-Currantmast-Affinity-Key=17', ''),
        ('"a=b', ''),
        ('', ''),
    ],
)
def test_object_is_named_by_one_cookie(cookie, key):
    assert find_key(cookie) == key


def test_long_keys_stay_distinct_and_take_little_memory():
    """Guards against callers that fill the memory with the keys of their objects."""
    keys = {
        find_key(f'X-Currantmast-Affinity-Key={"k" * 15_000}{n}') for n in range(50)
    }
    assert len(keys) == 50
    assert max(map(len, keys)) <= wire.MAX_KEY_CHARS


def test_cookie_of_backslashes_takes_no_time():
    """Guards against a head that keeps the loop for the better part of a second."""
    started = time.process_time()
    find_key('a="' + '\\' * 16_000 + '"')
    assert time.process_time() - started < 0.1
