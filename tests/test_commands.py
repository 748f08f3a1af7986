"""Operator commands against the object API stand-in and a fake instance."""

import hashlib
import json

import msgspec
import pytest
from gevent.pywsgi import WSGIServer
from samples import BASE, SHIFT, alter, make_deployment, write_deployment

from currantmast.clocks import LoopClock, ManualClock
from currantmast.commands import acceptance, changes, main
from currantmast.commands.acceptance import Acceptance
from currantmast.commands.errors import NotInForce
from currantmast.commands.statuses import Report, Status
from currantmast.messages import Address, FleetRecord, Member
from currantmast.publication import HEAD, change_operations, publish, read_configuration
from currantmast.runtime.fleet import FLEET
from currantmast.runtime.store import ObjectClient
from currantmast.standins.objects import ObjectsSettings, serve_objects


class Instance:
    """Fake instance: answers /status and /explain.

    It reports the stored version, or the version `stuck_at` if that is set.
    """

    def __init__(self, client):
        self.client = client
        self.stuck_at = None
        self.expiring = []
        self.server = WSGIServer(('127.0.0.1', 0), self.answer, log=None)
        self.server.start()
        self.address = Address('127.0.0.1', self.server.server_port)

    def answer(self, environ, start_response):
        start_response('200 OK', [])
        if environ['PATH_INFO'] == '/explain':
            return [json.dumps({'query': environ['QUERY_STRING']}).encode()]
        stored = self.client.get(HEAD)
        version = json.loads(stored.body)['version'] if stored else 0
        if self.stuck_at is not None:
            version = self.stuck_at
        status = Status('north-1', 'run', 7, version, True, expiring=self.expiring)
        return [msgspec.json.encode(status)]


@pytest.fixture
def client():
    with (
        serve_objects(ObjectsSettings()) as address,
        ObjectClient(address, LoopClock(), 1000) as created,
    ):
        created.address = address
        yield created


@pytest.fixture
def instance(client):
    created = Instance(client)
    member = Member(
        'north-1',
        'run',
        'north',
        'n1',
        created.address,
        created.address,
        created.address,
    )
    client.put(FLEET, msgspec.json.encode(FleetRecord(7, (member,))), 0)
    publish(client, make_deployment())
    yield created
    created.server.stop()


@pytest.fixture
def run(client, capsys):
    """Return a function that runs a command: exit code, stdout and stderr."""

    def run_command(*arguments, wait_s=0.5, store=None):
        options = [f'--store={store or client.address}']
        if wait_s is not None:
            options.append(f'--wait_s={wait_s}')
        return run_plain(*arguments, *options, capsys=capsys)

    return run_command


def run_plain(*arguments, capsys):
    try:
        main(arguments)
    except SystemExit as ended:
        code = ended.code or 0
    else:
        code = 0
    written = capsys.readouterr()
    return code, written.out, written.err


def read_operations(client):
    return read_configuration(client).deployment.operations


def test_check_lists_every_contradiction(tmp_path, capsys):
    changed = alter(alter(BASE, ['links'], []), ['teams', 0, 'burst'], 0.5)
    write_deployment(tmp_path, changed)
    code, _, err = run_plain('check', str(tmp_path), capsys=capsys)
    assert code == 2
    assert 'north>south' in err
    assert 'teams[0].burst' in err
    write_deployment(tmp_path)
    code, out, _ = run_plain('check', str(tmp_path), '--json', capsys=capsys)
    assert (code, json.loads(out)['targets']) == (0, 8)


@pytest.mark.parametrize(
    'arguments',
    [
        ['sail'],
        ['shift', 'sail'],
        ['drain', 'region:south'],
        ['publish', '/nowhere', '--store=127.0.0.1:9'],
        ['status', '--store=store:9'],
        ['drain', 'region:south', '--store=127.0.0.1:9', '--wait_s=long'],
    ],
)
def test_bad_input_exits_with_2(arguments, capsys):
    assert run_plain(*arguments, capsys=capsys)[0] == 2


def test_misspelled_option_changes_nothing(run, client, instance):
    """Guards against Fire running a command before it rejects an unknown option."""
    assert run('drain', 'region:south', '--jsn')[0] == 2
    assert read_operations(client).drained == ()


def test_unreachable_store_exits_with_5(run):
    assert run('drain', 'region:south', store='127.0.0.1:9')[0] == 5
    assert run('status', store='127.0.0.1:9', wait_s=None)[0] == 5


def test_nothing_published_exits_with_2(run):
    code, _, err = run('drain', 'region:south')
    assert (code, 'nothing has been published' in err) == (2, True)


def test_publication_waits_until_it_is_in_force(run, tmp_path, instance):
    code, out, err = run('publish', str(write_deployment(tmp_path)), '--json')
    assert (code, json.loads(out)) == (0, {'version': 2, 'members': 1})
    assert 'version 2: stored' in err


def test_publication_without_instances_is_accepted(run, tmp_path):
    code, out, _ = run('publish', str(write_deployment(tmp_path)))
    assert (code, out) == (0, 'version 1: in force on 0 instances\n')


@pytest.mark.parametrize(
    ('fault', 'shown'),
    [
        ({'stuck_at': 1}, 'north-1 (version 1)'),
        ({'expiring': ['south-9']}, 'south-9 (removed, lease may be valid)'),
    ],
)
def test_change_that_is_not_in_force_exits_with_3(run, client, instance, fault, shown):
    for name, value in fault.items():
        setattr(instance, name, value)
    code, _, err = run('drain', 'region:south', wait_s=0)
    assert code == 3
    assert f'stored, not in force on: {shown}' in err
    assert read_operations(client).drained == ('region:south',)


def test_concurrent_change_exits_with_4(run, client, instance, monkeypatch):
    def change_concurrently(store, change):
        change_operations(
            client,
            lambda known: msgspec.structs.replace(known, drained=('region:north',)),
        )
        store.put(HEAD, b'{}', 1)

    monkeypatch.setattr(changes, 'change_operations', change_concurrently)
    code, _, err = run('drain', 'region:south')
    assert (code, 'current version is 2' in err) == (4, True)


def test_drain_and_undrain(run, client, instance):
    assert run('drain', 'target:127.1.0.1:8080')[0] == 0
    assert read_operations(client).drained == ('target:127.1.0.1:8080',)
    assert run('drain', 'target:127.1.0.1:8080')[1].startswith('version 2:')
    assert run('undrain', 'target:127.1.0.1:8080')[0] == 0
    assert run('undrain', 'target:127.1.0.1:8080')[0] == 2
    assert run('drain', 'region:west')[0] == 2


def test_shift_takes_its_source_from_the_site(run, client, instance):
    options = ['--site=hill', '--destination=south', '--fraction=0.5', '--cap_rate=20']
    assert run('shift', 'start', 'move', *options)[0] == 0
    assert msgspec.to_builtins(read_operations(client).shifts[0]) == SHIFT
    assert run('shift', 'watch', 'move')[0] == 0
    assert run('shift', 'start', 'move', *options[:3], '--cap_rate=1')[0] == 2
    assert run('shift', 'start', 'move', *options[:3], '--cap_rate=9999')[0] == 2
    assert run('shift', 'stop', 'move')[0] == 0
    assert run('shift', 'watch', 'move')[0] == 2


def test_issued_key_is_printed_once_and_stored_as_digest(run, client, instance):
    code, out, err = run('key', 'issue', 'schools', '--json')
    issued = json.loads(out.splitlines()[0])
    assert code == 0
    assert hashlib.sha256(issued['key'].encode()).hexdigest() == issued['digest']
    assert (out + err).count(issued['key']) == 1
    assert issued['key'].encode() not in client.get(HEAD).body
    assert read_operations(client).issued_keys == {issued['digest']: 'schools'}
    assert run('key', 'withdraw', issued['digest'])[0] == 0
    assert read_operations(client).withdrawn_keys == (issued['digest'],)


def test_key_given_instead_of_its_digest_is_not_printed(run, instance):
    code, out, err = run('key', 'withdraw', 'open-sesame')
    assert code == 2
    assert 'sesame' not in out + err


def test_unknown_digest_and_team_are_rejected(run, instance):
    assert run('key', 'withdraw', 'e' * 64)[0] == 2
    assert run('key', 'issue', 'nobody')[0] == 2
    assert run('key', 'issue', 'schools', f'--digest={"e" * 64}')[0] == 0


def test_status_lists_members_that_do_not_answer(run, client, instance):
    code, out, _ = run('status', wait_s=None)
    assert code == 0
    assert out.splitlines()[0] == 'stored: version 1, epoch 7'
    assert out.splitlines()[1] == 'drained: -'
    assert out.splitlines()[3].split()[:5] == ['north-1', 'north', '1', '7', 'valid']
    instance.server.stop()
    code, out, _ = run('status', '--json', wait_s=None)
    assert json.loads(out)['instances'][0]['status'] is None


def test_explain_sends_the_request_to_the_instance(instance, capsys):
    options = ['--caller=192.0.2.1', '--team=123', '--service=stock', '--json']
    target = f'--instance={instance.address}'
    code, out, _ = run_plain('explain', target, *options, capsys=capsys)
    assert (code, 'team=123' in json.loads(out)['query']) == (0, True)
    instance.server.stop()
    assert run_plain('explain', target, *options, capsys=capsys)[0] == 5


class FleetRecordStore:
    """Fake store that returns a fleet record for every name."""

    def __init__(self, record):
        self.body = msgspec.json.encode(record)

    def get(self, name):
        return self


def make_report(member_id, incarnation='run', version=5):
    address = Address('127.0.0.1', 1)
    member = Member(member_id, 'run', 'north', 'n1', address, address, address)
    status = Status(member_id, incarnation, 1, version, True) if version else None
    return Report(member, status)


@pytest.mark.parametrize(
    ('report', 'reason'),
    [
        (make_report('a', version=4), 'a (version 4)'),
        (make_report('a', incarnation='other'), 'a (restarted)'),
        (make_report('a', version=0), 'a (no status)'),
    ],
)
def test_acceptance_waits_for_every_member_and_its_current_incarnation(report, reason):
    """Guards against counting an instance that has not confirmed the version."""
    clock = ManualClock()
    rounds = [[report], [report], [make_report('a', version=6)]]
    waiting = Acceptance(
        FleetRecordStore(FleetRecord(1)), clock, lambda _: rounds.pop(0)
    )
    assert waiting.wait(5, wait_s=1) == 1
    assert clock.now() == 2 * acceptance.POLL_S
    waiting = Acceptance(FleetRecordStore(FleetRecord(1)), clock, lambda _: [report])
    with pytest.raises(NotInForce) as failure:
        waiting.wait(5, wait_s=1)
    assert failure.value.unconfirmed == (reason,)
