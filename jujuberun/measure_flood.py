"""Measures how floods displace other work, at targets and balancers."""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from jujuberun.admission import Admission
from jujuberun.buffers import (
    BALANCERS,
    PACKETS,
    OneBuffer,
    Packet,
    RoundRobin,
    forward,
    spray,
)
from jujuberun.fifo import FifoGate
from jujuberun.ids import ServiceId
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.overload import Attempt, build_replay
from jujuberun.trace import (
    PHASES,
    WORKLOADS,
    Arrival,
    Phase,
    generate_trace,
    load_trace,
)

MIN_CAPACITY = 95.0  # % of the quiet figure
MAX_WAIT_RATIO = 1.5  # of the quiet p99
MAX_URGENT_WAIT_S = 1.0
WINDOW_S = 10.0  # the least urgent work is never at zero so long
WARM_UP_S = 5.0
EXTRA_TRACES = 2  # further draws of the same workloads, in a full run
BALANCER_LOAD = 0.5  # of the packet budget, while all is quiet
PLOTTED = "montreal"  # deployment of the plot
PLOT_STEP_S = 1
QUICK_SPANS = ((25.0, 51.0), (60.0, 65.0))


@dataclass(frozen=True, slots=True)
class Sample:
    """What became of one arrival.

    Attributes:
        service: its service.
        at: when it arrived, seconds.
        work: seconds of a slot, or packets.
        useful: whether it was done in time.
        wait: seconds until it was begun, infinite if it never was.
        refused: seconds until it was refused, infinite if it was not.
    """

    service: ServiceId
    at: float
    work: float
    useful: bool
    wait: float
    refused: float


def measure(options: Options) -> Report:
    """Floods both deployments, the less urgent service first."""
    rows: list[Row] = []
    series: list[Series] = []
    for name in WORKLOADS:
        traces = [load_trace(name)]
        if options.quick:
            traces = [[a for a in traces[0] if _is_in_quick_run(a.at)]]
        else:
            traces += [
                generate_trace(name, options.seed + number)
                for number in range(EXTRA_TRACES)
            ]
        floods = [amplify_flood(name, trace) for trace in traces]
        options.progress(f"flood: {name}, targets shared")
        ours = _replay_all(name, floods, Admission.from_config, options.seed)
        naive = _replay_all(name, floods, FifoGate, options.seed)
        rows += _compare(f"{name}, shared targets", name, ours, naive)
        rows += _compare_urgency(f"{name}, shared targets", name, ours, naive)
        if name == PLOTTED:
            series = _make_series(name, ours, naive)
        options.progress(f"flood: {name}, balancers")
        parts = spray(floods[0], options.seed)
        budget = PACKETS * compute_budget(name)
        ours = _forward_all(parts, budget, RoundRobin)
        naive = _forward_all(parts, budget, OneBuffer)
        rows += _compare(f"{name}, balancers", name, ours, naive)
    if options.quick:
        rows = [_drop_verdict(row) for row in rows]
    notes = (
        "A flood offers at least ten times the capacity of all targets.",
        "Balancers: scaled to the trace, quiet load half of their budget.",
        "A quick run has too few requests to judge waits; a full one does.",
    )
    return Report(
        "flood",
        options.seed,
        tuple(rows),
        notes,
        tuple(series),
        f"time in s; floods from {PHASES[1].start:g} s on",
        "% of the arriving work done in time",
    )


def _make_series(
    name: str, ours: list[Sample], naive: list[Sample]
) -> list[Series]:
    """Returns the useful share of each service's work over time."""
    series = []
    for load in WORKLOADS[name]:
        for label, samples in (("ours", ours), ("naive", naive)):
            times, shares = [], []
            for start in range(0, int(PHASES[-1].end), PLOT_STEP_S):
                arrived = _select(
                    samples, load.service, start, start + PLOT_STEP_S
                )
                if not arrived:
                    continue
                times.append(float(start))
                shares.append(100.0 * _find_useful(arrived))
            series.append(
                Series(f"{load.service}, {label}", tuple(times), tuple(shares))
            )
    return series


def _drop_verdict(row: Row) -> Row:
    return replace(row, met=None) if "wait" in row.name else row


def amplify_flood(name: str, trace: Iterable[Arrival]) -> list[Arrival]:
    """Repeats the flood's arrivals to ten times the slots of all targets.

    The traces flood a service with ten times the slots of its own targets.
    """
    slots = {load.service: load.slots for load in WORKLOADS[name]}
    total = sum(slots.values())
    flood = []
    for arrival in trace:
        copies = 1
        if find_flooded(name, arrival.at) == arrival.service:
            copies = math.ceil(total / slots[arrival.service])
        flood += [arrival] * copies
    return flood


def find_flooded(name: str, at: float) -> ServiceId | None:
    """Returns the service that is flooded at a time, or None."""
    for phase in PHASES:
        if phase.start <= at < phase.end and max(phase.loads) > 1.0:
            index = phase.loads.index(max(phase.loads))
            return WORKLOADS[name][index].service
    return None


def compute_budget(name: str) -> float:
    """Returns the packets per second of one balancer of the model."""
    quiet = sum(
        load.slots * PHASES[0].loads[index] / load.work
        for index, load in enumerate(WORKLOADS[name])
    )
    return quiet / BALANCERS / BALANCER_LOAD


def _is_in_quick_run(at: float) -> bool:
    return any(start <= at < end for start, end in QUICK_SPANS)


def _replay_all(
    name: str,
    floods: Iterable[Sequence[Arrival]],
    build_gate: Callable,
    seed: int,
) -> list[Sample]:
    return [
        _sample_attempt(attempt)
        for flood in floods
        for attempt in build_replay(name, True, build_gate, seed).run(flood)
    ]


def _sample_attempt(attempt: Attempt) -> Sample:
    arrival = attempt.arrival
    refused = math.inf
    if attempt.refused is not None:
        refused = attempt.refused - arrival.at
    return Sample(
        arrival.service,
        arrival.at,
        arrival.work,
        attempt.useful,
        attempt.wait,
        refused,
    )


def _forward_all(
    parts: Iterable[Sequence[Packet]],
    budget: float,
    build_buffers: Callable[[], RoundRobin | OneBuffer],
) -> list[Sample]:
    return [
        Sample(packet.service, packet.at, 1.0, wait < math.inf, wait, math.inf)
        for part in parts
        for packet, wait in forward(part, budget, build_buffers())
    ]


def _compare(
    label: str, name: str, ours: list[Sample], naive: list[Sample]
) -> list[Row]:
    rows = []
    urgent, bulk = (load.service for load in WORKLOADS[name])
    for flooded, other, phase in (
        (bulk, urgent, PHASES[1]),
        (urgent, bulk, PHASES[2]),
    ):
        kept, busy, quiet = _find_loss(ours, other, phase)
        naive_kept, naive_busy, naive_quiet = _find_loss(naive, other, phase)
        ratio = busy / quiet
        where = f"{label}, {other} in a flood of {flooded}"
        rows += [
            Row(
                f"{where}: capacity kept",
                kept,
                naive_kept,
                "%",
                f">= {MIN_CAPACITY:g}",
                kept >= MIN_CAPACITY,
            ),
            Row(
                f"{where}: p99 wait over quiet",
                ratio,
                naive_busy / naive_quiet,
                "times",
                f"<= {MAX_WAIT_RATIO:g}",
                ratio <= MAX_WAIT_RATIO,
            ),
            Row(f"{label}, {other}: quiet p99 wait", quiet, naive_quiet, "s"),
        ]
    return rows


def _find_loss(
    samples: list[Sample], service: ServiceId, phase: Phase
) -> tuple[float, float, float]:
    """Returns capacity kept in %, and p99 wait in the flood and in quiet."""
    quiet = _select(samples, service, WARM_UP_S, PHASES[0].end)
    flood = _select(samples, service, phase.start, phase.end)
    kept = 100.0 * _find_useful(flood) / _find_useful(quiet)
    return kept, _find_p99(flood), _find_p99(quiet)


def _compare_urgency(
    label: str, name: str, ours: list[Sample], naive: list[Sample]
) -> list[Row]:
    urgent, bulk = (load.service for load in WORKLOADS[name])
    longest = [
        max(s.wait for s in _select(x, urgent, 45.0, 70.0) if s.wait < math.inf)
        for x in (ours, naive)
    ]
    least = [_find_least_done(samples, bulk) for samples in (ours, naive)]
    refused = [s.refused for s in ours if s.refused < math.inf]
    at_once = 100.0 * sum(r <= 0.0 for r in refused) / max(1, len(refused))
    return [
        Row(
            f"{label}: longest wait of urgent work that got a slot",
            longest[0],
            longest[1],
            "s",
            f"<= {MAX_URGENT_WAIT_S:g}",
            longest[0] <= MAX_URGENT_WAIT_S,
        ),
        Row(
            f"{label}: least {bulk} done in time in {WINDOW_S:g} s of flood",
            least[0],
            least[1],
            "requests",
            "> 0",
            least[0] > 0,
        ),
        Row(f"{label}: refusals that came at once", at_once, None, "%"),
    ]


def _find_least_done(samples: list[Sample], service: ServiceId) -> float:
    """Returns the fewest useful requests in any window of the floods."""
    start, end = PHASES[1].start, PHASES[2].end
    times = [
        s.at + s.wait for s in samples if s.service == service and s.useful
    ]
    windows = range(int(start), int(end - WINDOW_S) + 1)
    return float(
        min(sum(w <= t < w + WINDOW_S for t in times) for w in windows)
    )


def _select(
    samples: list[Sample], service: ServiceId, start: float, end: float
) -> list[Sample]:
    return [s for s in samples if s.service == service and start <= s.at < end]


def _find_useful(samples: list[Sample]) -> float:
    work = sum(s.work for s in samples)
    return sum(s.work for s in samples if s.useful) / work


def _find_p99(samples: list[Sample]) -> float:
    waits = sorted(s.wait for s in samples if s.wait < math.inf)
    return waits[int(0.99 * len(waits))]
