"""Loopback proxies that delay, drop, cut and reset traffic.

Daemons know each other only by alias address. The proxy forwards a datagram
from the alias of its sender, so faults can affect each direction of each pair
of hosts separately.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from jujuberun.ids import Address
from jujuberun.port import SocketPort
from soak.layout import PACKET_PORT, PEER_PORT, Host

_CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Links:
    """State of the links between hosts; faults change it.

    Attributes:
        cut: pairs (sender, receiver) of host names whose traffic is dropped
            in this direction.
        loss: share of datagrams that is dropped.
        delay: added delay of each datagram in seconds.
    """

    rng: random.Random
    cut: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    delay: float = 0.0

    def passes(self, sender: str, receiver: str) -> bool:
        """Returns whether a datagram or chunk of bytes is delivered."""
        if (sender, receiver) in self.cut:
            return False
        return not self.loss or self.rng.random() >= self.loss


class DaemonProxy:
    """Forwards datagrams and connections between the daemons."""

    def __init__(
        self, hosts: Iterable[Host], links: Links, group: TaskGroup
    ) -> None:
        """Args: all hosts, state of the links, task group of the proxy."""
        self._hosts = {host.bind_address: host for host in hosts}
        self._links = links
        self._group = group
        self._ports: dict[Address, SocketPort] = {}
        self._open_streams: set[SocketStream] = set()
        self._silent_streams: set[SocketStream] = set()

    async def start(self) -> None:
        """Binds the ports of all alias addresses and forwards their traffic."""
        for host in self._hosts.values():
            for number in (PACKET_PORT, PEER_PORT):
                port = SocketPort.bind((host.alias, number))
                self._ports[host.alias, number] = port
                self._group.start_soon(self._forward_datagrams, port, host)
            listener = await anyio.create_tcp_listener(
                local_host=host.alias, local_port=PEER_PORT
            )
            self._group.start_soon(self._accept, listener, host)

    async def reset_connections(self) -> None:
        """Closes all connections between daemons."""
        for stream in list(self._open_streams):
            await anyio.aclose_forcefully(stream)

    def silence_connections(self) -> None:
        """Lets open connections deliver nothing more; new ones work."""
        self._silent_streams |= self._open_streams

    async def _forward_datagrams(self, port: SocketPort, host: Host) -> None:
        number = port.address[1]
        while True:
            for data, sender in await port.receive():
                origin = self._hosts.get(sender[0])
                if origin is None:
                    continue
                if not self._links.passes(origin.name, host.name):
                    continue
                out = self._ports[origin.alias, number]
                if self._links.delay:
                    self._group.start_soon(self._send_late, out, data, host)
                    continue
                out.send(data, (host.bind_address, number))

    async def _send_late(
        self, port: SocketPort, data: bytes, host: Host
    ) -> None:
        await anyio.sleep(self._links.delay)
        port.send(data, (host.bind_address, port.address[1]))

    async def _accept(
        self, listener: anyio.abc.Listener[SocketStream], host: Host
    ) -> None:
        async with listener:
            await listener.serve(lambda stream: self._relay(stream, host))

    async def _relay(self, stream: SocketStream, host: Host) -> None:
        async with stream:
            sender = stream.extra(SocketAttribute.remote_address)[0]
            origin = self._hosts.get(sender)
            name = origin.name if origin else sender
            try:
                out = await anyio.connect_tcp(host.bind_address, PEER_PORT)
            except OSError:
                return
            self._open_streams |= {stream, out}
            async with out:
                silent = self._silent_streams
                await _copy_both_ways(
                    stream,
                    out,
                    lambda: (
                        out not in silent
                        and self._links.passes(name, host.name)
                    ),
                    lambda: (
                        out not in silent
                        and self._links.passes(host.name, name)
                    ),
                )
            self._open_streams -= {stream, out}
            self._silent_streams -= {stream, out}


@dataclass(slots=True)
class StoreProxy:
    """Proxy between one balancer and the store.

    Attributes:
        silent: whether bytes are dropped in both directions while connections
            stay open.
        deaf: whether answers are dropped while calls arrive.
        refuses: whether new connections are closed at once.
        delay: added delay of each chunk of an answer in seconds.
    """

    address: Address
    store: Address
    silent: bool = False
    deaf: bool = False
    refuses: bool = False
    delay: float = 0.0
    _open_streams: set[SocketStream] = field(default_factory=set)
    _connections: list[SocketStream] = field(default_factory=list)
    _silent_streams: set[SocketStream] = field(default_factory=set)

    @property
    def is_disturbed(self) -> bool:
        """Whether a fault is active."""
        return self.silent or self.deaf or self.refuses or self.delay > 0

    async def run(self) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address[0], local_port=self.address[1]
        )
        async with listener:
            await listener.serve(self._relay)

    async def reset_connections(self) -> None:
        """Closes all open connections."""
        for stream in list(self._open_streams):
            await anyio.aclose_forcefully(stream)

    def silence_connections(self, rng: random.Random, share: float) -> None:
        """Lets open connections deliver nothing more; new ones work.

        Args:
            rng: chooses the connections.
            share: probability with which each one goes silent.
        """
        self._silent_streams |= {
            stream for stream in self._connections if rng.random() < share
        }

    async def _relay(self, stream: SocketStream) -> None:
        async with stream:
            if self.refuses:
                return
            try:
                out = await anyio.connect_tcp(*self.store)
            except OSError:
                return
            self._open_streams |= {stream, out}
            self._connections.append(stream)
            silent = self._silent_streams
            async with out:
                await _copy_both_ways(
                    stream,
                    out,
                    lambda: not self.silent and stream not in silent,
                    lambda: (
                        not (self.silent or self.deaf) and stream not in silent
                    ),
                    lambda: self.delay,
                )
            self._open_streams -= {stream, out}
            self._connections.remove(stream)
            self._silent_streams.discard(stream)


async def _copy_both_ways(
    stream, out, passes_out, passes_back, find_delay=float
) -> None:
    """Copies bytes between two streams until one of them ends."""
    async with anyio.create_task_group() as group:

        async def copy(source, sink, passes, delay) -> None:
            try:
                while True:
                    data = await source.receive(_CHUNK_BYTES)
                    await anyio.sleep(delay())
                    if passes():
                        await sink.send(data)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                group.cancel_scope.cancel()

        group.start_soon(copy, stream, out, passes_out, float)
        group.start_soon(copy, out, stream, passes_back, find_delay)
