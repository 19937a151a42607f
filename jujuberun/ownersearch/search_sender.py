"""Sends packets of flows whose owner is searched."""

from collections import Counter

from jujuberun.ids import TargetId
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.packetport import PacketPort
from jujuberun.steering import Steering


class SearchSender:
    """Sends copies of packets to targets, and kept packets to the owner."""

    def __init__(
        self,
        port: PacketPort,
        steering: Steering,
        clock: AnswerClock,
        counts: Counter[str],
    ) -> None:
        """Builds the sender of one balancer.

        Args:
            port: sends packets to agents.
            steering: knows the targets.
            clock: times of inquiries and their answers.
            counts: event counters of the balancer.
        """
        self._port = port
        self._steering = steering
        self._clock = clock
        self._counts = counts

    def ask(self, search: FlowSearch, target: TargetId, now: float) -> None:
        """Sends the packet of a search to a target."""
        search.record_inquiry(target, now)
        candidate = self._steering.find(target)
        if candidate is None:
            return
        if search.expects_answer:
            candidate.record_inquiry(now)
        self._counts["search_copies"] += 1
        self._port.send_inquiry(search.packet, candidate)

    def send_to_only_left(
        self, search: FlowSearch, target: TargetId, data: bytes, now: float
    ) -> None:
        """Sends a packet to the only target that has not returned one.

        One packet in the measured time requests a confirmation.
        """
        self.send_kept(search, target, now)
        if now - search.inquiries[target].last_at < self._clock.timeout:
            self._send_to(target, data)
            return
        self.ask(search, target, now)
        if search.packet is not data:
            self._send_to(target, data)

    def send_kept(
        self, search: FlowSearch, owner: TargetId, now: float
    ) -> None:
        """Sends the packets that waited for the owner, unless too old."""
        since = self._clock.find_kept_since(now)
        for data in search.take_packets(owner, since):
            self._send_to(owner, data)

    def _send_to(self, target: TargetId, data: bytes) -> None:
        candidate = self._steering.find(target)
        if candidate is not None:
            self._port.send_packet(data, candidate)
