"""Runs an instance on the users' platform as ``python3 -m currantmast.platform``.

The command line has the same command. This entry point leaves out the command line's
libraries, which take a large part of the time and memory of a start.
"""

import sys

from currantmast.errors import SettingsError
from currantmast.platform.adapter import run_platform

EXIT_BAD_INPUT = 2

if __name__ == '__main__':
    try:
        sys.exit(run_platform())
    except SettingsError as error:
        sys.stderr.write(f'SettingsError: {error}\n')
        sys.exit(EXIT_BAD_INPUT)
