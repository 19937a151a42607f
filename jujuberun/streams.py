"""Request flows at the agent: the server side of QUIC and HTTP/3."""

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import anyio
from aioquic.buffer import Buffer
from aioquic.h3.connection import (
    H3Connection,
    ProtocolError,
    validate_response_headers,
)
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from anyio.abc import TaskGroup

from jujuberun.first_packet import FirstPacket, FirstPacketRule
from jujuberun.manifest import Service
from jujuberun.quic import (
    H3_NO_ERROR,
    H3_REQUEST_CANCELLED,
    MIN_WAIT_S,
    PEER_ADDRESS,
    SERVER_CONTROL_STREAM,
    Headers,
    encode_goaway,
)
from jujuberun.wire import make_reset
from jujuberun.work import (
    Work,
    WorkResult,
    encode_result,
    make_not_run,
    make_unknown,
    parse_work,
)

HANDSHAKE_TIMEOUT_S = 10.0
# During a drain, a connection stays open for this time after its last answer,
# so that lost packets of the answer can be sent again.
DRAIN_LINGER_S = 3.0
BODY_TIMEOUT_S = 30.0  # from the header fields to the end of the body
# A full inbox drops its oldest packets; QUIC sends lost data again.
MAX_INBOX_PACKETS = 512
MAX_BODY_BYTES = 4 << 20  # body of one request
# Total size of the bodies of all open requests of a flow.
MAX_FLOW_BODY_BYTES = 8 << 20
_CID_PREFIX_BYTES = 8
_QUIC_FIRST_PACKET = FirstPacket(FirstPacketRule.QUIC)
_log = logging.getLogger(__name__)


class Executor(Protocol):
    """The interface of the runner that a flow uses."""

    async def execute(self, work: Work, now: float) -> WorkResult:
        """Runs a request at most once and returns its result."""


class _RequestStream:
    """The state of one request stream.

    Attributes:
        headers: header fields of the request.
        arrived: when the header fields arrived, seconds, monotonic.
        body: the part of the body received so far.
        complete: set once the body is complete or the request is refused.
        scope: cancelled when the caller cancels the request.
        refusal: why the request will not run, empty if it may run.
    """

    __slots__ = ("arrived", "body", "complete", "headers", "refusal", "scope")

    def __init__(self, headers: Headers, arrived: float) -> None:
        self.headers = headers
        self.arrived = arrived
        self.body = bytearray()
        self.complete = anyio.Event()
        self.scope = anyio.CancelScope()
        self.refusal = ""


class RequestFlow:
    """Terminates the QUIC connection of one flow.

    The task of run() drives the connection; each request has its own task.

    Attributes:
        service: the service of the flow; it never changes.
    """

    def __init__(
        self,
        service: Service,
        send: Callable[[bytes], None],
        runner: Executor,
        tls: QuicConfiguration,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.service = service
        self._send = send
        self._runner = runner
        self._tls = tls
        self._clock = clock
        self._inbox: deque[tuple[bytes, float]] = deque(
            maxlen=MAX_INBOX_PACKETS
        )
        self._wake = anyio.Event()
        self._quic: QuicConnection | None = None
        self._initial_cids: tuple[bytes, bytes] = (b"", b"")
        self._http: H3Connection | None = None
        self._requests: dict[int, _RequestStream] = {}
        self._next_stream = 0
        self._request_count = 0
        self._body_bytes = 0
        self._draining = False
        self._goaway_sent = False
        self._ended = False
        self._active_at = clock()  # last datagram or end of a request
        self._served_at = clock()  # last end of a request that was not refused

    @classmethod
    def from_config(
        cls,
        service: Service,
        send: Callable[[bytes], None],
        runner: Executor,
        tls: QuicConfiguration,
    ) -> "RequestFlow":
        """Builds the flow of one caller.

        Args:
            service: the service that the flow belongs to.
            send: sends a datagram to the caller.
            runner: runs the requests.
            tls: configuration from load_server_tls.
        """
        return cls(service, send, runner, tls)

    @property
    def open_requests(self) -> int:
        """Number of requests whose result is not known yet."""
        return len(self._requests)

    def deliver(self, payload: bytes, now: float) -> None:
        """Queues a datagram; it may arrive out of order or more than once.

        Args:
            payload: datagram from the caller.
            now: time of arrival, seconds, monotonic.
        """
        self._inbox.append((payload, now))
        self._wake.set()

    def drain(self) -> None:
        """Refuses new requests; run() returns after the open ones are done."""
        if not self._draining:
            self._served_at = max(self._served_at, self._clock())
        self._draining = True
        self._wake.set()

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the flow's state as JSON types."""
        return {
            "service": self.service.id,
            "protocol": self.service.protocol.value,
            "established": self._http is not None,
            "draining": self._draining,
            "open_requests": self.open_requests,
            "requests": self._request_count,
            "idle_s": round(now - self._active_at, 3),
        }

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            async with anyio.create_task_group() as group:
                while not self._ended:
                    await self._wait_for_input()
                    self._receive()
                    self._handle_events(group)
                    self._check_drain()
                    self._transmit()
                group.cancel_scope.cancel()
        finally:
            self._close()

    async def _wait_for_input(self) -> None:
        delay = max(MIN_WAIT_S, self._find_timer() - self._clock())
        with anyio.move_on_after(delay):
            await self._wake.wait()
        self._wake = anyio.Event()

    def _find_timer(self) -> float:
        timer = self._active_at + HANDSHAKE_TIMEOUT_S
        if self._quic is not None:
            timer = self._quic.get_timer() or timer
        if self._http is None:
            timer = min(timer, self._active_at + HANDSHAKE_TIMEOUT_S)
        if self._draining and not self._requests:
            timer = min(timer, self._served_at + DRAIN_LINGER_S)
        return timer

    def _receive(self) -> None:
        # All queued packets are processed before the task of a request
        # starts, so that a request does not run if its cancellation is
        # already in the queue.
        while self._inbox:
            payload, now = self._inbox.popleft()
            if self._quic is None and not self._accept_initial(payload):
                continue
            if self._starts_other_connection(payload):
                # If a new Initial packet replaced the connection, a forged
                # packet could end it.
                self._send(make_reset("flow-in-use", 0, payload))
                continue
            self._active_at = max(self._active_at, now)
            self._quic.receive_datagram(payload, PEER_ADDRESS, now)
        now = self._clock()
        if self._quic is not None:
            timer = self._quic.get_timer()
            if timer is not None and now >= timer:
                self._quic.handle_timer(now)
        if self._http is None and now >= self._active_at + HANDSHAKE_TIMEOUT_S:
            self._ended = True

    def _accept_initial(self, payload: bytes) -> bool:
        """Creates the connection if the packet is a valid Initial packet."""
        try:
            header = pull_quic_header(
                Buffer(data=payload),
                host_cid_length=self._tls.connection_id_length,
            )
        except ValueError:
            return False
        if header.packet_type != QuicPacketType.INITIAL:
            return False
        if header.version not in self._tls.supported_versions:
            return False
        self._quic = QuicConnection(
            configuration=self._tls,
            original_destination_connection_id=header.destination_cid,
        )
        # The caller's Initial packets carry one of these destination ids.
        # 8 bytes distinguish connections; RFC 9000 requires at least 8 in the
        # first Initial packet.
        self._initial_cids = (
            header.destination_cid[:_CID_PREFIX_BYTES],
            self._quic.host_cid[:_CID_PREFIX_BYTES],
        )
        return True

    def _starts_other_connection(self, payload: bytes) -> bool:
        """Returns whether a packet is the start of another connection."""
        if len(payload) < 14 or not _QUIC_FIRST_PACKET.accepts(payload):
            return False
        return payload[6 : 6 + _CID_PREFIX_BYTES] not in self._initial_cids

    def _handle_events(self, group: TaskGroup) -> None:
        if self._quic is None:
            return
        while (event := self._quic.next_event()) is not None:
            match event:
                case events.ProtocolNegotiated():
                    self._http = H3Connection(self._quic)
                case events.ConnectionTerminated():
                    self._ended = True
                case events.StreamReset() | events.StopSendingReceived():
                    self._cancel_request(event.stream_id)
            if self._http is None:
                continue
            for http_event in self._http.handle_event(event):
                self._handle_http(http_event, group)

    def _handle_http(self, event: H3Event, group: TaskGroup) -> None:
        match event:
            case HeadersReceived(stream_id=stream):
                if stream not in self._requests and stream >= 0:
                    self._open_request(stream, tuple(event.headers), group)
            case DataReceived(stream_id=stream):
                self._add_body_data(stream, event.data or b"")
            case _:
                return
        request = self._requests.get(stream)
        if event.stream_ended and request is not None:
            request.complete.set()

    def _open_request(
        self, stream: int, headers: Headers, group: TaskGroup
    ) -> None:
        request = _RequestStream(headers, self._clock())
        if self._draining:
            request.refusal = "draining"
            request.complete.set()
        self._next_stream = max(self._next_stream, stream + 4)
        self._requests[stream] = request
        self._request_count += 1
        group.start_soon(self._serve, stream, request)

    def _add_body_data(self, stream: int, data: bytes) -> None:
        request = self._requests.get(stream)
        if request is None or request.refusal:
            return
        self._body_bytes += len(data)
        request.body += data
        if (
            len(request.body) > MAX_BODY_BYTES
            or self._body_bytes > MAX_FLOW_BODY_BYTES
        ):
            request.refusal = "body-too-large"
            request.complete.set()

    def _cancel_request(self, stream: int) -> None:
        request = self._requests.get(stream)
        if request is None:
            return
        request.scope.cancel()
        self._quic.reset_stream(stream, H3_REQUEST_CANCELLED)

    async def _serve(self, stream: int, request: _RequestStream) -> None:
        result = None
        try:
            with request.scope:
                result = await self._execute(request)
        finally:
            self._body_bytes -= len(request.body)
            del self._requests[stream]
            self._active_at = max(self._active_at, self._clock())
            if not request.refusal:
                self._served_at = self._active_at
            self._wake.set()
        if result is not None and not request.scope.cancel_called:
            self._respond(stream, result)

    async def _execute(self, request: _RequestStream) -> WorkResult:
        with anyio.move_on_after(BODY_TIMEOUT_S):
            await request.complete.wait()
        if not request.complete.is_set():
            return make_not_run("body-incomplete")
        if request.refusal:
            return make_not_run(request.refusal)
        work = parse_work(
            self.service, request.headers, bytes(request.body), request.arrived
        )
        if isinstance(work, WorkResult):
            return work
        try:
            return await self._runner.execute(work, self._clock())
        except Exception:
            # One failing request must not end the others of its connection.
            _log.exception("streams: request %s failed", work.id)
            return make_unknown("internal-error")

    def _respond(self, stream: int, result: WorkResult) -> None:
        if self._ended:
            return
        body = result.body
        headers = encode_result(result)
        try:
            validate_response_headers(headers)
        except ProtocolError:
            # Malformed header fields would make the caller close the
            # connection with all its requests.
            body = b""
            headers = encode_result(make_unknown("malformed-answer"))
        self._http.send_headers(stream, headers, end_stream=not body)
        if body:
            self._http.send_data(stream, body, end_stream=True)

    def _check_drain(self) -> None:
        if not self._draining or self._ended:
            return
        if self._http is not None and not self._goaway_sent:
            self._goaway_sent = True
            frame = encode_goaway(self._next_stream)
            self._quic.send_stream_data(SERVER_CONTROL_STREAM, frame)
        if self._clock() < self._served_at + DRAIN_LINGER_S:
            return
        self._ended = all(r.refusal for r in self._requests.values())

    def _transmit(self) -> None:
        if self._quic is None:
            return
        for payload, _ in self._quic.datagrams_to_send(self._clock()):
            self._send(payload)

    def _close(self) -> None:
        """Closes the connection; sends CONNECTION_CLOSE if it is still open."""
        self._ended = True
        if self._quic is not None:
            self._quic.close(error_code=H3_NO_ERROR)
            self._transmit()
