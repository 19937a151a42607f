"""Connections of one VM are reset; the daemons of other VMs must not end."""

import os
import random
import socket
import struct
import sys
import tempfile
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketStream
from soak import world as soak_world
from soak.layout import PEER_PORT, Host
from soak.links import DaemonProxy
from soak.world import Size, World
from standins2.fleet import (
    READY_LIMIT_S,
    DeployedDaemon,
    LoopbackWorld,
    Record,
    use_deployed_daemons,
)

FOLDER = Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# 5 balancers and 6 agents: a tenth of the 11 VMs, rounded, is one.
SIZE = Size(balancers=5, targets=6, users=8, pause=0.3)
IMPAIRED = "balancer-0"
STORMS, STORM_S, STORM_GAP_S, PAUSE_S = 5, 4.0, 0.33, 3.0
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# RULES.md, Fault: a tenth of the machines, two at least, three times each.
MIN_VMS, MIN_EXITS = 2, 3


class ResettingProxy(DaemonProxy):
    """Resets every second connection that the impaired VM opens to a peer.

    Attributes:
        record: gets a line for each reset.
        impaired: daemon of the impaired VM.
        is_active: whether connections are reset now.
        resets: number of connections that were reset.
    """

    record: Record
    impaired: DeployedDaemon
    is_active = False
    resets = 0
    _opened = 0

    async def _relay(self, stream: SocketStream, host: Host) -> None:
        port = stream.extra(SocketAttribute.remote_address)[1]
        if not self.is_active or not has_local_port(self.impaired.pid, port):
            await super()._relay(stream, host)
            return
        self._opened += 1
        if self._opened % 2:
            await super()._relay(stream, host)
            return
        self.resets += 1
        self.record.write(f"reset {IMPAIRED} -> {host.name}")
        out = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with out:
            out.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            try:
                out.connect((host.bind_address, PEER_PORT))
            except OSError as error:
                self.record.write(f"{host.name} does not accept: {error}")
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        await anyio.aclose_forcefully(stream)


def has_local_port(pid: int, port: int) -> bool:
    """Returns whether a process has a TCP socket with this local port.

    All connections on loopback come from one address, so that their owner is
    found by the port.
    """
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].partition(":")[2], 16) == port:
            inodes.add(f"socket:[{fields[9]}]")
    try:
        links = [link.readlink() for link in Path(f"/proc/{pid}/fd").iterdir()]
    except OSError:
        return False
    return not inodes.isdisjoint(map(str, links))


async def run_case(record: Record, folder: Path) -> int:
    """Runs the case; returns the exit status."""
    use_deployed_daemons()
    soak_world.DaemonProxy = ResettingProxy
    ResettingProxy.record = record
    world = LoopbackWorld(
        random.SystemRandom().randrange(1 << 30), SIZE, folder
    )
    ResettingProxy.impaired = world.daemons[0]
    async with anyio.create_task_group() as group:
        await world.start(group)
        try:
            with anyio.fail_after(READY_LIMIT_S):
                await world.wait_ready()
        except TimeoutError:
            record.write("the balancers did not become ready")
            group.cancel_scope.cancel()
            return 2
        record.write("all balancers are in rotation")
        async with anyio.create_task_group() as users:
            world.start_load(group, users)
            await anyio.sleep(PAUSE_S)
            world.proxy.is_active = HAS_TROUBLE
            for _ in range(STORMS):
                await publish_storm(world, record)
                await anyio.sleep(PAUSE_S)
            world.proxy.is_active = False
            await anyio.sleep(PAUSE_S)
            world.stop_load()
        status = report(world, record)
        group.cancel_scope.cancel()
    return status


async def publish_storm(world: World, record: Record) -> None:
    """Publishes configurations in quick succession."""
    for number in range(round(STORM_S / STORM_GAP_S)):
        address = world.spare_service
        if number % 2:
            world.routes.pop(address, None)
        else:
            world.routes[address] = "tally-desk"
        world.store.publish(world.routes, world.promises)
        record.write(f"published version {world.store.version}")
        await anyio.sleep(STORM_GAP_S)


def report(world: World, record: Record) -> int:
    """Writes what was seen; returns the exit status."""
    record.write(f"requests by result: {dict(world.promises.results)}")
    record.write(f"connections of {IMPAIRED} reset: {world.proxy.resets}")
    often = 0
    for daemon in (*world.daemons, *world.agents):
        statuses = [status for _, status in daemon.exits]
        if statuses:
            text = f"{daemon.host.name} ended by itself, statuses {statuses}"
            record.write(text)
        is_other = daemon.host.name != IMPAIRED
        often += is_other and len(statuses) >= MIN_EXITS
    record.write(
        f"VMs without impairment whose daemon ended by itself at least "
        f"{MIN_EXITS} times: {often}"
    )
    is_broken = often >= MIN_VMS
    record.write("FAULT: broken" if is_broken else "FAULT: held")
    return int(is_broken)


def main() -> int:
    """Runs the case in a temporary folder."""
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        status = anyio.run(run_case, record, Path(folder))
        for log in sorted(Path(folder).glob("balancer-*.log")):
            lines = log.read_text(errors="replace").splitlines()
            errors = [line for line in lines if "Error:" in line]
            for line in errors[:2]:
                record.write(f"{log.stem} wrote: {line.strip()[:150]}")
    record.close()
    return status


if __name__ == "__main__":
    sys.exit(main())
