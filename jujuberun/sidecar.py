"""Agent of packet flows: hands packets to its target and sends its answers."""

import logging
import math
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.durations import Durations
from jujuberun.frames import (
    ROOM_ANY,
    Frame,
    FrameCodec,
    find_caller,
    make_tag,
    split_mark,
)
from jujuberun.ids import Address, PoolId
from jujuberun.logs import find_logger
from jujuberun.peers import Peers
from jujuberun.port import Port
from jujuberun.wire import Accepted, Declined

IDLE_S = 20.0  # a flow without packets is forgotten
HALF_OPEN_S = 1.5  # a caller gives a start up after 1.4 s
# The request follows the answer to a start within a round trip of a few
# milliseconds. Without one, the caller has gone on with another target.
REQUEST_DELAY_S = 0.05
# A target that has not answered for so long has lost the request, and its
# slot counts as free.
MAX_WAIT_S = 5.0
MAINTAIN_S = 0.5
# A stop waits until no packet came for so long: several round trips, so that
# the rest of an answer of many packets is not lost.
QUIET_S = 0.05
# Weight of one answer in the moving mean: a target that turns slow shows
# after about ten answers.
SERVICE_TIME_SHARE = 0.1
MAX_FLOWS = 100_000

_log = find_logger("sidecar")


@dataclass(slots=True)
class SidecarFlow:
    """A flow of the target; times are seconds, monotonic.

    Attributes:
        key: of the flow.
        balancer: address that sent its start.
        used: time of its last packet.
        waiting_since: since when it waits for an answer of the target, None
            while it does not.
        queued: it began to wait while all slots were busy.
        has_asked: the caller has sent more than a start.
        accepted: the target has answered the start.
        caller_closed: the caller sends no more data.
        target_closed: the target sends no more data.
    """

    key: bytes
    balancer: Address
    used: float
    waiting_since: float | None
    queued: bool = False
    has_asked: bool = False
    accepted: bool = False
    caller_closed: bool = False
    target_closed: bool = False


class Sidecar:
    """Part "sidecar": agent of a target that ends its flows itself.

    It knows which flows wait for an answer, and so whether a slot is free. It
    holds nothing that its target does not hold too: after a restart, packets
    of open flows go on.
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
            port: takes packets that balancers send.
            outbound: takes packets that the target sends.
            target: where the target takes packets.
            pool: the pool that the target serves.
            codec: format of the packets.
            peers: sends messages to balancers.
        """
        self.counts: Counter[str] = Counter()
        self.draining = False
        self._port = port
        self._outbound = outbound
        self._target = target
        self._pool = pool
        self._tag = make_tag(pool)
        self._codec = codec
        self._peers = peers
        self._flows: OrderedDict[bytes, SidecarFlow] = OrderedDict()
        self._busy = 0
        self._half_open: deque[tuple[float, SidecarFlow]] = deque()
        self._service_time = 0.0
        self._answer_times = Durations()
        self._slots = 0  # as balancers say
        self._carried = -math.inf

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Carries packets until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._port.serve, self.deliver)
            group.start_soon(self._outbound.serve, self.send_back)
            group.start_soon(self._maintain)
            task_status.started()
            await anyio.sleep_forever()

    async def drain(self, limit: float) -> int:
        """Takes no new flows and waits until no answer is under way.

        Open flows without a request stay: the target holds them, and the next
        run of the agent carries their packets.

        Args:
            limit: seconds to wait at most.

        Returns:
            Number of requests that were in progress at the end.
        """
        self.draining = True
        with anyio.move_on_after(limit):
            # Silence is no event that could be waited for.
            while not self._is_quiet(anyio.current_time()):  # noqa: ASYNC110
                await anyio.sleep(QUIET_S / 4)
        return self._busy

    def count_flows(self) -> int:
        """Returns the number of flows that are known here."""
        return len(self._flows)

    def explain(
        self, service_id: str, caller: Address, now: float
    ) -> dict[str, Any]:
        """Returns what this agent would do with a start packet now."""
        return {
            "pool": self._pool,
            "busy": self._busy,
            "takes_new_flows": not self.draining,
        }

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns load and counts."""
        return {
            "flows": {self._pool: len(self._flows)},
            "busy": self._busy,
            "service_time_s": round(self._service_time, 4),
            "draining": self.draining,
            "answer_times": self._answer_times,
            "counts": dict(self.counts),
        }

    def deliver(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Hands packets of balancers to the target.

        Args:
            batch: packets with the balancers that sent them.
            now: seconds, monotonic.
        """
        for data, sender in batch:
            frame = self._codec.read_request(data)
            if frame is None:
                self.counts["malformed"] += 1
                continue
            tag, slots, room = split_mark(frame.mark)
            if tag != self._tag:
                # Its address belonged to a target of another pool before.
                self._refuse_pool(frame, data, sender, now)
                continue
            if frame.starts:
                self._slots = slots
                if not self._admit(frame, sender, room, now):
                    continue
            else:
                self._note_request(frame, now)
            self._carried = now
            balancer = int.from_bytes(inet_aton(sender[0]), "big")
            marked = self._codec.set_mark(data, balancer)
            self._outbound.send(marked, self._target)

    def send_back(self, batch: list[tuple[bytes, Address]], now: float) -> None:
        """Sends packets of the target to callers, or back to a balancer.

        Args:
            batch: packets of the target.
            now: seconds, monotonic.
        """
        for data, _ in batch:
            frame = self._codec.read_answer(data)
            if frame is None:
                self.counts["malformed"] += 1
                continue
            if frame.bounced:
                self._bounce(frame, data)
                continue
            self._note_answer(frame, now)
            self._carried = now
            host, _ = find_caller(frame.key)
            self._port.send(data, (host, self._port.address[1]))

    def _is_quiet(self, now: float) -> bool:
        """Returns whether a stop would not interrupt an answer."""
        return not self._busy and now - self._carried > QUIET_S

    def _refuse_pool(
        self, frame: Frame, data: bytes, sender: Address, now: float
    ) -> None:
        self.counts["other_pool"] += 1
        _log.log_limited(
            logging.INFO,
            "other-pool",
            now,
            "Packet of %s returned: it is for another pool than %s.",
            find_caller(frame.key),
            self._pool,
        )
        self._port.send(self._codec.set_bounced(data), sender)

    def _admit(
        self, frame: Frame, sender: Address, room: int, now: float
    ) -> bool:
        """Returns whether the target is offered the start of a flow."""
        flow = self._flows.get(frame.key)
        if flow is not None and not flow.has_asked:
            flow.balancer = sender
            return True
        self._release_half_open(now)
        full = room < ROOM_ANY and self._busy >= room
        if self.draining or full:
            self.counts["declined"] += 1
            declined = Declined(
                frame.key,
                self._busy,
                round(self._service_time * 1e6),
                self.draining,
            )
            self._peers.send(declined, self._find_peer(sender))
            return False
        if flow is not None:
            self._remove(flow)
        self._add(SidecarFlow(frame.key, sender, now, now))
        return True

    def _note_request(self, frame: Frame, now: float) -> None:
        """Notes a packet of the caller after the start."""
        flow = self._flows.get(frame.key)
        if flow is None:
            return
        flow.used = now
        self._flows.move_to_end(frame.key)
        if frame.size and (not flow.has_asked or flow.waiting_since is None):
            self._set_waiting(flow, now)
        flow.has_asked = True
        flow.caller_closed |= frame.closes
        if frame.resets or (flow.caller_closed and flow.target_closed):
            self._remove(flow)

    def _note_answer(self, frame: Frame, now: float) -> None:
        """Notes a packet of the target."""
        flow = self._flows.get(frame.key)
        if flow is None:
            return
        flow.used = now
        if frame.starts and not flow.accepted:
            flow.accepted = True
            self._half_open.append((now + REQUEST_DELAY_S, flow))
            self._release_half_open(now)
            accepted = Accepted(
                frame.key,
                frame.sequence,
                self._busy,
                round(self._service_time * 1e6),
            )
            self._peers.send(accepted, self._find_peer(flow.balancer))
        if frame.size and flow.waiting_since is not None:
            self._answer_times.add(now - flow.waiting_since)
            if not flow.queued:
                self._note_service_time(now - flow.waiting_since)
            self._set_waiting(flow, None)
        flow.target_closed |= frame.closes
        if frame.resets or (flow.caller_closed and flow.target_closed):
            self._remove(flow)

    def _bounce(self, frame: Frame, data: bytes) -> None:
        """Returns a packet that the target did not take to its balancer."""
        self.counts["bounced"] += 1
        flow = self._flows.get(frame.key)
        if flow is not None and not flow.accepted:
            self._remove(flow)
        balancer = inet_ntoa(frame.mark.to_bytes(4, "big"))
        self._port.send(data, (balancer, self._port.address[1]))

    def _release_half_open(self, now: float) -> None:
        """Counts the slots of flows without a request as free."""
        while self._half_open and self._half_open[0][0] <= now:
            _, flow = self._half_open.popleft()
            if not flow.has_asked:
                self._set_waiting(flow, None)

    def _note_service_time(self, seconds: float) -> None:
        if not self._service_time:
            self._service_time = seconds
            return
        change = seconds - self._service_time
        self._service_time += SERVICE_TIME_SHARE * change

    def _add(self, flow: SidecarFlow) -> None:
        self.counts["flows_created"] += 1
        self._flows[flow.key] = flow
        self._busy += 1
        if len(self._flows) > MAX_FLOWS:
            self._remove(next(iter(self._flows.values())))

    def _remove(self, flow: SidecarFlow) -> None:
        self._set_waiting(flow, None)
        self._flows.pop(flow.key, None)

    def _set_waiting(self, flow: SidecarFlow, since: float | None) -> None:
        was, now = flow.waiting_since is not None, since is not None
        self._busy += now - was
        if now and self._slots:
            # The time of such a flow is not that of the target's work alone.
            flow.queued = self._busy > self._slots
        flow.waiting_since = since

    def _find_peer(self, balancer: Address) -> Address:
        """Returns the peer address of a balancer: all VMs use one port."""
        return balancer[0], self._peers.address[1]

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTAIN_S)
            self.expire(anyio.current_time())

    def expire(self, now: float) -> None:
        """Forgets flows that ended without a sign."""
        for flow in list(self._flows.values()):
            idle = now - flow.used
            if idle > IDLE_S or (not flow.has_asked and idle > HALF_OPEN_S):
                self._remove(flow)
                continue
            waiting = flow.waiting_since
            if waiting is not None and now - waiting > MAX_WAIT_S:
                self.counts["answers_overdue"] += 1
                self._set_waiting(flow, None)
