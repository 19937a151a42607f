"""Agent of packet flows: forwards packets to its target, answers to callers."""

import logging
import math
from collections import Counter, OrderedDict
from socket import inet_aton, inet_ntoa
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.containment.units import contain_errors
from jujuberun.durations import Durations
from jujuberun.frames import (
    CONFIRMATION_REQUESTED,
    NO_BUSY_LIMIT,
    Bouncer,
    Frame,
    FrameCodec,
    split_mark,
    unpack_caller,
)
from jujuberun.ids import Address, PoolId
from jujuberun.logs import make_logger
from jujuberun.overload.busy_flows import BusyFlows
from jujuberun.overload.work import AnswerWork
from jujuberun.ownersearch.agent_flow import SidecarFlow
from jujuberun.ownersearch.held_flows import HeldFlows
from jujuberun.ownersearch.open_inquiries import OpenInquiries, OpenInquiry
from jujuberun.peers import Peers
from jujuberun.poolcheck.start_check import PoolChecker, StartCheck
from jujuberun.port import Port, handle_each
from jujuberun.warmup.agent_limit import AgentLimit
from jujuberun.wire import Accepted, Declined, Warmup

# A flow without packets for this time is removed.
FLOW_IDLE_TIMEOUT_S = 20.0
HALF_OPEN_TIMEOUT_S = 1.5  # a caller abandons a start after 1.4 s
# A target that has not answered within this time is assumed to have lost the
# request, so its slot counts as free.
ANSWER_TIMEOUT_S = 5.0
MAINTENANCE_INTERVAL_S = 0.5
# A stopping agent waits until no packet has arrived for this time. It is longer
# than several round trips, so that an answer of many packets is sent whole.
DRAIN_QUIET_S = 0.05
MAX_FLOWS = 100_000

_log = make_logger("sidecar")


class Sidecar:
    """Part "sidecar": agent of a target that terminates its flows itself.

    It tracks which flows wait for an answer, and thus whether a slot is free.
    It has no state that the target lacks: after a restart it continues to
    forward the packets of open flows.
    """

    name = "sidecar"

    def __init__(
        self,
        port: Port,
        outbound: Port,
        target: Address,
        pool: PoolId,
        codec: FrameCodec,
        peers: Peers,
    ) -> None:
        """Builds the part.

        Args:
            port: receives packets from balancers.
            outbound: receives packets from the target.
            target: address at which the target receives packets.
            pool: pool that the target serves.
            codec: format of the packets.
            peers: sends messages to balancers.
        """
        self.counts: Counter[str] = Counter()
        self.draining = False
        self._port = port
        self._outbound = outbound
        self._target = target
        self._pool = pool
        self._pool_checker = PoolChecker(pool)
        self._codec = codec
        self._peers = peers
        self._flows: OrderedDict[bytes, SidecarFlow] = OrderedDict()
        self._busy = BusyFlows()
        self._inquiries = OpenInquiries()
        self.held_flows = HeldFlows(
            peers, self._flows, self._send_accepted, self.counts, pool
        )
        self._work = AnswerWork()
        self._answer_times = Durations()
        self._last_packet_at = -math.inf
        self._warmup = AgentLimit(self.counts)
        peers.register(Warmup, self._warmup.handle_warmup)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forwards packets until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._port.serve, self.deliver)
            group.start_soon(self._outbound.serve, self.send_back)
            group.start_soon(self._maintain)
            task_status.started()
            await anyio.sleep_forever()

    async def drain(self, limit: float) -> int:
        """Accepts no new flows and waits until no answer is in progress.

        Open flows without a request need not end: the target holds them, and
        the restarted agent forwards their packets.

        Args:
            limit: maximum duration of the wait in seconds.

        Returns:
            Number of requests that were in progress at the end.
        """
        self.draining = True
        with anyio.move_on_after(limit):
            # There is no event to wait for: the flows have to be silent.
            while not self.is_quiet(anyio.current_time()):  # noqa: ASYNC110
                await anyio.sleep(DRAIN_QUIET_S / 4)
        return self._busy.count

    def count_flows(self) -> int:
        """Returns the number of flows that this agent tracks."""
        return len(self._flows)

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Returns what this agent would do with a start packet now."""
        return {
            "pool": self._pool,
            "busy": self._busy.count,
            "takes_new_flows": not self.draining,
            "warmup": self._warmup.describe(now),
        }

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns load and counts."""
        return {
            "flows": {self._pool: len(self._flows)},
            "busy": self._busy.count,
            "service_time_s": round(self._work.mean, 4),
            "draining": self.draining,
            "inquiries": len(self._inquiries),
            "warmup": self._warmup.describe(now),
            "answer_times": self._answer_times,
            "counts": dict(self.counts),
        }

    def deliver(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Forwards packets of balancers to the target.

        Args:
            batch: packets with the addresses of the balancers.
            now: seconds, monotonic.
        """
        self.counts["failed"] += handle_each(batch, now, self._deliver_packet)

    def send_back(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Sends packets of the target to callers, or returns them to balancers.

        Args:
            batch: packets of the target.
            now: seconds, monotonic.
        """
        self.counts["failed"] += handle_each(batch, now, self._send_packet)

    def _deliver_packet(self, data: bytes, sender: Address, now: float) -> None:
        data, pool = self._codec.split_pool(data)
        frame = self._codec.read_request(data)
        if frame is None:
            self.counts["malformed"] += 1
            return
        tag, slots, busy_limit = split_mark(frame.mark)
        if frame.starts:
            match self._pool_checker.check(pool, tag, now):
                case StartCheck.OTHER_POOL:
                    self._return_other_pool(frame, data, sender, now)
                    return
                case StartCheck.NO_NAME:
                    self._decline(frame, sender, needs_pool=True)
                    return
                case StartCheck.TOO_EARLY:
                    self.counts["declined_unnamed"] += 1
                    self._decline(frame, sender)
                    return
            self._busy.slots = slots
            if not self._admit(frame, sender, busy_limit, now):
                return
        elif not self._is_for_target(frame, tag):
            self._return_other_pool(frame, data, sender, now)
            return
        else:
            # Balancers of earlier versions send no inquiries.
            is_inquiry = busy_limit == CONFIRMATION_REQUESTED
            self._record_request(frame, sender, is_inquiry, now)
        self._last_packet_at = now
        balancer = int.from_bytes(inet_aton(sender[0]), "big")
        marked = self._codec.set_mark(data, balancer)
        self._outbound.send(marked, self._target)

    def _send_packet(self, data: bytes, sender: Address, now: float) -> None:
        frame = self._codec.read_answer(data)
        if frame is None:
            self.counts["malformed"] += 1
            return
        if frame.bounced:
            self._return_packet(frame, data)
            return
        self._record_answer(frame, now)
        self._last_packet_at = now
        host, _ = unpack_caller(frame.key)
        self._port.send(data, (host, self._port.address[1]))

    def is_quiet(self, now: float) -> bool:
        """Returns whether a stop would not interrupt an answer."""
        return (
            not self._busy.count and now - self._last_packet_at > DRAIN_QUIET_S
        )

    def _is_for_target(self, frame: Frame, tag: int) -> bool:
        """Returns whether the target may hold the flow of a packet.

        A balancer that is behind may take the address for one of another pool,
        while the target holds the flow.
        """
        return (
            self._pool_checker.has_tag(tag)
            or frame.key in self._flows
            or self.held_flows.may_hold(frame.key)
        )

    def _return_other_pool(
        self, frame: Frame, data: bytes, sender: Address, now: float
    ) -> None:
        self.counts["other_pool"] += 1
        _log.log_limited(
            logging.INFO,
            "other-pool",
            now,
            "returned a packet of %s: its pool is not %s",
            unpack_caller(frame.key),
            self._pool,
        )
        returned = self._codec.set_bounced(data, Bouncer.AGENT)
        self._port.send(returned, sender)

    def _admit(
        self, frame: Frame, sender: Address, busy_limit: int, now: float
    ) -> bool:
        """Returns whether a start is forwarded; otherwise declines it."""
        flow = self._flows.get(frame.key)
        if flow is not None and not flow.has_request:
            flow.balancer = sender
            if not flow.accepted:
                self._warmup.record_copy(now)
            return True
        self._busy.release_half_open(now)
        full = busy_limit < NO_BUSY_LIMIT and self._busy.count >= busy_limit
        full = full or self.draining
        wait_ms = None if full else self._warmup.take(frame.key, now)
        if full or wait_ms is not None:
            self.counts["declined"] += 1
            self._decline(frame, sender, wait_ms)
            return False
        if flow is not None:
            self._remove(flow)
        self._add(SidecarFlow(frame.key, sender, now, now))
        return True

    def _decline(
        self,
        frame: Frame,
        sender: Address,
        wait_ms: int | None = None,
        needs_pool: bool = False,
    ) -> None:
        """Tells a balancer that a start was not forwarded."""
        declined = Declined(
            frame.key,
            self._busy.count,
            round(self._work.mean * 1e6),
            self.draining,
            wait_ms,
            needs_pool or None,
            self._pool,
        )
        self._peers.send(declined, self._find_peer(sender))

    def _record_request(
        self, frame: Frame, sender: Address, is_inquiry: bool, now: float
    ) -> None:
        """Updates a flow after a packet of the caller other than the start.

        Confirms the flow to a balancer that asks for its owner, or to which the
        network has moved it.
        """
        flow = self._flows.get(frame.key)
        is_known = flow is not None and flow.accepted
        if is_inquiry and not is_known:
            # The agent may have restarted: the target will show what it holds.
            inquiry = OpenInquiry(sender, frame.acknowledged, now)
            self._inquiries.add(frame.key, inquiry)
        if flow is None:
            return
        is_asked = is_inquiry or flow.balancer != sender
        if is_known and is_asked and flow.includes(frame):
            flow.balancer = sender
            self._send_accepted(flow.key, flow.sequence, sender)
        flow.used_at = now
        self._flows.move_to_end(frame.key)
        if frame.size:
            self._busy.record_data(flow, now)
        flow.has_request = True
        flow.caller_closed |= frame.closes
        if frame.resets or (flow.caller_closed and flow.target_closed):
            self._remove(flow)

    def _record_answer(self, frame: Frame, now: float) -> None:
        """Updates a flow after a packet of the target."""
        inquiry = self._inquiries.take(frame.key, now)
        if inquiry is not None and not (frame.resets or frame.starts):
            self.counts["confirmed_late"] += 1
            received = inquiry.acknowledged
            self._send_accepted(frame.key, received, inquiry.balancer)
        flow = self._flows.get(frame.key)
        if flow is None:
            if not frame.resets:
                self._record_former_flow(frame, now)
            return
        flow.used_at = now
        if frame.starts and not flow.accepted:
            flow.accepted = True
            self._busy.record_opening(flow, now)
            flow.sequence = frame.sequence
            self._send_accepted(flow.key, flow.sequence, flow.balancer)
        if frame.size and flow.waiting_since is not None:
            self._answer_times.add(now - flow.waiting_since)
            if not flow.was_queued:
                self._work.record(flow.key, now - flow.waiting_since)
            self._busy.set_waiting(flow, None)
        flow.target_closed |= frame.closes
        if frame.resets or (flow.caller_closed and flow.target_closed):
            self._remove(flow)

    def _record_former_flow(self, frame: Frame, now: float) -> None:
        """Records a packet of the target in a flow that is not tracked."""
        if not frame.starts and not self.held_flows.may_hold(frame.key):
            self._pool_checker.quarantine.record_former_flow()
        self.held_flows.record_use(frame.key, now)

    def _send_accepted(
        self, key: bytes, sequence: int, balancer: Address
    ) -> None:
        """Tells a balancer that the target holds a flow."""
        accepted = Accepted(
            key,
            sequence,
            self._busy.count,
            round(self._work.mean * 1e6),
            self._work.take(key),
            self._pool,
        )
        self._peers.send(accepted, self._find_peer(balancer))

    def _return_packet(self, frame: Frame, data: bytes) -> None:
        """Sends a packet that the target bounced back to its balancer."""
        self.counts["bounced"] += 1
        flow = self._flows.get(frame.key)
        self._inquiries.remove(frame.key)
        is_lost = not frame.starts and flow is not None and flow.includes(frame)
        if flow is not None and (not flow.accepted or is_lost):
            # A target that restarted holds none of the flows that were open.
            self._remove(flow)
        self.held_flows.forget(frame.key)
        balancer = inet_ntoa(frame.mark.to_bytes(4, "big"))
        returned = self._codec.set_bounced(data, Bouncer.TARGET)
        self._port.send(returned, (balancer, self._port.address[1]))

    def _add(self, flow: SidecarFlow) -> None:
        self.counts["flows_created"] += 1
        self._flows[flow.key] = flow
        self.held_flows.record_flow(flow.key)
        self._busy.add()
        if len(self._flows) > MAX_FLOWS:
            self._remove(next(iter(self._flows.values())))

    def _remove(self, flow: SidecarFlow) -> None:
        self._busy.set_waiting(flow, None)
        if self._flows.pop(flow.key, None) is not None:
            self.held_flows.record_removal(flow)

    def _find_peer(self, balancer: Address) -> Address:
        """Returns a balancer's peer address; all VMs use the same peer port."""
        return balancer[0], self._peers.address[1]

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            with contain_errors("removal of idle flows", self.counts):
                self.expire(anyio.current_time())

    def expire(self, now: float) -> None:
        """Removes idle flows, and frees slots of overdue answers."""
        self._pool_checker.quarantine.begin(now)
        self.held_flows.expire(now)
        for flow in list(self._flows.values()):
            idle = now - flow.used_at
            if idle > FLOW_IDLE_TIMEOUT_S or (
                not flow.has_request and idle > HALF_OPEN_TIMEOUT_S
            ):
                self._remove(flow)
                continue
            waiting = flow.waiting_since
            if waiting is not None and now - waiting > ANSWER_TIMEOUT_S:
                self.counts["answers_overdue"] += 1
                self._busy.set_waiting(flow, None)
