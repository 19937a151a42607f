"""Search for the targets that hold flows which began at other balancers."""

import math
from collections import Counter
from typing import Any

import anyio

from jujuberun.confirmation_timeout import ConfirmationTimeout
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import BOUNCE_RETENTION_S, FlowEntry, FlowTable
from jujuberun.frames import Frame, unpack_service
from jujuberun.ids import TargetId
from jujuberun.lost_flows import RECHECK_DELAY_S, LostFlowAction
from jujuberun.members import Members
from jujuberun.ownersearch.agent_inquiries import AgentInquiries
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_search import FlowSearch, expects_answer
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
    find_death,
    find_due,
    is_unclocked,
)
from jujuberun.ownersearch.search_timers import SearchTimers
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
from jujuberun.port import run_checks
from jujuberun.servicemap import ServiceMap
from jujuberun.steering import Steering
from jujuberun.target_state import TargetState


class OwnerSearch:
    """Forwards packets after the start of a flow to the target that holds it.

    The owner is the target whose agent confirmed the flow. While none did, a
    packet goes to the targets that may hold the flow, a few at a time. The
    owner's agent confirms the flow; a target that does not hold it returns the
    packet.
    """

    def __init__(
        self,
        port: PacketPort,
        flows: FlowTable,
        steering: Steering,
        services: ServiceMap,
        members: Members,
        start_timeout: ConfirmationTimeout,
        counts: Counter[str],
        log: DecisionLog,
        peers: Peers,
    ) -> None:
        """Builds the search of one balancer.

        Args:
            port: sends packets to agents and callers.
            flows: flows that are cached at the balancer.
            steering: knows the targets.
            services: services by address.
            members: provides the index of the list of VMs that is logged.
            start_timeout: timeout that follows the confirmations of starts.
            counts: event counters of the balancer.
            log: log for decisions of the balancer.
            peers: exchanges messages with agents.
        """
        self._port = port
        self._flows = flows
        self._steering = steering
        self._services = services
        self._clock = AnswerClock(start_timeout)
        self._counts = counts
        self._lost_flows = LostFlowHandler(
            port, steering, services, members, counts, log
        )
        self._sender = SearchSender(port, steering, self._clock, counts)
        self._inquiries = AgentInquiries(
            peers,
            flows,
            steering,
            self._clock,
            counts,
            port.port_number,
            self._continue_answered,
        )
        self._other_pools = OtherPools(
            peers,
            steering,
            services,
            self._clock,
            counts,
            port.port_number,
            self.mark_changed,
            self._continue_after_round,
        )
        self._owners = PossibleOwners(
            steering, self._lost_flows, self._other_pools
        )
        self._timers: SearchTimers[FlowEntry] = SearchTimers()
        self._timers_changed = anyio.Event()

    def describe(self) -> dict[str, Any]:
        """Returns the state of the search as JSON types."""
        return {
            "timeout_s": round(self._clock.timeout, 3),
            "timers": len(self._timers),
            "waiting_keys": self._inquiries.count_waiting(),
            "other_pools": self._other_pools.describe(),
        }

    def mark_changed(self) -> None:
        """Records that the targets or the pools of services changed."""
        self._owners.mark_changed()

    def forward(self, frame: Frame, data: bytes, now: float) -> None:
        """Forwards a packet after the start of a flow."""
        entry = self._flows.find(frame.key, now) or self._adopt(frame, now)
        if entry is None:
            return
        entry.record_answered_start(frame)
        if entry.search is None:
            entry.expire_bounces(now)
        else:
            self._restart_if_outdated(entry, entry.search, now)
        is_repeated = entry.record_and_check_repeat(frame)
        owner = self._find_owner(entry, frame)
        if owner is None:
            self._forward_to_searched(entry, frame, data, is_repeated, now)
            return
        self._forward_to_owner(entry, owner, data, is_repeated, now)
        if self._clock.shows_silence(entry.unanswered_since, now):
            self._forward_to_searched(entry, frame, data, is_repeated, now)
        elif entry.search is not None:
            # Its agent is heard again.
            self._finish(entry, entry.search, owner.id, now)

    def _forward_to_owner(
        self,
        entry: FlowEntry,
        owner: TargetState,
        data: bytes,
        is_repeated: bool,
        now: float,
    ) -> None:
        """Forwards a packet to a confirmed owner, also while it is silent."""
        owner.used_at = now
        may_be_lost = is_repeated or entry.is_resent
        if may_be_lost and now - owner.inquired_at >= self._clock.timeout:
            # The caller got no answer: the target may have failed.
            entry.unanswered_since = min(entry.unanswered_since, now)
            owner.record_inquiry(now)
            self._port.send_inquiry(data, owner)
        else:
            self._port.send_packet(data, owner)

    def release(self, entry: FlowEntry, now: float) -> None:
        """Sends the kept packets of a flow after an agent confirmed it."""
        entry.unanswered_since = math.inf
        if entry.search is None:
            return
        search = entry.search
        owner = entry.find_owner(search.frame)
        inquiry = search.inquiries.get(owner)
        if inquiry is not None:
            self._clock.record_answer(inquiry.first_at, now)
            self._counts["owners_found"] += 1
        elif owner in search.located:
            self._inquiries.record_confirmation(search, now)
            self._lost_flows.write_log(
                entry,
                "owner located: its agent knows the flow",
                now,
                target=owner,
            )
        if owner is not None:
            self._finish(entry, search, owner, now)

    def redirect_bounced(
        self,
        entry: FlowEntry,
        bouncing: list[TargetId],
        frame: Frame,
        data: bytes,
        now: float,
    ) -> None:
        """Handles a bounced packet other than a start.

        Args:
            entry: the flow, with the bounce recorded.
            bouncing: targets of the agent that returned the packet.
            frame: header of the packet.
            data: the packet.
            now: seconds, monotonic.
        """
        search = entry.search
        if search is not None:
            for target in bouncing:
                asked_at = search.record_bounce(target, now)
                if asked_at is not None:
                    self._clock.record_answer(asked_at, now)
        owner = self._find_owner(entry, frame)
        if owner is not None:
            offers = [entry.find_offer(target) for target in bouncing]
            if any(o is not None and o.sequence is not None for o in offers):
                # The other one of two targets that took the start.
                self._port.send_packet(data, owner)
            return
        if search is not None:
            if not search.is_over:
                search.keep_packet(frame, data, now)
                self._advance(entry, search, Trigger.BOUNCE, now)
        elif expects_answer(frame):
            self._forward_to_searched(entry, frame, data, False, now)
        else:
            # The packet follows the regular end of the flow.
            self._counts["dropped_no_owner"] += 1

    def _finish(
        self, entry: FlowEntry, search: FlowSearch, owner: TargetId, now: float
    ) -> None:
        """Ends a search whose owner is confirmed."""
        self._sender.send_kept(search, owner, now)
        entry.search = None

    def _adopt(self, frame: Frame, now: float) -> FlowEntry | None:
        """Creates an entry for a flow that was opened at another balancer."""
        address = unpack_service(frame.key)
        service = self._services.find(address)
        if service is None:
            # The service was removed, or this process does not know it yet.
            self._counts["dropped_no_service"] += 1
            return None
        entry = FlowEntry(
            frame.key, service.id, service.pools, now, now, None, -1
        )
        self._flows.add(entry)
        self._counts["flows_adopted"] += 1
        self._lost_flows.write_log(
            entry, "flow adopted: it began at another balancer", now
        )
        return entry

    def _restart_if_outdated(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Starts a search anew that found no owner some time ago."""
        is_old = now - entry.bounced_at > BOUNCE_RETENTION_S
        is_waiting = search.awaits_pools or search.recheck_at < math.inf
        if search.is_over and is_old and not is_waiting:
            entry.restart_search()
            search.begun_at = now

    def _find_owner(self, entry: FlowEntry, frame: Frame) -> TargetState | None:
        """Returns the target whose agent confirmed a flow, or None."""
        owner = entry.find_owner(frame)
        return None if owner is None else self._steering.find(owner)

    def _forward_to_searched(
        self,
        entry: FlowEntry,
        frame: Frame,
        data: bytes,
        is_repeated: bool,
        now: float,
    ) -> None:
        """Forwards a packet of a flow whose owner is not confirmed."""
        search = entry.search
        if search is None:
            if entry.is_accepted and not expects_answer(frame):
                # The owner bounced: the packet follows the end of the flow.
                self._counts["dropped_no_owner"] += 1
                return
            search = entry.start_search(frame, data, now)
        else:
            search.record_packet(frame, data, now)
        self._owners.refresh(entry, search, now)
        left = search.find_only_left(entry.bounced_by)
        inputs = self._get_inputs(entry, now)
        is_owner = left is not None and self._is_covered(entry, search)
        if is_owner and now < find_death(search, inputs, left):
            self._sender.send_to_only_left(search, left, data, now)
            self._set_timer(entry, search, find_due(search, inputs, now))
            return
        search.keep_packet(frame, data, now)
        trigger = Trigger.REPEAT if is_repeated else Trigger.PACKET
        self._advance(entry, search, trigger, now)

    def _advance(
        self, entry: FlowEntry, search: FlowSearch, trigger: Trigger, now: float
    ) -> None:
        """Takes the next step of a search, and sets its timer."""
        self._owners.refresh(entry, search, now)
        inputs = self._get_inputs(entry, now)
        step = decide_step(search, inputs, trigger, now)
        match step:
            case NoneLeft(silent):
                search.is_over = True
                is_covered = self._is_covered(entry, search)
                action = self._lost_flows.handle(
                    entry, search, silent, is_covered, now
                )
                if action is LostSearchAction.ASK_POOLS:
                    self._set_timer(entry, search, math.inf)
                    self._ask_other_pools(entry, search)
                elif action is LostSearchAction.REPEAT:
                    self._repeat_search(entry, search, now)
                else:
                    self._set_timer(entry, search, search.recheck_at)
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
                self._inquiries.ask(entry, search, targets, now)
                self._timers_changed.set()
        if not search.list_unasked(entry.bounced_by):
            self._end_pass(entry, search, trigger, now)
        is_waiting = isinstance(step, Wait)
        due = step.until if is_waiting else find_due(search, inputs, now)
        self._set_timer(entry, search, due)

    def _is_covered(self, entry: FlowEntry, search: FlowSearch) -> bool:
        """Returns whether the agents of other pools were asked, too."""
        pools = self._lost_flows.list_pools(entry)
        return self._other_pools.is_covered(search, pools)

    def _ask_other_pools(self, entry: FlowEntry, search: FlowSearch) -> None:
        self._other_pools.ask(entry, search)
        self._timers_changed.set()

    def _end_pass(
        self,
        entry: FlowEntry,
        search: FlowSearch,
        trigger: Trigger,
        now: float,
    ) -> None:
        """Handles a search that has asked all targets.

        Sends kept packets to the target that is left after all others bounced.
        A silent target does not keep the agents of other pools from being
        asked.
        """
        if search.first_pass_at is None:
            search.first_pass_at = now
        left = search.find_only_left(entry.bounced_by)
        if left is None and trigger is not Trigger.TIMER:
            return
        if not self._is_covered(entry, search):
            if may_ask_pools(search, now):
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

    def _get_inputs(self, entry: FlowEntry, now: float) -> SearchInputs:
        return SearchInputs(
            entry.bounced_by,
            self._clock.timeout,
            self._clock.answered_until,
            self._clock.find_budget(now),
            self._find_silence,
            self._steering.is_listed,
        )

    def _find_silence(self, target: TargetId) -> float:
        """Returns since when packets to a target's agent are unanswered."""
        candidate = self._steering.find(target)
        return -math.inf if candidate is None else candidate.unanswered_since

    def _repeat_search(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Asks all targets again, because the owner may be listed late."""
        entry.restart_search()
        self._advance(entry, search, Trigger.PACKET, now)

    def _set_timer(
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
                self._inquiries.next_at,
                self._other_pools.find_next_at(),
            )
            with anyio.CancelScope(deadline=next_at):
                await self._timers_changed.wait()
            now = anyio.current_time()
            self._counts["failed"] += run_checks(self.check_timers, now)

    def check_timers(self, now: float) -> None:
        """Continues the searches that are due."""
        self._inquiries.flush(now)
        self._other_pools.check(now)
        for entry, search in self._timers.take_due(now):
            if entry.search is search and self._flows.contains(entry):
                self._continue(entry, search, now)

    def _continue_answered(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Takes the step of a search after an agent does not know its flow."""
        if not search.is_over:
            self._advance(entry, search, Trigger.BOUNCE, now)

    def _continue_after_round(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Continues a search that waited for the agents of other pools."""
        search.awaits_pools = False
        if entry.search is search and self._flows.contains(entry):
            self._advance(entry, search, Trigger.BOUNCE, now)

    def _continue(
        self, entry: FlowEntry, search: FlowSearch, now: float
    ) -> None:
        """Takes the step of a search that is due without a packet."""
        if not search.is_over:
            self._advance(entry, search, Trigger.TIMER, now)
        elif self._lost_flows.check_list(entry, now) is LostFlowAction.WAIT:
            search.recheck_at = now + RECHECK_DELAY_S
            self._set_timer(entry, search, search.recheck_at)
        else:
            self._repeat_search(entry, search, now)
