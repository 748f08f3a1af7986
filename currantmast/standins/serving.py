"""HTTP plumbing that all stand-ins share."""

import struct
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import partial
from http import HTTPStatus
from pathlib import Path
from socket import (
    IPPROTO_TCP,
    SHUT_RDWR,
    SO_LINGER,
    SO_REUSEADDR,
    SOL_SOCKET,
    TCP_NODELAY,
)
from typing import Any, TypeVar
from urllib.parse import parse_qsl

import msgspec
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from currantmast.errors import SettingsError
from currantmast.messages import Address

SOCKET_FIELD = 'currantmast.socket'
HEADER_FIELD_PREFIX = 'HTTP_'
DEFAULT_CONNECTIONS = 10_000
# A target that restarts after a crash must get a burst of reconnects queued.
BACKLOG = 1024
# Lingering for no time makes the kernel send a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

Environ = dict[str, Any]
Settings = TypeVar('Settings', bound=msgspec.Struct)


class Reply(msgspec.Struct, frozen=True):
    """Answer of a stand-in.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Whole body.
    headers : tuple of (str, str)
        Headers besides the content length.
    """

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class NoReply(msgspec.Struct, frozen=True):
    """Close the connection without an answer."""


class Request:
    """One request as the server received it.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    """

    __slots__ = ('_environ', 'arguments', 'method', 'path')

    def __init__(self, environ: Environ) -> None:
        self._environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO']
        self.arguments = dict(parse_qsl(environ['QUERY_STRING']))

    @property
    def query(self) -> str:
        """The query string, undecoded."""
        return self._environ['QUERY_STRING']

    def get_header(self, name: str, default: str = '') -> str:
        """Return the value of header `name`."""
        field = name.upper().replace('-', '_')
        return self._environ.get(f'{HEADER_FIELD_PREFIX}{field}', default)

    def list_headers(self) -> Iterator[tuple[str, str]]:
        """Yield the lower-case name and the value of each header."""
        for field, text in self._environ.items():
            if field.startswith(HEADER_FIELD_PREFIX):
                name = field.removeprefix(HEADER_FIELD_PREFIX)
                yield name.lower().replace('_', '-'), text

    def read_body(self, size: int | None = None) -> bytes:
        """Return the body, or at most `size` bytes more of it.

        Raises
        ------
        OSError
            If the body ends before its announced length.
        """
        return self._environ['wsgi.input'].read(size)

    def close_connection(self) -> None:
        """Shut the connection down without an answer."""
        try:
            self._environ[SOCKET_FIELD].shutdown(SHUT_RDWR)
        except OSError:
            return


Answerer = Callable[[Request], Reply | NoReply]


class _Handler(WSGIHandler):
    """Handler that lets the application reach its connection."""

    def get_environ(self) -> Environ:
        """Return the WSGI environment with the connection's socket."""
        environ = super().get_environ()
        environ[SOCKET_FIELD] = self.socket
        return environ


class StandinServer(WSGIServer):
    """HTTP server that can break off all its connections.

    Parameters
    ----------
    listener : socket
        Bound socket, see `bind`.
    answer : callable
        Maps a `Request` to a `Reply` or `NoReply`.
    connections : int
        Connections held at once; more wait in the listening queue.
    """

    def __init__(
        self,
        listener: socket.socket,
        answer: Answerer,
        connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        self.connections: set[Any] = set()
        listener.listen(BACKLOG)
        super().__init__(
            listener,
            partial(_respond, answer),
            spawn=Pool(connections),
            log=None,
            error_log=None,
            handler_class=_Handler,
        )

    def do_handle(self, connection: Any, peer: Any) -> None:
        """Serve an accepted connection."""
        # pywsgi sends headers and body apart; Nagle's algorithm would add 40 ms.
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.connections.add(connection)
        super().do_handle(connection, peer)

    def do_close(self, connection: Any, peer: Any) -> None:
        """Close a connection that has been served."""
        self.connections.discard(connection)
        super().do_close(connection, peer)

    def abort(self) -> None:
        """Stop listening, reset all connections and end their handlers."""
        self.close()
        for connection in tuple(self.connections):
            _reset(connection)
        self.stop(timeout=0)


def _reset(connection: Any) -> None:
    # Without the shutdown, pywsgi answers 500 when its handler is ended.
    try:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(SHUT_RDWR)
    except OSError:
        return


def _respond(
    answer: Answerer, environ: Environ, start_response: Callable[..., object]
) -> Iterable[bytes]:
    request = Request(environ)
    match answer(request):
        case Reply(status, body, headers):
            phrase = HTTPStatus(status).phrase
            length = ('Content-Length', str(len(body)))
            start_response(f'{status} {phrase}', [*headers, length])
            return (body,)
        case _:
            request.close_connection()
            start_response('500 Closed', [('Connection', 'close')])
            return (b'',)


@contextmanager
def serve(address: Address, answer: Answerer) -> Iterator[Address]:
    """Serve `answer` while the context is open; yields the bound address."""
    listener = bind(address)
    server = StandinServer(listener, answer)
    server.start()
    try:
        yield get_address(listener)
    finally:
        server.stop(timeout=0)


def bind(address: Address) -> socket.socket:
    """Return a socket bound to `address` that refuses connections until it listens.

    A port that is held this way can't be taken by another process while its server is
    down.
    """
    listener = socket.socket()
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    return listener


def get_address(listener: socket.socket) -> Address:
    """Return the address that `listener` is bound to."""
    host, port = listener.getsockname()[:2]
    return Address(host, port)


def reply_json(status: int, content: object, **headers: str) -> Reply:
    """Return a JSON answer; underscores in header names become hyphens."""
    named = tuple((name.replace('_', '-'), text) for name, text in headers.items())
    typed = ('Content-Type', 'application/json')
    return Reply(status, msgspec.json.encode(content), (typed, *named))


def load_settings(path: str, kind: type[Settings]) -> Settings:
    """Return the settings in the YAML file `path` as a `kind`.

    Raises
    ------
    SettingsError
        If the file can't be read or does not fit `kind`.
    """
    try:
        return msgspec.yaml.decode(Path(path).read_bytes(), type=kind)
    except OSError as failure:
        raise SettingsError(path, '', failure.strerror, 'a readable file') from failure
    except msgspec.MsgspecError as rejected:
        raise SettingsError(path, '', str(rejected), kind.__name__) from rejected


def change_fields(current: Settings, fields: dict[str, object]) -> Settings:
    """Return `current` with other values of some fields.

    Raises
    ------
    msgspec.ValidationError
        If a field is unknown or has a value of another type.
    """
    return msgspec.convert({**msgspec.to_builtins(current), **fields}, type(current))


def apply_changes(current: Settings, changes: bytes) -> Settings:
    """Return `current` with the fields that the JSON object `changes` names.

    Raises
    ------
    msgspec.MsgspecError
        If `changes` is no JSON object, a field is unknown or has a value of another
        type.
    """
    return change_fields(current, msgspec.json.decode(changes, type=dict))


def announce(address: Address, **fields: object) -> None:
    """Print the line that tells a parent process where a stand-in listens."""
    more = ''.join(f' {name}={text}' for name, text in fields.items())
    sys.stdout.write(f'ready address={address}{more}\n')
    sys.stdout.flush()
