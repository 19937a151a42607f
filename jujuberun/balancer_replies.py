"""Hints and resets that an agent sends to balancers."""

from collections import Counter

from jujuberun.flow_packet import FlowPacket
from jujuberun.ids import Address
from jujuberun.peers import Peers
from jujuberun.wire import Hint, Reset, pack_address, quote


class Replies:
    """Sends hints and resets, and chooses balancers for answers."""

    def __init__(self, peers: Peers, counts: Counter[str]) -> None:
        self._peers = peers
        self._counts = counts
        self._last_heard: dict[Address, float] = {}

    def record_balancer(self, balancer: Address, now: float) -> None:
        """Records that a balancer has just forwarded a packet."""
        self._last_heard[balancer] = now

    def choose_balancer(self, last: Address, now: float) -> Address:
        """Returns the balancer that passes an answer to its caller.

        Args:
            last: the balancer that forwarded the flow's last packet.
            now: seconds, monotonic.

        Returns:
            `last`, unless it is draining or suspected. In that case, of the
            balancers that are neither draining nor suspected, the one that
            forwarded a packet most recently, or `last` if there is none.
        """
        peer = self._peers.find(last)
        if not peer.draining and not peer.is_suspected(now):
            return last
        best, best_heard = last, 0.0
        for address, heard in self._last_heard.items():
            other = self._peers.find(address)
            if other.draining or other.is_suspected(now):
                continue
            if heard > best_heard:
                best, best_heard = address, heard
        return best

    def send_hint(
        self, packet: FlowPacket, service_id: str, owner: str, agent: Address
    ) -> None:
        """Tells the balancer of a packet which target owns its flow."""
        message = Hint(
            service_id,
            packet.forward.address,
            packet.forward.caller,
            owner,
            pack_address(agent),
        )
        self._peers.send(message, packet.balancer)

    def send_reset(
        self, packet: FlowPacket, reason: str, retry_after: int
    ) -> None:
        """Sends a reset for the caller of a packet to its balancer.

        Args:
            packet: the packet that is refused.
            reason: reason code for the caller.
            retry_after: time after which the caller may retry, milliseconds.
        """
        self._counts[f"reset_{reason}"] += 1
        message = Reset(
            packet.forward.address,
            packet.forward.caller,
            reason,
            retry_after,
            quote(packet.forward.payload),
        )
        self._peers.send(message, packet.balancer)
