"""Balancer of packet flows: forwards callers' packets, payload unchanged."""

from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.addresses import format_address
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import FlowEntry, FlowTable
from jujuberun.frames import (
    Frame,
    FrameCodec,
    get_copy_delay,
    unpack_caller,
    unpack_service,
)
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, DomainId, TargetId
from jujuberun.manifest import Service
from jujuberun.members import Members, VmList
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.port import Port, handle_each
from jujuberun.servicemap import ServiceMap
from jujuberun.start_dispatcher import StartDispatcher
from jujuberun.steering import Steering, TargetState
from jujuberun.wire import pack_address

# A flow without packets for this time is removed from the cache.
FLOW_IDLE_TIMEOUT_S = 20.0
MAINTENANCE_INTERVAL_S = 1.0
DEFAULT_OBJECTIVE_S = 0.5  # for services without an objective
DRAIN_POLL_INTERVAL_S = 0.05
# Number of targets that receive a packet at once while the owner of its flow is
# unknown. Asking 35 targets one after the other took over 2 s with busy
# balancers, and packets of callers did not reach their target in time.
SEARCH_BATCH_TARGETS = 6
# The network takes a balancer out of rotation after two failed readiness
# checks, half a second apart. Until then, packets may arrive after a gap.
ROTATION_EXIT_S = 1.2


class Relay:
    """Part "relay": balancer of flows that targets terminate themselves.

    Only the target that holds a flow has authoritative state. This part keeps
    a cache of flows. A packet of a flow that is not cached is sent to the
    targets that may hold the flow, a few at a time; a target that does not
    hold it bounces the packet.
    """

    name = "relay"

    def __init__(
        self,
        port: Port,
        codec: FrameCodec,
        peers: Peers,
        generations: Generations,
        members: Members,
        domain: DomainId,
        capacity: int,
    ) -> None:
        """Builds the part.

        Args:
            port: receives packets of callers and packets that targets bounce.
            codec: format of the packets.
            peers: delivers messages of agents.
            generations: provides the services.
            members: provides the registered targets.
            domain: failure domain of this balancer.
            capacity: maximum number of cached flows.
        """
        self.counts: Counter[str] = Counter()
        self.last_packet_at = 0.0
        self._log = DecisionLog("relay")
        self._port = PacketPort(port, codec)
        self._generations = generations
        self._members = members
        self._steering = Steering(domain)
        self._flows = FlowTable(capacity)
        self._version: ManifestVersion | None = None
        self._services = ServiceMap()
        self._dispatcher = StartDispatcher(
            self._port,
            self._flows,
            self._steering,
            peers,
            generations,
            members,
            self.counts,
            self._log,
        )
        peers.subscribe_pauses(lambda now: self._steering.clear_suspicions())

    @property
    def is_ready(self) -> bool:
        """Whether services and targets are known, so that flows can start."""
        return self._version is not None and bool(self._members.text)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forwards packets until cancelled."""
        now = anyio.current_time()
        self._generations.subscribe(
            lambda version: self.apply_version(version, anyio.current_time())
        )
        self._members.subscribe(
            lambda vms: self.apply_vm_list(vms, anyio.current_time())
        )
        self.last_packet_at = now
        async with anyio.create_task_group() as group:
            group.start_soon(self._maintain)
            group.start_soon(self._dispatcher.run_timers)
            task_status.started()
            await self._port.serve(self.forward)

    async def drain(self, quiet: float, limit: float) -> None:
        """Forwards packets until the network sends no more.

        Args:
            quiet: seconds without a packet after which the wait ends.
            limit: maximum duration of the wait in seconds.
        """
        started = anyio.current_time()
        while True:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            now = anyio.current_time()
            waited = now - started
            is_quiet = (
                now - self.last_packet_at > quiet and waited > ROTATION_EXIT_S
            )
            if is_quiet or waited > limit:
                return

    def forward(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Forwards packets of callers, and packets that targets bounced.

        Args:
            batch: packets with their senders' addresses.
            now: seconds, monotonic.
        """
        self.counts["failed"] += handle_each(batch, now, self._forward_packet)

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Explains which target a new flow of a service would be offered to.

        Args:
            service_id: id of the service.
            caller: address of the caller.
            now: seconds, monotonic.
        """
        service = self._services.find_by_id(service_id)
        if service is None:
            return {"error": f"service {service_id!r} is not in the manifest"}
        return self._explain(service, caller, now)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns services, targets, flows and counts."""
        return {
            "services": len(self._services),
            "flows": len(self._flows),
            "targets": self._steering.describe(now),
            "start_times": self._dispatcher.start_times,
            "counts": dict(self.counts),
        }

    def _forward_packet(self, data: bytes, sender: Address, now: float) -> None:
        frame = self._port.parse(data)
        if frame is None:
            self.counts["malformed"] += 1
        elif frame.bounced:
            self._handle_bounced(frame, data, sender, now)
        elif frame.starts:
            self.last_packet_at = now
            self._handle_start(frame, data, now)
        else:
            self.last_packet_at = now
            self._handle_later_packet(frame, data, now)

    def _explain(
        self, service: Service, caller: Address, now: float
    ) -> dict[str, Any]:
        key = pack_address(caller) + pack_address(service.address)
        chosen = self._steering.choose(service.pools, key, (), now)
        return {
            "service": service.id,
            "address": format_address(service.address),
            "generation": self._version.manifest.generation,
            "chosen": None if chosen is None else chosen.id,
            "reason": "least expected wait, then the own failure domain",
            "targets": self._steering.describe(now),
        }

    def check_offers(self, now: float) -> None:
        """Offers unconfirmed and held starts again that are due."""
        self._dispatcher.check_timers(now)

    def apply_vm_list(self, vm_list: VmList, now: float) -> None:
        """Applies a new list of registered targets."""
        self._steering.update(vm_list, now)

    def apply_version(self, version: ManifestVersion, now: float) -> None:
        """Applies the manifest that has come into force."""
        self._version = version
        self._services.update(version.manifest, now)

    def _handle_start(self, frame: Frame, data: bytes, now: float) -> None:
        entry = self._flows.find(frame.key, now)
        if entry is not None and entry.sequence == frame.sequence:
            self._dispatcher.handle_copy(entry, frame, data, now)
            return
        service = self._services.find(unpack_service(frame.key))
        if service is None or not self.is_ready:
            self._refuse_unknown_service(frame, now)
            return
        entry = FlowEntry(
            frame.key, service.id, service.pools, now, now, data, frame.sequence
        )
        entry.objective = service.objective or DEFAULT_OBJECTIVE_S
        entry.start_delay = get_copy_delay(frame.copy)
        self._flows.add(entry)
        self.counts["starts"] += 1
        self._dispatcher.offer(entry, now)

    def _refuse_unknown_service(self, frame: Frame, now: float) -> None:
        """Answers a packet for an address without a service."""
        if not self.is_ready:
            # No manifest or targets yet; the caller sends its packet again.
            self.counts["dropped_unready"] += 1
            return
        self.counts["reset_no_service"] += 1
        self._log.write(
            "start refused: no service at the address",
            now,
            flow=format_address(unpack_caller(frame.key)),
            address=format_address(unpack_service(frame.key)),
            generation=self._version.manifest.generation,
            outcome="reset, not run",
        )
        self._port.send_reset(frame)

    def _handle_later_packet(
        self, frame: Frame, data: bytes, now: float
    ) -> None:
        """Forwards a packet after the start of a flow."""
        entry = self._flows.find(frame.key, now)
        if entry is None:
            entry = self._adopt(frame, now)
            if entry is None:
                return
        entry.expire_bounces(now)
        owner = self._find_owner(entry, frame)
        if owner is not None:
            self._port.send_packet(data, owner)
            return
        searched = entry.list_search_targets()
        for target in searched:
            self._send_to(target, data)
        # A repeated packet was lost or has not reached the target that holds
        # its flow, so more targets are tried.
        if entry.record_and_check_repeat(frame) or not searched:
            self._extend_search(entry, frame, data, now)

    def _adopt(self, frame: Frame, now: float) -> FlowEntry | None:
        """Creates an entry for a flow that was opened at another balancer."""
        address = unpack_service(frame.key)
        service = self._services.find(address)
        if service is None:
            # The service was removed, or this process does not know it yet.
            self.counts["dropped_no_service"] += 1
            return None
        entry = FlowEntry(
            frame.key, service.id, service.pools, now, now, None, -1
        )
        self._flows.add(entry)
        self.counts["flows_adopted"] += 1
        self._log.write(
            "flow adopted: it began at another balancer",
            now,
            flow=format_address(unpack_caller(frame.key)),
            service=service.id,
        )
        return entry

    def _find_owner(self, entry: FlowEntry, frame: Frame) -> TargetState | None:
        """Returns the target that is known to hold a flow, or None."""
        owner = entry.find_owner(frame)
        return None if owner is None else self._steering.find(owner)

    def _send_to(self, target: TargetId, data: bytes) -> None:
        candidate = self._steering.find(target)
        if candidate is not None:
            self._port.send_packet(data, candidate)

    def _extend_search(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a packet to the next targets that may hold its flow.

        Copies are harmless: a target that does not hold the flow bounces the
        packet.
        """
        former = self._services.list_former_pools(unpack_service(entry.key))
        pools = dict.fromkeys((*entry.pool_ids, *former))
        excluded = entry.bounced_by.union(entry.searched)
        sent = 0
        for candidate in self._steering.list_possible_owners(
            pools, entry.key, now
        ):
            if candidate.id in excluded:
                continue
            entry.searched.append(candidate.id)
            self._port.send_packet(data, candidate)
            sent += 1
            if sent == SEARCH_BATCH_TARGETS:
                return
        if not sent and not entry.list_search_targets():
            self._report_lost_flow(entry, frame, now)

    def _report_lost_flow(
        self, entry: FlowEntry, frame: Frame, now: float
    ) -> None:
        """Logs a flow that no target holds; resets it if it was opened here."""
        caller = format_address(unpack_caller(entry.key))
        if not entry.is_accepted:
            # The flow was opened at another balancer. Its target may not be
            # known here, so a reset could break a live flow.
            self.counts["dropped_no_owner"] += 1
            self._log.write(
                "packet dropped: no target holds its flow",
                now,
                flow=caller,
                service=entry.service,
                refused=sorted(entry.bounced_by),
                targets=self._members.position,
                outcome="none",
            )
            return
        if frame.resets:
            return
        self.counts["reset_lost_flow"] += 1
        self._log.write(
            "flow reset: its target does not hold it any more",
            now,
            flow=caller,
            service=entry.service,
            target=entry.offers[-1].target,
            outcome="reset, unknown",
        )
        self._port.send_reset(frame)

    def _handle_bounced(
        self, frame: Frame, data: bytes, sender: Address, now: float
    ) -> None:
        """Records a bounce, and sends the packet to other targets."""
        entry = self._flows.find(frame.key, now)
        candidates = self._steering.find_by_agent(sender)
        if entry is None or not candidates:
            self.counts["bounced_unknown"] += 1
            return
        for candidate in candidates:
            entry.record_bounce(candidate.id, now)
        if not frame.starts:
            self.counts["bounced"] += 1
            self._redirect_bounced(entry, frame, data, now)
            return
        self.counts["starts_bounced"] += 1
        if entry.is_accepted or entry.start_packet is None:
            return
        entry.offers = [
            o for o in entry.offers if o.target not in entry.bounced_by
        ]
        if not entry.offers:
            self._dispatcher.offer(entry, now)

    def _redirect_bounced(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a bounced packet other than a start to other targets."""
        owner = self._find_owner(entry, frame)
        if owner is not None:
            self._port.send_packet(data, owner)
            return
        if not entry.list_search_targets():
            # If other searched targets remain, they already have a copy.
            self._extend_search(entry, frame, data, now)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            now = anyio.current_time()
            self._flows.expire(FLOW_IDLE_TIMEOUT_S, now)
            self._services.expire(now)
