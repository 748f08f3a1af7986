"""The caller's client must not resend what may run twice, and must not call cut answers whole."""

import json
from collections.abc import Callable

import pytest
from gevent.pywsgi import WSGIServer

from currantmast.client import Client
from currantmast.lookups import LookupFailed
from currantmast.outcomes import Done, NotRun, OutcomeUnknown, Reason


class Instance:
    """One instance that answers as a test says."""

    def __init__(self, work: Callable) -> None:
        self.lookups = 0
        self.requests = []
        self.listed = []
        self._work = work
        self._server = WSGIServer(
            ('127.0.0.1', 0), self._answer, log=None, error_log=None
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self._server.stop(timeout=0)

    def _answer(self, environ, start_response):
        if environ['PATH_INFO'].startswith('/lookup/'):
            self.lookups += 1
            instances = [{'id': name, 'address': name} for name in self.listed]
            start_response('200 OK', [])
            return [json.dumps({'instances': instances, 'lifetime_s': 60}).encode()]
        environ['wsgi.input'].read()
        self.requests.append(environ)
        return self._work(environ, start_response)


def finish(environ, start_response):
    start_response('200 OK', [('Outcome', 'done'), ('Request-Id', 'r1')])
    return [b'answer']


def refuse(reason):
    def work(environ, start_response):
        start_response('503 Refused', [('Outcome', 'not-run')])
        return [json.dumps({'outcome': 'not-run', 'reason': reason}).encode()]

    return work


def cut(environ, start_response):
    headers = [('Outcome', 'done'), ('Content-Length', '99'), ('Connection', 'close')]
    start_response('200 OK', headers)
    return [b'only a part']


@pytest.fixture
def start():
    started = []

    def start_instance(work):
        started.append(Instance(work).__enter__())
        return started[-1]

    yield start_instance
    for instance in started:
        instance.__exit__()


def connect(*instances):
    for instance in instances:
        instance.listed = [other.address for other in instances]
    return Client((instances[0].address,), 'opal.key', attempt_timeout_s=1)


def test_look_up_is_cached_for_its_lifetime(start):
    instance = start(finish)
    with connect(instance) as client:
        outcomes = [client.get('lookup', 'a').outcome for _ in range(3)]
    assert outcomes == [Done(200)] * 3
    assert instance.lookups == 1


def test_key_and_deadline_are_sent(start):
    instance = start(finish)
    with connect(instance) as client:
        client.post('orders', 'a', b'x', request_key='1.a', deadline_s=2)
    sent = instance.requests[0]
    assert sent['HTTP_AUTHORIZATION'] == 'Bearer opal.key'
    assert 0 < int(sent['HTTP_DEADLINE_MS']) <= 2000
    assert sent['HTTP_REQUEST_KEY'] == '1.a'


@pytest.mark.parametrize('method', ('post', 'put'))
def test_request_without_key_is_not_resent_after_a_cut_answer(start, method):
    first, second = start(cut), start(finish)
    with connect(first, second) as client:
        answer = getattr(client, method)('orders', 'a', b'x', deadline_s=3)
    assert isinstance(answer.outcome, OutcomeUnknown)
    assert (len(first.requests), len(second.requests)) == (1, 0)


@pytest.mark.parametrize(
    ('method', 'arguments'),
    (('get', ()), ('post', (b'x', '1.a')), ('put', (b'x', '1.a'))),
)
def test_resendable_request_goes_to_the_next_instance(start, method, arguments):
    first, second = start(cut), start(finish)
    with connect(first, second) as client:
        answer = getattr(client, method)('orders', 'a', *arguments)
    assert answer.outcome == Done(200)
    assert (len(first.requests), len(second.requests)) == (1, 1)


def test_refusal_after_a_broken_try_does_not_claim_not_run(start):
    first, second = start(cut), start(refuse('rate_exceeded'))
    with connect(first, second) as client:
        answer = client.post('orders', 'a', b'x', request_key='1.a')
    assert isinstance(answer.outcome, OutcomeUnknown)


def test_refusal_that_concerns_the_instance_is_tried_elsewhere(start):
    first, second = start(refuse('no_lease')), start(finish)
    with connect(first, second) as client:
        assert client.post('orders', 'a', b'x').outcome == Done(200)


def test_final_refusal_is_returned(start):
    first, second = start(refuse('rate_exceeded')), start(finish)
    with connect(first, second) as client:
        answer = client.get('lookup', 'a')
    assert answer.outcome == NotRun(Reason.rate_exceeded)
    assert not second.requests


def test_unreachable_instance_is_passed_over(start):
    gone, alive = start(finish), start(finish)
    with connect(alive, gone) as client:
        alive.listed = [gone.address, alive.address]
        gone.__exit__()
        assert client.post('orders', 'a', b'x').outcome == Done(200)


def test_answer_without_outcome_is_unknown(start):
    def answer_bare(environ, start_response):
        start_response('200 OK', [])
        return [b'from something else']

    with connect(start(answer_bare)) as client:
        answer = client.post('orders', 'a', b'x')
    assert isinstance(answer.outcome, OutcomeUnknown)


def test_look_up_without_any_instance_fails():
    with (
        Client(('127.0.0.1:1',), 'opal.key') as client,
        pytest.raises(LookupFailed, match='lookup'),
    ):
        client.look_up('lookup')
