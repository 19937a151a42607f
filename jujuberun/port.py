"""Datagram ports: the one place where packets enter and leave a process."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

import anyio

from jujuberun.ids import Address

BATCH_PACKETS = 64  # bounds the time that one port keeps the event loop
# Packets that follow each other this closely are read together. Others are read
# one by one, which saves the call that would find no further packet.
CLOSE_S = 0.001
RECEIVE_BUFFER_BYTES = 4 << 20
FLOW_BUFFER_BYTES = 256 << 10
_MAX_PACKET_BYTES = 65_536


Handler = Callable[[list[tuple[bytes, Address]], float], None]


class Port(Protocol):
    """Sends and receives datagrams.

    Attributes:
        address: the local address.
    """

    address: Address

    async def receive(
        self, limit: int = BATCH_PACKETS
    ) -> list[tuple[bytes, Address]]:
        """Waits for packets; returns at most limit of them with senders."""

    async def serve(self, handle: Handler) -> None:
        """Calls handle(batch, now) with packets until cancelled."""

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram; False when the kernel had no room for it."""

    def send_batch(self, batch: list[tuple[bytes, Address]]) -> None:
        """Sends datagrams; those that the kernel has no room for are lost."""

    def close(self) -> None:
        """Closes the port."""


class SocketPort:
    """A port on a UDP socket.

    Attributes:
        address: the local address.
        socket: the socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self._sendto = sock.sendto
        self.address: Address = sock.getsockname()

    @classmethod
    def bind(
        cls, address: Address, buffer_bytes: int = RECEIVE_BUFFER_BYTES
    ) -> "SocketPort":
        """Binds a UDP socket.

        Args:
            address: local address; port 0 lets the kernel choose.
            buffer_bytes: size of the kernel's receive buffer.

        Raises:
            OSError: the address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    @classmethod
    def connect(
        cls, address: Address, buffer_bytes: int = FLOW_BUFFER_BYTES
    ) -> "SocketPort":
        """Opens a UDP socket that hears only one address.

        Args:
            address: the other side.
            buffer_bytes: size of the kernel's receive buffer.

        Raises:
            OSError: no socket can be opened.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        try:
            sock.connect(address)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    async def receive(
        self, limit: int = BATCH_PACKETS
    ) -> list[tuple[bytes, Address]]:
        """Waits for packets; returns at most limit of them with senders."""
        while True:
            await anyio.wait_readable(self.socket)
            batch = self.drain(limit)
            if batch:
                return batch

    async def serve(self, handle: Handler) -> None:
        """Calls handle(batch, now) with packets until cancelled.

        The event loop calls the handler itself. A task that waits for each
        batch costs two more system calls and a second pass through the loop.

        Args:
            handle: takes packets with their senders, and the time in seconds,
                monotonic. What it raises ends the call.
        """
        loop = asyncio.get_running_loop()
        failure = loop.create_future()
        taken = 0.0

        def take() -> None:
            nonlocal taken
            now = loop.time()
            limit = BATCH_PACKETS if now - taken < CLOSE_S else 1
            taken = now
            try:
                handle(self.drain(limit), now)
            except Exception as error:  # noqa: BLE001
                if not failure.done():
                    failure.set_exception(error)

        loop.add_reader(self.socket, take)
        try:
            await failure
        finally:
            loop.remove_reader(self.socket)

    def drain(self, limit: int = BATCH_PACKETS) -> list[tuple[bytes, Address]]:
        """Returns the packets that wait now, at most limit of them."""
        receive = self.socket.recvfrom
        batch: list[tuple[bytes, Address]] = []
        take = batch.append
        while len(batch) < limit:
            # One try for all packets: entering one for each costs time.
            try:
                for _ in range(limit - len(batch)):
                    take(receive(_MAX_PACKET_BYTES))
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                # An earlier send met a closed port; the error says nothing
                # about the packets that wait here.
                continue
        return batch

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram; False when the kernel had no room for it."""
        try:
            self._sendto(data, address)
        except OSError:
            return False
        return True

    def send_batch(self, batch: list[tuple[bytes, Address]]) -> None:
        """Sends datagrams; those that the kernel has no room for are lost."""
        send = self._sendto
        rest = iter(batch)
        while True:
            # One try for all packets; the iterator goes on behind the one
            # that failed.
            try:
                for data, address in rest:
                    send(data, address)
            except OSError:
                continue
            return

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close()
