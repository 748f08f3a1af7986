"""What an instance on the platform loads when it starts."""

import json
import subprocess
import sys

import pytest

import currantmast

# Libraries and modules that only other programs of this package use, or that an instance
# needs later.
UNUSED = (
    'asyncio',
    'currantmast.client',
    'currantmast.commands',
    'currantmast.deployment',
    'currantmast.experiment',
    'currantmast.steering',
    'fire',
    'geventhttpclient',
    'http.server',
    'loguru',
    'prometheus_client',
    'yaml',
)
LIST_MODULES = """
import json, sys
import currantmast.platform.adapter
print(json.dumps(sorted(sys.modules)))
"""


def test_start_loads_no_library_of_other_programs():
    """Guards against starts that take long on a small machine, and their memory.

    All instances of a failure domain may start at the same time on a fraction of a core.
    """
    shown = subprocess.run(
        [sys.executable, '-c', LIST_MODULES], capture_output=True, check=True
    )
    assert not set(json.loads(shown.stdout)) & set(UNUSED)


def test_public_names_are_found_when_they_are_used():
    for name in currantmast.__all__:
        assert getattr(currantmast, name) is not None
    with pytest.raises(AttributeError):
        _ = currantmast.nothing_of_that_name


def test_program_without_settings_exits_with_the_code_for_bad_input():
    ended = subprocess.run(
        [sys.executable, '-m', 'currantmast.platform'],
        capture_output=True,
        env={},
        check=False,
    )
    assert ended.returncode == 2
    assert b'SettingsError' in ended.stderr
