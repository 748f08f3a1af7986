"""Segments of a claim log: where the next batch goes.

An object of the store holds the batches of one segment, and each append replaces it by
a conditional update. A segment that has reached the size limit is never written again;
the next batch creates the segment after it. Both follow from the segment's content
alone, so two owners that know the same content write to the same place under the same
version, and the store takes one of the two.
"""

import msgspec

from currantmast.decisions.claimrecords import (
    BatchRejected,
    ClaimBatch,
    name_partition,
)

# Each append rewrites the segment, half of this on average; a new owner makes one call
# for each segment. At 16 KB an append costs about 8 KB more, and 5,000 orders with short
# answers are read with fewer than 100 calls. With a batch of 200 answers of 2 KB, which
# may be the last one of a segment, the object stays below half a megabyte.
SEGMENT_BYTES = 16_384


class Segment(msgspec.Struct, frozen=True):
    """A segment as the store holds it.

    Parameters
    ----------
    number : int
        Place among the segments of the partition.
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
        Segment as it is once the update has taken effect.
    body : bytes
        Object to write.
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
        """Version that the update replaces; 0 creates the object."""
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
        Size in bytes from which a segment is full.
    """
    place = newest if newest.size < limit else Segment(newest.number + 1)
    batches = (*place.batches, batch)
    body = _encoder.encode(batches)
    segment = Segment(place.number, place.version + 1, batches, len(body))
    return SegmentUpdate(batch, segment, body)


def decode_segment(number: int, version: int, body: bytes) -> Segment:
    """Return the segment that an object holds.

    Raises
    ------
    BatchRejected
        If `body` is no sequence of batches.
    """
    try:
        batches = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise BatchRejected(str(error)) from error
    return Segment(number, version, batches, len(body))


def name_segment(partition: int, number: int) -> str:
    """Return the name of a segment; names sort like numbers."""
    return f'{name_partition(partition)}{number:012}'


def parse_number(name: str) -> int:
    """Return the number of the segment in the object `name`.

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
