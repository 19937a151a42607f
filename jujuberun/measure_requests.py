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
from jujuberun.ids import (
    Address,
    Outcome,
    Protocol,
    RequestId,
    ServiceId,
    Urgency,
)
from jujuberun.manifest import FirstPacket, Service
from jujuberun.measure import Options, Report, Row
from jujuberun.quic import PATH, load_server_tls, make_client_tls
from jujuberun.standin_certificate import make_certificate
from jujuberun.standin_target import Behaviour, TargetStandin
from jujuberun.streams import RequestFlow
from jujuberun.wire import make_reset
from jujuberun.work import Work, WorkResult

_ADDRESS: Address = ("192.0.2.1", 443)
_BODY = b"label 4711"
_REQUEST = (
    (b":method", b"POST"),
    (b":scheme", b"https"),
    (b":authority", b"192.0.2.1:443"),
    (b":path", b"/print"),
    (b"request-id", b"0123456789abcdef0123456789abcdef"),
    (b"idempotent", b"false"),
    (b"deadline-ms", b"30000"),
)
_ANSWER = ((b":status", b"200"), (b"outcome", b"answered"))
_RETRY_AFTER_MS = 250


class _End:
    """One end of a connection, whose CPU time is counted.

    Attributes:
        spent: CPU time in ns.
    """

    def __init__(self, quic: QuicConnection, answers: bool) -> None:
        self.spent = 0
        self._quic = quic
        self._answers = answers
        self._http: H3Connection | None = None
        self.done = 0

    def exchange(self, packets: list[bytes]) -> list[bytes]:
        """Takes packets and returns those to send."""
        began = time.process_time_ns()
        now = time.monotonic()
        for packet in packets:
            self._quic.receive_datagram(packet, PATH, now)
        while (event := self._quic.next_event()) is not None:
            if isinstance(event, events.ProtocolNegotiated):
                self._http = H3Connection(self._quic)
            if self._http is not None:
                for item in self._http.handle_event(event):
                    self._handle(item)
        sent = [data for data, _ in self._quic.datagrams_to_send(now)]
        self.spent += time.process_time_ns() - began
        return sent

    def connect(self) -> None:
        """Starts the handshake."""
        began = time.process_time_ns()
        self._quic.connect(PATH, time.monotonic())
        self.spent += time.process_time_ns() - began

    def request(self) -> None:
        """Sends a request."""
        began = time.process_time_ns()
        stream = self._quic.get_next_available_stream_id()
        self._http.send_headers(stream, list(_REQUEST))
        self._http.send_data(stream, _BODY, True)
        self.spent += time.process_time_ns() - began

    def _handle(self, event: H3Event) -> None:
        if not isinstance(event, DataReceived) or not event.stream_ended:
            return
        self.done += 1
        if self._answers:
            self._http.send_headers(event.stream_id, list(_ANSWER))
            self._http.send_data(event.stream_id, _BODY, True)


class _MemoryPort:
    """A caller's port whose packets go straight to a flow."""

    def __init__(self, deliver: Callable[[bytes, float], None]) -> None:
        self.address: Address = ("198.51.100.1", 1024)
        self._deliver = deliver
        self._inbox: list[tuple[bytes, Address]] = []
        self._wake = anyio.Event()

    async def receive(self) -> list[tuple[bytes, Address]]:
        while not self._inbox:
            self._wake = anyio.Event()
            await self._wake.wait()
        batch, self._inbox = self._inbox, []
        return batch

    def take(self, data: bytes) -> None:
        self._inbox.append((data, _ADDRESS))
        self._wake.set()

    def send(self, data: bytes, address: Address) -> bool:
        self._deliver(data, time.monotonic())
        return True

    def close(self) -> None:
        pass


class _Instant:
    """An executor that answers at once."""

    async def execute(self, work: Work, now: float) -> WorkResult:
        return WorkResult(Outcome.ANSWERED, 200, work.body)


class _NoRetries:
    """A retry budget that allows none."""

    def record_request(self, now: float) -> None:
        pass

    def allow_retry(self, now: float) -> bool:
        return False


def measure(options: Options) -> Report:
    """Measures CPU time per handshake, request and refusal, in one run.

    Args:
        options: a quick run has fewer repetitions.

    Returns:
        Medians in microseconds. The naive figure of the refusal is the
        agent's end of a handshake.
    """
    rounds, requests = (5, 100) if options.quick else (40, 400)
    certificate = make_certificate()
    client_tls = make_client_tls(certificate.name, certificate.certificate)
    with tempfile.TemporaryDirectory() as name:
        server_tls = load_server_tls(*certificate.write(Path(name)))
    handshakes: list[tuple[float, float]] = []
    exchanges: list[tuple[float, float]] = []
    refusals: list[float] = []
    for _ in range(rounds):
        first, shaken, exchanged = _run_round(client_tls, server_tls, requests)
        handshakes.append(shaken)
        exchanges.append(exchanged)
        refusals.append(_refuse_packets(first, requests))
    options.progress("both ends of aioquic done")
    whole = anyio.run(_run_library, client_tls, server_tls, requests * 5)
    options.progress("caller and flow done")
    backend = anyio.run(_run_backend, requests * 2)
    agent_handshake = _find_median(pair[1] for pair in handshakes)
    rows = (
        Row(
            "handshake, caller",
            _find_median(p[0] for p in handshakes),
            None,
            "us",
        ),
        Row("handshake, agent", agent_handshake, None, "us"),
        Row(
            "request, caller", _find_median(p[0] for p in exchanges), None, "us"
        ),
        Row(
            "request, agent", _find_median(p[1] for p in exchanges), None, "us"
        ),
        Row("request, Caller and RequestFlow", whole, None, "us"),
        Row("request to the target and stand-in", backend, None, "us"),
        Row(
            "refusal of a start packet",
            _find_median(refusals),
            agent_handshake,
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


def _run_round(
    client_tls: QuicConfiguration, server_tls: QuicConfiguration, count: int
) -> tuple[bytes, tuple[float, float], tuple[float, float]]:
    """Returns the start packet, and us per handshake and request by end."""
    caller = _End(QuicConnection(configuration=client_tls), False)
    caller.connect()
    first = caller.exchange([])
    began = time.process_time_ns()
    quic = QuicConnection(
        configuration=server_tls,
        # Bytes 6 to 13 of an Initial packet hold its destination id.
        original_destination_connection_id=first[0][6:14],
    )
    agent = _End(quic, True)
    agent.spent += time.process_time_ns() - began
    _carry(caller, agent, first)
    shaken = (caller.spent / 1000, agent.spent / 1000)
    caller.spent = agent.spent = 0
    for _ in range(count):
        caller.request()
        _carry(caller, agent, caller.exchange([]))
    if caller.done != count:
        raise RuntimeError(f"{caller.done} answers to {count} requests")
    exchanged = (caller.spent / 1000 / count, agent.spent / 1000 / count)
    return first[0], shaken, exchanged


def _carry(caller: _End, agent: _End, packets: list[bytes]) -> None:
    while packets:
        packets = caller.exchange(agent.exchange(packets))


def _refuse_packets(packet: bytes, count: int) -> float:
    """Returns us per start packet that is recognised and answered."""
    rule = FirstPacket.from_config("quic")
    began = time.process_time_ns()
    for _ in range(count):
        if rule.accepts(packet):
            make_reset("overloaded", _RETRY_AFTER_MS, packet)
    return (time.process_time_ns() - began) / 1000 / count


async def _run_library(
    client_tls: QuicConfiguration, server_tls: QuicConfiguration, count: int
) -> float:
    """Returns us per request of Caller and RequestFlow together."""
    service = Service(
        ServiceId("label"),
        _ADDRESS,
        Urgency.NORMAL,
        0.5,
        Protocol.REQUEST,
        FirstPacket.from_config("quic"),
        (),
    )
    ports: list[_MemoryPort] = []
    flow = RequestFlow.from_config(
        service, lambda data: ports[0].take(data), _Instant(), server_tls
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
            await caller.request(_ADDRESS, "POST", "/print", _BODY)

            async def call() -> None:
                for _ in range(count // 16):
                    result = await caller.request(
                        _ADDRESS, "POST", "/print", _BODY
                    )
                    result.check()

            spent = await _time_parallel(call, 16)
        group.cancel_scope.cancel()
    return spent / (count // 16 * 16)


async def _run_backend(count: int) -> float:
    """Returns us per request to the target, stand-in included."""
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
                    raise RuntimeError(f"target: {result.reason}")

        spent = await _time_parallel(call, 2)
        await backend.close()
        group.cancel_scope.cancel()
    return spent / (count // 2 * 2)


async def _time_parallel(call: Callable[[], Any], tasks: int) -> float:
    """Returns the us of CPU time that parallel calls took together."""
    began = time.process_time_ns()
    async with anyio.create_task_group() as group:
        for _ in range(tasks):
            group.start_soon(call)
    return (time.process_time_ns() - began) / 1000


def _find_median(values: Any) -> float:
    return round(statistics.median(values), 2)
