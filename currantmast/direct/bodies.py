"""Storage of request bodies while they arrive: held once, in blocks of one size."""

from collections.abc import Iterator

# One size for all blocks, so that the memory of a released block serves the next one.
BLOCK_BYTES = 262_144


class StoredBody:
    """A body in blocks; each part is copied into them once, however small it is."""

    __slots__ = ('_blocks', '_size')

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        """Return the size in bytes."""
        return self._size

    def __bytes__(self) -> bytes:
        """Return the body as one copy."""
        return b''.join(self._blocks)

    def __iter__(self) -> Iterator[bytearray]:
        """Return the blocks in order."""
        return iter(self._blocks)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<StoredBody {self._size}>'

    def append(self, part: bytes) -> None:
        """Add a part of at most `BLOCK_BYTES`."""
        self._size += len(part)
        if not self._blocks:
            self._blocks.append(bytearray())
        last = self._blocks[-1]
        room = BLOCK_BYTES - len(last)
        if len(part) <= room:
            last += part
            return
        last += part[:room]
        self._blocks.append(bytearray(part[room:]))


Body = bytes | StoredBody


def append_part(body: Body, part: bytes) -> Body:
    """Return `body` with another part; a body of one part stays as it arrived."""
    if not body:
        return part
    if isinstance(body, bytes):
        stored = StoredBody()
        stored.append(body)
        body = stored
    body.append(part)
    return body


def complete_body(body: Body) -> Body:
    """Return a complete body, as plain bytes unless it is larger than one block."""
    return bytes(body) if len(body) <= BLOCK_BYTES else body


def split_body(body: Body, part_bytes: int) -> Iterator[memoryview]:
    """Return `body` as views of at most `part_bytes`."""
    for block in (body,) if isinstance(body, bytes) else body:
        view = memoryview(block)
        for start in range(0, len(view), part_bytes):
            yield view[start : start + part_bytes]
