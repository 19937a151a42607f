"""Simulation of a balancer's receive buffers, for measurements of floods."""

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jujuberun.ids import ServiceId
from jujuberun.trace import PHASES, Arrival

BALANCERS = 2
# Each arrival of the trace becomes this many packets, spread over
# ARRIVAL_SPREAD_S. With fewer packets, a simulated buffer would hold packets of
# a much longer time than a real one: the default receive buffer of Linux holds
# about 90 datagrams, which arrive within 5 ms at 20,000 packets/s.
PACKETS_PER_ARRIVAL = 10
ARRIVAL_SPREAD_S = 5.0
# Capacity of the buffer of each service.
BUFFER_PACKETS = 32
# Capacity of the buffer that all services share in the baseline design.
SHARED_BUFFER_PACKETS = 64
# Maximum number of packets that one turn of the round robin reads from a
# socket. A backlogged socket, one with more packets than the full quantum, gets
# the small quantum so that it delays the other services by few packets.
QUANTUM_PACKETS = 16
BACKLOGGED_QUANTUM_PACKETS = 1


@dataclass(slots=True)
class SimulatedPacket:
    """A simulated datagram.

    Attributes:
        service: service that the datagram belongs to.
        at: arrival time in seconds.
    """

    service: ServiceId
    at: float


class RoundRobinBuffers:
    """One buffer for each service, read round robin as in a balancer."""

    def __init__(self) -> None:
        self._buffers: dict[ServiceId, deque[SimulatedPacket]] = {}
        self._service_order: deque[ServiceId] = deque()
        self._quantum_left = 0

    def push(self, packet: SimulatedPacket) -> bool:
        """Buffers a packet; returns False if the buffer is full."""
        buffer = self._buffers.get(packet.service)
        if buffer is None:
            buffer = self._buffers[packet.service] = deque()
            self._service_order.append(packet.service)
        if len(buffer) >= BUFFER_PACKETS:
            return False
        buffer.append(packet)
        return True

    def pop(self) -> SimulatedPacket | None:
        """Removes and returns the next packet, or None if there is none."""
        for _ in range(len(self._service_order) + 1):
            if not self._service_order:
                return None
            buffer = self._buffers[self._service_order[0]]
            if buffer and self._quantum_left:
                self._quantum_left -= 1
                return buffer.popleft()
            self._service_order.rotate(-1)
            backlogged = (
                len(self._buffers[self._service_order[0]]) > QUANTUM_PACKETS
            )
            self._quantum_left = (
                BACKLOGGED_QUANTUM_PACKETS if backlogged else QUANTUM_PACKETS
            )
        return None


class SharedBuffer:
    """One buffer for all services, the baseline of the measurement."""

    def __init__(self) -> None:
        self._buffer: deque[SimulatedPacket] = deque()

    def push(self, packet: SimulatedPacket) -> bool:
        """Buffers a packet; returns False if the buffer is full."""
        if len(self._buffer) >= SHARED_BUFFER_PACKETS:
            return False
        self._buffer.append(packet)
        return True

    def pop(self) -> SimulatedPacket | None:
        """Removes and returns the next packet, or None if there is none."""
        return self._buffer.popleft() if self._buffer else None


def simulate_forwarding(
    packets: Sequence[SimulatedPacket],
    packet_rate: float,
    buffers: RoundRobinBuffers | SharedBuffer,
) -> list[tuple[SimulatedPacket, float]]:
    """Simulates a balancer that forwards a limited number of packets a second.

    Args:
        packets: packets ordered by arrival time.
        packet_rate: maximum number of packets per second.
        buffers: empty receive buffers of the balancer.

    Returns:
        Each packet with its wait in seconds, infinite if it was dropped.
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
            now += 1.0 / packet_rate
        elif index < len(packets):
            now = packets[index].at
        else:
            return samples


def spread_over_balancers(
    flood: Iterable[Arrival], seed: int
) -> list[list[SimulatedPacket]]:
    """Distributes the packets of a flood over the balancers at random.

    Args:
        flood: arrivals of the trace.
        seed: seed of the random number generator.

    Returns:
        The packets of each balancer, ordered by arrival time.
    """
    rng = random.Random(seed)
    by_balancer: list[list[SimulatedPacket]] = [[] for _ in range(BALANCERS)]
    for arrival in flood:
        phase = next(p for p in PHASES if arrival.at < p.end)
        for _ in range(PACKETS_PER_ARRIVAL):
            at = arrival.at + ARRIVAL_SPREAD_S * (rng.random() - 0.5)
            # Times outside the phase are reflected at its ends, so that the
            # phase keeps all its packets at an even rate.
            at = 2.0 * phase.start - at if at < phase.start else at
            at = 2.0 * phase.end - at if at > phase.end else at
            received = by_balancer[rng.randrange(BALANCERS)]
            received.append(SimulatedPacket(arrival.service, at))
    for received in by_balancer:
        received.sort(key=lambda packet: packet.at)
    return by_balancer
