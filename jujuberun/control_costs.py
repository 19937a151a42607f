"""Costs of the control plane of one daemon, measured in one process."""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from jujuberun.generations import Generations
from jujuberun.ids import Address, VmId
from jujuberun.members import Members
from jujuberun.standin_peers import (
    AGENTS,
    PROCESSES,
    PeerFleet,
    make_manifest,
    make_vm_list,
)

# These are whole gossip periods, so that each run of the idle phase contains
# the same messages.
IDLE_PHASE_S, QUICK_IDLE_PHASE_S = 3.0, 1.0
# Pause before the idle phase and after each change.
PAUSE_S, QUICK_PAUSE_S = 1.25, 0.2
DAY_S = 86_400.0
MANIFEST_CHANGES_PER_S = 420 / DAY_S
# Every event changes the list twice. A failed VM leaves the list and its
# replacement joins it. A VM that restarts or is replaced is listed as leaving
# and then as live.
VM_CHANGES_PER_S = 2 * (23 + 820) / DAY_S
# A daemon holds the manifests of the last 300 s, at 420 changes a day.
HELD_MANIFESTS = 3


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Cost of the control plane of one daemon in a fleet of one size.

    Attributes:
        size: number of processes in the fleet.
        idle_bytes: bytes sent and received per second without changes.
        idle_cpu: CPU seconds per second without changes.
        manifest_bytes: additional bytes for each manifest change.
        manifest_cpu: additional CPU seconds for each manifest change.
        vms_bytes: additional bytes for each change of the VM list.
        vms_cpu: additional CPU seconds for each change of the VM list.
        manifest_s: seconds until a manifest was in force on all daemons.
        vms_s: seconds until all daemons held a VM list.
        memory: bytes of memory for the documents that a daemon holds.
    """

    size: int
    idle_bytes: float
    idle_cpu: float
    manifest_bytes: float
    manifest_cpu: float
    vms_bytes: float
    vms_cpu: float
    manifest_s: float
    vms_s: float
    memory: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes per second, with the change rates of an ordinary day."""
        return (
            self.idle_bytes
            + MANIFEST_CHANGES_PER_S * self.manifest_bytes
            + VM_CHANGES_PER_S * self.vms_bytes
        )

    @property
    def cpu_share(self) -> float:
        """Percentage of a core, with the change rates of an ordinary day."""
        changes = MANIFEST_CHANGES_PER_S * self.manifest_cpu
        changes += VM_CHANGES_PER_S * self.vms_cpu
        return 100 * (self.idle_cpu + changes)


async def measure_size(
    size: int, quick: bool, listed: int | None = None
) -> ControlCost:
    """Measures a fleet of peers in one process over loopback.

    Args:
        size: number of peers.
        quick: whether to use short phases.
        listed: number of VMs in the VM list, None for one per peer; see
            PeerFleet.
    """
    fleet = PeerFleet(size, listed)
    idle_s = QUICK_IDLE_PHASE_S if quick else IDLE_PHASE_S
    pause_s = QUICK_PAUSE_S if quick else PAUSE_S
    async with anyio.create_task_group() as group:
        await fleet.start(group)
        await anyio.sleep(pause_s)
        _, idle_bytes, idle_cpu = await _measure_phase(fleet, None, idle_s)
        idle_bytes /= idle_s
        idle_cpu /= idle_s
        changes = []
        for publish in (fleet.publish_manifest, fleet.publish_vms):
            # The phase continues after the change has settled, so that late
            # fetches are counted.
            seconds, sent, cpu = await _measure_phase(fleet, publish, pause_s)
            length = seconds + pause_s
            changes.append(
                (seconds, sent - idle_bytes * length, cpu - idle_cpu * length)
            )
        group.cancel_scope.cancel()
    fleet.close()
    (manifest_s, manifest_bytes, manifest_cpu), vms = changes
    return ControlCost(
        size=size,
        idle_bytes=idle_bytes,
        idle_cpu=idle_cpu,
        manifest_bytes=manifest_bytes,
        manifest_cpu=manifest_cpu,
        vms_bytes=vms[1],
        vms_cpu=vms[2],
        manifest_s=manifest_s,
        vms_s=vms[0],
        memory=measure_memory(listed or size),
    )


async def _measure_phase(
    fleet: PeerFleet, publish: Callable[[], None] | None, pause: float
) -> tuple[float, float, float]:
    """Measures one phase, with a change if publish is given.

    Returns:
        The seconds until the fleet settled, and the bytes and CPU seconds per
        daemon.
    """
    bytes_before = sum(fleet.count_bytes())
    cpu_before = time.process_time()
    started = time.monotonic()
    if publish is not None:
        publish()
    await fleet.wait_settled()
    seconds = time.monotonic() - started
    await anyio.sleep(pause)
    size = len(fleet.peers)
    cpu = (time.process_time() - cpu_before) / size
    return seconds, (sum(fleet.count_bytes()) - bytes_before) / size, cpu


def measure_memory(size: int) -> float:
    """Returns the bytes of memory for the documents that a daemon holds.

    Args:
        size: number of processes in its fleet.
    """
    targets = max(2, size * AGENTS // PROCESSES)
    texts = [make_manifest(n + 1, targets) for n in range(HELD_MANIFESTS)]
    addresses = [make_vm_address(n) for n in range(size)]
    lists = [make_vm_list(addresses, n + 1, n) for n in range(8)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    generations, members = Generations(), Members(VmId("vm-0000"))
    for text in texts:
        generations.offer(text, "platform", 0.0)
    for text in lists:
        members.offer(text, "platform", 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    text_bytes = sum(map(len, texts)) + sum(map(len, lists))
    return after - before + text_bytes


def make_vm_address(number: int) -> Address:
    """Returns a peer address for documents that are not sent to peers."""
    return f"10.0.{number >> 8}.{number & 255}", 7100
