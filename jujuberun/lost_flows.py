"""Decides when a flow that no target holds is reset."""

from dataclasses import dataclass
from enum import Enum

# A target that registered a moment ago may hold the flow and not be listed yet,
# so that all targets are asked once more after this time.
RECHECK_DELAY_S = 0.3
# A registration that expired while the platform was down is back within about
# two seconds. A process that has started more recently may lack it.
LIST_SETTLE_S = 2.5


class LostFlowAction(Enum):
    """What to do with a flow after all listed targets returned its packet.

    Attributes:
        RECHECK: ask all targets again after RECHECK_DELAY_S.
        RESET: no target holds the flow; tell the caller.
        WAIT: the owner may be missing in the list; drop the packet.
    """

    RECHECK = "recheck"
    RESET = "reset"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class TargetListState:
    """What a balancer knows about the list of registered targets.

    Attributes:
        received_at: time of the first list since the process started, seconds,
            monotonic.
        all_in_slow_start: whether every target that may hold the flow has just
            started, as after a power loss of all VMs. None of them can hold a
            flow from before.
    """

    received_at: float
    all_in_slow_start: bool


def decide_lost_flow(
    first_search_at: float | None, targets: TargetListState, now: float
) -> LostFlowAction:
    """Decides about a flow after a search in which no target held it.

    Answers the load of a restart: callers repeat packets of flows that ended
    with their targets. Without a reset they wait until their time limit, and
    then return all together.

    Args:
        first_search_at: end of the first complete search for this flow, None
            if this one is the first.
        targets: state of the list of targets.
        now: seconds, monotonic.
    """
    if first_search_at is None:
        return LostFlowAction.RECHECK
    if now - first_search_at < RECHECK_DELAY_S:
        return LostFlowAction.WAIT
    is_settled = now - targets.received_at >= LIST_SETTLE_S
    if is_settled or targets.all_in_slow_start:
        return LostFlowAction.RESET
    return LostFlowAction.WAIT
