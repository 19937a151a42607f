"""FLOW: a route moves to another service, then the balancers are restarted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.callers import Caller, CallerFlow
from standins.fleet import Fleet, run_case
from standins.record import Record

OLD_SERVICE, NEW_SERVICE = "orders", "orders-next"
ROUTE_HOST = "127.251.0.1"
FLOWS = 12
REQUEST_PERIOD_S = 0.5
REQUEST_LIMIT_S = 6.0
SETTLE_S = 3.0


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> None:
    """Plays the case."""
    fleet.publish({"r-orders": (ROUTE_HOST, OLD_SERVICE)})
    await fleet.start({OLD_SERVICE: 3, NEW_SERVICE: 3}, balancers=3)
    if not await fleet.wait_ready():
        raise RuntimeError("the balancers are not ready")
    caller = fleet.make_caller(1)
    flows = [caller.make_flow((ROUTE_HOST, 443)) for _ in range(FLOWS)]
    opened = await asyncio.gather(*map(caller.open, flows))
    if not all(opened):
        raise RuntimeError("a flow did not open")
    stopped = asyncio.Event()
    users = [
        asyncio.create_task(use(fleet, record, caller, flow, stopped))
        for flow in flows
    ]
    await asyncio.sleep(SETTLE_S)
    fleet.publish({"r-orders": (ROUTE_HOST, NEW_SERVICE)})
    await asyncio.sleep(SETTLE_S)
    for host in list(fleet.balancers):
        if has_trouble:
            await fleet.restart_balancer(host)
        await asyncio.sleep(SETTLE_S)
    stopped.set()
    await asyncio.gather(*users)
    await check_new_flow(record, caller)


async def use(
    fleet: Fleet,
    record: Record,
    caller: Caller,
    flow: CallerFlow,
    stopped: asyncio.Event,
) -> None:
    """Sends requests in one flow, and checks that it is not reset."""
    own = (caller.host, flow.port)
    while not stopped.is_set():
        await asyncio.sleep(REQUEST_PERIOD_S)
        attempt, _ = await caller.request(flow, REQUEST_LIMIT_S)
        if flow.reset is None:
            continue
        holders = [
            target.name
            for target in fleet.targets.values()
            if target.find_flow(own, flow.service) is not None
        ]
        if holders and flow.reset.is_unsigned:
            record.violate(
                f"FLOW: the system reset the flow of {flow.port} during "
                f"{attempt}; {holders[0]} lives and holds the flow open"
            )
        return


async def check_new_flow(record: Record, caller: Caller) -> None:
    """Writes which service a new flow goes to."""
    flow = caller.make_flow((ROUTE_HOST, 443))
    if await caller.open(flow):
        _, answer = await caller.request(flow, REQUEST_LIMIT_S)
        record.write(f"a new flow: {answer}")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
