"""Packets of callers and targets, with a keyed checksum.

Only callers and targets know the key, so a packet that a daemon made or altered
is recognized.
"""

import zlib
from dataclasses import dataclass

from packetpath import _HEADER, CODEC

from jujuberun.ids import Address

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
DATA_BYTES = 1_200
_CHECKSUM_OFFSET, _MARK_OFFSET = 24, 28
_FLAGS_OFFSET, _PADDING_OFFSET = 22, 23
_SECRET = b"known to callers and targets only"


@dataclass(frozen=True, slots=True)
class Packet:
    """A decoded packet.

    Attributes:
        caller: address of the caller.
        service: address of the service.
        flags: bits of the header.
        sequence: sequence number of the sender.
        acknowledged: next sequence number that the sender expects; in a start
            packet, how often it was sent before.
        data: payload.
        is_intact: whether the checksum is right, so that a caller or target
            made the packet and nobody altered it.
        mark: header field for the internal use of the daemons.
    """

    caller: Address
    service: Address
    flags: int
    sequence: int
    acknowledged: int
    data: bytes
    is_intact: bool
    mark: int


def pack(
    source: Address,
    receiver: Address,
    flags: int,
    sequence: int,
    acknowledged: int,
    data: bytes = b"",
) -> bytes:
    """Returns an encoded packet with its checksum."""
    head = bytearray(
        _HEADER.pack(
            sequence % 2**32,
            acknowledged % 2**32,
            len(data),
            bytes(map(int, source[0].split("."))),
            bytes(map(int, receiver[0].split("."))),
            receiver[1].to_bytes(2, "big"),
            source[1].to_bytes(2, "big"),
            flags,
            0,
            b"\0\0\0\0",
            0,
        )
    )
    head[_CHECKSUM_OFFSET:_MARK_OFFSET] = _compute_checksum(head, data)
    return bytes(head) + data


def unpack(data: bytes, from_caller: bool) -> Packet | None:
    """Decodes a packet; returns None when its header is malformed."""
    read = CODEC.read_request if from_caller else CODEC.read_answer
    frame = read(data)
    if frame is None:
        return None
    key = frame.key
    flags = data[_FLAGS_OFFSET]
    payload = data[_HEADER.size :]
    return Packet(
        (_format(key[:4]), int.from_bytes(key[4:6], "big")),
        (_format(key[6:10]), int.from_bytes(key[10:12], "big")),
        flags,
        frame.sequence,
        frame.acknowledged,
        payload,
        bytes(data[_CHECKSUM_OFFSET:_MARK_OFFSET])
        == _compute_checksum(data[: _HEADER.size], payload),
        frame.mark,
    )


def bounce(data: bytes) -> bytes:
    """Returns a copy of a packet with the flag by which targets bounce it."""
    changed = bytearray(CODEC.set_bounced(data))
    changed[_PADDING_OFFSET] = 0
    return bytes(changed)


def _compute_checksum(head: bytes, data: bytes) -> bytes:
    plain = bytearray(head[:_CHECKSUM_OFFSET])
    plain[_FLAGS_OFFSET] &= ~BOUNCED
    plain[_PADDING_OFFSET] = 0
    value = zlib.crc32(_SECRET + bytes(plain) + data)
    return (value or 1).to_bytes(4, "big")


def _format(host: bytes) -> str:
    return ".".join(map(str, host))
