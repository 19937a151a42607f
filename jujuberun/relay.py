"""Balancer of packet flows: carries callers' packets to agents, unchanged."""

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
    find_caller,
    find_copy_delay,
    find_service,
)
from jujuberun.generations import Generations, Version
from jujuberun.ids import Address, DomainId, TargetId
from jujuberun.manifest import Service
from jujuberun.members import Members, VmList
from jujuberun.offers import Offers
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.port import Port
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import Candidate, Steering
from jujuberun.wire import pack_address

IDLE_S = 20.0  # a flow without packets is looked up anew after this time
MAINTAIN_S = 1.0
DEFAULT_OBJECTIVE_S = 0.5  # of services that state none
DRAIN_POLL_S = 0.05
# Targets that are asked at once for the flow of a packet. One after the other,
# 35 targets took more than 2 s where balancers were busy, and callers' packets
# reached no target of theirs (tsa-yul-grown, trouble-1).
ASK_TARGETS = 6
# Two failed readiness checks, half a second apart, take a balancer out of
# rotation; before that, silence does not mean that no packets follow.
READINESS_LAG_S = 1.2


class Relay:
    """Part "relay": balancer of flows that targets end themselves.

    The target that holds a flow is the only state of record. What this part
    knows of a flow is a cache: without it a packet is sent to the targets
    that may hold the flow, one after the other, and those that do not return
    it.
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
            port: takes callers' packets, and those that targets returned.
            codec: format of the packets.
            peers: messages of agents.
            generations: holds the services.
            members: holds the registered targets.
            domain: own failure domain.
            capacity: flows that are held at most.
        """
        self.counts: Counter[str] = Counter()
        self.used = 0.0
        self._log = DecisionLog("relay")
        self._port = PacketPort(port, codec)
        self._generations = generations
        self._members = members
        self._steering = Steering(domain)
        self._flows = FlowTable(capacity)
        self._version: Version | None = None
        self._services = ServiceMap()
        self._offers = Offers(
            self._port,
            self._flows,
            self._steering,
            peers,
            generations,
            members,
            self.counts,
            self._log,
        )
        peers.subscribe_pauses(lambda now: self._steering.note_pause())

    @property
    def is_ready(self) -> bool:
        """Whether services and targets are known, so that flows can begin."""
        return self._version is not None and bool(self._members.text)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Carries packets until cancelled."""
        now = anyio.current_time()
        self._generations.subscribe(
            lambda version: self.take_version(version, anyio.current_time())
        )
        self._members.subscribe(
            lambda vms: self.take_targets(vms, anyio.current_time())
        )
        self.used = now
        async with anyio.create_task_group() as group:
            group.start_soon(self._maintain)
            group.start_soon(self._offers.follow)
            task_status.started()
            await self._port.serve(self.carry)

    async def drain(self, quiet: float, limit: float) -> None:
        """Carries packets until none came for a while.

        Args:
            quiet: seconds without a packet that end the wait.
            limit: seconds after which it ends in any case.
        """
        begun = anyio.current_time()
        while True:
            await anyio.sleep(DRAIN_POLL_S)
            now = anyio.current_time()
            waited = now - begun
            is_quiet = now - self.used > quiet and waited > READINESS_LAG_S
            if is_quiet or waited > limit:
                return

    def carry(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Carries packets of callers, and those that targets returned.

        Args:
            batch: packets with their senders.
            now: seconds, monotonic.
        """
        for data, sender in batch:
            frame = self._port.read(data)
            if frame is None:
                self.counts["malformed"] += 1
            elif frame.bounced:
                self._carry_bounced(frame, data, sender, now)
            elif frame.starts:
                self.used = now
                self._start(frame, data, now)
            else:
                self.used = now
                self._continue(frame, data, now)

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Explains where a new flow of a service would go now.

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
            "start_times": self._offers.start_times,
            "counts": dict(self.counts),
        }

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
        """Offers starts anew that no agent confirmed in time."""
        self._offers.check(now)

    def take_targets(self, vm_list: VmList, now: float) -> None:
        """Takes a new list of registered targets."""
        self._steering.update(vm_list, now)

    def take_version(self, version: Version, now: float) -> None:
        """Takes the manifest that has come into force."""
        self._version = version
        self._services.update(version.manifest, now)

    def _start(self, frame: Frame, data: bytes, now: float) -> None:
        entry = self._flows.find(frame.key, now)
        if entry is not None and entry.sequence == frame.sequence:
            self._offers.repeat(entry, frame, data, now)
            return
        service = self._services.find(find_service(frame.key))
        if service is None or not self.is_ready:
            self._refuse_unknown(frame, now)
            return
        entry = FlowEntry(
            frame.key, service.id, service.pools, now, now, data, frame.sequence
        )
        entry.objective = service.objective or DEFAULT_OBJECTIVE_S
        entry.delay = find_copy_delay(frame.copy)
        self._flows.add(entry)
        self.counts["starts"] += 1
        self._offers.offer(entry, now)

    def _refuse_unknown(self, frame: Frame, now: float) -> None:
        """Answers a packet for an address without a service."""
        if not self.is_ready:
            # Nothing is known yet; the caller sends its packet again.
            self.counts["dropped_unready"] += 1
            return
        self.counts["reset_no_service"] += 1
        self._log.write(
            "start refused: no service at the address",
            now,
            flow=format_address(find_caller(frame.key)),
            address=format_address(find_service(frame.key)),
            generation=self._version.manifest.generation,
            outcome="reset, not run",
        )
        self._port.send_reset(frame)

    def _continue(self, frame: Frame, data: bytes, now: float) -> None:
        """Carries a packet of a flow that has begun."""
        entry = self._flows.find(frame.key, now)
        if entry is None:
            entry = self._adopt(frame, now)
            if entry is None:
                return
        entry.forget_refusals(now)
        owner = self._find_owner(entry, frame)
        if owner is not None:
            self._port.send_later(data, owner)
            return
        asked = entry.list_asked()
        for target in asked:
            self._send_to(target, data)
        # A packet that is sent again has reached no target that holds its
        # flow, or was lost: more of them are asked.
        if entry.is_repeated(frame) or not asked:
            self._ask_more(entry, frame, data, now)

    def _adopt(self, frame: Frame, now: float) -> FlowEntry | None:
        """Makes an entry for a flow that began at another balancer."""
        address = find_service(frame.key)
        service = self._services.find(address)
        if service is None:
            # Its route was removed, or this process does not know it yet.
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
            flow=format_address(find_caller(frame.key)),
            service=service.id,
        )
        return entry

    def _find_owner(self, entry: FlowEntry, frame: Frame) -> Candidate | None:
        """Returns the target that is known to hold a flow."""
        owner = entry.choose_owner(frame)
        return None if owner is None else self._steering.find(owner)

    def _send_to(self, target: TargetId, data: bytes) -> None:
        candidate = self._steering.find(target)
        if candidate is not None:
            self._port.send_later(data, candidate)

    def _ask_more(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a packet to the next targets that may hold its flow.

        A target that does not hold it returns it, so that copies do no harm.
        """
        former = self._services.list_former_pools(find_service(entry.key))
        pools = dict.fromkeys((*entry.pool_ids, *former))
        closed = entry.refused.union(entry.asked)
        sent = 0
        for candidate in self._steering.list_holders(pools, entry.key, now):
            if candidate.id in closed:
                continue
            entry.asked.append(candidate.id)
            self._port.send_later(data, candidate)
            sent += 1
            if sent == ASK_TARGETS:
                return
        if not sent and not entry.list_asked():
            self._note_lost(entry, frame, now)

    def _note_lost(self, entry: FlowEntry, frame: Frame, now: float) -> None:
        """Answers a packet whose flow no target holds any more."""
        caller = format_address(find_caller(entry.key))
        if not entry.is_accepted:
            # It began elsewhere. Its target may be one that is unknown here,
            # so a reset could cut a flow that lives.
            self.counts["dropped_no_owner"] += 1
            self._log.write(
                "packet dropped: no target holds its flow",
                now,
                flow=caller,
                service=entry.service,
                refused=sorted(entry.refused),
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

    def _carry_bounced(
        self, frame: Frame, data: bytes, sender: Address, now: float
    ) -> None:
        """Sends a packet that a target returned to another target."""
        entry = self._flows.find(frame.key, now)
        candidates = self._steering.find_by_agent(sender)
        if entry is None or not candidates:
            self.counts["bounced_unknown"] += 1
            return
        for candidate in candidates:
            entry.note_refusal(candidate.id, now)
        if not frame.starts:
            self.counts["bounced"] += 1
            self._carry_returned(entry, frame, data, now)
            return
        self.counts["starts_bounced"] += 1
        if entry.is_accepted or entry.start is None:
            return
        entry.offers = [
            o for o in entry.offers if o.target not in entry.refused
        ]
        if not entry.offers:
            self._offers.offer(entry, now)

    def _carry_returned(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a later packet that a target returned to other targets."""
        owner = self._find_owner(entry, frame)
        if owner is not None:
            self._port.send_later(data, owner)
            return
        if not entry.list_asked():
            # Others that were asked have copies of their own.
            self._ask_more(entry, frame, data, now)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTAIN_S)
            now = anyio.current_time()
            self._flows.expire(IDLE_S, now)
            self._services.expire(now)
