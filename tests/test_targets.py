"""Target stand-ins over HTTP."""

from hashlib import sha256

import gevent
import msgspec
import pytest

from currantmast.deployment import ServiceKind
from currantmast.runtime.httpclients import SingleAttemptClient
from currantmast.standins.targets import serve_targets
from currantmast.standins.targetsettings import TargetSettings, TargetsSettings

SECRET = 'secret-key'


@pytest.fixture
def hosted():
    target = TargetSettings('s', slots=2, median_s=0.02, sigma=0, down_s=1)
    digest = sha256(SECRET.encode()).hexdigest()
    settings = TargetsSettings((target, target), key_digests=(digest,))
    with serve_targets(settings) as addresses:
        yield addresses


@pytest.fixture
def target(hosted):
    client = SingleAttemptClient(hosted.targets[0], 5, 10)
    yield client
    client.close()


@pytest.fixture
def control(hosted):
    client = SingleAttemptClient(hosted.control, 5, 2)
    yield client
    client.close()


def call(http, method, path, body=b'', **headers):
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    with http.request(method, path, body, named) as response:
        text = response.read()
    return response.status_code, msgspec.json.decode(text) if text else None


def answers(http):
    try:
        return call(http, 'GET', '/load')[0] == 200
    except ConnectionRefusedError:
        return False


def set_faults(http, **faults):
    assert call(http, 'POST', '/faults', msgspec.json.encode(faults))[0] == 200


def test_upload_and_echo(target, control):
    """Guards against a truncated upload, a mixed-up answer or a key unnoticed."""
    body = bytes(range(256)) * 1000
    status, answer = call(target, 'PUT', '/film?n=1', body, Request_Id='r1', Team='t')
    assert (status, answer['length']) == (200, len(body))
    assert answer['sha256'] == sha256(body).hexdigest()
    assert answer['echo'] == '/film?n=1'
    call(target, 'GET', '/x', Echo='token', Note=f'a {SECRET}')
    call(target, 'GET', '/x', Authorization='other')
    _, (upload, *leaks) = call(control, 'GET', '/executions')
    assert (upload['request_id'], upload['team']) == ('r1', 't')
    assert upload['outcome'] == 'done'
    assert upload['ended_at'] > upload['started_at']
    assert [one['key_seen'] for one in (upload, *leaks)] == [False, True, True]


def test_slots_shed_and_cancellation(target, control):
    """Guards against a target that runs more than its slots."""
    set_faults(target, slow_factor=100)
    long = [
        gevent.spawn(call, target, 'POST', '/', Request_Id=f'r{n}') for n in range(3)
    ]
    gevent.sleep(0.05)
    assert call(target, 'GET', '/load')[1]['running'] == 2
    for number in range(3):
        call(target, 'DELETE', f'/running/r{number}')
    statuses = sorted(one.get(timeout=5)[0] for one in long)
    assert statuses == [409, 409, 503]
    status = call(control, 'GET', '/targets')[1][0]
    assert (status['peak'], status['shed']) == (2, 1)


def test_deadline_fail_fast_and_cold_start():
    """Guards against states of a target that the settings can't produce."""
    cold = TargetSettings('s', ServiceKind.order, sigma=0, cold_requests=1)
    with serve_targets(TargetsSettings((cold,))) as addresses:
        target = SingleAttemptClient(addresses.targets[0], 5, 1)
        assert call(target, 'GET', '/load')[1]['cold']
        # A cold request takes 0.15 s, a warm one 0.03 s.
        assert call(target, 'GET', '/', Deadline_Ms='60')[0] == 504
        assert call(target, 'GET', '/', Deadline_Ms='5000')[0] == 200
        assert not call(target, 'GET', '/load')[1]['cold']
        set_faults(target, fail_fast=True, draining=True)
        assert call(target, 'GET', '/')[0] == 500
        assert call(target, 'GET', '/load')[1]['draining']
        outcomes = [one['outcome'] for one in call(target, 'GET', '/executions')[1]]
        assert outcomes == ['deadline', 'done', 'failed']
        target.close()


def test_load_endpoint_lies_lags_and_stops(target):
    """Guards against a load endpoint that is always right."""
    set_faults(target, slow_factor=100)
    gevent.spawn(call, target, 'GET', '/', Request_Id='r')
    gevent.sleep(0.05)
    for faults, running in (
        ({'load': 'full'}, 2),
        ({'load': 'idle'}, 0),
        ({'load': 'honest', 'load_lag_s': 60}, 0),
        ({'load_lag_s': 0}, 1),
    ):
        set_faults(target, **faults)
        assert call(target, 'GET', '/load')[1]['running'] == running
    set_faults(target, load='stopped')
    with pytest.raises(Exception, match='closed'):
        call(target, 'GET', '/load')


def test_poison_crashes_and_the_target_returns(hosted, target, control):
    """Guards against an answered poison request, or a target that stays down."""
    set_faults(target, slow_factor=100)
    bystander = gevent.spawn(call, target, 'GET', '/innocent')
    gevent.sleep(0.05)
    with pytest.raises(Exception, match=r'closed|reset'):
        call(target, 'GET', '/a/poison')
    bystander.join()
    assert not bystander.successful()
    with pytest.raises(ConnectionRefusedError):
        call(target, 'GET', '/load')
    outcomes = [one['outcome'] for one in call(control, 'GET', '/executions')[1]]
    assert outcomes == ['crashed', 'crashed']
    assert call(control, 'GET', '/targets')[1][0]['crashes'] == 1
    with gevent.Timeout(10):
        while not answers(target):
            gevent.sleep(0.05)
    assert call(target, 'GET', '/load')[1]['running'] == 0


def test_silent_target_answers_nothing(hosted, target, control):
    """Guards against a silent target that still answers or refuses."""
    set_faults(control, silent=True)
    impatient = SingleAttemptClient(hosted.targets[1], 0.1, 1)
    with pytest.raises(TimeoutError):
        call(impatient, 'GET', '/load')
    set_faults(control, silent=False)
    assert call(impatient, 'GET', '/')[0] == 200
    impatient.close()
