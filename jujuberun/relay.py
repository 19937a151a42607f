"""Balancer of packet flows: carries callers' packets to agents, unchanged."""

import heapq
import itertools
import math
from collections import Counter, deque
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.addresses import format_address
from jujuberun.decisions import DecisionLog
from jujuberun.durations import Durations
from jujuberun.flowtable import FlowEntry, FlowTable, Offer
from jujuberun.frames import (
    ROOM_ANY,
    Frame,
    FrameCodec,
    find_caller,
    find_copy_delay,
    find_service,
    make_mark,
    make_tag,
)
from jujuberun.generations import Generations, Version
from jujuberun.ids import Address, DomainId, PoolId, Protocol, TargetId
from jujuberun.manifest import Service
from jujuberun.members import Members, VmList
from jujuberun.peers import Peers
from jujuberun.port import Port
from jujuberun.steering import (
    OFFER_TIMEOUT_S,
    Candidate,
    Steering,
)
from jujuberun.wire import Accepted, Declined, pack_address

IDLE_S = 20.0  # a flow without packets is looked up anew after this time
MAINTAIN_S = 1.0
# A start that finds no place is offered again in this period. The time that a
# slot takes to become free is about as long.
HOLD_PERIOD_S = 0.03
HOLD_LIMIT_S = 0.8  # from its first packet here; then it queues in any case
MAX_FREE_TRIES = 3  # targets that are asked for a free slot
MAX_QUEUE_TRIES = 2  # targets that are then asked for a short queue
DEFAULT_OBJECTIVE_S = 0.5  # of services that state none
MAX_OFFERS = 4  # targets that a start is offered to in all
# A caller gives a start up after 1.4 s; an older one is not offered again.
START_LIFE_S = 1.3
DRAIN_POLL_S = 0.05
POOL_HISTORY_S = 60.0


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
        self._port = port
        self._codec = codec
        self._peers = peers
        self._generations = generations
        self._members = members
        self._steering = Steering(domain)
        self._flows = FlowTable(capacity)
        self._version: Version | None = None
        self._services: dict[Address, Service] = {}
        self._former_pools: dict[Address, dict[PoolId, float]] = {}
        self._pending: deque[tuple[float, FlowEntry, Offer]] = deque()
        self._held: list[tuple[float, int, FlowEntry]] = []
        self._ticket = itertools.count()
        self._offered = anyio.Event()
        self._start_times = Durations()
        self._tags: dict[PoolId, int] = {}
        peers.register(Accepted, self._handle_accepted)
        peers.register(Declined, self._handle_declined)
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
            group.start_soon(self.follow_offers)
            task_status.started()
            while True:
                batch = await self._port.receive()
                self.carry(batch, anyio.current_time())

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
            if now - max(self.used, begun) > quiet or now - begun > limit:
                return

    def carry(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Carries packets of callers, and those that targets returned.

        Args:
            batch: packets with their senders.
            now: seconds, monotonic.
        """
        for data, sender in batch:
            frame = self._codec.read_request(data)
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
        for address, service in self._services.items():
            if service.id == service_id:
                return self._explain(address, service, caller, now)
        return {"error": f"service {service_id!r} is not in the manifest"}

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns services, targets, flows and counts."""
        return {
            "services": len(self._services),
            "flows": len(self._flows),
            "targets": self._steering.describe(now),
            "start_times": self._start_times,
            "counts": dict(self.counts),
        }

    def _explain(
        self, address: Address, service: Service, caller: Address, now: float
    ) -> dict[str, Any]:
        key = pack_address(caller) + pack_address(address)
        chosen = self._steering.choose(service.pools, key, (), now)
        return {
            "service": service.id,
            "address": format_address(address),
            "generation": self._version.manifest.generation,
            "chosen": None if chosen is None else chosen.id,
            "reason": "least expected wait, then the own failure domain",
            "targets": self._steering.describe(now),
        }

    def take_targets(self, vm_list: VmList, now: float) -> None:
        """Takes a new list of registered targets."""
        self._steering.update(vm_list, now)

    def take_version(self, version: Version, now: float) -> None:
        """Takes the manifest that has come into force."""
        self._version = version
        services = {
            service.address: service
            for service in version.manifest.services.values()
            if service.protocol is Protocol.PACKET
        }
        for address, service in self._services.items():
            if services.get(address) == service:
                continue
            former = self._former_pools.setdefault(address, {})
            for share in service.pools:
                former[share.pool] = now
        self._services = services

    def _start(self, frame: Frame, data: bytes, now: float) -> None:
        entry = self._flows.find(frame.key, now)
        if entry is not None and entry.sequence == frame.sequence:
            self._repeat_start(entry, frame, data, now)
            return
        service = self._services.get(find_service(frame.key))
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
        self._offer(entry, now)

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
        self._send_reset(frame)

    def _repeat_start(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        """Sends a copy of a start that may have been lost on the way."""
        self.counts["start_copies"] += 1
        if entry.ended:
            self._send_reset(frame)
            return
        entry.start = data
        for offer in entry.offers:
            candidate = self._steering.find(offer.target)
            if offer.sequence is None or candidate is None:
                continue
            if not candidate.leaving and candidate.left is None:
                # It answered, but the answer has not reached the caller.
                self._send_start(entry, candidate, ROOM_ANY)
                return
        self._offer(entry, now)

    def _offer(self, entry: FlowEntry, now: float) -> None:
        """Offers a start to a target, or refuses it if there is none."""
        tried = {offer.target for offer in entry.offers}
        candidate, room = self._choose_target(entry, entry.refused | tried, now)
        if candidate is None or len(tried) >= MAX_OFFERS:
            self._give_up_start(entry, now)
            return
        if room is None:
            self._hold(entry, now)
            return
        offer = Offer(candidate.id, now)
        entry.offers.append(offer)
        self._steering.note_offer(candidate)
        self._send_start(entry, candidate, room)
        if not self._pending:
            self._offered.set()
        self._pending.append((now + OFFER_TIMEOUT_S, entry, offer))

    def _hold(self, entry: FlowEntry, now: float) -> None:
        """Offers a start again after HOLD_PERIOD_S."""
        self.counts["starts_held"] += 1
        self._log.write(
            "start held: no place at a target",
            now,
            flow=format_address(find_caller(entry.key)),
            service=entry.service,
            declined=len(entry.declined),
            left_ms=round(entry.compute_left(now) * 1000),
        )
        entry.declined.clear()
        entry.declines = 0
        due = now + HOLD_PERIOD_S
        heapq.heappush(self._held, (due, next(self._ticket), entry))
        self._offered.set()

    def _choose_target(
        self, entry: FlowEntry, closed: set[TargetId], now: float
    ) -> tuple[Candidate | None, int | None]:
        """Returns the target to offer a start to, and the room it must have.

        A target with a free slot comes first. A start that can still be
        answered in time may then queue. Any other one is held, without a
        room, until a slot is free or its time is over.
        """
        choose = self._steering.choose
        if entry.declines < MAX_FREE_TRIES:
            free = choose(entry.pools, entry.key, closed | entry.declined, now)
            if free is not None:
                return free, min(free.slots, ROOM_ANY - 1)
        queue = choose(entry.pools, entry.key, closed, now)
        if queue is None:
            queue = choose(entry.pools, entry.key, closed, now, trust_all=True)
        if queue is None or now - entry.begun > HOLD_LIMIT_S:
            return queue, ROOM_ANY
        room = self._steering.compute_room(queue, entry.compute_left(now))
        tries = MAX_FREE_TRIES + MAX_QUEUE_TRIES
        if room > queue.slots and entry.declines < tries:
            return queue, min(room, ROOM_ANY - 1)
        return queue, None

    def _send_start(
        self, entry: FlowEntry, candidate: Candidate, room: int
    ) -> None:
        mark = make_mark(self._find_tag(candidate.pool), candidate.slots, room)
        data = self._codec.set_mark(entry.start, mark)
        self._port.send(data, candidate.agent)

    def _give_up_start(self, entry: FlowEntry, now: float) -> None:
        """Refuses a start when every target has refused it.

        While a target may still accept an offer, the caller is told nothing:
        a refusal has to be true.
        """
        if any(o.target not in entry.refused for o in entry.offers):
            return
        if entry.start is None or entry.ended:
            return
        frame = self._codec.read_request(entry.start)
        if frame is None or (frame.copy and not entry.offers):
            return
        entry.ended = True
        self.counts["reset_no_target"] += 1
        self._log.write(
            "start refused: every target returned it",
            now,
            flow=format_address(find_caller(entry.key)),
            service=entry.service,
            refused=sorted(entry.refused),
            targets=self._members.position,
            after_ms=round((now - entry.begun) * 1000),
            outcome="reset, not run",
        )
        self._send_reset(frame)

    def _continue(self, frame: Frame, data: bytes, now: float) -> None:
        """Carries a packet of a flow that has begun."""
        entry = self._flows.find(frame.key, now)
        if entry is None:
            entry = self._adopt(frame, now)
            if entry is None:
                return
        entry.forget_refusals(now)
        self._send_on(entry, frame, data, now)

    def _adopt(self, frame: Frame, now: float) -> FlowEntry | None:
        """Makes an entry for a flow that began at another balancer."""
        address = find_service(frame.key)
        service = self._services.get(address)
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

    def _send_on(
        self, entry: FlowEntry, frame: Frame, data: bytes, now: float
    ) -> None:
        owner = entry.choose_owner(frame)
        candidate = None if owner is None else self._steering.find(owner)
        if candidate is None:
            candidate = self._search(entry, now)
        if candidate is None:
            self._note_lost(entry, frame, now)
            return
        tag = self._find_tag(candidate.pool)
        mark = make_mark(tag, candidate.slots, ROOM_ANY)
        self._port.send(self._codec.set_mark(data, mark), candidate.agent)

    def _search(self, entry: FlowEntry, now: float) -> Candidate | None:
        """Returns the likeliest target that has not returned a packet."""
        pools = dict.fromkeys(entry.pool_ids)
        pools.update(self._former_pools.get(find_service(entry.key), {}))
        for candidate in self._steering.list_holders(pools, entry.key, now):
            if candidate.id not in entry.refused:
                return candidate
        return None

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
        self._send_reset(frame)

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
            self._send_on(entry, frame, data, now)
            return
        self.counts["starts_bounced"] += 1
        if entry.is_accepted or entry.start is None:
            return
        entry.offers = [
            o for o in entry.offers if o.target not in entry.refused
        ]
        if not entry.offers:
            self._offer(entry, now)

    def _handle_accepted(
        self, accepted: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(accepted.key, now)
        candidate = self._note_report(accepted, entry, sender, now)
        if entry is None or candidate is None:
            return
        offer = entry.find_offer(candidate.id)
        if offer is None:
            offer = Offer(candidate.id, now)
            entry.offers.append(offer)
        if offer.sequence is None:
            self._start_times.add(now - entry.begun)
            self._log.write(
                "start accepted",
                now,
                flow=format_address(find_caller(entry.key)),
                service=entry.service,
                target=candidate.id,
                busy=accepted.busy,
                offers=len(entry.offers),
                declined=len(entry.declined),
                after_ms=round((now - entry.begun) * 1000),
                delay_ms=round(entry.delay * 1000),
                generation=self._version.manifest.generation,
                targets=self._members.position,
            )
        offer.sequence = accepted.sequence
        entry.refused.discard(candidate.id)

    def _handle_declined(
        self, declined: Any, sender: Address, now: float
    ) -> None:
        entry = self._flows.find(declined.key, now)
        candidate = self._note_report(declined, entry, sender, now)
        if entry is None or candidate is None:
            return
        self.counts["declined"] += 1
        entry.offers = [
            o
            for o in entry.offers
            if o.target != candidate.id or o.sequence is not None
        ]
        if declined.draining:
            entry.refused.add(candidate.id)
        else:
            entry.declined.add(candidate.id)
            entry.declines += 1
        if entry.start is None or entry.is_accepted:
            return
        if not any(not offer.missed for offer in entry.offers):
            self._offer(entry, now)

    def _note_report(
        self,
        message: Any,
        entry: FlowEntry | None,
        sender: Address,
        now: float,
    ) -> Candidate | None:
        """Takes load from a message of an agent; returns its target."""
        agent = (sender[0], self._port.address[1])
        candidates = self._steering.find_by_agent(agent)
        if not candidates:
            self.counts["reports_unknown"] += 1
            return None
        candidate = candidates[0]
        if entry is not None and len(candidates) > 1:
            offered = [c for c in candidates if entry.find_offer(c.id)]
            candidate = (offered or candidates)[0]
        service_time = message.service_time / 1e6
        self._steering.note_report(candidate, message.busy, service_time, now)
        return candidate

    async def follow_offers(self) -> None:
        """Checks each offer when its time is over, until cancelled."""
        while True:
            self._offered = anyio.Event()
            due = min(
                self._pending[0][0] if self._pending else math.inf,
                self._held[0][0] if self._held else math.inf,
            )
            with anyio.CancelScope(deadline=due):
                await self._offered.wait()
            self.check_offers(anyio.current_time())

    def check_offers(self, now: float) -> None:
        """Offers starts anew that no agent confirmed in time."""
        while self._pending and self._pending[0][0] <= now:
            _, entry, offer = self._pending.popleft()
            self._check_offer(entry, offer, now)
        while self._held and self._held[0][0] <= now:
            _, _, entry = heapq.heappop(self._held)
            if not entry.is_accepted and entry.start is not None:
                self._offer(entry, now)

    def _check_offer(self, entry: FlowEntry, offer: Offer, now: float) -> None:
        """Offers a start to another target unless this offer was answered."""
        if offer.sequence is not None or offer not in entry.offers:
            return
        offer.missed = True
        candidate = self._steering.find(offer.target)
        if candidate is not None and self._steering.note_miss(candidate, now):
            self.counts["suspicions"] += 1
            self._log.write(
                "target suspected: starts were not confirmed",
                now,
                target=candidate.id,
                heard_before_s=candidate.find_age(now),
                until_s=round(candidate.suspected_until - now, 3),
            )
        if entry.is_accepted or entry.start is None:
            return
        if now - entry.begun > START_LIFE_S:
            entry.start = None
            return
        self.counts["starts_offered_again"] += 1
        self._log.write(
            "start offered again: not confirmed in time",
            now,
            flow=format_address(find_caller(entry.key)),
            service=entry.service,
            target=offer.target,
            after_ms=round((now - offer.sent) * 1000),
        )
        self._offer(entry, now)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTAIN_S)
            now = anyio.current_time()
            self._flows.expire(IDLE_S, now)
            for address, pools in list(self._former_pools.items()):
                for pool, at in list(pools.items()):
                    if now - at > POOL_HISTORY_S:
                        del pools[pool]
                if not pools:
                    del self._former_pools[address]

    def _find_tag(self, pool: PoolId) -> int:
        tag = self._tags.get(pool)
        if tag is None:
            tag = self._tags[pool] = make_tag(pool)
        return tag

    def _send_reset(self, frame: Frame) -> None:
        host, _ = find_caller(frame.key)
        data = self._codec.make_reset(frame)
        self._port.send(data, (host, self._port.address[1]))
