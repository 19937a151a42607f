"""Stand-in for datagram targets that echo and keep state of each flow."""

import argparse
import selectors
import socket
import sys
import time
from collections.abc import Sequence

from jujuberun.addresses import parse_address

START = b"S"  # first byte of a flow's first datagram
DATA = b"D"
UNKNOWN_FLOW = b"L"  # first byte of an answer if the flow did not start here
_BATCH_DATAGRAMS = 64


def answer(
    flow_by_source: dict, target_id: bytes, data: bytes, source: tuple
) -> bytes:
    """Returns the answer to one datagram.

    Args:
        flow_by_source: flow number by source, updated when a flow starts.
        target_id: id of the target.
        data: START or DATA, flow number (8 bytes), sequence (4 bytes).
        source: address of the agent's socket for the flow.

    Returns:
        The datagram, followed by the target's id. Its first byte is
        UNKNOWN_FLOW if another flow or none started from this source, because
        the start of this flow went to another target.
    """
    kind, number = data[:1], data[1:9]
    if kind == START:
        flow_by_source.setdefault(source, number)
    if flow_by_source.get(source) != number:
        kind = UNKNOWN_FLOW
    return kind + data[1:] + target_id


def main(arguments: Sequence[str] | None = None) -> int:
    """Serves the targets until the time limit has passed."""
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
        target_id, _, address = text.partition("=")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(parse_address(address))
        selector.register(sock, selectors.EVENT_READ, (target_id.encode(), {}))
    deadline = time.monotonic() + options.seconds
    while time.monotonic() < deadline:
        for key, _ in selector.select(0.5):
            target_id, flow_by_source = key.data
            for _ in range(_BATCH_DATAGRAMS):
                try:
                    data, source = key.fileobj.recvfrom(65_536)
                except BlockingIOError:
                    break
                except ConnectionRefusedError:
                    continue
                reply = answer(flow_by_source, target_id, data, source)
                key.fileobj.sendto(reply, source)
    return 0


if __name__ == "__main__":
    sys.exit(main())
