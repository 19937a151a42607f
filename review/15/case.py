"""Balancers are stopped in turn while callers get answers and then pause."""

import asyncio
import os
import random
import sys
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins3"))

from fleet import Caller, Fleet, Packet, Router, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REORDER_S = 2.0  # ReorderMs
MIN_PACKETS = 3
BACKENDS = 40
LEAVING = 18  # 0.45 of the backends, as in a release of the site file
FLOWS = 420
GAP_S = 1.3  # gap_s of roll_term in the site file
RESTART_S = 0.2
ROUNDS = 4
ROUND_S = 4 * GAP_S
STABLE_S = 5.0  # StableWindowMs of kwagga-boards-grown
ROUTE = (("127.1.0.1", 443), "boards-live")


class Arrivals:
    """Packets after the start of flows, by the backends that they reached."""

    def __init__(self) -> None:
        """Starts without any."""
        self.owners = {}
        self.by_flow = defaultdict(list)

    def watch(self, backend) -> None:
        """Records the packets of a backend."""
        take = backend._take

        def take_and_note(raw: bytes) -> None:
            packet = Packet(raw)
            if not packet.flags & 64:
                name = (time.monotonic(), backend.name)
                self.by_flow[packet.source].append(name)
            take(raw)

        backend._take = take_and_note
        backend.on_run = self._note_run

    def _note_run(self, backend, flow, text) -> None:
        self.owners[flow.start.source] = backend.name

    def find_longest(self, flow) -> tuple[float, int]:
        """Returns the longest time in which packets missed their backend.

        Returns:
            Seconds from the first to the last packet of the caller that reached
            other backends while none reached its own, and how many of the
            caller's packets these were. Copies that arrive within 50 ms are one
            packet.
        """
        owner = self.owners.get(flow.address)
        best, run = (0.0, 0), []
        for at, name in sorted(self.by_flow[flow.address]):
            if name == owner:
                run = []
                continue
            if not run or at - run[-1] > 0.05:
                run.append(at)
            if len(run) >= MIN_PACKETS and run[-1] - run[0] > best[0]:
                best = (run[-1] - run[0], len(run))
        return best


async def run() -> int:
    """Plays the case; returns the exit status."""
    fleet = Fleet(4)
    try:
        return await play(fleet)
    finally:
        await fleet.stop()
        fleet.record.save(FOLDER / "record.txt")


async def play(fleet: Fleet) -> int:
    """Plays the case in a fleet."""
    write = fleet.record.write
    arrivals = Arrivals()
    await fleet.serve_store()
    fleet.publish(7, {"r-1": ROUTE})
    for _ in range(BACKENDS):
        backend, agent = fleet.add_backend(ROUTE[1])
        backend.work_s = 0.18
        arrivals.watch(backend)
        await agent.start()
        await backend.run()
    for balancer in fleet.balancers:
        await balancer.start()
    if not await fleet.wait_ready():
        write("the balancers are not ready")
        return 2
    router = Router(fleet)
    fleet.backends[0].spawn(router.run())
    caller = Caller(fleet, f"127.{fleet.block}.8.1", router)
    await caller.run()
    await asyncio.sleep(STABLE_S)

    # Planned work of a release: its old backends drain; they go on to serve.
    for backend in fleet.backends[:LEAVING]:
        backend.state = "draining"
        backend.register()
    write(f"{LEAVING} of {BACKENDS} backends drain")
    await asyncio.sleep(2.0)
    flows = []

    async def open_flow() -> None:
        flow = caller.make_flow(ROUTE[0])
        if await flow.open() != "open":
            return
        if await flow.request(f"first-{flow.address[1]}") == "answered":
            flows.append(flow)

    tasks = []
    for _ in range(FLOWS):
        tasks.append(asyncio.create_task(open_flow()))
        await asyncio.sleep(0.003)
    await asyncio.gather(*tasks)
    write(f"open flows: {len(flows)}")
    await asyncio.sleep(1.0)

    results = {}

    async def use_again(flow) -> None:
        """Sends a request in each round of the roll, and pauses between."""
        for number in range(ROUNDS):
            begin = time.monotonic()
            await asyncio.sleep(random.uniform(0.0, ROUND_S / 2))
            name = f"{number}-{flow.address[1]}"
            results[flow, number] = await flow.request(name)
            left = begin + ROUND_S - time.monotonic()
            await asyncio.sleep(max(0.0, left))

    async def roll() -> None:
        """Stops and starts the balancers in turn, as roll_term does."""
        for balancer in fleet.balancers * ROUNDS:
            fleet.backends[0].spawn(restart(balancer))
            await asyncio.sleep(GAP_S)

    async def restart(balancer) -> None:
        balancer.terminate()
        write(f"planned work: {balancer.name} gets SIGTERM")
        await balancer.process.wait()
        await asyncio.sleep(RESTART_S)
        await balancer.start()
        write(f"{balancer.name} starts again")

    if TROUBLE:
        fleet.backends[0].spawn(roll())
    # Each caller sends a request, and then nothing for some seconds.
    await asyncio.gather(*map(use_again, flows))
    answered = list(results.values()).count("answered")
    write(f"requests answered: {answered} of {len(results)}")
    await asyncio.sleep(5.0)
    broken = 0
    for flow in flows:
        seconds, packets = arrivals.find_longest(flow)
        if packets < MIN_PACKETS or seconds < REORDER_S:
            continue
        broken += 1
        write(
            f"flow {flow.address} open at {arrivals.owners[flow.address]}: "
            f"{packets} packets in {seconds:.2f} s reached other backends only"
        )
    write(f"FLOW: {broken} flows")
    if len(flows) < FLOWS / 2:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
