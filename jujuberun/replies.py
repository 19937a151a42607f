"""Messages of an agent to balancers."""

from collections import Counter

from jujuberun.ids import Address
from jujuberun.packet import Packet
from jujuberun.peers import Peers
from jujuberun.wire import Hint, Reset, pack_address, quote


class Replies:
    """Sends hints and resets, and chooses the balancers of answers."""

    def __init__(self, peers: Peers, counts: Counter[str]) -> None:
        self._peers = peers
        self._counts = counts
        self._balancers: dict[Address, float] = {}

    def note_heard(self, balancer: Address, now: float) -> None:
        """Notes a packet that a balancer carried."""
        self._balancers[balancer] = now

    def choose_balancer(self, last: Address, now: float) -> Address:
        """Returns the balancer that takes an answer to its caller.

        Args:
            last: the one that carried the flow's last packet.
            now: seconds, monotonic.

        Returns:
            The last one, or the one heard most recently if that is gone.
        """
        peer = self._peers.find(last)
        if not peer.draining and not peer.is_suspected(now):
            return last
        best, heard = last, 0.0
        for address, when in self._balancers.items():
            other = self._peers.find(address)
            if other.draining or other.is_suspected(now):
                continue
            if when > heard:
                best, heard = address, when
        return best

    def hint(
        self, packet: Packet, service_id: str, owner: str, agent: Address
    ) -> None:
        """Tells the balancer of a packet who owns its flow."""
        message = Hint(
            service_id,
            packet.forward.address,
            packet.forward.caller,
            owner,
            pack_address(agent),
        )
        self._peers.send(message, packet.balancer)

    def reset(self, packet: Packet, reason: str, retry_after: int) -> None:
        """Answers the caller of a packet with an explicit reset.

        Args:
            packet: the packet that is refused.
            reason: short word for the caller.
            retry_after: milliseconds.
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
