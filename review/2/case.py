"""ROUTE: the address of a target that is gone goes to another service."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.callers import Caller
from standins.fleet import HEARTBEAT_S, Fleet, run_case
from standins.record import Record

SERVICE, OTHER_SERVICE = "tally-desk", "mail-v13"
ROUTE_HOST, OTHER_HOST = "127.251.0.1", "127.251.0.2"
# Targets that end, with the numbers of their machines.
REUSED = {"i-0001": 1, "i-0002": 2}
ADDRESS_REUSE_S = 2.0
# The entry of a silent target is removed after three check-in intervals.
EXPIRY_S = 3 * HEARTBEAT_S
REQUEST_PERIOD_S = 0.015
REQUEST_LIMIT_S = 2.0
WATCHED_S = 9.0
REPLACED_AT_S = 3.0


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> None:
    """Plays the case."""
    fleet.publish(
        {
            "r-tally": (ROUTE_HOST, SERVICE),
            "r-mail": (OTHER_HOST, OTHER_SERVICE),
        }
    )
    await fleet.start({SERVICE: 8, OTHER_SERVICE: 4}, balancers=5)
    if not await fleet.wait_ready():
        raise RuntimeError("the balancers are not ready")
    caller = fleet.make_caller(1)
    began = record.read_time()
    requests = []
    replacement = None
    while record.read_time() < began + WATCHED_S:
        elapsed = record.read_time() - began
        if has_trouble and replacement is None and elapsed > REPLACED_AT_S:
            replacement = asyncio.gather(
                *(replace_target(fleet, name) for name in REUSED)
            )
        for host, service in (
            (ROUTE_HOST, SERVICE),
            (OTHER_HOST, OTHER_SERVICE),
        ):
            task = check(record, caller, host, service)
            requests.append(asyncio.create_task(task))
        await asyncio.sleep(REQUEST_PERIOD_S)
    await asyncio.gather(*requests)
    if replacement is not None:
        await replacement


async def replace_target(fleet: Fleet, name: str) -> None:
    """Ends a machine for good; its address goes to the other service."""
    target = fleet.targets.pop(name)
    target.crash()
    fleet.kill_agent(target.host)
    expiry = asyncio.create_task(expire(fleet, name))
    await asyncio.sleep(ADDRESS_REUSE_S)
    fleet.record.write(f"{target.host} is used again by {OTHER_SERVICE}")
    fleet.add_target(f"{name}-next", OTHER_SERVICE, REUSED[name])
    await expiry


async def expire(fleet: Fleet, name: str) -> None:
    """Removes the entry of the silent target from the store."""
    await asyncio.sleep(EXPIRY_S)
    fleet.store.remove(f"servers/{name}")
    fleet.record.write(f"the entry of {name} expires")


async def check(
    record: Record, caller: Caller, host: str, service: str
) -> None:
    """Sends a request; only the service of its route may run it."""
    flow = caller.make_flow((host, 443))
    if not await caller.open(flow):
        return
    attempt, answer = await caller.request(flow, REQUEST_LIMIT_S)
    caller.close(flow)
    if answer is not None and not answer.endswith(f" {service}"):
        record.violate(f"ROUTE: {answer}, its route leads to {service}")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
