"""Generates and loads the request traces of both deployments."""

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
# Sigma of the lognormal distribution of work. With it the longest 1% of the
# requests take about 5 times the mean.
_WORK_SIGMA = 0.8
_MAX_WORK_RATIO = 12.0
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a trace.

    Attributes:
        at: time of arrival, seconds since the start of the trace.
        service: requested service.
        flow: flow that carries the request.
        work: time that the request occupies a slot, seconds.
        deadline: seconds since the start of the trace, later than at.
        idempotent: whether the request may run more than once.
    """

    at: float
    service: ServiceId
    flow: FlowId
    work: float
    deadline: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of the requests of one service.

    Attributes:
        service: id of the service.
        slots: total slots of its targets.
        work: mean time that a request occupies a slot, seconds.
        time_to_deadline: shortest and longest time from arrival to
            deadline, seconds.
        idempotent_share: share of idempotent requests.
        new_flow_share: share of requests that start a new flow.
        recent_flows: number of the newest flows among which the other
            requests are spread.
    """

    service: ServiceId
    slots: int
    work: float
    time_to_deadline: tuple[float, float]
    idempotent_share: float
    new_flow_share: float
    recent_flows: int = 150


@dataclass(frozen=True, slots=True)
class Phase:
    """A period of a trace with a constant load for each service.

    Attributes:
        name: short description.
        start: seconds since the start of the trace.
        end: seconds since the start of the trace.
        loads: load of each service as a multiple of its capacity, in the
            order of the deployment's workloads.
    """

    name: str
    start: float
    end: float
    loads: tuple[float, float]


# The two services of each deployment, the more urgent one first.
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

# The less urgent service is flooded first, then the more urgent one. A flood
# offers 10 times the capacity of the service.
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
    """Returns the content of a trace file: gzipped CSV, equal on every run.

    The columns are the arrival in ms, the service, the number of the flow,
    the work in ms, the time to the deadline in ms, and 1 if the request is
    idempotent or 0 if not.
    """
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerows(_draw_rows(name, seed))
    return gzip.compress(text.getvalue().encode(), mtime=0)


def generate_trace(name: str, seed: int = TRACE_SEED) -> tuple[Arrival, ...]:
    """Generates a trace from the phases and workloads of a deployment.

    The trace files in the package were generated with TRACE_SEED.

    Args:
        name: "montreal" or "great-lakes".
        seed: seed of all random choices.
    """
    return tuple(
        _parse_row(name, [str(value) for value in row])
        for row in _draw_rows(name, seed)
    )


def generate_arrivals(
    workload: Workload, load: Callable[[float], float], end: float, seed: int
) -> tuple[Arrival, ...]:
    """Generates requests of one service whose load is a function of time.

    Args:
        workload: parameters of the requests.
        load: returns the load at a time in seconds, as a multiple of the
            capacity, at most 1.
        end: length of the trace, seconds.
        seed: seed of all random choices.
    """
    rng = random.Random(f"{workload.service}/{seed}")
    full_rate = workload.slots / workload.work
    rows, flows, at = [], 0, rng.expovariate(full_rate)
    while at < end:
        # Dropping arrivals at random (thinning) turns the constant rate into
        # one that varies with time.
        if rng.random() < load(at):
            flow = _draw_flow(workload, flows, rng)
            flows = max(flows, flow + 1)
            rows.append(_draw_row(workload, at, flow, rng))
        at += rng.expovariate(full_rate)
    return tuple(
        _parse_row("steady", [str(value) for value in row]) for row in rows
    )


def _parse_row(name: str, row: list[str]) -> Arrival:
    at, service, number, work, time_to_deadline, idempotent = row
    key = f"{name}/{service}/{number}".encode()
    return Arrival(
        at=int(at) / _MS_PER_S,
        service=ServiceId(service),
        flow=FlowId(hashlib.blake2b(key, digest_size=8).digest()),
        work=int(work) / _MS_PER_S,
        deadline=(int(at) + int(time_to_deadline)) / _MS_PER_S,
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
    """Returns the number of a new flow or of a recent one.

    Newer flows are chosen more often.
    """
    if flows == 0 or rng.random() < workload.new_flow_share:
        return flows
    back = int(min(flows, workload.recent_flows) * rng.random() ** 2)
    return flows - 1 - back


def _draw_row(
    workload: Workload, at: float, flow: int, rng: random.Random
) -> tuple[int, str, int, int, int, int]:
    ratio = rng.lognormvariate(-(_WORK_SIGMA**2) / 2, _WORK_SIGMA)
    work = workload.work * min(ratio, _MAX_WORK_RATIO)
    time_to_deadline = rng.uniform(*workload.time_to_deadline)
    return (
        int(at * _MS_PER_S),
        workload.service,
        flow,
        max(1, round(work * _MS_PER_S)),
        round(time_to_deadline * _MS_PER_S),
        int(rng.random() < workload.idempotent_share),
    )
