"""Measures how floods affect other services at targets and balancers."""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from jujuberun.admission import Admission
from jujuberun.admission_replay import Attempt, build_replay
from jujuberun.buffer_simulation import (
    BALANCERS,
    PACKETS_PER_ARRIVAL,
    RoundRobinBuffers,
    SharedBuffer,
    SimulatedPacket,
    simulate_forwarding,
    spread_over_balancers,
)
from jujuberun.ids import ServiceId
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.trace import (
    PHASES,
    WORKLOADS,
    Arrival,
    Phase,
    generate_trace,
    load_trace,
)
from jujuberun.unbounded_fifo import UnboundedFifoAdmission

MIN_CAPACITY_PERCENT = 95.0  # of the useful share in the quiet phase
MAX_WAIT_RATIO = 1.5  # of the p99 wait in the quiet phase
MAX_URGENT_WAIT_S = 1.0
# In each window of this length during the floods, the less urgent service must
# start requests that are answered in time.
STARVATION_WINDOW_S = 10.0
WARM_UP_S = 5.0
EXTRA_TRACES = 2  # generated from the same workloads in a full run
QUIET_BALANCER_LOAD = 0.5  # share of the packet budget used in the quiet phase
PLOTTED_DEPLOYMENT = "montreal"
PLOT_STEP_S = 1
QUICK_SPANS_S = ((25.0, 51.0), (60.0, 65.0))


@dataclass(frozen=True, slots=True)
class ArrivalResult:
    """Result of one arrival.

    Attributes:
        service: requested service.
        at: time of arrival, seconds since the start of the trace.
        work: seconds in a slot, or number of packets.
        useful: whether it was finished in time.
        wait: seconds until it was started, infinite if it was not.
        refused: seconds until it was refused, infinite if it was not.
    """

    service: ServiceId
    at: float
    work: float
    useful: bool
    wait: float
    refused: float


def measure(options: Options) -> Report:
    """Replays floods in both deployments, the less urgent service first.

    Our admission and balancers are compared with naive ones.
    """
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
        naive = _replay_all(name, floods, UnboundedFifoAdmission, options.seed)
        rows += _compare(f"{name}, shared targets", name, ours, naive)
        rows += _compare_urgency(f"{name}, shared targets", name, ours, naive)
        if name == PLOTTED_DEPLOYMENT:
            series = _make_series(name, ours, naive)
        options.progress(f"flood: {name}, balancers")
        packets_by_balancer = spread_over_balancers(floods[0], options.seed)
        budget = PACKETS_PER_ARRIVAL * compute_packet_budget(name)
        ours = _forward_all(packets_by_balancer, budget, RoundRobinBuffers)
        naive = _forward_all(packets_by_balancer, budget, SharedBuffer)
        rows += _compare(f"{name}, balancers", name, ours, naive)
    if options.quick:
        rows = [_drop_wait_verdict(row) for row in rows]
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
    name: str, ours: list[ArrivalResult], naive: list[ArrivalResult]
) -> list[Series]:
    """Returns the useful percentage of each service's work over time."""
    series = []
    for workload in WORKLOADS[name]:
        for label, results in (("ours", ours), ("naive", naive)):
            times, shares = [], []
            for start in range(0, int(PHASES[-1].end), PLOT_STEP_S):
                arrived = _select_results(
                    results, workload.service, start, start + PLOT_STEP_S
                )
                if not arrived:
                    continue
                times.append(float(start))
                shares.append(100.0 * _compute_useful_share(arrived))
            series.append(
                Series(
                    f"{workload.service}, {label}", tuple(times), tuple(shares)
                )
            )
    return series


def _drop_wait_verdict(row: Row) -> Row:
    return replace(row, met=None) if "wait" in row.name else row


def amplify_flood(name: str, trace: Iterable[Arrival]) -> list[Arrival]:
    """Repeats the arrivals of floods to load all targets tenfold.

    In the traces a flood offers only ten times the capacity of the targets of
    the flooded service itself.
    """
    slots = {workload.service: workload.slots for workload in WORKLOADS[name]}
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


def compute_packet_budget(name: str) -> float:
    """Returns the budget of a simulated balancer, arrivals per second."""
    quiet = sum(
        workload.slots * PHASES[0].loads[index] / workload.work
        for index, workload in enumerate(WORKLOADS[name])
    )
    return quiet / BALANCERS / QUIET_BALANCER_LOAD


def _is_in_quick_run(at: float) -> bool:
    return any(start <= at < end for start, end in QUICK_SPANS_S)


def _replay_all(
    name: str,
    floods: Iterable[Sequence[Arrival]],
    build_admission: Callable,
    seed: int,
) -> list[ArrivalResult]:
    return [
        _make_result(attempt)
        for flood in floods
        for attempt in build_replay(name, True, build_admission, seed).run(
            flood
        )
    ]


def _make_result(attempt: Attempt) -> ArrivalResult:
    arrival = attempt.arrival
    refused = math.inf
    if attempt.refused is not None:
        refused = attempt.refused - arrival.at
    return ArrivalResult(
        arrival.service,
        arrival.at,
        arrival.work,
        attempt.useful,
        attempt.wait,
        refused,
    )


def _forward_all(
    packets_by_balancer: Iterable[Sequence[SimulatedPacket]],
    budget: float,
    build_buffers: Callable[[], RoundRobinBuffers | SharedBuffer],
) -> list[ArrivalResult]:
    return [
        ArrivalResult(
            packet.service, packet.at, 1.0, wait < math.inf, wait, math.inf
        )
        for packets in packets_by_balancer
        for packet, wait in simulate_forwarding(
            packets, budget, build_buffers()
        )
    ]


def _compare(
    label: str, name: str, ours: list[ArrivalResult], naive: list[ArrivalResult]
) -> list[Row]:
    rows = []
    urgent, bulk = (workload.service for workload in WORKLOADS[name])
    for flooded, other, phase in (
        (bulk, urgent, PHASES[1]),
        (urgent, bulk, PHASES[2]),
    ):
        kept, busy, quiet = _measure_impact(ours, other, phase)
        naive_kept, naive_busy, naive_quiet = _measure_impact(
            naive, other, phase
        )
        ratio = busy / quiet
        where = f"{label}, {other} in a flood of {flooded}"
        rows += [
            Row(
                f"{where}: capacity kept",
                kept,
                naive_kept,
                "%",
                f">= {MIN_CAPACITY_PERCENT:g}",
                kept >= MIN_CAPACITY_PERCENT,
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


def _measure_impact(
    results: list[ArrivalResult], service: ServiceId, phase: Phase
) -> tuple[float, float, float]:
    """Compares a service in a flood phase with the quiet phase.

    Returns:
        The useful share in the flood as a percentage of that in the quiet
        phase, the p99 wait in the flood and that in the quiet phase, seconds.
    """
    quiet = _select_results(results, service, WARM_UP_S, PHASES[0].end)
    flood = _select_results(results, service, phase.start, phase.end)
    kept = 100.0 * _compute_useful_share(flood) / _compute_useful_share(quiet)
    return kept, _compute_p99_wait(flood), _compute_p99_wait(quiet)


def _compare_urgency(
    label: str, name: str, ours: list[ArrivalResult], naive: list[ArrivalResult]
) -> list[Row]:
    urgent, bulk = (workload.service for workload in WORKLOADS[name])
    longest = [
        max(
            s.wait
            for s in _select_results(x, urgent, 45.0, 70.0)
            if s.wait < math.inf
        )
        for x in (ours, naive)
    ]
    least = [_count_fewest_done(results, bulk) for results in (ours, naive)]
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
            f"{label}: least {bulk} done in time in"
            f" {STARVATION_WINDOW_S:g} s of flood",
            least[0],
            least[1],
            "requests",
            "> 0",
            least[0] > 0,
        ),
        Row(f"{label}: refusals that came at once", at_once, None, "%"),
    ]


def _count_fewest_done(
    results: list[ArrivalResult], service: ServiceId
) -> float:
    """Returns the fewest useful requests started in a window of the floods."""
    start, end = PHASES[1].start, PHASES[2].end
    times = [
        s.at + s.wait for s in results if s.service == service and s.useful
    ]
    windows = range(int(start), int(end - STARVATION_WINDOW_S) + 1)
    return float(
        min(
            sum(w <= t < w + STARVATION_WINDOW_S for t in times)
            for w in windows
        )
    )


def _select_results(
    results: list[ArrivalResult], service: ServiceId, start: float, end: float
) -> list[ArrivalResult]:
    return [s for s in results if s.service == service and start <= s.at < end]


def _compute_useful_share(results: list[ArrivalResult]) -> float:
    work = sum(s.work for s in results)
    return sum(s.work for s in results if s.useful) / work


def _compute_p99_wait(results: list[ArrivalResult]) -> float:
    waits = sorted(s.wait for s in results if s.wait < math.inf)
    return waits[int(0.99 * len(waits))]
