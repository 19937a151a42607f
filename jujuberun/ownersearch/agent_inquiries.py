"""Asks agents which flows their targets hold, and handles their answers."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from jujuberun.agentidentity.senders import list_ids, list_senders
from jujuberun.flowtable import FlowEntry, FlowTable
from jujuberun.ids import Address, TargetId
from jujuberun.ownersearch.agent_knowledge import knows_all_flows
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_locator import FlowLocator
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.ownersearch.search_step import MAX_COPIES_AT_ONCE
from jujuberun.peers import Peers
from jujuberun.steering import Steering
from jujuberun.wire import Locate, NotHeld

ContinueSearch = Callable[[FlowEntry, FlowSearch, float], None]


class AgentInquiries:
    """Exchanges messages about flows with agents, for one balancer."""

    def __init__(
        self,
        peers: Peers,
        flows: FlowTable,
        steering: Steering,
        clock: AnswerClock,
        counts: Counter[str],
        agent_port: int,
        continue_search: ContinueSearch,
    ) -> None:
        """Builds the part of one balancer.

        Args:
            peers: exchanges messages with agents.
            flows: flows that are cached at the balancer.
            steering: knows the targets.
            clock: times of inquiries and their answers.
            counts: event counters of the balancer.
            agent_port: port at which all agents receive packets.
            continue_search: called with a flow, its search and the time when
                the search need not wait for further agents.
        """
        self._peers = peers
        self._flows = flows
        self._steering = steering
        self._clock = clock
        self._counts = counts
        self._agent_port = agent_port
        self._continue_search = continue_search
        self._locator = FlowLocator()
        peers.register(NotHeld, self._handle_not_held)

    @property
    def next_at(self) -> float:
        """Time of the next messages, infinite without any."""
        return self._locator.next_at

    def count_waiting(self) -> int:
        """Returns the number of keys that wait, counted for each agent."""
        return len(self._locator)

    def ask(
        self,
        entry: FlowEntry,
        search: FlowSearch,
        targets: tuple[TargetId, ...],
        now: float,
    ) -> None:
        """Asks the agents of targets for a flow."""
        candidates = [
            candidate
            for candidate in map(self._steering.find, targets)
            if candidate is not None
        ]
        agents = [candidate.agent for candidate in candidates]
        search.located = {candidate.id for candidate in candidates}
        search.located_at = self._locator.add(entry.key, agents, now)
        self._counts["searches_by_key"] += 1
        self.flush(now)

    def flush(self, now: float) -> None:
        """Sends the messages that are due."""
        port = self._peers.address[1]
        for agent, keys in self._locator.take_due(now):
            self._counts["locate_messages"] += 1
            self._peers.send(Locate(keys), (agent[0], port))

    def record_confirmation(self, search: FlowSearch, now: float) -> None:
        """Records that an agent confirmed a flow that it was asked for."""
        self._counts["owners_located"] += 1
        self._record_answer(search.located_at, now)

    def _handle_not_held(
        self, message: Any, sender: Address, now: float
    ) -> None:
        """Handles the list of flows that an agent does not know."""
        agent = (sender[0], self._agent_port)
        candidates = self._steering.find_by_agent(agent)
        senders = list_senders(candidates, message.pool)
        for candidate in senders or candidates:
            candidate.unanswered_since = math.inf
        knows_all = knows_all_flows(
            message.started,
            message.running,
            [c.started for c in senders if c.removed_at is None],
        )
        targets, sure = list_ids(candidates), list_ids(senders)
        is_timed = False
        for key in message.keys:
            entry = self._flows.find(key, now)
            search = None if entry is None else entry.search
            if search is None or targets.isdisjoint(search.located):
                continue
            if not is_timed:
                is_timed = True
                self._record_answer(search.located_at, now)
            is_sure = knows_all and search.located & targets <= sure
            search.located -= targets
            # A target takes longer to return a packet than its agent to answer.
            delay = now - search.located_at
            search.answer_delay = max(search.answer_delay, delay)
            if not is_sure:
                self._counts["not_held_unsure"] += 1
                self._continue_search(entry, search, now)
                continue
            self._counts["not_held"] += 1
            for target in sure:
                entry.record_bounce(target, now)
            if len(search.located) <= MAX_COPIES_AT_ONCE:
                self._continue_search(entry, search, now)

    def _record_answer(self, asked_at: float, now: float) -> None:
        """Records an answer, unless it is to a message of an earlier pass."""
        if asked_at <= now:
            self._clock.record_answer(asked_at, now)
