"""The platform as one object, and the start of an instance on it."""

import sys
from pathlib import Path

from currantmast.direct.model import DirectSettings
from currantmast.direct.process import run_direct
from currantmast.platform import wire
from currantmast.platform.boot import find_boot_path, load_boot
from currantmast.platform.documents import configure_places
from currantmast.platform.store import ObjectStore
from currantmast.runtime.logbuffers import LogBuffer
from currantmast.runtime.logs import configure_logs


class PlatformAdapter:
    """Settings, store and spelling of the platform.

    Parameters
    ----------
    path : Path
        The settings file.
    """

    wire = wire

    def __init__(self, path: Path) -> None:
        self._path = path

    def __repr__(self) -> str:
        """Return the path of the settings."""
        return f'<PlatformAdapter {self._path}>'

    def load_settings(self) -> DirectSettings:
        """Return the settings in force.

        Raises
        ------
        SettingsError
            If the file is rejected.
        """
        return load_boot(self._path)

    def open_store(self, settings: DirectSettings) -> ObjectStore:
        """Return the store."""
        configure_places(settings.regions)
        return ObjectStore(settings.store)


def run_platform(boot: str | None = None) -> int:
    """Run an instance on the platform; return its exit code.

    Raises
    ------
    SettingsError
        If the settings are missing or rejected.
    """
    adapter = PlatformAdapter(Path(boot) if boot else find_boot_path())
    settings = adapter.load_settings()
    with LogBuffer(sys.stdout.fileno()) as lines:
        configure_logs(settings.id, stream=lines)
        return run_direct(adapter)
