"""Callers: they open flows, ask, and check each answer."""

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

COPIES_S = (0.2, 0.6)  # after the start packet
START_LIMIT_S = 1.4
RESEND_S = 0.2  # doubles up to MAX_RESEND_S
MAX_RESEND_S = 1.6
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
    """A flow at its caller."""

    address: Address
    service: Address
    sequence: int
    first: int | None = None  # of the target
    received: bytes = b""
    read: int = 0  # bytes of answers that were taken
    sent: int = 0  # bytes of requests
    heard: anyio.Event = field(default_factory=anyio.Event)
    reset: bool = False
    target_ended: bool = False

    def take_answer(self) -> bytes | None:
        """Returns the next whole answer, None while it is not complete."""
        begin = self.read + LENGTH_BYTES
        size = int.from_bytes(self.received[self.read : begin], "big")
        if len(self.received) < begin + size or len(self.received) < begin:
            return None
        self.read = begin + size
        return self.received[begin : self.read]


class CallerHost:
    """Callers of one host; its port takes the packets of all their flows."""

    def __init__(
        self, host: str, domain: str, fabric: Fabric, promises: Promises
    ) -> None:
        """Args: own address and domain, the network, and the checks."""
        self.host, self.domain = host, domain
        self._fabric = fabric
        self._promises = promises
        self._port = SocketPort.bind((host, PACKET_PORT))
        self._flows: dict[int, CallerFlow] = {}
        self._next_port = FIRST_PORT

    async def run(self) -> None:
        """Takes packets until cancelled."""
        while True:
            for data, _ in await self._port.receive():
                self._take(data)

    def open(self, service: Address, rng: random.Random) -> CallerFlow:
        """Returns a flow from a new port; nothing is sent yet."""
        number = self._next_port
        self._next_port = FIRST_PORT + (number + 1 - FIRST_PORT) % 60_000
        flow = CallerFlow((self.host, number), service, rng.getrandbits(32))
        self._flows[number] = flow
        return flow

    def close(self, flow: CallerFlow) -> None:
        """Ends a flow."""
        if flow.first is not None and not flow.reset:
            self._send(flow, ACK | FIN)
        self._flows.pop(flow.address[1], None)

    async def start(self, flow: CallerFlow) -> Result | None:
        """Opens a flow; None when it is open."""
        begun = anyio.current_time()
        self._promises.note_begun((flow.address, flow.service), begun)
        for copy, due in enumerate((*COPIES_S, START_LIMIT_S)):
            self._send_packet(flow, SYN, flow.sequence, copy)
            while anyio.current_time() < begun + due:
                if flow.reset:
                    return Result.REFUSED
                if flow.first is not None:
                    return None
                await self._wait(flow, begun + due)
        return Result.NOT_OPENED

    async def ask(
        self, flow: CallerFlow, attempt: str, once: bool, size: int
    ) -> Result:
        """Sends a request on an open flow and waits for its answer."""
        request = make_request(attempt, once, size)
        place = flow.sent
        flow.sent += len(request)
        now = resend_at = anyio.current_time()
        limit, wait = now + REQUEST_LIMIT_S, RESEND_S
        while now < limit:
            answer = flow.take_answer()
            if answer is not None:
                return self._check(flow, request, answer, size)
            if flow.reset:
                return Result.BROKEN
            if now >= resend_at:
                self._send(flow, ACK, request, place)
                resend_at = now + wait
                wait = min(MAX_RESEND_S, 2 * wait)
            await self._wait(flow, min(limit, resend_at))
            now = anyio.current_time()
        return Result.SILENT

    def _check(
        self, flow: CallerFlow, request: bytes, answer: bytes, size: int
    ) -> Result:
        if answer == b"shed\n":
            return Result.SHED
        if answer != b"done\n" + make_body(request, size):
            self._promises.break_one("MIXED", f"{flow.address} got {answer!r}")
        return Result.ANSWERED

    def _take(self, data: bytes) -> None:
        packet = unpack(data, from_caller=False)
        if packet is None:
            self._promises.break_one("MIXED", f"{self.host} got {data[:32]!r}")
            return
        flow = self._flows.get(packet.caller[1])
        own_reset = packet.flags == RST and not packet.data
        if not packet.is_true and not own_reset:
            self._promises.break_one("MIXED", f"{self.host} got {data[:32]!r}")
            return
        if flow is None or packet.service != flow.service:
            return
        self._take_true(flow, packet)
        flow.heard.set()

    def _take_true(self, flow: CallerFlow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.reset = True
            self._promises.note_reset(flow, packet, anyio.current_time())
            return
        if packet.flags & SYN:
            if flow.first is None:
                flow.first = packet.sequence
                self._send(flow, ACK)
            return
        if flow.first is None:
            return
        place = (packet.sequence - flow.first - 1) % 2**32
        if packet.data and place == len(flow.received):
            flow.received += packet.data
        if packet.data:
            self._send(flow, ACK)
        flow.target_ended |= bool(packet.flags & FIN)

    def _send(
        self, flow: CallerFlow, flags: int, data: bytes = b"", at: int = -1
    ) -> None:
        place = flow.sent if at < 0 else at
        reached = flow.first + 1 + len(flow.received)
        sequence = flow.sequence + 1 + place
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
        """Waits for a packet of the flow."""
        flow.heard = anyio.Event()
        with anyio.CancelScope(deadline=until):
            await flow.heard.wait()
