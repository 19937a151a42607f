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
from jujuberun.work import WorkResult, decode_result, lose, refuse

OPEN_TIMEOUT_S = 3.0
PROBE_S = 1.0  # of silence with requests open
KEEP_ALIVE_S = 10.0  # of silence without any
# A daemon suspects a silent peer after 1 s and resets its flows after 5 s;
# a caller that gave up sooner would break flows over a short pause.
SUSPECT_S = 1.0  # after an unanswered probe: no new requests
DEAD_S = 5.0  # after an unanswered probe: the connection is lost
PAUSE_S = 1.0  # a later wake-up than this shows that this process was paused
MAX_QUOTES = 512  # recent datagrams that a reset may quote
MAX_ANSWER_BYTES = 16 << 20
_log = logging.getLogger(__name__)


class State(Enum):
    """State of a connection."""

    OPENING = "opening"
    OPEN = "open"
    LEAVING = "leaving"  # finishes its requests, takes no new ones
    LOST = "lost"


class Silence(Enum):
    """What to do about the silence of the other side."""

    WAIT = "wait"
    PROBE = "probe"
    SUSPECT = "suspect"  # probe again, and send no new requests
    DEAD = "dead"


@dataclass(slots=True)
class SilenceWatch:
    """Notices that the other side has gone silent.

    Attributes:
        heard: when a datagram last arrived, seconds, monotonic.
        probed: when the first probe was sent that nothing has followed, or
            None.
        last: when the last probe was sent.
    """

    heard: float
    probed: float | None = None
    last: float = 0.0

    def hear(self, now: float) -> None:
        """Records a datagram."""
        self.heard = now
        self.probed = None

    def decide(self, now: float, busy: bool) -> Silence:
        """Returns what to do now.

        Args:
            now: seconds, monotonic.
            busy: whether requests are open.
        """
        if self.probed is None:
            if now < self.heard + (PROBE_S if busy else KEEP_ALIVE_S):
                return Silence.WAIT
            self.probed = self.last = now
            return Silence.PROBE
        if now >= self.probed + DEAD_S:
            return Silence.DEAD
        if now < self.last + SUSPECT_S:
            return Silence.WAIT
        self.last = now
        return Silence.SUSPECT

    def find_timer(self, busy: bool) -> float:
        """Returns when decide next has news, seconds, monotonic."""
        if self.probed is None:
            return self.heard + (PROBE_S if busy else KEEP_ALIVE_S)
        return min(self.last + SUSPECT_S, self.probed + DEAD_S)


class _Call:
    """One request stream.

    Attributes:
        headers: header fields of the answer.
        body: what has arrived of the answer.
        result: set with done.
        done: set once it is known what became of the request.
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
        failure: once LOST, what a request learns that was never sent.
    """

    def __init__(
        self,
        address: Address,
        port: Port,
        tls: QuicConfiguration,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.state = State.OPENING
        self.failure = refuse("not-connected")
        self._address = address
        self._port = port
        self._clock = clock
        self._quic = QuicConnection(configuration=tls)
        self._http: H3Connection | None = None
        self._calls: dict[int, _Call] = {}
        self._quotes: OrderedDict[bytes, None] = OrderedDict()
        self._goaway = GoawayReader()
        self._settled = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._watch = SilenceWatch(clock())
        self._opened = clock()

    @property
    def open_requests(self) -> int:
        """Requests without an answer."""
        return len(self._calls)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the connection's state as JSON types."""
        return {
            "state": self.state.value,
            "open_requests": len(self._calls),
            "silent_s": round(now - self._watch.heard, 3),
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
            self._lose("closed")
            self._quic.close(error_code=H3_NO_ERROR)
            self._transmit()
            self._port.close()

    async def wait_settled(self) -> None:
        """Waits until the state is no longer OPENING."""
        await self._settled.wait()

    async def exchange(self, headers: Headers, body: bytes) -> WorkResult:
        """Sends a request and waits for what became of it.

        Cancelling the call withdraws the request at the agent.

        Args:
            headers: all header fields, pseudo-header fields first.
            body: whole body.

        Returns:
            The agent's word; UNKNOWN when the connection was lost.
        """
        if self.state is not State.OPEN:
            return refuse("connection-leaving")
        stream = self._quic.get_next_available_stream_id()
        call = self._calls[stream] = _Call()
        self._http.send_headers(stream, list(headers), end_stream=not body)
        if body:
            self._http.send_data(stream, body, end_stream=True)
        self._kick()
        try:
            await call.done.wait()
        finally:
            del self._calls[stream]
            if call.result is None and self.state is not State.LOST:
                self._withdraw(stream)
            self._kick()
        return call.result

    def leave(self) -> None:
        """Takes no new requests; run() returns once the open ones are done."""
        if self.state is State.OPENING:
            self._lose("closed")
        if self.state is State.OPEN:
            self.state = State.LEAVING
        self._kick()

    def _withdraw(self, stream: int) -> None:
        self._quic.reset_stream(stream, H3_REQUEST_CANCELLED)
        with contextlib.suppress(ValueError):
            # aioquic has forgotten a stream whose last byte has arrived.
            self._quic.stop_stream(stream, H3_REQUEST_CANCELLED)

    def _kick(self) -> None:
        """Sends what is due and lets run() look at its timers again."""
        if self.state is State.LOST:
            return
        self._transmit()
        if self._scope is not None:
            delay = self._find_timer(self._clock()) - self._clock()
            self._scope.deadline = anyio.current_time() + max(MIN_WAIT_S, delay)

    def _find_timer(self, now: float) -> float:
        if self.state is State.LEAVING and not self._calls:
            return now
        timer = self._quic.get_timer() or now + KEEP_ALIVE_S
        if self.state is State.OPENING:
            return min(timer, self._opened + OPEN_TIMEOUT_S)
        return min(timer, self._watch.find_timer(bool(self._calls)))

    def _step(self, packets: list[tuple[bytes, Address]], timer: float) -> None:
        now = self._clock()
        if now > timer + PAUSE_S:
            # This process was paused: the silence proves nothing.
            self._watch.probed = None
        for data, _ in packets:
            self._take_packet(data, now)
        due = self._quic.get_timer()
        if due is not None and now >= due:
            self._quic.handle_timer(now)
        self._handle_events()
        self._check_silence(now)
        if self.state is State.LEAVING and not self._calls:
            self._lose("closed")
        self._transmit()

    def _take_packet(self, data: bytes, now: float) -> None:
        reset = parse_reset(data)
        if reset is None:
            self._watch.hear(now)
            self._quic.receive_datagram(data, self._address, now)
            return
        # Only who saw a datagram of this connection can quote it.
        if reset.quoted in self._quotes:
            self._lose(f"reset-{reset.reason}", (reset.retry_after or 0) / 1000)

    def _check_silence(self, now: float) -> None:
        match self.state:
            case State.LOST:
                return
            case State.OPENING:
                if now >= self._opened + OPEN_TIMEOUT_S:
                    self._lose("no-reply")
                return
        match self._watch.decide(now, bool(self._calls)):
            case Silence.PROBE:
                self._quic.send_ping(0)
            case Silence.SUSPECT:
                # Its answers are still taken, but new requests go elsewhere.
                # QUIC's own probes back off beyond DEAD_S, so that a peer
                # that resumes after 4 s would not be noticed in time.
                self.state = State.LEAVING
                self._quic.send_ping(0)
            case Silence.DEAD:
                self._lose("silent")

    def _handle_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            match event:
                case events.HandshakeCompleted():
                    self._http = H3Connection(self._quic)
                    self.state = State.OPEN
                    self._settled.set()
                case events.ConnectionTerminated():
                    self._lose("connection-closed")
                case events.StreamReset(stream_id=stream, error_code=code):
                    self._take_stream_reset(stream, code)
                case events.StreamDataReceived(stream_id=stream, data=data):
                    if stream == SERVER_CONTROL_STREAM:
                        self._take_control(data)
            if self._http is None:
                continue
            for http_event in self._http.handle_event(event):
                self._handle_http(http_event)

    def _take_control(self, data: bytes) -> None:
        first_refused = self._goaway.read(data)
        if first_refused is None:
            return
        if self.state is State.OPEN:
            self.state = State.LEAVING
        for stream, call in self._calls.items():
            if stream >= first_refused:
                call.finish(refuse("draining"))

    def _take_stream_reset(self, stream: int, code: int) -> None:
        call = self._calls.get(stream)
        if call is None:
            return
        if code == H3_REQUEST_REJECTED:
            call.finish(refuse("rejected"))
        else:
            call.finish(lose("broken-off"))

    def _handle_http(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(stream_id=stream, headers=headers):
                call = self._calls.get(stream)
                if call is not None and not call.headers:
                    call.headers = tuple(headers)
            case DataReceived(stream_id=stream, data=data):
                call = self._calls.get(stream)
                if call is not None:
                    call.body += data or b""
            case _:
                return
        if call is None:
            return
        if len(call.body) > MAX_ANSWER_BYTES:
            self._withdraw(stream)
            call.finish(lose("answer-too-large"))
        if event.stream_ended:
            call.finish(decode_result(call.headers, bytes(call.body)))

    def _lose(self, reason: str, retry_after: float = 0.0) -> None:
        if self.state is State.LOST:
            return
        if self.state is State.OPENING:
            self.failure = refuse(reason, retry_after)
        self.state = State.LOST
        self._settled.set()
        for call in self._calls.values():
            call.finish(lose(reason))
        _log.info("caller: connection to %s:%d: %s", *self._address, reason)

    def _transmit(self) -> None:
        for data, _ in self._quic.datagrams_to_send(self._clock()):
            self._quotes[quote(data)] = None
            if len(self._quotes) > MAX_QUOTES:
                self._quotes.popitem(last=False)
            self._port.send(data, self._address)
