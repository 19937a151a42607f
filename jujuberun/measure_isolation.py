"""Measures one service's round trips while packets flood another one."""

import multiprocessing
import random
import socket
import tempfile
import time
from pathlib import Path

from jujuberun.ids import Address
from jujuberun.measure import Options, Report, Row
from jujuberun.measure_broken import LABEL, MEAL, CallerFlow, Run
from jujuberun.standin_echo import DATA
from jujuberun.standin_fabric import Fabric

FLOWS = 100
SAMPLE_S = 6.0
QUICK_SAMPLE_S = 2.0
PAUSE_S = 0.002  # between two round trips
LOST_S = 0.5  # a round trip without an answer counts as so long
FLOOD_RATE = 100_000.0  # packets per second over four balancers
FLOODERS = 2  # processes
FLOOD_BYTES = 200
_BOUND = 1.5


def flood(addresses: list[Address], seconds: float, rate: float) -> None:
    """Sends packets of flows that nobody owns, evenly over the balancers.

    Args:
        addresses: local addresses of one service on the balancers.
        seconds: for how long.
        rate: packets per second.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.4.100", 0))
        packet = DATA + bytes(FLOOD_BYTES)
        begun = time.monotonic()
        sent = 0
        while (passed := time.monotonic() - begun) < seconds:
            if sent > passed * rate:
                time.sleep(0.0005)
                continue
            for _ in range(10):
                sock.sendto(packet, addresses[sent % len(addresses)])
                sent += 1


def exchange(flow: CallerFlow, fabric: Fabric) -> float:
    """Returns the seconds of one round trip of a flow."""
    flow.sequence += 1
    flow.sock.settimeout(LOST_S)
    begun = time.monotonic()
    flow.sock.sendto(flow.make_datagram(), fabric.choose(flow.address))
    try:
        while True:
            data = flow.sock.recv(65_536)
            sequence = int.from_bytes(data[9:13], "big")
            if data[:1] == DATA and sequence == flow.sequence:
                return time.monotonic() - begun
    except TimeoutError:
        return LOST_S


def sample(run: Run, seconds: float, rng: random.Random) -> list[float]:
    """Returns sorted round trip times of random flows."""
    flows = list(run.callers.flows.values())
    end = time.monotonic() + seconds
    found = []
    while time.monotonic() < end:
        found.append(exchange(rng.choice(flows), run.fleet.fabric))
        time.sleep(PAUSE_S)
    return sorted(found)


def measure(options: Options) -> Report:
    """Compares round trips with a flood of another service and without."""
    seconds = QUICK_SAMPLE_S if options.quick else SAMPLE_S
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), options)
        try:
            run.start()
            for _ in range(FLOWS):
                run.open_flow(MEAL)
            run.callers.run(3.0)
            options.progress("quiet")
            quiet = sample(run, seconds, rng)
            options.progress("flood")
            flooded = _sample_flooded(run, seconds, rng)
        finally:
            run.stop()
    rows = []
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        calm = 1000 * quiet[int(len(quiet) * share)]
        busy = 1000 * flooded[int(len(flooded) * share)]
        bound, met = "", None
        if share > 0.9:
            bound, met = "ratio <= 1.5", busy <= _BOUND * calm
        rows.append(
            Row(
                f"round trip {name}, flood against quiet",
                busy,
                calm,
                "ms",
                bound,
                met,
            )
        )
    lost = sum(1 for found in flooded if found >= LOST_S) / len(flooded)
    rows.append(
        Row("lost in the flood", 100 * lost, None, "%", "<= 5", lost <= 0.05)
    )
    return Report("isolation", options.seed, tuple(rows))


def _sample_flooded(
    run: Run, seconds: float, rng: random.Random
) -> list[float]:
    address = run.manifest.services[LABEL].address
    addresses = run.fleet.fabric.list_locals(address)
    context = multiprocessing.get_context("spawn")
    flooders = [
        context.Process(
            target=flood, args=(addresses, seconds + 2.0, FLOOD_RATE / FLOODERS)
        )
        for _ in range(FLOODERS)
    ]
    for process in flooders:
        process.start()
    time.sleep(1.0)
    found = sample(run, seconds, rng)
    for process in flooders:
        process.join()
    return found
