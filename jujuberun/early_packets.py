"""Holds packets that may have overtaken the start packet of their flow."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from jujuberun.containment.units import contain_errors
from jujuberun.first_packet import FirstPacket
from jujuberun.flow_packet import FlowPacket
from jujuberun.ids import FlowId

# Packets of one flow that pass through different balancers arrive within a
# few milliseconds of each other.
START_WAIT_S = 0.1
MAX_PACKETS_PER_FLOW = 16
MAX_FLOWS = 10_000


# Held packets of a flow; started is set when a start packet arrives.
@dataclass(slots=True)
class _EarlyFlow:
    rule: FirstPacket
    packets: list[FlowPacket]
    started: anyio.Event = field(default_factory=anyio.Event)


class EarlyPackets:
    """Holds packets of unknown flows whose start packet may still arrive."""

    def __init__(self, route: Callable[[FlowPacket, float], None]) -> None:
        self._route = route
        self._flows: dict[FlowId, _EarlyFlow] = {}

    def add(self, packet: FlowPacket) -> bool:
        """Adds a packet if its flow is held, and returns whether it is."""
        held = self._flows.get(packet.flow)
        if held is None:
            return False
        if len(held.packets) < MAX_PACKETS_PER_FLOW:
            # Raises on a packet without a payload, before it is held.
            starts = held.rule.accepts(packet.forward.payload)
            held.packets.append(packet)
            if starts:
                held.started.set()
        return True

    def hold(
        self, packet: FlowPacket, rule: FirstPacket, group: TaskGroup
    ) -> bool:
        """Holds a packet for START_WAIT_S or until its start packet arrives.

        Args:
            packet: a packet of an unknown flow that cannot start the flow.
            rule: tells which packets may start the flow.
            group: task group of the task that waits.

        Returns:
            True if the packet is held; False if it was held before or the
            packets of MAX_FLOWS flows are held already.
        """
        if packet.was_held:
            return False
        if self.add(packet):
            return True
        if len(self._flows) >= MAX_FLOWS:
            return False
        self._flows[packet.flow] = _EarlyFlow(rule, [packet])
        group.start_soon(self._wait, packet.flow)
        return True

    async def _wait(self, flow: FlowId) -> None:
        held = self._flows[flow]
        with anyio.move_on_after(START_WAIT_S):
            await held.started.wait()
        del self._flows[flow]
        now = anyio.current_time()
        starts_first = sorted(
            held.packets,
            key=lambda packet: not held.rule.accepts(packet.forward.payload),
        )
        for packet in starts_first:
            packet.was_held = True
            with contain_errors("packet that was held"):
                self._route(packet, now)
