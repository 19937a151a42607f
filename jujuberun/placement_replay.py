"""Replays request traces through the placement and health decisions."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jujuberun.candidate_table import CandidateTable
from jujuberun.evidence import Evidence, Silent
from jujuberun.ids import DomainId, FlowId, TargetId
from jujuberun.loads import TargetLoad
from jujuberun.manifest import Target
from jujuberun.peers import SUSPECT_AFTER_S
from jujuberun.placement import PEERS_FIRST_S, choose_peers
from jujuberun.replay_policy import OffloadMode, Policy
from jujuberun.replay_statistics import ReplayStatistics
from jujuberun.service_view import REPORT_PUSH_PEERS, LoadReport, ServiceView
from jujuberun.trace import Arrival

MESSAGE_DELAY_S = 0.001  # one way
LOAD_REPORT_PERIOD_S = 1.0
LOAD_REPORT_PEERS = 2
# Time from the last request of a flow until the flow is closed.
FLOW_IDLE_S = 10.0
# Time between offers of a request to peers that do not queue it.
PEER_RETRY_S = 0.05


@dataclass(slots=True, eq=False)
class _SimulatedRequest:
    arrival: Arrival
    assigned_at: float | None = None  # when it got a grant or a slot


class _SimulatedAgent:
    """An agent with its target and its own view of the other targets."""

    def __init__(
        self, target: Target, targets: Sequence[Target], headroom: float
    ):
        self.target, self.view = target, ServiceView(targets, headroom)
        self.id, self.slots = target.id, target.slots
        self.busy, self.flows = 0, 0
        self.failed_at: float | None = None
        # Each entry is a request and whether a peer offered it.
        self.queue: deque[tuple[_SimulatedRequest, bool]] = deque()

    def record_own_load(self, now: float) -> None:
        """Records the load of the agent's target in its view."""
        own_requests = [
            request
            for request, from_peer in self.queue
            if not from_peer and request.assigned_at is None
        ]
        load = TargetLoad(self.busy, len(own_requests), self.flows)
        self.view.loads.record_load(self.id, load, 0.0, now)


class PlacementReplay:
    """A simulation of the agents of a service; each instance runs once.

    Attributes:
        now: simulated time, seconds since the start of the trace.
        statistics: statistics of the run.
        agents: simulated agents by the id of their target.
    """

    def __init__(self, targets: Sequence[Target], policy: Policy, seed: int):
        self.now, self.statistics = 0.0, ReplayStatistics()
        self._policy = policy
        self._rng = random.Random(seed)
        self._table, headroom_share = (
            CandidateTable.from_targets(targets),
            policy.headroom,
        )
        self.agents = {
            t.id: _SimulatedAgent(t, targets, headroom_share) for t in targets
        }
        self._agent_ids = tuple(self.agents)
        self._owners: dict[FlowId, TargetId] = {}
        self._remaining_requests: Counter[FlowId] = Counter()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._event_count, self._last_arrival_at = 0, 0.0

    def schedule_domain_failure(self, domain: DomainId, at: float) -> None:
        """Makes all targets of a failure domain fail at a time, in seconds."""
        self._schedule(at, self._fail_domain, domain)

    def schedule_evidence(
        self, agent: TargetId, target: TargetId, evidence: Evidence, at: float
    ) -> None:
        """Gives an agent evidence about a target at a time, in seconds."""
        self._schedule(
            at, self._record_evidence, self.agents[agent], target, evidence
        )

    def run(self, arrivals: Sequence[Arrival]) -> ReplayStatistics:
        """Replays the requests until all of them have ended."""
        self._remaining_requests = Counter(arrival.flow for arrival in arrivals)
        self._last_arrival_at = arrivals[-1].at
        for arrival in arrivals:
            self._schedule(
                arrival.at + MESSAGE_DELAY_S,
                self._route_request,
                _SimulatedRequest(arrival),
            )
        for agent in self.agents.values():
            self._schedule(
                self._rng.random() * LOAD_REPORT_PERIOD_S,
                self._report_load,
                agent,
            )
        self._schedule(LOAD_REPORT_PERIOD_S, self._sample_flows)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.statistics

    def _schedule(self, at: float, action: Callable[..., None], *args) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, action, args))

    def _send_message(self, action: Callable[..., None], *args) -> None:
        self._schedule(self.now + MESSAGE_DELAY_S, action, *args)

    def _route_request(self, request: _SimulatedRequest) -> None:
        """Routes a request as a balancer does, to its flow's owner or home."""
        flow = request.arrival.flow
        owner = self._owners.get(flow)
        if owner is not None:
            self._receive_request(self.agents[owner], request)
            return
        candidates = self._table.find_candidates(flow)
        home = self._find_home(candidates)
        if home.failed_at is not None:
            self._schedule(
                home.failed_at + SUSPECT_AFTER_S, self._route_request, request
            )
            return
        home.record_own_load(self.now)
        choice = self._policy.choose(home.view, flow, candidates, self.now)
        owner = choice or home.id
        home.view.loads.count_assigned_flow(owner)
        self._owners[flow] = owner
        self.agents[owner].flows += 1
        if owner == home.id:
            self._receive_request(home, request)
        else:
            self._send_message(
                self._receive_request, self.agents[owner], request
            )

    def _find_home(self, candidates: Sequence[TargetId]) -> _SimulatedAgent:
        """Returns the first candidate that balancers do not suspect.

        Without one it returns the first agent that has not failed.
        """
        for agent in map(self.agents.__getitem__, candidates):
            if (
                agent.failed_at is None
                or self.now < agent.failed_at + SUSPECT_AFTER_S
            ):
                return agent
        return next(a for a in self.agents.values() if a.failed_at is None)

    def _receive_request(
        self, agent: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        if agent.failed_at is not None:
            self._schedule(
                self.now + SUSPECT_AFTER_S, self._suspect_owner, agent, request
            )
            return
        agent.queue.append((request, False))
        offers_to_peers = self._policy.offload_mode is not OffloadMode.NONE
        if offers_to_peers and agent.id not in agent.view.active:
            self._schedule(
                self.now + PEERS_FIRST_S, self._assign_idle_slots, agent
            )
        else:
            self._assign_idle_slots(agent)
        if offers_to_peers:
            self._ask_peers(agent, request)

    def _suspect_owner(
        self, agent: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        """Lets the home suspect the silent owner and choose another one."""
        flow = request.arrival.flow
        home = self._find_home(self._table.find_candidates(flow))
        self._record_evidence(home, agent.id, Silent())
        if self._owners.get(flow) == agent.id:
            del self._owners[flow]
        self._route_request(request)

    def _ask_peers(
        self, agent: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        if request.assigned_at is not None or agent.failed_at is not None:
            return
        loads, active = agent.view.loads, agent.view.active
        for name in choose_peers(agent.id, loads, active, self.now, self._rng):
            self._send_message(self._reserve_slot, self.agents[name], request)
        if self._policy.offload_mode is OffloadMode.ASK:
            self._schedule(
                self.now + PEER_RETRY_S, self._ask_peers, agent, request
            )

    def _reserve_slot(
        self, peer: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        if peer.failed_at is not None:
            return
        if peer.busy < peer.slots:
            peer.busy += 1
            self._send_message(self._handle_grant, peer, request)
        elif self._policy.offload_mode is OffloadMode.WAIT:
            peer.queue.append((request, True))

    def _handle_grant(
        self, peer: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        if request.assigned_at is not None:
            self._send_message(self._release_slot, peer)
            return
        request.assigned_at = self.now
        self._send_message(self._start_request, peer, request)

    def _start_request(
        self, agent: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        """Starts a request in a slot that already counts as busy."""
        at, request.assigned_at = request.arrival.at, self.now
        self.statistics.waits.append((at, self.now - at))
        end = self.now + request.arrival.work
        self.statistics.record_busy_time(agent.id, self.now, end)
        self._schedule(end, self._finish_request, agent, request)

    def _finish_request(
        self, agent: _SimulatedAgent, request: _SimulatedRequest
    ) -> None:
        flow = request.arrival.flow
        self._remaining_requests[flow] -= 1
        if self._remaining_requests[flow] == 0:
            self._schedule(self.now + FLOW_IDLE_S, self._close_flow, flow)
        if agent.failed_at is None:
            self._release_slot(agent)
        else:
            self.statistics.lost += 1

    def _close_flow(self, flow: FlowId) -> None:
        self.agents[self._owners.pop(flow)].flows -= 1

    def _release_slot(self, agent: _SimulatedAgent) -> None:
        agent.busy -= 1
        self._assign_idle_slots(agent)

    def _assign_idle_slots(self, agent: _SimulatedAgent) -> None:
        """Assigns idle slots to queued requests in the order of the queue."""
        while agent.busy < agent.slots and agent.queue:
            request, from_peer = agent.queue.popleft()
            # A peer learns of a grant elsewhere one message delay later.
            known_until = self.now - MESSAGE_DELAY_S if from_peer else self.now
            if (
                request.assigned_at is not None
                and request.assigned_at <= known_until
            ):
                continue
            agent.busy += 1
            if from_peer:
                self._send_message(self._handle_grant, agent, request)
            else:
                self._start_request(agent, request)

    def _report_load(self, agent: _SimulatedAgent) -> None:
        if agent.failed_at is not None or self.now > self._last_arrival_at:
            return
        agent.record_own_load(self.now)
        agent.view.update(self.now)
        self._send_reports(agent, LOAD_REPORT_PEERS)
        self._schedule(
            self.now + LOAD_REPORT_PERIOD_S, self._report_load, agent
        )

    def _record_evidence(
        self, agent: _SimulatedAgent, target: TargetId, evidence: Evidence
    ) -> None:
        if agent.view.record(target, evidence, self.now):
            self._send_reports(agent, REPORT_PUSH_PEERS)

    def _send_reports(self, agent: _SimulatedAgent, count: int) -> None:
        reports = agent.view.list_reports(self.now)
        for name in self._rng.sample(
            self._agent_ids, min(count, len(self._agent_ids))
        ):
            self._send_message(
                self._receive_reports, self.agents[name], reports
            )

    def _receive_reports(
        self, agent: _SimulatedAgent, reports: list[LoadReport]
    ) -> None:
        changes = [
            agent.view.handle_report(report, self.now) for report in reports
        ]
        if any(changes):
            self._send_reports(agent, REPORT_PUSH_PEERS)

    def _sample_flows(self) -> None:
        flows = [agent.flows for agent in self.agents.values()]
        self.statistics.record_flow_counts(flows)
        if self.now < self._last_arrival_at:
            self._schedule(self.now + LOAD_REPORT_PERIOD_S, self._sample_flows)

    def _fail_domain(self, domain: DomainId) -> None:
        for agent in self.agents.values():
            if agent.target.domain != domain:
                continue
            agent.failed_at = self.now
            for request, from_peer in agent.queue:
                if not from_peer and request.assigned_at is None:
                    self._schedule(
                        self.now + SUSPECT_AFTER_S,
                        self._suspect_owner,
                        agent,
                        request,
                    )
            agent.queue.clear()
