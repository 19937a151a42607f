"""Stand-ins of a packet format, ports and peers, for measurements."""

import struct
from collections.abc import Callable
from typing import Any

from jujuberun.frames import KEY_BYTES, Frame
from jujuberun.ids import Address

_HEADER = struct.Struct(">12sBIII")
_STARTS, _BOUNCED = 1, 2
_MARK_AT = _HEADER.size - 4
_FLAGS_AT = KEY_BYTES


def pack_packet(
    key: bytes, starts: bool, sequence: int, acknowledged: int, data: bytes
) -> bytes:
    """Returns a packet of a flow."""
    flags = _STARTS if starts else 0
    return _HEADER.pack(key, flags, sequence, acknowledged, 0) + data


class PlainCodec:
    """A packet format with nothing but the fields that daemons read."""

    def read_request(self, data: bytes) -> Frame | None:
        """Reads a packet from a caller; None when it is malformed."""
        if len(data) < _HEADER.size:
            return None
        key, flags, sequence, acknowledged, mark = _HEADER.unpack_from(data)
        return Frame(
            key,
            bool(flags & _STARTS),
            0,
            sequence,
            acknowledged,
            len(data) - _HEADER.size,
            False,
            False,
            bool(flags & _BOUNCED),
            mark,
        )

    read_answer = read_request

    def set_mark(self, data: bytes, mark: int) -> bytes:
        """Returns the packet with this mark and no sign of a bounce."""
        changed = bytearray(data)
        changed[_FLAGS_AT] &= ~_BOUNCED
        changed[_MARK_AT : _HEADER.size] = mark.to_bytes(4, "big")
        return bytes(changed)

    def set_bounced(self, data: bytes) -> bytes:
        """Returns the packet as a target bounces it."""
        changed = bytearray(data)
        changed[_FLAGS_AT] |= _BOUNCED
        return bytes(changed)

    def make_reset(self, frame: Frame) -> bytes:
        """Returns a reset of the flow for the caller that sent a packet."""
        return pack_packet(frame.key, False, 0, 0, b"")


class SinkPort:
    """A port that hands what is sent to a function."""

    def __init__(
        self, address: Address, take: Callable[[bytes, Address], None]
    ) -> None:
        """Args: own address, and what gets each packet with its receiver."""
        self.address = address
        self._take = take

    def send(self, data: bytes, address: Address) -> bool:
        """Hands a packet over."""
        self._take(data, address)
        return True


class SinkPeers:
    """Messages of a daemon that end in a list."""

    def __init__(self, address: Address) -> None:
        """Args: own peer address."""
        self.address = address
        self.sent: list[Any] = []

    def register(self, kind: type, handler: Callable[..., None]) -> None:
        """Ignores handlers: nothing is received."""

    def subscribe_pauses(self, listener: Callable[[float], None]) -> None:
        """Ignores listeners: nothing pauses."""

    def send(self, message: Any, address: Address) -> None:
        """Keeps a message."""
        self.sent.append(message)
