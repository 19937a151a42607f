"""Rules that tell which datagrams may start a flow."""

from dataclasses import dataclass
from enum import Enum


class FirstPacketRule(Enum):
    """Kind of rule that recognises datagrams that may start a flow."""

    QUIC = "quic"
    ANY = "any"
    PREFIX = "prefix"


@dataclass(frozen=True, slots=True)
class FirstPacket:
    """Rule that tells whether a datagram may start a flow.

    Attributes:
        rule: the kind of rule.
        prefix: the bytes with which a first datagram begins, for PREFIX.
    """

    rule: FirstPacketRule
    prefix: bytes = b""

    @classmethod
    def from_config(cls, text: str) -> "FirstPacket":
        """Builds the rule from its text in the manifest.

        Args:
            text: "quic", "any", or "prefix:" followed by hexadecimal digits.
        """
        if text.startswith("prefix:"):
            prefix = bytes.fromhex(text.removeprefix("prefix:"))
            return cls(FirstPacketRule.PREFIX, prefix)
        return cls(FirstPacketRule(text))

    @property
    def text(self) -> str:
        """The text of the rule, in the format that from_config reads."""
        if self.rule is FirstPacketRule.PREFIX:
            return f"prefix:{self.prefix.hex()}"
        return self.rule.value

    def accepts(self, payload: bytes) -> bool:
        """Returns whether the payload may start a flow."""
        match self.rule:
            case FirstPacketRule.ANY:
                return True
            case FirstPacketRule.PREFIX:
                return payload.startswith(self.prefix)
            case FirstPacketRule.QUIC:
                # RFC 9000: long header, fixed bit set, packet type Initial.
                return bool(payload) and payload[0] & 0xF0 == 0xC0
