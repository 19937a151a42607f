"""Headers of packets whose payload only callers and targets read."""

from enum import Enum
from socket import inet_ntoa
from typing import NamedTuple, Protocol

import xxhash

from jujuberun.ids import Address, PoolId

# A flow key holds the addresses of the caller and the service, each as 4 bytes
# IPv4 address and 2 bytes port.
KEY_BYTES = 12
# Most payload bytes of a packet. A request that needs more packets fills all
# but the last one.
MAX_PAYLOAD_BYTES = 1_200
# A mark consists of the pool's tag, the target's slots and the busy limit. The
# agent accepts a start only while its target has fewer busy flows than that.
# The tag is a hash, which two pools may share; starts carry the name, too.
_TAG_BITS, _SLOT_BITS, _BUSY_LIMIT_BITS = 16, 8, 8
# With this busy limit, an agent accepts a start however busy its target is.
NO_BUSY_LIMIT = (1 << _BUSY_LIMIT_BITS) - 1
# In packets after the start of a flow, this busy limit requests a confirmation
# from the agent of the target that holds the flow.
CONFIRMATION_REQUESTED = NO_BUSY_LIMIT - 1
_MAX_SLOTS = (1 << _SLOT_BITS) - 1
# Seconds after its first start packet at which a caller sends that packet (0.0)
# and its copies.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
_SEQUENCE_SPACE = 1 << 32


class Bouncer(Enum):
    """Who returned a packet.

    Attributes:
        UNSTATED: not stated: the target itself, or an agent of the version
            before, for its target or for itself.
        TARGET: the target, through its agent.
        AGENT: the agent, because the packet is meant for another pool; its
            target has not seen the packet.
    """

    UNSTATED = 0
    TARGET = 2
    AGENT = 3


class Frame(NamedTuple):
    """Header of one packet; daemons do not read the payload.

    Attributes:
        key: packed address of the caller, then of the service. It identifies
            the flow in both directions.
        starts: whether the packet opens a flow, or answers one that does.
        copy: number of times that the caller sent this start packet before.
        sequence: sequence number of the sender, 32 bits.
        acknowledged: sequence number that the sender has received, 32 bits.
        size: payload size in bytes.
        closes: whether the sender sends no more data.
        resets: whether the sender has aborted the flow.
        bounced: whether a target returned the packet, because it does not
            hold the flow or accepts no new one.
        mark: 32 bits reserved for the daemons.
        bouncer: who returned the packet, if it was returned.
    """

    key: bytes
    starts: bool
    copy: int
    sequence: int
    acknowledged: int
    size: int
    closes: bool
    resets: bool
    bounced: bool
    mark: int
    bouncer: Bouncer = Bouncer.UNSTATED


class FrameCodec(Protocol):
    """Reads and marks packets in the format of the network."""

    def read_request(self, data: bytes) -> Frame | None:
        """Parses a packet from a caller; returns None if it is malformed."""

    def read_answer(self, data: bytes) -> Frame | None:
        """Parses a packet from a target; returns None if it is malformed.

        A bounced packet is parsed like a packet from the caller, because it
        still has the caller's header.
        """

    def set_mark(self, data: bytes, mark: int) -> bytes:
        """Returns the packet with this mark and the bounce flag cleared."""

    def add_pool(self, data: bytes, pool: bytes) -> bytes:
        """Returns a marked packet with the name of a pool behind it.

        An empty name tells the agent that the balancer can send names.
        """

    def split_pool(self, data: bytes) -> tuple[bytes, bytes | None]:
        """Returns a packet and the name of the pool that was behind it.

        The name is None if the balancer cannot send names.
        """

    def set_bounced(
        self, data: bytes, bouncer: Bouncer = Bouncer.UNSTATED
    ) -> bytes:
        """Returns the packet with the bounce flag set, and who returns it."""

    def make_reset(self, frame: Frame) -> bytes:
        """Returns a reset of a packet's flow, addressed to its caller."""


def make_tag(pool: PoolId) -> int:
    """Returns a 16-bit hash of a pool's name, for agents that read no names."""
    return xxhash.xxh3_64_intdigest(pool.encode()) % (1 << _TAG_BITS)


def make_mark(tag: int, slots: int, busy_limit: int) -> int:
    """Returns the mark of a packet to an agent.

    Args:
        tag: tag of the pool.
        slots: requests that the target runs at the same time.
        busy_limit: number of busy flows below which the agent accepts a start,
            or NO_BUSY_LIMIT.
    """
    slots = min(slots, _MAX_SLOTS)
    return (tag << _SLOT_BITS | slots) << _BUSY_LIMIT_BITS | busy_limit


def split_mark(mark: int) -> tuple[int, int, int]:
    """Returns tag, slots and busy limit of a mark."""
    busy_limit = mark & NO_BUSY_LIMIT
    slots = mark >> _BUSY_LIMIT_BITS & _MAX_SLOTS
    return mark >> (_SLOT_BITS + _BUSY_LIMIT_BITS), slots, busy_limit


def unpack_caller(key: bytes) -> Address:
    """Returns the caller's address from a flow key."""
    return inet_ntoa(key[:4]), int.from_bytes(key[4:6], "big")


def unpack_service(key: bytes) -> Address:
    """Returns the service address from a flow key."""
    return inet_ntoa(key[6:10]), int.from_bytes(key[10:12], "big")


def get_service(key: bytes) -> bytes:
    """Returns the packed service address from a flow key."""
    return key[6:]


def get_copy_delay(copy: int) -> float:
    """Returns the seconds from a caller's first start packet to a copy."""
    return COPY_DELAYS_S[min(copy, len(COPY_DELAYS_S) - 1)]


def compute_sequence_distance(sequence: int, acknowledged: int) -> int:
    """Returns how far a sequence number is behind an acknowledged one.

    Sequence numbers wrap around at 32 bits.
    """
    return (acknowledged - sequence) % _SEQUENCE_SPACE
