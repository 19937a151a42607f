"""Callers that open flows, send requests and check each answer."""

import random
from dataclasses import dataclass, field
from enum import Enum

import anyio

from jujuberun.ids import Address
from jujuberun.port import SocketPort
from soak.fabric import Fabric
from soak.layout import PACKET_PORT
from soak.packets import ACK, FIN, RST, SYN, Packet, pack, unpack
from soak.promises import Promises
from soak.targets import LENGTH_BYTES, make_body, make_request

# Times after the first start packet at which copies of it are sent.
START_COPY_DELAYS_S = (0.2, 0.6)
START_LIMIT_S = 1.4
# The delay doubles with each resend up to MAX_RESEND_DELAY_S.
RESEND_DELAY_S = 0.2
MAX_RESEND_DELAY_S = 1.6
REQUEST_LIMIT_S = 6.0
FIRST_PORT = 1_024


class Result(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    SHED = "shed by the target"
    NOT_OPENED = "flow not opened"
    REFUSED = "reset before the flow opened"
    BROKEN = "reset of an open flow"
    SILENT = "no answer in time"


@dataclass(slots=True)
class CallerFlow:
    """State of a flow at its caller.

    Attributes:
        address: own address.
        service: address of the service.
        sequence: own first sequence number.
        target_sequence: first sequence number of the target, None until the
            flow is open.
        received: bytes of all answers so far.
        read_bytes: number of received bytes that were consumed.
        sent_bytes: number of bytes of all requests so far.
        packet_received: set when a packet of the flow arrives.
        reset: whether the flow was reset.
        target_ended: whether the target has closed its end.
    """

    address: Address
    service: Address
    sequence: int
    target_sequence: int | None = None
    received: bytes = b""
    read_bytes: int = 0
    sent_bytes: int = 0
    packet_received: anyio.Event = field(default_factory=anyio.Event)
    reset: bool = False
    target_ended: bool = False

    def take_answer(self) -> bytes | None:
        """Returns the next answer, or None while it is incomplete."""
        begin = self.read_bytes + LENGTH_BYTES
        size = int.from_bytes(self.received[self.read_bytes : begin], "big")
        if len(self.received) < begin + size or len(self.received) < begin:
            return None
        self.read_bytes = begin + size
        return self.received[begin : self.read_bytes]


class CallerHost:
    """Callers of one host; one port receives the packets of all flows."""

    def __init__(
        self, host: str, domain: str, fabric: Fabric, promises: Promises
    ) -> None:
        """Args: own address and failure domain, the network, the checks."""
        self.host, self.domain = host, domain
        self._fabric = fabric
        self._promises = promises
        self._port = SocketPort.bind((host, PACKET_PORT))
        self._flows: dict[int, CallerFlow] = {}
        self._next_port = FIRST_PORT

    async def run(self) -> None:
        """Receives packets until cancelled."""
        while True:
            for data, _ in await self._port.receive():
                self._take(data)

    def open(self, service: Address, rng: random.Random) -> CallerFlow:
        """Returns a flow from a new port; sends nothing yet."""
        number = self._next_port
        self._next_port = FIRST_PORT + (number + 1 - FIRST_PORT) % 60_000
        flow = CallerFlow((self.host, number), service, rng.getrandbits(32))
        self._flows[number] = flow
        return flow

    def close(self, flow: CallerFlow) -> None:
        """Closes a flow; tells the target if the flow is open."""
        if flow.target_sequence is not None and not flow.reset:
            self._send(flow, ACK | FIN)
        self._flows.pop(flow.address[1], None)

    async def start(self, flow: CallerFlow) -> Result | None:
        """Opens a flow; returns None on success, else the reason."""
        began = anyio.current_time()
        self._promises.note_start_sent((flow.address, flow.service), began)
        for copy, due in enumerate((*START_COPY_DELAYS_S, START_LIMIT_S)):
            self._send_packet(flow, SYN, flow.sequence, copy)
            while anyio.current_time() < began + due:
                if flow.reset:
                    return Result.REFUSED
                if flow.target_sequence is not None:
                    return None
                await self._wait(flow, began + due)
        return Result.NOT_OPENED

    async def send_request(
        self, flow: CallerFlow, attempt: str, at_most_once: bool, size: int
    ) -> Result:
        """Sends a request on an open flow and waits for its answer."""
        request = make_request(attempt, at_most_once, size)
        offset = flow.sent_bytes
        flow.sent_bytes += len(request)
        now = resend_at = anyio.current_time()
        limit, wait = now + REQUEST_LIMIT_S, RESEND_DELAY_S
        while now < limit:
            answer = flow.take_answer()
            if answer is not None:
                return self._check_answer(flow, request, answer, size)
            if flow.reset:
                return Result.BROKEN
            if now >= resend_at:
                self._send(flow, ACK, request, offset)
                resend_at = now + wait
                wait = min(MAX_RESEND_DELAY_S, 2 * wait)
            await self._wait(flow, min(limit, resend_at))
            now = anyio.current_time()
        return Result.SILENT

    def _check_answer(
        self, flow: CallerFlow, request: bytes, answer: bytes, size: int
    ) -> Result:
        if answer == b"shed\n":
            return Result.SHED
        if answer != b"done\n" + make_body(request, size):
            self._promises.record_violation(
                "MIXED", f"{flow.address} got wrong answer {answer!r}"
            )
        return Result.ANSWERED

    def _take(self, data: bytes) -> None:
        packet = unpack(data, from_caller=False)
        if packet is None:
            self._promises.record_violation(
                "MIXED", f"{self.host} got malformed packet {data[:32]!r}"
            )
            return
        flow = self._flows.get(packet.caller[1])
        own_reset = packet.flags == RST and not packet.data
        if not packet.is_intact and not own_reset:
            self._promises.record_violation(
                "MIXED", f"{self.host} got altered packet {data[:32]!r}"
            )
            return
        if flow is None or packet.service != flow.service:
            return
        self._take_intact(flow, packet)
        flow.packet_received.set()

    def _take_intact(self, flow: CallerFlow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.reset = True
            self._promises.note_caller_reset(flow, packet, anyio.current_time())
            return
        if packet.flags & SYN:
            if flow.target_sequence is None:
                flow.target_sequence = packet.sequence
                self._send(flow, ACK)
            return
        if flow.target_sequence is None:
            return
        offset = (packet.sequence - flow.target_sequence - 1) % 2**32
        if packet.data and offset == len(flow.received):
            flow.received += packet.data
        if packet.data:
            self._send(flow, ACK)
        flow.target_ended |= bool(packet.flags & FIN)

    def _send(
        self, flow: CallerFlow, flags: int, data: bytes = b"", at: int = -1
    ) -> None:
        offset = flow.sent_bytes if at < 0 else at
        reached = flow.target_sequence + 1 + len(flow.received)
        sequence = flow.sequence + 1 + offset
        self._send_packet(flow, flags, sequence, reached, data)

    def _send_packet(
        self,
        flow: CallerFlow,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        packet = pack(
            flow.address, flow.service, flags, sequence, acknowledged, data
        )
        self._fabric.send(self._port, packet, flow, self.domain)

    @staticmethod
    async def _wait(flow: CallerFlow, until: float) -> None:
        """Waits for a packet of the flow, at most until a time."""
        flow.packet_received = anyio.Event()
        with anyio.CancelScope(deadline=until):
            await flow.packet_received.wait()
