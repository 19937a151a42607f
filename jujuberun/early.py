"""Packets that may have overtaken the start packet of their flow."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from jujuberun.ids import FlowId
from jujuberun.manifest import FirstPacket
from jujuberun.packet import Packet

EARLY_S = 0.1  # sprayed packets of one flow arrive within a few milliseconds
QUEUE_PACKETS = 16  # of one flow
MAX_FLOWS = 10_000


@dataclass(slots=True)
class _Held:
    rule: FirstPacket
    packets: list[Packet]
    started: anyio.Event = field(default_factory=anyio.Event)


class EarlyPackets:
    """Holds packets of unknown flows for EARLY_S before they are reset."""

    def __init__(self, place: Callable[[Packet, float], None]) -> None:
        self._place = place
        self._held: dict[FlowId, _Held] = {}

    def add(self, packet: Packet) -> bool:
        """Adds a packet of a flow with held packets; False without any."""
        held = self._held.get(packet.flow)
        if held is None:
            return False
        if len(held.packets) < QUEUE_PACKETS:
            held.packets.append(packet)
            if held.rule.accepts(packet.forward.payload):
                held.started.set()
        return True

    def hold(self, packet: Packet, rule: FirstPacket, group: TaskGroup) -> bool:
        """Holds a packet until its flow's start arrives, or EARLY_S passed.

        Args:
            packet: a packet of an unknown flow that may not start it.
            rule: which packets may start the flow.
            group: takes the task that waits.

        Returns:
            False when it was held before, or too many flows are held.
        """
        if packet.early:
            return False
        if self.add(packet):
            return True
        if len(self._held) >= MAX_FLOWS:
            return False
        self._held[packet.flow] = _Held(rule, [packet])
        group.start_soon(self._wait, packet.flow)
        return True

    async def _wait(self, flow: FlowId) -> None:
        held = self._held[flow]
        with anyio.move_on_after(EARLY_S):
            await held.started.wait()
        del self._held[flow]
        now = anyio.current_time()
        starts_first = sorted(
            held.packets,
            key=lambda packet: not held.rule.accepts(packet.forward.payload),
        )
        for packet in starts_first:
            packet.early = True
            self._place(packet, now)
