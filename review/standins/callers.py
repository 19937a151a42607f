"""Stand-ins for callers, and for the routers between them and balancers."""

import asyncio
import random
import zlib
from dataclasses import dataclass, field

from standins.packets import (
    ACK,
    FIN,
    RESET_RANGE_BYTES,
    RST,
    SEQUENCE_SPACE,
    SYN,
    Address,
    Packet,
    open_socket,
    receive_all,
    send,
    unpack,
)
from standins.record import Record

PROBE_PERIOD_S = 0.5
MAX_MISSES = 2
START_TIMES_S = (0.0, 0.2, 0.6)
START_LIMIT_S = 1.4
FIRST_RESEND_S, MAX_RESEND_S = 0.2, 1.6
_FIRST_PORT = 20_000


class Router:
    """Selects a balancer of the only zone by a hash of the four numbers."""

    def __init__(self, record: Record, packet_port: int, ready_port: int):
        """Creates a router without balancers.

        Args:
            record: record of the case.
            packet_port: port of the balancers for packets.
            ready_port: port of the balancers for the readiness check.
        """
        self._record = record
        self._packet_port, self._ready_port = packet_port, ready_port
        self._misses: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, host: str) -> None:
        """Adds a balancer; it is in rotation once it is ready."""
        self._misses[host] = MAX_MISSES
        self._tasks.append(asyncio.create_task(self._probe(host)))

    def list_rotation(self) -> list[str]:
        """Returns the balancers that get packets."""
        ready = [h for h, misses in self._misses.items() if misses < MAX_MISSES]
        if 2 * len(ready) < len(self._misses):
            return list(self._misses)
        return ready

    def is_ready(self, host: str) -> bool:
        """Returns whether a balancer is in rotation."""
        return self._misses[host] < MAX_MISSES

    def choose(self, caller: Address, service: Address) -> Address:
        """Returns the balancer for a packet."""
        rotation = self.list_rotation()
        number = zlib.crc32(f"{caller} {service}".encode())
        return rotation[number % len(rotation)], self._packet_port

    async def _probe(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            was_ready = self.is_ready(host)
            found = await self._is_ready(host)
            self._misses[host] = 0 if found else self._misses[host] + 1
            if self.is_ready(host) != was_ready:
                state = "in" if found else "out of"
                self._record.write(f"balancer {host} is {state} rotation")
            left = began + PROBE_PERIOD_S - loop.time()
            await asyncio.sleep(max(0.0, left))

    async def _is_ready(self, host: str) -> bool:
        writer = None
        try:
            async with asyncio.timeout(PROBE_PERIOD_S):
                reader, writer = await asyncio.open_connection(
                    host, self._ready_port
                )
                # deploy/wire.toml maps /readiness to this path.
                writer.write(b"GET /health HTTP/1.1\r\nHost: b\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
        return b" 200 " in line


@dataclass(slots=True)
class CallerFlow:
    """State of a flow at its caller.

    Attributes:
        port: port of the caller.
        service: address of the service.
        sequence: first own sequence number.
        next_sequence: next own sequence number.
        expected: next sequence number of the target, None until the flow is
            open.
        buffer: bytes of the target that are no whole answer yet.
        answers: complete answers.
        has_ended: whether the target has closed the flow.
        reset: the reset that the caller got, or None.
        changed: set when a packet of the flow has arrived.
    """

    port: int
    service: Address
    sequence: int
    next_sequence: int
    expected: int | None = None
    buffer: bytes = b""
    answers: list[str] = field(default_factory=list)
    has_ended: bool = False
    reset: Packet | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Caller:
    """A host of callers; one port receives the packets of all its flows."""

    def __init__(
        self, host: str, packet_port: int, router: Router, record: Record
    ) -> None:
        """Binds the port.

        Args:
            host: own address.
            packet_port: port at which packets for callers arrive.
            router: selects the balancers.
            record: record of the case.
        """
        self.host = host
        self._router, self._record = router, record
        self._rng = random.Random(host)
        self._flows: dict[int, CallerFlow] = {}
        self._next_port = _FIRST_PORT
        self._socket = open_socket((host, packet_port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read)
        self._attempts = 0

    def make_flow(self, service: Address) -> CallerFlow:
        """Returns a flow from a new port; sends nothing."""
        number = self._rng.getrandbits(32)
        flow = CallerFlow(
            self._next_port, service, number, (number + 1) % SEQUENCE_SPACE
        )
        self._flows[flow.port] = flow
        self._next_port += 1
        return flow

    async def open(self, flow: CallerFlow) -> bool:
        """Opens a flow; returns whether it is open."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for copy, until in enumerate((*START_TIMES_S[1:], START_LIMIT_S)):
            self._send(flow, SYN, flow.sequence, copy)
            self._record.write(f"caller {flow.port} sends start, copy {copy}")
            while loop.time() < began + until:
                if flow.reset is not None:
                    return False
                if flow.expected is not None:
                    self._send(flow, ACK, flow.next_sequence, flow.expected)
                    return True
                await self._wait(flow, began + until - loop.time())
        self._record.write(f"caller {flow.port}: the flow did not open")
        return False

    async def request(
        self, flow: CallerFlow, limit_s: float
    ) -> tuple[str, str | None]:
        """Sends a request; returns its id, and the answer if there is one."""
        self._attempts += 1
        attempt = f"a-{flow.port}-{self._attempts}"
        data = (
            f"POST / HTTP/1.1\r\nContent-Length: 0\r\n"
            f"X-Attempt-Id: {attempt}\r\n\r\n"
        ).encode()
        loop = asyncio.get_running_loop()
        began, wait = loop.time(), FIRST_RESEND_S
        sequence = flow.next_sequence
        flow.next_sequence = (sequence + len(data)) % SEQUENCE_SPACE
        self._record.write(f"caller {flow.port} sends request {attempt}")
        answer = None
        while answer is None and loop.time() < began + limit_s:
            if flow.reset is not None or flow.has_ended:
                break
            self._send(flow, ACK, sequence, flow.expected, data)
            answer = await self._wait_answer(flow, attempt, wait)
            wait = min(MAX_RESEND_S, 2 * wait)
        self._record.write(f"caller {flow.port}: answer to {attempt}: {answer}")
        return attempt, answer

    def close(self, flow: CallerFlow) -> None:
        """Closes a flow."""
        if flow.expected is not None and flow.reset is None:
            self._send(flow, ACK | FIN, flow.next_sequence, flow.expected)
        self._flows.pop(flow.port, None)

    async def _wait_answer(
        self, flow: CallerFlow, attempt: str, wait: float
    ) -> str | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while loop.time() < until and flow.reset is None:
            if flow.answers:
                answer = flow.answers.pop(0)
                if not answer.startswith(f"{attempt} "):
                    self._record.violate(f"MIXED: {attempt} got {answer!r}")
                return answer
            await self._wait(flow, until - loop.time())
        return None

    async def _wait(self, flow: CallerFlow, limit_s: float) -> None:
        flow.changed.clear()
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                await flow.changed.wait()
        except TimeoutError:
            return

    def _send(
        self,
        flow: CallerFlow,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        own = (self.host, flow.port)
        packet = Packet(own, flow.service, flags, sequence, acknowledged, data)
        balancer = self._router.choose(own, flow.service)
        send(self._socket, packet.pack(), balancer)

    def _read(self) -> None:
        for datagram in receive_all(self._socket):
            packet = unpack(datagram)
            if packet is None:
                self._record.violate(f"MIXED: caller got {datagram!r}")
                continue
            flow = self._flows.get(packet.destination[1])
            if flow is not None and packet.source == flow.service:
                self._take(flow, packet)

    def _take(self, flow: CallerFlow, packet: Packet) -> None:
        if packet.flags & RST:
            self._take_reset(flow, packet)
            return
        if not packet.is_intact:
            self._record.violate(f"MIXED: caller {flow.port} got {packet}")
            return
        if packet.flags & SYN:
            if flow.expected is None:
                flow.expected = (packet.sequence + 1) % SEQUENCE_SPACE
                flow.changed.set()
            return
        if flow.expected is None:
            return
        if packet.data:
            self._take_data(flow, packet)
        if packet.flags & FIN:
            flow.has_ended = True
        flow.changed.set()

    def _take_reset(self, flow: CallerFlow, packet: Packet) -> None:
        if flow.expected is not None and packet.is_unsigned:
            distance = (packet.sequence - flow.expected) % SEQUENCE_SPACE
            distance = min(distance, SEQUENCE_SPACE - distance)
            if distance > RESET_RANGE_BYTES:
                self._record.write(
                    f"caller {flow.port} ignores a reset with sequence number "
                    f"{packet.sequence} on its open flow"
                )
                return
        sender = "the system" if packet.is_unsigned else "the target"
        self._record.write(f"caller {flow.port} got a reset of {sender}")
        flow.reset = packet
        flow.changed.set()

    def _take_data(self, flow: CallerFlow, packet: Packet) -> None:
        if packet.sequence == flow.expected:
            size = len(packet.data)
            flow.expected = (flow.expected + size) % SEQUENCE_SPACE
            flow.buffer += packet.data
            self._take_answers(flow)
        self._send(flow, ACK, flow.next_sequence, flow.expected)

    def _take_answers(self, flow: CallerFlow) -> None:
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            size = int(head.partition(b"Content-Length: ")[2].split()[0])
            if len(rest) < size:
                return
            flow.answers.append(rest[:size].decode())
            flow.buffer = rest[size:]
