"""Targets: they end the flows, run requests, and answer."""

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
QUEUE = 8
WORK_S = 0.02  # of a request on average
WINDOW_PACKETS = 16
RESEND_S = 0.2  # doubles up to MAX_RESEND_S
MAX_RESEND_S = 1.6
MAX_RESENDS = 8
LENGTH_BYTES = 4  # in front of each answer


def make_body(request: bytes, size: int) -> bytes:
    """Returns the one right answer to a request."""
    block = hashlib.blake2b(request).digest()
    return (block * (size // len(block) + 1))[:size]


def make_request(attempt: str, once: bool, size: int) -> bytes:
    """Returns the bytes of a request; a line of text."""
    return f"{attempt} {'once' if once else 'any'} {size}\n".encode()


@dataclass(slots=True)
class TargetFlow:
    """A flow at its target.

    Attributes:
        first: own first sequence number.
        expected: sequence number of the caller's next byte.
        is_open: the caller has acknowledged the answer to its start.
        sent: bytes of all answers so far.
        acknowledged: how many of them the caller has.
        closed: both ends have said so.
    """

    packet: Packet
    first: int
    expected: int
    is_open: bool = False
    buffer: bytes = b""
    sent: bytes = b""
    acknowledged: int = 0
    next_sent: int = 0
    resends: int = 0
    resend_at: float = 0.0
    ends: bool = False
    closed: bool = False


@dataclass(slots=True)
class Target:
    """One target of a pool, beside its agent.

    Attributes:
        host: where it runs.
        pool: what it serves.
        born: number of its start; a target that starts anew knows no flow.
        slow: factor on the time of its work.
        draining_since: when the store accepted that it leaves, or None.
        ended: set when it has crashed; it takes and sends nothing more.
    """

    host: Host
    pool: str
    rng: random.Random
    promises: Promises
    born: int
    slow: float = 1.0
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
    def dead(self) -> bool:
        """Whether it has crashed."""
        return self.ended.is_set()

    @property
    def name(self) -> str:
        """Name of this start, as the store has it."""
        return f"{self.host.name}-{self.pool}"

    async def run(self) -> None:
        """Takes packets until cancelled."""
        self._port = SocketPort.bind((self.host.real, TARGET_PORT))
        async with anyio.create_task_group() as group:
            group.start_soon(self._resend)
            try:
                while True:
                    for data, _ in await self._port.receive():
                        self.take(data, group, anyio.current_time())
            finally:
                self._port.close()

    def crash(self) -> None:
        """Forgets all flows and takes nothing more."""
        self.ended.set()
        self.flows.clear()

    def holds(self, caller: Address, service: Address) -> bool:
        """Returns whether it holds an open flow."""
        flow = self.flows.get((caller, service))
        return flow is not None and flow.is_open and not flow.closed

    def take(self, data: bytes, group: TaskGroup, now: float) -> None:
        """Takes one packet from its agent."""
        if self.dead:
            return
        packet = unpack(data, from_caller=True)
        if packet is None or not packet.is_true or packet.flags & BOUNCED:
            self.promises.break_one("UNASKED", f"{self.name} got {data[:32]!r}")
            return
        key = packet.caller, packet.service
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._take_start(packet, flow, now)
            return
        if flow is not None and not flow.is_open:
            near = (packet.acknowledged - flow.first) % 2**32
            if near <= 1:
                flow.is_open = True
                self.promises.note_open(self, packet, now)
            else:
                flow = None
        self.promises.note_arrival(self, packet, now)
        if flow is None:
            self._send(bounce(data))
            return
        self._take_later(flow, packet, group, now)

    def _take_start(
        self, packet: Packet, flow: TargetFlow | None, now: float
    ) -> None:
        if flow is not None and flow.expected != (packet.sequence + 1) % 2**32:
            flow = None
        if flow is None:
            first = self.rng.getrandbits(32)
            expected = (packet.sequence + 1) % 2**32
            flow = TargetFlow(packet, first, expected)
            self.flows[packet.caller, packet.service] = flow
            self.promises.note_start(self, packet, now)
        self._answer(flow, SYN | ACK, flow.first, b"")

    def _take_later(
        self, flow: TargetFlow, packet: Packet, group: TaskGroup, now: float
    ) -> None:
        if packet.flags & RST:
            flow.closed = True
            return
        reached = (packet.acknowledged - flow.first - 1) % 2**32
        if flow.acknowledged < reached <= len(flow.sent):
            flow.acknowledged = reached
            flow.resends = 0
        if packet.data:
            self._take_data(flow, packet, group)
        if packet.flags & FIN:
            flow.ends = flow.closed = True
            self._answer(flow, ACK | FIN, flow.first + 1 + len(flow.sent), b"")
        self._send_answer(flow, now)

    def _take_data(
        self, flow: TargetFlow, packet: Packet, group: TaskGroup
    ) -> None:
        if packet.sequence == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % 2**32
            flow.buffer += packet.data
        self._answer(flow, ACK, flow.first + 1 + flow.next_sent, b"")
        while b"\n" in flow.buffer:
            line, _, flow.buffer = flow.buffer.partition(b"\n")
            group.start_soon(self._run_request, flow, line + b"\n")

    async def _run_request(self, flow: TargetFlow, request: bytes) -> None:
        attempt, once, size = request.decode().split()
        if self._waiting >= SLOTS + QUEUE:
            self._reply(flow, b"shed\n")
            return
        self._waiting += 1
        async with self._slots:
            self.promises.note_run(
                self, flow.packet, attempt, once == "once", anyio.current_time()
            )
            work = WORK_S * self.slow * self.rng.uniform(0.5, 1.5)
            await anyio.sleep(work)
        self._waiting -= 1
        self._reply(flow, b"done\n" + make_body(request, int(size)))

    def _reply(self, flow: TargetFlow, answer: bytes) -> None:
        flow.sent += len(answer).to_bytes(LENGTH_BYTES, "big") + answer
        self._send_answer(flow, anyio.current_time())

    def _send_answer(self, flow: TargetFlow, now: float) -> None:
        """Sends what the window allows, and sets the time of a resend."""
        limit = flow.acknowledged + WINDOW_PACKETS * DATA_BYTES
        while flow.next_sent < min(limit, len(flow.sent)):
            end = min(flow.next_sent + DATA_BYTES, len(flow.sent), limit)
            self._send_part(flow, flow.next_sent, end)
            flow.next_sent = end
        if flow.acknowledged < flow.next_sent:
            wait = min(MAX_RESEND_S, RESEND_S * 2**flow.resends)
            flow.resend_at = now + wait

    def _send_part(self, flow: TargetFlow, begin: int, end: int) -> None:
        part = flow.sent[begin:end]
        self._answer(flow, ACK, flow.first + 1 + begin, part)

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
                flow.expected,
                data,
            )
        )

    def _send(self, data: bytes) -> None:
        if not self.dead:
            self._port.send(data, (self.host.real, OUTBOUND_PORT))

    async def _resend(self) -> None:
        """Sends again what was not acknowledged in time."""
        while True:
            await anyio.sleep(RESEND_S / 4)
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
