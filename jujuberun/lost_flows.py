"""Decides when a flow that no target holds is reset."""

from dataclasses import dataclass
from enum import Enum

# A target that registered a moment ago may hold the flow and not be listed yet,
# so that all targets are asked once more after this time.
RECHECK_DELAY_S = 0.3
# A first search that ended longer ago than this says nothing about the flow.
SEARCH_VALIDITY_S = 5.0
# A registration that expired while the platform was down is back within about
# two seconds. A process that has started more recently may lack it.
LIST_SETTLE_S = 2.5


class LostFlowAction(Enum):
    """What to do after all listed targets returned a packet of a flow.

    Attributes:
        WAIT: the owner may be missing in the list; decide again after
            RECHECK_DELAY_S.
        SEARCH: ask all targets again after RECHECK_DELAY_S.
        RESET: no target holds the flow; tell the caller.
    """

    WAIT = "wait"
    SEARCH = "search"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class TargetListState:
    """What a balancer knows about the list of registered targets.

    Attributes:
        received_at: time of the first list since the process started, seconds,
            monotonic.
        most_in_slow_start: whether at least half of the targets have just
            started, as after a power loss of all VMs. A flow that no listed
            target holds has then most likely ended with its target.
    """

    received_at: float
    most_in_slow_start: bool


def decide_lost_flow(
    first_search_at: float | None, targets: TargetListState, now: float
) -> LostFlowAction:
    """Decides about a flow after a search in which no target held it.

    Answers the load of a restart: callers repeat packets of flows that ended
    with their targets. Without a reset they wait until their time limit, and
    then return all together.

    Args:
        first_search_at: end of the first complete search for this flow, None
            if there was none before.
        targets: state of the list of targets.
        now: seconds, monotonic.
    """
    is_settled = now - targets.received_at >= LIST_SETTLE_S
    if not is_settled and not targets.most_in_slow_start:
        return LostFlowAction.WAIT
    if first_search_at is None:
        return LostFlowAction.SEARCH
    age = now - first_search_at
    if RECHECK_DELAY_S <= age <= SEARCH_VALIDITY_S:
        return LostFlowAction.RESET
    return LostFlowAction.SEARCH
