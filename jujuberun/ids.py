"""Identifier types and enumerations that several modules use."""

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
# Position of a document and epoch of the platform: the higher one is newer.
Rank = tuple[int, int]

# An IPv4 address in dotted form and a port, as in the socket module.
Address = tuple[str, int]


class Role(Enum):
    """Role of a daemon, set in its settings."""

    BALANCER = "balancer"
    AGENT = "agent"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Urgency(IntEnum):
    """Urgency class of a service; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class ServiceKind(Enum):
    """What the requests of a service do, as far as it concerns a repetition.

    Attributes:
        IDEMPOTENT: running a request twice does no harm.
        NON_IDEMPOTENT: a request whose flow has opened must not be repeated.
        UPLOAD: as NON_IDEMPOTENT, with a large body.
        DOWNLOAD: idempotent requests with a large answer.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"


class Protocol(Enum):
    """How the flows of a service are terminated.

    Attributes:
        DATAGRAM: by the agent, which opens a socket to its target for each
            flow.
        REQUEST: by the agent, as an HTTP/3 server.
        PACKET: by the target itself; daemons forward packets unchanged.
    """

    DATAGRAM = "datagram"
    REQUEST = "request"
    PACKET = "packet"


class Outcome(Enum):
    """Outcome of a request, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
