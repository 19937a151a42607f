"""Measures how an agent's start rate is divided among balancers."""

import random
from collections.abc import Mapping, Sequence

from jujuberun.ids import Address
from jujuberun.measure import Options, Report, Row
from jujuberun.start_grants import (
    GRANT_PERIOD_S,
    DivideFunction,
    divide_by_use,
    divide_equally,
)
from jujuberun.trace import WORKLOADS, load_trace

SENDERS: tuple[Address, ...] = tuple(
    (f"192.0.2.{index}", 7100) for index in range(1, 5)
)
QUEUE_LIMIT = 64  # start packets queued at a balancer
STEP_S = 0.01
# Load as a multiple of the rate that the agent accepts.
LOADS = (0.9, 10.0)
# Weights by which the balancers receive starts. The fabric spreads packets
# evenly. The other cases model a partition and a change of the fabric's hash.
CASES = {
    "sprayed": ((1, 1, 1, 1),),
    "uneven": ((8, 4, 2, 1),),
    "changing": ((8, 4, 2, 1), (1, 2, 4, 8)),
}
WEIGHTS_PERIOD_S = 10.0


def divide_by_decile(
    rate: float, utilisations: Mapping[Address, float]
) -> dict[Address, float]:
    """Divides a rate by the decile (0 to 9) of the queue utilisations."""
    weights = {
        sender: min(9, int(10.0 * use)) for sender, use in utilisations.items()
    }
    total = sum(weights.values())
    if not total:
        return divide_equally(rate, utilisations)
    return {sender: rate * weight / total for sender, weight in weights.items()}


POLICIES: dict[str, DivideFunction] = {
    "equal": divide_equally,
    "by use": divide_by_use,
    "by decile": divide_by_decile,
}


def measure(options: Options) -> Report:
    """Replays the arrivals of the traces as starts at four balancers."""
    rows = []
    for name in WORKLOADS:
        starts = [arrival.at for arrival in load_trace(name)]
        starts = [
            at for at in starts if 5.0 <= at < (15 if options.quick else 45)
        ]
        for case, balancer_weights in CASES.items():
            for load in LOADS:
                served = {
                    policy: replay_starts(
                        starts, balancer_weights, load, policy, options.seed
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
    balancer_weights: Sequence[Sequence[int]],
    load: float,
    policy: str,
    seed: int,
) -> float:
    """Returns the share of the acceptable starts that the agent accepted.

    Args:
        starts: times at which flows start, seconds, ascending.
        balancer_weights: weights of the balancers in each period of
            WEIGHTS_PERIOD_S; the list repeats.
        load: offered starts divided by the rate of the agent.
        policy: name of the division, a key of POLICIES.
        seed: seed of the choice of balancers.
    """
    rng = random.Random(seed)
    rate = len(starts) / (starts[-1] - starts[0]) / load
    divide = POLICIES[policy]
    rates = divide_equally(rate, dict.fromkeys(SENDERS, 0.0))
    queued = dict.fromkeys(SENDERS, 0)
    tokens = dict.fromkeys(SENDERS, 0.0)
    sent_starts = dict.fromkeys(SENDERS, 0)
    accepted = 0
    index = 0
    now = starts[0]
    next_division = now + GRANT_PERIOD_S
    while now < starts[-1]:
        weights = balancer_weights[
            int((now - starts[0]) / WEIGHTS_PERIOD_S) % len(balancer_weights)
        ]
        while index < len(starts) and starts[index] <= now:
            sender = rng.choices(SENDERS, weights)[0]
            queued[sender] = min(QUEUE_LIMIT, queued[sender] + 1)
            index += 1
        for sender in SENDERS:
            tokens[sender] += STEP_S * rates[sender]
            count = min(int(tokens[sender]), queued[sender])
            queued[sender] -= count
            sent_starts[sender] += count
            accepted += count
            tokens[sender] = min(tokens[sender] - count, 2.0)
        if now >= next_division:
            usage = sent_starts
            if policy == "by decile":
                usage = {s: n / QUEUE_LIMIT for s, n in queued.items()}
            rates = divide(rate, usage)
            sent_starts = dict.fromkeys(SENDERS, 0)
            next_division += GRANT_PERIOD_S
        now += STEP_S
    return accepted / min(len(starts), rate * (now - starts[0]))
