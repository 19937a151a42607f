"""Calls between daemons over TCP: framed Thrift in a sealed envelope.

A frame consists of a length (4 bytes, big endian) and a sealed envelope of
that length. A connection carries one call at a time: a frame with a message,
then a frame with its reply.
"""

import contextlib
import logging
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus
from result import Err, Ok, Result

from jujuberun.addresses import format_address
from jujuberun.containment.acceptor import (
    accept_connections,
    open_listener,
    open_stream,
)
from jujuberun.errors import LinkError, WireError
from jujuberun.ids import Address
from jujuberun.wire import Codec, Signer, find_body, read_wall_clock

# Above MAX_DOCUMENT_BYTES of module delta, for documents that do not compress.
MAX_FRAME_BYTES = 5 << 20
MAX_CONNECTIONS = 512  # accepted connections that are open at the same time
# Limits the total size of the frames that are being received. They are not
# verified yet, so without a limit any peer could use up the daemon's 128 MB.
MAX_PENDING_BYTES = 16 << 20
# Limits the wait for the next complete frame and the time to send a reply.
# When it expires, the connection is closed, because the peer is idle or slow.
FRAME_TIMEOUT_S = 10.0
_LENGTH_PREFIX = struct.Struct(">I")
_MAX_RECEIVE_BYTES = 65_536

Handler = Callable[[Any, Address], Awaitable[Any]]

logger = logging.getLogger(__name__)


class Link:
    """Serves calls from peers and sends calls to peers.

    Calls, replies and datagrams each have their own codec with its own
    incarnation, and therefore their own replay window. A shared window would
    refuse a TCP message that arrives long after datagrams that were sent
    later.

    Attributes:
        address: address of the listening socket; its port is known once the
            socket is bound.
        counts: calls by result ("served", "called", "handler-failed", ...),
            lost and refused connections, and refused frames by reason.
        sent_bytes: total size of the frames sent.
        received_bytes: total size of the frames received.
    """

    name = "link"

    def __init__(
        self,
        address: Address,
        signer: Signer,
        read_clock: Callable[[], int] = read_wall_clock,
    ) -> None:
        """Creates a link that is not bound yet.

        Args:
            address: address to listen on.
            signer: signs and verifies messages with the MAC keys.
            read_clock: returns the wall-clock time in ms.
        """
        self.address = address
        self.counts: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received_bytes = 0
        self._call_codec = Codec(signer)
        self._reply_codec = Codec(signer)
        self._read_clock = read_clock
        self._handlers: dict[type, Handler] = {}
        self._listener: Any = None
        self._accept_scope = anyio.CancelScope()
        self._open_connections = 0
        self._open_calls = 0
        self._no_open_calls = anyio.Event()
        self._pending_bytes = 0

    def register_handler(self, kind: type, handler: Handler) -> None:
        """Registers the handler for one type of message.

        The handler is awaited with the message and the sender's address (its
        port is not the sender's peer port) and returns the reply, a body
        struct of Envelope. The handler is cancelled when the calling peer
        closes the connection, which a peer does when its call times out. If
        the handler raises an exception, the exception is logged and the
        connection is closed without a reply.

        Args:
            kind: type of the messages, a body struct of Envelope, for example
                wire.Fetch.
            handler: async function (message, sender) -> reply.

        Raises:
            LinkError: a handler is already registered for this type.
        """
        if kind in self._handlers:
            raise LinkError(
                "register handler",
                kind.__name__,
                "a handler is already registered for this message",
            )
        self._handlers[kind] = handler

    async def call(self, address: Address, message: Any, timeout: float) -> Any:
        """Sends a message to a peer and waits for its reply.

        The message is sent at most once; a failed call is not repeated.

        Args:
            address: peer address.
            message: a body struct of Envelope.
            timeout: seconds for connecting, sending and receiving together.

        Returns:
            The body struct of the reply. Its type is not checked here.

        Raises:
            LinkError: no valid reply arrived in time. The attribute "sent" of
                the error tells whether the peer may have received the
                message.
        """
        peer = format_address(address)
        sent = False
        try:
            with anyio.fail_after(timeout):
                async with await anyio.connect_tcp(*address) as stream:
                    frame = self._seal(self._call_codec, message, address)
                    sent = True
                    await self._send(stream, frame)
                    data = await self._receive(stream)
        except TimeoutError:
            text = f"no reply within {timeout:g} s"
            raise LinkError("call peer", peer, text, sent) from None
        except Exception as error:
            # A connection that is lost while it opens also appears as an error
            # of other kinds, for example one without a remote address.
            text = str(error) or type(error).__name__
            raise LinkError("call peer", peer, text, sent) from error
        if data is None:
            raise LinkError(
                "call peer", peer, "connection closed without a reply", sent
            )
        match self._open(self._reply_codec, data):
            case Err(reason):
                raise LinkError("call peer", peer, f"reply refused: {reason}")
            case Ok(envelope):
                self.counts["called"] += 1
                return find_body(envelope)

    def bind(self) -> None:
        """Binds the listening socket; run() calls this if it is not bound.

        Raises:
            OSError: the address cannot be bound.
        """
        self._listener = open_listener(self.address)
        self.address = self._listener.getsockname()

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves each connection in a task of its own, until cancelled."""
        if self._listener is None:
            self.bind()
        async with anyio.create_task_group() as group:
            task_status.started()
            with self._accept_scope:
                await self._accept(group)
            await anyio.sleep_forever()

    async def drain(self, timeout: float) -> int:
        """Stops accepting connections and waits for calls in progress.

        Args:
            timeout: longest time to wait, in seconds.

        Returns:
            The number of calls that are still in progress.
        """
        self._accept_scope.cancel()
        with anyio.move_on_after(timeout):
            if self._open_calls:
                self._no_open_calls = anyio.Event()
                await self._no_open_calls.wait()
        return self._open_calls

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns connections, calls in progress and counters."""
        return {
            "address": format_address(self.address),
            "connections": self._open_connections,
            "calls": self._open_calls,
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
            "counts": dict(self.counts),
        }

    async def _accept(self, group: TaskGroup) -> None:
        with self._listener as listener:
            await accept_connections(
                listener, self._serve_connection, group, self.counts
            )

    async def _serve_connection(
        self, connection: socket.socket, sender: Address
    ) -> None:
        if self._open_connections >= MAX_CONNECTIONS:
            self.counts["too-many-connections"] += 1
            connection.close()
            return
        self._open_connections += 1
        try:
            async with await open_stream(connection) as stream:
                while await self._serve_call(stream, sender):
                    pass
        except (OSError, anyio.BrokenResourceError, WireError) as error:
            self.counts["connections-lost"] += 1
            peer = format_address(sender)
            logger.debug("link: connection of %s lost: %r", peer, error)
        finally:
            self._open_connections -= 1

    async def _serve_call(self, stream: SocketStream, sender: Address) -> bool:
        """Serves one call; returns False if the connection must be closed."""
        with anyio.move_on_after(FRAME_TIMEOUT_S) as scope:
            data = await self._receive(stream)
        if scope.cancelled_caught or data is None:
            return False
        match self._open(self._call_codec, data):
            case Err(reason):
                peer = format_address(sender)
                logger.warning("link: frame from %s refused: %s", peer, reason)
                return False
            case Ok(envelope):
                message = find_body(envelope)
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counts["no-handler"] += 1
            return False
        self._open_calls += 1
        try:
            reply = await self._run_handler(handler, message, stream, sender)
            if reply is None:
                return False
            with anyio.fail_after(FRAME_TIMEOUT_S):
                await self._send(
                    stream, self._seal(self._reply_codec, reply, None)
                )
        except TimeoutError:
            self.counts["slow-reader"] += 1
            return False
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._no_open_calls.set()
        self.counts["served"] += 1
        return True

    async def _run_handler(
        self,
        handler: Handler,
        message: Any,
        stream: SocketStream,
        sender: Address,
    ) -> Any | None:
        """Returns the reply, or None if the handler failed or was cancelled."""
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_close, stream, group.cancel_scope)
            try:
                reply = await handler(message, sender)
            except Exception:
                kind = type(message).__name__
                peer = format_address(sender)
                logger.exception(
                    "link: handler of %s from %s failed", kind, peer
                )
                self.counts["handler-failed"] += 1
            group.cancel_scope.cancel()
        return reply

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        await stream.send(_LENGTH_PREFIX.pack(len(data)) + data)
        self.sent_bytes += _LENGTH_PREFIX.size + len(data)

    async def _receive(self, stream: SocketStream) -> bytes | None:
        """Returns the next envelope, None if the stream ends before a frame.

        Raises:
            WireError: the frame is truncated or too large, or too many bytes
                are being received from all peers together.
        """
        prefix = await _receive_up_to(stream, _LENGTH_PREFIX.size)
        if not prefix:
            return None
        size = 0
        if len(prefix) == _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack(prefix)
        self._check_size(size)
        self._pending_bytes += size
        try:
            data = await _receive_up_to(stream, size)
        finally:
            self._pending_bytes -= size
        self.received_bytes += _LENGTH_PREFIX.size + len(data)
        if len(data) < size:
            self._refuse("truncated")
        return data

    def _check_size(self, size: int) -> None:
        if size == 0:
            self._refuse("truncated")
        if size > MAX_FRAME_BYTES:
            self._refuse("oversized")
        if self._pending_bytes + size > MAX_PENDING_BYTES:
            self._refuse("busy")

    def _refuse(self, reason: str) -> None:
        self.counts[reason] += 1
        raise WireError("receive frame", "", f"frame refused: {reason}")

    def _seal(self, codec: Codec, message: Any, receiver: Any) -> bytes:
        now_ms = self._read_clock()
        return codec.seal(message, receiver, now_ms, MAX_FRAME_BYTES)

    def _open(self, codec: Codec, data: bytes) -> Result[Any, str]:
        opened = codec.open(data, self._read_clock(), MAX_FRAME_BYTES)
        if isinstance(opened, Err):
            self.counts[opened.err_value] += 1
        return opened


async def _receive_up_to(stream: SocketStream, size: int) -> bytes:
    """Receives size bytes, or fewer if the stream ends earlier."""
    data = bytearray()
    while len(data) < size:
        try:
            max_bytes = min(size - len(data), _MAX_RECEIVE_BYTES)
            data += await stream.receive(max_bytes)
        except anyio.EndOfStream:
            break
    return bytes(data)


async def cancel_on_close(
    stream: SocketStream, scope: anyio.CancelScope
) -> None:
    """Cancels the scope when the peer closes the stream or sends a byte.

    It runs during a call, in which the calling peer must not send anything.
    """
    closed = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)
    with contextlib.suppress(*closed):
        await stream.receive(1)
    scope.cancel()
