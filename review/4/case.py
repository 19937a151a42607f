"""DRAIN: an entry of another writer stands among the registrations."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.callers import Caller
from standins.fleet import DRAIN_S, Fleet, run_case
from standins.record import Record

SERVICE = "orders"
ROUTE_HOST = "127.251.0.1"
TARGETS = 5
# The entry names a service that is in no configuration, by a very long text.
# Values of the store have at most 1,048,576 bytes.
OTHER_SERVICE = "x" * 1_000_000
RELEASE_GAP_S = 1.0
# From the report that a target drains to its end.
SERVED_S = 6.0
REQUEST_PERIOD_S = 0.05
REQUEST_LIMIT_S = 2.0
WATCHED_S = 14.0
LAST_REQUESTS = 20


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> None:
    """Plays the case."""
    fleet.publish({"r-orders": (ROUTE_HOST, SERVICE)})
    await fleet.start({SERVICE: TARGETS}, balancers=3)
    if not await fleet.wait_ready():
        raise RuntimeError("the balancers are not ready")
    await asyncio.sleep(1.0)
    if has_trouble:
        write_other_entry(fleet)
    await asyncio.sleep(1.0)
    release = asyncio.create_task(release_targets(fleet))
    caller = fleet.make_caller(1)
    end = record.read_time() + WATCHED_S
    requests = []
    while record.read_time() < end:
        requests.append(asyncio.create_task(send_request(caller)))
        await asyncio.sleep(REQUEST_PERIOD_S)
    await asyncio.gather(release, *requests)
    answers = await asyncio.gather(
        *(send_request(caller) for _ in range(LAST_REQUESTS))
    )
    record.write(
        f"after the release, {sum(answers)} of {LAST_REQUESTS} requests are "
        f"served; {len(fleet.targets)} targets are ready and registered"
    )


def write_other_entry(fleet: Fleet) -> None:
    """Writes an entry that names no target of this fleet."""
    fleet.store.put(
        "servers/other",
        {
            "Service": OTHER_SERVICE,
            "Address": f"{fleet.store.address[0]}:9999",
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 1,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Seq": 1,
            "born": 1_796_000_000_000,
        },
    )
    fleet.record.write("another writer writes servers/other")


async def release_targets(fleet: Fleet) -> None:
    """Replaces the targets one after the other; the new one starts first."""
    leaving = []
    for number, name in enumerate(list(fleet.targets), TARGETS + 1):
        fleet.add_target(f"i-{number:04x}", SERVICE, number)
        leaving.append(asyncio.create_task(remove_target(fleet, name)))
        await asyncio.sleep(RELEASE_GAP_S)
    await asyncio.gather(*leaving)


async def remove_target(fleet: Fleet, name: str) -> None:
    """Lets a target drain, and ends it; checks which flows opened there."""
    target = fleet.targets[name]
    target.is_draining = True
    fleet.register(target)
    drained_at = fleet.record.read_time()
    fleet.record.write(f"{name} is draining; the store has confirmed it")
    await asyncio.sleep(SERVED_S)
    for flow in target.flows.values():
        if flow.is_open and flow.opened_at > drained_at + DRAIN_S:
            fleet.record.violate(
                f"DRAIN: a flow of {flow.start.source[1]} opened at {name} at "
                f"{flow.opened_at:.3f}; it is draining since {drained_at:.3f}"
            )
    del fleet.targets[name]
    target.crash()
    fleet.store.remove(f"servers/{name}")
    await fleet.stop_agent(target.host)


async def send_request(caller: Caller) -> bool:
    """Sends a request in a flow of its own; returns whether it is served."""
    flow = caller.make_flow((ROUTE_HOST, 443))
    if not await caller.open(flow):
        return False
    _, answer = await caller.request(flow, REQUEST_LIMIT_S)
    caller.close(flow)
    return answer is not None


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
