"""Inquiries of balancers for flows that an agent does not know."""

from collections import OrderedDict
from dataclasses import dataclass

from jujuberun.ids import Address

# A balancer asks again after at most 0.3 s, and a target answers most requests
# in less than 2 s.
RETENTION_S = 2.0
# Limits the memory to about 3 MB while balancers search the whole pool.
MAX_INQUIRIES = 10_000


@dataclass(frozen=True, slots=True)
class OpenInquiry:
    """A balancer that asked whether the target holds a flow.

    Attributes:
        balancer: address of the balancer.
        acknowledged: sequence number that the caller had received.
        asked_at: time of the inquiry, seconds, monotonic.
    """

    balancer: Address
    acknowledged: int
    asked_at: float


class OpenInquiries:
    """Remembers who asked for a flow, until the target shows that it holds it.

    An agent that restarted does not know the flows of its target.
    """

    def __init__(self) -> None:
        self._inquiries: OrderedDict[bytes, OpenInquiry] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of inquiries that are remembered."""
        return len(self._inquiries)

    def add(self, key: bytes, inquiry: OpenInquiry) -> None:
        """Remembers the last inquiry for a flow, and forgets old ones."""
        self._inquiries[key] = inquiry
        self._inquiries.move_to_end(key)
        oldest_kept = inquiry.asked_at - RETENTION_S
        while self._inquiries:
            first = next(iter(self._inquiries))
            is_kept = self._inquiries[first].asked_at >= oldest_kept
            if is_kept and len(self._inquiries) <= MAX_INQUIRIES:
                return
            del self._inquiries[first]

    def take(self, key: bytes, now: float) -> OpenInquiry | None:
        """Removes the inquiry for a flow; returns it if it is recent."""
        inquiry = self._inquiries.pop(key, None)
        if inquiry is None or now - inquiry.asked_at > RETENTION_S:
            return None
        return inquiry

    def remove(self, key: bytes) -> None:
        """Forgets the inquiry for a flow that the target does not hold."""
        self._inquiries.pop(key, None)
