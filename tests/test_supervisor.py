"""Supervisor tree, loop watchdog, log lines and metrics."""

import io
import time

import gevent
import pytest

from currantmast.clocks import LoopClock, ManualClock
from currantmast.credentials import CallerKey
from currantmast.errors import TaskFailed
from currantmast.messages import Address
from currantmast.runtime.logs import configure_logs, log_event
from currantmast.runtime.metrics import Metrics
from currantmast.runtime.supervisor import Supervisor, check_backend, watch_loop


@pytest.fixture
def lines():
    stream = io.StringIO()
    configure_logs('i1', stream)
    yield stream
    configure_logs('-')


def make_failing(attempts, failures, finish=lambda: None):
    def run():
        attempts.append(1)
        if len(attempts) <= failures:
            raise ValueError('broken')
        finish()

    return run


def test_failed_task_is_restarted_with_backoff(lines):
    """Guards against a task that stays dead, or is restarted without a pause."""
    clock, attempts = ManualClock(), []
    with Supervisor('root', clock) as supervisor:
        supervisor.add('task', make_failing(attempts, 4, supervisor.stop))
        supervisor.wait(5)
    assert len(attempts) == 5
    assert clock.now() == pytest.approx(0.1 + 0.2 + 0.4 + 0.8)
    assert lines.getvalue().count('event=task_failed task=root/task') == 4
    # Names the place, so that one cause can be told from another.
    assert lines.getvalue().count(' at=test_supervisor.py:') == 4


def test_child_failure_reaches_the_root(lines):
    """Guards against a branch of the tree that fails unnoticed."""
    clock, attempts = ManualClock(), []

    def run_child():
        with Supervisor('child', clock) as child:
            child.add('task', make_failing(attempts, 1000))
            child.wait()

    with Supervisor('root', clock) as root, pytest.raises(TaskFailed) as failed:
        root.add('child', run_child)
        root.wait(5)
    assert failed.value.name == 'root/child'
    assert isinstance(failed.value.reason, TaskFailed)
    assert len(attempts) == 25


def test_tasks_end_with_their_context():
    """Guards against tasks that outlive their supervisor, and lost clean-up."""
    ended = []

    def run():
        try:
            gevent.sleep(60)
        finally:
            ended.append(1)

    with Supervisor('root', LoopClock()) as supervisor:
        supervisor.add('task', run)
        supervisor.wait(0.01)
    assert ended == [1]


def test_blocked_loop_is_logged(lines):
    """Guards against a blocking call that stops the loop unnoticed."""
    check_backend()
    with Supervisor('root', LoopClock()) as supervisor:
        supervisor.add('watchdog', lambda: watch_loop(LoopClock()))
        gevent.sleep(0.01)
        time.sleep(0.4)
        gevent.sleep(0.1)
    assert 'event=loop_blocked' in lines.getvalue()


def test_log_line_is_quoted(lines):
    """Guards against values that break a line into fields of their own."""
    log_event('routed', team='a b', why='x=1\nevent=forged', load=0.5, next=None)
    (line,) = lines.getvalue().splitlines()
    assert ' instance=i1 event=routed team="a b" ' in line
    assert line.endswith(r'why="x=1\nevent=forged" load=0.5 next=-')


@pytest.mark.parametrize(
    ('fields', 'written'),
    [
        ({'who': CallerKey('secret')}, 'who=[redacted]'),
        ({'Authorization': 'x secret'}, 'Authorization=[redacted]'),
        ({'header': 'Bearer secret'}, 'header="Bearer [redacted]"'),
        ({'header': 'Bearer  a\nsecret'}, 'header="Bearer  [redacted]"'),
        ({'headers': {'Authorization': 'secret'}}, 'headers=[redacted]'),
        (
            {'error': ValueError('Authorization: bearer secret')},
            'error="ValueError: Authorization: bearer [redacted]"',
        ),
    ],
)
def test_secrets_reach_no_line(lines, fields, written):
    """Guards against a caller's key in a log line."""
    log_event('request', **fields)
    (line,) = lines.getvalue().splitlines()
    assert line.endswith(f' event=request {written}')
    assert 'secret' not in line


class SilentError(Exception):
    def __str__(self):
        raise RuntimeError('no text')


@pytest.mark.parametrize(
    'content',
    [
        'standard bearer desk',
        'half a pair \ud83d',
        'null \x00 and \x7f',
        10**5000,
        float('nan'),
        SilentError(),
        object(),
    ],
    ids=['credential', 'half a pair', 'control', 'number', 'nan', 'error', 'object'],
)
def test_no_logged_value_ends_the_task_that_logs_it(lines, content):
    """Guards against log code that raises because of a text that others chose."""
    log_event('listed', service=content, zone='fife')
    (line,) = lines.getvalue().splitlines()
    assert ' event=listed service=' in line
    assert line.endswith(' zone=fife')
    line.encode('ascii')


def test_closed_output_ends_no_task():
    """Guards against log code that raises because nobody reads its lines."""
    stream = io.StringIO()
    stream.close()
    configure_logs('i1', stream)
    try:
        log_event('listed', service='desk')
    finally:
        configure_logs('-')


def test_long_texts_are_cut(lines):
    """Guards against a buffer of lines that callers fill with megabytes."""
    log_event('request_ended', request='r' * 16_000, thing='t' * 16_000)
    assert len(lines.getvalue()) < 2500


def test_caller_key_is_only_a_digest():
    """Guards against a key that is readable where its digest was meant."""
    key = CallerKey.parse('Bearer  secret ')
    assert len(key.digest) == 64
    assert 'secret' not in f'{key} {key!r}'
    assert CallerKey.parse('Basic x') is None
    assert CallerKey.parse('Bearer ') is None


def test_metrics_without_a_listener():
    """Guards against an absent statsd server that fails or blocks its caller."""
    for address in (None, Address('127.0.0.1', 9)):
        with Metrics(address, 'currantmast.i1') as metrics:
            for _ in range(1000):
                metrics.count('requests:done\n')
                metrics.gauge('größe', -1)
                metrics.time('hop', 0.1)
        metrics.count('late')
