"""Measures how floods displace other work, at targets and balancers."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from jujuberun.admission import Admission
from jujuberun.fifo import FifoGate
from jujuberun.ids import ServiceId
from jujuberun.measure import Options, Report, Row
from jujuberun.overload import Attempt, build_replay
from jujuberun.trace import (
    PHASES,
    WORKLOADS,
    Arrival,
    load_trace,
    record_trace,
)

MIN_CAPACITY = 95.0  # % of the quiet figure
MAX_WAIT_RATIO = 1.5  # of the quiet p99
MAX_URGENT_WAIT_S = 1.0
WINDOW_S = 10.0  # the least urgent work is never at zero so long
WARM_UP_S = 5.0
EXTRA_TRACES = 2  # further draws of the same workloads, in a full run
BALANCERS = 2
BALANCER_LOAD = 0.5  # of the packet budget, while all is quiet
# Each arrival of the trace stands for so many packets within SPREAD_S. With
# fewer, a buffer would last much longer than in a real socket: the default
# receive buffer of Linux holds about 90 datagrams, 5 ms at 20,000 packets/s.
PACKETS = 10
QUICK_PACKETS = 2
SPREAD_S = 5.0
BUFFER_PACKETS = 32  # per service
NAIVE_BUFFER_PACKETS = 64  # for all services together
# Packets in one turn of a socket; one that was not emptied in its last turn
# gets the short turn, so that the others wait for few of its packets.
TURN_PACKETS = 16
BACKLOGGED_TURN_PACKETS = 1
ONSET_S = 2.0  # work that began before a flood still holds slots
QUICK_SPANS = ((25.0, 52.0), (60.0, 66.0))


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
    for name in WORKLOADS:
        traces = [load_trace(name)]
        if options.quick:
            traces = [[a for a in traces[0] if _is_in_quick_run(a.at)]]
        else:
            traces += [
                record_trace(name, options.seed + number)
                for number in range(EXTRA_TRACES)
            ]
        floods = [amplify_flood(name, trace) for trace in traces]
        options.progress(f"flood: {name}, targets shared")
        ours = _replay_all(name, floods, Admission.from_config, options.seed)
        naive = _replay_all(name, floods, FifoGate, options.seed)
        rows += _compare(f"{name}, shared targets", name, ours, naive)
        rows += _compare_urgency(f"{name}, shared targets", name, ours, naive)
        options.progress(f"flood: {name}, balancers")
        copies = QUICK_PACKETS if options.quick else PACKETS
        parts = spray(floods[0], copies, options.seed)
        budget = copies * compute_budget(name)
        ours = _forward_all(parts, budget, RoundRobin)
        naive = _forward_all(parts, budget, OneBuffer)
        rows += _compare(f"{name}, balancers", name, ours, naive)
    notes = (
        "A flood offers at least ten times the capacity of all targets.",
        "Balancers: scaled to the trace, quiet load half of their budget.",
    )
    return Report("flood", options.seed, tuple(rows), notes)


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


class RoundRobin:
    """Buffers as at our balancer: one for each service, in turn."""

    def __init__(self) -> None:
        self._buffers: dict[ServiceId, deque[Arrival]] = {}
        self._turns: deque[ServiceId] = deque()
        self._left = 0

    def push(self, packet: Arrival) -> bool:
        """Buffers a packet; returns whether there was room."""
        buffer = self._buffers.get(packet.service)
        if buffer is None:
            buffer = self._buffers[packet.service] = deque()
            self._turns.append(packet.service)
        if len(buffer) >= BUFFER_PACKETS:
            return False
        buffer.append(packet)
        return True

    def pop(self) -> Arrival | None:
        """Returns the next packet."""
        for _ in range(len(self._turns) + 1):
            if not self._turns:
                return None
            buffer = self._buffers[self._turns[0]]
            if buffer and self._left:
                self._left -= 1
                return buffer.popleft()
            self._turns.rotate(-1)
            backlogged = len(self._buffers[self._turns[0]]) > TURN_PACKETS
            self._left = BACKLOGGED_TURN_PACKETS if backlogged else TURN_PACKETS
        return None


class OneBuffer:
    """The naive version: one socket for all services."""

    def __init__(self) -> None:
        self._buffer: deque[Arrival] = deque()

    def push(self, packet: Arrival) -> bool:
        """Buffers a packet; returns whether there was room."""
        if len(self._buffer) >= NAIVE_BUFFER_PACKETS:
            return False
        self._buffer.append(packet)
        return True

    def pop(self) -> Arrival | None:
        """Returns the next packet."""
        return self._buffer.popleft() if self._buffer else None


def forward(
    packets: Sequence[Arrival], budget: float, buffers: RoundRobin | OneBuffer
) -> list[Sample]:
    """Forwards packets through one balancer with a packet budget.

    Args:
        packets: ordered by arrival.
        budget: packets per second.
        buffers: its receive buffers, empty.
    """
    samples = []
    now = 0.0
    index = 0
    while True:
        while index < len(packets) and packets[index].at <= now:
            packet = packets[index]
            if not buffers.push(packet):
                samples.append(_sample_packet(packet, math.inf))
            index += 1
        packet = buffers.pop()
        if packet is not None:
            samples.append(_sample_packet(packet, now - packet.at))
            now += 1.0 / budget
        elif index < len(packets):
            now = packets[index].at
        else:
            return samples


def _sample_packet(packet: Arrival, wait: float) -> Sample:
    forwarded = wait < math.inf
    return Sample(packet.service, packet.at, 1.0, forwarded, wait, math.inf)


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


def spray(
    flood: Iterable[Arrival], copies: int, seed: int
) -> list[list[Arrival]]:
    """Returns the packets that each balancer gets, ordered by arrival."""
    rng = random.Random(seed)
    parts: list[list[Arrival]] = [[] for _ in range(BALANCERS)]
    for arrival in flood:
        phase = next(p for p in PHASES if arrival.at < p.end)
        for _ in range(copies):
            at = arrival.at + SPREAD_S * (rng.random() - 0.5)
            # Reflection keeps packets in their phase and its rate even.
            at = 2.0 * phase.start - at if at < phase.start else at
            at = 2.0 * phase.end - at if at > phase.end else at
            packet = replace(arrival, at=at)
            parts[rng.randrange(BALANCERS)].append(packet)
    for part in parts:
        part.sort(key=lambda packet: packet.at)
    return parts


def _forward_all(
    parts: Iterable[Sequence[Arrival]],
    budget: float,
    build_buffers: Callable[[], RoundRobin | OneBuffer],
) -> list[Sample]:
    return [
        sample
        for part in parts
        for sample in forward(part, budget, build_buffers())
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
        kept, ratio, steady = _find_loss(ours, other, phase.start, phase.end)
        naive_kept, naive_ratio, naive_steady = _find_loss(
            naive, other, phase.start, phase.end
        )
        where = f"{label}, {other} in a flood of {flooded}"
        rows.append(
            Row(
                f"{where}: capacity kept",
                kept,
                naive_kept,
                "%",
                f">= {MIN_CAPACITY:g}",
                kept >= MIN_CAPACITY,
            )
        )
        rows.append(
            Row(
                f"{where}: p99 wait over quiet",
                ratio,
                naive_ratio,
                "times",
                f"<= {MAX_WAIT_RATIO:g}",
                ratio <= MAX_WAIT_RATIO,
            )
        )
        rows.append(
            Row(
                f"{where}: the same after {ONSET_S:g} s",
                steady,
                naive_steady,
                "times",
            )
        )
    return rows


def _find_loss(
    samples: list[Sample], service: ServiceId, start: float, end: float
) -> tuple[float, float, float]:
    """Returns the capacity kept in % and ratios of p99 waits to quiet.

    The first ratio is that of the whole flood, the second that of the flood
    after its first ONSET_S seconds.
    """
    quiet = _select(samples, service, WARM_UP_S, PHASES[0].end)
    flood = _select(samples, service, start, end)
    steady = _select(samples, service, start + ONSET_S, end)
    kept = 100.0 * _find_useful(flood) / _find_useful(quiet)
    p99 = _find_p99(quiet)
    return kept, _find_p99(flood) / p99, _find_p99(steady) / p99


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
