"""Tracks load and health of targets in an agent and reports them to peers."""

import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.backend import Exchange, ExchangeOutcome
from jujuberun.containment.units import contain_errors
from jujuberun.evidence import (
    Answered,
    Evidence,
    Failed,
    HealthReport,
    Listed,
    MessageReceived,
    Refused,
    Silent,
    Started,
    WasReset,
)
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.ids import Address, Role, ServiceId, TargetId, VmState
from jujuberun.loads import TargetLoad
from jujuberun.manifest import Target
from jujuberun.members import Members
from jujuberun.peers import Peer, Peers, PeerState
from jujuberun.pending_request import RunLocation
from jujuberun.placement import ActiveTargets, choose_owner, choose_peers
from jujuberun.service_view import REPORT_PUSH_PEERS, LoadReport, ServiceView
from jujuberun.vm_list import VmList
from jujuberun.wire import Load, Loads

UPDATE_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
REPORT_PEERS = 2


class TargetMonitor:
    """Part "beliefs": state of the targets that share a service with this one.

    Keeps load, health and active targets of each service that the agent's own
    target belongs to.

    Attributes:
        read_load: returns the current load of this agent's target.
        is_draining: returns whether this agent's target takes no new work.
    """

    name = "beliefs"

    def __init__(
        self,
        target: TargetId,
        peers: Peers,
        generations: Generations,
        members: Members,
        rng: random.Random,
    ) -> None:
        self.read_load: Callable[[], TargetLoad] = lambda: TargetLoad(0, 0, 0)
        self.is_draining: Callable[[], bool] = lambda: False
        self._target = target
        self._peers = peers
        self._generations = generations
        self._rng = rng
        self._views: dict[ServiceId, ServiceView] = {}
        self._targets_by_agent: dict[Address, Target] = {}
        self._silent_addresses: set[Address] = set()
        self._reported_at = 0.0
        peers.register(Loads, self._handle_loads)
        peers.subscribe_restarts(self._handle_restart)
        generations.subscribe(self._handle_version)
        members.subscribe(self._handle_vm_list)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Updates the views and reports to peers of the same services."""
        task_status.started()
        while True:
            with contain_errors("update of the loads"):
                self.update(anyio.current_time())
            await anyio.sleep(UPDATE_INTERVAL_S)

    def update(self, now: float) -> None:
        """Records silent peers and this agent's load, and sends due reports.

        Args:
            now: monotonic time in seconds.
        """
        self._record_silence(now)
        is_report_due = now - self._reported_at >= REPORT_INTERVAL_S
        own = HealthReport(healthy=True, draining=self.is_draining(), age=0.0)
        for service_id, view in self._views.items():
            view.check_clock(now)
            view.handle_report(
                LoadReport(self._target, self.read_load(), own), now
            )
            view.update(now)
            if is_report_due:
                self._report(service_id, view, now, REPORT_PEERS)
        if is_report_due:
            self._reported_at = now

    def choose_owner(
        self,
        service_id: ServiceId,
        candidates: tuple[TargetId, ...],
        passed: tuple[str, ...],
        now: float,
    ) -> TargetId | None:
        """Chooses the owner of a new flow.

        Args:
            service_id: service of the flow.
            candidates: candidates of the flow, the home first.
            passed: targets that the start packet has already visited; they are
                not chosen.
            now: monotonic time in seconds.

        Returns:
            The owner, or None when no target has room or the service is
            unknown.
        """
        view = self._views.get(service_id)
        if view is None:
            return None
        active = view.active
        if passed:
            active = ActiveTargets(t for t in active if t not in passed)
        owner = choose_owner(candidates, view.loads, active, now)
        if owner is not None:
            view.loads.count_assigned_flow(owner)
        return owner

    def choose_peer_agents(
        self, service_id: ServiceId, now: float
    ) -> tuple[Address, ...]:
        """Returns the agents to ask for a slot, in this order.

        Args:
            service_id: service of the request.
            now: monotonic time in seconds.
        """
        view = self._views.get(service_id)
        if view is None:
            return ()
        names = choose_peers(
            self._target, view.loads, view.active, now, self._rng
        )
        targets = self._generations.current.manifest.targets
        return tuple(targets[n].agent for n in names if n in targets)

    def choose_place(self, service_id: ServiceId, now: float) -> RunLocation:
        """Returns where a request of a service should run.

        Args:
            service_id: service of the request.
            now: monotonic time in seconds.
        """
        view = self._views.get(service_id)
        if view is None:
            return RunLocation.HERE
        if self._target not in view.target_ids or self.is_draining():
            return RunLocation.PEERS_ONLY
        if self._target in view.active:
            return RunLocation.HERE
        return RunLocation.PEERS_FIRST

    def record_exchange(self, exchange: Exchange, now: float) -> None:
        """Records the outcome of an exchange with this agent's target.

        Args:
            exchange: kind and duration of the exchange.
            now: monotonic time in seconds.
        """
        self._record(self._target, _convert_exchange(exchange), now)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns active, suspected and leaving targets of each service."""
        state = {}
        for service_id, view in self._views.items():
            names = frozenset(view.target_ids)
            health = view.health
            state[service_id] = {
                "targets": len(names),
                "active": len(view.active),
                "suspected": sorted(health.find_suspects(names, now)),
                "leaving": sorted(health.find_leaving(names, now)),
            }
        return state

    def _record(self, target: TargetId, evidence: Evidence, now: float) -> None:
        for service_id, view in self._views.items():
            if target in view.target_ids and view.record(target, evidence, now):
                self._report(service_id, view, now, REPORT_PUSH_PEERS)

    def _handle_version(self, version: ManifestVersion) -> None:
        manifest = version.manifest
        views = {}
        self._targets_by_agent = {}
        for service in manifest.services.values():
            view = self._views.get(service.id)
            # A service that this agent's target has left keeps its view: the
            # target still hands requests of open flows to other targets.
            if view is None and self._target not in service.targets:
                continue
            targets = [manifest.targets[n] for n in service.targets]
            if view is None:
                view = ServiceView(targets, service.headroom)
            else:
                now = anyio.current_time()
                view.change_targets(targets, service.headroom, now)
            views[service.id] = view
            self._targets_by_agent.update((t.agent, t) for t in targets)
        self._views = views

    def _handle_vm_list(self, vm_list: VmList) -> None:
        now = anyio.current_time()
        # A VM that has left may still be listed at the address of its
        # successor, and so may VMs of others.
        states: dict[TargetId, VmState] = {}
        for vm in vm_list.vms.values():
            target = self._targets_by_agent.get(vm.peer)
            if target is None or vm.role is not Role.AGENT:
                continue
            if states.get(target.id) is not VmState.LIVE:
                states[target.id] = vm.state
        for target_id, state in states.items():
            self._record(target_id, Listed(state, 0.0), now)

    def _handle_restart(self, peer: Peer, now: float) -> None:
        target = self._targets_by_agent.get(peer.address)
        if target is not None:
            self._record(target.id, Started(), now)

    def _record_silence(self, now: float) -> None:
        silent = set()
        for address, target in self._targets_by_agent.items():
            if address == self._peers.address:
                continue
            state = self._peers.find(address).get_state(now)
            if state in (PeerState.SUSPECTED, PeerState.GONE):
                silent.add(address)
                if address not in self._silent_addresses:
                    self._record(target.id, Silent(), now)
            elif address in self._silent_addresses:
                self._record(target.id, MessageReceived(), now)
        self._silent_addresses = silent

    def _report(
        self, service_id: ServiceId, view: ServiceView, now: float, peers: int
    ) -> None:
        others = [
            address
            for address, target in self._targets_by_agent.items()
            if target.id in view.target_ids and address != self._peers.address
        ]
        reports = [_encode(report) for report in view.list_reports(now)]
        message = Loads(service_id, reports)
        count = min(peers, len(others))
        for address in self._rng.sample(others, count):
            self._peers.send(message, address)

    def _handle_loads(self, loads: Any, sender: Address, now: float) -> None:
        view = self._views.get(loads.service_id)
        if view is None:
            return
        must_push = False
        for load in loads.loads:
            # The agent knows its own load better than any peer.
            if load.target != self._target:
                must_push = view.handle_report(_decode(load), now) or must_push
        if must_push:
            self._report(loads.service_id, view, now, REPORT_PUSH_PEERS)


def _convert_exchange(exchange: Exchange) -> Evidence:
    match exchange.kind:
        case ExchangeOutcome.ANSWER:
            return Answered(exchange.seconds)
        case ExchangeOutcome.REFUSAL:
            return Refused()
        case ExchangeOutcome.BROKEN:
            return WasReset()
        case ExchangeOutcome.ERROR | ExchangeOutcome.SILENCE:
            return Failed()


def _encode(report: LoadReport) -> Any:
    health_report = report.health_report
    load = Load(
        report.target,
        age=int(health_report.age * 1000),
        draining=health_report.draining,
        healthy=health_report.healthy,
    )
    if report.load is not None:
        load.busy = report.load.busy
        load.queued = report.load.queued
        load.flows = report.load.flows
    return load


def _decode(load: Any) -> LoadReport:
    target_load = None
    if load.busy is not None:
        target_load = TargetLoad(load.busy, load.queued, load.flows)
        if min(load.busy, load.queued, load.flows) < 0:
            raise ValueError(
                f"load of {load.target} is negative: {target_load}"
            )
    health_report = HealthReport(
        bool(load.healthy), bool(load.draining), load.age / 1000
    )
    return LoadReport(load.target, target_load, health_report)
