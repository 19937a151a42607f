"""Parsing and formatting of addresses."""

from jujuberun.ids import Address


def parse_address(text: str) -> Address:
    """Parses "host:port"; host is an IPv4 address in dotted form."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    """Formats an address as "host:port"."""
    return f"{address[0]}:{address[1]}"
