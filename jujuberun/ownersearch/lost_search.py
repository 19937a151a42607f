"""Decides what follows a search that found no owner."""

from enum import Enum

from jujuberun.lost_flows import LostFlowAction
from jujuberun.ownersearch.flow_search import FlowSearch


class LostSearchAction(Enum):
    """What follows a search that found no owner.

    Attributes:
        DROP: drop the packet; it may follow the regular end of the flow.
        ASK_POOLS: ask the agents of all pools for flows of the service.
        RECHECK: ask all targets again after lost_flows.RECHECK_DELAY_S.
        REPEAT: ask all targets again now.
        RESET: tell the caller that the flow is lost.
    """

    DROP = "drop"
    ASK_POOLS = "ask-pools"
    RECHECK = "recheck"
    REPEAT = "repeat"
    RESET = "reset"


# A caller that continues to acknowledge packets after this time has an open
# flow. Acknowledgements that follow the regular end of a flow come at once.
ACKNOWLEDGEMENT_AGE_S = 0.1


def may_ask_pools(search: FlowSearch, now: float) -> bool:
    """Returns whether the agents of other pools are asked for a flow.

    Args:
        search: the search.
        now: seconds, monotonic.
    """
    if search.expects_answer or search.passes > 1:
        return True
    return now - search.begun_at >= ACKNOWLEDGEMENT_AGE_S


def decide_lost_search(
    search: FlowSearch,
    has_lost_owner: bool,
    is_covered: bool,
    action: LostFlowAction,
    now: float,
) -> LostSearchAction:
    """Decides about a flow after all targets returned a packet or are silent.

    A reset needs two searches of all targets, also if the first one ended long
    ago because it waited for a silent target.

    Args:
        search: the search.
        has_lost_owner: whether an agent confirmed the flow, and its target then
            returned a packet of it.
        is_covered: whether the agents of other pools were asked for flows of
            the service since the search began. The flow may be at a former
            pool of the service that this process does not know.
        action: what the state of the list of targets allows.
        now: seconds, monotonic.
    """
    if search.frame.resets:
        return LostSearchAction.DROP
    if has_lost_owner:
        return LostSearchAction.RESET
    if not is_covered and may_ask_pools(search, now):
        return LostSearchAction.ASK_POOLS
    if not search.frame.size:
        return LostSearchAction.DROP
    if action is not LostFlowAction.RESET:
        return LostSearchAction.RECHECK
    if search.passes > 1:
        return LostSearchAction.RESET
    return LostSearchAction.REPEAT
