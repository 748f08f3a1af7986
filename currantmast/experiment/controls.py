"""Control paths of stand-ins and instances."""

from typing import Any, TypeVar

import msgspec

from currantmast.errors import TransportError
from currantmast.exchange import Request, Response, exchange
from currantmast.lookups import HTTP_OK, Pools
from currantmast.messages import Address

CONTROL_TIMEOUT_S = 5

_Kind = TypeVar('_Kind')


class ControlRejected(TransportError):
    """A control path answered with another status than 200."""


class Controls:
    """HTTP access to the control paths of one run."""

    __slots__ = ('_pools',)

    def __init__(self) -> None:
        self._pools = Pools()

    def __repr__(self) -> str:
        """Return the type's name."""
        return '<Controls>'

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()

    def read(self, address: Address, path: str, kind: type[_Kind]) -> _Kind:
        """Return the JSON content of `path` as a `kind`.

        Raises
        ------
        TransportError
            If the other end did not answer with status 200 in time.
        """
        response = self._send(address, Request('GET', path, {}))
        return msgspec.json.decode(response.body, type=kind)

    def change(self, address: Address, path: str, **fields: Any) -> None:
        """Post `fields` as JSON to `path`.

        Raises
        ------
        TransportError
            As for `read`.
        """
        self._send(address, Request('POST', path, {}, msgspec.json.encode(fields)))

    def is_ok(self, address: Address, path: str) -> bool:
        """Return whether `path` answers with status 200."""
        try:
            self._send(address, Request('GET', path, {}))
        except TransportError:
            return False
        return True

    def _send(self, address: Address, request: Request) -> Response:
        pool = self._pools.get(str(address))
        response = exchange(pool, request, CONTROL_TIMEOUT_S)
        if response.status != HTTP_OK:
            text = response.body.decode(errors='replace')
            raise ControlRejected(f'{request.path}: {response.status} {text}')
        return response
