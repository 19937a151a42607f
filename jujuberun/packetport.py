"""Port on which a balancer sends and receives packets of flows."""

from jujuberun.flowtable import FlowEntry
from jujuberun.frames import (
    CONFIRMATION_REQUESTED,
    NO_BUSY_LIMIT,
    Frame,
    FrameCodec,
    make_mark,
    make_tag,
    unpack_caller,
)
from jujuberun.ids import PoolId
from jujuberun.port import BatchHandler, Port
from jujuberun.target_state import TargetState


class PacketPort:
    """Sends marked packets to agents, and resets to callers."""

    def __init__(self, port: Port, codec: FrameCodec) -> None:
        """Builds the port of a balancer.

        Args:
            port: sends and receives the packets.
            codec: format of the packets.
        """
        self.parse = codec.read_request
        self._port = port
        self._codec = codec
        self._tags: dict[PoolId, int] = {}

    @property
    def port_number(self) -> int:
        """Port number; agents and callers use the same one."""
        return self._port.address[1]

    async def serve(self, handle: BatchHandler) -> None:
        """Calls handle(batch, now) with packets until cancelled."""
        await self._port.serve(handle)

    def send_start(
        self,
        entry: FlowEntry,
        candidate: TargetState,
        busy_limit: int,
        names_pool: bool,
    ) -> None:
        """Offers the start of a flow to a target.

        Args:
            entry: the flow, including its start packet.
            candidate: the target.
            busy_limit: number of busy flows below which the agent accepts the
                start, or NO_BUSY_LIMIT.
            names_pool: whether the start carries the name of the target's pool.
        """
        pool = candidate.pool.encode() if names_pool else b""
        marked = self._mark(entry.start_packet, candidate, busy_limit)
        self._port.send(self._codec.add_pool(marked, pool), candidate.agent)

    def send_packet(self, data: bytes, candidate: TargetState) -> None:
        """Sends a packet after the start of a flow to a target."""
        self._send(data, candidate, NO_BUSY_LIMIT)

    def send_inquiry(self, data: bytes, candidate: TargetState) -> None:
        """Sends a packet after the start, and requests a confirmation."""
        self._send(data, candidate, CONFIRMATION_REQUESTED)

    def send_reset(self, frame: Frame) -> None:
        """Sends the caller of a packet a reset of its flow."""
        host, _ = unpack_caller(frame.key)
        self._port.send(self._codec.make_reset(frame), (host, self.port_number))

    def _send(
        self, data: bytes, candidate: TargetState, busy_limit: int
    ) -> None:
        marked = self._mark(data, candidate, busy_limit)
        self._port.send(marked, candidate.agent)

    def _mark(
        self, data: bytes, candidate: TargetState, busy_limit: int
    ) -> bytes:
        tag = self._tags.get(candidate.pool)
        if tag is None:
            tag = self._tags[candidate.pool] = make_tag(candidate.pool)
        mark = make_mark(tag, candidate.slots, busy_limit)
        return self._codec.set_mark(data, mark)
