"""Checks of the built binary; run by .ci/smoke after `make binary`."""

import os
import subprocess
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / 'dist' / 'currantmast'
READY_S = 30


def run(*arguments, home):
    environment = os.environ | {'HOME': str(home)}
    return subprocess.run(
        [BINARY, *arguments], capture_output=True, text=True, env=environment
    )


def start(*arguments, home):
    output = (home.parent / f'{arguments[0]}.log').open('w')
    return subprocess.Popen(
        [BINARY, *arguments],
        stdout=output,
        stderr=output,
        cwd=home,
        env=os.environ | {'HOME': str(home)},
    )


def wait_for(path, text):
    deadline = time.monotonic() + READY_S
    while text not in path.read_text():
        assert time.monotonic() < deadline, path.read_text()
        time.sleep(0.05)
    return path.read_text()


@pytest.fixture
def home(tmp_path):
    directory = tmp_path / 'home'
    directory.mkdir()
    return directory


def test_exit_codes_tell_bad_input_from_success(home):
    """Guards against scripts that take a failed command for a success."""
    for firm in ('yanagawa', 'glenbrae'):
        assert run('check', str(ROOT / 'deployments' / firm), home=home).returncode == 0
    assert run('no-such-command', home=home).returncode != 0
    assert run('check', str(home), home=home).returncode == 2


def test_instance_starts_no_process_and_writes_no_file(home, tmp_path):
    """Guards against loaders that start a child or need a disk."""
    objects = tmp_path / 'objects.yaml'
    objects.write_text('address: {host: 127.0.0.1, port: 0}\n')
    store = start('standin', 'objects', str(objects), home=home)
    ready = wait_for(tmp_path / 'standin.log', 'ready address=')
    address = ready.split('ready address=')[1].split()[0]
    firm = str(ROOT / 'deployments' / 'yanagawa')
    published = run('publish', firm, f'--store={address}', '--wait_s=0', home=home)
    assert published.returncode in {0, 3}, published.stdout + published.stderr
    settings = tmp_path / 'instance.yaml'
    settings.write_text(
        'id: one\nregion: fukuoka\nfailure_domain: hakata\n'
        'public: 127.0.0.1:0\npeer: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n'
        f'store: {address}\n'
    )
    instance = start('instance', str(settings), home=home)
    wait_for(tmp_path / 'instance.log', 'event=ready')
    tasks = Path(f'/proc/{instance.pid}/task').iterdir()
    children = ''.join((task / 'children').read_text() for task in tasks)
    instance.terminate()
    assert instance.wait(READY_S) == 0, (tmp_path / 'instance.log').read_text()
    store.terminate()
    store.wait(READY_S)
    assert children.strip() == ''
    assert list(home.iterdir()) == []
