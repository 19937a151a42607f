"""Datagram ports, through which all packets enter and leave a process."""

import asyncio
import errno
import logging
import socket
import time
import traceback
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio

from jujuberun.addresses import format_address
from jujuberun.ids import Address
from jujuberun.logs import make_logger

# Maximum number of packets per read; bounds the time for which one port blocks
# the event loop.
BATCH_PACKETS = 64
# A read that follows the previous one within this time takes a whole batch.
# Otherwise it takes one packet, which saves the system call that would find
# the socket empty.
BURST_GAP_S = 0.001
# Pause after steps that failed. Without it, a step that fails each time would
# keep a core busy.
FAILED_CHECK_PAUSE_S = 0.05
RECEIVE_BUFFER_BYTES = 4 << 20
FLOW_BUFFER_BYTES = 256 << 10
_MAX_PACKET_BYTES = 65_536
_CLOSED_ERRORS = (errno.EBADF, errno.ENOTSOCK)


BatchHandler = Callable[[list[tuple[bytes, Address]], float], None]
PacketHandler = Callable[[bytes, Address, float], None]

_log = make_logger("port")


def handle_each(
    batch: Iterable[tuple[bytes, Address]], now: float, handle: PacketHandler
) -> int:
    """Calls handle(data, sender, now) for each packet.

    An unexpected error of the handler is logged and ends only the handling of
    its packet, so that no packet can end the process.

    Args:
        batch: packets with their senders.
        now: seconds, monotonic.
        handle: takes one packet.

    Returns:
        Number of packets whose handling failed.
    """
    failed = 0
    remaining = iter(batch)
    while True:
        sender: Address | None = None
        # One try block serves all packets. After a failure, the iterator
        # continues with the packet after the failed one.
        try:
            for data, sender in remaining:
                handle(data, sender, now)
        except Exception as error:  # noqa: BLE001
            failed += 1
            _log.log_limited(
                logging.ERROR,
                type(error),
                now,
                "packet from %s dropped: %s",
                "unknown" if sender is None else format_address(sender),
                "".join(traceback.format_exception(error)).rstrip(),
            )
            continue
        return failed


async def run_checks(check: Callable[[float], None], now: float) -> int:
    """Calls check(now), which takes the steps that are due.

    An unexpected error is logged and ends only this call, so that no flow can
    end the process. A step that failed is still due, so a pause follows.

    Args:
        check: takes the steps that are due.
        now: seconds, monotonic.

    Returns:
        1 if the check failed, else 0.
    """
    try:
        check(now)
    except Exception as error:  # noqa: BLE001
        _log.log_limited(
            logging.ERROR,
            type(error),
            now,
            "check of due steps failed: %s",
            "".join(traceback.format_exception(error)).rstrip(),
        )
        await anyio.sleep(FAILED_CHECK_PAUSE_S)
        return 1
    return 0


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

    async def serve(self, handle: BatchHandler) -> None:
        """Calls handle(batch, now) with packets until cancelled."""

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram; returns False on failure, as on a full buffer."""

    def send_batch(self, batch: list[tuple[bytes, Address]]) -> None:
        """Sends datagrams; drops those that fail, as on a full buffer."""

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
            buffer_bytes: size of the kernel's receive and send buffers.

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
        """Opens a UDP socket that receives packets from one address only.

        Args:
            address: address of the other side.
            buffer_bytes: size of the kernel's receive buffer.

        Raises:
            OSError: the socket cannot be opened or connected.
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
            batch = self.read_available(limit)
            if batch:
                return batch

    async def serve(self, handle: BatchHandler) -> None:
        """Calls handle(batch, now) with packets until cancelled.

        The event loop calls the handler directly. A task that waits for each
        batch would cost two more system calls and a second pass through the
        event loop.

        Args:
            handle: takes packets with their senders, and the monotonic time in
                seconds. An exception that it raises ends this call.

        Raises:
            Exception: the first exception that the handler raised.
        """
        loop = asyncio.get_running_loop()
        failure = loop.create_future()
        last_read_at = 0.0

        def handle_readable() -> None:
            nonlocal last_read_at
            now = loop.time()
            limit = BATCH_PACKETS if now - last_read_at < BURST_GAP_S else 1
            last_read_at = now
            try:
                handle(self.read_available(limit), now)
            except Exception as error:  # noqa: BLE001
                if not failure.done():
                    failure.set_exception(error)

        loop.add_reader(self.socket, handle_readable)
        try:
            await failure
        finally:
            loop.remove_reader(self.socket)

    def read_available(
        self, limit: int = BATCH_PACKETS
    ) -> list[tuple[bytes, Address]]:
        """Returns the packets in the receive buffer, at most limit of them.

        Raises:
            OSError: the socket is closed. Other errors are logged.
        """
        receive = self.socket.recvfrom
        batch: list[tuple[bytes, Address]] = []
        add = batch.append
        while len(batch) < limit:
            # One try block serves all packets, because entering one for each
            # packet costs time.
            try:
                for _ in range(limit - len(batch)):
                    add(receive(_MAX_PACKET_BYTES))
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                # An earlier send reached a closed port. The error does not
                # concern the packets in the receive buffer.
                continue
            except OSError as error:
                if error.errno in _CLOSED_ERRORS:
                    raise
                # The network reported an error of an earlier send, or memory
                # is short. The packets are read when the event loop returns.
                _log.log_limited(
                    logging.WARNING,
                    error.errno,
                    time.monotonic(),
                    "read from %s failed: %s",
                    format_address(self.address),
                    error,
                )
                break
        return batch

    def send(self, data: bytes, address: Address) -> bool:
        """Sends a datagram; returns False on failure, as on a full buffer."""
        try:
            self._sendto(data, address)
        except OSError:
            return False
        return True

    def send_batch(self, batch: list[tuple[bytes, Address]]) -> None:
        """Sends datagrams; drops those that fail, as on a full buffer."""
        send = self._sendto
        remaining = iter(batch)
        while True:
            # One try block serves all packets. After a failure, the iterator
            # continues with the packet after the failed one.
            try:
                for data, address in remaining:
                    send(data, address)
            except OSError:
                continue
            return

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close()
