"""Ownership: finds the owner of any packet's flow, or creates the flow."""

from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jujuberun.candidates import View, Views
from jujuberun.claims import Claims
from jujuberun.directory import Directory, Entry, Verdict
from jujuberun.early import QUEUE_PACKETS, EarlyPackets
from jujuberun.generations import Generations
from jujuberun.ids import Address, FlowId, TargetId
from jujuberun.packet import Host, Packet, Resolution
from jujuberun.peers import Peers, PeerState
from jujuberun.replies import Replies
from jujuberun.wire import (
    Claim,
    ClaimReply,
    Forward,
    Register,
    RegisterReply,
    Release,
    pack_address,
    read_wall_clock,
    unpack_address,
)

MAX_HOPS = 4
UNSETTLED_S = 3.0  # after a start or a pause, others may know more
YOUNG_MS = 3000  # a start packet may still be on its way to the owner
_MAX_PENDING = 10_000  # flows whose owner is sought


class Ownership:
    """Keeps the directory and routes packets of flows not owned here."""

    def __init__(
        self,
        host: Host,
        target: TargetId,
        peers: Peers,
        generations: Generations,
        replies: Replies,
        counts: Counter[str],
    ) -> None:
        self.directory = Directory()
        self.views = Views(generations, peers)
        self._host = host
        self._target = target
        self._peers = peers
        self._generations = generations
        self._replies = replies
        self._counts = counts
        self._claims = Claims(peers)
        self._pending: dict[FlowId, Resolution] = {}
        self._early = EarlyPackets(self.place)
        self._unsettled_until = 0.0
        self._group: TaskGroup | None = None
        peers.register(Claim, self._handle_claim)
        peers.register(Register, self._handle_register)
        peers.register(Release, self._handle_release)

    def start(self, group: TaskGroup, now: float) -> None:
        """Begins to serve; others may know owners that a former run knew.

        Args:
            group: takes the tasks that seek owners.
            now: seconds, monotonic.
        """
        self._group = group
        self.unsettle(now)

    def unsettle(self, now: float) -> None:
        """Asks others before flows are created, after a start or a pause."""
        self._unsettled_until = now + UNSETTLED_S

    def is_unsettled(self, now: float) -> bool:
        """Returns whether other agents may know owners that this one forgot.

        Args:
            now: seconds, monotonic.
        """
        return now < self._unsettled_until

    def place(self, packet: Packet, now: float) -> None:
        """Delivers a packet, hands it on, or queues it.

        Args:
            packet: any packet that reached this agent.
            now: seconds, monotonic.
        """
        if self._host.deliver(packet, now):
            return
        resolution = self._pending.get(packet.flow)
        if resolution is not None:
            if len(resolution.packets) < QUEUE_PACKETS:
                resolution.packets.append(packet)
            return
        if self._early.add(packet):
            return
        view = self.views.build(
            packet.forward, packet.flow, self._peers.address, now
        )
        if view is None:
            self._counts["no_service"] += 1
            if self._generations.current is not None:
                self._replies.reset(packet, "no-service", 1000)
            return
        entry = self.directory.find(packet.flow, now)
        if entry is not None and entry.owner == self._target:
            self.directory.release(packet.flow, self._target)
            entry = None
        if entry is not None and self._is_assigned_by(packet, entry):
            # The claimant that this agent granted the flow to chose this
            # agent as owner; sending the packet back would never end.
            self.directory.release(packet.flow, entry.owner)
            entry = None
        if entry is not None:
            self._hand_to_owner(packet, view, entry, now)
            return
        self._route(packet, view, now)

    def _is_assigned_by(self, packet: Packet, entry: Entry) -> bool:
        forward = packet.forward
        assigned = forward.hops > 0 and forward.owner == self._target
        return assigned and packet.sender == entry.agent

    def _route(self, packet: Packet, view: View, now: float) -> None:
        """Handles a packet of a flow that nobody is known to own."""
        forward = packet.forward
        if forward.hops > 0 and forward.owner == self._target:
            self._take_assignment(packet, view, now)
            return
        passed = forward.passed or ()
        ahead = view.candidates
        if self._target in ahead:
            ahead = ahead[: ahead.index(self._target)]
        for name, agent in zip(ahead, view.agents, strict=False):
            if name in passed or self._peers.find(agent).is_suspected(now):
                continue
            self._hand_on(packet, view, agent, None, now)
            return
        if self._target not in view.candidates:
            self._replies.reset(packet, "no-owner", 1000)
            return
        authorities = self._find_authorities(view, now)
        if authorities:
            self._start_resolution(packet, view, authorities)
        else:
            self._decide(packet, view, now)

    def _find_authorities(self, view: View, now: float) -> tuple[Address, ...]:
        """Returns the agents to ask before a flow is created here."""
        found = list(view.former)
        rank = view.candidates.index(self._target)
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
            self._replies.reset(packet, "overloaded", 1000)
            return
        starts = view.service.first_packet.accepts(packet.forward.payload)
        rank = view.candidates.index(self._target)
        claim = Claim(
            packet.flow, self._target, view.generation, rank, starts, 0
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
                if reply.owner == self._target:
                    continue
                now = anyio.current_time()
                self.directory.learn(
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
                self.place(packet, now)

    def _is_decidable(
        self,
        packet: Packet,
        resolution: Resolution,
        view: View,
        now: float,
    ) -> bool:
        """Returns whether the answers of the others cover this packet."""
        if self._host.owns(packet.flow) or packet.flow in self._pending:
            return False
        if self.directory.find(packet.flow, now) is not None:
            return False
        if resolution.claim.starts:
            return True
        return not view.service.first_packet.accepts(packet.forward.payload)

    def _decide(self, packet: Packet, view: View, now: float) -> None:
        """Creates a flow or resets it; no other agent owns it."""
        forward = packet.forward
        if not view.service.first_packet.accepts(forward.payload):
            if self.is_unsettled(now):
                self._counts["dropped_unsettled"] += 1
                return
            rule = view.service.first_packet
            if not self._early.hold(packet, rule, self._group):
                self._replies.reset(packet, "unknown-flow", 0)
            return
        if view.retired or forward.service_id != view.service.id:
            self._replies.reset(packet, "moved", 100)
            return
        owner = self._host.choose_owner(view, tuple(forward.passed or ()), now)
        if owner is None:
            self._replies.reset(packet, "overloaded", 1000)
            return
        if owner == self._target:
            self._host.create(packet, view.service, now)
            return
        agent = self._generations.current.manifest.targets[owner].agent
        created = read_wall_clock()
        self.directory.register(
            packet.flow, owner, agent, view.service.id, created, now
        )
        self._hand_on(packet, view, agent, owner, now)

    def _take_assignment(self, packet: Packet, view: View, now: float) -> None:
        """Handles a packet that a home assigned to this agent."""
        forward = packet.forward
        version = self._generations.current
        service = version.manifest.services.get(forward.service_id)
        starts = view.service.first_packet.accepts(forward.payload)
        if starts and service is not None and self._host.has_room():
            self._host.create(packet, service, now)
            return
        if starts:
            self._peers.send(Release(packet.flow, self._target), packet.sender)
        # Without the start packet only the home can tell whether the flow is
        # lost or its start packet is still on its way.
        self._hand_on(packet, view, packet.sender, None, now)

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
            self.directory.release(packet.flow, entry.owner)
            self._route(packet, view, now)
            return
        if starts and entry.owner in (forward.passed or ()) and not returned:
            self._counts["loop"] += 1
            return
        if not starts and (gone or returned):
            if returned and young:
                self._counts["dropped_young"] += 1
                return
            self.directory.release(packet.flow, entry.owner)
            self._replies.reset(packet, "unknown-flow", 0)
            return
        self._hand_on(packet, view, entry.agent, entry.owner, now, entry)
        if not starts and entry.service_id is not None:
            self._replies.hint(
                packet, entry.service_id, entry.owner, entry.agent
            )

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
            self._counts["hops"] += 1
            if owner is None:
                self._replies.reset(packet, "no-owner", 1000)
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
            [*(forward.passed or ()), self._target],
            forward.caller,
            forward.payload,
        )
        self._counts["handed_on"] += 1
        self._peers.send(message, agent, now)

    def _handle_claim(self, claim: Any, sender: Address, now: float) -> None:
        owner, agent, service_id = self._find_owner(claim.flow, now)
        if owner is None and claim.starts:
            pending = self._pending.get(claim.flow)
            if pending is not None and _beats(pending.claim, claim):
                owner, agent = self._target, self._peers.address
            else:
                self.directory.grant(
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
        service_id = self._host.find_service_id(flow)
        if service_id is not None:
            return self._target, self._peers.address, service_id
        entry = self.directory.find(flow, now)
        if entry is not None and entry.owner != self._target:
            return entry.owner, entry.agent, entry.service_id
        return None, None, None

    def _handle_register(
        self, register: Any, sender: Address, now: float
    ) -> None:
        agent = unpack_address(register.agent)
        for record in register.flows:
            verdict, entry = self.directory.register(
                record.flow,
                register.owner,
                agent,
                register.service_id,
                record.created,
                now,
            )
            if verdict is Verdict.CONFLICT:
                self._counts["conflicts"] += 1
                release = Release(record.flow, entry.owner)
                self._peers.send(release, entry.agent)
        for flow in register.gone:
            self.directory.release(flow, register.owner)
        self._peers.send(RegisterReply(register.token), sender)

    def _handle_release(
        self, release: Any, sender: Address, now: float
    ) -> None:
        if release.owner != self._target:
            self.directory.release(release.flow, release.owner)
            return
        self._host.release(release.flow)


def _beats(mine: Any, other: Any) -> bool:
    """Returns whether my claim goes before another one for the same flow."""
    if mine.generation != other.generation:
        return mine.generation > other.generation
    return mine.rank < other.rank
