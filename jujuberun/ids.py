"""Identifiers and states that all modules share."""

from enum import Enum, IntEnum
from typing import NewType

ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
VmId = NewType("VmId", str)
DomainId = NewType("DomainId", str)
PoolId = NewType("PoolId", str)
RequestId = NewType("RequestId", str)
FlowId = NewType("FlowId", bytes)
Generation = NewType("Generation", int)

# An IPv4 address in dotted form and a port, as the socket module has it.
Address = tuple[str, int]


class Role(Enum):
    """What a daemon does, by its settings."""

    BALANCER = "balancer"
    AGENT = "agent"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Urgency(IntEnum):
    """Urgency class of a service; a lower value goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Protocol(Enum):
    """Who ends the flows of a service, and how.

    Attributes:
        DATAGRAM: the agent, with a socket to its target for each flow.
        REQUEST: the agent, as an HTTP/3 server.
        PACKET: the target itself; daemons carry its packets unchanged.
    """

    DATAGRAM = "datagram"
    REQUEST = "request"
    PACKET = "packet"


class Outcome(Enum):
    """What a caller learns about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
