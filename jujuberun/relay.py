"""Balancer of packet flows: forwards callers' packets, payload unchanged."""

import math
from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.addresses import format_address
from jujuberun.agentidentity.senders import (
    is_misdirected,
    list_bouncing,
    list_ids,
)
from jujuberun.bandwidth.upload_limit import is_limited
from jujuberun.confirmation_timeout import ConfirmationTimeout
from jujuberun.containment.units import contain_errors
from jujuberun.decisions import DecisionLog
from jujuberun.draining.drains import Drains
from jujuberun.flowtable import FlowEntry, FlowTable
from jujuberun.frames import (
    Frame,
    FrameCodec,
    get_copy_delay,
    unpack_caller,
    unpack_service,
)
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, DomainId
from jujuberun.manifest import Service
from jujuberun.members import Members
from jujuberun.overload.order import StartOrder
from jujuberun.overload.outlook import StartOutlook
from jujuberun.owner_search import OwnerSearch
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.port import Port, handle_each
from jujuberun.servicemap import ServiceMap
from jujuberun.start_dispatcher import StartDispatcher
from jujuberun.steering import Steering
from jujuberun.target_state import choose_pool
from jujuberun.vm_list import VmList
from jujuberun.warmup.bounds import WarmupSettings
from jujuberun.warmup.cold_targets import ColdTargets
from jujuberun.wire import pack_address

# A flow without packets for this time is removed from the cache.
FLOW_IDLE_TIMEOUT_S = 20.0
MAINTENANCE_INTERVAL_S = 1.0
DEFAULT_OBJECTIVE_S = 0.5  # for services without an objective
DRAIN_POLL_INTERVAL_S = 0.05
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
        drains: Drains | None = None,
        warmup: WarmupSettings | None = None,
        link_rate: float = 0.0,
        order_by_loss: bool = False,
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
            drains: the drained failure domains, None if the source of the
                documents does not publish any.
            warmup: limit of starts at cold targets, None for no limit.
            link_rate: rate of the VM's link in Mbit/s, 0 if unknown.
            order_by_loss: whether starts are ranked by what callers lose.
        """
        self.counts: Counter[str] = Counter()
        self.last_packet_at = 0.0
        self._log = DecisionLog("relay")
        self._port = PacketPort(port, codec)
        self._generations = generations
        self._members = members
        self._drains = drains or Drains(expects_list=False)
        self._steering = Steering(domain, self._drains)
        self._flows = FlowTable(capacity)
        self._order = StartOrder()
        self._order_by_loss = order_by_loss
        self._version: ManifestVersion | None = None
        self._services = ServiceMap()
        timeout = ConfirmationTimeout()
        self._search = OwnerSearch(
            self._port,
            self._flows,
            self._steering,
            self._services,
            members,
            timeout,
            self.counts,
            self._log,
            peers,
        )
        self._cold = ColdTargets(
            warmup or WarmupSettings(), peers, self.counts, self._log
        )
        self._dispatcher = StartDispatcher(
            self._port,
            self._flows,
            self._steering,
            self._order,
            peers,
            self._services,
            members,
            self.counts,
            self._log,
            timeout,
            self._search.release,
            self._cold,
        )
        self._outlook = StartOutlook(
            self._steering, self._cold, self._order, self._drains
        )
        self._uploads = None
        self._offer = self._dispatcher.offer
        self._forward_later = self._search.forward
        if is_limited(link_rate):
            self._limit_uploads(link_rate)
        peers.subscribe_pauses(lambda now: self._steering.clear_suspicions())

    @property
    def is_ready(self) -> bool:
        """Whether all is known that flows need to start.

        These are the services, the targets and the drained failure domains.
        """
        return (
            self._version is not None
            and bool(self._members.text)
            and self._drains.is_known
        )

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
            group.start_soon(self._search.run_timers)
            if self._uploads is not None:
                group.start_soon(self._uploads.run_timers)
            task_status.started()
            await self._port.serve(self.forward)

    async def drain(self, quiet: float, limit: float) -> None:
        """Forwards packets until the network sends no more.

        Starts that still wait for a target at the end are refused.

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
                now - self.last_packet_at > quiet
                and waited > ROTATION_EXIT_S
                and not self._dispatcher.has_waiting_starts
                and not (self._uploads and self._uploads.has_waiting_starts)
            )
            if is_quiet or waited > limit:
                if self._uploads is not None:
                    self._uploads.refuse_waiting_starts(now)
                self._dispatcher.refuse_waiting_starts(now)
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
            "warmup": self._cold.describe(now),
            "start_times": self._dispatcher.start_times,
            "search": self._search.describe(),
            "overload": self._order.describe(),
            "counts": dict(self.counts),
            "uploads": self._describe_uploads(),
        }

    def _limit_uploads(self, link_rate: float) -> None:
        """Limits the concurrent uploads through a slow link."""
        # Only balancers with such a link load the module.
        from jujuberun.bandwidth.upload_gate import UploadGate

        self._uploads = UploadGate(
            link_rate,
            self._services.find,
            self._dispatcher.offer,
            self._dispatcher.refuse_start,
            self.counts,
            self._log,
        )
        self._offer = self._uploads.offer
        self._forward_later = self._forward_and_count

    def _describe_uploads(self) -> dict[str, Any]:
        return {} if self._uploads is None else self._uploads.describe()

    def _forward_and_count(self, frame: Frame, data: bytes, now: float) -> None:
        self._search.forward(frame, data, now)
        self._uploads.record_packet(frame, now)

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
            self._forward_later(frame, data, now)

    def _explain(
        self, service: Service, caller: Address, now: float
    ) -> dict[str, Any]:
        key = pack_address(caller) + pack_address(service.address)
        entry = self._make_entry(key, service, now)
        return {
            "service": service.id,
            "address": format_address(service.address),
            "generation": self._version.manifest.generation,
            **self._outlook.explain(entry, now),
            "uploads": self._describe_uploads(),
        }

    def check_offers(self, now: float) -> None:
        """Repeats offers of starts and searches of owners that are due."""
        self._dispatcher.check_timers(now)
        self._search.check_timers(now)
        if self._uploads is not None:
            self._uploads.check_timers(now)

    def apply_vm_list(self, vm_list: VmList, now: float) -> None:
        """Applies a new list of registered targets."""
        self._steering.update(vm_list, now)
        self._search.mark_changed()

    def apply_version(self, version: ManifestVersion, now: float) -> None:
        """Applies the manifest that has come into force."""
        self._version = version
        self._services.update(version.manifest, now)
        self._search.mark_changed()
        self._cold.update(version.manifest)
        if self._order_by_loss:
            services = version.manifest.services.values()
            self._order.terms.update(services, DEFAULT_OBJECTIVE_S)

    def _handle_start(self, frame: Frame, data: bytes, now: float) -> None:
        entry = self._flows.find(frame.key, now)
        if entry is not None and entry.sequence == frame.sequence:
            if self._uploads and self._uploads.hold_copy(entry, data):
                return
            self._dispatcher.handle_copy(entry, frame, data, now)
            return
        service = self._services.find(unpack_service(frame.key))
        if service is None or not self.is_ready:
            self._refuse_unknown_service(frame, now)
            return
        entry = self._make_entry(frame.key, service, now)
        entry.start_packet, entry.sequence = data, frame.sequence
        entry.start_delay = get_copy_delay(frame.copy)
        pool = choose_pool(entry.pools, entry.key)
        service_time = self._steering.find_service_time(pool, now)
        self._order.record_arrival(pool, entry, service_time, now)
        self._flows.add(entry)
        self.counts["starts"] += 1
        self._offer(entry, now)

    def _make_entry(
        self, key: bytes, service: Service, now: float
    ) -> FlowEntry:
        """Returns an entry for a start that arrives now."""
        entry = FlowEntry(key, service.id, service.pools, now, now)
        entry.urgency = service.urgency
        entry.objective = service.objective or DEFAULT_OBJECTIVE_S
        entry.terms = self._order.terms.find(service.id)
        entry.generation = self._version.manifest.generation
        return entry

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

    def _handle_bounced(
        self, frame: Frame, data: bytes, sender: Address, now: float
    ) -> None:
        """Records a bounce, and sends the packet to other targets."""
        entry = self._flows.find(frame.key, now)
        candidates = self._steering.find_by_agent(sender)
        if entry is None or not candidates:
            self.counts["bounced_unknown"] += 1
            return
        bouncing = list_bouncing(candidates, frame)
        for candidate in bouncing:
            entry.record_bounce(candidate.id, now)
            candidate.unanswered_since = math.inf
        if is_misdirected(candidates, frame):
            entry.drop_confirmations(list_ids(bouncing))
            self._log.write(
                "packet returned: the agent is of another pool",
                now,
                flow=format_address(unpack_caller(frame.key)),
                service=entry.service,
                targets_meant=sorted(list_ids(bouncing)),
                at_address=len(candidates),
                targets=self._members.position,
            )
        if not frame.starts:
            self.counts["bounced"] += 1
            targets = [candidate.id for candidate in bouncing]
            self._search.redirect_bounced(entry, targets, frame, data, now)
            if self._uploads is not None:
                self._uploads.record_loss(entry, now)
            return
        self.counts["starts_bounced"] += 1
        for candidate in bouncing:
            if entry.find_offer(candidate.id) is not None:
                self._steering.record_returned_offer(candidate)
        if entry.is_accepted or entry.start_packet is None:
            return
        entry.offers = [
            o for o in entry.offers if o.target not in entry.bounced_by
        ]
        if not entry.offers:
            self._dispatcher.offer(entry, now)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            with contain_errors("removal of idle flows", self.counts):
                self._remove_idle(anyio.current_time())

    def _remove_idle(self, now: float) -> None:
        """Removes flows, services and limits that are no longer in use."""
        self._flows.expire(FLOW_IDLE_TIMEOUT_S, now)
        self._services.expire(now)
        self._cold.expire(now)
        if self._uploads is not None:
            self._uploads.forget_idle(now)
