"""Measures the memory that flows take at balancers and agents."""

import importlib
import multiprocessing
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from aioquic.h3.connection import H3Connection
from aioquic.quic.connection import QuicConnection

from jujuberun.cache import CacheBudget, FlowCache
from jujuberun.directory import Directory
from jujuberun.encoder import ForwardEncoder
from jujuberun.ids import FlowId
from jujuberun.listener import Route
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.peers import Peer
from jujuberun.quic import PEER_ADDRESS, load_server_tls, make_client_tls
from jujuberun.standin_certificate import make_certificate
from jujuberun.wire import Codec, Forward, Signer, make_flow_id, pack_address

CACHED_FLOW_COUNTS = (50_000, 100_000, 200_000, 300_000)
DIRECTORY_ENTRY_COUNTS = (5_000, 10_000, 20_000, 40_000)
CONNECTION_COUNTS = (50, 100, 200, 400)
# The limit is for the largest of CACHED_FLOW_COUNTS.
MAX_CACHE_BYTES = 128 * 1_000_000
_MB = 1_000_000


def read_resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def fill_cache(count: int) -> object:
    """Returns a flow cache with count flows of seven owners."""
    codec = Codec(Signer([b"k" * 16]))
    routes = []
    for index in range(7):
        peer = Peer((f"127.1.0.{index}", 7000))
        forward = Forward("s-0", 1, b"\0" * 6, [], 0, owner=f"t-{index}")
        encoder = ForwardEncoder(codec, forward, peer.address)
        routes.append(Route("s-0", f"t-{index}", peer, encoder))
    cache: FlowCache[Route] = FlowCache(CacheBudget(3 * count))
    for number in range(count):
        # Host and port are new objects for each flow, like those that recvfrom
        # returns.
        caller = _make_caller_address(number)
        cache.store(caller, routes[number % 7])
    return cache


def fill_directory(count: int) -> object:
    """Returns a directory with count entries of seven owners."""
    directory = Directory()
    agents = [(f"127.1.0.{index}", 7000) for index in range(7)]
    for number in range(count):
        caller = pack_address(_make_caller_address(number))
        flow = FlowId(make_flow_id(b"\0" * 6, caller))
        directory.register(
            flow,
            f"t-{number % 7}",
            agents[number % 7],
            "s-0",
            1_700_000_000_000 + number,
            0.0,
        )
    return directory


def open_connections(count: int) -> object:
    """Returns agent ends of count open QUIC connections without requests."""
    certificate = make_certificate()
    client_tls = make_client_tls(certificate.name, certificate.certificate)
    with tempfile.TemporaryDirectory() as name:
        server_tls = load_server_tls(*certificate.write(Path(name)))
    connections = []
    for _ in range(count):
        caller = QuicConnection(configuration=client_tls)
        caller.connect(PEER_ADDRESS, time.monotonic())
        packets = _take_packets(caller)
        agent = QuicConnection(
            configuration=server_tls,
            # Bytes 6 to 13 of an Initial packet are the destination
            # connection id.
            original_destination_connection_id=packets[0][6:14],
        )
        http = H3Connection(agent)
        receiver, sender = agent, caller
        while packets:
            for packet in packets:
                receiver.receive_datagram(
                    packet, PEER_ADDRESS, time.monotonic()
                )
            packets = _take_packets(receiver)
            receiver, sender = sender, receiver
        connections.append((agent, http))
    return connections


def _take_packets(connection: QuicConnection) -> list[bytes]:
    while connection.next_event() is not None:
        pass
    return [d for d, _ in connection.datagrams_to_send(time.monotonic())]


def _make_caller_address(number: int) -> tuple[str, int]:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return host, 10_000 + number % 50_000


def _send_growth(
    fill: Callable[[int], object], count: int, sender: object
) -> None:
    bytes_before = read_resident_bytes()
    objects = fill(count)
    sender.send(read_resident_bytes() - bytes_before)
    sender.close()
    del objects


def measure_growth(fill: Callable[[int], object], count: int) -> int:
    """Returns the growth in bytes of the resident memory of a new process.

    Args:
        fill: builds the objects whose memory is measured.
        count: argument of fill, the number of objects.
    """
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=_send_growth, args=(fill, count, sender))
    process.start()
    # If this copy of the sending end stayed open, recv() would not notice a
    # failure of the process and would block.
    sender.close()
    growth = receiver.recv()
    process.join()
    return growth


def _send_daemon_memory(sender: object) -> None:
    importlib.import_module("jujuberun.daemon")
    sender.send(read_resident_bytes())
    sender.close()


def measure_daemon_memory() -> int:
    """Returns the resident bytes of a process that has imported the daemon."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=_send_daemon_memory, args=(sender,))
    process.start()
    sender.close()
    memory = receiver.recv()
    process.join()
    return memory


def fit_line(x: list[float], y: list[float]) -> tuple[float, float, float]:
    """Fits a line by least squares.

    Returns:
        Slope, intercept, and the largest residual as a share of the largest
        y.
    """
    count = len(x)
    mean_x, mean_y = sum(x) / count, sum(y) / count
    sum_xy = sum((a - mean_x) * (b - mean_y) for a, b in zip(x, y, strict=True))
    slope = sum_xy / sum((a - mean_x) ** 2 for a in x)
    intercept = mean_y - slope * mean_x
    residuals = (
        abs(b - intercept - slope * a) for a, b in zip(x, y, strict=True)
    )
    return slope, intercept, max(residuals) / max(abs(b) for b in y)


def measure(options: Options) -> Report:
    """Measures bytes per cached flow, directory entry and connection.

    Args:
        options: seed, quick run, progress.
    """
    rows, notes, series = [], [], []
    daemon_mb = measure_daemon_memory() / _MB
    rows.append(Row("process that imported the daemon", daemon_mb, None, "MB"))
    for name, fill, sizes in (
        ("balancer's cached flow", fill_cache, CACHED_FLOW_COUNTS),
        ("agent's directory entry", fill_directory, DIRECTORY_ENTRY_COUNTS),
        ("agent's QUIC connection", open_connections, CONNECTION_COUNTS),
    ):
        if options.quick:
            sizes = tuple(size // 10 for size in sizes)
        growths = []
        for size in sizes:
            options.progress(f"{name}: {size}")
            growths.append(float(measure_growth(fill, size)))
        slope, intercept, residual = fit_line(
            [float(s) for s in sizes], growths
        )
        rows.append(Row(f"bytes per {name}", slope, None, "bytes"))
        notes.append(
            f"{name}: {slope:.0f} bytes each, {intercept / _MB:.1f} MB at "
            f"none, largest residual {residual:.1%}"
        )
        series.append(Series(name, sizes, tuple(g / _MB for g in growths)))
        if fill is fill_cache:
            largest_bytes = growths[-1]
            max_bytes = MAX_CACHE_BYTES * sizes[-1] // CACHED_FLOW_COUNTS[-1]
            rows.append(
                Row(
                    f"memory of {sizes[-1]} cached flows",
                    largest_bytes / _MB,
                    None,
                    "MB",
                    f"< {max_bytes / _MB:.1f}",
                    largest_bytes < max_bytes,
                )
            )
    return Report(
        "memory",
        options.seed,
        tuple(rows),
        tuple(notes),
        tuple(series),
        "entries",
        "growth of the process in MB",
    )
