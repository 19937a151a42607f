"""Agent: owns flows, keeps a directory of owners, and routes packets."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jujuberun.balancer_replies import Replies
from jujuberun.candidates import FlowView
from jujuberun.containment.units import contain_errors
from jujuberun.directory import REGISTRATION_PERIOD_S
from jujuberun.flow_packet import FlowPacket
from jujuberun.flows import Flow
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, FlowId, Protocol, ServiceId, TargetId
from jujuberun.manifest import Service, Target
from jujuberun.ownership import UNSETTLED_S, Ownership
from jujuberun.peers import Peer, Peers
from jujuberun.registrar import FLUSH_PERIOD_S, Registrar, Registration
from jujuberun.start_grants import GRANT_PERIOD_S, StartGrants
from jujuberun.target_monitor import TargetMonitor
from jujuberun.wire import (
    Answer,
    Forward,
    Grant,
    ProbeReply,
    make_flow_id,
    pack_address,
    read_wall_clock,
    unpack_address,
)

logger = logging.getLogger("jujuberun.agent")

OpenFlow = Callable[[Service, Target, Callable[[bytes], None]], Flow]


@dataclass(slots=True)
class OwnedFlow:
    """A flow that this agent owns.

    Attributes:
        id: flow id.
        address: packed service address.
        caller: packed address of the caller.
        flow: the connection to the target.
        balancer: peer address of the balancer that forwarded the last packet.
        created: wall clock in ms.
        last_received: time of the last packet, seconds, monotonic.
        scope: cancels the flow.
    """

    id: FlowId
    address: bytes
    caller: bytes
    flow: Flow
    balancer: Address
    created: int
    last_received: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def includes(self, forward: Any) -> bool:
        """Returns whether a packet is of this flow; its id is only a hash."""
        return (forward.address, forward.caller) == (self.address, self.caller)


class Agent:
    """Part "agent": delivers packets to the flows of its target."""

    name = "agent"

    def __init__(
        self,
        target: TargetId,
        peers: Peers,
        generations: Generations,
        target_monitor: TargetMonitor,
        open_flow: OpenFlow,
    ) -> None:
        self.target = target
        self.counts: Counter[str] = Counter()
        self.draining = False
        self._peers = peers
        self._generations = generations
        self._target_monitor = target_monitor
        self._open_flow = open_flow
        self._start_grants = StartGrants.from_config()
        self._flows: dict[FlowId, OwnedFlow] = {}
        self._replies = Replies(peers, self.counts)
        self._group: TaskGroup | None = None
        self._homes_changed = anyio.Event()
        self._flow_ended = anyio.Event()
        self._ownership = Ownership(
            self, target, peers, generations, self._replies, self.counts
        )
        self._registrar = Registrar(target, peers, self._ownership.views)
        peers.register(Forward, self._handle_forward)
        peers.subscribe_restarts(self._registrar.refresh_home)
        peers.subscribe_returns(self._handle_peer_recovery)
        peers.subscribe_pauses(self._handle_pause)

    def count_flows(self) -> int:
        """Returns the number of flows owned here."""
        return len(self._flows)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._ownership.start(group, anyio.current_time())
            self._generations.subscribe(self._handle_version)
            group.start_soon(self._register_flows)
            group.start_soon(self._register_at_new_homes)
            group.start_soon(self._grant_starts)
            task_status.started()
            await anyio.sleep_forever()

    def refuse_new_flows(self) -> None:
        """Refuses new flows from now on, and tells all peers."""
        if self.draining:
            return
        self.draining = True
        self._peers.draining = True
        for peer in self._peers.list_peers():
            self._peers.send(ProbeReply(0, True), peer.address)

    async def drain(self, limit: float) -> int:
        """Refuses new flows and waits until the open ones have ended.

        Args:
            limit: seconds to wait at most.

        Returns:
            Number of flows that were still open at the limit.
        """
        self.refuse_new_flows()
        for owned in list(self._flows.values()):
            owned.flow.drain()
        with anyio.move_on_after(limit):
            while self._flows:
                self._flow_ended = anyio.Event()
                await self._flow_ended.wait()
        return len(self._flows)

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Explains what this agent would do with a packet of a flow.

        Args:
            service_id: id of the service.
            caller: address of the caller.
            now: seconds, monotonic.
        """
        version = self._generations.current
        service = version.manifest.services.get(service_id) if version else None
        if service is None:
            return {"error": f"service {service_id!r} is not in the manifest"}
        packed = pack_address(service.address)
        flow = make_flow_id(packed, pack_address(caller))
        candidates = version.tables.find_candidates(service, flow)
        owned = self._flows.get(flow)
        entry = self._ownership.directory.find(flow, now)
        if owned is not None:
            chosen, reason = self.target, "the flow is owned here"
        elif entry is not None:
            chosen, reason = entry.owner, "the directory here names the owner"
        elif self.target in candidates[:1]:
            chosen, reason = None, "this is the home; it knows no owner"
        else:
            chosen, reason = candidates[0], "the home decides"
        return {
            "service": service.id,
            "flow": flow.hex(),
            "generation": version.manifest.generation,
            "candidates": list(candidates),
            "chosen": chosen,
            "reason": reason,
        }

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of flows, directory, registrations and counts."""
        by_service: Counter[str] = Counter()
        open_requests = 0
        for owned in self._flows.values():
            by_service[owned.flow.service.id] += 1
            open_requests += owned.flow.open_requests
        return {
            "target": self.target,
            "draining": self.draining,
            "unsettled": self._ownership.is_unsettled(now),
            "flows": dict(by_service),
            "open_requests": open_requests,
            "directory": self._ownership.directory.dump_state(),
            "registrar": self._registrar.dump_state(),
            "counts": dict(self.counts),
        }

    def _handle_forward(
        self, forward: Any, sender: Address, now: float
    ) -> None:
        balancer = sender
        if forward.balancer is not None:
            balancer = unpack_address(forward.balancer)
        is_packed = len(forward.caller) == 6 and len(forward.address) == 6
        if not is_packed or forward.payload is None:
            self.counts["malformed"] += 1
            return
        self._replies.record_balancer(balancer, now)
        flow = make_flow_id(forward.address, forward.caller)
        self._ownership.route(FlowPacket(flow, forward, sender, balancer), now)

    def create(self, packet: FlowPacket, service: Service, now: float) -> None:
        """Creates the flow of a start packet and delivers the packet."""
        if not self.has_room():
            self._replies.send_reset(packet, "overloaded", 1000)
            return
        target = self._generations.current.manifest.targets[self.target]
        forward = packet.forward
        owned: OwnedFlow

        def send(payload: bytes) -> None:
            self._answer(owned, payload)

        try:
            flow = self._open_flow(service, target, send)
        except OSError as error:
            logger.error(
                "agent: cannot open a flow of service %s: %s",
                service.id,
                error.strerror,
            )
            self._replies.send_reset(packet, "overloaded", 1000)
            return
        owned = OwnedFlow(
            packet.flow,
            forward.address,
            forward.caller,
            flow,
            packet.balancer,
            read_wall_clock(),
            now,
        )
        self._flows[packet.flow] = owned
        record = Registration(
            packet.flow,
            unpack_address(forward.address),
            service.id,
            owned.created,
        )
        self._registrar.add(record)
        self.counts["flows_created"] += 1
        if service.protocol is Protocol.REQUEST:
            # Start limits apply only to request flows, because their handshakes
            # are expensive.
            self._start_grants.record_start(service.id, packet.balancer)
        self._group.start_soon(self._serve, owned)
        flow.deliver(forward.payload, now)

    async def _serve(self, owned: OwnedFlow) -> None:
        try:
            with owned.scope:
                await owned.flow.run()
        except Exception:
            logger.exception(
                "agent: flow of service %s failed", owned.flow.service.id
            )
            self.counts["flows_failed"] += 1
        finally:
            if self._flows.get(owned.id) is owned:
                del self._flows[owned.id]
                self._registrar.remove(owned.id)
                self._flow_ended.set()

    def deliver(self, packet: FlowPacket, now: float) -> bool:
        """Delivers a packet and returns whether its flow is owned here."""
        owned = self._flows.get(packet.flow)
        if owned is None:
            return False
        forward = packet.forward
        if not owned.includes(forward):
            self._replies.send_reset(packet, "flow-in-use", 0)
            return True
        service = owned.flow.service
        own = self._peers.address
        if forward.service_id != service.id:
            if service.first_packet.accepts(forward.payload):
                self._refuse_other_service(owned, packet, now)
                return True
            self._replies.send_hint(packet, service.id, self.target, own)
        elif forward.owner != self.target or forward.hops > 0:
            self._replies.send_hint(packet, service.id, self.target, own)
        owned.balancer = packet.balancer
        owned.last_received = now
        owned.flow.deliver(forward.payload, now)
        return True

    def _refuse_other_service(
        self, owned: OwnedFlow, packet: FlowPacket, now: float
    ) -> None:
        """Refuses a start packet for another service on the same address.

        The packet may be a late copy of this flow's own start packet, or start
        a new flow from the same caller address after the service address
        moved to another service. It is ignored if the flow received a
        packet in the last UNSETTLED_S seconds. Otherwise this flow is
        cancelled, and the caller gets a reset.
        """
        self.counts["other_service"] += 1
        if now - owned.last_received < UNSETTLED_S:
            return
        owned.scope.cancel()
        self._replies.send_reset(packet, "moved", 100)

    def _answer(self, owned: OwnedFlow, payload: bytes) -> None:
        now = anyio.current_time()
        balancer = self._replies.choose_balancer(owned.balancer, now)
        message = Answer(
            owned.flow.service.id,
            owned.address,
            self.target,
            owned.caller,
            payload,
        )
        self._peers.send(message, balancer, now)

    def owns(self, flow: FlowId) -> bool:
        """Returns whether this agent owns the flow."""
        return flow in self._flows

    def find_service_id(self, flow: FlowId) -> ServiceId | None:
        """Returns the service of an owned flow, or None."""
        owned = self._flows.get(flow)
        return owned.flow.service.id if owned is not None else None

    def has_room(self) -> bool:
        """Returns whether this agent can take a new flow."""
        version = self._generations.current
        target = version.manifest.targets.get(self.target)
        if target is None or self.draining:
            return False
        return len(self._flows) < target.connection_limit

    def choose_owner(
        self, view: FlowView, passed: tuple[str, ...], now: float
    ) -> TargetId | None:
        """Chooses the owner of a new flow; None if no target has room."""
        return self._target_monitor.choose_owner(
            view.service.id, view.candidates, passed, now
        )

    def release(self, flow: FlowId) -> None:
        """Gives up a flow that another agent owns as well."""
        owned = self._flows.get(flow)
        if owned is None:
            return
        self.counts["released"] += 1
        owned.flow.drain()
        if owned.flow.open_requests == 0:
            owned.scope.cancel()

    def _handle_pause(self, now: float) -> None:
        self._ownership.unsettle(now)
        self._registrar.refresh()

    def _handle_peer_recovery(self, peer: Peer, now: float) -> None:
        # While the peer was unreachable, it missed registrations, or the third
        # candidate received them in its place. The flows are registered again,
        # because otherwise two agents could own the same flow.
        self._registrar.refresh_home(peer, now)
        self._homes_changed.set()

    def _handle_version(self, version: ManifestVersion) -> None:
        self._homes_changed.set()

    async def _register_at_new_homes(self) -> None:
        while True:
            await self._homes_changed.wait()
            self._homes_changed = anyio.Event()
            with contain_errors("check of homes", self.counts):
                await self._registrar.check_homes()

    async def _grant_starts(self) -> None:
        while True:
            await anyio.sleep(GRANT_PERIOD_S)
            with contain_errors("grants of starts", self.counts):
                self._send_grants(anyio.current_time())

    def _send_grants(self, now: float) -> None:
        for grant in self._start_grants.compute_grants(now):
            message = Grant(
                grant.service, grant.rate, int(grant.expires * 1000)
            )
            self._peers.send(message, grant.balancer)

    async def _register_flows(self) -> None:
        refreshed = anyio.current_time()
        while True:
            await anyio.sleep(FLUSH_PERIOD_S)
            now = anyio.current_time()
            with contain_errors("registration of flows", self.counts):
                if now - refreshed > REGISTRATION_PERIOD_S:
                    refreshed = now
                    self._registrar.refresh()
                    self._ownership.directory.expire(now)
                self._registrar.flush(now)
