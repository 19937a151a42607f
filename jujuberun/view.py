"""What one process believes of a service: load, health, active targets."""

from collections.abc import Sequence

from jujuberun.evidence import Evidence
from jujuberun.health import Health
from jujuberun.ids import TargetId
from jujuberun.manifest import Target
from jujuberun.placement import (
    ActiveSet,
    ActiveTargets,
    Loads,
    order_targets,
)


class View:
    """Combines the decisions of one process about one service.

    Views of different processes are never compared; they may differ.
    """

    def __init__(self, targets: Sequence[Target], headroom: float) -> None:
        """Believes that all targets are healthy and that none has load.

        Args:
            targets: targets of the service.
            headroom: of the service, 0 to 1.
        """
        self.health = Health()
        self.loads = Loads(targets, self.health.weigh)
        self.active = ActiveTargets(())
        self.names = tuple(target.id for target in targets)
        self._members = frozenset(self.names)
        self._active_set = ActiveSet(headroom, order_targets(targets))
        self.update(0.0)

    def update(self, now: float) -> None:
        """Renews the active targets; called once a second.

        Args:
            now: seconds, monotonic.
        """
        excluded = self.health.find_suspects(self._members, now)
        excluded |= self.health.find_leaving(self._members, now)
        demand = self.loads.estimate_demand(self.active, now)
        self.active = self._active_set.update(demand, now, excluded)

    def tick(self, now: float) -> bool:
        """Voids beliefs after a gap of the clock, as Health.tick."""
        gap = self.health.tick(now)
        if gap:
            self.loads.forget()
        return gap

    def record(self, target: TargetId, evidence: Evidence, now: float) -> None:
        """Takes evidence; a suspect gets no new work from here on."""
        before = self.health.is_excluded(target, now)
        self.health.record(target, evidence, now)
        if self.health.is_excluded(target, now) and not before:
            self.update(now)
