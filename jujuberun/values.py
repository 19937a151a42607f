"""Functions that check single settings values.

Each raises ValueError for a wrong value; the message says what is allowed.
"""

import ipaddress
import re
from typing import Any

from jujuberun.ids import Address, Role

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_COUNT = 100_000_000
MAX_SECONDS = 7 * 86_400
MAX_RATE_MBPS = 1_000_000
# Limit for a wrong key or value in an error message.
_MAX_SHOWN_CHARACTERS = 60
_ALLOWED_KEYS = (
    f"a list of one or two keys of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in "
    "hex"
)
# Value of the setting "keys" on platforms without secrets. The MAC then
# detects damaged messages and messages of other fleets, but no forged ones.
UNKEYED = "unkeyed"
_UNKEYED_KEY = b"jujuberun unkeyed fleet"
# Checked before int(), which also accepts signs, spaces, underscores and digits
# of any script.
_ADDRESS = re.compile(r"[0-9.]{7,15}:(0|[1-9][0-9]{0,4})")
_URL = re.compile(r"(https?://[!-~]+)?")
# The pattern of manifest.schema.json; used with fullmatch, because match would
# accept a newline at the end.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_TEXT_CHARACTERS = 200
_HEX = re.compile(r"([0-9a-fA-F]{2})+")


def read_text(value: Any) -> str:
    """Reads a short printable text, which a log line can contain."""
    allowed = (
        f"a text of 1 to {_MAX_TEXT_CHARACTERS} printable characters in quotes"
    )
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= _MAX_TEXT_CHARACTERS
    ):
        raise ValueError(allowed)
    if not value.isprintable():
        raise ValueError(allowed)
    return value


def read_name(value: Any) -> str:
    """Reads an id that is valid in the manifest."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError(
            "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter "
            "or digit"
        )
    return value


def read_optional_name(value: Any) -> str:
    """Reads an id, or an empty text for none."""
    return value if value == "" else read_name(value)


def read_optional_text(value: Any) -> str:
    """Reads a short text, or an empty one for none."""
    return value if value == "" else read_text(value)


def read_role(value: Any) -> Role:
    """Reads the role of a daemon."""
    try:
        return Role(value)
    except ValueError:
        raise ValueError('"balancer" or "agent"') from None


def read_url(value: Any) -> str:
    """Reads an HTTP base URL, or an empty text for none."""
    if not isinstance(value, str) or not _URL.fullmatch(value):
        raise ValueError('a base URL like "http://192.0.2.1:8500"')
    return value


def read_address(value: Any) -> Address:
    """Reads an address.

    Args:
        value: text "host:port"; host is an IPv4 address in dotted form.

    Raises:
        ValueError: it is not an address; the message says what is allowed.
    """
    allowed = 'an address like "192.0.2.1:7100"'
    if not isinstance(value, str) or not _ADDRESS.fullmatch(value):
        raise ValueError(allowed)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(allowed) from None
    if int(port) > 65_535:
        raise ValueError("a port from 0 to 65535")
    return host, int(port)


def read_optional_address(value: Any) -> Address | None:
    """Reads an address, or an empty text for none."""
    return None if value == "" else read_address(value)


def read_addresses(value: Any) -> tuple[Address, ...]:
    """Reads a list of addresses."""
    if not isinstance(value, list):
        raise ValueError('a list of addresses like ["192.0.2.1:7100"]')
    return tuple(read_address(entry) for entry in value)


def read_address_map(value: Any) -> dict[Address, Address]:
    """Reads a table that maps addresses to addresses."""
    if not isinstance(value, dict):
        raise ValueError(
            'a table with lines like "192.0.2.1:443" = "10.0.0.1:443"'
        )
    return {read_address(k): read_address(v) for k, v in value.items()}


def read_keys(value: Any) -> tuple[bytes, ...]:
    """Reads the MAC keys, or UNKEYED for a network without secret keys."""
    if value == UNKEYED:
        return (_UNKEYED_KEY,)
    if not isinstance(value, list) or not 1 <= len(value) <= 2:
        raise ValueError(_ALLOWED_KEYS)
    return tuple(read_key(entry) for entry in value)


def read_key(value: Any) -> bytes:
    """Reads one key in hexadecimal digits."""
    if not isinstance(value, str) or not _HEX.fullmatch(value):
        raise ValueError(_ALLOWED_KEYS)
    key = bytes.fromhex(value)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(_ALLOWED_KEYS)
    return key


def read_level(value: Any) -> str:
    """Reads a log level."""
    if value not in ("debug", "info", "warning", "error"):
        raise ValueError('"debug", "info", "warning" or "error"')
    return value


def read_format(value: Any) -> str:
    """Reads a log format."""
    if value not in ("text", "json"):
        raise ValueError('"text" or "json"')
    return value


def read_seconds(value: Any) -> float:
    """Reads a duration in seconds."""
    allowed = f"a number of seconds above 0, at most {MAX_SECONDS}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(allowed)
    if not 0 < value <= MAX_SECONDS:
        raise ValueError(allowed)
    return float(value)


def read_rate(value: Any) -> float:
    """Reads the rate of a link in Mbit/s, 0 for none."""
    allowed = f"a number of Mbit/s from 0 to {MAX_RATE_MBPS}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(allowed)
    if not 0 <= value <= MAX_RATE_MBPS:
        raise ValueError(allowed)
    return float(value)


def read_count(value: Any) -> int:
    """Reads a whole number above 0."""
    allowed = f"a whole number from 1 to {MAX_COUNT}"
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(allowed)
    if not 1 <= value <= MAX_COUNT:
        raise ValueError(allowed)
    return value


def read_port(value: Any) -> int:
    """Reads a port, 0 for none."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a port from 0 to 65535")
    if not 0 <= value <= 65_535:
        raise ValueError("a port from 0 to 65535")
    return value


def read_flag(value: Any) -> bool:
    """Reads true or false."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def format_value(value: Any, secret: bool) -> str:
    """Formats a wrong value for an error message, short and in one line."""
    if secret:
        return "wrong (not shown)"
    try:
        return shorten(repr(value))
    except (ValueError, RecursionError):
        # An integer with thousands of digits, or deeply nested tables.
        return "too large to show"


def format_key(key: str) -> str:
    """Formats an unknown key for an error message, short and in one line."""
    if key.isascii() and key.isprintable():
        return shorten(key)
    return shorten(repr(key))


def shorten(text: str) -> str:
    """Returns a text as one line, truncated to _MAX_SHOWN_CHARACTERS."""
    line = " ".join(text.split())
    if len(line) <= _MAX_SHOWN_CHARACTERS:
        return line
    return line[: _MAX_SHOWN_CHARACTERS - 3] + "..."
