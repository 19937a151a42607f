"""Packets of callers and targets, with a sum that nobody else can make."""

import zlib
from dataclasses import dataclass

from packetpath import _HEADER, CODEC

from jujuberun.ids import Address

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
DATA_BYTES = 1_200
_SUM_AT, _MARK_AT = 24, 28
_FLAGS_AT, _PAD_AT = 22, 23
_SECRET = b"known to callers and targets only"


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet as its receiver reads it.

    Attributes:
        caller: address of the caller of its flow.
        service: address of the service.
        flags: bits of the header.
        sequence: of the sender.
        acknowledged: by the sender; of a start, how often it was sent before.
        data: bytes of the connection.
        is_true: its sender wrote all of it so.
        mark: field that daemons use for themselves.
    """

    caller: Address
    service: Address
    flags: int
    sequence: int
    acknowledged: int
    data: bytes
    is_true: bool
    mark: int


def pack(
    source: Address,
    receiver: Address,
    flags: int,
    sequence: int,
    acknowledged: int,
    data: bytes = b"",
) -> bytes:
    """Returns a packet with its sum."""
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
    head[_SUM_AT:_MARK_AT] = _compute_sum(head, data)
    return bytes(head) + data


def unpack(data: bytes, from_caller: bool) -> Packet | None:
    """Reads a packet; None when its header is malformed."""
    read = CODEC.read_request if from_caller else CODEC.read_answer
    frame = read(data)
    if frame is None:
        return None
    key = frame.key
    flags = data[_FLAGS_AT]
    payload = data[_HEADER.size :]
    return Packet(
        (_format(key[:4]), int.from_bytes(key[4:6], "big")),
        (_format(key[6:10]), int.from_bytes(key[10:12], "big")),
        flags,
        frame.sequence,
        frame.acknowledged,
        payload,
        bytes(data[_SUM_AT:_MARK_AT])
        == _compute_sum(data[: _HEADER.size], payload),
        frame.mark,
    )


def bounce(data: bytes) -> bytes:
    """Returns a packet as a target returns it."""
    changed = bytearray(CODEC.set_bounced(data))
    changed[_PAD_AT] = 0
    return bytes(changed)


def _compute_sum(head: bytes, data: bytes) -> bytes:
    plain = bytearray(head[:_SUM_AT])
    plain[_FLAGS_AT] &= ~BOUNCED
    plain[_PAD_AT] = 0
    value = zlib.crc32(_SECRET + bytes(plain) + data)
    return (value or 1).to_bytes(4, "big")


def _format(host: bytes) -> str:
    return ".".join(map(str, host))
