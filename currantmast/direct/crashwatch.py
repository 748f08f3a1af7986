"""Finds out whether a target crashed when a connection to it broke."""

import gevent

from currantmast.direct.crashes import CrashingRequests, make_fingerprint
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.model import TargetRecord
from currantmast.errors import (
    AnswerTooLarge,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.runtime.logs import log_event


class CrashWatch:
    """Suspects the requests that were running on a target when it crashed.

    A broken connection may also mean that the target lost an answer. Only a target that
    accepts no new connection afterwards has crashed.

    Parameters
    ----------
    crashing : CrashingRequests
        The requests suspected so far.
    connections : TargetConnections
        Connections to targets.
    """

    __slots__ = ('_connections', '_crashing', '_pending')

    def __init__(
        self, crashing: CrashingRequests, connections: TargetConnections
    ) -> None:
        self._crashing = crashing
        self._connections = connections
        # Fingerprints of the broken requests, by target that is being checked.
        self._pending: dict[str, set[str]] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CrashWatch pending={len(self._pending)}>'

    def is_refused(self, inbound: InboundRequest, team: str) -> bool:
        """Return whether a request of `team` has crashed too many targets."""
        # Without suspects, which is nearly always, no fingerprint is computed.
        return bool(self._crashing) and self._crashing.is_refused(
            _identify(inbound, team)
        )

    def note_answer(self, inbound: InboundRequest, team: str) -> None:
        """Record that a target has answered a request."""
        if not (self._crashing or self._pending):
            return
        fingerprint = _identify(inbound, team)
        self._crashing.note_answer(fingerprint)
        for broken in self._pending.values():
            broken.discard(fingerprint)

    def note_break(
        self,
        inbound: InboundRequest,
        team: str,
        target: TargetRecord,
        error: ExchangeBroken,
    ) -> None:
        """Check a target in the background after its connection broke."""
        if isinstance(error, ProgressTimeout | AnswerTooLarge):
            return
        is_checked = target.id in self._pending
        broken = self._pending.setdefault(target.id, set())
        broken.add(_identify(inbound, team))
        if not is_checked:
            gevent.spawn(self._check, target)

    def _check(self, target: TargetRecord) -> None:
        try:
            self._connections.try_connect(target.address)
        except NothingSent:
            self._note_crash(target.id)
        finally:
            self._pending.pop(target.id)

    def _note_crash(self, target_id: str) -> None:
        for fingerprint in self._pending[target_id]:
            crashes = self._crashing.note_crash(fingerprint, target_id)
            log_event(
                'request_suspected',
                level='WARNING',
                fingerprint=fingerprint,
                target=target_id,
                crashes=crashes,
            )


def _identify(inbound: InboundRequest, team: str) -> str:
    return make_fingerprint(team, inbound.method, inbound.url, inbound.body)
