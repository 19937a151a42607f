"""Balancer: forwards callers' packets to agents and answers to callers."""

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from jujuberun.addresses import format_address
from jujuberun.cache import AGEING_PERIOD_S, DEFAULT_CACHE_FLOWS, CacheBudget
from jujuberun.containment.units import contain_errors, record_failure
from jujuberun.errors import WireError
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, TargetId
from jujuberun.kernel import Kernel
from jujuberun.listener import Listener, Route
from jujuberun.manifest import Service
from jujuberun.peers import Peers
from jujuberun.port import BATCH_PACKETS, Port, SocketPort
from jujuberun.settings import Settings
from jujuberun.start_limits import StartLimits
from jujuberun.wire import (
    MAX_PAYLOAD_BYTES,
    Answer,
    Grant,
    Hint,
    ProbeReply,
    Reset,
    make_flow_id,
    make_reset,
    pack_address,
    read_wall_clock,
    unpack_address,
)

MAINTENANCE_PERIOD_S = 1.0
# While other services have traffic, the balancer reads only this many packets
# at once from a socket that still held packets after its last batch. A flood
# of one service then overflows only the receive buffer of that service.
BACKLOGGED_BATCH_PACKETS = 4
# A service counts as having traffic for this time after its last packet.
RECENT_TRAFFIC_S = 1.0
# The socket of an address that is no longer in the manifest is closed after
# this time without a packet.
RETIRED_IDLE_S = 120.0
logger = logging.getLogger("jujuberun.balancer")


class Balancer:
    """Part "balancer": runs one task for each service address."""

    name = "balancer"

    def __init__(
        self,
        peers: Peers,
        generations: Generations,
        open_port: Callable[[Address], Port],
        local_addresses: dict[Address, Address],
        limits: StartLimits,
        cache_flows: int = DEFAULT_CACHE_FLOWS,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._peers = peers
        self._generations = generations
        self._open_port = open_port
        self._local_addresses = local_addresses
        self._limits = limits
        self._cache_budget = CacheBudget(cache_flows)
        self._aged_at = 0.0
        self._version: ManifestVersion | None = None
        self._listeners: dict[bytes, Listener] = {}
        self._version_changed = anyio.Event()
        peers.register(Answer, self.handle_answer)
        peers.register(Hint, self._handle_hint)
        peers.register(Reset, self._handle_reset)
        peers.register(Grant, self._handle_grant)

    @classmethod
    def from_config(cls, settings: Settings, kernel: Kernel) -> "Balancer":
        """Builds the balancer from the settings and the kernel's parts."""
        return cls(
            kernel.find("peers"),
            kernel.find("generations"),
            SocketPort.bind,
            settings.addresses,
            StartLimits.from_config(random.Random()),
            settings.balancer.cache_flows,
        )

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves the addresses of the manifest in force."""
        async with anyio.create_task_group() as group:
            self._generations.subscribe(self._handle_version)
            group.start_soon(self._maintain)
            task_status.started()
            while True:
                self._version_changed = anyio.Event()
                if self._version is not None:
                    self._open_listeners(group, self._version)
                await self._version_changed.wait()

    async def drain(self, quiet: float, limit: float) -> None:
        """Keeps forwarding until callers stop sending packets.

        Args:
            quiet: seconds without a packet from a caller that end the wait.
            limit: maximum wait in seconds.
        """
        self._peers.draining = True
        for peer in self._peers.list_peers():
            self._peers.send(ProbeReply(0, True), peer.address)
        started = anyio.current_time()
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            last_packet_at = [
                listener.last_packet_at for listener in self._listeners.values()
            ]
            if (
                now - max(last_packet_at, default=0.0) > quiet
                or now - started > limit
            ):
                return

    def forward(
        self,
        listener: Listener,
        batch: list[tuple[bytes, Address]],
        now: float,
        now_ms: int,
    ) -> None:
        """Forwards a batch of packets from callers to agents.

        An unexpected error drops only the packet in which it occurs.

        Args:
            listener: listener of the address that received the packets.
            batch: payload and caller address of each packet.
            now: monotonic time in seconds.
            now_ms: wall clock in milliseconds.
        """
        sealed: list[tuple[bytes, Address]] = []
        listener.last_packet_at = now
        self.counts["received"] += len(batch)
        remaining = iter(batch)
        is_done = False
        while not is_done:
            # One try block serves all packets. After an error, the iterator
            # continues with the packet after the failed one.
            try:
                self._seal_packets(listener, remaining, sealed, now, now_ms)
                is_done = True
            except Exception as error:  # noqa: BLE001
                record_failure("packet of a caller", error, self.counts)
        self._peers.port.send_batch(sealed)

    def _seal_packets(
        self,
        listener: Listener,
        batch: Iterator[tuple[bytes, Address]],
        sealed: list[tuple[bytes, Address]],
        now: float,
        now_ms: int,
    ) -> None:
        """Adds the sealed messages of packets, with their receivers."""
        find = listener.cache.find
        add = sealed.append
        for payload, caller in batch:
            packed_caller = pack_address(caller)
            route = find(caller)
            # Method calls for each packet cost a tenth of the forwarding time,
            # so the common case, a peer with no unanswered message, is inline.
            if route is None or (
                route.peer.unanswered_since is not None
                and route.peer.is_suspected(now)
            ):
                route = self._choose_route(
                    listener, packed_caller, payload, now
                )
                if route is None:
                    continue
            peer = route.peer
            if peer.unanswered_since is None:
                peer.note_sent(now)
            add((route.seal(packed_caller, payload, now_ms), peer.address))

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Explains where a packet of a flow would be forwarded now, and why.

        Args:
            service_id: id of the service.
            caller: address of the caller.
            now: monotonic time in seconds.
        """
        for listener in self._listeners.values():
            if listener.service.id == service_id:
                return self._explain(listener, caller, now)
        return {"error": f"service {service_id!r} has no address here"}

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the service addresses, start limits and counts."""
        addresses = {}
        for listener in self._listeners.values():
            addresses[format_address(listener.address)] = {
                "service": listener.service.id,
                "retired": listener.retired,
                "cached_flows": len(listener.cache),
            }
        return {
            "addresses": addresses,
            "start_limits": self._limits.describe(now),
            "counts": dict(self.counts),
        }

    def _explain(
        self, listener: Listener, caller: Address, now: float
    ) -> dict[str, Any]:
        version = listener.version
        service = listener.service
        flow = make_flow_id(listener.packed_address, pack_address(caller))
        candidates = version.tables.find_candidates(service, flow)
        cached = listener.cache.find(caller)
        states = {}
        for name in candidates:
            peer = self._peers.find(version.manifest.targets[name].agent)
            states[name] = peer.get_state(now).value
        if cached is not None and not cached.peer.is_suspected(now):
            chosen, reason = cached.owner, "the owner is known from an answer"
        else:
            chosen = self._choose_candidate(listener, candidates, now)
            reason = "no owner is known; first candidate that is not suspected"
        return {
            "service": service.id,
            "flow": flow.hex(),
            "generation": version.manifest.generation,
            "candidates": list(candidates),
            "candidate_states": states,
            "chosen": chosen,
            "reason": reason,
        }

    def _handle_version(self, version: ManifestVersion) -> None:
        self._version = version
        counts = {
            service.id: len(service.targets)
            for service in version.manifest.services.values()
        }
        self._limits.set_agent_counts(counts, version.since)
        self._version_changed.set()

    def _open_listeners(self, group: Any, version: ManifestVersion) -> None:
        now = anyio.current_time()
        wanted = {}
        for service in version.manifest.services.values():
            wanted[pack_address(service.address)] = service
        for packed, listener in self._listeners.items():
            listener.retired = packed not in wanted
        for packed, service in wanted.items():
            with contain_errors("change of a service", self.counts):
                self._open_listener(group, packed, service, version, now)

    def _open_listener(
        self,
        group: TaskGroup,
        packed: bytes,
        service: Service,
        version: ManifestVersion,
        now: float,
    ) -> None:
        """Serves a service at its address, which may be served already."""
        listener = self._listeners.get(packed)
        if listener is not None:
            listener.change_service(service, version)
            return
        local = self._local_addresses.get(service.address, service.address)
        try:
            port = self._open_port(local)
        except OSError as error:
            logger.error(
                "balancer: cannot bind address %s of service %s: %s",
                format_address(local),
                service.id,
                error.strerror,
            )
            self.counts["bind_failed"] += 1
            return
        listener = Listener(port, service, version, self._cache_budget)
        listener.last_packet_at = now
        self.add_listener(listener)
        group.start_soon(self._serve, listener)

    async def _serve(self, listener: Listener) -> None:
        with anyio.CancelScope() as listener.serve_scope:
            batch: list[tuple[bytes, Address]] = []
            limit = BATCH_PACKETS
            while True:
                backlogged = len(batch) == limit
                limit = BATCH_PACKETS
                if backlogged and self._has_other_traffic(listener):
                    limit = BACKLOGGED_BATCH_PACKETS
                batch = await listener.port.receive(limit)
                now = anyio.current_time()
                self.forward(listener, batch, now, read_wall_clock())
        listener.port.close()

    def _has_other_traffic(self, listener: Listener) -> bool:
        """Returns whether another service received packets recently."""
        return any(
            listener.last_packet_at - other.last_packet_at < RECENT_TRAFFIC_S
            for other in self._listeners.values()
            if other is not listener
        )

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_PERIOD_S)
            with contain_errors("removal of idle flows", self.counts):
                self._remove_idle(anyio.current_time())

    def _remove_idle(self, now: float) -> None:
        """Removes flows and service addresses that are no longer in use."""
        if now - self._aged_at >= AGEING_PERIOD_S:
            self._aged_at = now
            self._cache_budget.age()
        for packed, listener in list(self._listeners.items()):
            if (
                listener.retired
                and now - listener.last_packet_at > RETIRED_IDLE_S
            ):
                del self._listeners[packed]
                self._cache_budget.remove(listener.cache)
                if listener.serve_scope is not None:
                    listener.serve_scope.cancel()

    def _choose_route(
        self, listener: Listener, caller: bytes, payload: bytes, now: float
    ) -> Route | None:
        """Chooses the route of a flow that has no usable cached route.

        Returns None if the packet is dropped or its start is refused.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            self.counts["oversized"] += 1
            return None
        service = listener.service
        if service.first_packet.accepts(payload):
            refusal = self._limits.check_start(service.id, now)
            if refusal is not None:
                self.counts["starts_refused"] += 1
                wait = int(refusal.retry_after * 1000)
                data = make_reset("overloaded", wait, payload)
                listener.port.send(data, unpack_address(caller))
                return None
        flow = make_flow_id(listener.packed_address, caller)
        tables = listener.version.tables
        candidates = tables.find_candidates(service, flow)
        candidate = self._choose_candidate(listener, candidates, now)
        return listener.find_candidate_route(self._peers, candidate, candidates)

    def _choose_candidate(
        self, listener: Listener, candidates: tuple[TargetId, ...], now: float
    ) -> TargetId:
        targets = listener.version.manifest.targets
        for name in candidates:
            peer = self._peers.find(targets[name].agent)
            if not peer.is_suspected(now):
                return name
        return candidates[0]

    def add_listener(self, listener: Listener) -> None:
        """Adds the listener of a service address."""
        self._listeners[listener.packed_address] = listener

    def handle_answer(self, answer: Any, sender: Address, now: float) -> None:
        """Sends an answer to its caller and caches the owner of the flow."""
        listener = self._listeners.get(answer.address)
        if listener is None:
            self.counts["answers_without_address"] += 1
            return
        caller = unpack_address(answer.caller)
        if not listener.port.send(answer.payload, caller):
            self.counts["answers_unsent"] += 1
        listener.learn_owner(
            self._peers, answer.service_id, caller, answer.owner, sender
        )

    def _handle_hint(self, hint: Any, sender: Address, now: float) -> None:
        listener = self._listeners.get(hint.address)
        if listener is None:
            return
        agent = unpack_address(hint.owner_agent)
        caller = unpack_address(hint.caller)
        listener.learn_owner(
            self._peers, hint.service_id, caller, hint.owner, agent
        )

    def _handle_grant(self, grant: Any, sender: Address, now: float) -> None:
        service = self._version.manifest.services.get(grant.service_id)
        if service is None:
            return
        self._limits.grant(
            service.id,
            sender,
            grant.rate,
            grant.expires / 1000,
            len(service.targets),
            now,
        )

    def _handle_reset(self, reset: Any, sender: Address, now: float) -> None:
        listener = self._listeners.get(reset.address)
        if listener is None:
            return
        if len(reset.quoted) != 8:
            raise WireError(
                "handle reset",
                str(sender),
                f"field quoted has {len(reset.quoted)} bytes; expected 8",
            )
        caller = unpack_address(reset.caller)
        listener.cache.discard(caller)
        self.counts["resets"] += 1
        data = make_reset(reset.reason, reset.retry_after, reset.quoted)
        listener.port.send(data, caller)
