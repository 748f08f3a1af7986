"""Look-up answers: order, drains and spread."""

from collections import Counter

import pytest
from samples import make_deployment

from currantmast.deployment import Deployment, Operations
from currantmast.directory import Directory
from currantmast.inventory import Inventory
from currantmast.messages import Address, FleetRecord, Member


def make_member(name, region, domain, leaving=False):
    address = Address('127.0.0.1', 8000)
    return Member(name, 'x', region, domain, address, address, address, leaving)


MEMBERS = (
    make_member('north-1', 'north', 'n1'),
    make_member('north-2', 'north', 'n1'),
    make_member('north-3', 'north', 'n2'),
    make_member('north-4', 'north', 'n2', leaving=True),
    make_member('south-1', 'south', 's1'),
    make_member('south-2', 'south', 's2'),
    make_member('west-1', 'west', 'w1'),
)


def make_directory(*drained, members=MEMBERS):
    plain = make_deployment()
    operations = Operations(drained=drained)
    deployment = Deployment(plain.base, plain.sites, operations)
    return Directory(FleetRecord(1, members), Inventory(deployment))


def list_ids(directory, home='north', caller='192.0.2.9'):
    return [entry.id for entry in directory.find(caller, home).instances]


def test_home_comes_first_then_regions_by_delay_and_leaving_members_never():
    found = list_ids(make_directory())
    assert set(found[:3]) == {'north-1', 'north-2', 'north-3'}
    assert set(found[3:5]) == {'south-1', 'south-2'}
    assert found[5:] == ['west-1']


def test_second_choice_is_in_another_failure_domain():
    domains = {member.id: member.failure_domain for member in MEMBERS}
    directory = make_directory()
    for number in range(50):
        first, second, *_ = list_ids(directory, caller=f'192.0.2.{number}')
        assert domains[first] != domains[second]


@pytest.mark.parametrize('drain', ['region:north', 'instance:north-2'])
def test_drained_instances_are_not_named(drain):
    found = list_ids(make_directory(drain))
    assert 'north-2' not in found
    assert ('north-1' in found) is (drain == 'instance:north-2')


def test_drained_instances_are_named_when_there_is_no_other():
    directory = make_directory('region:north', members=MEMBERS[:3])
    assert len(list_ids(directory)) == 3
    assert list_ids(make_directory(members=())) == []


def test_callers_are_spread_and_keep_their_order():
    directory = make_directory()
    callers = [f'10.{n >> 8}.{n & 255}.7' for n in range(3000)]
    firsts = Counter(list_ids(directory, caller=caller)[0] for caller in callers)
    assert min(firsts.values()) > 800
    assert list_ids(directory, caller=callers[5]) == list_ids(
        make_directory(), caller=callers[5]
    )


def test_loss_of_an_instance_moves_only_its_callers():
    before = make_directory()
    after = make_directory(members=MEMBERS[1:])
    for number in range(200):
        caller = f'192.0.2.{number}'
        if list_ids(before, caller=caller)[0] != 'north-1':
            assert (
                list_ids(after, caller=caller)[0] == list_ids(before, caller=caller)[0]
            )


def test_lifetime_is_the_one_of_the_deployment():
    assert make_directory().find('192.0.2.9', 'north').lifetime_s == 5
