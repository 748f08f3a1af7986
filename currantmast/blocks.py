"""Compact table of client blocks: which site an address belongs to.

A row takes 7 bytes: the first address, the prefix length and the number of the site.
Blocks of different sites must not overlap, so that one binary search finds the row.
"""

import ipaddress
import socket
import struct
import sys
from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator

import msgspec

from currantmast.deployment import Site
from currantmast.errors import BlocksOverlap, ConfigurationDamaged

ADDRESS_BITS = 32
BUCKET_BITS = 12  # Rows are sorted in buckets by the first bits of their start.
PREFIX_SHIFT = 16
START_SHIFT = 24
PREFIX_MASK = 0xFF
SITE_MASK = 0xFFFF
BLOCK_ALLOWED = 'an IPv4 block without host bits, for example 192.0.2.0/24'

_ROW = struct.Struct('>IB')
_ADDRESS = struct.Struct('>I')


def _go_on() -> None:
    """Make no pause."""


class PackedTable(msgspec.Struct, frozen=True, array_like=True):
    """Columns of a table, integers in little-endian order."""

    sites: tuple[str, ...]
    starts: bytes
    prefixes: bytes
    owners: bytes


class Rows:
    """Growing columns of a table; rows are added in order of their start."""

    __slots__ = ('sites', 'starts', 'prefixes', 'owners')

    def __init__(self, sites: tuple[str, ...]) -> None:
        self.sites = sites
        self.starts = array('I')
        self.prefixes = array('B')
        self.owners = array('H')

    def add(self, start: int, prefix: int, owner: int) -> None:
        """Add a row, unless the last one of the same site holds it already.

        Raises
        ------
        BlocksOverlap
            If the last row belongs to another site and holds this one.
        """
        if self.starts and self._is_in_last(start):
            if self.owners[-1] != owner:
                raise BlocksOverlap(
                    format_block(self.starts[-1], self.prefixes[-1]),
                    self.sites[self.owners[-1]],
                    format_block(start, prefix),
                    self.sites[owner],
                )
            return
        self.starts.append(start)
        self.prefixes.append(prefix)
        self.owners.append(owner)

    def _is_in_last(self, start: int) -> bool:
        return _holds(self.starts[-1], self.prefixes[-1], start)


class BlockTable:
    """Site by client address.

    Parameters
    ----------
    sites : tuple of str
        Site ids, by the number that rows use.
    starts, prefixes, owners : array
        Columns of equal length, ordered by `starts`: first address of a block as a
        number, prefix length, and number of the site.
    """

    __slots__ = ('_sites', '_starts', '_prefixes', '_owners')

    def __init__(
        self, sites: tuple[str, ...], starts: array, prefixes: array, owners: array
    ) -> None:
        self._sites = sites
        self._starts = starts
        self._prefixes = prefixes
        self._owners = owners

    @classmethod
    def from_sites(
        cls, sites: Iterable[Site], pause: Callable[[], object] = _go_on
    ) -> 'BlockTable':
        """Return the table of the blocks of `sites`.

        Parameters
        ----------
        sites : iterable of Site
            Sites with their blocks, packed or as text.
        pause : callable
            Called after each small step, so that a caller may run other tasks: 2.3
            million blocks take seconds in all.

        Raises
        ------
        BlocksOverlap
            If blocks of different sites overlap.
        ValueError
            If a block is not in CIDR notation.
        """
        known = tuple(sites)
        rows = Rows(tuple(site.id for site in known))
        for bucket in _fill_buckets(known, pause):
            pause()
            for number in sorted(bucket):
                start = number >> START_SHIFT
                prefix = number >> PREFIX_SHIFT & PREFIX_MASK
                rows.add(start, prefix, number & SITE_MASK)
        return cls(rows.sites, rows.starts, rows.prefixes, rows.owners)

    def find(self, address: str) -> str | None:
        """Return the site of `address`.

        Parameters
        ----------
        address : str
            IPv4 number of a caller.

        Returns
        -------
        str or None
            None if no block holds the address, or it is no IPv4 number.
        """
        try:
            number = int(ipaddress.IPv4Address(address))
        except ValueError:
            return None
        row = bisect_right(self._starts, number) - 1
        if row < 0 or not _holds(self._starts[row], self._prefixes[row], number):
            return None
        return self._sites[self._owners[row]]

    def pack(self) -> bytes:
        """Return the table as MessagePack."""
        return msgspec.msgpack.encode(
            PackedTable(
                self._sites,
                _write_column(self._starts),
                _write_column(self._prefixes),
                _write_column(self._owners),
            )
        )

    @classmethod
    def unpack(cls, payload: bytes) -> 'BlockTable':
        """Return the table that `pack` made.

        Raises
        ------
        ConfigurationDamaged
            If `payload` is no table.
        """
        try:
            packed = msgspec.msgpack.decode(payload, type=PackedTable)
        except msgspec.MsgspecError as error:
            raise ConfigurationDamaged(f'client blocks: {error}') from error
        columns = (
            _read_column('I', packed.starts),
            _read_column('B', packed.prefixes),
            _read_column('H', packed.owners),
        )
        if len({len(column) for column in columns}) > 1:
            raise ConfigurationDamaged('client blocks: columns of unequal length')
        return cls(packed.sites, *columns)

    @property
    def nbytes(self) -> int:
        """Size of the columns in bytes."""
        columns = (self._starts, self._prefixes, self._owners)
        return sum(len(column) * column.itemsize for column in columns)

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._starts)

    def __repr__(self) -> str:
        """Return the number of blocks and their size."""
        return f'<BlockTable blocks={len(self)} nbytes={self.nbytes}>'


def parse_block(text: str) -> tuple[int, int]:
    """Return first address and prefix length of a block in CIDR notation.

    Raises
    ------
    ValueError
        If `text` is no IPv4 block, or has bits set beyond its prefix.
    """
    host, _, length = text.partition('/')
    if not (length.isascii() and length.isdigit()) or int(length) > ADDRESS_BITS:
        raise ValueError(BLOCK_ALLOWED)
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(BLOCK_ALLOWED) from error
    start = _ADDRESS.unpack(packed)[0]
    if start & ((1 << (ADDRESS_BITS - int(length))) - 1):
        raise ValueError(BLOCK_ALLOWED)
    return start, int(length)


def format_block(start: int, prefix: int) -> str:
    """Return a block in CIDR notation."""
    return f'{ipaddress.IPv4Address(start)}/{prefix}'


def pack_blocks(site: Site) -> bytes:
    """Return the blocks of `site`, 5 bytes each: address and prefix length."""
    return b''.join(_ROW.pack(*block) for block in list_blocks(site))


def list_blocks(site: Site) -> Iterator[tuple[int, int]]:
    """Return first address and prefix length of each block of `site`."""
    yield from _ROW.iter_unpack(site.packed_blocks)
    for text in site.blocks:
        yield parse_block(text)


def _write_column(column: array) -> bytes:
    copied = array(column.typecode, column)
    if sys.byteorder == 'big':
        copied.byteswap()
    return copied.tobytes()


def _read_column(typecode: str, part: bytes) -> array:
    column = array(typecode)
    if len(part) % column.itemsize:
        raise ConfigurationDamaged('client blocks: a column is cut short')
    column.frombytes(part)
    if sys.byteorder == 'big':
        column.byteswap()
    return column


def _fill_buckets(
    sites: tuple[Site, ...], pause: Callable[[], object]
) -> Iterator[array]:
    # Sorting bucket by bucket keeps the boxed numbers of one bucket in memory only.
    buckets = [array('Q') for _ in range(1 << BUCKET_BITS)]
    for owner, site in enumerate(sites):
        pause()
        for start, prefix in list_blocks(site):
            row = start << START_SHIFT | prefix << PREFIX_SHIFT | owner
            buckets[start >> (ADDRESS_BITS - BUCKET_BITS)].append(row)
    buckets.reverse()
    while buckets:
        yield buckets.pop()


def _holds(start: int, prefix: int, number: int) -> bool:
    shift = ADDRESS_BITS - prefix
    return start >> shift == number >> shift
