"""Which flows keep a slot of a target busy, as its agent sees from packets."""

from collections import deque

from jujuberun.ownersearch.agent_flow import SidecarFlow

# A request follows the answer to its start within a round trip of a few
# milliseconds. If none arrives in this time, the caller has continued with
# another target.
MAX_REQUEST_DELAY_S = 0.05


class BusyFlows:
    """Counts the flows that wait for an answer of the target.

    Attributes:
        count: number of these flows.
        slots: requests that the target runs at the same time, 0 if unknown.
    """

    def __init__(self) -> None:
        self.count = 0
        self.slots = 0
        self._half_open: deque[tuple[float, SidecarFlow]] = deque()

    def add(self) -> None:
        """Counts a new flow, which waits from its start on."""
        self.count += 1

    def record_opening(self, flow: SidecarFlow, now: float) -> None:
        """Records that the target answered the start of a flow."""
        self._half_open.append((now + MAX_REQUEST_DELAY_S, flow))
        self.release_half_open(now)

    def release_half_open(self, now: float) -> None:
        """Frees the slots of flows whose request did not arrive in time."""
        while self._half_open and self._half_open[0][0] <= now:
            _, flow = self._half_open.popleft()
            if not flow.has_request:
                self.set_waiting(flow, None)

    def record_data(self, flow: SidecarFlow, now: float) -> None:
        """Updates whether a flow waits for an answer after data of the caller.

        It waits from the first packet of a request on. In a trial, flows waited
        from the last one on, and more uploads at a time filled the links of
        small balancers.
        """
        if not flow.has_request or flow.waiting_since is None:
            self.set_waiting(flow, now)

    def set_waiting(self, flow: SidecarFlow, since: float | None) -> None:
        """Sets since when a flow waits for an answer, None if it does not."""
        was_waiting, is_waiting = (
            flow.waiting_since is not None,
            since is not None,
        )
        self.count += is_waiting - was_waiting
        if is_waiting and self.slots:
            # The wait of a queued flow exceeds the service time of the target.
            flow.was_queued = self.count > self.slots
        flow.waiting_since = since
