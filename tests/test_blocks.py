"""The client block table."""

import random

import pytest

from currantmast.blocks import BlockTable, pack_blocks
from currantmast.deployment import Site
from currantmast.errors import BlocksOverlap, ConfigurationDamaged


def make_site(name, *blocks):
    return Site(id=name, region='north', delay_ms=1, blocks=blocks)


@pytest.fixture
def table():
    return BlockTable.from_sites(
        [
            make_site('hill', '192.0.2.0/25', '10.0.0.0/8', '10.1.0.0/16'),
            make_site('shore', '192.0.2.128/25', '0.0.0.0/32', '255.255.255.255/32'),
        ]
    )


@pytest.mark.parametrize(
    ('address', 'site'),
    [
        ('192.0.2.127', 'hill'),
        ('192.0.2.128', 'shore'),
        ('192.0.3.0', None),
        ('10.255.255.255', 'hill'),
        ('11.0.0.0', None),
        ('0.0.0.0', 'shore'),
        ('0.0.0.1', None),
        ('255.255.255.255', 'shore'),
        ('::1', None),
        ('host', None),
    ],
)
def test_find_at_the_edges_of_blocks(table, address, site):
    assert table.find(address) == site
    assert BlockTable.unpack(table.pack()).find(address) == site


def test_blocks_within_a_block_of_the_same_site_take_no_row(table):
    assert len(table) == 5
    assert table.nbytes == 5 * 7


def test_packed_blocks_give_the_same_table(table):
    hill = make_site('hill', '192.0.2.0/25', '10.0.0.0/8')
    packed = Site('hill', 'north', 1, packed_blocks=pack_blocks(hill))
    assert (
        BlockTable.from_sites([packed]).pack() == BlockTable.from_sites([hill]).pack()
    )


def test_overlap_of_two_sites_is_rejected():
    sites = [make_site('hill', '10.0.0.0/8'), make_site('shore', '10.9.0.0/16')]
    with pytest.raises(BlocksOverlap) as failure:
        BlockTable.from_sites(reversed(sites))
    assert (failure.value.site, failure.value.other_site) == ('hill', 'shore')


def test_table_agrees_with_a_plain_search():
    numbers = random.Random(7)
    starts = numbers.sample(range(1 << 16), 500)
    owners = {start: f'site-{start % 7}' for start in starts}
    sites = [
        make_site(
            f'site-{site}',
            *(f'{s >> 8}.{s & 255}.0.0/16' for s in starts if s % 7 == site),
        )
        for site in range(7)
    ]
    table = BlockTable.from_sites(sites)
    for start in range(0, 1 << 16, 13):
        assert table.find(f'{start >> 8}.{start & 255}.3.4') == owners.get(start)


@pytest.mark.parametrize('cut', [1, 10])
def test_damaged_table_is_rejected(table, cut):
    with pytest.raises(ConfigurationDamaged):
        BlockTable.unpack(table.pack()[:-cut])
