"""Load of targets as one process knows it from messages."""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from jujuberun.ids import TargetId
from jujuberun.manifest import Target

STALE_S = 10.0  # an older load message says nothing about the present
_TYPICAL_SHARE = 0.1  # weight of one report in the mean over all targets
_MIN_REPORTS = 4  # fewer targets do not stand for all of a service
_UNKNOWN = -math.inf


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that the agent of a target reported.

    Attributes:
        busy: slots in use.
        queued: requests that wait for a slot.
        flows: open flows.
    """

    busy: int
    queued: int
    flows: int


@dataclass(slots=True)
class _Known:
    slots: int
    limit: int
    load: TargetLoad = TargetLoad(0, 0, 0)
    at: float = _UNKNOWN
    assigned: int = 0  # flows that this process placed there since the report


def _weigh_equally(target: TargetId, now: float) -> float:
    return 1.0


class Loads:
    """What one process knows of the load of one service's targets.

    Attributes:
        weigh: returns the weight of a target at a time, above 0 up to 1.
    """

    def __init__(
        self,
        targets: Iterable[Target],
        weigh: Callable[[TargetId, float], float] = _weigh_equally,
    ) -> None:
        """Knows no load yet.

        Args:
            targets: targets of the service.
            weigh: weight of a target above 0 up to 1, as Health.weigh.
        """
        self.weigh = weigh
        self._typical = 0.0  # flows on a slot, mean of recent reports
        self._known: dict[TargetId, _Known] = {}
        self.change_targets(targets)

    def change_targets(self, targets: Iterable[Target]) -> None:
        """Takes the targets of a new manifest and keeps their reports."""
        before, self._known = self._known, {}
        for target in targets:
            known = _Known(target.slots, target.connection_limit)
            if target.id in before:
                known.load = before[target.id].load
                known.at = before[target.id].at
                known.assigned = before[target.id].assigned
            self._known[target.id] = known

    def note(
        self, target: TargetId, load: TargetLoad, age: float, now: float
    ) -> None:
        """Takes a reported load, unless a newer report is known.

        Args:
            target: whose load it is; one of another service is ignored.
            load: as its agent reported it.
            age: seconds since the agent reported it.
            now: seconds, monotonic.
        """
        known = self._known.get(target)
        if known is None or now - age <= known.at:
            return
        known.load = load
        known.at = now - age
        known.assigned = 0
        flows = load.flows / known.slots
        self._typical += _TYPICAL_SHARE * (flows - self._typical)

    def note_assigned(self, target: TargetId) -> None:
        """Counts a flow that this process placed on the target."""
        known = self._known.get(target)
        if known is not None:
            known.assigned += 1

    def forget(self) -> None:
        """Voids all reports, after a gap of the clock."""
        for known in self._known.values():
            known.at = _UNKNOWN
            known.assigned = 0

    def list_reports(
        self, now: float, count: int, excluded: Collection[TargetId]
    ) -> list[tuple[TargetId, TargetLoad, float]]:
        """Returns the newest reports with their age, to pass them on."""
        fresh = [
            (now - known.at, target, known.load)
            for target, known in self._known.items()
            if now - known.at < STALE_S and target not in excluded
        ]
        fresh.sort(key=lambda entry: entry[0])
        return [(target, load, age) for age, target, load in fresh[:count]]

    def is_full(self, target: TargetId, now: float) -> bool:
        """Returns whether the target is at its connection limit."""
        known = self._known[target]
        flows = known.load.flows if now - known.at < STALE_S else 0
        return flows + known.assigned >= known.limit

    def score_flows(self, target: TargetId, now: float) -> float:
        """Returns how unattractive a target is for a new flow.

        The flow itself is counted, so that an idle target of low weight does
        not look as good as an idle healthy one.
        """
        known = self._known[target]
        load = self._count_flows(known, now) + 1
        return load / (known.slots * self.weigh(target, now))

    def estimate_demand(
        self, active: Collection[TargetId], now: float
    ) -> float | None:
        """Estimates the slots that the service's requests ask for.

        The known active targets stand for the unknown ones; work on targets
        outside the active set is added as reported.

        Args:
            active: targets that this process holds for active.
            now: seconds, monotonic.

        Returns:
            Slots, or None while fewer than _MIN_REPORTS are fresh.
        """
        demand, seen, others, slots = 0.0, 0, 0.0, 0
        reports = 0
        for target, known in self._known.items():
            inside = target in active
            slots += known.slots if inside else 0
            if now - known.at >= STALE_S:
                continue
            work = known.load.busy + known.load.queued
            if inside:
                demand += work
                seen += known.slots
                reports += 1
            else:
                others += work
        if reports < min(_MIN_REPORTS, max(1, len(active))):
            return None
        return demand * slots / seen + others

    def _count_flows(self, known: _Known, now: float) -> float:
        if now - known.at < STALE_S:
            return known.load.flows + known.assigned
        return self._typical * known.slots + known.assigned
