"""What one process believes of a service: load, health, active targets."""

from collections.abc import Sequence
from dataclasses import dataclass

from jujuberun.evidence import Claimed, Evidence, Started
from jujuberun.health import HealthTracker
from jujuberun.ids import TargetId
from jujuberun.loads import LoadTable, TargetLoad
from jujuberun.manifest import Target
from jujuberun.placement import (
    ActiveSet,
    ActiveTargets,
    order_targets,
)

REPORTS = 8  # reports in one Status message, about 50 bytes each
PUSH_PEERS = 4  # random peers that hear of a suspect at once
_MIN_PUSH_INTERVAL_S = (
    0.2  # between two pushes; without it, pushes caused each other
)
_MAX_HEALTH_REPORTS = 4  # of these against targets, at most


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One entry of a Status message, from or about a target.

    Attributes:
        target: whom it is about.
        load: None in a claim of another process against the target.
        claim: healthy, draining and the age of the report.
    """

    target: TargetId
    load: TargetLoad | None
    claim: Claimed


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
        self.health = HealthTracker()
        self.loads = LoadTable(targets, self.health.weigh)
        self.active = ActiveTargets(())
        self.names = tuple(target.id for target in targets)
        self._members = frozenset(self.names)
        self._pushed_at = -_MIN_PUSH_INTERVAL_S
        self._active_set = ActiveSet(headroom, order_targets(targets))
        self.update(0.0)

    def update(self, now: float) -> None:
        """Renews the active targets; called once a second.

        Args:
            now: seconds, monotonic.
        """
        excluded = self._list_excluded(now)
        demand = self.loads.estimate_demand(self.active, now)
        self.active = self._active_set.update(demand, now, excluded)

    def check_clock(self, now: float) -> bool:
        """Voids beliefs after a gap of the clock, as Health.tick."""
        gap = self.health.check_clock(now)
        if gap:
            self.loads.discard_reports()
        return gap

    def change_targets(
        self, targets: Sequence[Target], headroom: float, now: float
    ) -> None:
        """Takes the targets of a new manifest; what is known of others stays.

        Args:
            targets: targets of the service; new ones start cold.
            headroom: of the service, 0 to 1.
            now: seconds, monotonic.
        """
        for target in targets:
            if target.id not in self._members:
                self.health.record(target.id, Started(), now)
        self.names = tuple(target.id for target in targets)
        self._members = frozenset(self.names)
        self.loads.change_targets(targets)
        self._active_set.change_targets(targets, headroom)
        self.update(now)

    def record(self, target: TargetId, evidence: Evidence, now: float) -> bool:
        """Takes evidence; a suspect gets no new work from here on.

        Returns:
            Whether the target is suspected or leaving only since this
            evidence. The process then sends its reports to PUSH_PEERS peers
            at once.
        """
        before = self.health.is_excluded(target, now)
        self.health.record(target, evidence, now)
        if before or not self.health.is_excluded(target, now):
            return False
        self.update(now)
        if now - self._pushed_at < _MIN_PUSH_INTERVAL_S:
            return False
        self._pushed_at = now
        return True

    def hear(self, report: LoadReport, now: float) -> bool:
        """Takes a report from a message; the time on its way is ignored.

        Returns:
            Whether to send reports on at once, as for record.
        """
        if report.load is not None:
            age = report.claim.age
            self.loads.note(report.target, report.load, age, now)
        return self.record(report.target, report.claim, now)

    def list_reports(self, now: float) -> list[LoadReport]:
        """Returns what the next Status message tells of the service.

        Claims against targets come first: a target that is lost or leaving
        then costs other processes fewer requests.
        """
        reports = [
            LoadReport(target, None, claim)
            for target, claim in self.health.list_adverse_reports(
                now, _MAX_HEALTH_REPORTS
            )
        ]
        excluded = self._list_excluded(now)
        for target, load, age in self.loads.list_reports(
            now, REPORTS - len(reports), excluded
        ):
            claim = Claimed(healthy=True, draining=False, age=age)
            reports.append(LoadReport(target, load, claim))
        return reports

    def _list_excluded(self, now: float) -> frozenset[TargetId]:
        suspects = self.health.find_suspects(self._members, now)
        return suspects | self.health.find_leaving(self._members, now)
