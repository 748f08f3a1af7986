"""Strict loading of a deployment from its directory."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from currantmast.blocks import parse_block
from currantmast.deployment import Base, Deployment, Site
from currantmast.documents import ROOT_FIELD, convert_document, read_document
from currantmast.errors import SettingsError
from currantmast.fields import ADDRESS_ALLOWED, parse_address

BASE_FILE = 'base.yaml'
OVERLAYS_DIRECTORY = 'overlays'
OVERLAY_SUFFIX = '.yaml'


def load_deployment(path: str | Path) -> Deployment:
    """Return the deployment in a directory.

    Parameters
    ----------
    path : str or Path
        Directory with ``base.yaml`` and ``overlays/<site>.yaml``.

    Raises
    ------
    SettingsError
        At the first field that is unknown, missing, repeated or outside its limits.
    """
    directory = Path(path)
    base = load_base(directory / BASE_FILE)
    overlays = list_overlays(directory)
    return Deployment(base, tuple(load_site(overlay) for overlay in overlays))


def list_overlays(directory: Path) -> list[Path]:
    """Return the overlay files of a deployment, ordered by site.

    Raises
    ------
    SettingsError
        If there is no overlay, or a file of another kind among them.
    """
    overlays = sorted((directory / OVERLAYS_DIRECTORY).glob('*'))
    for overlay in overlays:
        if overlay.suffix != OVERLAY_SUFFIX:
            allowed = 'files named <site>.yaml'
            raise SettingsError(str(overlay), ROOT_FIELD, overlay.name, allowed)
    if not overlays:
        place = str(directory / OVERLAYS_DIRECTORY)
        raise SettingsError(place, ROOT_FIELD, 'no file', 'at least one <site>.yaml')
    return overlays


def load_base(path: Path) -> Base:
    """Return the base in the file at `path`.

    Raises
    ------
    SettingsError
        As for `load_deployment`.
    """
    base = convert_document(path, read_document(path), Base)
    _check_unique(path, 'regions', base.regions)
    _check_unique(path, 'services', base.services)
    _check_unique(path, 'teams', base.teams)
    for index, pool in enumerate(base.pools):
        _check_addresses(path, f'pools[{index}].addresses', pool.addresses)
    return base


def load_site(path: Path) -> Site:
    """Return the site in the overlay at `path`.

    Raises
    ------
    SettingsError
        As for `load_deployment`, or if the file is not named after the site.
    """
    site = convert_document(path, read_document(path), Site)
    if site.packed_blocks:
        raise SettingsError(str(path), 'packed_blocks', '...', 'blocks in its place')
    if site.id != path.stem:
        raise SettingsError(str(path), 'id', site.id, f'{path.stem}, as the file name')
    _check_blocks(path, site.blocks)
    return site


def _check_unique(path: Path, field: str, sections: Sequence) -> None:
    known = set()
    for index, section in enumerate(sections):
        if section.id in known:
            place = f'{field}[{index}].id'
            raise SettingsError(str(path), place, section.id, 'an id used only once')
        known.add(section.id)


def _check_addresses(path: Path, field: str, addresses: Iterable[str]) -> None:
    for index, address in enumerate(addresses):
        try:
            parse_address(address)
        except ValueError as error:
            place = f'{field}[{index}]'
            raise SettingsError(str(path), place, address, ADDRESS_ALLOWED) from error


def _check_blocks(path: Path, blocks: Iterable[str]) -> None:
    for index, block in enumerate(blocks):
        try:
            parse_block(block)
        except ValueError as error:
            place = f'blocks[{index}]'
            raise SettingsError(str(path), place, block, str(error)) from error
