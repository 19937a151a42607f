"""Model of the gossip of one change, for fleets beyond one machine."""

import heapq
import random

from jujuberun.spread import GOSSIP_PEERS, GOSSIP_PERIOD_S, PUSH_PEERS


def simulate_spread(
    size: int, first: int, hop: float, rng: random.Random
) -> float:
    """Returns the seconds until a change is in force everywhere.

    Args:
        size: processes.
        first: processes that read the change from the platform at time 0.
        hop: seconds from a Status until the document is in force.
        rng: choice of peers.
    """
    taken = [False] * size
    events: list[tuple[float, int, bool]] = []
    for process in range(size):
        phase = rng.uniform(0, GOSSIP_PERIOD_S)
        events.append((phase, process, False))
    events += [
        (hop, process, True) for process in rng.sample(range(size), first)
    ]
    heapq.heapify(events)
    fetching = {process for _, process, takes in events if takes}
    left = size
    now = 0.0
    while left:
        now, process, takes = heapq.heappop(events)
        if takes:
            taken[process] = True
            left -= 1
        else:
            heapq.heappush(events, (now + GOSSIP_PERIOD_S, process, False))
        count = PUSH_PEERS if takes else GOSSIP_PEERS
        for peer in rng.sample(range(size), count):
            behind = peer if taken[process] else process
            if taken[process] == taken[peer] or behind in fetching:
                continue
            fetching.add(behind)
            heapq.heappush(events, (now + hop, behind, True))
    return now
