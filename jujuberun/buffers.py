"""Model of a balancer's receive buffers, for measurements of floods."""

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jujuberun.ids import ServiceId
from jujuberun.trace import PHASES, Arrival

BALANCERS = 2
# Each arrival of the trace stands for so many packets within SPREAD_S. With
# fewer, a buffer would last much longer than in a real socket: the default
# receive buffer of Linux holds about 90 datagrams, 5 ms at 20,000 packets/s.
PACKETS = 10
SPREAD_S = 5.0
BUFFER_PACKETS = 32  # per service
NAIVE_BUFFER_PACKETS = 64  # for all services together
# Packets in one turn of a socket; one that was not emptied in its last turn
# gets the short turn, so that the others wait for few of its packets.
TURN_PACKETS = 16
BACKLOGGED_TURN_PACKETS = 1


@dataclass(slots=True)
class Packet:
    """A datagram: its service and its arrival in seconds."""

    service: ServiceId
    at: float


class RoundRobin:
    """Buffers as at our balancer: one for each service, in turn."""

    def __init__(self) -> None:
        self._buffers: dict[ServiceId, deque[Packet]] = {}
        self._turns: deque[ServiceId] = deque()
        self._left = 0

    def push(self, packet: Packet) -> bool:
        """Buffers a packet; returns whether there was room."""
        buffer = self._buffers.get(packet.service)
        if buffer is None:
            buffer = self._buffers[packet.service] = deque()
            self._turns.append(packet.service)
        if len(buffer) >= BUFFER_PACKETS:
            return False
        buffer.append(packet)
        return True

    def pop(self) -> Packet | None:
        """Returns the next packet."""
        for _ in range(len(self._turns) + 1):
            if not self._turns:
                return None
            buffer = self._buffers[self._turns[0]]
            if buffer and self._left:
                self._left -= 1
                return buffer.popleft()
            self._turns.rotate(-1)
            backlogged = len(self._buffers[self._turns[0]]) > TURN_PACKETS
            self._left = BACKLOGGED_TURN_PACKETS if backlogged else TURN_PACKETS
        return None


class OneBuffer:
    """The naive version: one socket for all services."""

    def __init__(self) -> None:
        self._buffer: deque[Packet] = deque()

    def push(self, packet: Packet) -> bool:
        """Buffers a packet; returns whether there was room."""
        if len(self._buffer) >= NAIVE_BUFFER_PACKETS:
            return False
        self._buffer.append(packet)
        return True

    def pop(self) -> Packet | None:
        """Returns the next packet."""
        return self._buffer.popleft() if self._buffer else None


def forward(
    packets: Sequence[Packet], budget: float, buffers: RoundRobin | OneBuffer
) -> list[tuple[Packet, float]]:
    """Forwards packets through one balancer with a packet budget.

    Args:
        packets: ordered by arrival.
        budget: packets per second.
        buffers: its receive buffers, empty.

    Returns:
        Each packet and its wait in seconds, infinite if it was dropped.
    """
    samples = []
    now = 0.0
    index = 0
    while True:
        while index < len(packets) and packets[index].at <= now:
            packet = packets[index]
            if not buffers.push(packet):
                samples.append((packet, math.inf))
            index += 1
        packet = buffers.pop()
        if packet is not None:
            samples.append((packet, now - packet.at))
            now += 1.0 / budget
        elif index < len(packets):
            now = packets[index].at
        else:
            return samples


def spray(flood: Iterable[Arrival], seed: int) -> list[list[Packet]]:
    """Returns the packets that each balancer gets, ordered by arrival."""
    rng = random.Random(seed)
    parts: list[list[Packet]] = [[] for _ in range(BALANCERS)]
    for arrival in flood:
        phase = next(p for p in PHASES if arrival.at < p.end)
        for _ in range(PACKETS):
            at = arrival.at + SPREAD_S * (rng.random() - 0.5)
            # Reflection keeps packets in their phase and its rate even.
            at = 2.0 * phase.start - at if at < phase.start else at
            at = 2.0 * phase.end - at if at > phase.end else at
            part = parts[rng.randrange(BALANCERS)]
            part.append(Packet(arrival.service, at))
    for part in parts:
        part.sort(key=lambda packet: packet.at)
    return parts
