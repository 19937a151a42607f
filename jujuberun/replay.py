"""Replay of a trace through the placement and health decisions."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jujuberun.evidence import Evidence, Silent
from jujuberun.ids import DomainId, FlowId, TargetId
from jujuberun.loads import TargetLoad
from jujuberun.manifest import Target
from jujuberun.peers import SUSPECT_AFTER_S
from jujuberun.placement import PEERS_FIRST_S, choose_peers
from jujuberun.policy import HandOn, Policy
from jujuberun.table import Table
from jujuberun.tally import Tally
from jujuberun.trace import Arrival
from jujuberun.view import PUSH_PEERS, LoadReport, View

DELAY_S = 0.001  # of a message, one way
STATUS_S = 1.0  # interval of load messages
STATUS_PEERS = 2
IDLE_S = 10.0  # a caller keeps its flow open after its last request
RETRY_S = 0.05  # between questions to peers that do not wait


@dataclass(slots=True, eq=False)
class _Job:
    arrival: Arrival
    taken_at: float | None = None  # when its place to run was settled


class _Agent:
    """An agent, its target and its own view of the others."""

    def __init__(self, target: Target, targets: Sequence[Target], h: float):
        self.target, self.view = target, View(targets, h)
        self.id, self.slots = target.id, target.slots
        self.busy, self.flows = 0, 0
        self.lost_at: float | None = None
        self.queue: deque[tuple[_Job, bool]] = deque()  # job, from a peer

    def report(self, now: float) -> None:
        """Takes its own load into its view."""
        own = [j for j, other in self.queue if not other and j.taken_at is None]
        load = TargetLoad(self.busy, len(own), self.flows)
        self.view.loads.note(self.id, load, 0.0, now)


class Replay:
    """Runs one trace once."""

    def __init__(self, targets: Sequence[Target], policy: Policy, seed: int):
        self.now, self.tally = 0.0, Tally()
        self._policy = policy
        self._rng = random.Random(seed)
        self._table, h = Table.from_targets(targets), policy.headroom
        self.agents = {t.id: _Agent(t, targets, h) for t in targets}
        self._names = tuple(self.agents)
        self._owners: dict[FlowId, TargetId] = {}
        self._left: Counter[FlowId] = Counter()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count, self._end = 0, 0.0

    def lose(self, domain: DomainId, at: float) -> None:
        """Loses all targets of a failure domain at a time, in seconds."""
        self._push(at, self._lose, domain)

    def record(
        self, agent: TargetId, target: TargetId, news: Evidence, at: float
    ) -> None:
        """Gives one agent evidence at a time, in seconds."""
        self._push(at, self._record, self.agents[agent], target, news)

    def run(self, arrivals: Sequence[Arrival]) -> Tally:
        """Replays the requests, until the last one has ended."""
        self._left = Counter(arrival.flow for arrival in arrivals)
        self._end = arrivals[-1].at
        for arrival in arrivals:
            self._push(arrival.at + DELAY_S, self._arrive, _Job(arrival))
        for agent in self.agents.values():
            self._push(self._rng.random() * STATUS_S, self._tick, agent)
        self._push(STATUS_S, self._sample)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.tally

    def _push(self, at: float, action: Callable[..., None], *args) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action, args))

    def _later(self, action: Callable[..., None], *args) -> None:
        self._push(self.now + DELAY_S, action, *args)

    def _arrive(self, job: _Job) -> None:
        """A balancer gives the request to the owner or home of its flow."""
        flow = job.arrival.flow
        owner = self._owners.get(flow)
        if owner is not None:
            self._reach(self.agents[owner], job)
            return
        candidates = self._table.find_candidates(flow)
        home = self._find_home(candidates)
        if home.lost_at is not None:
            self._push(home.lost_at + SUSPECT_AFTER_S, self._arrive, job)
            return
        home.report(self.now)
        choice = self._policy.choose(home.view, flow, candidates, self.now)
        owner = choice or home.id
        home.view.loads.note_assigned(owner)
        self._owners[flow] = owner
        self.agents[owner].flows += 1
        if owner == home.id:
            self._reach(home, job)
        else:
            self._later(self._reach, self.agents[owner], job)

    def _find_home(self, candidates: Sequence[TargetId]) -> _Agent:
        """Returns the first candidate that balancers do not suspect."""
        for agent in map(self.agents.__getitem__, candidates):
            if (
                agent.lost_at is None
                or self.now < agent.lost_at + SUSPECT_AFTER_S
            ):
                return agent
        return next(a for a in self.agents.values() if a.lost_at is None)

    def _reach(self, agent: _Agent, job: _Job) -> None:
        if agent.lost_at is not None:
            self._push(self.now + SUSPECT_AFTER_S, self._miss, agent, job)
            return
        agent.queue.append((job, False))
        hands_on = self._policy.hand_on is not HandOn.NONE
        if hands_on and agent.id not in agent.view.active:
            self._push(self.now + PEERS_FIRST_S, self._fill, agent)
        else:
            self._fill(agent)
        if hands_on:
            self._ask(agent, job)

    def _miss(self, agent: _Agent, job: _Job) -> None:
        """The home suspects the silent owner and chooses another one."""
        flow = job.arrival.flow
        home = self._find_home(self._table.find_candidates(flow))
        self._record(home, agent.id, Silent())
        if self._owners.get(flow) == agent.id:
            del self._owners[flow]
        self._arrive(job)

    def _ask(self, agent: _Agent, job: _Job) -> None:
        if job.taken_at is not None or agent.lost_at is not None:
            return
        loads, active = agent.view.loads, agent.view.active
        for name in choose_peers(agent.id, loads, active, self.now, self._rng):
            self._later(self._reserve, self.agents[name], job)
        if self._policy.hand_on is HandOn.ASK:
            self._push(self.now + RETRY_S, self._ask, agent, job)

    def _reserve(self, peer: _Agent, job: _Job) -> None:
        if peer.lost_at is not None:
            return
        if peer.busy < peer.slots:
            peer.busy += 1
            self._later(self._grant, peer, job)
        elif self._policy.hand_on is HandOn.WAIT:
            peer.queue.append((job, True))

    def _grant(self, peer: _Agent, job: _Job) -> None:
        if job.taken_at is not None:
            self._later(self._release, peer)
            return
        job.taken_at = self.now
        self._later(self._start, peer, job)

    def _start(self, agent: _Agent, job: _Job) -> None:
        """Runs the request in a slot that is already counted."""
        at, job.taken_at = job.arrival.at, self.now
        self.tally.waits.append((at, self.now - at))
        end = self.now + job.arrival.work
        self.tally.note_busy(agent.id, self.now, end)
        self._push(end, self._finish, agent, job)

    def _finish(self, agent: _Agent, job: _Job) -> None:
        flow = job.arrival.flow
        self._left[flow] -= 1
        if self._left[flow] == 0:
            self._push(self.now + IDLE_S, self._close, flow)
        if agent.lost_at is None:
            self._release(agent)
        else:
            self.tally.lost += 1

    def _close(self, flow: FlowId) -> None:
        self.agents[self._owners.pop(flow)].flows -= 1

    def _release(self, agent: _Agent) -> None:
        agent.busy -= 1
        self._fill(agent)

    def _fill(self, agent: _Agent) -> None:
        """Gives idle slots to requests in the order of their arrival."""
        while agent.busy < agent.slots and agent.queue:
            job, from_peer = agent.queue.popleft()
            # A peer hears that the request was taken a message later.
            heard = self.now - DELAY_S if from_peer else self.now
            if job.taken_at is not None and job.taken_at <= heard:
                continue
            agent.busy += 1
            if from_peer:
                self._later(self._grant, agent, job)
            else:
                self._start(agent, job)

    def _tick(self, agent: _Agent) -> None:
        if agent.lost_at is not None or self.now > self._end:
            return
        agent.report(self.now)
        agent.view.update(self.now)
        self._tell(agent, STATUS_PEERS)
        self._push(self.now + STATUS_S, self._tick, agent)

    def _record(self, agent: _Agent, target: TargetId, news: Evidence) -> None:
        if agent.view.record(target, news, self.now):
            self._tell(agent, PUSH_PEERS)

    def _tell(self, agent: _Agent, count: int) -> None:
        reports = agent.view.list_reports(self.now)
        for name in self._rng.sample(self._names, min(count, len(self._names))):
            self._later(self._hear, self.agents[name], reports)

    def _hear(self, agent: _Agent, reports: list[LoadReport]) -> None:
        news = [agent.view.hear(report, self.now) for report in reports]
        if any(news):
            self._tell(agent, PUSH_PEERS)

    def _sample(self) -> None:
        flows = [agent.flows for agent in self.agents.values()]
        self.tally.note_flows(flows)
        if self.now < self._end:
            self._push(self.now + STATUS_S, self._sample)

    def _lose(self, domain: DomainId) -> None:
        for agent in self.agents.values():
            if agent.target.domain != domain:
                continue
            agent.lost_at = self.now
            for job, from_peer in agent.queue:
                if not from_peer and job.taken_at is None:
                    self._push(
                        self.now + SUSPECT_AFTER_S, self._miss, agent, job
                    )
            agent.queue.clear()
