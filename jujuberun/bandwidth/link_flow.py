"""One flow that sends through the link of a balancer, and what it still sends.

Load: uploads whose end the balancer has to see from the caller's packets alone,
because answers of targets do not cross its link.
"""

import math
from dataclasses import dataclass
from enum import Enum

from jujuberun.flowtable import FlowEntry
from jujuberun.ids import ServiceId

# A flow without packets for this time has ended or waits for its answer. A
# packet that was lost is sent again after 0.2 s, and crosses a queue of 0.1 s.
IDLE_S = 0.5
# Time for which the start of a flow of an unknown service counts without data.
# Targets that do not answer, as after a restart of everything, must not hold up
# the other starts of the service.
TEST_OFFER_S = 0.1
# A caller abandons a start after this time.
START_ABANDONED_S = 1.4


class FlowState(Enum):
    """State of a flow at the link.

    Attributes:
        OFFERED: its start was passed on, and no data has come; counts, but
            only for TEST_OFFER_S if nothing is known of its service.
        UPLOADING: counts as an upload.
        TESTED: the first flows of a service of which nothing is known; counts
            until it shows whether it is an upload.
        PAUSED: an upload that sends nothing; does not count, but does again
            with its next data.
        OTHER: does not count.
        CLOSED: the caller has closed it; does not count.
    """

    OFFERED = "offered"
    UPLOADING = "uploading"
    TESTED = "tested"
    PAUSED = "paused"
    OTHER = "other"
    CLOSED = "closed"


@dataclass(slots=True)
class LinkFlow:
    """What is known of a flow that sends through the link.

    Attributes:
        service: service of the flow.
        state: whether the flow counts.
        began_at: time of its start or first packet here, seconds, monotonic.
        used_at: time of its last packet, seconds, monotonic.
        sequence: highest sequence number of the caller.
        sent: bytes of data from the caller, without repeated packets.
        next_check: bytes at which the state is decided again.
        is_upload: whether the manifest states that the flow uploads, None if
            it does not tell.
        is_test: whether nothing was known of the service at its start.
        entry: the flow in the balancer's cache; None if it began elsewhere, or
            once its size was learned.
    """

    service: ServiceId
    state: FlowState
    began_at: float
    used_at: float
    sequence: int
    sent: int = 0
    next_check: float = math.inf
    is_upload: bool | None = None
    is_test: bool = False
    entry: FlowEntry | None = None


@dataclass(slots=True)
class WaitEstimate:
    """Least time until one more upload may begin.

    What the uploads before it still send has to cross the link, except for
    those that are in progress at that time, at most the largest ones.

    Attributes:
        others: uploads in progress beside the one that begins.
        bytes_per_s: data that the link carries.
        total: bytes that the uploads before it still send.
        largest: the most bytes that one of them still sends.
    """

    others: int
    bytes_per_s: float
    total: float = 0.0
    largest: float = 0.0

    @property
    def seconds(self) -> float:
        """The estimate in seconds."""
        left = self.total - self.others * self.largest
        return max(0.0, left) / self.bytes_per_s

    def add(self, remaining: float) -> None:
        """Adds an upload that sends this many bytes before."""
        self.total += remaining
        self.largest = max(self.largest, remaining)


def find_end(flow: LinkFlow, quiet_s: float) -> float:
    """Returns the time at which a counted flow may have ended."""
    if flow.state is FlowState.OFFERED:
        entry = flow.entry
        if entry.was_reset:
            return -math.inf
        if flow.is_test:
            return flow.used_at + TEST_OFFER_S
        if entry.is_accepted:
            return max(flow.used_at, entry.offers[-1].sent_at) + IDLE_S
        if entry.start_packet is None:
            return -math.inf
        return entry.first_seen_at + START_ABANDONED_S
    return flow.used_at + quiet_s
