"""Run one stand-in: ``python -m currantmast.standins KIND SETTINGS.yaml``."""

import sys
from types import MappingProxyType

from currantmast.standins.objects import run_objects
from currantmast.standins.proxy import run_proxy
from currantmast.standins.targets import run_targets

RUNNERS = MappingProxyType(
    {'objects': run_objects, 'targets': run_targets, 'proxy': run_proxy}
)


def main(kind: str, path: str) -> None:
    """Run the stand-in `kind` with the settings file `path`."""
    RUNNERS[kind](path)


if __name__ == '__main__':
    main(*sys.argv[1:])
