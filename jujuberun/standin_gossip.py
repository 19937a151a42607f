"""Model of how gossip spreads a change in fleets too large for a machine."""

import heapq
import random

from jujuberun.spread import GOSSIP_PEERS, GOSSIP_PERIOD_S, REPORT_PUSH_PEERS


def simulate_spread(
    size: int, readers: int, hop_s: float, rng: random.Random
) -> float:
    """Returns the seconds until a change is in force at all processes.

    Args:
        size: number of processes.
        readers: number of processes that read the change from the platform at
            time 0.
        hop_s: seconds from a Status until the document is in force at the
            process that lacked it.
        rng: chooses gossip phases, readers and peers.
    """
    in_force = [False] * size
    events: list[tuple[float, int, bool]] = []
    for process in range(size):
        phase = rng.uniform(0, GOSSIP_PERIOD_S)
        events.append((phase, process, False))
    events += [
        (hop_s, process, True) for process in rng.sample(range(size), readers)
    ]
    heapq.heapify(events)
    fetching = {process for _, process, applies in events if applies}
    remaining = size
    now = 0.0
    while remaining:
        now, process, applies = heapq.heappop(events)
        if applies:
            in_force[process] = True
            remaining -= 1
        else:
            heapq.heappush(events, (now + GOSSIP_PERIOD_S, process, False))
        count = REPORT_PUSH_PEERS if applies else GOSSIP_PEERS
        for peer in rng.sample(range(size), count):
            receiver = peer if in_force[process] else process
            if in_force[process] == in_force[peer] or receiver in fetching:
                continue
            fetching.add(receiver)
            heapq.heappush(events, (now + hop_s, receiver, True))
    return now
