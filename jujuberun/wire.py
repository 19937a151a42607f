"""Thrift messages between daemons, with envelope, MAC and replay check."""

import hashlib
import re
import secrets
import struct
import time
from collections.abc import Sequence
from functools import lru_cache
from socket import inet_aton, inet_ntoa
from typing import Any

from result import Err, Ok, Result

from jujuberun import messages
from jujuberun.errors import WireError
from jujuberun.ids import Address, FlowId
from jujuberun.replay_window import ReplayWindow
from jujuberun.size_check import check_sizes
from jujuberun.thrift_packages import (
    TCyBinaryProtocol,
    TCyMemoryBuffer,
    TException,
)

MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 65_000
MAX_PAYLOAD_BYTES = 60_000
# A message is stale if its time differs from the local clock by more than this,
# in either direction.
MAX_MESSAGE_AGE_MS = 30_000
RESET_KIND = "jujuberun-reset"
# Anyone can send a datagram to a caller, and the Thrift codec does not limit
# the declared length of a list: twelve bytes that declare 2**31 entries keep it
# busy for minutes. Callers therefore accept only the exact encoding that
# make_reset() writes.
_RESET_PATTERN = re.compile(
    rb"\x0b\x00\x01\x00\x00\x00\x0f"
    + RESET_KIND.encode("ascii")
    + rb"\x0b\x00\x02\x00\x00\x00(.)([ -~]{0,100})"
    rb"\x08\x00\x03(.{4})"
    rb"\x0b\x00\x04\x00\x00\x00\x08(.{8})\x00",
    re.DOTALL,
)
_MAX_SENDERS = 20_000
_OPEN_STEP = "open message"

Accepted = messages.Accepted
Answer = messages.Answer
Cancel = messages.Cancel
Claim = messages.Claim
ClaimReply = messages.ClaimReply
Declined = messages.Declined
Document = messages.Document
Envelope = messages.Envelope
Fetch = messages.Fetch
FetchHistory = messages.FetchHistory
FlowRecord = messages.FlowRecord
FlowReset = messages.FlowReset
Forward = messages.Forward
Grant = messages.Grant
HeldAddresses = messages.HeldAddresses
Hint = messages.Hint
History = messages.History
HistoryEntry = messages.HistoryEntry
ListAddresses = messages.ListAddresses
Load = messages.Load
Loads = messages.Loads
Locate = messages.Locate
NotHeld = messages.NotHeld
Probe = messages.Probe
ProbeReply = messages.ProbeReply
Register = messages.Register
RegisterReply = messages.RegisterReply
Release = messages.Release
Reserve = messages.Reserve
ReserveReply = messages.ReserveReply
Reset = messages.Reset
Run = messages.Run
RunReply = messages.RunReply
Sighting = messages.Sighting
Status = messages.Status
Warmup = messages.Warmup

# Name of the envelope field of each message class. Fields with numbers below
# 10 are the header of the envelope.
_FIELD_NAMES = {
    spec[2]: spec[1]
    for number, spec in Envelope.thrift_spec.items()
    if number >= 10
}
_BODY_FIELD_NAMES = tuple(_FIELD_NAMES.values())


# Caching packed hosts saves 0.3 us per packet, as most packets come from few
# different hosts.
_pack_host = lru_cache(65_536)(inet_aton)
_pack_host_and_port = struct.Struct(">4sH").pack


def pack_address(address: Address) -> bytes:
    """Packs an IPv4 address and port into 6 bytes."""
    host, port = address
    return _pack_host_and_port(_pack_host(host), port)


def unpack_address(packed: bytes) -> Address:
    """Unpacks an address from the format of pack_address.

    Raises:
        WireError: the packed address is not 6 bytes long.
    """
    if len(packed) != 6:
        raise WireError(
            _OPEN_STEP, "", f"packed address has {len(packed)} bytes, not 6"
        )
    return inet_ntoa(packed[:4]), int.from_bytes(packed[4:], "big")


def make_flow_id(address: bytes, caller: bytes) -> FlowId:
    """Returns the flow id of a packed service address and caller address."""
    return FlowId(hashlib.blake2b(address + caller, digest_size=8).digest())


def encode(message: Any) -> bytes:
    """Encodes a Thrift struct in the binary protocol."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(message)
    return buffer.getvalue()


def decode(kind: type, data: bytes) -> Any:
    """Decodes one Thrift struct.

    Args:
        kind: class of the struct.
        data: encoded struct.

    Raises:
        WireError: the data is truncated or malformed.
    """
    check_sizes(data)
    message = kind()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(data)).read_struct(message)
    except (TException, EOFError, ValueError, MemoryError) as error:
        raise WireError(_OPEN_STEP, "", f"malformed: {error}") from error
    except Exception as error:  # noqa: BLE001
        # The codec raises several other types of exception on invalid input.
        raise WireError(_OPEN_STEP, "", f"malformed: {error!r}") from error
    return message


def make_reset(reason: str, retry_after: int, datagram: bytes) -> bytes:
    """Builds the reset datagram that a caller receives.

    Args:
        reason: short identifier of the reason, for example "unknown-flow".
        retry_after: milliseconds to wait before a new attempt.
        datagram: the refused datagram of the caller, or its 8-byte hash.
    """
    quoted = datagram if len(datagram) == 8 else quote(datagram)
    return encode(FlowReset(RESET_KIND, reason, retry_after, quoted))


def parse_reset(data: bytes) -> Any | None:
    """Returns the FlowReset in a datagram to a caller, or None if invalid."""
    match = _RESET_PATTERN.fullmatch(data)
    if match is None or match[1][0] != len(match[2]):
        return None
    retry_after = int.from_bytes(match[3], "big", signed=True)
    if retry_after < 0:
        return None
    reason = match[2].decode("ascii")
    return FlowReset(RESET_KIND, reason, retry_after, match[4])


def quote(datagram: bytes) -> bytes:
    """Returns the 8-byte hash that identifies a datagram in a reset."""
    return hashlib.blake2b(datagram, digest_size=8).digest()


class Signer:
    """Signs and verifies messages with rotating keys.

    The first key signs, and every key verifies. Keys can thus be rotated
    daemon by daemon without two daemons ever refusing each other's messages.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise WireError(
                "load keys", "", "no key is given; at least one is needed"
            )
        self._hashers = [
            hashlib.blake2b(key=key, digest_size=MAC_BYTES) for key in keys
        ]
        self._copy = self._hashers[0].copy

    def sign(self, body: bytes) -> bytes:
        """Returns the MAC of a message body."""
        hasher = self._copy()
        hasher.update(body)
        return hasher.digest()

    def verify(self, mac: bytes, body: bytes) -> bool:
        """Returns whether the MAC matches the body under one of the keys."""
        for keyed in self._hashers:
            hasher = keyed.copy()
            hasher.update(body)
            if secrets.compare_digest(mac, hasher.digest()):
                return True
        return False


class SequenceCounter:
    """Last sequence number used for one receiver.

    All messages to that receiver share the counter.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0


class Codec:
    """Encodes and signs, or verifies and decodes, messages of one process.

    Messages are not encrypted.

    Attributes:
        incarnation: random number that identifies this run of the process.
        signer: signs and verifies with the keys.
    """

    def __init__(self, signer: Signer, incarnation: int | None = None) -> None:
        self.incarnation = incarnation or secrets.randbits(62) + 1
        self.signer = signer
        self._counters: dict[Any, SequenceCounter] = {}
        self._windows: dict[int, ReplayWindow] = {}

    def seal(
        self,
        message: Any,
        receiver: Any,
        now_ms: int,
        limit: int = MAX_DATAGRAM_BYTES,
    ) -> bytes:
        """Encodes and signs one message.

        Args:
            message: one of the body structs of Envelope.
            receiver: key of the receiver, usually its address.
            now_ms: wall clock in milliseconds.
            limit: maximum size of the datagram in bytes.

        Returns:
            MAC and envelope as one datagram.

        Raises:
            WireError: the datagram would be larger than the limit.
        """
        body = self.encode_body(message, receiver, now_ms)
        if len(body) + MAC_BYTES > limit:
            raise WireError(
                "seal message",
                str(receiver),
                f"body of {len(body)} bytes and MAC of {MAC_BYTES} bytes "
                f"exceed the limit of {limit} bytes",
            )
        return self.signer.sign(body) + body

    def encode_body(self, message: Any, receiver: Any, now_ms: int) -> bytes:
        """Encodes an envelope without its MAC."""
        counter = self.find_counter(receiver)
        counter.value += 1
        envelope = Envelope(self.incarnation, counter.value, now_ms)
        setattr(envelope, _find_field_name(message), message)
        return encode(envelope)

    def find_counter(self, receiver: Any) -> SequenceCounter:
        """Returns the sequence counter of a receiver."""
        counter = self._counters.get(receiver)
        if counter is None:
            counter = self._counters[receiver] = SequenceCounter()
        return counter

    def open(
        self, datagram: bytes, now_ms: int, limit: int = MAX_DATAGRAM_BYTES
    ) -> Result[Any, str]:
        """Verifies and decodes one datagram.

        Args:
            datagram: MAC and envelope.
            now_ms: wall clock in milliseconds.
            limit: maximum accepted size in bytes.

        Returns:
            Ok with the envelope, or Err with the reason for the refusal:
            "truncated", "oversized", "mac", "malformed", "stale" or "replay".
        """
        if len(datagram) <= MAC_BYTES:
            return Err("truncated")
        if len(datagram) > limit:
            return Err("oversized")
        mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not self.signer.verify(mac, body):
            return Err("mac")
        try:
            envelope = decode(Envelope, body)
        except WireError:
            return Err("malformed")
        if envelope.sender is None or envelope.sequence is None:
            return Err("malformed")
        if (
            envelope.sent is None
            or abs(now_ms - envelope.sent) > MAX_MESSAGE_AGE_MS
        ):
            return Err("stale")
        window = self._windows.get(envelope.sender)
        if window is None:
            window = self._add_window(envelope.sender, now_ms)
        if not window.accept(envelope.sequence, now_ms):
            return Err("replay")
        return Ok(envelope)

    def _add_window(self, sender: int, now_ms: int) -> ReplayWindow:
        if len(self._windows) >= _MAX_SENDERS:
            # A window that was not used for 2 * MAX_MESSAGE_AGE_MS contains
            # only messages that are stale by now, so it is no longer needed.
            self._windows = {
                key: window
                for key, window in self._windows.items()
                if now_ms - window.last_used_ms <= 2 * MAX_MESSAGE_AGE_MS
            }
        window = self._windows[sender] = ReplayWindow()
        return window


def find_body(envelope: Any) -> Any | None:
    """Returns the message that an envelope carries, or None."""
    for name in _BODY_FIELD_NAMES:
        body = getattr(envelope, name)
        if body is not None:
            return body
    return None


def read_wall_clock() -> int:
    """Returns the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


def _find_field_name(message: Any) -> str:
    return _FIELD_NAMES[type(message)]
