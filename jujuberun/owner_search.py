"""Search for the targets that hold flows which began at other balancers."""

import math
from collections import Counter
from typing import Any

from jujuberun.confirmation_timeout import ConfirmationTimeout
from jujuberun.decisions import DecisionLog
from jujuberun.flowtable import BOUNCE_RETENTION_S, FlowEntry, FlowTable
from jujuberun.frames import Frame, unpack_service
from jujuberun.ids import TargetId
from jujuberun.members import Members
from jujuberun.ownersearch.answer_clock import AnswerClock
from jujuberun.ownersearch.flow_search import FlowSearch, expects_answer
from jujuberun.ownersearch.lost_flow_handler import LostFlowHandler
from jujuberun.ownersearch.search_runner import SearchRunner
from jujuberun.ownersearch.search_sender import SearchSender
from jujuberun.ownersearch.search_step import Trigger, find_death, find_due
from jujuberun.packetport import PacketPort
from jujuberun.peers import Peers
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
        self._runner = SearchRunner(
            flows,
            steering,
            services,
            self._clock,
            counts,
            peers,
            port.port_number,
            self._lost_flows,
            self._sender,
        )

    def describe(self) -> dict[str, Any]:
        """Returns the state of the search as JSON types."""
        return self._runner.describe()

    def mark_changed(self) -> None:
        """Records that the targets or the pools of services changed."""
        self._runner.mark_changed()

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
            self._runner.inquiries.record_confirmation(search, now)
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
                self._runner.advance(entry, search, Trigger.BOUNCE, now)
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
        self._runner.refresh(entry, search, now)
        left = search.find_only_left(entry.bounced_by)
        inputs = self._runner.get_inputs(entry, now)
        is_owner = left is not None and self._runner.is_covered(entry, search)
        if is_owner and now < find_death(search, inputs, left):
            self._sender.send_to_only_left(search, left, data, now)
            self._runner.set_timer(entry, search, find_due(search, inputs, now))
            return
        search.keep_packet(frame, data, now)
        trigger = Trigger.REPEAT if is_repeated else Trigger.PACKET
        self._runner.advance(entry, search, trigger, now)

    async def run_timers(self) -> None:
        """Continues searches when they are due, until cancelled."""
        await self._runner.run_timers()

    def check_timers(self, now: float) -> None:
        """Continues the searches that are due."""
        self._runner.check_timers(now)
