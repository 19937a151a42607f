"""Encoder of Forward messages for the forwarding path."""

import struct
from typing import Any

from jujuberun.wire import Codec, encode

# Field headers of the binary protocol: type, then id.
_SENDER = b"\x0a\x00\x01"
_SEQUENCE = b"\x0a\x00\x02"
_SENT = b"\x0a\x00\x03"
_FORWARD = b"\x0c\x00\x0a"
_CALLER = b"\x0b\x00\x09\x00\x00\x00\x06"  # with the length
_PAYLOAD = b"\x0b\x00\x0a"
_STOPS = b"\x00\x00"  # of the Forward and of the envelope


class ForwardRoute:
    """Encoder of Forward messages to one receiver with a fixed header.

    The library encodes the header once; each packet only adds sequence,
    time, caller and payload. A full encode of each packet costs as much as
    receiving and sending it.
    """

    __slots__ = (
        "_counter",
        "_header",
        "_middle",
        "_now_ms",
        "_pack",
        "_sender",
        "_sign",
    )

    def __init__(self, codec: Codec, forward: Any, receiver: Any) -> None:
        """Encodes what all packets of the route share.

        Args:
            codec: of this process.
            forward: Forward without caller and payload.
            receiver: key of the receiver, usually its address.
        """
        self._sign = codec.signer.sign
        sender = codec.incarnation.to_bytes(8, "big")
        self._sender = _SENDER + sender + _SEQUENCE
        self._counter = codec.find_counter(receiver)
        self._header = _FORWARD + encode(forward)[:-1] + _CALLER
        self._now_ms = -1
        self._middle = b""
        size = len(_SENT) + 8 + len(self._header)
        layout = f">{len(self._sender)}sQ{size}s6s{len(_PAYLOAD)}si"
        self._pack = struct.Struct(layout).pack

    def seal(self, caller: bytes, payload: bytes, now_ms: int) -> bytes:
        """Returns a sealed Forward of one packet.

        Args:
            caller: packed address of the caller, 6 bytes.
            payload: the caller's datagram.
            now_ms: wall clock in milliseconds.
        """
        if now_ms != self._now_ms:
            self._now_ms = now_ms
            self._middle = _SENT + now_ms.to_bytes(8, "big") + self._header
        counter = self._counter
        counter.value = sequence = counter.value + 1
        head = self._pack(
            self._sender,
            sequence,
            self._middle,
            caller,
            _PAYLOAD,
            len(payload),
        )
        body = head + payload + _STOPS
        return self._sign(body) + body
