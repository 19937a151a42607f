"""Sends starts to targets, with the names of pools where they are read."""

from collections import Counter

from jujuberun.flowtable import FlowEntry, Offer
from jujuberun.packetport import PacketPort
from jujuberun.poolcheck.agent_versions import AgentVersions
from jujuberun.target_state import TargetState


class OfferSender:
    """Sends offers of starts for one balancer.

    Attributes:
        versions: which agents read names.
    """

    def __init__(self, port: PacketPort, counts: Counter[str]) -> None:
        """Builds the sender.

        Args:
            port: sends packets to agents.
            counts: event counters of the balancer.
        """
        self.versions = AgentVersions()
        self._port = port
        self._counts = counts

    def send(
        self, entry: FlowEntry, offer: Offer, candidate: TargetState, now: float
    ) -> None:
        """Sends the start of a flow to the target of an offer."""
        offer.is_named = self.versions.sends_name(candidate, now)
        self._port.send_start(
            entry, candidate, offer.busy_limit, offer.is_named
        )

    def send_name(
        self,
        entry: FlowEntry,
        offer: Offer | None,
        candidate: TargetState,
        now: float,
    ) -> None:
        """Sends a start again, to an agent that asked for the pool's name."""
        self.versions.record_request(candidate)
        self._counts["pools_named"] += 1
        if offer is not None and entry.start_packet is not None:
            self.send(entry, offer, candidate, now)
