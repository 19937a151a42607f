"""Runs the control planes of many daemons in one process, over loopback."""

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
from jujuberun.http_source import HttpSource
from jujuberun.ids import Address, VmId
from jujuberun.link import Link
from jujuberun.members import Members
from jujuberun.port import SocketPort
from jujuberun.spread import TICK_S, Spread
from jujuberun.standin_platform import Platform
from jujuberun.wire import Codec, Signer, find_body, read_wall_clock

# The fleet size that the system is designed for.
BALANCERS, AGENTS, SERVICES = 570, 3600, 980
PROCESSES = BALANCERS + AGENTS
SERVICES_PER_TARGET = 4
SEED_PEERS = 3
UDP_OVERHEAD_BYTES = 28  # IP and UDP headers
# Opening, using and closing a TCP connection takes five packets in each
# direction.
TCP_OVERHEAD_BYTES = 5 * 52
_KEY = b"control-plane-key"
_SOCKET_BUFFER_BYTES = 256 << 10


def make_vm_list(
    peers: Sequence[Address], index: int, leaving: int | None = None
) -> bytes:
    """Returns the text of a VM list.

    Args:
        peers: peer address of each VM. Balancers are spread evenly among the
            agents.
        index: index of the VM list.
        leaving: number of the VM in state leaving, or None.
    """
    balancer_interval = PROCESSES // BALANCERS
    vms = [
        {
            "id": f"vm-{number:04}",
            "role": "agent" if number % balancer_interval else "balancer",
            "peer": format_address(peer),
            "domain": "domain-0",
            "state": "leaving" if number == leaving else "live",
        }
        for number, peer in enumerate(peers)
    ]
    document = {"index": index, "vms": vms}
    return json.dumps(document, separators=(",", ":")).encode()


def make_manifest(generation: int, targets: int) -> bytes:
    """Returns the text of a manifest.

    The number of services is in proportion to the number of targets. Each
    generation gives another target a third slot.

    Args:
        generation: generation of the manifest.
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
        address: peer address, for UDP and TCP.
        generations: manifests that the peer holds.
        members: VM list that the peer holds.
        spread: gossip with other peers.
    """

    def __init__(self, number: int) -> None:
        """Binds the peer port."""
        self.vm = VmId(f"vm-{number:04}")
        # Each peer has its own loopback address. On a shared address, an
        # outgoing connection may occupy the port that another peer is about
        # to listen on.
        host = f"127.20.{number >> 8}.{number & 255}"
        self._port = SocketPort.bind((host, 0), _SOCKET_BUFFER_BYTES)
        self.address = self._port.address
        self._is_reachable: Callable[[Address], bool] = lambda address: True
        self._rng = random.Random(number)
        self._scope = anyio.CancelScope()
        self._datagram_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Discards all state, as a restart of the daemon does."""
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
            if not self._is_reachable(address):
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
        """Offers non-empty documents as if the platform had sent them."""
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

    def set_reachability(self, is_reachable: Callable[[Address], bool]) -> None:
        """Sets the function that decides which peers can be reached."""
        self._is_reachable = is_reachable

    def count_bytes(self) -> int:
        """Returns the bytes sent and received, including packet headers."""
        link = self.link
        calls = link.counts["called"] + link.counts["served"]
        link_bytes = link.sent_bytes + link.received_bytes
        return (
            self._datagram_bytes + link_bytes + 2 * TCP_OVERHEAD_BYTES * calls
        )

    async def _receive(self) -> None:
        while True:
            for data, sender in await self._port.receive():
                self._datagram_bytes += len(data) + UDP_OVERHEAD_BYTES
                opened = self._codec.open(data, read_wall_clock())
                if opened.is_err() or not self._is_reachable(sender):
                    continue
                status = find_body(opened.ok_value)
                self.spread.handle_status(status, sender, time.monotonic())

    def _send(self, status: object, address: Address) -> None:
        data = self._codec.seal(status, address, read_wall_clock())
        self._datagram_bytes += len(data) + UDP_OVERHEAD_BYTES
        if self._is_reachable(address):
            self._port.send(data, address)


class PeerFleet:
    """Control planes of a fleet and the platform that they read.

    Attributes:
        peers: control planes of the daemons.
        platform: stand-in for the platform.
        targets: number of targets in the manifest.
    """

    def __init__(self, size: int, listed_vms: int | None = None) -> None:
        """Binds the ports of all peers.

        Args:
            size: number of peers.
            listed_vms: number of VMs in the VM list, if larger than the
                number of peers. Several VMs then share the address of a peer.
        """
        self.peers = [StandinPeer(number) for number in range(size)]
        self.platform = Platform()
        self._listed_vms = listed_vms or size
        self.targets = max(2, self._listed_vms * AGENTS // PROCESSES)
        self._generation = 0
        self._index = 0
        self._manifest = b""
        self._vms = b""

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Addresses of the seeds: the first SEED_PEERS peers."""
        return tuple(peer.address for peer in self.peers[:SEED_PEERS])

    def publish_manifest(self) -> None:
        """Publishes the next generation of the manifest."""
        self._generation += 1
        self._manifest = make_manifest(self._generation, self.targets)
        self.platform.publish("manifest", self._manifest)
        if self._listed_vms > len(self.peers):
            # The VMs that watch the platform are chosen from the whole list and
            # are probably not peers, so one peer gets the manifest directly.
            self.peers[0].offer(self._vms, self._manifest)

    def publish_vms(self) -> None:
        """Publishes the next VM list, in which another VM is leaving."""
        self._index += 1
        peers = itertools.cycle(self.peers)
        addresses = [next(peers).address for _ in range(self._listed_vms)]
        leaving = self._index % len(addresses) if self._index > 1 else None
        self._vms = make_vm_list(addresses, self._index, leaving)
        self.platform.publish("vms", self._vms)
        if self._listed_vms > len(self.peers):
            self.peers[0].offer(self._vms, self._manifest)

    async def start(self, group: TaskGroup) -> None:
        """Starts the platform and the peers, which then hold all documents."""
        self.publish_vms()
        self.publish_manifest()
        await group.start(self.platform.run)
        for peer in self.peers:
            await group.start(peer.run, self.platform, self.seeds)
        for peer in self.peers:
            peer.offer(self._vms, self._manifest)
        # All peers start in one event loop. Each peer takes the delay for a
        # pause of its process and fetches earlier manifests until
        # stop_fetching_history() is called.
        await anyio.sleep(2 * TICK_S)
        for peer in self.peers:
            peer.spread.stop_fetching_history()

    async def restart(self, group: TaskGroup) -> float:
        """Starts all peers at the same time, without any documents.

        Returns:
            Seconds until all peers hold the newest manifest and VM list.
        """
        started = time.monotonic()
        for peer in self.peers:
            group.start_soon(peer.run, self.platform, self.seeds)
        await self.wait_settled()
        return time.monotonic() - started

    async def wait_settled(
        self, peers: Iterable[StandinPeer] | None = None
    ) -> None:
        """Waits until the peers, by default all, hold the newest documents."""
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

    def isolate_region(self) -> None:
        """Isolates a third of the peers from the others and the platform."""
        count = len(self.peers) // 3
        region = frozenset(peer.address for peer in self.peers[-count:])
        reader_names = {f"jujuberun/{peer.vm}" for peer in self.peers[-count:]}
        self.platform.accepts = lambda reader: reader not in reader_names
        for peer in self.peers:
            in_region = peer.address in region
            peer.set_reachability(
                lambda address, in_region=in_region: (
                    (address in region) == in_region
                )
            )

    def reconnect_region(self) -> None:
        """Reconnects the region with the other peers, not with the platform."""
        for peer in self.peers:
            peer.set_reachability(lambda address: True)

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
