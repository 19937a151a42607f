"""Ownership: finds the owner of a packet's flow, or creates the flow."""

from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jujuberun.balancer_replies import Replies
from jujuberun.candidates import FlowView, FlowViews
from jujuberun.claims import Claims
from jujuberun.containment.units import contain_errors
from jujuberun.directory import Directory, OwnerEntry, RegistrationOutcome
from jujuberun.early_packets import MAX_PACKETS_PER_FLOW, EarlyPackets
from jujuberun.flow_packet import FlowHost, FlowLookup, FlowPacket
from jujuberun.generations import Generations
from jujuberun.ids import Address, FlowId, TargetId
from jujuberun.peers import Peers, PeerState
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
UNSETTLED_S = 3.0  # after a start or pause, when others may know more owners
YOUNG_FLOW_MS = 3000  # until this age, the start packet may be in transit
_MAX_LOOKUPS = 10_000


class Ownership:
    """Keeps the directory of flow owners and routes packets to them."""

    def __init__(
        self,
        host: FlowHost,
        target: TargetId,
        peers: Peers,
        generations: Generations,
        replies: Replies,
        counts: Counter[str],
    ) -> None:
        self.directory = Directory()
        self.views = FlowViews(generations, peers)
        self._host = host
        self._target = target
        self._peers = peers
        self._generations = generations
        self._replies = replies
        self._counts = counts
        self._claims = Claims(peers)
        self._lookups: dict[FlowId, FlowLookup] = {}
        self._early = EarlyPackets(self.route)
        self._unsettled_until = 0.0
        self._group: TaskGroup | None = None
        peers.register(Claim, self._handle_claim)
        peers.register(Register, self._handle_register)
        peers.register(Release, self._handle_release)

    def start(self, group: TaskGroup, now: float) -> None:
        """Starts unsettled: other agents may know owners from a former run.

        Args:
            group: task group of the owner lookups.
            now: seconds, monotonic.
        """
        self._group = group
        self.unsettle(now)

    def unsettle(self, now: float) -> None:
        """For UNSETTLED_S, asks other agents before it creates flows."""
        self._unsettled_until = now + UNSETTLED_S

    def is_unsettled(self, now: float) -> bool:
        """Returns whether other agents may know owners unknown here.

        Args:
            now: seconds, monotonic.
        """
        return now < self._unsettled_until

    def route(self, packet: FlowPacket, now: float) -> None:
        """Delivers, forwards, queues, resets or drops a packet.

        Args:
            packet: a packet that a balancer or another agent sent here.
            now: seconds, monotonic.
        """
        if self._host.deliver(packet, now):
            return
        lookup = self._lookups.get(packet.flow)
        if lookup is not None:
            if len(lookup.packets) < MAX_PACKETS_PER_FLOW:
                lookup.packets.append(packet)
            return
        if self._early.add(packet):
            return
        view = self.views.build(
            packet.forward, packet.flow, self._peers.address, now
        )
        if view is None:
            self._counts["no_service"] += 1
            if self._generations.current is not None:
                self._replies.send_reset(packet, "no-service", 1000)
            return
        entry = self.directory.find(packet.flow, now)
        if entry is not None and entry.owner == self._target:
            self.directory.release(packet.flow, self._target)
            entry = None
        if entry is not None and self._is_assigned_by(packet, entry):
            # This agent granted a claim to the flow, and the claimant then
            # chose this agent as owner. Sending the packet back would loop.
            self.directory.release(packet.flow, entry.owner)
            entry = None
        if entry is not None:
            self._forward_to_owner(packet, view, entry, now)
            return
        self._route_unowned(packet, view, now)

    def _is_assigned_by(self, packet: FlowPacket, entry: OwnerEntry) -> bool:
        forward = packet.forward
        assigned = forward.hops > 0 and forward.owner == self._target
        return assigned and packet.sender == entry.agent

    def _route_unowned(
        self, packet: FlowPacket, view: FlowView, now: float
    ) -> None:
        """Handles a packet of a flow whose owner is unknown here."""
        forward = packet.forward
        if forward.hops > 0 and forward.owner == self._target:
            self._take_assignment(packet, view, now)
            return
        passed = forward.passed or ()
        earlier = view.candidates
        if self._target in earlier:
            earlier = earlier[: earlier.index(self._target)]
        for name, agent in zip(earlier, view.agents, strict=False):
            if name in passed or self._peers.find(agent).is_suspected(now):
                continue
            self._forward(packet, view, agent, None, now)
            return
        if self._target not in view.candidates:
            self._replies.send_reset(packet, "no-owner", 1000)
            return
        agents_to_ask = self._list_agents_to_ask(view, now)
        if agents_to_ask:
            self._start_lookup(packet, view, agents_to_ask)
        else:
            self._admit(packet, view, now)

    def _list_agents_to_ask(
        self, view: FlowView, now: float
    ) -> tuple[Address, ...]:
        """Returns the agents to ask before a flow is created here."""
        found = list(view.former_homes)
        rank = view.candidates.index(self._target)
        others = view.agents[:rank]
        if self.is_unsettled(now):
            others = view.agents[:2]
        found.extend(others)
        return tuple(
            agent
            for agent in dict.fromkeys(found)
            if agent != self._peers.address
            and self._peers.find(agent).get_state(now) is not PeerState.GONE
        )

    def _start_lookup(
        self, packet: FlowPacket, view: FlowView, agents: tuple[Address, ...]
    ) -> None:
        if len(self._lookups) >= _MAX_LOOKUPS:
            self._replies.send_reset(packet, "overloaded", 1000)
            return
        starts = view.service.first_packet.accepts(packet.forward.payload)
        rank = view.candidates.index(self._target)
        claim = Claim(
            packet.flow, self._target, view.generation, rank, starts, 0
        )
        lookup = FlowLookup(claim, [packet])
        self._lookups[packet.flow] = lookup
        self._group.start_soon(self._look_up_owner, lookup, view, agents)

    async def _look_up_owner(
        self, lookup: FlowLookup, view: FlowView, agents: tuple[Address, ...]
    ) -> None:
        """Asks the agents for the owner, then routes the waiting packets."""
        flow = lookup.claim.flow
        try:
            with contain_errors("lookup of an owner", self._counts):
                await self._ask_agents(lookup, agents)
        finally:
            del self._lookups[flow]
        now = anyio.current_time()
        for packet in lookup.packets:
            with contain_errors("packet after a lookup", self._counts):
                if self._is_covered_by_lookup(packet, lookup, view, now):
                    self._admit(packet, view, now)
                else:
                    self.route(packet, now)

    async def _ask_agents(
        self, lookup: FlowLookup, agents: tuple[Address, ...]
    ) -> None:
        """Asks the agents for the owner of a flow until one names it."""
        for agent in agents:
            reply = await self._claims.ask(agent, lookup.claim)
            if reply is None or reply.owner is None:
                continue
            if reply.owner == self._target:
                continue
            self.directory.record_owner(
                lookup.claim.flow,
                reply.owner,
                unpack_address(reply.owner_agent),
                reply.service_id,
                anyio.current_time(),
            )
            return

    def _is_covered_by_lookup(
        self, packet: FlowPacket, lookup: FlowLookup, view: FlowView, now: float
    ) -> bool:
        """Returns whether the lookup suffices to admit or reset a packet."""
        if self._host.owns(packet.flow) or packet.flow in self._lookups:
            return False
        if self.directory.find(packet.flow, now) is not None:
            return False
        if lookup.claim.starts:
            return True
        return not view.service.first_packet.accepts(packet.forward.payload)

    def _admit(self, packet: FlowPacket, view: FlowView, now: float) -> None:
        """Creates or resets the flow of a packet that no other agent owns."""
        forward = packet.forward
        if not view.service.first_packet.accepts(forward.payload):
            if self.is_unsettled(now):
                self._counts["dropped_unsettled"] += 1
                return
            rule = view.service.first_packet
            if not self._early.hold(packet, rule, self._group):
                self._replies.send_reset(packet, "unknown-flow", 0)
            return
        if view.is_retired or forward.service_id != view.service.id:
            self._replies.send_reset(packet, "moved", 100)
            return
        owner = self._host.choose_owner(view, tuple(forward.passed or ()), now)
        if owner is None:
            self._replies.send_reset(packet, "overloaded", 1000)
            return
        if owner == self._target:
            self._host.create(packet, view.service, now)
            return
        agent = self._generations.current.manifest.targets[owner].agent
        created = read_wall_clock()
        self.directory.register(
            packet.flow, owner, agent, view.service.id, created, now
        )
        self._forward(packet, view, agent, owner, now)

    def _take_assignment(
        self, packet: FlowPacket, view: FlowView, now: float
    ) -> None:
        """Handles a packet of a flow that its home assigned to this agent."""
        forward = packet.forward
        version = self._generations.current
        service = version.manifest.services.get(forward.service_id)
        starts = view.service.first_packet.accepts(forward.payload)
        if starts and service is not None and self._host.has_room():
            self._host.create(packet, service, now)
            return
        if starts:
            self._peers.send(Release(packet.flow, self._target), packet.sender)
        # Without the start packet, only the home can tell whether the flow is
        # lost or its start packet is still in transit.
        self._forward(packet, view, packet.sender, None, now)

    def _forward_to_owner(
        self, packet: FlowPacket, view: FlowView, entry: OwnerEntry, now: float
    ) -> None:
        forward = packet.forward
        starts = view.service.first_packet.accepts(forward.payload)
        peer = self._peers.find(entry.agent)
        gone = peer.get_state(now) is PeerState.GONE
        returned = packet.sender == entry.agent
        young = read_wall_clock() - entry.created < YOUNG_FLOW_MS
        if starts and gone:
            self.directory.release(packet.flow, entry.owner)
            self._route_unowned(packet, view, now)
            return
        if starts and entry.owner in (forward.passed or ()) and not returned:
            self._counts["loop"] += 1
            return
        if not starts and (gone or returned):
            if returned and young:
                self._counts["dropped_young"] += 1
                return
            self.directory.release(packet.flow, entry.owner)
            self._replies.send_reset(packet, "unknown-flow", 0)
            return
        self._forward(packet, view, entry.agent, entry.owner, now, entry)
        if not starts and entry.service_id is not None:
            self._replies.send_hint(
                packet, entry.service_id, entry.owner, entry.agent
            )

    def _forward(
        self,
        packet: FlowPacket,
        view: FlowView,
        agent: Address,
        owner: TargetId | None,
        now: float,
        entry: OwnerEntry | None = None,
    ) -> None:
        """Forwards a packet to another agent, unless it took MAX_HOPS hops."""
        forward = packet.forward
        if forward.hops >= MAX_HOPS:
            self._counts["hops"] += 1
            if owner is None:
                self._replies.send_reset(packet, "no-owner", 1000)
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
            lookup = self._lookups.get(claim.flow)
            if lookup is not None and _precedes(lookup.claim, claim):
                owner, agent = self._target, self._peers.address
            else:
                self.directory.record_claim(
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
            outcome, entry = self.directory.register(
                record.flow,
                register.owner,
                agent,
                register.service_id,
                record.created,
                now,
            )
            if outcome is RegistrationOutcome.CONFLICT:
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


def _precedes(mine: Any, other: Any) -> bool:
    """Returns whether my claim to a flow takes precedence over another."""
    if mine.generation != other.generation:
        return mine.generation > other.generation
    return mine.rank < other.rank
