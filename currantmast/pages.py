"""Pages: a deployment cut into parts that the platform's store takes, and back."""

from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from currantmast.blocks import pack_blocks
from currantmast.deployment import Base, Configuration, Deployment, Site
from currantmast.errors import ConfigurationDamaged

PAGE_LIMIT_BYTES = 900_000  # The store takes a megabyte; the rest is headroom.
FRAGMENT_BYTES = 400_000  # 80,000 packed client blocks.


class Page(msgspec.Struct, frozen=True, omit_defaults=True):
    """Part of a deployment: the base, or fragments of sites.

    Parameters
    ----------
    base : Base or None
        The base, in one page only.
    sites : tuple of Site
        Sites, or fragments of sites to be joined by their ids.
    published : int
        Version of the configuration that first named the page.
    """

    published: int = 0
    base: Base | None = None
    sites: tuple[Site, ...] = ()


_page_encoder = msgspec.msgpack.Encoder(order='deterministic')
_page_decoder = msgspec.msgpack.Decoder(Page)
_configuration_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_page(page: Page) -> bytes:
    """Return `page` as MessagePack; equal pages have equal bytes."""
    return _page_encoder.encode(page)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return `configuration` for transfer to a peer, as MessagePack."""
    return _page_encoder.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration that a peer sent.

    Raises
    ------
    ConfigurationDamaged
        If `payload` is no configuration.
    """
    try:
        return _configuration_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ConfigurationDamaged(f'configuration of a peer: {error}') from error


def list_pages(deployment: Deployment) -> Iterator[Page]:
    """Return the pages of `deployment`, each below the store's limit.

    The first page holds the base. Sites are spread over the others by a hash of
    their id, so that a change of one site alters one page. A site with very many
    blocks is cut into fragments.
    """
    yield Page(base=deployment.base)
    fragments = list(_cut_sites(deployment.sites))
    size = sum(len(encode_page(fragment)) for fragment in fragments)
    # A power of two, so that a small growth does not regroup all sites.
    count = 1 << (2 * size // PAGE_LIMIT_BYTES).bit_length()
    for group in _group_fragments(fragments, count):
        yield from _divide_group(group)


def decode_pages(bodies: Iterable[bytes]) -> Deployment:
    """Return the deployment, without operations, that `bodies` hold.

    Raises
    ------
    ConfigurationDamaged
        If a body is no page, or no page holds the base.
    """
    base = None
    sites: dict[str, list[Site]] = {}
    for body in bodies:
        page = _decode_page(body)
        base = page.base or base
        for fragment in page.sites:
            sites.setdefault(fragment.id, []).append(fragment)
    if base is None:
        raise ConfigurationDamaged('no page holds the base')
    joined = [_join_fragments(sites[name]) for name in sorted(sites)]
    return Deployment(base, tuple(joined))


def _decode_page(body: bytes) -> Page:
    try:
        return _page_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise ConfigurationDamaged(f'page: {error}') from error


def _cut_sites(sites: Iterable[Site]) -> Iterator[Site]:
    for site in sites:
        packed = pack_blocks(site)
        for start in range(0, len(packed) or 1, FRAGMENT_BYTES):
            part = packed[start : start + FRAGMENT_BYTES]
            yield msgspec.structs.replace(site, blocks=(), packed_blocks=part)


def _group_fragments(fragments: Iterable[Site], count: int) -> list[list[Site]]:
    groups: list[list[Site]] = [[] for _ in range(count)]
    for fragment in fragments:
        groups[xxhash.xxh32_intdigest(fragment.id.encode()) % count].append(fragment)
    return groups


def _divide_group(fragments: list[Site]) -> Iterator[Page]:
    page = Page(sites=tuple(fragments))
    if len(encode_page(page)) <= PAGE_LIMIT_BYTES:
        yield page
        return
    middle = len(fragments) // 2
    yield from _divide_group(fragments[:middle])
    yield from _divide_group(fragments[middle:])


def _join_fragments(fragments: list[Site]) -> Site:
    packed = b''.join(part.packed_blocks for part in fragments)
    return msgspec.structs.replace(fragments[0], packed_blocks=packed)
