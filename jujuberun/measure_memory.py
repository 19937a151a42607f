"""Measures the memory of a balancer's flow cache and an agent's directory."""

import multiprocessing
import os
from collections.abc import Callable
from pathlib import Path

from jujuberun.balancer import Route
from jujuberun.cache import FlowCache
from jujuberun.directory import Directory
from jujuberun.encoder import ForwardRoute
from jujuberun.ids import FlowId
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.peers import Peer
from jujuberun.wire import Codec, Forward, Signer, make_flow_id, pack_address

SIZES = (50_000, 100_000, 200_000, 300_000)
DIRECTORY_SIZES = (5_000, 10_000, 20_000, 40_000)
LIMIT_BYTES = 128 * 1_000_000
_MIB = 1_000_000


def read_memory() -> int:
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
        encoder = ForwardRoute(codec, forward, peer.address)
        routes.append(Route("s-0", f"t-{index}", peer, encoder))
    cache: FlowCache[Route] = FlowCache(2 * count)
    for number in range(count):
        # As recvfrom returns them: a new string and a new number each time.
        caller = _make_caller(number)
        cache.store(caller, routes[number % 7])
    return cache


def fill_directory(count: int) -> object:
    """Returns a directory with count entries of seven owners."""
    directory = Directory()
    agents = [(f"127.1.0.{index}", 7000) for index in range(7)]
    for number in range(count):
        caller = pack_address(_make_caller(number))
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


def _make_caller(number: int) -> tuple[str, int]:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return host, 10_000 + number % 50_000


def _report_growth(
    fill: Callable[[int], object], count: int, sender: object
) -> None:
    before = read_memory()
    kept = fill(count)
    sender.send(read_memory() - before)
    sender.close()
    del kept


def measure_growth(fill: Callable[[int], object], count: int) -> int:
    """Returns by how many bytes a fresh process grows.

    Args:
        fill: builds what is measured.
        count: its argument.
    """
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=_report_growth, args=(fill, count, sender))
    process.start()
    # Without this the end of a failed process would not be noticed here.
    sender.close()
    growth = receiver.recv()
    process.join()
    return growth


def fit_line(x: list[float], y: list[float]) -> tuple[float, float, float]:
    """Fits a line by least squares.

    Returns:
        Slope, intercept, and the largest residual as a share of the largest
        y.
    """
    count = len(x)
    mean_x, mean_y = sum(x) / count, sum(y) / count
    above = sum((a - mean_x) * (b - mean_y) for a, b in zip(x, y, strict=True))
    slope = above / sum((a - mean_x) ** 2 for a in x)
    intercept = mean_y - slope * mean_x
    residuals = (
        abs(b - intercept - slope * a) for a, b in zip(x, y, strict=True)
    )
    return slope, intercept, max(residuals) / max(abs(b) for b in y)


def measure(options: Options) -> Report:
    """Measures bytes per cached flow and per directory entry."""
    rows, notes, series = [], [], []
    for name, fill, sizes in (
        ("balancer's cached flow", fill_cache, SIZES),
        ("agent's directory entry", fill_directory, DIRECTORY_SIZES),
    ):
        if options.quick:
            sizes = tuple(size // 10 for size in sizes)
        grown = []
        for size in sizes:
            options.progress(f"{name}: {size}")
            grown.append(float(measure_growth(fill, size)))
        slope, intercept, residual = fit_line([float(s) for s in sizes], grown)
        rows.append(Row(f"bytes per {name}", slope, None, "bytes"))
        notes.append(
            f"{name}: {slope:.0f} bytes each, {intercept / _MIB:.1f} MB at "
            f"none, largest residual {residual:.1%}"
        )
        series.append(Series(name, sizes, tuple(g / _MIB for g in grown)))
        if fill is fill_cache:
            largest = grown[-1]
            bound = LIMIT_BYTES * sizes[-1] // SIZES[-1]
            rows.append(
                Row(
                    f"memory of {sizes[-1]} cached flows",
                    largest / _MIB,
                    None,
                    "MB",
                    f"< {bound / _MIB:.1f}",
                    largest < bound,
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
