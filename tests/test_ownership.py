"""Tests of rendezvous hashing: every process must compute the same owners."""

import msgspec
from fleet import make_member

from currantmast.decisions.membership import mark_leaving, remove_member
from currantmast.decisions.ownership import choose_owner, list_owned
from currantmast.messages import FleetRecord

KEYS = tuple(f'key:{number}' for number in range(200))
MEMBERS = tuple(make_member(f'i{n}', region=f'r{n % 3}') for n in range(6))
RECORD = FleetRecord(1, MEMBERS)


def get_owners(record, region=None):
    return {key: choose_owner(record, key, region).id for key in KEYS}


def test_owners_are_the_same_in_all_processes_and_releases():
    # Guards against a hash that is seeded per process or changes between releases:
    # the expected owners are fixed.
    owners = [choose_owner(RECORD, f'team:{name}').id for name in 'abcdef']
    assert owners == ['i5', 'i4', 'i4', 'i3', 'i4', 'i5']


def test_order_and_incarnation_of_members_do_not_matter():
    other = tuple(msgspec.structs.replace(one, incarnation='y') for one in MEMBERS)
    assert get_owners(FleetRecord(2, other[::-1])) == get_owners(RECORD)


def test_removal_moves_only_the_keys_of_the_removed():
    before = get_owners(RECORD)
    after = get_owners(remove_member(RECORD, 'i2'))
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == 'i2'}
    assert 10 < len(moved) < 70


def test_owners_are_of_the_region_and_not_leaving():
    owners = set(get_owners(mark_leaving(RECORD, 'i1'), 'r1').values())
    assert owners == {'i4'}
    assert choose_owner(RECORD, 'key', 'nowhere') is None
    assert choose_owner(FleetRecord(0), 'key') is None


def test_each_key_is_listed_for_one_member():
    owned = [key for one in MEMBERS for key in list_owned(RECORD, one.id, KEYS)]
    assert sorted(owned) == sorted(KEYS)
