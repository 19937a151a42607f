"""An entry of another writer must not end flows while daemons are rolled."""

import os
import random
import signal
import sys
import tempfile
from pathlib import Path

import anyio
from platformstore import make_entry
from soak.callers import CallerFlow, CallerHost, Result
from soak.layout import TARGET_PORT
from soak.processes import Daemon
from soak.targets import SLOTS
from soak.world import DOMAINS, Size, World
from standins2.fleet import (
    READY_LIMIT_S,
    LoopbackWorld,
    Record,
    use_deployed_daemons,
)

FOLDER = Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SIZE = Size(balancers=4, targets=7, users=0)
FLOWS = 48
# The entry of the other writer: a service that no configuration names, at the
# address of a target that lives.
ODD_KEY, ODD_SERVICE = "servers/0-probe", "probe"
ODD_TARGET = 0
# Pause between two requests of a flow; the flows are idle meanwhile.
PAUSE_S = 0.5
# The requests of a turn are spread over this time, so that no target sheds one.
TURN_S = 1.0
AGENT_START_S = 1.5


class Flows:
    """Flows of callers that stay open, and their requests."""

    def __init__(self, world: World, record: Record) -> None:
        """Creates the hosts of callers, one for each failure domain."""
        self._world, self._record = world, record
        self.hosts = [
            CallerHost(
                world.layout.find_caller(number),
                domain,
                world._fabric,
                world.promises,
            )
            for number, domain in enumerate(DOMAINS)
        ]
        self._flows: list[tuple[CallerHost, CallerFlow]] = []
        self._attempts = 0

    async def open_all(self) -> None:
        """Opens the flows and sends a first request on each."""
        rng = random.Random(8)
        async with anyio.create_task_group() as group:
            for number in range(FLOWS):
                host = self.hosts[number % len(self.hosts)]
                group.start_soon(self._open_one, host, rng)
                await anyio.sleep(TURN_S / FLOWS)
        self._record.write(f"{len(self._flows)} flows are open")

    async def _open_one(self, host: CallerHost, rng: random.Random) -> None:
        flow = host.open(self._world.services[0], rng)
        result = await host.start(flow)
        if result is not None:
            self._record.write(f"a flow was not opened: {result.value}")
            return
        self._flows.append((host, flow))
        await self._send_one(host, flow, "at first")

    async def send_requests(self, reason: str) -> None:
        """Sends a request on each flow that is open, and records the ends."""
        async with anyio.create_task_group() as group:
            for host, flow in self._flows:
                group.start_soon(self._send_one, host, flow, reason)
                await anyio.sleep(TURN_S / FLOWS)
        self._flows = [(h, f) for h, f in self._flows if not f.reset]
        self._record.write(f"{reason}: {len(self._flows)} flows are left")
        await anyio.sleep(PAUSE_S)

    async def _send_one(
        self, host: CallerHost, flow: CallerFlow, reason: str
    ) -> None:
        self._attempts += 1
        attempt = f"r-{self._attempts}"
        self._world.promises.note_attempt(attempt)
        result = await host.send_request(flow, attempt, False, 200)
        if result is not Result.ANSWERED:
            port = f"{flow.address[0]}:{flow.address[1]}"
            self._record.write(f"{reason}: {attempt} of {port}: {result.value}")


def write_odd_entry(world: World) -> None:
    """Writes the entry of another writer."""
    host = world.hosts[ODD_TARGET]
    entry = make_entry(
        host.alias,
        "ready",
        ODD_SERVICE,
        Zone=host.domain,
        Slots=SLOTS,
        Address=f"{host.alias}:{TARGET_PORT}",
    )
    world.store.items.put(ODD_KEY, entry)


async def stop_in_turn(daemon: Daemon, record: Record) -> None:
    """Stops a daemon with SIGTERM; it starts again by itself."""
    ended = daemon.ended
    daemon.signal(signal.SIGTERM)
    await ended.wait()
    record.write(f"{daemon.host.name} stopped, status {daemon.last_status}")


async def run_case(record: Record, folder: Path) -> int:
    """Runs the case; returns the exit status."""
    use_deployed_daemons()
    world = LoopbackWorld(
        random.SystemRandom().randrange(1 << 30), SIZE, folder
    )
    flows = Flows(world, record)
    if HAS_TROUBLE:
        write_odd_entry(world)
        record.write(f"{ODD_KEY} names {world.hosts[ODD_TARGET].name}")
    async with anyio.create_task_group() as group:
        await world.start(group)
        for host in flows.hosts:
            group.start_soon(host.run)
        try:
            with anyio.fail_after(READY_LIMIT_S):
                await world.wait_ready()
        except TimeoutError:
            record.write("the balancers did not become ready")
            group.cancel_scope.cancel()
            return 2
        record.write("all balancers are in rotation")
        await roll(world, flows, record)
        group.cancel_scope.cancel()
    broken = [line for line in world.promises.broken if "FLOW" in line]
    for line in broken:
        record.write(line)
    record.write(f"other checks: {len(world.promises.broken) - len(broken)}")
    record.write("FLOW: broken" if broken else "FLOW: held")
    return int(bool(broken))


async def roll(world: World, flows: Flows, record: Record) -> None:
    """Stops all balancers and then all agents in turn, with open flows."""
    await flows.open_all()
    for daemon in world.daemons:
        await stop_in_turn(daemon, record)
        await world.wait_ready_again()
        await flows.send_requests(f"after {daemon.host.name}")
    for daemon in world.agents:
        await stop_in_turn(daemon, record)
        await anyio.sleep(AGENT_START_S)
        await flows.send_requests(f"after the agent of {daemon.host.name}")


def main() -> int:
    """Runs the case in a temporary folder."""
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        status = anyio.run(run_case, record, Path(folder))
        for log in sorted(Path(folder).glob("balancer-*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if "flow reset" in line:
                    record.write(f"{log.stem} wrote: {line}")
    record.close()
    return status


if __name__ == "__main__":
    sys.exit(main())
