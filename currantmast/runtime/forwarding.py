"""HTTP exchanges with peers and targets: one attempt each, on pooled connections."""

import time
from collections.abc import Iterable, Iterator
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Self

import msgspec
from gevent import Timeout
from gevent.socket import socket as Socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from currantmast.clocks import Clock
from currantmast.errors import (
    AnswerIncomplete,
    ExchangeBroken,
    NothingSent,
    ProgressTimeout,
    StatusInvalid,
)
from currantmast.messages import Address
from currantmast.statuses import FINAL_STATUSES

CHUNK_BYTES = 65_536
MAX_ANSWER_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
PROGRESS_TIMEOUT_S = 5.0
CONNECTIONS_PER_ADDRESS = 64
HOP_HEADERS = frozenset(('connection', 'keep-alive', 'transfer-encoding', 'server'))


class HopRequest(msgspec.Struct, frozen=True):
    """A request for one hop.

    Parameters
    ----------
    method, path : str
        Method and path with query.
    headers : tuple of tuple
        Names and values; ``Content-Length`` is added from `length`.
    body : bytes or iterator of bytes
        The body; an iterator is consumed once.
    length : int
        Length of the body in bytes.
    fresh : bool
        Whether to open a new connection in place of a pooled one, so that work
        which must not be sent twice never meets a connection that went stale.
    ask_first : bool
        Whether to send the body only after the other end agreed to take it.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | Iterator[bytes] = b''
    length: int = 0
    fresh: bool = False
    ask_first: bool = False


class HopAnswer(msgspec.Struct, frozen=True):
    """The whole answer of one hop.

    Parameters
    ----------
    body_sent : bool
        False when the other end refused before the body was sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_sent: bool = True

    def get_header(self, name: str) -> str | None:
        """Return the value of header `name`, or None."""
        wanted = name.lower()
        for key, text in self.headers:
            if key.lower() == wanted:
                return text
        return None


class HopClient(HTTPClient):
    """Client of one address that never repeats a request by itself.

    ``HTTPClient.request`` repeats PUT and DELETE on a broken connection; work that
    must run at most once needs exactly one attempt and the knowledge whether any
    byte may have left.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address.host, address.port)
        self._connection_pool = HopPool(address)

    def exchange(self, request: HopRequest, timeout_s: float) -> HopAnswer:
        """Send `request` and return the whole answer.

        Parameters
        ----------
        request : HopRequest
            What to send.
        timeout_s : float
            Time for the whole exchange, in seconds.

        Raises
        ------
        NothingSent
            If no connection could be opened in time.
        ProgressTimeout, AnswerIncomplete, ExchangeBroken
            If the exchange failed after bytes may have left.
        """
        started = time.monotonic()
        sock = self._connection_pool.open_socket(request.fresh, timeout_s)
        remaining = timeout_s - (time.monotonic() - started)
        reusable = False
        try:
            with Timeout(remaining, ProgressTimeout('deadline')):
                answer, reusable = self._converse(sock, request)
        except (OSError, HTTPParseError) as error:
            self._connection_pool.drop_idle()
            raise _classify(error) from error
        except ProgressTimeout:
            self._connection_pool.drop_idle()
            raise
        finally:
            self._connection_pool.settle_socket(sock, reusable and not request.fresh)
        return answer

    def _converse(self, sock: Socket, request: HopRequest) -> tuple[HopAnswer, bool]:
        sock.settimeout(PROGRESS_TIMEOUT_S)
        head = self._build_head(request)
        early = b''
        if request.ask_first:
            sock.sendall(head)
            early, refusal = self._wait_for_continue_response(sock, request.method)
            if refusal is not None:
                # The server still expects the body, so that the connection can't
                # carry another request.
                return _read_answer(sock, request.method, refusal, body_sent=False)
            head = b''
        written = _send_body(sock, head, request)
        answer, reusable = _read_answer(
            sock, request.method, early or b'', body_sent=True
        )
        return answer, reusable and written

    def _build_head(self, request: HopRequest) -> bytes:
        headers = dict(request.headers)
        headers['Content-Length'] = str(request.length)
        if request.ask_first:
            headers['Expect'] = '100-continue'
        text = self._build_request(
            request.method, request.path, body=b'', headers=headers, chunked=False
        )
        return text.encode('latin-1')


class HopPool(ConnectionPool):
    """Connections to one address, each reused only after a complete exchange."""

    def __init__(self, address: Address) -> None:
        super().__init__(
            address.host,
            address.port,
            address.host,
            address.port,
            size=CONNECTIONS_PER_ADDRESS,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=PROGRESS_TIMEOUT_S,
        )

    def after_connect(self, sock: Socket) -> None:
        """Send small writes at once."""
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def open_socket(self, fresh: bool, timeout_s: float) -> Socket:
        """Return a pooled connection, or a new one if `fresh`.

        Raises
        ------
        NothingSent
            If no connection could be opened within `timeout_s` seconds.
        """
        limit = min(timeout_s, CONNECT_TIMEOUT_S)
        try:
            with Timeout(limit, NothingSent('connect timeout')):
                return self._replace_socket() if fresh else self.get_socket()
        except (OSError, RuntimeError) as error:
            raise NothingSent(f'{self._connection_host}: {error}') from error

    def settle_socket(self, sock: Socket, reusable: bool) -> None:
        """Take `sock` back after an exchange; close it unless it is `reusable`."""
        if reusable:
            self.return_socket(sock)
        else:
            self.release_socket(sock)

    def drop_idle(self) -> None:
        """Close the idle connections.

        When one connection breaks or goes silent, something between the ends may have
        lost track of the others as well.
        """
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def _replace_socket(self) -> Socket:
        self._semaphore.acquire()
        try:
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise


def _send_body(sock: Socket, head: bytes, request: HopRequest) -> bool:
    """Return whether everything was written."""
    if isinstance(request.body, bytes):
        return _send(sock, head + request.body)
    if head and not _send(sock, head):
        return False
    return all(_send(sock, chunk) for chunk in request.body)


def _send(sock: Socket, data: bytes) -> bool:
    try:
        sock.sendall(data)
    except ConnectionError:
        # The other end may have answered before it closed. Only a framed answer counts
        # as whole, so one that was cut isn't taken for one.
        return False
    return True


def _read_answer(
    sock: Socket, method: str, early: bytes, *, body_sent: bool
) -> tuple[HopAnswer, bool]:
    answer = HTTPSocketResponse(
        sock, block_size=CHUNK_BYTES, method=method, pre_buffered=early
    )
    received = 0
    while not answer.message_complete:
        received += _feed_block(answer, sock)
        if received > MAX_ANSWER_BYTES:
            raise AnswerIncomplete(f'the answer is over {MAX_ANSWER_BYTES} bytes')
    if answer.status_code not in FINAL_STATUSES:
        raise StatusInvalid(answer.status_code)
    headers = tuple(
        (name, text) for name, text in answer.items() if name.lower() not in HOP_HEADERS
    )
    whole = HopAnswer(answer.status_code, headers, answer.read(), body_sent)
    return whole, body_sent and not answer.should_close()


def _feed_block(answer: HTTPSocketResponse, sock: Socket) -> int:
    block = sock.recv(CHUNK_BYTES)
    if not block:
        raise AnswerIncomplete('the answer ended before its announced length')
    answer.feed(block)
    return len(block)


def _classify(error: Exception) -> ExchangeBroken:
    if isinstance(error, TimeoutError):
        return ProgressTimeout(str(error))
    return ExchangeBroken(f'{type(error).__name__}: {error}')


class Connections:
    """Pooled connections to many addresses; a context manager that closes them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clients', '_clock')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._clients: dict[Address, HopClient] = {}

    def __enter__(self) -> Self:
        """Return the pools."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close every pooled connection."""
        self.close()

    def __repr__(self) -> str:
        """Return the number of addresses."""
        return f'<Connections addresses={len(self._clients)}>'

    def exchange(
        self, address: Address, request: HopRequest, timeout_s: float
    ) -> HopAnswer:
        """Send `request` to `address` once and return the whole answer.

        Raises
        ------
        NothingSent
            If no byte of the request can have left.
        ExchangeBroken
            If bytes may have left and no whole answer came back.
        """
        if timeout_s <= 0:
            raise NothingSent('no time left')
        return self._get_client(address).exchange(request, timeout_s)

    def retain(self, addresses: Iterable[Address]) -> None:
        """Close the pools of all addresses that are not in `addresses`."""
        kept = set(addresses)
        for address in tuple(self._clients):
            if address not in kept:
                self._clients.pop(address).close()

    def close(self) -> None:
        """Close every pooled connection."""
        self.retain(())

    def _get_client(self, address: Address) -> HopClient:
        client = self._clients.get(address)
        if client is None:
            client = HopClient(address)
            self._clients[address] = client
        return client
