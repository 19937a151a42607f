"""Control planes of many daemons in one process, over loopback sockets."""

import itertools
import json
import random
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jujuberun.addresses import format_address
from jujuberun.errors import LinkError
from jujuberun.generations import Generations
from jujuberun.ids import Address, VmId
from jujuberun.link import Link
from jujuberun.members import Members
from jujuberun.port import SocketPort
from jujuberun.source import HttpSource
from jujuberun.spread import TICK_S, Spread
from jujuberun.standin_platform import Platform
from jujuberun.wire import Codec, Signer, find_body, read_wall_clock

BALANCERS, AGENTS, SERVICES = 570, 3600, 980  # target scale
PROCESSES = BALANCERS + AGENTS
SERVICES_PER_TARGET = 4
SEEDS = 3
UDP_OVERHEAD_BYTES = 28  # IP and UDP headers
# Five packets in each direction open, use and close a TCP connection.
TCP_OVERHEAD_BYTES = 5 * 52
_KEY = b"control-plane-key"
_BUFFER_BYTES = 256 << 10


def make_vm_list(
    peers: Sequence[Address], index: int, leaving: int | None = None
) -> bytes:
    """Returns the text of a VM list.

    Args:
        peers: peer address of each VM; balancers are mixed evenly.
        index: index of the list.
        leaving: number of the VM that leaves, if any.
    """
    every = PROCESSES // BALANCERS
    vms = [
        {
            "id": f"vm-{number:04}",
            "role": "agent" if number % every else "balancer",
            "peer": format_address(peer),
            "domain": "domain-0",
            "state": "leaving" if number == leaving else "live",
        }
        for number, peer in enumerate(peers)
    ]
    document = {"index": index, "vms": vms}
    return json.dumps(document, separators=(",", ":")).encode()


def make_manifest(generation: int, targets: int) -> bytes:
    """Returns the text of a manifest with services in proportion.

    Each generation changes the slots of one target.

    Args:
        generation: its generation.
        targets: number of targets.
    """
    count = max(1, targets * SERVICES // AGENTS)
    share = max(1, SERVICES_PER_TARGET * targets // count)
    changed = generation % targets
    target_list = [
        {
            "id": f"target-{n:04}",
            "address": "127.0.0.1:8080",
            "agent": f"10.1.{n >> 8}.{n & 255}:7100",
            "domain": f"domain-{n % 10}",
            "slots": 3 if n == changed else 2,
            "connection_limit": 2000,
        }
        for n in range(targets)
    ]
    service_list = [
        {
            "id": f"service-{n:03}",
            "address": f"192.0.{n >> 8}.{n & 255}:443",
            "urgency": "normal",
            "headroom": 0.5,
            "protocol": "request",
            "first_packet": "quic",
            "targets": [
                f"target-{(n * share + k) % targets:04}"
                for k in range(min(share, targets))
            ],
        }
        for n in range(count)
    ]
    document = {
        "generation": generation,
        "services": service_list,
        "targets": target_list,
    }
    return json.dumps(document, separators=(",", ":")).encode()


class StandinPeer:
    """Control plane of one daemon: UDP port, link and gossip.

    Attributes:
        address: its peer address, UDP and TCP.
        generations: its manifests.
        members: its VM list.
        spread: its gossip.
    """

    def __init__(self, number: int) -> None:
        """Binds the peer port."""
        self.vm = VmId(f"vm-{number:04}")
        # An address of its own: at a shared one, the local port of an outgoing
        # connection may be the port that a peer wants to listen on.
        host = f"127.20.{number >> 8}.{number & 255}"
        self._port = SocketPort.bind((host, 0), _BUFFER_BYTES)
        self.address = self._port.address
        self._connects: Callable[[Address], bool] = lambda address: True
        self._rng = random.Random(number)
        self._scope = anyio.CancelScope()
        self._datagram_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Forgets all state, as a restarted daemon does."""
        signer = Signer((_KEY,))
        self._codec = Codec(signer)
        self.generations = Generations()
        self.members = Members(self.vm)
        self.link = Link(self.address, signer)
        self._link_bytes = 0

    async def run(
        self,
        platform: Platform,
        seeds: Sequence[Address],
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs until stop() is called."""
        self.reset()
        source = HttpSource.from_config(platform.url, self.vm)
        call = self.link.call

        async def call_connected(
            address: Address, message: object, timeout: float
        ) -> object:
            if not self._connects(address):
                await anyio.sleep(timeout)
                raise LinkError("call peer", format_address(address), "cut")
            return await call(address, message, timeout)

        self.link.call = call_connected
        self.spread = Spread(
            self.vm,
            seeds,
            self.generations,
            self.members,
            self.link,
            self._send,
            source,
            self._rng,
        )
        self._scope = anyio.CancelScope()
        with self._scope:
            async with anyio.create_task_group() as group:
                await group.start(self.link.run)
                await group.start(self.spread.run)
                group.start_soon(self._receive)
                task_status.started()
        with anyio.CancelScope(shield=True):
            await source.aclose()

    def offer(self, vms: bytes, manifest: bytes) -> None:
        """Gives it documents in place of the platform."""
        now = time.monotonic()
        if vms:
            self.members.offer(vms, "platform", now)
        if manifest:
            self.generations.offer(manifest, "platform", now)

    def stop(self) -> None:
        """Ends run()."""
        self._scope.cancel()

    def close(self) -> None:
        """Closes the peer port."""
        self._port.close()

    def cut(self, connects: Callable[[Address], bool]) -> None:
        """Sets which peers can be reached."""
        self._connects = connects

    def count_bytes(self) -> int:
        """Returns bytes sent and received, with packet headers."""
        link = self.link
        calls = link.counts["called"] + link.counts["served"]
        frames = link.sent_bytes + link.received_bytes
        return self._datagram_bytes + frames + 2 * TCP_OVERHEAD_BYTES * calls

    async def _receive(self) -> None:
        while True:
            for data, sender in await self._port.receive():
                self._datagram_bytes += len(data) + UDP_OVERHEAD_BYTES
                opened = self._codec.open(data, read_wall_clock())
                if opened.is_err() or not self._connects(sender):
                    continue
                status = find_body(opened.ok_value)
                self.spread.handle_status(status, sender, time.monotonic())

    def _send(self, status: object, address: Address) -> None:
        data = self._codec.seal(status, address, read_wall_clock())
        self._datagram_bytes += len(data) + UDP_OVERHEAD_BYTES
        if self._connects(address):
            self._port.send(data, address)


class PeerFleet:
    """Control planes of a fleet and the platform that they read.

    Attributes:
        peers: the daemons' control planes.
        platform: stand-in of the platform.
    """

    def __init__(self, size: int, listed: int | None = None) -> None:
        """Binds the ports of all peers.

        Args:
            size: number of peers.
            listed: VMs of the list, when it is to be longer than the number
                of peers; each peer then stands for several of them.
        """
        self.peers = [StandinPeer(number) for number in range(size)]
        self.platform = Platform()
        self._listed = listed or size
        self.targets = max(2, self._listed * AGENTS // PROCESSES)
        self._generation = 0
        self._index = 0
        self._manifest = b""
        self._vms = b""

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Addresses of the seeds, the first peers."""
        return tuple(peer.address for peer in self.peers[:SEEDS])

    def publish_manifest(self) -> None:
        """Publishes the next generation."""
        self._generation += 1
        self._manifest = make_manifest(self._generation, self.targets)
        self.platform.publish("manifest", self._manifest)
        if self._listed > len(self.peers):
            # The VMs that watch are hardly among the peers.
            self.peers[0].offer(self._vms, self._manifest)

    def publish_vms(self) -> None:
        """Publishes the next VM list, with another VM leaving."""
        self._index += 1
        peers = itertools.cycle(self.peers)
        addresses = [next(peers).address for _ in range(self._listed)]
        leaving = self._index % len(addresses) if self._index > 1 else None
        self._vms = make_vm_list(addresses, self._index, leaving)
        self.platform.publish("vms", self._vms)
        if self._listed > len(self.peers):
            self.peers[0].offer(self._vms, self._manifest)

    async def start(self, group: TaskGroup) -> None:
        """Starts platform and peers, settled with all documents."""
        self.publish_vms()
        self.publish_manifest()
        await group.start(self.platform.run)
        for peer in self.peers:
            await group.start(peer.run, self.platform, self.seeds)
        for peer in self.peers:
            peer.offer(self._vms, self._manifest)
        # The work of all peers in one event loop looks like a pause to each.
        await anyio.sleep(2 * TICK_S)
        for peer in self.peers:
            peer.spread.end_history()

    async def restart(self, group: TaskGroup) -> float:
        """Starts all peers at once, without any state.

        Returns:
            Seconds until all hold both documents.
        """
        started = time.monotonic()
        for peer in self.peers:
            group.start_soon(peer.run, self.platform, self.seeds)
        await self.wait_settled()
        return time.monotonic() - started

    async def wait_settled(
        self, peers: Iterable[StandinPeer] | None = None
    ) -> None:
        """Waits until peers hold the newest documents."""
        waiting = deque(self.peers if peers is None else peers)
        with anyio.fail_after(60):
            while waiting:
                peer = waiting[0]
                if (
                    peer.generations.position >= self._generation
                    and peer.members.position >= self._index
                ):
                    waiting.popleft()
                    continue
                await anyio.sleep(0.002)

    def cut_region(self) -> None:
        """Isolates a third of the peers, from the platform as well."""
        count = len(self.peers) // 3
        region = frozenset(peer.address for peer in self.peers[-count:])
        names = {f"jujuberun/{peer.vm}" for peer in self.peers[-count:]}
        self.platform.accepts = lambda reader: reader not in names
        for peer in self.peers:
            inside = peer.address in region
            peer.cut(
                lambda address, inside=inside: (address in region) == inside
            )

    def heal(self) -> None:
        """Ends the isolation of the region, except from the platform."""
        for peer in self.peers:
            peer.cut(lambda address: True)

    def stop(self) -> None:
        """Stops all peers."""
        for peer in self.peers:
            peer.stop()

    def close(self) -> None:
        """Closes all ports."""
        for peer in self.peers:
            peer.close()

    def count_bytes(self) -> list[int]:
        """Returns the bytes that each peer has sent and received."""
        return [peer.count_bytes() for peer in self.peers]
