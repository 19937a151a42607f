"""A central queue with complete knowledge, as the bound of a comparison.

It sees every waiting start and every free slot at once, which no balancer does.
"""

import heapq
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from jujuberun.ids import Address, ServiceKind, Urgency
from jujuberun.overload.terms import LATE_VALUE, START_LIFETIME_S, StartTerms

# Packets of one request in a row, of 1 ms each in the replay: the start, its
# answer, the request and its answer, each by way of balancer or agent.
PATH_S = 0.01


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of one class.

    Attributes:
        address: address of the service.
        kind: what the requests do.
        work: mean seconds of a slot for each.
        objective: seconds within which callers expect an answer.
        time_limit: seconds after which an answer is worth nothing.
    """

    address: Address
    kind: ServiceKind
    work: float
    objective: float
    time_limit: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A start.

    Attributes:
        time: time of arrival in seconds.
        urgency: class of its service.
    """

    time: float
    urgency: Urgency


def serve(
    arrivals: Sequence[Arrival],
    demands: Mapping[Urgency, Demand],
    terms: Mapping[Urgency, StartTerms],
    slots: int,
    spread: float,
    rng: random.Random,
    window: tuple[float, float],
    reserve: float,
) -> dict[Urgency, float]:
    """Returns the value of the answers by class.

    A free slot takes the start of the highest value for each second of work;
    of equal ones that which has waited longest.

    Args:
        arrivals: starts in the order of time.
        demands: requests by class.
        terms: what an answer is worth, by class.
        slots: slots of all targets.
        spread: part by which the work of a request is shorter or longer.
        rng: source of the work of each request.
        window: first and last time of the arrivals whose answers count.
        reserve: part of its work for which a start must still have time to
            count as in time.
    """
    free_at = [0.0] * slots
    queues: dict[Urgency, list[float]] = {urgency: [] for urgency in demands}
    worth: Counter[Urgency] = Counter(dict.fromkeys(demands, 0.0))
    index = 0
    while index < len(arrivals) or any(queues.values()):
        now = free_at[0]
        if not any(queues.values()):
            now = max(now, arrivals[index].time)
        while index < len(arrivals) and arrivals[index].time <= now:
            queues[arrivals[index].urgency].append(arrivals[index].time)
            index += 1
        chosen, best = None, 0.0
        for urgency, queue in queues.items():
            found = _choose(
                queue, terms[urgency], demands[urgency], now, reserve
            )
            if found is not None and found[0] > best:
                best, chosen = found[0], (urgency, found[1])
        if chosen is None:
            if index >= len(arrivals):
                break
            continue
        urgency, began = chosen
        queues[urgency].remove(began)
        work = demands[urgency].work * rng.uniform(1 - spread, 1 + spread)
        heapq.heapreplace(free_at, max(now, began) + work)
        answered = now + work + PATH_S
        if window[0] <= began <= window[1]:
            worth[urgency] += terms[urgency].compute_value(answered - began)
    return dict(worth)


def _choose(
    queue: list[float],
    terms: StartTerms,
    demand: Demand,
    now: float,
    reserve: float,
) -> tuple[float, float] | None:
    """Returns value density and arrival of a class's best start, or None.

    The starts of a queue are in the order of their arrival; those that callers
    have given up are removed.
    """
    while queue and now - queue[0] > START_LIFETIME_S:
        queue.pop(0)
    density, late = terms.weight / demand.work, None
    for began in queue:
        need = PATH_S + demand.work * (1 + reserve)
        if now - began + need <= terms.objective:
            return density, began
        if late is None and now - began + need <= demand.time_limit:
            late = LATE_VALUE * density, began
    return late
