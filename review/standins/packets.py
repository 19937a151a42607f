"""Packets between callers and targets, as the users' pages describe them."""

import socket
import struct
import zlib
from dataclasses import dataclass

Address = tuple[str, int]

SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
MAX_DATA_BYTES = 1_200
# A reset of an open flow is valid if its number is this close to the last
# acknowledged number of the caller.
RESET_RANGE_BYTES = 76_800
SEQUENCE_SPACE = 1 << 32
_HEADER = struct.Struct(">IIH4s4sHHBBI4s")
_FLAGS_OFFSET, _PADDING_OFFSET = 22, 23
_SECRET = b"known to callers and targets only"


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet.

    Attributes:
        source: address of the sender's end of the flow.
        destination: address of the other end.
        flags: sum of SYN, ACK, FIN, RST and BOUNCED.
        sequence: sequence number.
        acknowledged: acknowledged number, in a SYN the number of the copy.
        data: the data.
        is_intact: whether the keyed sum is right.
        is_unsigned: whether the sum is 0, as in a reset of the system.
    """

    source: Address
    destination: Address
    flags: int
    sequence: int
    acknowledged: int
    data: bytes = b""
    is_intact: bool = True
    is_unsigned: bool = False

    def pack(self) -> bytes:
        """Returns the datagram with its keyed sum."""
        return self._pack_with_sum(self._compute_sum())

    def _pack_with_sum(self, keyed_sum: int) -> bytes:
        head = _HEADER.pack(
            self.sequence % SEQUENCE_SPACE,
            self.acknowledged % SEQUENCE_SPACE,
            len(self.data),
            socket.inet_aton(self.source[0]),
            socket.inet_aton(self.destination[0]),
            self.destination[1],
            self.source[1],
            self.flags,
            0,
            keyed_sum,
            b"\0\0\0\0",
        )
        return head + self.data

    def _compute_sum(self) -> int:
        plain = bytearray(self._pack_with_sum(0))
        plain[_FLAGS_OFFSET] &= ~BOUNCED
        return zlib.crc32(_SECRET + bytes(plain)) or 1


def unpack(datagram: bytes) -> Packet | None:
    """Parses a datagram; returns None if it is malformed."""
    if len(datagram) < _HEADER.size:
        return None
    fields = _HEADER.unpack_from(datagram)
    sequence, acknowledged, size, source, destination = fields[:5]
    destination_port, source_port, flags, _, keyed_sum, _ = fields[5:]
    data = datagram[_HEADER.size :]
    if size != len(data) or size > MAX_DATA_BYTES:
        return None
    packet = Packet(
        (socket.inet_ntoa(source), source_port),
        (socket.inet_ntoa(destination), destination_port),
        flags,
        sequence,
        acknowledged,
        data,
    )
    return Packet(
        packet.source,
        packet.destination,
        flags,
        sequence,
        acknowledged,
        data,
        is_intact=keyed_sum == packet._compute_sum(),
        is_unsigned=keyed_sum == 0,
    )


def make_bounced(datagram: bytes) -> bytes:
    """Returns the packet with the flag BOUNCED, and with padding 0."""
    changed = bytearray(datagram)
    changed[_FLAGS_OFFSET] |= BOUNCED
    changed[_PADDING_OFFSET] = 0
    return bytes(changed)


def open_socket(address: Address) -> socket.socket:
    """Returns a non-blocking UDP socket that is bound to an address."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    udp.bind(address)
    return udp


def receive_all(udp: socket.socket) -> list[bytes]:
    """Returns the datagrams that wait at a socket."""
    found = []
    while True:
        try:
            found.append(udp.recv(65_536))
        except BlockingIOError:
            return found
        except OSError:
            continue


def send(udp: socket.socket, datagram: bytes, address: Address) -> None:
    """Sends a datagram; one that cannot be sent is lost."""
    try:
        udp.sendto(datagram, address)
    except OSError:
        return
