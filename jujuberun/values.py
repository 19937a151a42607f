"""Readers of single settings values; each error says what is allowed."""

import ipaddress
import re
from typing import Any

from jujuberun.ids import Address, Role

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_COUNT = 100_000_000
MAX_SECONDS = 7 * 86_400
_SHOWN_CHARACTERS = 60  # of a wrong key or value in an error
_KEYS_REMEDY = (
    f"a list of one or two keys of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in "
    "hex"
)
# A platform that hands out no secrets: the MAC then finds damaged messages
# and those of other fleets, but no forged ones.
UNKEYED = "unkeyed"
_UNKEYED_KEY = b"jujuberun unkeyed fleet"
# int() would also take signs, spaces, underscores and digits of any script.
_ADDRESS = re.compile(r"[0-9.]{7,15}:(0|[1-9][0-9]{0,4})")
_URL = re.compile(r"(https?://[!-~]+)?")
# As the manifest's schema has it; fullmatch, so that no newline may follow.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_TEXT = 200  # characters
_HEX = re.compile(r"([0-9a-fA-F]{2})+")


def read_text(value: Any) -> str:
    """Reads a short text that can stand in a log line."""
    remedy = f"a text of 1 to {_MAX_TEXT} printable characters in quotes"
    if not isinstance(value, str) or not 1 <= len(value) <= _MAX_TEXT:
        raise ValueError(remedy)
    if not value.isprintable():
        raise ValueError(remedy)
    return value


def read_name(value: Any) -> str:
    """Reads an id that the manifest can hold."""
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
        raise ValueError('a base URL as in "http://192.0.2.1:8500"')
    return value


def read_address(value: Any) -> Address:
    """Reads an address that a person wrote.

    Args:
        value: text "host:port" with a dotted IPv4 host.

    Raises:
        ValueError: it is not one; the message says what is allowed.
    """
    remedy = 'an address as in "192.0.2.1:7100"'
    if not isinstance(value, str) or not _ADDRESS.fullmatch(value):
        raise ValueError(remedy)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(remedy) from None
    if int(port) > 65_535:
        raise ValueError("a port from 0 to 65535")
    return host, int(port)


def read_optional_address(value: Any) -> Address | None:
    """Reads an address, or an empty text for none."""
    return None if value == "" else read_address(value)


def read_addresses(value: Any) -> tuple[Address, ...]:
    """Reads a list of addresses."""
    if not isinstance(value, list):
        raise ValueError('a list of addresses as in ["192.0.2.1:7100"]')
    return tuple(read_address(entry) for entry in value)


def read_address_map(value: Any) -> dict[Address, Address]:
    """Reads a table of two addresses a line."""
    if not isinstance(value, dict):
        raise ValueError('a table of lines as "192.0.2.1:443" = "10.0.0.1:443"')
    return {read_address(k): read_address(v) for k, v in value.items()}


def read_keys(value: Any) -> tuple[bytes, ...]:
    """Reads the keys of the MAC, or UNKEYED for a network without any."""
    if value == UNKEYED:
        return (_UNKEYED_KEY,)
    if not isinstance(value, list) or not 1 <= len(value) <= 2:
        raise ValueError(_KEYS_REMEDY)
    return tuple(read_key(entry) for entry in value)


def read_key(value: Any) -> bytes:
    """Reads one key in hexadecimal digits."""
    if not isinstance(value, str) or not _HEX.fullmatch(value):
        raise ValueError(_KEYS_REMEDY)
    key = bytes.fromhex(value)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(_KEYS_REMEDY)
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
    remedy = f"a number of seconds above 0, at most {MAX_SECONDS}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(remedy)
    if not 0 < value <= MAX_SECONDS:
        raise ValueError(remedy)
    return float(value)


def read_count(value: Any) -> int:
    """Reads a whole number above 0."""
    remedy = f"a whole number from 1 to {MAX_COUNT}"
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(remedy)
    if not 1 <= value <= MAX_COUNT:
        raise ValueError(remedy)
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


def show(value: Any, secret: bool) -> str:
    """Returns a wrong value for an error, short and in one line."""
    if secret:
        return "wrong (not shown)"
    try:
        return shorten(repr(value))
    except (ValueError, RecursionError):
        # A whole number of thousands of digits, or nested tables.
        return "too large to show"


def show_key(key: str) -> str:
    """Returns an unknown key for an error, short and in one line."""
    if key.isascii() and key.isprintable():
        return shorten(key)
    return shorten(repr(key))


def shorten(text: str) -> str:
    """Returns a text cut to a short single line."""
    line = " ".join(text.split())
    if len(line) <= _SHOWN_CHARACTERS:
        return line
    return line[: _SHOWN_CHARACTERS - 3] + "..."
