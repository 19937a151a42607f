"""Framed Thrift over TCP between daemons, in the sealed envelope.

A frame is its length (4 bytes, big endian) and a sealed envelope. A connection
carries one call at a time: a frame with a message, then a frame with its
reply.
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
from jujuberun.errors import LinkError, WireError
from jujuberun.ids import Address
from jujuberun.wire import Codec, Signer, find_body, read_wall_clock

MAX_FRAME_BYTES = 2 << 20  # twice the platform's largest value
MAX_CONNECTIONS = 512  # accepted and open at the same time
# Frames may be incomplete and unverified up to this total, so that no peer can
# use up the daemon's 128 MB.
MAX_PENDING_BYTES = 16 << 20
FRAME_TIMEOUT_S = 10.0  # idle connections and slow senders are closed
_BACKLOG = 1024
_LENGTH = struct.Struct(">I")
_RECEIVE_BYTES = 65_536

Handler = Callable[[Any, Address], Awaitable[Any]]

logger = logging.getLogger(__name__)


class Link:
    """Answers calls of peers and calls peers.

    Both directions use their own incarnations, apart from those of the
    datagrams: TCP messages may arrive long after datagrams that were sent
    later, and one shared replay window would refuse them.

    Attributes:
        address: where it listens; the port is known once it is bound.
        counts: calls by result: "served", "called", and refused frames by
            reason.
        sent_bytes: bytes of frames sent.
        received_bytes: bytes of frames received.
    """

    name = "link"

    def __init__(
        self,
        address: Address,
        signer: Signer,
        read_clock: Callable[[], int] = read_wall_clock,
    ) -> None:
        """Args: address to listen on, MAC keys, wall clock in ms."""
        self.address = address
        self.counts: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received_bytes = 0
        self._calls = Codec(signer)
        self._replies = Codec(signer)
        self._read_clock = read_clock
        self._handlers: dict[type, Handler] = {}
        self._listener: Any = None
        self._scope = anyio.CancelScope()
        self._open_connections = 0
        self._open_calls = 0
        self._idle = anyio.Event()
        self._pending_bytes = 0

    def serve(self, kind: type, handler: Handler) -> None:
        """Registers the handler of one kind of message.

        The handler is awaited with the message and the sender's address (its
        port is not the sender's peer port) and returns the reply, a body
        struct of Envelope. It is cancelled when the caller closes the
        connection, as a caller does when its timeout ends. If it raises, the
        error is logged and the connection is closed without a reply.

        Args:
            kind: a body struct of Envelope, for example wire.Fetch.
            handler: async function (message, sender) -> reply.

        Raises:
            LinkError: the kind has a handler already.
        """
        if kind in self._handlers:
            raise LinkError("register handler", kind.__name__, "has one")
        self._handlers[kind] = handler

    async def call(self, address: Address, message: Any, timeout: float) -> Any:
        """Sends a message to a peer and waits for its reply.

        Nothing is ever sent twice.

        Args:
            address: peer address.
            message: a body struct of Envelope.
            timeout: seconds for connection, message and reply together.

        Returns:
            The reply's body struct; its kind is the caller's to check.

        Raises:
            LinkError: no valid reply in time; its attribute "sent" tells
                whether the peer may have received the message.
        """
        peer = format_address(address)
        sent = False
        try:
            with anyio.fail_after(timeout):
                async with await anyio.connect_tcp(*address) as stream:
                    frame = self._seal(self._calls, message, address)
                    sent = True
                    await self._send(stream, frame)
                    data = await self._receive(stream)
        except TimeoutError:
            text = f"no reply within {timeout:g} s"
            raise LinkError("call peer", peer, text, sent) from None
        except (OSError, anyio.BrokenResourceError, WireError) as error:
            text = str(error) or type(error).__name__
            raise LinkError("call peer", peer, text, sent) from error
        if data is None:
            raise LinkError("call peer", peer, "closed without a reply", sent)
        match self._open(self._replies, data):
            case Err(reason):
                raise LinkError("call peer", peer, f"reply refused: {reason}")
            case Ok(envelope):
                self.counts["called"] += 1
                return find_body(envelope)

    def bind(self) -> None:
        """Binds the listening socket; run() does it when it is not done.

        Raises:
            OSError: the address cannot be bound.
        """
        listener = socket.create_server(self.address, backlog=_BACKLOG)
        listener.setblocking(False)
        self._listener = listener
        self.address = listener.getsockname()

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts connections until cancelled, with a task for each."""
        if self._listener is None:
            self.bind()
        async with anyio.create_task_group() as group:
            task_status.started()
            with self._scope:
                await self._accept(group)
            await anyio.sleep_forever()

    async def drain(self, timeout: float) -> int:
        """Accepts no more connections and waits for calls in progress.

        Args:
            timeout: seconds to wait at most.

        Returns:
            The number of calls that are still in progress.
        """
        self._scope.cancel()
        with anyio.move_on_after(timeout):
            if self._open_calls:
                self._idle = anyio.Event()
                await self._idle.wait()
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
        # asyncio's own accept loses a connection that arrives while it is
        # cancelled; here nothing is accepted outside this task.
        with self._listener as listener:
            while True:
                await anyio.wait_readable(listener)
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    connection, _ = listener.accept()
                    group.start_soon(self._serve_connection, connection)

    async def _serve_connection(self, connection: socket.socket) -> None:
        if self._open_connections >= MAX_CONNECTIONS:
            self.counts["too-many-connections"] += 1
            connection.close()
            return
        self._open_connections += 1
        try:
            async with await SocketStream.from_socket(connection) as stream:
                sender = stream.extra(anyio.abc.SocketAttribute.remote_address)
                while await self._serve_call(stream, sender):
                    pass
        except (OSError, anyio.BrokenResourceError, WireError) as error:
            logger.debug("link: connection lost: %r", error)
        finally:
            self._open_connections -= 1

    async def _serve_call(self, stream: SocketStream, sender: Address) -> bool:
        """Serves one call; False when the connection is to be closed."""
        with anyio.move_on_after(FRAME_TIMEOUT_S) as scope:
            data = await self._receive(stream)
        if scope.cancelled_caught or data is None:
            return False
        match self._open(self._calls, data):
            case Err(reason):
                peer = format_address(sender)
                logger.warning("link: frame of %s refused: %s", peer, reason)
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
                await self._send(stream, self._seal(self._replies, reply, None))
        except TimeoutError:
            self.counts["slow-reader"] += 1
            return False
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._idle.set()
        self.counts["served"] += 1
        return True

    async def _run_handler(
        self,
        handler: Handler,
        message: Any,
        stream: SocketStream,
        sender: Address,
    ) -> Any | None:
        """Returns the reply, or None when the handler failed or was left."""
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(watch_closing, stream, group.cancel_scope)
            try:
                reply = await handler(message, sender)
            except Exception:
                kind = type(message).__name__
                peer = format_address(sender)
                logger.exception("link: %s of %s failed", kind, peer)
                self.counts["handler-failed"] += 1
            group.cancel_scope.cancel()
        return reply

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        await stream.send(_LENGTH.pack(len(data)) + data)
        self.sent_bytes += _LENGTH.size + len(data)

    async def _receive(self, stream: SocketStream) -> bytes | None:
        """Returns the next frame, or None at a regular end."""
        head = await _receive_exactly(stream, _LENGTH.size)
        if not head:
            return None
        size = 0
        if len(head) == _LENGTH.size:
            (size,) = _LENGTH.unpack(head)
        self._check_size(size)
        self._pending_bytes += size
        try:
            data = await _receive_exactly(stream, size)
        finally:
            self._pending_bytes -= size
        self.received_bytes += _LENGTH.size + len(data)
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


async def _receive_exactly(stream: SocketStream, size: int) -> bytes:
    """Receives size bytes, or fewer when the stream ends before."""
    data = bytearray()
    while len(data) < size:
        try:
            wanted = min(size - len(data), _RECEIVE_BYTES)
            data += await stream.receive(wanted)
        except anyio.EndOfStream:
            break
    return bytes(data)


async def watch_closing(stream: SocketStream, scope: anyio.CancelScope) -> None:
    """Cancels the scope when the caller closes or sends out of turn."""
    closed = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)
    with contextlib.suppress(*closed):
        await stream.receive(1)
    scope.cancel()
