"""State of a flow at the agent of its target."""

from dataclasses import dataclass

from jujuberun.frames import Frame, compute_sequence_distance
from jujuberun.ids import Address

# A caller that acknowledges more bytes uses its port again for another flow.
MAX_FLOW_BYTES = 1 << 26


@dataclass(slots=True)
class SidecarFlow:
    """State of a flow at the target; times are seconds, monotonic.

    Attributes:
        key: flow key: packed addresses of the caller and the service.
        balancer: address of the balancer that sent the last packet.
        used_at: time of the last packet.
        waiting_since: time since which the flow waits for an answer of the
            target, None if it does not wait.
        was_queued: whether all slots were busy when the flow began to wait.
        has_request: whether the caller has sent a packet after the start.
        accepted: whether the target has answered the start.
        sequence: first sequence number of the target, once it has answered.
        caller_closed: whether the caller sends no more data.
        target_closed: whether the target sends no more data.
    """

    key: bytes
    balancer: Address
    used_at: float
    waiting_since: float | None
    was_queued: bool = False
    has_request: bool = False
    accepted: bool = False
    sequence: int = 0
    caller_closed: bool = False
    target_closed: bool = False

    def includes(self, frame: Frame) -> bool:
        """Returns whether a caller's packet belongs to this flow.

        Its port may have been used for another flow.
        """
        received = compute_sequence_distance(self.sequence, frame.acknowledged)
        return received < MAX_FLOW_BYTES
