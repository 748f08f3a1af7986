"""One HTTP exchange with an instance, sent at most once.

geventhttpclient resends idempotent methods, PUT among them, when a connection breaks after the
request was sent. An upload must not be sent twice unasked, so `SingleSendClient` sends each
request once and reports whether bytes may have left.
"""

import msgspec
from gevent import Timeout, socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
    StatusInvalid,
    TransportError,
)
from currantmast.statuses import FINAL_STATUSES
from currantmast.writers import RequestWriter

BLOCK_BYTES = 65_536


class Request(msgspec.Struct, frozen=True):
    """One request as it is sent.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    headers : dict
        Header values by name.
    body : bytes
        Whole body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b''


class Response(msgspec.Struct, frozen=True):
    """One complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class SingleSendClient(HTTPClient):
    """Connection pool of one address that never resends a request."""

    def send_once(self, request: Request) -> HTTPSocketPoolResponse:
        """Send `request` and return its response with the headers read.

        Raises
        ------
        NothingSent
            If no connection could be opened.
        ExchangeBroken
            If the connection broke after bytes may have left.
        """
        connection = self._open_connection()
        head = self._build_request(
            request.method,
            request.path,
            body=request.body,
            headers=request.headers,
        )
        writer = RequestWriter(connection, (head.encode('latin-1') + request.body,))
        writer.start()
        return _WatchedResponse(
            connection, self._connection_pool, writer, request.method
        )

    def _open_connection(self) -> socket.socket:
        try:
            return self._connection_pool.get_socket()
        except (OSError, RuntimeError) as error:
            raise NothingSent(f'{self.host}:{self.port}: {error}') from error


class _WatchedResponse(HTTPSocketPoolResponse):
    """Response that is read while its request is still written."""

    def __init__(
        self,
        connection: socket.socket,
        pool: ConnectionPool,
        writer: RequestWriter,
        method: str,
    ) -> None:
        self._writer = writer
        super().__init__(connection, pool, block_size=BLOCK_BYTES, method=method)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; none at the end of the connection.

        Raises
        ------
        AnswerIncomplete
            If the connection ended before the other end had the whole request.
        """
        if not data and not self._writer.is_received():
            raise AnswerIncomplete('the connection ended before the request')
        super().feed(data)

    def should_close(self) -> bool:
        """Return whether the connection can't carry another request."""
        return not self._writer.is_written() or super().should_close()


def exchange(client: SingleSendClient, request: Request, timeout_s: float) -> Response:
    """Send `request` once and return its complete response.

    Parameters
    ----------
    client : SingleSendClient
        Pool of the address to send to.
    request : Request
        What to send.
    timeout_s : float
        Longest time of the whole exchange, in seconds.

    Raises
    ------
    NothingSent
        If no connection could be opened.
    ProgressTimeout
        If the exchange did not end in time.
    AnswerIncomplete
        If the response ended before its announced length, its connection ended before the
        request was written, or its status is none of an answer.
    ExchangeBroken
        If the connection broke after bytes may have left.
    """
    expired = ProgressTimeout(f'{client.host}:{client.port}: no answer')
    with Timeout(timeout_s, expired):
        return _exchange(client, request)


def _exchange(client: SingleSendClient, request: Request) -> Response:
    try:
        return _read_response(client.send_once(request))
    except TransportError:
        raise
    except (OSError, HTTPParseError) as error:
        raise ExchangeBroken(f'{client.host}:{client.port}: {error!r}') from error


def _read_response(response: HTTPSocketPoolResponse) -> Response:
    body = response.read()
    announced = response.content_length
    if not response.message_complete:
        raise AnswerIncomplete(f'{len(body)} of {announced} bytes')
    if announced is not None and announced != len(body):
        raise AnswerIncomplete(f'{len(body)} of {announced} bytes')
    if response.status_code not in FINAL_STATUSES:
        raise StatusInvalid(response.status_code)
    headers = {name.lower(): str(value) for name, value in response.items()}
    return Response(response.status_code, headers, body)
