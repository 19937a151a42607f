"""Measures how an agent's start rate is divided among balancers."""

import random
from collections.abc import Mapping, Sequence

from jujuberun.ids import Address
from jujuberun.measure import Options, Report, Row
from jujuberun.shares import (
    PERIOD_S,
    Division,
    divide_by_use,
    divide_equally,
)
from jujuberun.trace import WORKLOADS, load_trace

SENDERS: tuple[Address, ...] = tuple(
    (f"192.0.2.{index}", 7100) for index in range(1, 5)
)
QUEUE_LIMIT = 64  # start packets that a balancer holds back
STEP_S = 0.01
# Load as a multiple of the rate that the agent accepts.
LOADS = (0.9, 10.0)
# Parts of the starts that each balancer sees; the fabric sprays evenly, the
# other cases stand for a partition and for a change of the fabric's hash.
CASES = {
    "sprayed": ((1, 1, 1, 1),),
    "uneven": ((8, 4, 2, 1),),
    "changing": ((8, 4, 2, 1), (1, 2, 4, 8)),
}
CHANGE_S = 10.0


def divide_by_decile(
    rate: float, utilisations: Mapping[Address, float]
) -> dict[Address, float]:
    """Divides by the decile (0 to 9) of each sender's queue utilisation."""
    weights = {
        sender: min(9, int(10.0 * use)) for sender, use in utilisations.items()
    }
    total = sum(weights.values())
    if not total:
        return divide_equally(rate, utilisations)
    return {sender: rate * weight / total for sender, weight in weights.items()}


POLICIES: dict[str, Division] = {
    "equal": divide_equally,
    "by use": divide_by_use,
    "by decile": divide_by_decile,
}


def measure(options: Options) -> Report:
    """Replays the traces' arrivals as starts through four balancers."""
    rows = []
    for name in WORKLOADS:
        starts = [arrival.at for arrival in load_trace(name)]
        starts = [
            at for at in starts if 5.0 <= at < (15 if options.quick else 45)
        ]
        for case, parts in CASES.items():
            for load in LOADS:
                served = {
                    policy: replay_starts(
                        starts, parts, load, policy, options.seed
                    )
                    for policy in POLICIES
                }
                rows += [
                    Row(
                        f"{name}, {case}, load {load}: {policy} against equal",
                        100.0 * served[policy],
                        100.0 * served["equal"],
                        "% of what could be accepted",
                    )
                    for policy in ("by use", "by decile")
                ]
    return Report("shares", options.seed, tuple(rows))


def replay_starts(
    starts: Sequence[float],
    parts: Sequence[Sequence[int]],
    load: float,
    policy: str,
    seed: int,
) -> float:
    """Returns the part of the acceptable starts that the agent received.

    Args:
        starts: when flows start, seconds, ordered.
        parts: weights of the balancers; the next ones follow after CHANGE_S.
        load: offered starts over the agent's rate.
        policy: name of the division.
        seed: of the choice of balancers.
    """
    rng = random.Random(seed)
    rate = len(starts) / (starts[-1] - starts[0]) / load
    divide = POLICIES[policy]
    rates = divide_equally(rate, dict.fromkeys(SENDERS, 0.0))
    queued = dict.fromkeys(SENDERS, 0)
    tokens = dict.fromkeys(SENDERS, 0.0)
    passed = dict.fromkeys(SENDERS, 0)
    accepted = 0
    index = 0
    now = starts[0]
    next_division = now + PERIOD_S
    while now < starts[-1]:
        weights = parts[int((now - starts[0]) / CHANGE_S) % len(parts)]
        while index < len(starts) and starts[index] <= now:
            sender = rng.choices(SENDERS, weights)[0]
            queued[sender] = min(QUEUE_LIMIT, queued[sender] + 1)
            index += 1
        for sender in SENDERS:
            tokens[sender] += STEP_S * rates[sender]
            count = min(int(tokens[sender]), queued[sender])
            queued[sender] -= count
            passed[sender] += count
            accepted += count
            tokens[sender] = min(tokens[sender] - count, 2.0)
        if now >= next_division:
            signal = passed
            if policy == "by decile":
                signal = {s: n / QUEUE_LIMIT for s, n in queued.items()}
            rates = divide(rate, signal)
            passed = dict.fromkeys(SENDERS, 0)
            next_division += PERIOD_S
        now += STEP_S
    return accepted / min(len(starts), rate * (now - starts[0]))
