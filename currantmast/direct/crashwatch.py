"""Finds out whether a target crashed when a connection to it broke."""

import gevent

from currantmast.direct.crashes import CrashingRequests, make_fingerprint
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.model import TargetRecord
from currantmast.direct.unanswered import UnansweredRequests
from currantmast.errors import (
    AnswerTooLarge,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
)
from currantmast.runtime.logs import log_event


class CrashWatch:
    """Suspects the requests that were running on a target when it crashed.

    A broken connection may also mean that the target lost an answer. A target that
    accepts no new connection afterwards has crashed, and so has one whose next run is
    listed soon.

    Parameters
    ----------
    crashing : CrashingRequests
        The requests suspected so far.
    unanswered : UnansweredRequests
        Requests without an answer whose targets may have crashed.
    connections : TargetConnections
        Connections to targets.
    """

    __slots__ = ('_connections', '_crashing', '_pending', '_unanswered')

    def __init__(
        self,
        crashing: CrashingRequests,
        unanswered: UnansweredRequests,
        connections: TargetConnections,
    ) -> None:
        self._crashing = crashing
        self._unanswered = unanswered
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
        if not (self._crashing or self._pending or self._unanswered):
            return
        fingerprint = _identify(inbound, team)
        self._crashing.note_answer(fingerprint)
        self._unanswered.note_answer(fingerprint)
        for broken in self._pending.values():
            broken.discard(fingerprint)

    def note_break(
        self,
        inbound: InboundRequest,
        team: str,
        target: TargetRecord,
        error: ExchangeBroken,
    ) -> None:
        """Find out in the background whether a target crashed that gave no answer."""
        if isinstance(error, AnswerTooLarge):
            return
        fingerprint = _identify(inbound, team)
        self._unanswered.note(fingerprint, target)
        if isinstance(error, ProgressTimeout):
            return
        is_checked = target.id in self._pending
        broken = self._pending.setdefault(target.id, set())
        broken.add(fingerprint)
        if not is_checked:
            gevent.spawn(self._check, target)

    def _check(self, target: TargetRecord) -> None:
        try:
            self._connections.try_connect(target.address)
        except NothingSent:
            self._note_crash(target)
        finally:
            self._pending.pop(target.id)

    def _note_crash(self, target: TargetRecord) -> None:
        for fingerprint in self._pending[target.id]:
            # Counted now, so not once more when the next run is listed.
            self._unanswered.forget(fingerprint, target)
            crashes = self._crashing.note_crash(fingerprint, target.id)
            log_event(
                'request_suspected',
                level='WARNING',
                fingerprint=fingerprint,
                target=target.id,
                crashes=crashes,
            )


def _identify(inbound: InboundRequest, team: str) -> str:
    return make_fingerprint(team, inbound.method, inbound.url, inbound.body)
