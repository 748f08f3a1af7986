"""Publication: races, lost pages and operations that outlive a base."""

import msgspec
import pytest
from samples import BASE, SHIFT, SITES, MemoryStore, alter, make_deployment

from currantmast import pages, publication
from currantmast.blocks import BlockTable
from currantmast.deployment import Configuration, Deployment, Shift, Site
from currantmast.errors import (
    ConfigurationDamaged,
    ConfigurationMissing,
    OperationRejected,
    SettingsError,
    StoreConflict,
    StoreUnavailable,
)
from currantmast.operations import add_drain, issue_key, remove_drain, start_shift
from currantmast.runtime.store import StoredObject


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def published(store):
    publication.publish(store, make_deployment())
    return store


def drain_south(operations):
    return add_drain(operations, 'region:south')


def test_published_configuration_is_read_back(published):
    found = publication.read_configuration(published)
    assert found.version == 1
    assert found.deployment.base == make_deployment().base
    table = BlockTable.from_sites(found.deployment.sites)
    assert table.find('198.51.100.9') == 'shore'
    sent = pages.encode_configuration(found)
    assert pages.decode_configuration(sent) == found


def test_nothing_published_is_a_typed_error(store):
    with pytest.raises(ConfigurationMissing):
        publication.read_configuration(store)
    with pytest.raises(ConfigurationMissing):
        publication.change_operations(store, drain_south)


def test_operations_outlive_a_new_base(published):
    assert publication.change_operations(published, drain_south) == 2
    changed = alter(BASE, ['teams', 0, 'rate'], 60)
    assert publication.publish(published, make_deployment(changed)) == 3
    found = publication.read_configuration(published).deployment
    assert found.operations.drained == ('region:south',)
    assert found.base.teams[0].rate == 60


@pytest.mark.parametrize(
    ('change', 'base', 'sites'),
    [
        (
            lambda ops: add_drain(ops, 'target:127.1.0.1:8080'),
            alter(BASE, ['pools', 0, 'addresses', 0], '127.1.0.9:8080'),
            SITES,
        ),
        (
            lambda ops: issue_key(ops, 'c' * 64, 'schools'),
            alter(BASE, ['teams'], BASE['teams'][:1]),
            SITES,
        ),
        (
            lambda ops: start_shift(ops, Shift(**SHIFT)),
            BASE,
            alter(SITES, [0, 'region'], 'south'),
        ),
    ],
)
def test_base_without_what_an_operation_names_is_rejected(
    published, change, base, sites
):
    publication.change_operations(published, change)
    with pytest.raises(OperationRejected):
        publication.publish(published, make_deployment(base, sites))
    assert publication.read_configuration(published).version == 2


def test_contradictory_deployment_is_not_published(store):
    with pytest.raises(SettingsError, match='links'):
        publication.publish(store, make_deployment(alter(BASE, ['links'], [])))
    assert not store.objects


@pytest.mark.parametrize('name', ['region:west', 'target:127.9.9.9:1', 'team:x', 'x'])
def test_drain_of_an_unknown_part_is_rejected(published, name):
    with pytest.raises(OperationRejected):
        publication.change_operations(published, lambda ops: add_drain(ops, name))
    with pytest.raises(OperationRejected):
        publication.change_operations(published, lambda ops: remove_drain(ops, name))


@pytest.mark.parametrize('loser', [publication.publish, publication.change_operations])
def test_loser_of_a_race_gets_a_conflict_and_changes_nothing(published, loser):
    published.before_put[publication.HEAD] = lambda: publication.change_operations(
        published, drain_south
    )
    argument = make_deployment(alter(BASE, ['teams', 0, 'rate'], 60))
    if loser is publication.change_operations:
        argument = lambda ops: add_drain(ops, 'region:north')  # noqa: E731
    with pytest.raises(StoreConflict) as failure:
        loser(published, argument)
    assert failure.value.current == published.objects[publication.HEAD].version
    found = publication.read_configuration(published)
    assert (found.version, found.deployment.base.teams[0].rate) == (2, 50)
    assert found.deployment.operations.drained == ('region:south',)


def publish_rate(store, rate):
    changed = alter(BASE, ['teams', 0, 'rate'], rate)
    return publication.publish(store, make_deployment(changed))


def count_pages(store):
    return len(store.list(publication.PAGE_PREFIX).entries)


def test_pages_of_older_heads_are_deleted(published):
    for rate in range(100, 110):
        publish_rate(published, rate)
    assert count_pages(published) == 3  # Two bases and the page of sites they share.


def test_late_deletion_leaves_a_page_that_came_back(published, monkeypatch):
    """Guards against a paused publisher that deletes by a version counted anew."""
    publish_rate(published, 60)
    delete = publication._delete_obsolete
    paused = []
    monkeypatch.setattr(publication, '_delete_obsolete', lambda *a: paused.append(a))
    publish_rate(published, 70)
    monkeypatch.setattr(publication, '_delete_obsolete', delete)
    publish_rate(published, 80)
    publication.publish(published, make_deployment())
    delete(*paused[0])
    assert publication.read_configuration(published).deployment.base.teams[0].rate == 50


def test_publication_is_complete_although_cleaning_up_fails(published, monkeypatch):
    publish_rate(published, 60)

    def fail(name, version):
        raise StoreUnavailable(name)

    monkeypatch.setattr(published, 'delete', fail)
    assert publish_rate(published, 70) == 3


def test_altered_or_absent_page_is_damage(published):
    name = next(name for name in published.objects if 'page' in name)
    altered = published.objects[name].body + b'x'
    published.objects[name] = StoredObject(name, 2, altered)
    with pytest.raises(ConfigurationDamaged):
        publication.read_configuration(published)
    del published.objects[name]
    with pytest.raises(ConfigurationDamaged):
        publication.read_configuration(published)


def test_reader_fetches_no_page_again_for_an_operation(published):
    reader = publication.ConfigurationReader(published)
    reader.read()
    publication.change_operations(published, drain_south)
    published.calls.clear()
    assert reader.read().deployment.operations.drained == ('region:south',)
    assert published.calls == [('get', publication.HEAD)]


def test_large_sites_are_cut_into_pages_below_the_limit():
    blocks = [f'{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24' for n in range(200_000)]
    sites = (
        Site('big', 'north', 1, blocks=tuple(blocks)),
        *make_deployment(sites=SITES[:1]).sites,
    )
    deployment = Deployment(make_deployment().base, sites)
    store = MemoryStore()
    publication.publish(store, deployment)
    sizes = [len(stored.body) for stored in store.objects.values()]
    assert max(sizes) <= publication.PAGE_LIMIT_BYTES
    big = publication.read_configuration(store).deployment.sites[0]
    assert len(big.packed_blocks) == 5 * len(blocks)
    table = BlockTable.from_sites([big])
    assert table.find('3.13.63.9') == 'big'


def test_configuration_of_a_peer_that_is_damaged_is_rejected():
    with pytest.raises(ConfigurationDamaged):
        pages.decode_configuration(msgspec.msgpack.encode({'version': 1}))
    sent = pages.encode_configuration(Configuration(1, make_deployment()))
    with pytest.raises(ConfigurationDamaged):
        pages.decode_configuration(sent[:-1])
