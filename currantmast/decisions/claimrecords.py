"""Operations in a claim log, and the possible results of a claim."""

import msgspec

from currantmast.errors import CurrantmastError

MAX_RECORDED_BODY_BYTES = 2048


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a request's only execution, as the log keeps it for resends.

    Parameters
    ----------
    outcome : str
        ``done``, or ``unknown`` if it may or may not have run.
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        The first `MAX_RECORDED_BODY_BYTES` of the body.
    truncated : bool
        Whether the body was longer.
    """

    outcome: str
    status: int
    content_type: str = ''
    body: bytes = b''
    truncated: bool = False

    @classmethod
    def make_done(cls, status: int, content_type: str, body: bytes) -> 'RecordedAnswer':
        """Return the record of a complete answer, with its body cut to the limit."""
        kept = body[:MAX_RECORDED_BODY_BYTES]
        return cls('done', status, content_type, kept, len(kept) < len(body))


class Fresh(msgspec.Struct, frozen=True, tag='fresh'):
    """The attempt holds the claim: it may send the request once."""


class Repeated(msgspec.Struct, frozen=True, tag='repeated'):
    """The request was executed before, with this answer."""

    answer: RecordedAnswer


class InProgress(msgspec.Struct, frozen=True, tag='in-progress'):
    """Another attempt holds the claim and has recorded no answer; it may have failed."""


class Unavailable(msgspec.Struct, frozen=True, tag='unavailable'):
    """The claim could not be decided; the request must not be sent."""

    detail: str


class Claimed(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """An attempt claims a key.

    Parameters
    ----------
    digest : bytes
        Digest of the claim key.
    attempt : str
        Token of one attempt to run the request, never used twice.
    issued_at : int
        Unix seconds in the request key.
    """

    digest: bytes
    attempt: str
    issued_at: int


class Released(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """An attempt is given up: it was certainly not sent and never will be."""

    digest: bytes
    attempt: str
    issued_at: int


class Answered(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """An attempt ended with an answer."""

    digest: bytes
    attempt: str
    issued_at: int
    answer: RecordedAnswer


Operation = Claimed | Released | Answered


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """Operations that are appended to the log by one write.

    Parameters
    ----------
    partition : int
        Number of the partition.
    sequence : int
        Position in the partition's log.
    writer : str
        Text unique to one `ClaimLog`: instance, incarnation and task number.
    number : int
        Number of the batch among those of its writer; makes each batch's bytes unique.
    previous : str
        Identity of the batch before this one; empty for the first.
    operations : tuple
        Operations in order.
    """

    partition: int
    sequence: int
    writer: str
    number: int
    previous: str
    operations: tuple[Operation, ...]

    @property
    def identity(self) -> str:
        """Text that identifies the batch; no two batches have the same."""
        return f'{self.writer}/{self.number}'


class BatchRejected(CurrantmastError):
    """An object in the store is no valid segment of a claim log."""


def name_partition_prefix(partition: int) -> str:
    """Return the prefix of the object names of a partition's segments."""
    return f'claims/{partition:02}/'
