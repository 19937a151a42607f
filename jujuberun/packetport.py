"""Port of a balancer for packets of flows."""

from jujuberun.flowtable import FlowEntry
from jujuberun.frames import (
    ROOM_ANY,
    Frame,
    FrameCodec,
    find_caller,
    make_mark,
    make_tag,
)
from jujuberun.ids import PoolId
from jujuberun.port import Handler, Port
from jujuberun.steering import Candidate


class PacketPort:
    """Marks packets for agents, and sends resets to callers."""

    def __init__(self, port: Port, codec: FrameCodec) -> None:
        """Args: the port, and the format of its packets."""
        self.read = codec.read_request
        self._port = port
        self._codec = codec
        self._tags: dict[PoolId, int] = {}

    @property
    def number(self) -> int:
        """Port number, which agents and callers use too."""
        return self._port.address[1]

    async def serve(self, handle: Handler) -> None:
        """Calls handle(batch, now) with packets until cancelled."""
        await self._port.serve(handle)

    def send_start(
        self, entry: FlowEntry, candidate: Candidate, room: int
    ) -> None:
        """Offers the start of a flow to a target.

        Args:
            entry: the flow, with its start packet.
            candidate: the target.
            room: busy flows below which the agent takes it, or ROOM_ANY.
        """
        self._send(entry.start, candidate, room)

    def send_later(self, data: bytes, candidate: Candidate) -> None:
        """Sends a packet of a flow that has begun to a target."""
        self._send(data, candidate, ROOM_ANY)

    def send_reset(self, frame: Frame) -> None:
        """Resets the flow of a packet towards its caller."""
        host, _ = find_caller(frame.key)
        self._port.send(self._codec.make_reset(frame), (host, self.number))

    def _send(self, data: bytes, candidate: Candidate, room: int) -> None:
        tag = self._tags.get(candidate.pool)
        if tag is None:
            tag = self._tags[candidate.pool] = make_tag(candidate.pool)
        mark = make_mark(tag, candidate.slots, room)
        self._port.send(self._codec.set_mark(data, mark), candidate.agent)
