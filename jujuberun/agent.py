"""Agent: owns flows, keeps the directory, and finds owners of packets."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jujuberun.candidates import View, Views
from jujuberun.claims import Claims
from jujuberun.directory import Directory, Entry, Verdict
from jujuberun.flows import Flow
from jujuberun.generations import Generations, Version
from jujuberun.ids import Address, FlowId, TargetId
from jujuberun.manifest import Service, Target, format_address
from jujuberun.peers import Peers, PeerState
from jujuberun.registrar import Record, Registrar
from jujuberun.wire import (
    Answer,
    Claim,
    ClaimReply,
    Forward,
    Hint,
    ProbeReply,
    Register,
    RegisterReply,
    Release,
    Reset,
    make_flow_id,
    pack_address,
    quote,
    read_wall_clock,
    unpack_address,
)

MAX_HOPS = 4
UNSETTLED_S = 3.0  # after a start or a pause, others may know more
YOUNG_MS = 3000  # a start packet may still be on its way to the owner
QUEUE_PACKETS = 16  # of one flow, while its owner is sought
REFRESH_S = 120.0
_MAX_PENDING = 10_000  # flows whose owner is sought
logger = logging.getLogger("jujuberun.agent")

OpenFlow = Callable[[Service, Target, Callable[[bytes], None]], Flow]


@dataclass(slots=True)
class Packet:
    """A packet on its way through this agent."""

    flow: FlowId
    forward: Any
    sender: Address
    balancer: Address


@dataclass(slots=True)
class Owned:
    """A flow that this agent owns, with its last balancer."""

    id: FlowId
    address: bytes
    caller: bytes
    flow: Flow
    balancer: Address
    created: int
    heard: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class Resolution:
    """Packets of a flow that wait while its owner is sought."""

    claim: Any
    packets: list[Packet]


class Agent:
    """Part "agent": delivers packets to the flows of its target."""

    name = "agent"

    def __init__(
        self,
        target: TargetId,
        peers: Peers,
        generations: Generations,
        open_flow: OpenFlow,
    ) -> None:
        self.target = target
        self.counts: Counter[str] = Counter()
        self.draining = False
        self._peers = peers
        self._generations = generations
        self._open_flow = open_flow
        self._flows: dict[FlowId, Owned] = {}
        self._directory = Directory()
        self._pending: dict[FlowId, Resolution] = {}
        self._loads: dict[Address, int] = {}
        self._balancers: dict[Address, float] = {}
        self._unsettled_until = 0.0
        self._group: TaskGroup | None = None
        self._homes_changed = anyio.Event()
        self._ended = anyio.Event()
        self._claims = Claims(peers)
        self._views = Views(generations, peers)
        self._registrar = Registrar(
            target, peers, self._views, self.count_flows, self._note_load
        )
        peers.register(Forward, self._handle_forward)
        peers.register(Claim, self._handle_claim)
        peers.register(Register, self._handle_register)
        peers.register(Release, self._handle_release)
        peers.subscribe_restarts(self._registrar.note_restart)
        peers.subscribe_pauses(self._note_pause)

    def count_flows(self) -> int:
        """Returns the number of flows owned here."""
        return len(self._flows)

    def is_unsettled(self, now: float) -> bool:
        """Returns whether other agents may know owners that this one forgot.

        Args:
            now: seconds, monotonic.
        """
        return now < self._unsettled_until

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            now = anyio.current_time()
            self._unsettled_until = now + UNSETTLED_S
            self._generations.subscribe(self._note_version)
            group.start_soon(self._keep_registered)
            group.start_soon(self._follow_versions)
            task_status.started()
            await anyio.sleep_forever()

    async def drain(self, limit: float) -> int:
        """Takes no new flows and waits until the open ones have ended.

        Args:
            limit: seconds to wait at most.

        Returns:
            Number of flows that were cut.
        """
        self.draining = True
        self._peers.draining = True
        for peer in self._peers.list_peers():
            self._peers.send(ProbeReply(0, True), peer.address)
        for owned in list(self._flows.values()):
            owned.flow.drain()
        with anyio.move_on_after(limit):
            while self._flows:
                self._ended = anyio.Event()
                await self._ended.wait()
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
        entry = self._directory.find(flow, now)
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
        """Returns flows, directory, registrations and counts."""
        by_service: Counter[str] = Counter()
        open_requests = 0
        for owned in self._flows.values():
            by_service[owned.flow.service.id] += 1
            open_requests += owned.flow.open_requests
        loads = {format_address(a): n for a, n in self._loads.items()}
        return {
            "target": self.target,
            "draining": self.draining,
            "unsettled": self.is_unsettled(now),
            "flows": dict(by_service),
            "open_requests": open_requests,
            "directory": self._directory.dump_state(),
            "registrar": self._registrar.dump_state(),
            "flows_of_peers": loads,
            "counts": dict(self.counts),
        }

    # Packets.

    def _handle_forward(
        self, forward: Any, sender: Address, now: float
    ) -> None:
        balancer = sender
        if forward.balancer is not None:
            balancer = unpack_address(forward.balancer)
        if len(forward.caller) != 6 or len(forward.address) != 6:
            self.counts["malformed"] += 1
            return
        self._balancers[balancer] = now
        flow = make_flow_id(forward.address, forward.caller)
        self._place(Packet(flow, forward, sender, balancer), now)

    def _place(self, packet: Packet, now: float) -> None:
        """Delivers a packet, hands it on, or queues it."""
        owned = self._flows.get(packet.flow)
        if owned is not None:
            self._deliver(owned, packet, now)
            return
        resolution = self._pending.get(packet.flow)
        if resolution is not None:
            if len(resolution.packets) < QUEUE_PACKETS:
                resolution.packets.append(packet)
            return
        view = self._views.build(
            packet.forward, packet.flow, self._peers.address, now
        )
        if view is None:
            self.counts["no_service"] += 1
            if self._generations.current is not None:
                self._reset(packet, "no-service", 1000)
            return
        entry = self._directory.find(packet.flow, now)
        if entry is not None and entry.owner == self.target:
            self._directory.release(packet.flow, self.target)
            entry = None
        if entry is not None:
            self._hand_to_owner(packet, view, entry, now)
            return
        self._route(packet, view, now)

    def _route(self, packet: Packet, view: View, now: float) -> None:
        """Handles a packet of a flow that nobody is known to own."""
        forward = packet.forward
        if forward.hops > 0 and forward.owner == self.target:
            self._take_assignment(packet, view, now)
            return
        passed = forward.passed or ()
        ahead = view.candidates
        if self.target in ahead:
            ahead = ahead[: ahead.index(self.target)]
        for name, agent in zip(ahead, view.agents, strict=False):
            if name in passed or self._peers.find(agent).is_suspected(now):
                continue
            self._hand_on(packet, view, agent, None, now)
            return
        if self.target not in view.candidates:
            self._reset(packet, "no-owner", 1000)
            return
        authorities = self._find_authorities(view, now)
        if authorities:
            self._start_resolution(packet, view, authorities)
        else:
            self._decide(packet, view, now)

    def _find_authorities(self, view: View, now: float) -> tuple[Address, ...]:
        """Returns the agents to ask before a flow is created here."""
        found = list(view.former)
        rank = view.candidates.index(self.target)
        others = view.agents[:rank]
        if self.is_unsettled(now):
            others = view.agents[:2]
        found.extend(others)
        return tuple(
            agent
            for agent in dict.fromkeys(found)
            if agent != self._peers.address
            and self._peers.find(agent).judge(now) is not PeerState.GONE
        )

    def _start_resolution(
        self, packet: Packet, view: View, authorities: tuple[Address, ...]
    ) -> None:
        if len(self._pending) >= _MAX_PENDING:
            self._reset(packet, "overloaded", 1000)
            return
        starts = view.service.first_packet.accepts(packet.forward.payload)
        rank = view.candidates.index(self.target)
        claim = Claim(
            packet.flow, self.target, view.generation, rank, starts, 0
        )
        resolution = Resolution(claim, [packet])
        self._pending[packet.flow] = resolution
        self._group.start_soon(self._resolve, resolution, view, authorities)

    async def _resolve(
        self,
        resolution: Resolution,
        view: View,
        authorities: tuple[Address, ...],
    ) -> None:
        """Asks the agents concerned, then places the waiting packets."""
        flow = resolution.claim.flow
        try:
            for agent in authorities:
                reply = await self._claims.ask(agent, resolution.claim)
                if reply is None or reply.owner is None:
                    continue
                if reply.owner == self.target:
                    continue
                now = anyio.current_time()
                self._directory.learn(
                    flow,
                    reply.owner,
                    unpack_address(reply.owner_agent),
                    reply.service_id,
                    now,
                )
                break
        finally:
            del self._pending[flow]
        now = anyio.current_time()
        for packet in resolution.packets:
            if self._is_decidable(packet, resolution, view, now):
                self._decide(packet, view, now)
            else:
                self._place(packet, now)

    def _is_decidable(
        self,
        packet: Packet,
        resolution: Resolution,
        view: View,
        now: float,
    ) -> bool:
        """Returns whether the answers of the others cover this packet."""
        if packet.flow in self._flows or packet.flow in self._pending:
            return False
        if self._directory.find(packet.flow, now) is not None:
            return False
        if resolution.claim.starts:
            return True
        return not view.service.first_packet.accepts(packet.forward.payload)

    def _decide(self, packet: Packet, view: View, now: float) -> None:
        """Creates a flow or resets it; no other agent owns it."""
        forward = packet.forward
        if not view.service.first_packet.accepts(forward.payload):
            if self.is_unsettled(now):
                self.counts["dropped_unsettled"] += 1
                return
            self._reset(packet, "unknown-flow", 0)
            return
        if view.retired or forward.service_id != view.service.id:
            self._reset(packet, "moved", 100)
            return
        owner = self._choose_owner(view, forward.passed or (), now)
        if owner is None:
            self._reset(packet, "overloaded", 1000)
            return
        if owner == self.target:
            self._create(packet, view.service, now)
            return
        agent = view.agents[view.candidates.index(owner)]
        created = read_wall_clock()
        self._directory.register(
            packet.flow, owner, agent, view.service.id, created, now
        )
        self._loads[agent] = self._loads.get(agent, 0) + 1
        self._hand_on(packet, view, agent, owner, now)

    def _choose_owner(
        self, view: View, passed: tuple[str, ...], now: float
    ) -> TargetId | None:
        """Chooses the less loaded of the first candidates that can own."""
        best, least = None, 0
        targets = self._generations.current.manifest.targets
        for name, agent in zip(view.candidates, view.agents, strict=True):
            if not self._can_own(name, agent, passed, now):
                continue
            load = self.count_flows()
            if name != self.target:
                load = self._loads.get(agent, 0)
            if load >= targets[name].connection_limit:
                continue
            if best is None or load < least:
                best, least = name, load
        return best

    def _can_own(
        self,
        name: TargetId,
        agent: Address,
        passed: tuple[str, ...],
        now: float,
    ) -> bool:
        if name == self.target:
            return not self.draining
        peer = self._peers.find(agent)
        if name in passed or peer.draining:
            return False
        return not peer.is_suspected(now)

    def _take_assignment(self, packet: Packet, view: View, now: float) -> None:
        """Handles a packet that a home assigned to this agent."""
        forward = packet.forward
        version = self._generations.current
        service = version.manifest.services.get(forward.service_id)
        starts = view.service.first_packet.accepts(forward.payload)
        if starts and service is not None and self._has_room():
            self._create(packet, service, now)
            return
        if starts:
            self._peers.send(Release(packet.flow, self.target), packet.sender)
        # Without the start packet only the home can tell whether the flow is
        # lost or its start packet is still on its way.
        self._hand_on(packet, view, packet.sender, None, now)

    def _has_room(self) -> bool:
        version = self._generations.current
        target = version.manifest.targets.get(self.target)
        if target is None or self.draining:
            return False
        return len(self._flows) < target.connection_limit

    def _hand_to_owner(
        self, packet: Packet, view: View, entry: Entry, now: float
    ) -> None:
        forward = packet.forward
        starts = view.service.first_packet.accepts(forward.payload)
        peer = self._peers.find(entry.agent)
        gone = peer.judge(now) is PeerState.GONE
        returned = packet.sender == entry.agent
        young = read_wall_clock() - entry.created < YOUNG_MS
        if starts and gone:
            self._directory.release(packet.flow, entry.owner)
            self._route(packet, view, now)
            return
        if starts and entry.owner in (forward.passed or ()) and not returned:
            self.counts["loop"] += 1
            return
        if not starts and (gone or returned):
            if returned and young:
                self.counts["dropped_young"] += 1
                return
            self._directory.release(packet.flow, entry.owner)
            self._reset(packet, "unknown-flow", 0)
            return
        self._hand_on(packet, view, entry.agent, entry.owner, now, entry)
        if not starts and entry.service_id is not None:
            self._hint(packet, entry.service_id, entry.owner, entry.agent)

    def _hand_on(
        self,
        packet: Packet,
        view: View,
        agent: Address,
        owner: TargetId | None,
        now: float,
        entry: Entry | None = None,
    ) -> None:
        """Hands a packet to another agent."""
        forward = packet.forward
        if forward.hops >= MAX_HOPS:
            self.counts["hops"] += 1
            if owner is None:
                self._reset(packet, "no-owner", 1000)
            return
        service_id = forward.service_id
        if entry is not None and entry.service_id is not None:
            service_id = entry.service_id
        message = Forward(
            service_id,
            max(view.generation, forward.generation),
            forward.address,
            list(view.candidates),
            forward.hops + 1,
            pack_address(packet.balancer),
            owner,
            [*(forward.passed or ()), self.target],
            forward.caller,
            forward.payload,
        )
        self.counts["handed_on"] += 1
        self._peers.send(message, agent, now)

    # Owned flows.

    def _create(self, packet: Packet, service: Service, now: float) -> None:
        if not self._has_room():
            self._reset(packet, "overloaded", 1000)
            return
        target = self._generations.current.manifest.targets[self.target]
        forward = packet.forward
        owned: Owned

        def send(payload: bytes) -> None:
            self._answer(owned, payload)

        try:
            flow = self._open_flow(service, target, send)
        except OSError as error:
            logger.error("agent: Flow not opened: %s.", error.strerror)
            self._reset(packet, "overloaded", 1000)
            return
        owned = Owned(
            packet.flow,
            forward.address,
            forward.caller,
            flow,
            packet.balancer,
            read_wall_clock(),
            now,
        )
        self._flows[packet.flow] = owned
        record = Record(
            packet.flow,
            unpack_address(forward.address),
            service.id,
            owned.created,
        )
        self._registrar.add(record)
        self.counts["flows_created"] += 1
        self._group.start_soon(self._serve, owned)
        flow.deliver(forward.payload, now)

    async def _serve(self, owned: Owned) -> None:
        try:
            with owned.scope:
                await owned.flow.run()
        except Exception:
            logger.exception(
                "agent: Flow of service %s failed.", owned.flow.service.id
            )
            self.counts["flows_failed"] += 1
        finally:
            if self._flows.get(owned.id) is owned:
                del self._flows[owned.id]
                self._registrar.remove(owned.id)
                self._ended.set()

    def _deliver(self, owned: Owned, packet: Packet, now: float) -> None:
        forward = packet.forward
        service = owned.flow.service
        if forward.service_id != service.id:
            if service.first_packet.accepts(forward.payload):
                self._refuse_other_service(owned, packet, now)
                return
            self._hint(packet, service.id, self.target, self._peers.address)
        elif forward.owner != self.target or forward.hops > 0:
            self._hint(packet, service.id, self.target, self._peers.address)
        owned.balancer = packet.balancer
        owned.heard = now
        owned.flow.deliver(forward.payload, now)

    def _refuse_other_service(
        self, owned: Owned, packet: Packet, now: float
    ) -> None:
        """Refuses a start packet for another service on the same address.

        It may be a late copy of this flow's own start packet, or a new flow
        from the same caller address after the service address moved.
        """
        self.counts["other_service"] += 1
        if now - owned.heard < UNSETTLED_S:
            return
        owned.scope.cancel()
        self._reset(packet, "moved", 100)

    def _answer(self, owned: Owned, payload: bytes) -> None:
        now = anyio.current_time()
        balancer = self._choose_balancer(owned.balancer, now)
        message = Answer(
            owned.flow.service.id,
            owned.address,
            self.target,
            owned.caller,
            payload,
        )
        self._peers.send(message, balancer, now)

    def _choose_balancer(self, last: Address, now: float) -> Address:
        """Returns the flow's last balancer, or another if that one is gone."""
        peer = self._peers.find(last)
        if not peer.draining and not peer.is_suspected(now):
            return last
        best, heard = last, 0.0
        for address, when in self._balancers.items():
            other = self._peers.find(address)
            if other.draining or other.is_suspected(now):
                continue
            if when > heard:
                best, heard = address, when
        return best

    def _hint(
        self, packet: Packet, service_id: str, owner: str, agent: Address
    ) -> None:
        message = Hint(
            service_id,
            packet.forward.address,
            packet.forward.caller,
            owner,
            pack_address(agent),
        )
        self._peers.send(message, packet.balancer)

    def _reset(self, packet: Packet, reason: str, retry_after: int) -> None:
        self.counts[f"reset_{reason}"] += 1
        message = Reset(
            packet.forward.address,
            packet.forward.caller,
            reason,
            retry_after,
            quote(packet.forward.payload),
        )
        self._peers.send(message, packet.balancer)

    # Directory.

    def _handle_claim(self, claim: Any, sender: Address, now: float) -> None:
        owner, agent, service_id = self._find_owner(claim.flow, now)
        if owner is None and claim.starts:
            pending = self._pending.get(claim.flow)
            if pending is not None and _beats(pending.claim, claim):
                owner, agent = self.target, self._peers.address
            else:
                self._directory.grant(
                    claim.flow, claim.claimant, sender, None, now
                )
        if owner == claim.claimant:
            owner = None
        packed = pack_address(agent) if owner is not None else None
        reply = ClaimReply(claim.token, owner, packed, service_id)
        self._peers.send(reply, sender)

    def _find_owner(
        self, flow: FlowId, now: float
    ) -> tuple[TargetId | None, Address | None, str | None]:
        owned = self._flows.get(flow)
        if owned is not None:
            address = self._peers.address
            return self.target, address, owned.flow.service.id
        entry = self._directory.find(flow, now)
        if entry is not None and entry.owner != self.target:
            return entry.owner, entry.agent, entry.service_id
        return None, None, None

    def _handle_register(
        self, register: Any, sender: Address, now: float
    ) -> None:
        agent = unpack_address(register.agent)
        for record in register.flows:
            verdict, entry = self._directory.register(
                record.flow,
                register.owner,
                agent,
                register.service_id,
                record.created,
                now,
            )
            if verdict is Verdict.CONFLICT:
                self.counts["conflicts"] += 1
                release = Release(record.flow, entry.owner)
                self._peers.send(release, entry.agent)
        for flow in register.gone:
            self._directory.release(flow, register.owner)
        self._note_load(sender, register.owned, now)
        reply = RegisterReply(register.token, self.count_flows())
        self._peers.send(reply, sender)

    def _handle_release(
        self, release: Any, sender: Address, now: float
    ) -> None:
        if release.owner != self.target:
            self._directory.release(release.flow, release.owner)
            return
        owned = self._flows.get(release.flow)
        if owned is not None:
            self.counts["released"] += 1
            owned.flow.drain()
            if owned.flow.open_requests == 0:
                owned.scope.cancel()

    # Upkeep.

    def _note_load(self, agent: Address, owned: int, now: float) -> None:
        self._loads[agent] = owned

    def _note_pause(self, now: float) -> None:
        self._unsettled_until = now + UNSETTLED_S
        self._registrar.refresh()

    def _note_version(self, version: Version) -> None:
        self._homes_changed.set()

    async def _follow_versions(self) -> None:
        while True:
            await self._homes_changed.wait()
            self._homes_changed = anyio.Event()
            await self._registrar.check_homes()

    async def _keep_registered(self) -> None:
        refreshed = anyio.current_time()
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            if now - refreshed > REFRESH_S:
                refreshed = now
                self._registrar.refresh()
                self._directory.expire(now)
            self._registrar.flush(now)


def _beats(mine: Any, other: Any) -> bool:
    """Returns whether my claim goes before another one for the same flow."""
    if mine.generation != other.generation:
        return mine.generation > other.generation
    return mine.rank < other.rank
