"""Measures the CPU cost of handshakes, requests and refusals."""

import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from jujuberun.backend import Backend
from jujuberun.caller import Caller
from jujuberun.first_packet import FirstPacket
from jujuberun.ids import (
    Address,
    Outcome,
    Protocol,
    RequestId,
    ServiceId,
    Urgency,
)
from jujuberun.manifest import Service
from jujuberun.measure import Options, Report, Row
from jujuberun.quic import PEER_ADDRESS, load_server_tls, make_client_tls
from jujuberun.standin_certificate import make_certificate
from jujuberun.standin_target import Behaviour, TargetStandin
from jujuberun.streams import RequestFlow
from jujuberun.wire import make_reset
from jujuberun.work import Work, WorkResult

_SERVICE_ADDRESS: Address = ("192.0.2.1", 443)
_BODY = b"label 4711"
_REQUEST_HEADERS = (
    (b":method", b"POST"),
    (b":scheme", b"https"),
    (b":authority", b"192.0.2.1:443"),
    (b":path", b"/print"),
    (b"request-id", b"0123456789abcdef0123456789abcdef"),
    (b"idempotent", b"false"),
    (b"deadline-ms", b"30000"),
)
_ANSWER_HEADERS = ((b":status", b"200"), (b"outcome", b"answered"))
_RETRY_AFTER_MS = 250


class _ConnectionEnd:
    """One end of a QUIC connection that counts its CPU time.

    Attributes:
        cpu_ns: CPU time used so far, in ns.
        received_messages: requests or answers received in full.
    """

    def __init__(self, quic: QuicConnection, answers_requests: bool) -> None:
        self.cpu_ns = 0
        self._quic = quic
        self._answers_requests = answers_requests
        self._http: H3Connection | None = None
        self.received_messages = 0

    def exchange(self, packets: list[bytes]) -> list[bytes]:
        """Handles received packets and returns the packets to send."""
        started = time.process_time_ns()
        now = time.monotonic()
        for packet in packets:
            self._quic.receive_datagram(packet, PEER_ADDRESS, now)
        while (event := self._quic.next_event()) is not None:
            if isinstance(event, events.ProtocolNegotiated):
                self._http = H3Connection(self._quic)
            if self._http is not None:
                for item in self._http.handle_event(event):
                    self._handle(item)
        sent = [data for data, _ in self._quic.datagrams_to_send(now)]
        self.cpu_ns += time.process_time_ns() - started
        return sent

    def connect(self) -> None:
        """Starts the handshake."""
        started = time.process_time_ns()
        self._quic.connect(PEER_ADDRESS, time.monotonic())
        self.cpu_ns += time.process_time_ns() - started

    def request(self) -> None:
        """Sends a request."""
        started = time.process_time_ns()
        stream = self._quic.get_next_available_stream_id()
        self._http.send_headers(stream, list(_REQUEST_HEADERS))
        self._http.send_data(stream, _BODY, True)
        self.cpu_ns += time.process_time_ns() - started

    def _handle(self, event: H3Event) -> None:
        if not isinstance(event, DataReceived) or not event.stream_ended:
            return
        self.received_messages += 1
        if self._answers_requests:
            self._http.send_headers(event.stream_id, list(_ANSWER_HEADERS))
            self._http.send_data(event.stream_id, _BODY, True)


class _MemoryPort:
    """A port of a caller that passes packets directly to a flow."""

    def __init__(self, deliver: Callable[[bytes, float], None]) -> None:
        self.address: Address = ("198.51.100.1", 1024)
        self._deliver = deliver
        self._inbox: list[tuple[bytes, Address]] = []
        self._packet_received = anyio.Event()

    async def receive(self) -> list[tuple[bytes, Address]]:
        while not self._inbox:
            self._packet_received = anyio.Event()
            await self._packet_received.wait()
        batch, self._inbox = self._inbox, []
        return batch

    def add_packet(self, data: bytes) -> None:
        self._inbox.append((data, _SERVICE_ADDRESS))
        self._packet_received.set()

    def send(self, data: bytes, address: Address) -> bool:
        self._deliver(data, time.monotonic())
        return True

    def close(self) -> None:
        pass


class _InstantExecutor:
    """An executor that answers each request immediately."""

    async def execute(self, work: Work, now: float) -> WorkResult:
        return WorkResult(Outcome.ANSWERED, 200, work.body)


class _NoRetries:
    """A retry budget that allows no retries."""

    def record_request(self, now: float) -> None:
        pass

    def allow_retry(self, now: float) -> bool:
        return False


def measure(options: Options) -> Report:
    """Measures the CPU time per handshake, request and refusal in one run.

    Args:
        options: seed, progress, and whether to run with few repeats.

    Returns:
        Medians in microseconds. The naive figure of the refusal is the CPU time
        of a handshake at the agent.
    """
    rounds, requests = (5, 100) if options.quick else (40, 400)
    certificate = make_certificate()
    client_tls = make_client_tls(certificate.name, certificate.certificate)
    with tempfile.TemporaryDirectory() as name:
        server_tls = load_server_tls(*certificate.write(Path(name)))
    handshake_times: list[tuple[float, float]] = []
    request_times: list[tuple[float, float]] = []
    refusal_times: list[float] = []
    for _ in range(rounds):
        start_packet, handshake_us, request_us = _measure_round(
            client_tls, server_tls, requests
        )
        handshake_times.append(handshake_us)
        request_times.append(request_us)
        refusal_times.append(_time_refusals(start_packet, requests))
    options.progress("both ends of aioquic done")
    library_us = anyio.run(_time_library, client_tls, server_tls, requests * 5)
    options.progress("caller and flow done")
    backend_us = anyio.run(_time_backend, requests * 2)
    agent_handshake_us = _find_median(pair[1] for pair in handshake_times)
    rows = (
        Row(
            "handshake, caller",
            _find_median(p[0] for p in handshake_times),
            None,
            "us",
        ),
        Row("handshake, agent", agent_handshake_us, None, "us"),
        Row(
            "request, caller",
            _find_median(p[0] for p in request_times),
            None,
            "us",
        ),
        Row(
            "request, agent",
            _find_median(p[1] for p in request_times),
            None,
            "us",
        ),
        Row("request, Caller and RequestFlow", library_us, None, "us"),
        Row("request to the target and stand-in", backend_us, None, "us"),
        Row(
            "refusal of a start packet",
            _find_median(refusal_times),
            agent_handshake_us,
            "us",
        ),
    )
    notes = (
        "CPU time of one process, medians over the rounds.",
        "The first four rows are aioquic alone, one end each.",
        "Caller and RequestFlow: both ends with their tasks, 16 at a time.",
        "To the target: httpx, and the stand-in's h11 in the same process.",
    )
    return Report("requests", options.seed, rows, notes)


def _measure_round(
    client_tls: QuicConfiguration, server_tls: QuicConfiguration, count: int
) -> tuple[bytes, tuple[float, float], tuple[float, float]]:
    """Measures a handshake and count requests.

    Returns:
        A start packet; CPU times in us of the handshake and per request, each
        for the caller and the agent.
    """
    caller = _ConnectionEnd(QuicConnection(configuration=client_tls), False)
    caller.connect()
    packets = caller.exchange([])
    started = time.process_time_ns()
    quic = QuicConnection(
        configuration=server_tls,
        # Bytes 6 to 13 of an Initial packet are the destination connection id.
        original_destination_connection_id=packets[0][6:14],
    )
    agent = _ConnectionEnd(quic, True)
    agent.cpu_ns += time.process_time_ns() - started
    _exchange_all(caller, agent, packets)
    handshake_us = (caller.cpu_ns / 1000, agent.cpu_ns / 1000)
    caller.cpu_ns = agent.cpu_ns = 0
    for _ in range(count):
        caller.request()
        _exchange_all(caller, agent, caller.exchange([]))
    if caller.received_messages != count:
        raise RuntimeError(
            f"caller received {caller.received_messages} answers to "
            f"{count} requests"
        )
    request_us = (caller.cpu_ns / 1000 / count, agent.cpu_ns / 1000 / count)
    return packets[0], handshake_us, request_us


def _exchange_all(
    caller: _ConnectionEnd, agent: _ConnectionEnd, packets: list[bytes]
) -> None:
    while packets:
        packets = caller.exchange(agent.exchange(packets))


def _time_refusals(packet: bytes, count: int) -> float:
    """Returns the CPU time in us to recognise and refuse one start packet."""
    rule = FirstPacket.from_config("quic")
    started = time.process_time_ns()
    for _ in range(count):
        if rule.accepts(packet):
            make_reset("overloaded", _RETRY_AFTER_MS, packet)
    return (time.process_time_ns() - started) / 1000 / count


async def _time_library(
    client_tls: QuicConfiguration, server_tls: QuicConfiguration, count: int
) -> float:
    """Returns the CPU time in us per request of Caller and RequestFlow."""
    service = Service(
        ServiceId("label"),
        _SERVICE_ADDRESS,
        Urgency.NORMAL,
        0.5,
        Protocol.REQUEST,
        FirstPacket.from_config("quic"),
        (),
    )
    ports: list[_MemoryPort] = []
    flow = RequestFlow.from_config(
        service,
        lambda data: ports[0].add_packet(data),
        _InstantExecutor(),
        server_tls,
    )

    def open_port(address: Address) -> _MemoryPort:
        ports.append(_MemoryPort(flow.deliver))
        return ports[-1]

    async with anyio.create_task_group() as group:
        group.start_soon(flow.run)
        async with Caller(
            client_tls,
            _NoRetries(),
            lambda attempt, rng, retry_after: retry_after,
            open_port,
        ) as caller:
            await caller.request(_SERVICE_ADDRESS, "POST", "/print", _BODY)

            async def call() -> None:
                for _ in range(count // 16):
                    result = await caller.request(
                        _SERVICE_ADDRESS, "POST", "/print", _BODY
                    )
                    result.check()

            total_us = await _time_parallel(call, 16)
        group.cancel_scope.cancel()
    return total_us / (count // 16 * 16)


async def _time_backend(count: int) -> float:
    """Returns the CPU time in us per request, including the target stand-in."""
    target = TargetStandin(Behaviour(slots=2, work=0.0))
    async with anyio.create_task_group() as group:
        await group.start(target.run)
        backend = Backend(target.address)

        async def call() -> None:
            for number in range(count // 2):
                work = Work(
                    RequestId(f"{number}"),
                    ServiceId("label"),
                    Urgency.NORMAL,
                    30.0,
                    False,
                    0.0,
                    body=_BODY,
                )
                result = await backend.call(work, 30.0)
                if result.outcome is not Outcome.ANSWERED:
                    raise RuntimeError(
                        f"target did not answer a request: {result.reason}"
                    )

        total_us = await _time_parallel(call, 2)
        await backend.close()
        group.cancel_scope.cancel()
    return total_us / (count // 2 * 2)


async def _time_parallel(call: Callable[[], Any], tasks: int) -> float:
    """Returns the total CPU time in us of parallel calls."""
    started = time.process_time_ns()
    async with anyio.create_task_group() as group:
        for _ in range(tasks):
            group.start_soon(call)
    return (time.process_time_ns() - started) / 1000


def _find_median(values: Any) -> float:
    return round(statistics.median(values), 2)
