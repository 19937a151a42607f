"""Measures round trips of one service while packets flood another one."""

import multiprocessing
import random
import socket
import tempfile
import time
from pathlib import Path

from jujuberun.ids import Address
from jujuberun.measure import Options, Report, Row
from jujuberun.measure_broken import LABEL, MEAL, BrokenFlowsRun, EchoFlow
from jujuberun.standin_echo import DATA
from jujuberun.standin_fabric import Fabric

FLOWS = 100
SAMPLE_S = 6.0
QUICK_SAMPLE_S = 2.0
ROUND_TRIP_GAP_S = 0.002
# A round trip without an answer is recorded with this duration.
ROUND_TRIP_TIMEOUT_S = 0.5
# This is the total of four balancers.
FLOOD_PACKETS_PER_S = 100_000.0
FLOOD_PROCESSES = 2
FLOOD_PAYLOAD_BYTES = 200
_MAX_RATIO = 1.5


def send_flood(addresses: list[Address], seconds: float, rate: float) -> None:
    """Sends packets of flows without an owner, evenly over the balancers.

    Args:
        addresses: local addresses of one service on the balancers.
        seconds: duration of the flood.
        rate: packets per second.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.4.100", 0))
        packet = DATA + bytes(FLOOD_PAYLOAD_BYTES)
        started = time.monotonic()
        sent = 0
        while (elapsed := time.monotonic() - started) < seconds:
            if sent > elapsed * rate:
                time.sleep(0.0005)
                continue
            for _ in range(10):
                sock.sendto(packet, addresses[sent % len(addresses)])
                sent += 1


def measure_round_trip(flow: EchoFlow, fabric: Fabric) -> float:
    """Returns the seconds of a round trip; without an answer, the time-out."""
    flow.sequence += 1
    flow.sock.settimeout(ROUND_TRIP_TIMEOUT_S)
    started = time.monotonic()
    flow.sock.sendto(flow.make_datagram(), fabric.choose(flow.address))
    try:
        while True:
            data = flow.sock.recv(65_536)
            sequence = int.from_bytes(data[9:13], "big")
            if data[:1] == DATA and sequence == flow.sequence:
                return time.monotonic() - started
    except TimeoutError:
        return ROUND_TRIP_TIMEOUT_S


def sample_round_trips(
    run: BrokenFlowsRun, seconds: float, rng: random.Random
) -> list[float]:
    """Returns the sorted round trip times of random flows in seconds."""
    flows = list(run.callers.flows.values())
    end = time.monotonic() + seconds
    round_trips_s = []
    while time.monotonic() < end:
        round_trips_s.append(
            measure_round_trip(rng.choice(flows), run.fleet.fabric)
        )
        time.sleep(ROUND_TRIP_GAP_S)
    return sorted(round_trips_s)


def measure(options: Options) -> Report:
    """Compares round trips with and without a flood of another service.

    Args:
        options: seed, quick run, progress.
    """
    seconds = QUICK_SAMPLE_S if options.quick else SAMPLE_S
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as folder:
        run = BrokenFlowsRun(Path(folder), options)
        try:
            run.start()
            for _ in range(FLOWS):
                run.open_flow(MEAL)
            run.callers.run(3.0)
            options.progress("quiet")
            quiet_s = sample_round_trips(run, seconds, rng)
            options.progress("flood")
            flooded_s = _sample_during_flood(run, seconds, rng)
        finally:
            run.stop()
    rows = []
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        quiet_ms = 1000 * quiet_s[int(len(quiet_s) * quantile)]
        flooded_ms = 1000 * flooded_s[int(len(flooded_s) * quantile)]
        bound, met = "", None
        if quantile > 0.9:
            bound, met = "ratio <= 1.5", flooded_ms <= _MAX_RATIO * quiet_ms
        rows.append(
            Row(
                f"round trip {name}, flood against quiet",
                flooded_ms,
                quiet_ms,
                "ms",
                bound,
                met,
            )
        )
    lost_share = sum(
        1 for time_s in flooded_s if time_s >= ROUND_TRIP_TIMEOUT_S
    ) / len(flooded_s)
    rows.append(
        Row(
            "lost in the flood",
            100 * lost_share,
            None,
            "%",
            "<= 5",
            lost_share <= 0.05,
        )
    )
    return Report("isolation", options.seed, tuple(rows))


def _sample_during_flood(
    run: BrokenFlowsRun, seconds: float, rng: random.Random
) -> list[float]:
    address = run.manifest.services[LABEL].address
    addresses = run.fleet.fabric.list_locals(address)
    context = multiprocessing.get_context("spawn")
    processes = [
        context.Process(
            target=send_flood,
            args=(
                addresses,
                seconds + 2.0,
                FLOOD_PACKETS_PER_S / FLOOD_PROCESSES,
            ),
        )
        for _ in range(FLOOD_PROCESSES)
    ]
    for process in processes:
        process.start()
    time.sleep(1.0)
    round_trips_s = sample_round_trips(run, seconds, rng)
    for process in processes:
        process.join()
    return round_trips_s
