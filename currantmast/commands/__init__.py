"""The command line of the one binary."""

import sys

import fire


class Commands:
    """Operate a currantmast fleet."""

    def version(self) -> str:
        """Return the version of this binary."""
        return '0.1.0'

    def instance(self, settings):
        from currantmast.runtime.process import run_instance
        from currantmast.settings import load_settings

        sys.exit(run_instance(load_settings(settings)))

    def standin(self, kind, settings):
        from currantmast.standins import objects, targets

        {'objects': objects.run_objects, 'targets': targets.run_targets}[kind](settings)

    def publish(self, directory, store):
        from currantmast.clocks import LoopClock
        from currantmast.loading import load_deployment
        from currantmast.messages import Address
        from currantmast.publication import publish
        from currantmast.runtime.store import ObjectClient

        host, port = store.split(':')
        with ObjectClient(Address(host, int(port)), LoopClock()) as client:
            print(publish(client, load_deployment(directory)))


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name='currantmast', command=sys.argv[1:])
