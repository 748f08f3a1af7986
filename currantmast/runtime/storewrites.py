"""Conditional writes whose lost answers are resolved by reading back."""

from currantmast.errors import (
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from currantmast.runtime.storecalls import (
    ABSENT_STATUS,
    Answer,
    AnswerLost,
    Call,
    StoreChannel,
)

READ_BACKS = 3
CONFLICT_STATUS = 409
WRITTEN_STATUSES = frozenset((200, 204))


class ConditionalWrite:
    """One put or delete of an object.

    While the object still has the version that the write expects, a write whose
    answer was lost is sent again: it is conditional, so at most one of the copies
    takes effect.

    Parameters
    ----------
    channel : StoreChannel
        Connections to the object API.
    name : str
        Name of the object.
    call : Call
        The write.
    """

    __slots__ = ('_call', '_channel', '_name')

    def __init__(self, channel: StoreChannel, name: str, call: Call) -> None:
        self._channel = channel
        self._name = name
        self._call = call

    def __repr__(self) -> str:
        """Return the kind and the name."""
        return f'<ConditionalWrite {self._call.kind} {self._name}>'

    def run(self) -> int:
        """Perform the write and return the version written; 0 for a delete.

        Raises
        ------
        StoreConflict
            If another writer's version is in force.
        StoreUnavailable
            If the store refused the write; it had no effect.
        StoreOutcomeUnknown
            If the write may have taken effect.
        """
        try:
            return self._send()
        except AnswerLost:
            return self._resolve()

    def _send(self) -> int:
        answer = self._channel.exchange(self._call)
        if answer.status in WRITTEN_STATUSES:
            return answer.version
        if answer.status == CONFLICT_STATUS:
            raise StoreConflict(self._name, answer.version)
        raise StoreUnavailable(f'{self._name}: the store answered {answer.status}')

    def _resolve(self) -> int:
        for attempt in range(READ_BACKS):
            stored = self._read_back()
            if stored.version != self._call.if_version:
                return self._judge(stored)
            if attempt < READ_BACKS - 1:
                self._repeat()
        raise self._make_unknown('no answer to the write')

    def _repeat(self) -> None:
        """Send the write again; the next read back tells what became of it."""
        self._channel.budget.force(self._call.kind)
        try:
            self._send()
        except StoreError:
            return

    def _read_back(self) -> Answer:
        self._channel.budget.force('get')
        try:
            return self._channel.read(Call('get', 'GET', self._call.path))
        except StoreError as failure:
            raise self._make_unknown(str(failure)) from failure

    def _judge(self, stored: Answer) -> int:
        """Return the version written, judged by the object read back."""
        absent = stored.status == ABSENT_STATUS
        if self._call.kind == 'delete':
            if absent:
                return 0
            raise StoreConflict(self._name, stored.version)
        if absent or stored.version != self._call.if_version + 1:
            raise self._make_unknown('changed again after the write was sent')
        if stored.body != self._call.body:
            raise StoreConflict(self._name, stored.version)
        return stored.version

    def _make_unknown(self, detail: str) -> StoreOutcomeUnknown:
        return StoreOutcomeUnknown(f'{self._name}: {self._call.kind}: {detail}')
