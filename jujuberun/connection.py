"""A caller's QUIC connection to one service address."""

import contextlib
import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import anyio
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from jujuberun.ids import Address
from jujuberun.port import Port
from jujuberun.quic import (
    H3_NO_ERROR,
    H3_REQUEST_CANCELLED,
    H3_REQUEST_REJECTED,
    MIN_WAIT_S,
    SERVER_CONTROL_STREAM,
    GoawayReader,
    Headers,
)
from jujuberun.wire import parse_reset, quote
from jujuberun.work import WorkResult, decode_result, make_not_run, make_unknown

OPEN_TIMEOUT_S = 3.0
# Silence before a probe is sent: with open requests, and without any.
PROBE_DELAY_S = 1.0
KEEP_ALIVE_S = 10.0
# Times after an unanswered probe: after the first, the connection takes no new
# requests; after the second, it is lost. Daemons suspect a silent peer after
# 1 s and reset its flows after 5 s. With a shorter limit than theirs, a caller
# would end flows during a short pause of an agent.
SUSPECT_TIMEOUT_S = 1.0
DEAD_TIMEOUT_S = 5.0
# A wake-up this long after its timer shows that this process was paused.
MIN_PAUSE_S = 1.0
MAX_QUOTES = 512  # recently sent datagrams that a reset may quote
MAX_ANSWER_BYTES = 16 << 20
_log = logging.getLogger(__name__)


class State(Enum):
    """State of a connection."""

    OPENING = "opening"
    OPEN = "open"
    LEAVING = "leaving"  # finishes open requests, takes no new ones
    LOST = "lost"


class SilenceAction(Enum):
    """What to do when the agent has sent nothing for some time."""

    WAIT = "wait"
    PROBE = "probe"
    SUSPECT = "suspect"  # probe again and send no new requests
    DEAD = "dead"


@dataclass(slots=True)
class SilenceDetector:
    """Detects that the agent no longer sends anything.

    Attributes:
        last_received: when a datagram last arrived, seconds, monotonic.
        first_probe: when the first probe since that datagram was sent, or
            None.
        last_probe: when the last probe was sent.
    """

    last_received: float
    first_probe: float | None = None
    last_probe: float = 0.0

    def record_datagram(self, now: float) -> None:
        """Records that a datagram has arrived."""
        self.last_received = now
        self.first_probe = None

    def decide(self, now: float, busy: bool) -> SilenceAction:
        """Returns what to do now and records the probes to send.

        Args:
            now: seconds, monotonic.
            busy: whether requests are open.
        """
        if self.first_probe is None:
            if now < self.last_received + (
                PROBE_DELAY_S if busy else KEEP_ALIVE_S
            ):
                return SilenceAction.WAIT
            self.first_probe = self.last_probe = now
            return SilenceAction.PROBE
        if now >= self.first_probe + DEAD_TIMEOUT_S:
            return SilenceAction.DEAD
        if now < self.last_probe + SUSPECT_TIMEOUT_S:
            return SilenceAction.WAIT
        self.last_probe = now
        return SilenceAction.SUSPECT

    def find_timer(self, busy: bool) -> float:
        """Returns when decide must be called next, seconds, monotonic."""
        if self.first_probe is None:
            return self.last_received + (
                PROBE_DELAY_S if busy else KEEP_ALIVE_S
            )
        return min(
            self.last_probe + SUSPECT_TIMEOUT_S,
            self.first_probe + DEAD_TIMEOUT_S,
        )


class _PendingRequest:
    """A request that waits for its result.

    Attributes:
        headers: header fields of the answer.
        body: the part of the answer's body received so far.
        result: the result, None until done is set.
        done: set together with result.
    """

    __slots__ = ("body", "done", "headers", "result")

    def __init__(self) -> None:
        self.headers: Headers = ()
        self.body = bytearray()
        self.result: WorkResult | None = None
        self.done = anyio.Event()

    def finish(self, result: WorkResult) -> None:
        if self.result is None:
            self.result = result
            self.done.set()


class Connection:
    """Sends requests in parallel over one QUIC connection.

    The task of run() drives it; requests are sent by the tasks of exchange().

    Attributes:
        state: OPENING, OPEN, LEAVING or LOST.
        failure: result of requests that were never sent; valid once LOST.
    """

    def __init__(
        self,
        address: Address,
        port: Port,
        tls: QuicConfiguration,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.state = State.OPENING
        self.failure = make_not_run("not-connected")
        self._address = address
        self._port = port
        self._clock = clock
        self._quic = QuicConnection(configuration=tls)
        self._http: H3Connection | None = None
        self._pending: dict[int, _PendingRequest] = {}
        self._quotes: OrderedDict[bytes, None] = OrderedDict()
        self._goaway = GoawayReader()
        self._handshake_done = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._silence = SilenceDetector(clock())
        self._opening_since = clock()

    @property
    def open_requests(self) -> int:
        """Number of requests without a result."""
        return len(self._pending)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the connection's state as JSON types."""
        return {
            "state": self.state.value,
            "open_requests": len(self._pending),
            "silent_s": round(now - self._silence.last_received, 3),
        }

    async def run(self) -> None:
        """Drives the connection until it is lost or closed."""
        try:
            now = self._clock()
            self._quic.connect(self._address, now)
            self._transmit()
            while self.state is not State.LOST:
                now = self._clock()
                timer = self._find_timer(now)
                packets = []
                delay = max(MIN_WAIT_S, timer - now)
                with anyio.move_on_after(delay) as self._scope:
                    packets = await self._port.receive()
                self._step(packets, timer)
        finally:
            self._fail("closed")
            self._quic.close(error_code=H3_NO_ERROR)
            self._transmit()
            self._port.close()

    async def wait_handshake(self) -> None:
        """Waits until the handshake has completed or failed."""
        await self._handshake_done.wait()

    async def exchange(self, headers: Headers, body: bytes) -> WorkResult:
        """Sends a request and waits for its result.

        If this call is cancelled, the agent is told to cancel the request.

        Args:
            headers: all header fields, pseudo-header fields first.
            body: complete body.

        Returns:
            The agent's result; UNKNOWN if the connection was lost; a refusal
            if the connection takes no new requests.
        """
        if self.state is not State.OPEN:
            return make_not_run("connection-leaving")
        stream = self._quic.get_next_available_stream_id()
        request = self._pending[stream] = _PendingRequest()
        self._http.send_headers(stream, list(headers), end_stream=not body)
        if body:
            self._http.send_data(stream, body, end_stream=True)
        self._transmit_and_rearm()
        try:
            await request.done.wait()
        finally:
            del self._pending[stream]
            if request.result is None and self.state is not State.LOST:
                self._cancel_stream(stream)
            self._transmit_and_rearm()
        return request.result

    def leave(self) -> None:
        """Takes no new requests; run() returns after the open ones are done."""
        if self.state is State.OPENING:
            self._fail("closed")
        if self.state is State.OPEN:
            self.state = State.LEAVING
        self._transmit_and_rearm()

    def _cancel_stream(self, stream: int) -> None:
        self._quic.reset_stream(stream, H3_REQUEST_CANCELLED)
        with contextlib.suppress(ValueError):
            # aioquic discards a stream once its last byte has arrived.
            self._quic.stop_stream(stream, H3_REQUEST_CANCELLED)

    def _transmit_and_rearm(self) -> None:
        """Sends pending datagrams and updates the wake-up time of run()."""
        if self.state is State.LOST:
            return
        self._transmit()
        if self._scope is not None:
            delay = self._find_timer(self._clock()) - self._clock()
            self._scope.deadline = anyio.current_time() + max(MIN_WAIT_S, delay)

    def _find_timer(self, now: float) -> float:
        if self.state is State.LEAVING and not self._pending:
            return now
        timer = self._quic.get_timer() or now + KEEP_ALIVE_S
        if self.state is State.OPENING:
            return min(timer, self._opening_since + OPEN_TIMEOUT_S)
        return min(timer, self._silence.find_timer(bool(self._pending)))

    def _step(self, packets: list[tuple[bytes, Address]], timer: float) -> None:
        now = self._clock()
        if now > timer + MIN_PAUSE_S:
            # This process was paused: missing answers do not show that the
            # agent is silent.
            self._silence.first_probe = None
        for data, _ in packets:
            self._handle_datagram(data, now)
        due = self._quic.get_timer()
        if due is not None and now >= due:
            self._quic.handle_timer(now)
        self._handle_events()
        self._check_silence(now)
        if self.state is State.LEAVING and not self._pending:
            self._fail("closed")
        self._transmit()

    def _handle_datagram(self, data: bytes, now: float) -> None:
        reset = parse_reset(data)
        if reset is None:
            self._silence.record_datagram(now)
            self._quic.receive_datagram(data, self._address, now)
            return
        # A reset is genuine only if it quotes a datagram of this connection:
        # only hosts on its path have seen one.
        if reset.quoted in self._quotes:
            self._fail(f"reset-{reset.reason}", (reset.retry_after or 0) / 1000)

    def _check_silence(self, now: float) -> None:
        match self.state:
            case State.LOST:
                return
            case State.OPENING:
                if now >= self._opening_since + OPEN_TIMEOUT_S:
                    self._fail("no-reply")
                return
        match self._silence.decide(now, bool(self._pending)):
            case SilenceAction.PROBE:
                self._quic.send_ping(0)
            case SilenceAction.SUSPECT:
                # Open requests may still be answered; new ones use another
                # connection. The ping is needed because the interval of
                # QUIC's own probes grows beyond DEAD_TIMEOUT_S: an agent that
                # resumes after 4 s would not be noticed in time.
                self.state = State.LEAVING
                self._quic.send_ping(0)
            case SilenceAction.DEAD:
                self._fail("silent")

    def _handle_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            match event:
                case events.HandshakeCompleted():
                    self._http = H3Connection(self._quic)
                    self.state = State.OPEN
                    self._handshake_done.set()
                case events.ConnectionTerminated():
                    self._fail("connection-closed")
                case events.StreamReset(stream_id=stream, error_code=code):
                    self._handle_stream_reset(stream, code)
                case events.StreamDataReceived(stream_id=stream, data=data):
                    if stream == SERVER_CONTROL_STREAM:
                        self._handle_control_data(data)
            if self._http is None:
                continue
            for http_event in self._http.handle_event(event):
                self._handle_http(http_event)

    def _handle_control_data(self, data: bytes) -> None:
        first_refused = self._goaway.read(data)
        if first_refused is None:
            return
        if self.state is State.OPEN:
            self.state = State.LEAVING
        for stream, request in self._pending.items():
            if stream >= first_refused:
                request.finish(make_not_run("draining"))

    def _handle_stream_reset(self, stream: int, code: int) -> None:
        request = self._pending.get(stream)
        if request is None:
            return
        if code == H3_REQUEST_REJECTED:
            request.finish(make_not_run("rejected"))
        else:
            request.finish(make_unknown("broken-off"))

    def _handle_http(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(stream_id=stream, headers=headers):
                request = self._pending.get(stream)
                if request is not None and not request.headers:
                    request.headers = tuple(headers)
            case DataReceived(stream_id=stream, data=data):
                request = self._pending.get(stream)
                if request is not None:
                    request.body += data or b""
            case _:
                return
        if request is None:
            return
        if len(request.body) > MAX_ANSWER_BYTES:
            self._cancel_stream(stream)
            request.finish(make_unknown("answer-too-large"))
        if event.stream_ended:
            request.finish(decode_result(request.headers, bytes(request.body)))

    def _fail(self, reason: str, retry_after: float = 0.0) -> None:
        if self.state is State.LOST:
            return
        if self.state is State.OPENING:
            self.failure = make_not_run(reason, retry_after)
        self.state = State.LOST
        self._handshake_done.set()
        for request in self._pending.values():
            request.finish(make_unknown(reason))
        _log.info(
            "caller: connection to %s:%d ended: %s", *self._address, reason
        )

    def _transmit(self) -> None:
        for data, _ in self._quic.datagrams_to_send(self._clock()):
            self._quotes[quote(data)] = None
            if len(self._quotes) > MAX_QUOTES:
                self._quotes.popitem(last=False)
            self._port.send(data, self._address)
