"""Object API stand-in as an HTTP service."""

import msgspec
import pytest

from currantmast.errors import SettingsError
from currantmast.runtime.httpclients import SingleAttemptClient
from currantmast.standins.objects import ObjectsSettings, run_objects, serve_objects


@pytest.fixture
def http():
    with serve_objects(ObjectsSettings()) as address:
        client = SingleAttemptClient(address, 5, 2)
        yield client
        client.close()


def exchange(http, method, path, body=b'', **headers):
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    with http.request(method, path, body, named) as response:
        return response.status_code, response.read()


def test_statuses(http):
    """Guards against a stand-in that is more lenient than the object API."""
    path = '/objects/a'
    assert exchange(http, 'GET', path)[0] == 404
    assert exchange(http, 'PUT', path, b'1', If_Version='1')[0] == 409
    assert exchange(http, 'PUT', path, b'1', If_Version='0')[0] == 200
    assert exchange(http, 'PUT', path, b'1')[0] == 409
    assert exchange(http, 'PUT', path, bytes(1_000_001), If_Version='1')[0] == 413
    assert exchange(http, 'DELETE', path, If_Version='1')[0] == 204
    assert exchange(http, 'GET', '/watch?since=9')[0] == 410
    assert exchange(http, 'POST', '/faults', b'{"outrage":true}')[0] == 400
    assert exchange(http, 'POST', path)[0] == 404


def test_history_tells_effect_and_answer(http):
    """Guards against checks that can't tell a lost answer from a refused write."""
    exchange(http, 'POST', '/faults', b'{"lose_answers":1}')
    with pytest.raises(Exception, match='closed'):
        exchange(http, 'PUT', '/objects/a', b'1', If_Version='0', Caller='me')
    exchange(http, 'POST', '/faults', b'{"outage":true}')
    assert exchange(http, 'GET', '/objects/a', Caller='me')[0] == 503
    history = msgspec.json.decode(exchange(http, 'GET', '/history')[1])
    seen = [(call['kind'], call['status'], call['answered']) for call in history]
    assert seen == [('put', 200, False), ('get', 503, True)]
    assert {call['caller'] for call in history} == {'me'}


def test_settings_are_checked(tmp_path):
    """Guards against a misspelt field that is passed over."""
    path = tmp_path / 'objects.yaml'
    path.write_text('adress: {host: 127.0.0.1, port: 0}')
    with pytest.raises(SettingsError, match='adress'):
        run_objects(str(path))
