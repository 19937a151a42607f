"""Packets of flows that only callers and targets open and read."""

from socket import inet_ntoa
from typing import NamedTuple, Protocol

import xxhash

from jujuberun.ids import Address, PoolId

# Caller and service address, each 4 bytes IPv4 and 2 bytes port.
KEY_BYTES = 12
# A mark is the tag of a pool, and the number of busy flows up to which an agent
# takes a start.
ROOM_BITS = 16
ROOM_MASK = 0xFFFF
ROOM_ANY = 0xFF  # the agent takes the start whatever its load is
# Seconds after its first start packet at which a caller sends each copy.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
_SEQUENCE_SPACE = 1 << 32


class Frame(NamedTuple):
    """Header of one packet; the payload stays opaque.

    Attributes:
        key: packed address of the caller, then of the service. It names the
            flow in both directions.
        starts: the packet opens a flow, or answers one that does.
        copy: how often the caller sent this start packet before.
        sequence: of the sender, 32 bits.
        acknowledged: sequence that the sender has received, 32 bits.
        size: bytes of payload.
        closes: the sender sends no more data.
        resets: the sender has ended the flow.
        bounced: a target returned the packet, because it does not hold the
            flow or takes no new one.
        mark: 32 bits for the daemons' own use.
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


class FrameCodec(Protocol):
    """Reads and marks packets; their format is that of the network."""

    def read_request(self, data: bytes) -> Frame | None:
        """Reads a packet from a caller; None when it is malformed."""

    def read_answer(self, data: bytes) -> Frame | None:
        """Reads a packet from a target; None when it is malformed.

        A bounced packet keeps its form: it is one of the caller.
        """

    def set_mark(self, data: bytes, mark: int) -> bytes:
        """Returns the packet with this mark and no sign of a bounce."""

    def set_bounced(self, data: bytes) -> bytes:
        """Returns the packet as a target bounces it."""

    def make_reset(self, frame: Frame) -> bytes:
        """Returns a reset of the flow for the caller that sent a packet."""


def make_tag(pool: PoolId) -> int:
    """Returns 16 bits by which an agent recognises packets of its pool."""
    return xxhash.xxh3_64_intdigest(pool.encode()) & 0xFFFF


def find_caller(key: bytes) -> Address:
    """Returns the caller's address of a flow."""
    return inet_ntoa(key[:4]), int.from_bytes(key[4:6], "big")


def find_service(key: bytes) -> Address:
    """Returns the service address of a flow."""
    return inet_ntoa(key[6:10]), int.from_bytes(key[10:12], "big")


def find_copy_delay(copy: int) -> float:
    """Returns the seconds between a caller's first start and this copy."""
    return COPY_DELAYS_S[min(copy, len(COPY_DELAYS_S) - 1)]


def measure_distance(sequence: int, acknowledged: int) -> int:
    """Returns how far a sequence number is behind an acknowledged one."""
    return (acknowledged - sequence) % _SEQUENCE_SPACE
