"""Targets that terminate flows, run requests and send answers."""

import hashlib
import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from jujuberun.ids import Address
from jujuberun.port import SocketPort
from soak.layout import OUTBOUND_PORT, TARGET_PORT, Host
from soak.packets import (
    ACK,
    BOUNCED,
    DATA_BYTES,
    FIN,
    RST,
    SYN,
    Packet,
    bounce,
    pack,
    unpack,
)
from soak.promises import Promises

SLOTS = 2
MAX_QUEUED_REQUESTS = 8
# Mean time of work on a request.
WORK_S = 0.02
WINDOW_PACKETS = 16
# The delay doubles with each resend up to MAX_RESEND_DELAY_S.
RESEND_DELAY_S = 0.2
MAX_RESEND_DELAY_S = 1.6
MAX_RESENDS = 8
# Size of the length field in front of each answer.
LENGTH_BYTES = 4


def make_body(request: bytes, size: int) -> bytes:
    """Returns the only correct answer body for a request."""
    block = hashlib.blake2b(request).digest()
    return (block * (size // len(block) + 1))[:size]


def make_request(attempt: str, at_most_once: bool, size: int) -> bytes:
    """Returns a request encoded as a line of text."""
    return f"{attempt} {'once' if at_most_once else 'any'} {size}\n".encode()


@dataclass(slots=True)
class TargetFlow:
    """State of a flow at its target.

    Attributes:
        packet: start packet of the flow.
        first_sequence: own first sequence number.
        next_expected: sequence number of the next byte from the caller.
        is_open: whether the caller has acknowledged the reply to its start.
        buffer: received bytes that are not yet a whole request.
        sent: bytes of all answers so far, including unsent ones.
        acknowledged: number of answer bytes that the caller acknowledged.
        next_sent: offset of the next answer byte to send.
        resends: number of resends since the last acknowledgement.
        resend_at: when unacknowledged bytes are sent again.
        sent_fin: whether the target has sent a FIN.
        closed: whether the flow was closed or reset, or the target gave up.
    """

    packet: Packet
    first_sequence: int
    next_expected: int
    is_open: bool = False
    buffer: bytes = b""
    sent: bytes = b""
    acknowledged: int = 0
    next_sent: int = 0
    resends: int = 0
    resend_at: float = 0.0
    sent_fin: bool = False
    closed: bool = False


@dataclass(slots=True)
class Target:
    """One target of a pool; its agent runs on the same host.

    Attributes:
        host: host on which the target runs.
        pool: pool that the target serves.
        born: start time in the registration; a restarted target has another
            one and knows no flow.
        work_factor: factor by which each request takes longer.
        draining_since: when the target began to drain, or None.
        ended: set when the target has crashed; it then neither receives nor
            sends packets.
    """

    host: Host
    pool: str
    rng: random.Random
    promises: Promises
    born: int
    work_factor: float = 1.0
    draining_since: float | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)
    flows: dict[tuple[Address, Address], TargetFlow] = field(
        default_factory=dict
    )
    _slots: anyio.Semaphore = field(
        default_factory=lambda: anyio.Semaphore(SLOTS)
    )
    _waiting: int = 0
    _port: SocketPort | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the target has crashed."""
        return self.ended.is_set()

    @property
    def name(self) -> str:
        """Name of the target in the store."""
        return f"{self.host.name}-{self.pool}"

    async def run(self) -> None:
        """Receives packets until cancelled."""
        self._port = SocketPort.bind((self.host.bind_address, TARGET_PORT))
        async with anyio.create_task_group() as group:
            group.start_soon(self._resend)
            try:
                while True:
                    for data, _ in await self._port.receive():
                        self.take(data, group, anyio.current_time())
            finally:
                self._port.close()

    def crash(self) -> None:
        """Drops all flows and stops receiving and sending."""
        self.ended.set()
        self.flows.clear()

    def holds(self, caller: Address, service: Address) -> bool:
        """Returns whether the flow is open at this target."""
        flow = self.flows.get((caller, service))
        return flow is not None and flow.is_open and not flow.closed

    def take(self, data: bytes, group: TaskGroup, now: float) -> None:
        """Processes one packet from the agent."""
        if self.has_ended:
            return
        packet = unpack(data, from_caller=True)
        if packet is None or not packet.is_intact or packet.flags & BOUNCED:
            self.promises.record_violation(
                "UNASKED", f"{self.name} got invalid packet {data[:32]!r}"
            )
            return
        key = packet.caller, packet.service
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._take_start(packet, flow, now)
            return
        if flow is not None and not flow.is_open:
            acknowledged_bytes = (
                packet.acknowledged - flow.first_sequence
            ) % 2**32
            if acknowledged_bytes <= 1:
                flow.is_open = True
                self.promises.note_flow_open(self, packet, now)
            else:
                flow = None
        self.promises.note_flow_packet(self, packet, now)
        if flow is None:
            self._send(bounce(data))
            return
        self._take_flow_packet(flow, packet, group, now)

    def _take_start(
        self, packet: Packet, flow: TargetFlow | None, now: float
    ) -> None:
        if (
            flow is not None
            and flow.next_expected != (packet.sequence + 1) % 2**32
        ):
            flow = None
        if flow is None:
            first_sequence = self.rng.getrandbits(32)
            next_expected = (packet.sequence + 1) % 2**32
            flow = TargetFlow(packet, first_sequence, next_expected)
            self.flows[packet.caller, packet.service] = flow
            self.promises.note_start_taken(self, packet, now)
        self._answer(flow, SYN | ACK, flow.first_sequence, b"")

    def _take_flow_packet(
        self, flow: TargetFlow, packet: Packet, group: TaskGroup, now: float
    ) -> None:
        if packet.flags & RST:
            flow.closed = True
            return
        reached = (packet.acknowledged - flow.first_sequence - 1) % 2**32
        if flow.acknowledged < reached <= len(flow.sent):
            flow.acknowledged = reached
            flow.resends = 0
        if packet.data:
            self._take_data(flow, packet, group)
        if packet.flags & FIN:
            flow.sent_fin = flow.closed = True
            self._answer(
                flow, ACK | FIN, flow.first_sequence + 1 + len(flow.sent), b""
            )
        self._send_answer(flow, now)

    def _take_data(
        self, flow: TargetFlow, packet: Packet, group: TaskGroup
    ) -> None:
        if packet.sequence == flow.next_expected:
            flow.next_expected = (flow.next_expected + len(packet.data)) % 2**32
            flow.buffer += packet.data
        self._answer(flow, ACK, flow.first_sequence + 1 + flow.next_sent, b"")
        while b"\n" in flow.buffer:
            line, _, flow.buffer = flow.buffer.partition(b"\n")
            group.start_soon(self._run_request, flow, line + b"\n")

    async def _run_request(self, flow: TargetFlow, request: bytes) -> None:
        attempt, mode, size = request.decode().split()
        if self._waiting >= SLOTS + MAX_QUEUED_REQUESTS:
            self._reply(flow, b"shed\n")
            return
        self._waiting += 1
        async with self._slots:
            self.promises.note_request_run(
                self,
                flow.packet,
                attempt,
                mode == "once",
                anyio.current_time(),
            )
            work = WORK_S * self.work_factor * self.rng.uniform(0.5, 1.5)
            await anyio.sleep(work)
        self._waiting -= 1
        self._reply(flow, b"done\n" + make_body(request, int(size)))

    def _reply(self, flow: TargetFlow, answer: bytes) -> None:
        flow.sent += len(answer).to_bytes(LENGTH_BYTES, "big") + answer
        self._send_answer(flow, anyio.current_time())

    def _send_answer(self, flow: TargetFlow, now: float) -> None:
        """Sends what the window allows and sets the time of the resend."""
        limit = flow.acknowledged + WINDOW_PACKETS * DATA_BYTES
        while flow.next_sent < min(limit, len(flow.sent)):
            end = min(flow.next_sent + DATA_BYTES, len(flow.sent), limit)
            self._send_part(flow, flow.next_sent, end)
            flow.next_sent = end
        if flow.acknowledged < flow.next_sent:
            wait = min(MAX_RESEND_DELAY_S, RESEND_DELAY_S * 2**flow.resends)
            flow.resend_at = now + wait

    def _send_part(self, flow: TargetFlow, begin: int, end: int) -> None:
        part = flow.sent[begin:end]
        self._answer(flow, ACK, flow.first_sequence + 1 + begin, part)

    def _answer(
        self, flow: TargetFlow, flags: int, sequence: int, data: bytes
    ) -> None:
        packet = flow.packet
        self._send(
            pack(
                packet.service,
                packet.caller,
                flags,
                sequence,
                flow.next_expected,
                data,
            )
        )

    def _send(self, data: bytes) -> None:
        if not self.has_ended:
            self._port.send(data, (self.host.bind_address, OUTBOUND_PORT))

    async def _resend(self) -> None:
        """Resends bytes that were not acknowledged in time."""
        while True:
            await anyio.sleep(RESEND_DELAY_S / 4)
            now = anyio.current_time()
            for flow in self.flows.values():
                waits = flow.acknowledged < flow.next_sent
                if flow.closed or not waits or now < flow.resend_at:
                    continue
                flow.resends += 1
                if flow.resends > MAX_RESENDS:
                    flow.closed = True
                    continue
                flow.next_sent = flow.acknowledged
                self._send_answer(flow, now)
