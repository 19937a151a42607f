"""Takes the steps of searches for the targets that hold flows."""

import math
from collections import Counter
from typing import Any

import anyio

from jujuberun.flowtable import FlowEntry, FlowTable
from jujuberun.ids import TargetId
from jujuberun.lost_flows import RECHECK_DELAY_S, LostFlowAction
from jujuberun.ownersearch.agent_inquiries import AgentInquiries
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.ownersearch.lost_flow_handler import LostFlowHandler
from jujuberun.ownersearch.lost_search import LostSearchAction, may_ask_pools
from jujuberun.ownersearch.other_pools import OtherPools
from jujuberun.ownersearch.possible_owners import PossibleOwners
from jujuberun.ownersearch.search_sender import SearchSender
from jujuberun.ownersearch.search_step import (
    AskAgents,
    AskTargets,
    NoneLeft,
    SearchInputs,
    Trigger,
    Wait,
    decide_step,
    find_due,
    is_unclocked,
)
from jujuberun.ownersearch.search_timers import SearchTimers
from jujuberun.peers import Peers
from jujuberun.port import run_checks
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import Steering


class SearchRunner:
    """Takes the next step of a search, after an event or when it is due."""

    def __init__(
        self,
        flows: FlowTable,
        steering: Steering,
        services: ServiceMap,
        clock: AnswerClock,
        counts: Counter[str],
        peers: Peers,
        agent_port: int,
        lost_flows: LostFlowHandler,
        sender: SearchSender,
    ) -> None:
        """Builds the runner of one balancer.

        Args:
            flows: flows that are cached at the balancer.
            steering: knows the targets.
            services: services by address.
            clock: times of inquiries and their answers.
            counts: event counters of the balancer.
            peers: exchanges messages with agents.
            agent_port: port at which all agents receive packets.
            lost_flows: handles flows for which a search found no owner.
            sender: sends packets to targets.
        """
        self._flows = flows
        self._steering = steering
        self._clock = clock
        self._counts = counts
        self._lost_flows = lost_flows
        self._sender = sender
        self.inquiries = AgentInquiries(
            peers,
            flows,
            steering,
            clock,
            counts,
            agent_port,
            self._continue_answered,
        )
        self._other_pools = OtherPools(
            peers,
            steering,
            services,
            clock,
            counts,
            agent_port,
            self.mark_changed,
            self._continue_after_round,
        )
        self._owners = PossibleOwners(steering, lost_flows, self._other_pools)
        self._timers: SearchTimers[FlowEntry] = SearchTimers()
        self._timers_changed = anyio.Event()

    def describe(self) -> dict[str, Any]:
        """Returns the state of the searches as JSON types."""
        return {
            "timeout_s": round(self._clock.timeout, 3),
            "timers": len(self._timers),
            "waiting_keys": self.inquiries.count_waiting(),
            "other_pools": self._other_pools.describe(),
        }

    def mark_changed(self) -> None:
        """Records that the targets or the pools of services changed."""
        self._owners.mark_changed()

    def refresh(self, entry: FlowEntry, search: FlowSearch, now: float) -> None:
        """Lists the targets that may hold a flow, if they changed."""
        self._owners.refresh(entry, search, now)

    def advance(
        self, entry: FlowEntry, search: FlowSearch, trigger: Trigger, now: float
    ) -> None:
        """Takes the next step of a search, and sets its timer."""
        self.refresh(entry, search, now)
        inputs = self.get_inputs(entry, now)
        step = decide_step(search, inputs, trigger, now)
        match step:
            case NoneLeft(silent):
                search.is_over = True
                is_covered = self.is_covered(entry, search)
                action = self._lost_flows.handle(
                    entry, search, silent, is_covered, now
                )
                if action is LostSearchAction.ASK_POOLS:
                    self.set_timer(entry, search, math.inf)
                    self._ask_other_pools(entry, search)
                elif action is LostSearchAction.REPEAT:
                    self._repeat_search(entry, search, now)
                else:
                    self.set_timer(entry, search, search.recheck_at)
                return
            case AskTargets(targets):
                search.is_over, search.recheck_at = False, math.inf
                if trigger is Trigger.TIMER:
                    self._counts["search_timeouts"] += 1
                if search.inquiries and is_unclocked(search, inputs):
                    self._clock.spend(len(targets), now)
                for target in targets:
                    self._sender.ask(search, target, now)
            case AskAgents(targets):
                self.inquiries.ask(entry, search, targets, now)
                self._timers_changed.set()
        if not search.list_unasked(entry.bounced_by):
            self._end_pass(entry, search, now)
        is_waiting = isinstance(step, Wait)
        due = step.until if is_waiting else find_due(search, inputs, now)
        self.set_timer(entry, search, due)

    def is_covered(self, entry: FlowEntry, search: FlowSearch) -> bool:
        """Returns whether the agents of other pools were asked, too."""
        pools = self._lost_flows.list_pools(entry)
        return self._other_pools.is_covered(search, pools)

    def get_inputs(self, entry: FlowEntry, now: float) -> SearchInputs:
        """Returns what a step depends on besides the search."""
        return SearchInputs(
            entry.bounced_by,
            self._clock.timeout,
            self._clock.answered_until,
            self._clock.find_budget(now),
            self._find_silence,
            self._steering.is_listed,
        )

    def set_timer(
        self, entry: FlowEntry, search: FlowSearch, due: float
    ) -> None:
        """Sets when a search goes on without a packet; infinite for never."""
        if self._timers.set(entry, search, due):
            self._timers_changed.set()

    async def run_timers(self) -> None:
        """Continues searches when they are due, until cancelled."""
        while True:
            self._timers_changed = anyio.Event()
            next_at = min(
                self._timers.next_at,
                self.inquiries.next_at,
                self._other_pools.find_next_at(),
            )
            with anyio.CancelScope(deadline=next_at):
                await self._timers_changed.wait()
            now = anyio.current_time()
            failed = await run_checks(self.check_timers, now)
            self._counts["failed"] += failed

    def check_timers(self, now: float) -> None:
        """Continues the searches that are due."""
        self.inquiries.flush(now)
        self._other_pools.check(now)
        for entry, search in self._timers.take_due(now):
            if entry.search is search and self._flows.contains(entry):
                self._continue(entry, search, now)

    def _ask_other_pools(self, entry: FlowEntry, search: FlowSearch) -> None:
        self._other_pools.ask(entry, search)
        self._timers_changed.set()

    def _end_pass(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Handles a search that has asked all targets.

        Sends kept packets to the target that is left after all others bounced.
        A silent target does not keep the agents of other pools from being
        asked.
        """
        if search.first_pass_at is None:
            search.first_pass_at = now
        left = search.find_only_left(entry.bounced_by)
        if not self.is_covered(entry, search):
            since = now - self._clock.timeout
            has_waited = search.has_waited(entry.bounced_by, since)
            if has_waited and may_ask_pools(search, now):
                self._ask_other_pools(entry, search)
        elif left is not None and search.packets:
            self._counts["owners_left_over"] += 1
            self._lost_flows.write_log(
                entry,
                "owner assumed: all other targets returned the packet",
                now,
                target=left,
                refused=len(entry.bounced_by),
            )
            self._sender.send_kept(search, left, now)

    def _find_silence(self, target: TargetId) -> float:
        """Returns since when packets to a target's agent are unanswered."""
        candidate = self._steering.find(target)
        return -math.inf if candidate is None else candidate.unanswered_since

    def _repeat_search(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Asks all targets again, because the owner may be listed late."""
        entry.restart_search()
        self.advance(entry, search, Trigger.PACKET, now)

    def _continue_answered(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Takes the step of a search after an agent does not know its flow."""
        if not search.is_over:
            self.advance(entry, search, Trigger.BOUNCE, now)

    def _continue_after_round(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Continues a search that waited for the agents of other pools."""
        search.awaits_pools = False
        if entry.search is search and self._flows.contains(entry):
            self.advance(entry, search, Trigger.BOUNCE, now)

    def _continue(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Takes the step of a search that is due without a packet."""
        if not search.is_over:
            self.advance(entry, search, Trigger.TIMER, now)
        elif self._lost_flows.check_list(entry, now) is LostFlowAction.WAIT:
            search.recheck_at = now + RECHECK_DELAY_S
            self.set_timer(entry, search, search.recheck_at)
        else:
            self._repeat_search(entry, search, now)
