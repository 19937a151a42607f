"""Recorded traces of requests in both deployments."""

import csv
import gzip
import hashlib
import io
import random
from collections.abc import Callable
from dataclasses import dataclass
from importlib import resources

from jujuberun.ids import FlowId, ServiceId

TRACE_SEED = 20
_WORK_SIGMA = 0.8  # lognormal; the longest 1% takes about 5 times the mean
_MAX_WORK_RATIO = 12.0
_MS = 1000


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes:
        at: arrival, seconds since the start of the trace.
        service: service that it asks for.
        flow: flow that carries it.
        work: time that it holds a slot, seconds.
        deadline: seconds since the start of the trace, later than at.
        idempotent: whether it may be run again.
    """

    at: float
    service: ServiceId
    flow: FlowId
    work: float
    deadline: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Workload:
    """How requests of one service look.

    Attributes:
        service: its id.
        slots: slots of all its targets.
        work: mean time in a slot, seconds.
        patience: shortest and longest time to the deadline, seconds.
        idempotent: share of idempotent requests.
        new_flows: share of requests that begin a flow.
        recent_flows: the other requests belong to so many newest flows.
    """

    service: ServiceId
    slots: int
    work: float
    patience: tuple[float, float]
    idempotent: float
    new_flows: float
    recent_flows: int = 150


@dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of a trace.

    Attributes:
        name: what happens in it.
        start: seconds since the start of the trace.
        end: seconds since the start of the trace.
        loads: load of each service as a multiple of its capacity, in the
            order of the deployment's workloads.
    """

    name: str
    start: float
    end: float
    loads: tuple[float, float]


# The more urgent service comes first.
WORKLOADS: dict[str, tuple[Workload, Workload]] = {
    "montreal": (
        Workload(ServiceId("meal-change"), 14, 0.2, (1.0, 3.0), 0.3, 0.2),
        Workload(ServiceId("label"), 8, 0.16, (5.0, 15.0), 0.8, 0.1),
    ),
    "great-lakes": (
        Workload(ServiceId("shelf-count"), 14, 0.2, (3.0, 8.0), 0.5, 0.3),
        Workload(ServiceId("reorder"), 8, 0.4, (20.0, 40.0), 0.9, 0.05),
    ),
}

# The flood of the less urgent service comes first; each has a load of ten.
PHASES = (
    Phase("quiet", 0.0, 45.0, (0.5, 0.5)),
    Phase("flood of the less urgent", 45.0, 60.0, (0.5, 10.0)),
    Phase("flood of the more urgent", 60.0, 70.0, (10.0, 0.5)),
    Phase("after", 70.0, 90.0, (0.5, 0.5)),
)


def load_trace(name: str) -> tuple[Arrival, ...]:
    """Loads a recorded trace, ordered by arrival.

    Args:
        name: "montreal" or "great-lakes".

    Raises:
        KeyError: there is no trace of this name.
    """
    if name not in WORKLOADS:
        raise KeyError(f"no trace {name!r}; known: {', '.join(WORKLOADS)}")
    path = resources.files("jujuberun").joinpath("traces", f"{name}.csv.gz")
    text = gzip.decompress(path.read_bytes()).decode()
    return tuple(_parse_row(name, row) for row in csv.reader(text.split()))


def dump_trace(name: str, seed: int = TRACE_SEED) -> bytes:
    """Returns the file of a trace: compressed CSV, the same on every run.

    Columns: arrival in ms, service, number of the flow, work in ms, time to
    the deadline in ms, 1 if idempotent.
    """
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerows(_draw_rows(name, seed))
    return gzip.compress(text.getvalue().encode(), mtime=0)


def record_trace(name: str, seed: int = TRACE_SEED) -> tuple[Arrival, ...]:
    """Draws a trace by the phases and workloads of a deployment.

    The files in the package were recorded with TRACE_SEED.

    Args:
        name: "montreal" or "great-lakes".
        seed: of all random choices.
    """
    return tuple(
        _parse_row(name, [str(value) for value in row])
        for row in _draw_rows(name, seed)
    )


def record_steady(
    workload: Workload, load: Callable[[float], float], end: float, seed: int
) -> tuple[Arrival, ...]:
    """Draws requests of one service at a load that is a function of time.

    Args:
        workload: how its requests look.
        load: multiple of the capacity at a time in seconds, at most 1.
        end: length, seconds.
        seed: of all random choices.
    """
    rng = random.Random(f"{workload.service}/{seed}")
    full_rate = workload.slots / workload.work
    rows, flows, at = [], 0, rng.expovariate(full_rate)
    while at < end:
        # Thinning turns a constant rate into one that varies with time.
        if rng.random() < load(at):
            flow = _draw_flow(workload, flows, rng)
            flows = max(flows, flow + 1)
            rows.append(_draw_row(workload, at, flow, rng))
        at += rng.expovariate(full_rate)
    return tuple(
        _parse_row("steady", [str(value) for value in row]) for row in rows
    )


def _parse_row(name: str, row: list[str]) -> Arrival:
    at, service, number, work, patience, idempotent = row
    key = f"{name}/{service}/{number}".encode()
    return Arrival(
        at=int(at) / _MS,
        service=ServiceId(service),
        flow=FlowId(hashlib.blake2b(key, digest_size=8).digest()),
        work=int(work) / _MS,
        deadline=(int(at) + int(patience)) / _MS,
        idempotent=idempotent == "1",
    )


def _draw_rows(
    name: str, seed: int
) -> list[tuple[int, str, int, int, int, int]]:
    rows = []
    for index, workload in enumerate(WORKLOADS[name]):
        rng = random.Random(f"{name}/{workload.service}/{seed}")
        flows = 0
        for phase in PHASES:
            rate = phase.loads[index] * workload.slots / workload.work
            at = phase.start + rng.expovariate(rate)
            while at < phase.end:
                flow = _draw_flow(workload, flows, rng)
                flows = max(flows, flow + 1)
                rows.append(_draw_row(workload, at, flow, rng))
                at += rng.expovariate(rate)
    return sorted(rows)


def _draw_flow(workload: Workload, flows: int, rng: random.Random) -> int:
    """Returns the next new flow or a recent one, the newest most often."""
    if flows == 0 or rng.random() < workload.new_flows:
        return flows
    back = int(min(flows, workload.recent_flows) * rng.random() ** 2)
    return flows - 1 - back


def _draw_row(
    workload: Workload, at: float, flow: int, rng: random.Random
) -> tuple[int, str, int, int, int, int]:
    ratio = rng.lognormvariate(-(_WORK_SIGMA**2) / 2, _WORK_SIGMA)
    work = workload.work * min(ratio, _MAX_WORK_RATIO)
    patience = rng.uniform(*workload.patience)
    return (
        int(at * _MS),
        workload.service,
        flow,
        max(1, round(work * _MS)),
        round(patience * _MS),
        int(rng.random() < workload.idempotent),
    )
