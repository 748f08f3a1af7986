"""Adapter object that gives direct steering access to the platform."""

import sys
from pathlib import Path

from currantmast.clocks import BootClock
from currantmast.direct.model import DirectSettings
from currantmast.direct.process import run_direct
from currantmast.platform import wire
from currantmast.platform.boot import find_boot_path, load_boot
from currantmast.platform.documents import configure_regions
from currantmast.platform.store import ObjectStore
from currantmast.runtime.logbuffers import LogBuffer
from currantmast.runtime.logs import configure_logs


class PlatformAdapter:
    """Settings, store and message encoding of the platform.

    Parameters
    ----------
    path : Path
        Path of the boot file.
    """

    wire = wire

    def __init__(self, path: Path) -> None:
        self._path = path

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<PlatformAdapter {self._path}>'

    def load_settings(self) -> DirectSettings:
        """Read the boot file and return its settings.

        Raises
        ------
        SettingsError
            If the file is missing or invalid.
        """
        return load_boot(self._path)

    def open_store(self, settings: DirectSettings) -> ObjectStore:
        """Return a client of the store, and configure the decoders of its objects."""
        configure_regions(settings.regions)
        return ObjectStore(settings.store, BootClock())


def run_platform(boot: str | None = None) -> int:
    """Run an instance on the platform and return its exit code.

    Parameters
    ----------
    boot : str or None
        Path of the boot file; by default it is taken from the environment.

    Raises
    ------
    SettingsError
        If the settings are missing or invalid.
    """
    adapter = PlatformAdapter(Path(boot) if boot else find_boot_path())
    settings = adapter.load_settings()
    with LogBuffer(sys.stdout.fileno()) as lines:
        configure_logs(settings.id, stream=lines)
        return run_direct(adapter)
