"""Encoder of Forward messages for the forwarding path."""

import struct
from typing import Any

from jujuberun.wire import Codec, encode

# Field headers of the Thrift binary protocol: type (1 byte), id (2 bytes).
_SENDER_HEADER = b"\x0a\x00\x01"
_SEQUENCE_HEADER = b"\x0a\x00\x02"
_SENT_HEADER = b"\x0a\x00\x03"
_FORWARD_HEADER = b"\x0c\x00\x0a"
# This header includes the length of the packed address, always 6 bytes.
_CALLER_HEADER = b"\x0b\x00\x09\x00\x00\x00\x06"
_PAYLOAD_HEADER = b"\x0b\x00\x0a"
# End markers of the Forward struct and of the envelope.
_STOP_FIELDS = b"\x00\x00"


class ForwardEncoder:
    """Encoder of Forward messages that share a receiver and a header.

    The Thrift library encodes the header once. For each packet, seal() adds
    only the sequence number, time, caller and payload. Encoding each message
    in full would cost as much as receiving and sending the packet.
    """

    __slots__ = (
        "_counter",
        "_header",
        "_sent_and_header",
        "_now_ms",
        "_pack",
        "_sender",
        "_sign",
    )

    def __init__(self, codec: Codec, forward: Any, receiver: Any) -> None:
        """Encodes the fields that all packets of the route share.

        Args:
            codec: codec of this process.
            forward: Forward message without caller and payload.
            receiver: key of the receiver, usually its address.
        """
        self._sign = codec.signer.sign
        sender = codec.incarnation.to_bytes(8, "big")
        self._sender = _SENDER_HEADER + sender + _SEQUENCE_HEADER
        self._counter = codec.find_counter(receiver)
        self._header = _FORWARD_HEADER + encode(forward)[:-1] + _CALLER_HEADER
        self._now_ms = -1
        self._sent_and_header = b""
        size = len(_SENT_HEADER) + 8 + len(self._header)
        layout = f">{len(self._sender)}sQ{size}s6s{len(_PAYLOAD_HEADER)}si"
        self._pack = struct.Struct(layout).pack

    def seal(self, caller: bytes, payload: bytes, now_ms: int) -> bytes:
        """Returns the sealed Forward message of one packet.

        Args:
            caller: packed address of the caller, 6 bytes.
            payload: the caller's datagram.
            now_ms: wall clock in milliseconds.
        """
        if now_ms != self._now_ms:
            self._now_ms = now_ms
            self._sent_and_header = (
                _SENT_HEADER + now_ms.to_bytes(8, "big") + self._header
            )
        counter = self._counter
        counter.value = sequence = counter.value + 1
        head = self._pack(
            self._sender,
            sequence,
            self._sent_and_header,
            caller,
            _PAYLOAD_HEADER,
            len(payload),
        )
        body = head + payload + _STOP_FIELDS
        return self._sign(body) + body
