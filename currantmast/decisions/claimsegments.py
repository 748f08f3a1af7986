"""Segments of a claim log, and the update that appends a batch.

Each segment is one object in the store, and each append replaces it by a conditional
update. A segment that has reached the size limit is never written again; the next batch
creates the segment after it. Both follow from the segment's content alone. Two owners that
know the same content therefore write the same segment under the same version, and the
store accepts one of the two updates.
"""

import msgspec

from currantmast.decisions.claimrecords import (
    BatchRejected,
    ClaimBatch,
    name_partition_prefix,
)

# Each append rewrites the segment, which holds half of this on average, and a new owner
# reads the log with one call per segment. At 16 KB an append writes about 8 KB more than
# its batch, and a log of 5,000 orders with short answers is read in fewer than 100 calls.
# Even if the last batch of a segment has 200 answers of 2 KB, the object stays below half
# a megabyte.
SEGMENT_BYTES = 16_384


class Segment(msgspec.Struct, frozen=True):
    """A segment, that is, one object of the store with consecutive batches.

    Parameters
    ----------
    number : int
        Position among the segments of the partition.
    version : int
        Version of the object; 0 if it does not exist yet.
    batches : tuple of ClaimBatch
        Batches in order.
    size : int
        Length of the object in bytes.
    """

    number: int = 0
    version: int = 0
    batches: tuple[ClaimBatch, ...] = ()
    size: int = 0


class SegmentUpdate(msgspec.Struct, frozen=True):
    """A conditional update that appends one batch.

    Parameters
    ----------
    batch : ClaimBatch
        Batch to append.
    segment : Segment
        Segment after the update.
    body : bytes
        Content of the object to write.
    """

    batch: ClaimBatch
    segment: Segment
    body: bytes

    @property
    def name(self) -> str:
        """Name of the object."""
        return name_segment(self.batch.partition, self.segment.number)

    @property
    def if_version(self) -> int:
        """Version that the update replaces; 0 if it creates the object."""
        return self.segment.version - 1


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ClaimBatch, ...])


def plan_update(newest: Segment, batch: ClaimBatch, limit: int) -> SegmentUpdate:
    """Return the update that appends `batch` to a log that ends with `newest`.

    Parameters
    ----------
    newest : Segment
        Newest segment, as read or written last.
    batch : ClaimBatch
        Batch to append.
    limit : int
        Size in bytes at which a segment is full.
    """
    base = newest if newest.size < limit else Segment(newest.number + 1)
    batches = (*base.batches, batch)
    body = _encoder.encode(batches)
    segment = Segment(base.number, base.version + 1, batches, len(body))
    return SegmentUpdate(batch, segment, body)


def decode_segment(number: int, version: int, body: bytes) -> Segment:
    """Return the segment that an object holds.

    Raises
    ------
    BatchRejected
        If `body` is not an encoded sequence of batches.
    """
    try:
        batches = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise BatchRejected(str(error)) from error
    return Segment(number, version, batches, len(body))


def name_segment(partition: int, number: int) -> str:
    """Return the name of a segment's object; names sort in the order of numbers."""
    return f'{name_partition_prefix(partition)}{number:012}'


def parse_segment_number(name: str) -> int:
    """Return the number of the segment whose object is `name`.

    Raises
    ------
    BatchRejected
        If `name` is not the name of a segment.
    """
    text = name.rpartition('/')[2]
    try:
        return int(text)
    except ValueError as error:
        raise BatchRejected(f'{name} is not the name of a segment') from error
