"""The command line of the one binary."""

import sys

import fire


class Commands:
    """Operate a currantmast fleet."""

    def version(self) -> str:
        """Return the version of this binary."""
        return '0.1.0'


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name='currantmast', command=sys.argv[1:])
