"""What would become of a start that arrives now, without sending it."""

from typing import Any

from jujuberun.draining.drains import Drains
from jujuberun.flowtable import FlowEntry
from jujuberun.overload.order import StartOrder
from jujuberun.start_placement import NoPlace, Place, find_place
from jujuberun.steering import Steering
from jujuberun.target_state import choose_pool
from jujuberun.warmup.cold_targets import ColdTargets


class StartOutlook:
    """Explains the placement of starts at one balancer."""

    def __init__(
        self,
        steering: Steering,
        cold: ColdTargets,
        order: StartOrder,
        drains: Drains,
    ) -> None:
        """Builds the part of one balancer.

        Args:
            steering: knows the targets and their load.
            cold: limits the starts at cold targets.
            order: ranks and limits starts by what their callers lose.
            drains: the failure domains that take no new flows.
        """
        self._steering = steering
        self._cold = cold
        self._order = order
        self._drains = drains

    def explain(self, entry: FlowEntry, now: float) -> dict[str, Any]:
        """Returns where a start would go, or why it would wait or be refused.

        Args:
            entry: the start; it is not changed.
            now: seconds, monotonic.

        Returns:
            The decision, the figures behind it, and the state of all targets,
            as JSON types.
        """
        pool = choose_pool(entry.pools, entry.key)
        full = self._cold.list_full(entry.pools, now)
        chosen = self._steering.choose(entry.pools, entry.key, full, now)
        reason = "least expected wait among the flow's likely targets"
        if chosen is None:
            reason = "no target that is not suspected takes new flows"
            if self._steering.is_drained(pool):
                reason = "all targets of its pool are in drained domains"
        return {
            "start_now": self._foresee(entry, now),
            "order": self._order.explain(pool, entry, now),
            "chosen": None if chosen is None else chosen.id,
            "reason": reason,
            "drained_domains": sorted(self._drains.domains),
            "drain_index": self._drains.position,
            "targets": self._steering.describe(now),
            "warmup": self._cold.describe(now),
        }

    def _foresee(self, entry: FlowEntry, now: float) -> str:
        match find_place(entry, self._steering, self._cold, self._order, now):
            case Place(target, busy_limit):
                return f"offered to {target.id} below {busy_limit} busy flows"
            case NoPlace.NO_ROOM:
                return "waits: no target has room"
            case NoPlace.NO_TARGET:
                return "refused: no target"
