"""Loopback proxy between the daemons: delays, loses, cuts and resets.

Daemons know each other by alias only. A datagram to an alias is sent on from
the alias of its sender, so each direction of each pair can be harmed alone.
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
    """State of the links between hosts, which faults change.

    Attributes:
        cut: pairs (sender, receiver) of host names between which nothing
            arrives.
        loss: share of datagrams that is lost.
        delay: seconds that each datagram waits on top.
    """

    rng: random.Random
    cut: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    delay: float = 0.0

    def passes(self, sender: str, receiver: str) -> bool:
        """Returns whether a datagram arrives."""
        if (sender, receiver) in self.cut:
            return False
        return not self.loss or self.rng.random() >= self.loss


class DaemonProxy:
    """Carries datagrams and connections between the daemons."""

    def __init__(
        self, hosts: Iterable[Host], links: Links, group: TaskGroup
    ) -> None:
        """Args: all hosts, state of the links, group for the tasks."""
        self._hosts = {host.real: host for host in hosts}
        self._links = links
        self._group = group
        self._ports: dict[Address, SocketPort] = {}
        self._open: set[SocketStream] = set()

    async def start(self) -> None:
        """Binds all aliases."""
        for host in self._hosts.values():
            for number in (PACKET_PORT, PEER_PORT):
                port = SocketPort.bind((host.alias, number))
                self._ports[host.alias, number] = port
                self._group.start_soon(self._carry, port, host)
            listener = await anyio.create_tcp_listener(
                local_host=host.alias, local_port=PEER_PORT
            )
            self._group.start_soon(self._accept, listener, host)

    async def reset_connections(self) -> None:
        """Closes all connections between daemons."""
        for stream in list(self._open):
            await anyio.aclose_forcefully(stream)

    async def _carry(self, port: SocketPort, host: Host) -> None:
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
                out.send(data, (host.real, number))

    async def _send_late(
        self, port: SocketPort, data: bytes, host: Host
    ) -> None:
        await anyio.sleep(self._links.delay)
        port.send(data, (host.real, port.address[1]))

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
                out = await anyio.connect_tcp(host.real, PEER_PORT)
            except OSError:
                return
            self._open |= {stream, out}
            async with out:
                await _join(
                    stream,
                    out,
                    lambda: self._links.passes(name, host.name),
                    lambda: self._links.passes(host.name, name),
                )
            self._open -= {stream, out}


@dataclass(slots=True)
class StoreProxy:
    """A balancer's way to the store.

    Attributes:
        silent: bytes disappear in both directions, connections stay open.
        deaf: answers disappear, calls arrive.
        refuses: connections are closed at once.
        delay: seconds that each answer waits on top.
    """

    address: Address
    store: Address
    silent: bool = False
    deaf: bool = False
    refuses: bool = False
    delay: float = 0.0
    _open: set[SocketStream] = field(default_factory=set)

    @property
    def is_harmed(self) -> bool:
        """Whether a fault is in force."""
        return self.silent or self.deaf or self.refuses or self.delay > 0

    async def run(self) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address[0], local_port=self.address[1]
        )
        async with listener:
            await listener.serve(self._relay)

    async def reset_connections(self) -> None:
        """Closes all connections."""
        for stream in list(self._open):
            await anyio.aclose_forcefully(stream)

    async def _relay(self, stream: SocketStream) -> None:
        async with stream:
            if self.refuses:
                return
            try:
                out = await anyio.connect_tcp(*self.store)
            except OSError:
                return
            self._open |= {stream, out}
            async with out:
                await _join(
                    stream,
                    out,
                    lambda: not self.silent,
                    lambda: not (self.silent or self.deaf),
                    lambda: self.delay,
                )
            self._open -= {stream, out}


async def _join(stream, out, passes_out, passes_back, find_delay=float) -> None:
    """Carries bytes between two streams until one of them ends."""
    async with anyio.create_task_group() as group:

        async def carry(source, sink, passes, delay) -> None:
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

        group.start_soon(carry, stream, out, passes_out, float)
        group.start_soon(carry, out, stream, passes_back, find_delay)
