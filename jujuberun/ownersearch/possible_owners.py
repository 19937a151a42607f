"""List of the targets that may hold a searched flow, kept up to date."""

from jujuberun.flowtable import FlowEntry
from jujuberun.ownersearch.flow_search import FlowSearch
from jujuberun.ownersearch.lost_flow_handler import LostFlowHandler
from jujuberun.ownersearch.other_pools import OtherPools
from jujuberun.steering import Steering


class PossibleOwners:
    """Lists targets for searches, anew when the lists of targets changed."""

    def __init__(
        self,
        steering: Steering,
        lost_flows: LostFlowHandler,
        other_pools: OtherPools,
    ) -> None:
        """Builds the list of one balancer.

        Args:
            steering: knows the targets.
            lost_flows: knows the pools of a flow's service.
            other_pools: knows further targets that hold flows of a service.
        """
        self._steering = steering
        self._lost_flows = lost_flows
        self._other_pools = other_pools
        self._version = 0

    def mark_changed(self) -> None:
        """Records that the targets or the pools of services changed."""
        self._version += 1

    def refresh(self, entry: FlowEntry, search: FlowSearch, now: float) -> None:
        """Lists the targets that may hold a flow, if they changed.

        Args:
            entry: the flow.
            search: its search; gets the list.
            now: seconds, monotonic.
        """
        if search.list_version == self._version:
            return
        search.list_version = self._version
        offered = [
            target
            for target in entry.list_offered()
            if self._steering.find(target) is not None
        ]
        pools = self._lost_flows.list_pools(entry)
        possible = self._steering.list_possible_owners(pools, entry.key, now)
        holders, unsure = self._other_pools.list_targets(entry, pools, now)
        possible = [*possible, *holders, *unsure]
        search.unsure = frozenset(candidate.id for candidate in unsure)
        likely = (candidate.id for candidate in possible)
        search.candidates = tuple(dict.fromkeys((*offered, *likely)))
        search.offered = len(offered)
        search.may_locate = any(c.started is not None for c in possible)
