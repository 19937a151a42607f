"""Finds targets of other pools that may hold flows of a service.

A flow stays at its target when its service moves to another pool. A balancer
that started later, or that did not see the move, asks the agents of all pools.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from typing import Any

from jujuberun.agentidentity.senders import list_senders
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import get_service
from jujuberun.ids import Address, PoolId
from jujuberun.ownersearch.address_rounds import AddressRounds
from jujuberun.ownersearch.agent_knowledge import knows_all_flows
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.ownersearch.search_step import UNSURE_SILENCE_LIMIT_S
from jujuberun.peers import Peers
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import Steering
from jujuberun.target_state import TargetState
from jujuberun.wire import HeldAddresses, ListAddresses, unpack_address

# Searches that go on at a time after a round, so that packets of other flows
# are not held up.
MAX_RESUMED_AT_ONCE = 200

ContinueSearch = Callable[[FlowEntry, FlowSearch, float], None]


class OtherPools:
    """Exchanges messages about service addresses with agents."""

    def __init__(
        self,
        peers: Peers,
        steering: Steering,
        services: ServiceMap,
        clock: AnswerClock,
        counts: Counter[str],
        agent_port: int,
        mark_changed: Callable[[], None],
        continue_search: ContinueSearch,
    ) -> None:
        """Builds the part of one balancer.

        Args:
            peers: exchanges messages with agents.
            steering: knows the targets.
            services: services by address.
            clock: times of inquiries and their answers.
            counts: event counters of the balancer.
            agent_port: port at which all agents receive packets.
            mark_changed: called when other targets may hold flows.
            continue_search: called with a flow, its search and the time when a
                search goes on that waited for the agents of other pools.
        """
        self._peers = peers
        self._steering = steering
        self._services = services
        self._clock = clock
        self._counts = counts
        self._agent_port = agent_port
        self._mark_changed = mark_changed
        self._continue_search = continue_search
        self._rounds = AddressRounds()
        self._holders: defaultdict[bytes, set[Address]] = defaultdict(set)
        self._addresses: dict[Address, frozenset[bytes]] = {}
        # Pools that the agents stated with these addresses.
        self._stated: dict[Address, PoolId] = {}
        # Flows and searches that wait, by service address and key.
        self._waiting: defaultdict[
            bytes, dict[bytes, tuple[FlowEntry, FlowSearch]]
        ] = defaultdict(dict)
        self._resumed: list[tuple[FlowEntry, FlowSearch]] = []
        peers.register(HeldAddresses, self._handle_held)

    def find_next_at(self) -> float:
        """Returns the time of the next step, infinite without any."""
        if self._resumed:
            return 0.0
        return self._rounds.find_next_at()

    def describe(self) -> dict[str, Any]:
        """Returns the state as JSON types."""
        return {
            "rounds": self._rounds.token,
            "holders": {
                address.hex(): len(agents)
                for address, agents in self._holders.items()
            },
            "unsure": len(self._rounds.unsure),
            "waiting": sum(map(len, self._waiting.values())),
        }

    def is_covered(self, search: FlowSearch, pools: tuple[PoolId, ...]) -> bool:
        """Returns whether all agents were asked since a search began.

        Args:
            search: the search.
            pools: pools whose targets are asked anyway.
        """
        if not self._steering.has_other_pools(pools):
            return True
        return self._rounds.is_covered(search.begun_at)

    def ask(self, entry: FlowEntry, search: FlowSearch) -> None:
        """Lets a search wait until the agents of all pools were asked."""
        search.awaits_pools = True
        self._waiting[get_service(entry.key)][entry.key] = entry, search
        self._rounds.request(search.begun_at)

    def list_targets(
        self, entry: FlowEntry, pools: tuple[PoolId, ...], now: float
    ) -> tuple[list[TargetState], list[TargetState]]:
        """Returns the targets of other pools that may hold a flow.

        Args:
            entry: the flow.
            pools: pools whose targets are asked anyway.
            now: seconds, monotonic.

        Returns:
            Targets whose agents hold flows of the service, and targets whose
            agents gave no complete answer and are not known to be silent.
        """
        holders = self._holders.get(get_service(entry.key), frozenset())
        unsure = self._rounds.unsure - holders
        return (
            [
                candidate
                for agent in sorted(holders)
                for candidate in self._list_holders(agent, pools, now)
            ],
            [
                candidate
                for agent in sorted(unsure)
                for candidate in self._list_of(agent, pools)
                if now - candidate.unanswered_since < UNSURE_SILENCE_LIMIT_S
            ],
        )

    def check(self, now: float) -> None:
        """Takes the steps that are due."""
        resumed = self._resumed[:MAX_RESUMED_AT_ONCE]
        del self._resumed[:MAX_RESUMED_AT_ONCE]
        for entry, search in resumed:
            self._continue_search(entry, search, now)
        if now < self._rounds.find_next_at():
            return
        if self._rounds.is_due(now):
            agents, awaited = self._steering.list_agents()
            self._rounds.begin(agents, awaited, now)
        port = self._peers.address[1]
        for agent in self._rounds.take_due(self._clock.timeout, now):
            self._counts["address_inquiries"] += 1
            self._peers.send(
                ListAddresses(self._rounds.token), (agent[0], port)
            )
        self._end_if_done(now)

    def _list_of(
        self, agent: Address, pools: tuple[PoolId, ...]
    ) -> Collection[TargetState]:
        """Returns a target of each other pool at the address of an agent."""
        found: dict[PoolId, TargetState] = {}
        for candidate in self._steering.find_by_agent(agent):
            if candidate.pool not in pools:
                found.setdefault(candidate.pool, candidate)
        return found.values()

    def _list_holders(
        self, agent: Address, pools: tuple[PoolId, ...], now: float
    ) -> Collection[TargetState]:
        """Returns the target that an agent spoke for, if of another pool."""
        others = self._list_of(agent, pools)
        stated = self._stated.get(agent)
        if stated is None:
            return others
        if stated in pools:
            return ()
        own = [c for c in others if c.pool == stated]
        return own or (self._steering.add_unlisted(agent, stated, now),)

    def _handle_held(self, message: Any, sender: Address, now: float) -> None:
        """Handles the service addresses of the flows at an agent's target."""
        agent = (sender[0], self._agent_port)
        candidates = self._steering.find_by_agent(agent)
        senders = list_senders(candidates, message.pool)
        for candidate in senders or candidates:
            candidate.unanswered_since = math.inf
        is_complete = bool(message.complete) and knows_all_flows(
            message.started,
            message.running,
            [c.started for c in senders if c.removed_at is None],
        )
        if not self._rounds.record_answer(agent, message.token, is_complete):
            return
        self._counts["address_answers"] += 1
        pools = {candidate.pool for candidate in candidates}
        if message.pool is not None and candidates:
            pools = {message.pool}
        held = frozenset(
            address
            for address in message.addresses
            if self._is_of_other_pool(address, pools)
        )
        before = self._addresses.pop(agent, frozenset())
        stated_before = self._stated.pop(agent, None)
        if held:
            self._addresses[agent] = held
            if message.pool is not None:
                self._stated[agent] = message.pool
        for address in before - held:
            self._holders[address].discard(agent)
            if not self._holders[address]:
                del self._holders[address]
        for address in held:
            self._holders[address].add(agent)
        if held != before or self._stated.get(agent) != stated_before:
            self._mark_changed()
        for address in held - before:
            self._resume(address)
        self._end_if_done(now)

    def _is_of_other_pool(self, address: bytes, pools: set[PoolId]) -> bool:
        """Returns whether a service is not known to use one of the pools."""
        name = unpack_address(address)
        if self._services.find(name) is None:
            return False
        return not pools.issubset(self._services.list_pools(name))

    def _end_if_done(self, now: float) -> None:
        """Lets the searches that waited for a round go on after its end."""
        before = self._rounds.unsure
        if not self._rounds.end_if_done(now):
            return
        if self._rounds.unsure != before:
            self._mark_changed()
        for address in list(self._waiting):
            self._resume(address)

    def _resume(self, address: bytes) -> None:
        """Lets the searches for flows of a service go on."""
        self._resumed.extend(self._waiting.pop(address, {}).values())
