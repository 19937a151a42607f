"""Packets and owner lookups of an agent, and the interface to its flows."""

from dataclasses import dataclass
from typing import Any, Protocol

from jujuberun.candidates import FlowView
from jujuberun.ids import Address, FlowId, ServiceId, TargetId
from jujuberun.manifest import Service


@dataclass(slots=True)
class FlowPacket:
    """A caller's packet that was forwarded to this agent.

    Attributes:
        flow: flow id.
        forward: the Forward message that carries it.
        sender: peer address of the daemon that sent the message.
        balancer: peer address of the balancer that received the packet from
            the caller.
        was_held: whether the packet has already waited for the start packet
            of its flow.
    """

    flow: FlowId
    forward: Any
    sender: Address
    balancer: Address
    was_held: bool = False


@dataclass(slots=True)
class FlowLookup:
    """Packets of a flow that wait until the owner lookup has ended.

    Attributes:
        claim: the Claim that is sent to other agents to ask for the owner.
        packets: the waiting packets, oldest first.
    """

    claim: Any
    packets: list[FlowPacket]


class FlowHost(Protocol):
    """The agent's own flows, as the ownership logic uses them."""

    def owns(self, flow: FlowId) -> bool:
        """Returns whether this agent owns the flow."""

    def find_service_id(self, flow: FlowId) -> ServiceId | None:
        """Returns the service of an owned flow, or None."""

    def has_room(self) -> bool:
        """Returns whether this agent can take a new flow."""

    def choose_owner(
        self, view: FlowView, passed: tuple[str, ...], now: float
    ) -> TargetId | None:
        """Chooses the owner of a new flow; None if no target has room."""

    def create(self, packet: FlowPacket, service: Service, now: float) -> None:
        """Creates the flow of a start packet and delivers the packet."""

    def deliver(self, packet: FlowPacket, now: float) -> bool:
        """Delivers a packet and returns whether its flow is owned here."""

    def release(self, flow: FlowId) -> None:
        """Gives up a flow that another agent owns as well."""
