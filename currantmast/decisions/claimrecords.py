"""Entries of the claim log, and the answers to a claim."""

import msgspec

from currantmast.errors import CurrantmastError

MAX_RECORDED_BODY_BYTES = 2048


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the one execution.

    Parameters
    ----------
    outcome : str
        ``done`` or ``unknown``.
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        Body, at most 2 KB.
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
        """Return the record of a whole answer."""
        kept = body[:MAX_RECORDED_BODY_BYTES]
        return cls('done', status, content_type, kept, len(kept) < len(body))


class Fresh(msgspec.Struct, frozen=True, tag='fresh'):
    """The claim is in the log: the request may be sent, once."""


class Repeated(msgspec.Struct, frozen=True, tag='repeated'):
    """The request ran before; this is its answer."""

    answer: RecordedAnswer


class InProgress(msgspec.Struct, frozen=True, tag='in-progress'):
    """Another attempt holds the claim; it may be running or have died."""


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
    """An attempt was certainly not sent, and never will be."""

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
    """Operations that were appended to the log at once.

    Parameters
    ----------
    partition, sequence : int
        Place in the log.
    writer : str
        Instance and incarnation of the writer.
    number : int
        Number of the batch at its writer; makes every batch's bytes unique.
    previous : str
        Identity of the batch before this one; empty for the first.
    operations : tuple
        Entries in order.
    """

    partition: int
    sequence: int
    writer: str
    number: int
    previous: str
    operations: tuple[Operation, ...]

    @property
    def identity(self) -> str:
        """Text that no other batch shares."""
        return f'{self.writer}/{self.number}'


class BatchRejected(CurrantmastError):
    """An object of the claim log can't be decoded."""


def name_partition(partition: int) -> str:
    """Return the prefix of a partition's objects."""
    return f'claims/{partition:02}/'
