"""Flows that send through the link of a balancer now, and which are uploads.

Load: more concurrent uploads than the link takes. No packet is delayed or
dropped here; the table only tells whether one more upload may begin.
"""

import math

from jujuberun.bandwidth.flow_sizes import FlowSizes
from jujuberun.bandwidth.link_flow import (
    IDLE_S,
    FlowState,
    LinkFlow,
    WaitEstimate,
    find_end,
)
from jujuberun.bandwidth.upload_limit import (
    LINK_BYTES_PER_BYTE,
    PACKET_BYTES,
    WINDOW_BYTES,
    WINDOW_LINK_BYTES,
    compute_test_limit,
    compute_upload_limit,
)
from jujuberun.flowtable import FlowEntry
from jujuberun.frames import Frame, compute_sequence_distance
from jujuberun.ids import ServiceId

# A link of 40 Mbit/s carries 2,000 packets in IDLE_S; flows send one or more.
MAX_FLOWS = 4_096
# The shortest round trip of this period and the one before is taken, because
# most round trips include a queue.
ROUND_TRIP_PERIOD_S = 10.0
_HALF_SEQUENCE_SPACE = 1 << 31


_COUNTED = (FlowState.OFFERED, FlowState.UPLOADING, FlowState.TESTED)


class Uploads:
    """Flows that send through the link.

    Attributes:
        sizes: bytes that flows of each service usually send.
    """

    def __init__(self, link_rate: float) -> None:
        """Starts without flows.

        Args:
            link_rate: rate of the link in Mbit/s.
        """
        self.sizes = FlowSizes()
        self._link_rate = link_rate
        self._flows: dict[bytes, LinkFlow] = {}
        self._counted: dict[bytes, LinkFlow] = {}
        self._round_trips = (math.inf, math.inf)
        self._period_start = -math.inf

    def __len__(self) -> int:
        """Returns the number of flows that count."""
        return len(self._counted)

    @property
    def flow_count(self) -> int:
        """Number of all flows in the table."""
        return len(self._flows)

    def compute_limit(self) -> int:
        """Returns the number of concurrent uploads that the link takes."""
        round_trip = min(self._round_trips)
        is_known = math.isfinite(round_trip)
        return compute_upload_limit(
            self._link_rate, round_trip if is_known else 0.0
        )

    def estimate_wait(self) -> WaitEstimate:
        """Returns an estimate of the time until one more upload may begin."""
        estimate = WaitEstimate(
            self.compute_limit() - 1,
            self._link_rate * 1e6 / 8 / LINK_BYTES_PER_BYTE,
        )
        for flow in self._counted.values():
            mean = self.sizes.find_mean(flow.service)
            estimate.add(max(0.0, mean - flow.sent))
        return estimate

    def may_begin(self, service: ServiceId, is_upload: bool | None) -> bool:
        """Returns whether a start of a service may be offered now.

        A few flows of a service of which nothing is known may begin. Whether
        they are uploads is known one packet or one window later. Their number
        does not depend on other services, so short requests of a new service
        never wait for uploads.

        Args:
            service: service of the start.
            is_upload: whether the manifest states that its flows are uploads,
                None if it does not tell.
        """
        if is_upload or self.sizes.is_uploading(service):
            return len(self._counted) < self.compute_limit()
        if is_upload is False or self.sizes.is_known(service):
            return True
        tested = sum(f.service == service for f in self._counted.values())
        return tested < compute_test_limit(self._link_rate)

    def begin(
        self, entry: FlowEntry, is_upload: bool | None, now: float
    ) -> None:
        """Adds a flow whose start is offered to a target."""
        service = ServiceId(entry.service)
        is_test = is_upload is None and not self.sizes.is_known(service)
        is_counted = is_test or is_upload or self.sizes.is_uploading(service)
        state = FlowState.OFFERED if is_counted else FlowState.OTHER
        flow = LinkFlow(service, state, now, now, entry.sequence)
        flow.is_upload, flow.is_test, flow.entry = is_upload, is_test, entry
        flow.next_check = self._find_check(flow)
        self._add(entry.key, flow)

    def begin_moved(
        self,
        frame: Frame,
        service: ServiceId,
        is_upload: bool | None,
        now: float,
    ) -> bool:
        """Adds a flow that began elsewhere or was idle.

        Args:
            frame: header of the first packet that has data.
            service: service of the flow.
            is_upload: whether the manifest states that its flows are uploads,
                None if it does not tell.
            now: seconds, monotonic.

        Returns:
            Whether the flow counts.
        """
        is_counted = bool(is_upload) or self.sizes.is_uploading(service)
        state = FlowState.UPLOADING if is_counted else FlowState.OTHER
        before = (frame.sequence - 1) % (2 * _HALF_SEQUENCE_SPACE)
        flow = LinkFlow(service, state, now, now, before)
        flow.is_upload = is_upload
        flow.next_check = self._find_check(flow)
        self._add(frame.key, flow)
        return is_counted

    def record_packet(self, frame: Frame, now: float) -> bool:
        """Records a caller's packet after the start of a flow in the table.

        Args:
            frame: header of the packet.
            now: seconds, monotonic.

        Returns:
            Whether fewer flows count than before.
        """
        flow = self._flows[frame.key]
        flow.used_at = now
        before = len(self._counted)
        if frame.size:
            if flow.state is FlowState.OFFERED:
                self._record_first_data(frame.key, flow, now)
            ahead = compute_sequence_distance(flow.sequence, frame.sequence)
            if 0 < ahead < _HALF_SEQUENCE_SPACE:
                flow.sequence = frame.sequence
                flow.sent += frame.size
                if flow.state is FlowState.PAUSED:
                    flow.state = FlowState.UPLOADING
                    self._counted[frame.key] = flow
                if flow.sent >= flow.next_check:
                    self._check_size(frame.key, flow)
                if flow.state is FlowState.UPLOADING:
                    self._pause_at_end(frame, flow)
        if (
            frame.closes or frame.resets
        ) and flow.state is not FlowState.CLOSED:
            self.close(frame.key, is_complete=frame.closes)
        return len(self._counted) < before

    def has_flow(self, key: bytes) -> bool:
        """Returns whether a flow is in the table."""
        return key in self._flows

    def close(self, key: bytes, is_complete: bool) -> None:
        """Ends the upload of a flow that was closed or reset.

        The flow stays in the table for IDLE_S, so that late packets of it do
        not count as a flow that moved here.

        Args:
            key: key of the flow.
            is_complete: whether the caller has sent all, so that the size of
                the flow is learned.
        """
        flow = self._flows.get(key)
        if flow is None or flow.state is FlowState.CLOSED:
            return
        if is_complete:
            self._learn(flow)
        flow.state = FlowState.CLOSED
        self._counted.pop(key, None)

    def expire(self, now: float) -> bool:
        """Ends uploads that are quiet, and those whose start was refused.

        Returns:
            Whether fewer flows count than before.
        """
        before = len(self._counted)
        quiet_s = self._find_quiet_time()
        for key, flow in list(self._counted.items()):
            if now < find_end(flow, quiet_s):
                continue
            del self._counted[key]
            if flow.state is FlowState.OFFERED:
                if not flow.is_test:
                    del self._flows[key]
                continue
            if flow.state is FlowState.UPLOADING:
                flow.state = FlowState.PAUSED
                continue
            self._learn(flow)
            flow.state = FlowState.OTHER
        return len(self._counted) < before

    def forget_idle(self, now: float) -> None:
        """Removes flows that are idle from the table."""
        self.expire(now)
        for key, flow in list(self._flows.items()):
            if key in self._counted or now - flow.used_at <= IDLE_S:
                continue
            if flow.state is not FlowState.CLOSED:
                self._learn(flow)
            del self._flows[key]

    def find_next_end(self) -> float:
        """Returns the time at which a counted flow may have ended."""
        quiet_s = self._find_quiet_time()
        ends = (find_end(flow, quiet_s) for flow in self._counted.values())
        return min(ends, default=math.inf)

    def _find_quiet_time(self) -> float:
        """Returns the silence after which an upload uses the link no more.

        Within that time, its next packet would have crossed the queue, which
        holds a window of each upload.
        """
        link_bytes = self.compute_limit() * WINDOW_LINK_BYTES
        return link_bytes * 8 / (self._link_rate * 1e6)

    def _record_first_data(
        self, key: bytes, flow: LinkFlow, now: float
    ) -> None:
        flow.began_at = now
        if flow.entry.offers:
            elapsed = now - flow.entry.offers[-1].sent_at
            before, shortest = self._round_trips
            if now - self._period_start > ROUND_TRIP_PERIOD_S:
                self._period_start = now
                before, shortest = shortest, math.inf
            self._round_trips = before, min(shortest, elapsed)
        if flow.is_upload or self.sizes.is_uploading(flow.service):
            flow.state = FlowState.UPLOADING
        elif flow.is_upload is False or self.sizes.is_known(flow.service):
            flow.state = FlowState.OTHER
        else:
            flow.state = FlowState.TESTED
        if flow.state is FlowState.OTHER:
            self._counted.pop(key, None)
        else:
            self._counted[key] = flow
        flow.next_check = self._find_check(flow)

    def _find_check(self, flow: LinkFlow) -> float:
        if flow.state is FlowState.UPLOADING:
            return math.inf
        return flow.sent + WINDOW_BYTES + 1

    def _pause_at_end(self, frame: Frame, flow: LinkFlow) -> None:
        """Ends an upload with the last packet of its request.

        The usual size says nothing of the end: some uploads are twelve times
        as large as the mean, and filled the link beside those that then began.
        """
        if frame.size < PACKET_BYTES:
            flow.state = FlowState.PAUSED
            del self._counted[frame.key]

    def _check_size(self, key: bytes, flow: LinkFlow) -> None:
        """Decides the state of a flow that has sent a given size."""
        if flow.state is FlowState.CLOSED:
            return
        if not self.sizes.is_known(flow.service):
            self.sizes.record_long_flow(flow.service)
        flow.state = FlowState.UPLOADING
        flow.next_check = math.inf
        self._counted[key] = flow

    def _add(self, key: bytes, flow: LinkFlow) -> None:
        self._counted.pop(key, None)
        self._flows.pop(key, None)
        while len(self._flows) >= MAX_FLOWS:
            oldest = next(iter(self._flows))
            del self._flows[oldest]
            self._counted.pop(oldest, None)
        self._flows[key] = flow
        if flow.state in _COUNTED:
            self._counted[key] = flow

    def _learn(self, flow: LinkFlow) -> None:
        """Records the size of a flow that began here and has sent all.

        A flow slower than one window in IDLE_S does not fill the link, however
        much it sends, so only its bytes in that time are recorded.
        """
        if flow.entry is None or not flow.sent:
            return
        duration = max(IDLE_S, flow.used_at - flow.began_at)
        in_idle_time = flow.sent * IDLE_S / duration
        is_slow = in_idle_time < WINDOW_BYTES < flow.sent
        self.sizes.record(flow.service, in_idle_time if is_slow else flow.sent)
        # Packets that follow belong to another request of the same flow.
        flow.sent, flow.entry = 0, None
        flow.next_check = WINDOW_BYTES + 1
