"""Keeps the load of targets that other processes reported."""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from jujuberun.ids import TargetId
from jujuberun.manifest import Target

STALE_AFTER_S = 10.0  # older reports are ignored
_FLOWS_SMOOTHING = 0.1  # weight of one report in the mean flows per slot
_MIN_REPORTS = 4  # fewer reports are not representative of a service
_NEVER = -math.inf


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
class _TargetEntry:
    # Capacity of a target and the newest load that its agent reported.
    slots: int
    connection_limit: int
    load: TargetLoad = TargetLoad(0, 0, 0)
    reported_at: float = _NEVER  # monotonic, in seconds
    assigned_flows: int = 0  # flows assigned by this process since the report


def _weigh_equally(target: TargetId, now: float) -> float:
    return 1.0


class LoadTable:
    """Loads of the targets of one service, as known to one process.

    Attributes:
        weigh: returns the weight of a target at a monotonic time, greater than
            0 and at most 1.
    """

    def __init__(
        self,
        targets: Iterable[Target],
        weigh: Callable[[TargetId, float], float] = _weigh_equally,
    ) -> None:
        """Starts with no known load.

        Args:
            targets: targets of the service.
            weigh: returns the weight of a target, as HealthTracker.weigh does.
        """
        self.weigh = weigh
        # Moving mean over the reports of all targets.
        self._mean_flows_per_slot = 0.0
        self._entries: dict[TargetId, _TargetEntry] = {}
        self.change_targets(targets)

    def change_targets(self, targets: Iterable[Target]) -> None:
        """Replaces the targets by those of a manifest; keeps known loads."""
        before, self._entries = self._entries, {}
        for target in targets:
            entry = _TargetEntry(target.slots, target.connection_limit)
            if target.id in before:
                entry.load = before[target.id].load
                entry.reported_at = before[target.id].reported_at
                entry.assigned_flows = before[target.id].assigned_flows
            self._entries[target.id] = entry

    def record_load(
        self, target: TargetId, load: TargetLoad, age: float, now: float
    ) -> None:
        """Records a reported load unless a newer report is known.

        Args:
            target: the target with this load; ignored when it does not belong
                to the service.
            load: the load that the target's agent reported.
            age: seconds since the agent reported it.
            now: monotonic time in seconds.
        """
        entry = self._entries.get(target)
        if entry is None or now - age <= entry.reported_at:
            return
        entry.load = load
        entry.reported_at = now - age
        entry.assigned_flows = 0
        flows = load.flows / entry.slots
        self._mean_flows_per_slot += _FLOWS_SMOOTHING * (
            flows - self._mean_flows_per_slot
        )

    def count_assigned_flow(self, target: TargetId) -> None:
        """Counts a flow that this process assigned to the target."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.assigned_flows += 1

    def discard_reports(self) -> None:
        """Discards all reports; called after a pause of this process."""
        for entry in self._entries.values():
            entry.reported_at = _NEVER
            entry.assigned_flows = 0

    def list_reports(
        self, now: float, count: int, excluded: Collection[TargetId]
    ) -> list[tuple[TargetId, TargetLoad, float]]:
        """Returns the newest reports, to forward them to peers.

        Args:
            now: monotonic time in seconds.
            count: maximum number of reports.
            excluded: targets whose reports are left out.

        Returns:
            Target, load and age in seconds, the newest report first.
        """
        fresh = [
            (now - entry.reported_at, target, entry.load)
            for target, entry in self._entries.items()
            if now - entry.reported_at < STALE_AFTER_S
            and target not in excluded
        ]
        fresh.sort(key=lambda report: report[0])
        return [(target, load, age) for age, target, load in fresh[:count]]

    def is_full(self, target: TargetId, now: float) -> bool:
        """Returns whether the target has reached its connection limit."""
        entry = self._entries[target]
        flows = (
            entry.load.flows if now - entry.reported_at < STALE_AFTER_S else 0
        )
        return flows + entry.assigned_flows >= entry.connection_limit

    def score_flows(self, target: TargetId, now: float) -> float:
        """Returns the weighted flows per slot if the target got a new flow.

        The target with the lowest score is the best choice. The score includes
        the new flow, so that an idle target of low weight scores worse than an
        idle target of full weight.
        """
        entry = self._entries[target]
        load = self._count_flows(entry, now) + 1
        return load / (entry.slots * self.weigh(target, now))

    def estimate_demand(
        self, active: Collection[TargetId], now: float
    ) -> float | None:
        """Estimates the number of slots that the service's requests need.

        Extrapolates the load of active targets with a fresh report to all
        active targets. Adds the load of targets outside the active set as
        reported.

        Args:
            active: targets that this process regards as active.
            now: monotonic time in seconds.

        Returns:
            Number of slots, or None when fewer than _MIN_REPORTS active
            targets have a fresh report. In an active set smaller than
            _MIN_REPORTS, all targets need one.
        """
        active_load, reported_slots, other_load, slots = 0.0, 0, 0.0, 0
        reports = 0
        for target, entry in self._entries.items():
            is_active = target in active
            slots += entry.slots if is_active else 0
            if now - entry.reported_at >= STALE_AFTER_S:
                continue
            requests = entry.load.busy + entry.load.queued
            if is_active:
                active_load += requests
                reported_slots += entry.slots
                reports += 1
            else:
                other_load += requests
        if reports < min(_MIN_REPORTS, max(1, len(active))):
            return None
        return active_load * slots / reported_slots + other_load

    def _count_flows(self, entry: _TargetEntry, now: float) -> float:
        if now - entry.reported_at < STALE_AFTER_S:
            return entry.load.flows + entry.assigned_flows
        return self._mean_flows_per_slot * entry.slots + entry.assigned_flows
