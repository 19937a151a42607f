"""Packets of flows that only callers and targets open and read."""

from socket import inet_ntoa
from typing import NamedTuple, Protocol

import xxhash

from jujuberun.ids import Address, PoolId

# Caller and service address, each 4 bytes IPv4 and 2 bytes port.
KEY_BYTES = 12
# A mark is the tag of a pool, the slots of the target, and the number of busy
# flows below which its agent takes a start.
_TAG_BITS, _SLOT_BITS, _ROOM_BITS = 16, 8, 8
ROOM_ANY = (1 << _ROOM_BITS) - 1  # the agent takes the start in any case
_MAX_SLOTS = (1 << _SLOT_BITS) - 1
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
    return xxhash.xxh3_64_intdigest(pool.encode()) % (1 << _TAG_BITS)


def make_mark(tag: int, slots: int, room: int) -> int:
    """Returns the mark of a packet to an agent.

    Args:
        tag: of the pool.
        slots: requests that the target runs at the same time.
        room: busy flows below which the agent takes a start, or ROOM_ANY.
    """
    slots = min(slots, _MAX_SLOTS)
    return (tag << _SLOT_BITS | slots) << _ROOM_BITS | room


def split_mark(mark: int) -> tuple[int, int, int]:
    """Returns tag, slots and room of a mark."""
    room = mark & ROOM_ANY
    slots = mark >> _ROOM_BITS & _MAX_SLOTS
    return mark >> (_SLOT_BITS + _ROOM_BITS), slots, room


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
