"""Fault-injecting TCP proxy, many links in one process."""

from collections.abc import Iterator
from contextlib import contextmanager
from fnmatch import fnmatchcase
from functools import partial
from random import Random
from socket import IPPROTO_TCP, TCP_NODELAY

import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from currantmast.clocks import Clock, LoopClock
from currantmast.messages import Address
from currantmast.standins.pipes import Ends, Pipe, ProxiedConnection, reset
from currantmast.standins.serving import (
    BACKLOG,
    Reply,
    Request,
    announce,
    bind,
    change_fields,
    get_address,
    load_settings,
    reply_json,
    serve,
)
from currantmast.standins.shaping import (
    MS_PER_S,
    Channel,
    LinkFaults,
    LinkSettings,
    Shaper,
)

LINKS_PREFIX = '/links/'
CONNECT_TIMEOUT_S = 10.0
FORWARD = 'forward'
BACKWARD = 'backward'


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a proxy process.

    Parameters
    ----------
    links : tuple of LinkSettings
        Links to proxy.
    address : Address
        Address of the control paths.
    seed : int
        Seed of jitter and loss.
    """

    links: tuple[LinkSettings, ...]
    address: Address = Address('127.0.0.1', 0)
    seed: int = 1


class LinkStatus(msgspec.Struct, frozen=True):
    """State of a link and of its connections."""

    name: str
    listen: str
    upstream: str
    connections: int
    silent: int
    faults: LinkFaults


class Link:
    """One listening address whose connections are passed on.

    Parameters
    ----------
    settings : LinkSettings
        Settings.
    channels : tuple of Channel
        Bandwidth of the forward and of the backward direction.
    clock : Clock
        Time of arrivals.
    rng : Random
        Source of jitter and loss.
    """

    __slots__ = (
        '_clock',
        '_connections',
        '_reserved',
        '_server',
        '_settings',
        '_shapers',
        'address',
        'faults',
    )

    def __init__(
        self,
        settings: LinkSettings,
        channels: tuple[Channel, Channel],
        clock: Clock,
        rng: Random,
    ) -> None:
        self.faults = settings.faults
        self._settings = settings
        self._clock = clock
        self._shapers = tuple(
            Shaper(channel, rng, self.report_faults) for channel in channels
        )
        self._connections: set[ProxiedConnection] = set()
        listener = bind(settings.listen)
        self.address = get_address(listener)
        self._server: StreamServer | None = None
        self._reserved = listener
        self.apply(settings.faults)

    def __repr__(self) -> str:
        """Return the name and the addresses."""
        return f'<Link {self.name} {self.address} -> {self._settings.upstream}>'

    @property
    def name(self) -> str:
        """Name on the control paths."""
        return self._settings.name

    def close(self) -> None:
        """Reset all connections and release the address."""
        self.cut()
        self._reserved.close()

    def report_faults(self) -> LinkFaults:
        """Return the state in force."""
        return self.faults

    def get_status(self) -> LinkStatus:
        """Return the state and the number of connections."""
        return LinkStatus(
            name=self.name,
            listen=str(self.address),
            upstream=str(self._settings.upstream),
            connections=len(self._connections),
            silent=sum(one.silent for one in self._connections),
            faults=self.faults,
        )

    def apply(self, faults: LinkFaults) -> None:
        """Put `faults` in force."""
        self.faults = faults
        if faults.cut:
            self.cut()
        elif self._server is None:
            self._reserved.listen(BACKLOG)
            self._server = StreamServer(self._reserved, self._pass_on)
            self._server.start()

    def silence(self) -> None:
        """Let all bytes of the connections that are open now vanish for good."""
        for connection in self._connections:
            connection.silent = True

    def cut(self) -> None:
        """Refuse connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self._reserved = bind(self.address)
        for connection in tuple(self._connections):
            connection.abort()

    def _pass_on(self, caller: socket.socket, peer: object) -> None:
        """Serve one accepted connection."""
        # Opening a connection takes one round trip on a real link.
        self._clock.sleep(2 * self.faults.delay_ms / MS_PER_S)
        host, port = self._settings.upstream.host, self._settings.upstream.port
        try:
            upstream = socket.create_connection((host, port), CONNECT_TIMEOUT_S)
        except OSError:
            reset(caller)
            return
        upstream.settimeout(None)
        for end in (caller, upstream):
            end.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        connection = ProxiedConnection(caller, upstream)
        self._connections.add(connection)
        connection.run(self._make_pipes(connection))
        self._connections.discard(connection)

    def _make_pipes(self, connection: ProxiedConnection) -> tuple[Pipe, ...]:
        caller, upstream = connection.ends
        forward, backward = self._shapers
        there = partial(self._loses, connection, FORWARD)
        back = partial(self._loses, connection, BACKWARD)
        return (
            Pipe(Ends(caller, upstream), forward, there, self._clock),
            Pipe(Ends(upstream, caller), backward, back, self._clock),
        )

    def _loses(self, connection: ProxiedConnection, direction: str) -> bool:
        lost = {
            FORWARD: self.faults.lose_forward,
            BACKWARD: self.faults.lose_backward,
        }
        return connection.silent or lost[direction]


class LinkHost:
    """All links of one process.

    Parameters
    ----------
    settings : ProxySettings
        Settings.
    clock : Clock
        Time of arrivals.
    """

    __slots__ = ('links',)

    def __init__(self, settings: ProxySettings, clock: Clock) -> None:
        self.links: list[Link] = []
        channels: dict[str, tuple[Channel, Channel]] = {}
        for one in settings.links:
            rng = Random(f'{settings.seed}/{one.name}')
            pair = channels.setdefault(
                one.channel or f'link/{one.name}', (Channel(clock), Channel(clock))
            )
            self.links.append(Link(one, pair, clock, rng))

    def __repr__(self) -> str:
        """Return the number of links."""
        return f'<LinkHost links={len(self.links)}>'

    def close(self) -> None:
        """Close all links."""
        for link in self.links:
            link.close()

    def answer(self, request: Request) -> Reply:
        """Answer one request on the control paths."""
        if request.path == '/links':
            return reply_json(200, [link.get_status() for link in self.links])
        if not request.path.startswith(LINKS_PREFIX) or request.method != 'POST':
            return Reply(404)
        try:
            return self._change(request)
        except msgspec.MsgspecError as rejected:
            return reply_json(400, str(rejected))

    def _change(self, request: Request) -> Reply:
        """Change the links whose names match the pattern in the path."""
        pattern = request.path.removeprefix(LINKS_PREFIX)
        fields = msgspec.json.decode(request.read_body(), type=dict)
        silence = fields.pop('silence', False)
        chosen = [link for link in self.links if fnmatchcase(link.name, pattern)]
        for link in chosen:
            link.apply(change_fields(link.faults, fields))
            if silence:
                link.silence()
        status = 200 if chosen else 404
        return reply_json(status, [changed.get_status() for changed in chosen])


class ProxyAddresses(msgspec.Struct, frozen=True):
    """Addresses of the control paths and of the links, in order of settings."""

    control: Address
    links: tuple[Address, ...]


@contextmanager
def serve_proxy(
    settings: ProxySettings, clock: Clock | None = None
) -> Iterator[ProxyAddresses]:
    """Proxy the links while the context is open; yields their addresses."""
    host = LinkHost(settings, clock or LoopClock())
    try:
        with serve(settings.address, host.answer) as control:
            yield ProxyAddresses(control, tuple(link.address for link in host.links))
    finally:
        host.close()


def run_proxy(path: str) -> None:
    """Proxy links with the settings file `path` until the process ends.

    Raises
    ------
    SettingsError
        If the settings are rejected.
    """
    with serve_proxy(load_settings(path, ProxySettings)) as addresses:
        announce(addresses.control, links=','.join(map(str, addresses.links)))
        Event().wait()
