"""Stand-in of datagram targets: echoes what a flow sent, with its state."""

import argparse
import selectors
import socket
import sys
import time
from collections.abc import Sequence

from jujuberun.addresses import parse_address

START = b"S"  # first byte of a flow's first datagram
DATA = b"D"
LOST = b"L"  # first byte of the answer to data of a flow without its start
_BATCH = 64


def answer(state: dict, name: bytes, data: bytes, source: tuple) -> bytes:
    """Returns the answer to one datagram.

    Args:
        state: flow number by source, kept between calls.
        name: id of the target.
        data: START or DATA, flow number (8 bytes), sequence (4 bytes).
        source: address of the agent's socket for the flow.

    Returns:
        The datagram, with LOST in place of its first byte when the flow's
        start went elsewhere, and the target's id behind it.
    """
    kind, number = data[:1], data[1:9]
    if kind == START:
        state.setdefault(source, number)
    if state.get(source) != number:
        kind = LOST
    return kind + data[1:] + name


def main(arguments: Sequence[str] | None = None) -> int:
    """Serves targets until the time limit."""
    parser = argparse.ArgumentParser(description="Echo targets for tests.")
    parser.add_argument(
        "targets", nargs="+", metavar="ID=HOST:PORT", help="targets to serve"
    )
    parser.add_argument(
        "--seconds", type=float, default=300.0, help="time limit"
    )
    options = parser.parse_args(arguments)
    selector = selectors.DefaultSelector()
    for text in options.targets:
        name, _, address = text.partition("=")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(parse_address(address))
        selector.register(sock, selectors.EVENT_READ, (name.encode(), {}))
    end = time.monotonic() + options.seconds
    while time.monotonic() < end:
        for key, _ in selector.select(0.5):
            name, state = key.data
            for _ in range(_BATCH):
                try:
                    data, source = key.fileobj.recvfrom(65_536)
                except BlockingIOError:
                    break
                except ConnectionRefusedError:
                    continue
                reply = answer(state, name, data, source)
                key.fileobj.sendto(reply, source)
    return 0


if __name__ == "__main__":
    sys.exit(main())
