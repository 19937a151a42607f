"""Compares orders of starts under overload, on the replay of the tests.

Callers arrive at real balancers and agents (tests/test_load_replay.py) at 1.6
times the capacity of their pool, with a flood of one class in turn. Each order
is compared with a central queue that sees all waiting starts and free slots.

Run from a copy of the repository:

    python -m jujuberun.overload.comparison --balancers 18 --targets 50
"""

import argparse
import logging
import random
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from jujuberun import waiting_starts
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import unpack_caller
from jujuberun.ids import ServiceKind, Urgency
from jujuberun.overload import central_queue
from jujuberun.overload.central_queue import Arrival, Demand
from jujuberun.overload.terms import LATE_VALUE, StartTerms
from jujuberun.waiting_starts import rank_start

sys.path.append(str(Path(__file__).parents[2] / "tests"))

from packetpath import make_service  # noqa: E402
from test_load_replay import LoadReplay  # noqa: E402

# Work on offer in parts of the capacity: without the flood, and of the flood.
SHARES = {Urgency.URGENT: 0.15, Urgency.NORMAL: 0.25, Urgency.BULK: 0.4}
FLOOD_SHARE = 0.8
# Requests of a service need between half and one and a half of its work.
WORK_SPREAD = 0.5
# Callers that arrive in the first part and in the last one do not count: queues
# form in the first, and starts of the last would find a pool without a flood
# until their callers gave up.
BEGIN_S = 1.5
END_S = 0.6
# The central queue that achieves the most value with one of these is the bound.
CENTRAL_RESERVES = (0.0, 0.25, 0.5)
# Time after the last arrival in which answers still come.
TAIL_S = 0.3
# Services of the replay: of the page docs/hard-load.md, with an urgent one.
DEMANDS = {
    Urgency.URGENT: Demand(
        ("198.18.0.1", 443), ServiceKind.IDEMPOTENT, 0.03, 0.15, 1.0
    ),
    Urgency.NORMAL: Demand(
        ("198.18.0.2", 443), ServiceKind.NON_IDEMPOTENT, 0.039, 0.383, 3.194
    ),
    Urgency.BULK: Demand(
        ("198.18.0.3", 443), ServiceKind.IDEMPOTENT, 0.03, 0.338, 2.706
    ),
}


class _FixedOrder:
    """Ranks starts by a function, with the busy limits of one median."""

    def __init__(self, rank: Callable[[FlowEntry, float], float]) -> None:
        self._rank = rank

    def __call__(
        self, entry: FlowEntry, service_time: float, now: float
    ) -> tuple[float, ...]:
        return (self._rank(entry, now),)


def _rank_by_density(entry: FlowEntry, now: float) -> float:
    urgency = Urgency(entry.urgency)
    weight = _make_terms(urgency).weight
    is_late = entry.compute_remaining(now) < DEMANDS[urgency].work
    return -weight * (LATE_VALUE if is_late else 1) / DEMANDS[urgency].work


# By name: how the starts that wait at a balancer are ranked, None for the order
# of this package.
ORDERS = {
    "loss": None,
    "class and objective (before)": rank_start,
    "first come first served": _FixedOrder(lambda e, now: e.first_seen_at),
    "strict classes": _FixedOrder(lambda e, now: e.urgency),
    "least slack": _FixedOrder(lambda e, now: e.compute_remaining(now)),
    "value density": _FixedOrder(_rank_by_density),
}


class _ShuffledReplay(LoadReplay):
    """A replay whose callers reach any balancer, and in which none is first."""

    def advance(self) -> None:
        self.fleet.net.rng.shuffle(self.fleet.balancers)
        super().advance()


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one order under one flood.

    Attributes:
        value: value of all answers.
        in_time: part of the starts that were answered in time, by class.
        worth: value of the answers by class.
        packets: packets between daemons for each start.
        refused_but_ran: starts that were refused although they ran.
    """

    value: float
    in_time: dict[Urgency, float]
    worth: dict[Urgency, float]
    packets: float
    refused_but_ran: int


def _make_terms(urgency: Urgency) -> StartTerms:
    return StartTerms.from_service(
        _make_service(urgency, True), DEMANDS[urgency].objective
    )


def _make_service(urgency: Urgency, states_terms: bool):  # noqa: ANN202
    demand = DEMANDS[urgency]
    changes = {"urgency": urgency, "objective": demand.objective}
    if states_terms:
        changes |= {"time_limit": demand.time_limit, "kind": demand.kind}
    return make_service(urgency.name.lower(), demand.address, **changes)


def replay_flood(
    name: str, flood: Urgency, balancers: int, targets: int, seconds: float
) -> tuple[Outcome, list[Arrival]]:
    """Replays a flood of a class.

    Args:
        name: name of the order in ORDERS.
        flood: class of the flood.
        balancers: number of balancers.
        targets: number of targets, of two slots each.
        seconds: time during which callers arrive.
    """
    rank = ORDERS[name]
    replay = _ShuffledReplay(balancers, targets)
    fleet = replay.fleet
    fleet.services = [_make_service(u, rank is None) for u in Urgency]
    fleet.distribute_config()
    for target in fleet.targets:
        target.works = {d.address: d.work for d in DEMANDS.values()}
        target.spread = WORK_SPREAD
    slots = targets * 2
    rates = {}
    for urgency, share in SHARES.items():
        share += FLOOD_SHARE if urgency is flood else 0.0
        rates[DEMANDS[urgency].address] = share * slots / DEMANDS[urgency].work
    replay.callers = {address: [] for address in rates}
    began = fleet.net.now
    with mock.patch.object(waiting_starts, "rank_start", rank):
        replay.run(BEGIN_S + seconds + END_S, rates)
        replay.run(TAIL_S, {})
    worth, in_time, arrivals = {}, {}, []
    for urgency in Urgency:
        demand, terms = DEMANDS[urgency], _make_terms(urgency)
        callers = [
            caller
            for caller in replay.callers[demand.address]
            if BEGIN_S <= caller.began_at - began <= BEGIN_S + seconds
        ]
        spans = [
            caller.answered_at - caller.began_at
            for caller in callers
            if caller.answered_at is not None
        ]
        worth[urgency] = sum(terms.compute_value(span) for span in spans)
        met = sum(span <= demand.objective for span in spans)
        in_time[urgency] = met / len(callers)
        arrivals += [
            Arrival(caller.began_at - began, urgency)
            for caller in replay.callers[demand.address]
        ]
    everyone = [c for group in replay.callers.values() for c in group]
    declined = sum(t.sidecar.counts["declined"] for t in fleet.targets)
    offers = declined + sum(
        t.sidecar.counts["flows_created"] for t in fleet.targets
    )
    ran = {
        unpack_caller(key)
        for target in fleet.targets
        for key, _ in target.handled_requests
    }
    refused = [c for c in everyone if c.resets and c.address in ran]
    outcome = Outcome(
        sum(worth.values()),
        in_time,
        worth,
        # Each offer is one packet and is answered by one message.
        2 * offers / len(everyone),
        len(refused),
    )
    return outcome, sorted(arrivals, key=lambda arrival: arrival.time)


def _run_central(
    arrivals: Sequence[Arrival], slots: int, seconds: float
) -> dict[Urgency, float]:
    terms = {urgency: _make_terms(urgency) for urgency in Urgency}
    runs = [
        central_queue.serve(
            arrivals,
            DEMANDS,
            terms,
            slots,
            WORK_SPREAD,
            random.Random(1),
            (BEGIN_S, BEGIN_S + seconds),
            reserve,
        )
        for reserve in CENTRAL_RESERVES
    ]
    return max(runs, key=lambda worth: sum(worth.values()))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the comparison and prints one line for each order and flood."""
    logging.disable()
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--balancers", type=int, default=18)
    parser.add_argument("--targets", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--orders", nargs="*", default=list(ORDERS))
    parser.add_argument(
        "--floods", nargs="*", default=["urgent", "normal", "bulk"]
    )
    options = parser.parse_args(arguments)
    print(
        "flood   order                        value  urgent "
        "in time urgent/normal/bulk  packets  refused, ran"
    )
    for flood in options.floods:
        for name in options.orders:
            began = time.monotonic()
            outcome, arrivals = replay_flood(
                name,
                Urgency[flood.upper()],
                options.balancers,
                options.targets,
                options.seconds,
            )
            central = _run_central(
                arrivals, options.targets * 2, options.seconds
            )
            parts = "/".join(f"{outcome.in_time[u]:.3f}" for u in Urgency)
            urgent = outcome.worth[Urgency.URGENT] / central[Urgency.URGENT]
            bound = "/".join(f"{central[u]:.0f}" for u in Urgency)
            ours = "/".join(f"{outcome.worth[u]:.0f}" for u in Urgency)
            print(
                f"{flood:7} {name:28} "
                f"{outcome.value / sum(central.values()):.3f}  {urgent:.3f}  "
                f"{parts:>26}  {outcome.packets:7.2f}  "
                f"{outcome.refused_but_ran:5d}  "
                f"{ours} of {bound} "
                f"({time.monotonic() - began:.0f} s)",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
