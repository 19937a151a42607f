"""Measures how evenly placement policies spread flows and requests."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from jujuberun.ids import DomainId, TargetId
from jujuberun.manifest import Target
from jujuberun.measure import Options, Report, Row, Series
from jujuberun.placement_replay import PlacementReplay
from jujuberun.replay_policy import (
    OffloadMode,
    Policy,
    choose_by_bounded_load,
    choose_by_hash,
    choose_by_load,
    choose_home,
)
from jujuberun.replay_statistics import ReplayStatistics, find_quantile
from jujuberun.trace import WORKLOADS, Arrival, Workload, generate_arrivals

LOADS = (0.5, 0.8, 0.95)
DOMAIN_COUNT = 4
SLOTS_PER_TARGET = 2
CONNECTION_LIMIT = 2000
_WARM_UP_S = 10  # left out: the time of the first load reports and flows
_NAIVE_HASH = "naive hash"
_CENTRAL_QUEUE = "one central queue"
# The policy that agents use. Two candidates spread flows best on 7 targets and
# as well as bounded load on 100. Requests that queue at two peers have the
# shortest waits at 80% load and above.
_DEFAULT_POLICY = "two candidates, waiting at peers"
POLICIES: dict[str, Policy] = {
    _NAIVE_HASH: Policy(choose_by_hash, OffloadMode.NONE),
    "consistent hash": Policy(choose_home, OffloadMode.NONE),
    "bounded load": Policy(choose_by_bounded_load, OffloadMode.NONE),
    "two candidates": Policy(choose_by_load, OffloadMode.NONE),
    "consistent hash, waiting at peers": Policy(choose_home, OffloadMode.WAIT),
    "bounded load, waiting at peers": Policy(
        choose_by_bounded_load, OffloadMode.WAIT
    ),
    "two candidates, asking again": Policy(choose_by_load, OffloadMode.ASK),
    _DEFAULT_POLICY: Policy(choose_by_load, OffloadMode.WAIT),
}


@dataclass(frozen=True, slots=True)
class _SpreadFigures:
    flows: float
    busy: float
    p50: float
    p99: float
    p999: float


_UNITS = {
    "flows": "peak/mean of open flows",
    "busy": "peak/mean of busy slots",
    "p50": "s, p50 wait",
    "p99": "s, p99 wait",
    "p999": "s, p99.9 wait",
}


def build_targets(count: int) -> list[Target]:
    """Builds targets in DOMAIN_COUNT failure domains for replays."""
    return [
        Target(
            id=TargetId(f"target-{index}"),
            address=("127.0.0.1", 9000),
            agent=("127.0.0.1", 9001),
            domain=DomainId(f"domain-{index % DOMAIN_COUNT}"),
            slots=SLOTS_PER_TARGET,
            connection_limit=CONNECTION_LIMIT,
        )
        for index in range(count)
    ]


def scale_workload(count: int) -> Workload:
    """Scales the workload of meal changes to a number of targets."""
    base = WORKLOADS["montreal"][0]
    slots = count * SLOTS_PER_TARGET
    recent = base.recent_flows * slots // base.slots
    return replace(base, slots=slots, recent_flows=recent)


def measure(options: Options) -> Report:
    """Replays constant loads with each policy on 7 and on 100 targets."""
    seconds = {7: 30, 100: 12} if options.quick else {7: 200, 100: 30}
    loads = LOADS[1:2] if options.quick else LOADS
    rows: list[Row] = []
    notes: list[str] = []
    waits: dict[str, list[float]] = {}
    for count, length in seconds.items():
        for load in loads:
            options.progress(f"{count} targets at {load:.0%}")
            arrivals = _generate_arrivals(count, load, length, options.seed)
            figures = {
                name: _replay(count, policy, arrivals, length, options.seed)
                for name, policy in POLICIES.items()
            }
            figures[_CENTRAL_QUEUE] = _replay_central_queue(
                count, arrivals, options.seed
            )
            case = f"{count} targets, {load:.0%}"
            rows += _build_rows(case, figures)
            notes += _build_notes(case, figures)
            for name, value in figures.items():
                if count == 7:
                    waits.setdefault(name, []).append(value.p99)
    series = tuple(
        Series(name, tuple(loads), tuple(values))
        for name, values in waits.items()
    )
    return Report(
        "imbalance",
        options.seed,
        tuple(rows),
        tuple(notes),
        series,
        "load, share of the slots of 7 targets",
        "p99 wait, s",
    )


def _generate_arrivals(
    count: int, load: float, length: int, seed: int
) -> tuple[Arrival, ...]:
    return generate_arrivals(
        scale_workload(count), lambda _: load, length, seed
    )


def _replay(
    count: int,
    policy: Policy,
    arrivals: Sequence[Arrival],
    length: int,
    seed: int,
) -> _SpreadFigures:
    statistics = PlacementReplay(build_targets(count), policy, seed).run(
        arrivals
    )
    return _summarise(statistics, count, length)


def _replay_central_queue(
    count: int, arrivals: Sequence[Arrival], seed: int
) -> _SpreadFigures:
    """Replays with a single target that has the slots of all targets."""
    single = replace(
        build_targets(1)[0],
        slots=count * SLOTS_PER_TARGET,
        connection_limit=count * CONNECTION_LIMIT,
    )
    policy = Policy(choose_home, OffloadMode.NONE)
    statistics = PlacementReplay([single], policy, seed).run(arrivals)
    return _summarise(statistics, 1, int(arrivals[-1].at))


def _summarise(
    statistics: ReplayStatistics, count: int, length: int
) -> _SpreadFigures:
    waits = statistics.list_waits(_WARM_UP_S, length)
    return _SpreadFigures(
        flows=statistics.average_flow_peak_ratio(_WARM_UP_S),
        busy=statistics.average_busy_peak_ratio(count, _WARM_UP_S, length),
        p50=find_quantile(waits, 0.5),
        p99=find_quantile(waits, 0.99),
        p999=find_quantile(waits, 0.999),
    )


def _build_rows(case: str, figures: dict[str, _SpreadFigures]) -> list[Row]:
    """Builds a row against the naive hash and one against the single queue.

    Each figure gets such a pair of rows.
    """
    rows = []
    for key, unit in _UNITS.items():
        ours = getattr(figures[_DEFAULT_POLICY], key)
        for name in (_NAIVE_HASH, _CENTRAL_QUEUE):
            other = getattr(figures[name], key)
            rows.append(Row(f"{case}, against {name}", ours, other, unit))
    return rows


def _build_notes(case: str, figures: dict[str, _SpreadFigures]) -> list[str]:
    return [
        f"{case}, {name}: flows {f.flows:.2f}, busy {f.busy:.2f},"
        f" wait {f.p50:.3f} / {f.p99:.3f} / {f.p999:.3f} s"
        for name, f in figures.items()
    ]
