"""Stand-in for a target: holds flows and runs the requests in them."""

import asyncio
import random
from dataclasses import dataclass, field

from standins.packets import (
    ACK,
    FIN,
    RST,
    SEQUENCE_SPACE,
    SYN,
    Address,
    Packet,
    make_bounced,
    open_socket,
    receive_all,
    send,
    unpack,
)
from standins.record import Record

FIRST_RESEND_S, MAX_RESEND_S, MAX_RESENDS = 0.2, 1.6, 8


@dataclass(slots=True)
class TargetFlow:
    """State of a flow at its target.

    Attributes:
        start: start packet of the flow.
        sequence: first own sequence number.
        expected: next sequence number of the caller.
        next_sequence: next own sequence number.
        is_open: whether the caller has acknowledged the answer to its start.
        opened_at: time of that, seconds since the start of the case.
        buffer: received bytes that are no whole request yet.
        unacknowledged: packets with data that the caller has not acknowledged.
        resends: number of resends since the last acknowledgement.
        resend_at: time of the next resend, in the event loop's time.
        has_ended: whether the flow was closed or reset.
    """

    start: Packet
    sequence: int
    expected: int
    next_sequence: int
    is_open: bool = False
    opened_at: float = 0.0
    buffer: bytes = b""
    unacknowledged: list[Packet] = field(default_factory=list)
    resends: int = 0
    resend_at: float = 0.0
    has_ended: bool = False


class Target:
    """One target beside its agent.

    Attributes:
        name: id in the store.
        service: service that it serves.
        host: address of its machine.
        born: start, Unix milliseconds.
        is_draining: whether it is about to leave.
        flows: its flows by caller and service address.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        ports: tuple[int, int],
        record: Record,
        born: int,
        work_s: float = 0.02,
        slots: int = 4,
    ) -> None:
        """Starts the target.

        Args:
            name: id in the store.
            service: service that it serves.
            host: address of its machine.
            ports: own port, and port for its packets at the agent.
            record: record of the case.
            born: start, Unix milliseconds.
            work_s: seconds of work on a request.
            slots: requests that it runs at the same time.
        """
        self.name, self.service, self.host = name, service, host
        self.born = born
        self.slots = slots
        self.is_draining = False
        self.flows: dict[tuple[Address, Address], TargetFlow] = {}
        self._work_s = work_s
        self._free = asyncio.Semaphore(slots)
        self._record = record
        self._outbound = (host, ports[1])
        self._rng = random.Random(name)
        self._socket = open_socket((host, ports[0]))
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read)
        self._tasks: set[asyncio.Task[None]] = set()
        self._add_task(self._resend())

    def crash(self) -> None:
        """Ends the target: it falls silent, and its flows are lost."""
        for task in self._tasks:
            task.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self.flows.clear()
        self._record.write(f"{self.name} falls silent")

    def find_flow(self, caller: Address, service: Address) -> TargetFlow | None:
        """Returns a flow that is open here, or None."""
        flow = self.flows.get((caller, service))
        is_held = flow is not None and flow.is_open and not flow.has_ended
        return flow if is_held else None

    def _add_task(self, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _read(self) -> None:
        for datagram in receive_all(self._socket):
            packet = unpack(datagram)
            if packet is None or not packet.is_intact:
                self._record.violate(f"UNASKED: {self.name} got {datagram!r}")
                continue
            self._take(packet, datagram)

    def _take(self, packet: Packet, datagram: bytes) -> None:
        key = packet.source, packet.destination
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._take_start(key, flow, packet)
            return
        if flow is not None and not flow.is_open:
            if packet.acknowledged != (flow.sequence + 1) % SEQUENCE_SPACE:
                flow = None
            else:
                flow.is_open = True
                flow.opened_at = self._record.read_time()
                self._record.write(
                    f"{self.name} ({self.service}) opens the flow of "
                    f"{key[0][1]} to {key[1][0]}"
                )
        if flow is None:
            send(self._socket, make_bounced(datagram), self._outbound)
            return
        if flow.has_ended:
            flags = ACK if packet.flags & FIN else RST
            if packet.data or packet.flags & FIN:
                self._send(flow, flags)
            return
        self._take_open(flow, packet)

    def _take_start(
        self,
        key: tuple[Address, Address],
        flow: TargetFlow | None,
        packet: Packet,
    ) -> None:
        expected = (packet.sequence + 1) % SEQUENCE_SPACE
        if flow is None or flow.start.sequence != packet.sequence:
            number = self._rng.getrandbits(32)
            flow = TargetFlow(
                packet, number, expected, (number + 1) % SEQUENCE_SPACE
            )
            self.flows[key] = flow
        if flow.is_open:
            return
        answer = Packet(key[1], key[0], SYN | ACK, flow.sequence, expected)
        send(self._socket, answer.pack(), self._outbound)

    def _take_open(self, flow: TargetFlow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.has_ended = True
            return
        kept = [
            sent
            for sent in flow.unacknowledged
            if (packet.acknowledged - sent.sequence - len(sent.data))
            % SEQUENCE_SPACE
            >= SEQUENCE_SPACE // 2
        ]
        if len(kept) < len(flow.unacknowledged):
            flow.unacknowledged, flow.resends = kept, 0
        if packet.data:
            self._take_data(flow, packet)
        if packet.flags & FIN:
            flow.has_ended = True
            self._send(flow, ACK | FIN)

    def _take_data(self, flow: TargetFlow, packet: Packet) -> None:
        if packet.sequence == flow.expected:
            size = len(packet.data)
            flow.expected = (flow.expected + size) % SEQUENCE_SPACE
            flow.buffer += packet.data
        self._send(flow, ACK)
        while b"\r\n\r\n" in flow.buffer:
            request, _, flow.buffer = flow.buffer.partition(b"\r\n\r\n")
            self._add_task(self._run(flow, request))

    async def _run(self, flow: TargetFlow, request: bytes) -> None:
        attempt = request.partition(b"X-Attempt-Id: ")[2].decode()
        async with self._free:
            self._record.write(f"{self.name} ({self.service}) runs {attempt}")
            await asyncio.sleep(self._work_s)
        if flow.has_ended:
            return
        body = f"{attempt} was run by {self.service}"
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Server-Seal: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        flags = ACK | FIN if self.is_draining else ACK
        packet = self._send(flow, flags, answer)
        flow.next_sequence = (flow.next_sequence + len(answer)) % SEQUENCE_SPACE
        flow.unacknowledged.append(packet)
        flow.resend_at = self._loop.time() + FIRST_RESEND_S

    def _send(self, flow: TargetFlow, flags: int, data: bytes = b"") -> Packet:
        packet = Packet(
            flow.start.destination,
            flow.start.source,
            flags,
            flow.next_sequence,
            flow.expected,
            data,
        )
        send(self._socket, packet.pack(), self._outbound)
        return packet

    async def _resend(self) -> None:
        while True:
            await asyncio.sleep(FIRST_RESEND_S / 4)
            now = self._loop.time()
            for flow in self.flows.values():
                is_due = flow.unacknowledged and now >= flow.resend_at
                if flow.has_ended or not is_due:
                    continue
                flow.resends += 1
                if flow.resends > MAX_RESENDS:
                    flow.has_ended = True
                    continue
                wait = min(MAX_RESEND_S, FIRST_RESEND_S * 2**flow.resends)
                flow.resend_at = now + wait
                for packet in flow.unacknowledged:
                    send(self._socket, packet.pack(), self._outbound)
