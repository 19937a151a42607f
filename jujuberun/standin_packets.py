"""Minimal packet format, port and peers for measurements."""

import struct
from collections.abc import Callable
from typing import Any

from jujuberun.frames import KEY_BYTES, Bouncer, Frame
from jujuberun.ids import Address

_HEADER = struct.Struct(">12sBIII")
_STARTS_FLAG, _BOUNCED_FLAG, _NAMES_POOL_FLAG = 1, 2, 4
_MARK_OFFSET = _HEADER.size - 4
_FLAGS_OFFSET = KEY_BYTES


def pack_packet(
    key: bytes, starts: bool, sequence: int, acknowledged: int, data: bytes
) -> bytes:
    """Returns a packet of a flow in the format of PlainCodec."""
    flags = _STARTS_FLAG if starts else 0
    return _HEADER.pack(key, flags, sequence, acknowledged, 0) + data


class PlainCodec:
    """A packet format that has only the fields that daemons read."""

    def read_request(self, data: bytes) -> Frame | None:
        """Parses a packet from a caller; returns None if it is malformed."""
        if len(data) < _HEADER.size:
            return None
        key, flags, sequence, acknowledged, mark = _HEADER.unpack_from(data)
        return Frame(
            key,
            bool(flags & _STARTS_FLAG),
            0,
            sequence,
            acknowledged,
            len(data) - _HEADER.size,
            False,
            False,
            bool(flags & _BOUNCED_FLAG),
            mark,
        )

    read_answer = read_request

    def set_mark(self, data: bytes, mark: int) -> bytes:
        """Returns the packet with this mark and the bounce flag cleared."""
        changed = bytearray(data)
        changed[_FLAGS_OFFSET] &= ~_BOUNCED_FLAG
        changed[_MARK_OFFSET : _HEADER.size] = mark.to_bytes(4, "big")
        return bytes(changed)

    def add_pool(self, data: bytes, pool: bytes) -> bytes:
        """Returns a marked packet with the name of a pool behind it."""
        changed = bytearray(data)
        changed[_FLAGS_OFFSET] |= _NAMES_POOL_FLAG
        return bytes(changed) + pool + bytes([len(pool)])

    def split_pool(self, data: bytes) -> tuple[bytes, bytes | None]:
        """Returns a packet and the name of the pool that was behind it."""
        if not data[_FLAGS_OFFSET] & _NAMES_POOL_FLAG:
            return data, None
        end = len(data) - 1 - data[-1]
        changed = bytearray(data[:end])
        changed[_FLAGS_OFFSET] &= ~_NAMES_POOL_FLAG
        return bytes(changed), data[end:-1]

    def set_bounced(
        self, data: bytes, bouncer: Bouncer = Bouncer.UNSTATED
    ) -> bytes:
        """Returns the packet with the bounce flag set.

        This format does not state who returns a packet.
        """
        changed = bytearray(data)
        changed[_FLAGS_OFFSET] |= _BOUNCED_FLAG
        return bytes(changed)

    def make_reset(self, frame: Frame) -> bytes:
        """Returns an empty packet of the flow in place of a reset."""
        return pack_packet(frame.key, False, 0, 0, b"")


class CallbackPort:
    """A port that passes each sent packet to a function."""

    def __init__(
        self, address: Address, deliver: Callable[[bytes, Address], None]
    ) -> None:
        """Creates a port.

        Args:
            address: local address.
            deliver: called with each packet and its destination.
        """
        self.address = address
        self._deliver = deliver

    def send(self, data: bytes, address: Address) -> bool:
        """Passes a packet and its destination to the function."""
        self._deliver(data, address)
        return True


class RecordingPeers:
    """Peers that record the messages that a daemon sends.

    Attributes:
        address: peer address of the daemon.
        sent: messages sent so far.
        handlers: what the daemon does with a message, by its type.
    """

    def __init__(self, address: Address) -> None:
        """Creates an object with this peer address and no messages."""
        self.address = address
        self.sent: list[Any] = []
        self.handlers: dict[type, Callable[..., None]] = {}

    def register(self, kind: type, handler: Callable[..., None]) -> None:
        """Records what the daemon does with messages of a type."""
        self.handlers[kind] = handler

    def subscribe_pauses(self, listener: Callable[[float], None]) -> None:
        """Does nothing: the process never pauses."""

    def send(self, message: Any, address: Address) -> None:
        """Records a message."""
        self.sent.append(message)
