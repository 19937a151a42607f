"""A packet on its way through an agent, and what its owner logic needs."""

from dataclasses import dataclass
from typing import Any, Protocol

from jujuberun.candidates import View
from jujuberun.ids import Address, FlowId, ServiceId, TargetId
from jujuberun.manifest import Service


@dataclass(slots=True)
class Packet:
    """A packet on its way through this agent.

    Attributes:
        flow: its flow id.
        forward: the message that carries it.
        sender: daemon that sent the message.
        balancer: balancer that received it from the caller.
        early: it waited for the start of its flow already.
    """

    flow: FlowId
    forward: Any
    sender: Address
    balancer: Address
    early: bool = False


@dataclass(slots=True)
class Resolution:
    """Packets of a flow that wait while its owner is sought."""

    claim: Any
    packets: list[Packet]


class Host(Protocol):
    """What the agent does for its ownership logic."""

    def owns(self, flow: FlowId) -> bool:
        """Returns whether this agent owns the flow."""

    def find_service_id(self, flow: FlowId) -> ServiceId | None:
        """Returns the service of an owned flow, or None."""

    def has_room(self) -> bool:
        """Returns whether this agent takes new flows."""

    def choose_owner(
        self, view: View, passed: tuple[str, ...], now: float
    ) -> TargetId | None:
        """Returns the owner of a new flow, or None when nobody has room."""

    def create(self, packet: Packet, service: Service, now: float) -> None:
        """Creates the flow of a start packet and delivers the packet."""

    def deliver(self, packet: Packet, now: float) -> bool:
        """Delivers a packet of an owned flow; False when it is not owned."""

    def release(self, flow: FlowId) -> None:
        """Gives up an owned flow that another agent owns too."""
