"""Combines load, health and active targets of a service in one process."""

from collections.abc import Sequence
from dataclasses import dataclass

from jujuberun.evidence import Evidence, HealthReport, Started
from jujuberun.health import HealthTracker
from jujuberun.ids import TargetId
from jujuberun.loads import LoadTable, TargetLoad
from jujuberun.manifest import Target
from jujuberun.placement import (
    ActiveSet,
    ActiveTargets,
    order_targets,
)

MAX_REPORTS = 8  # reports per load message; one takes about 50 bytes
REPORT_PUSH_PEERS = 4  # random peers that get a report of a suspect at once
_MIN_PUSH_INTERVAL_S = 0.2  # without it, pushes of peers triggered each other
_MAX_ADVERSE_REPORTS = 4  # adverse reports per load message


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One entry of a load message.

    Attributes:
        target: the target that the report is about.
        load: load of the target; None when another process reports that the
            target is unhealthy or leaving.
        health_report: healthy, draining and the age of the report.
    """

    target: TargetId
    load: TargetLoad | None
    health_report: HealthReport


class ServiceView:
    """State of one service's targets as seen by one process.

    Views of different processes may differ; nothing compares them.

    Attributes:
        health: health of the targets.
        loads: loads of the targets.
        active: targets that may get new work.
        target_ids: ids of all targets of the service.
    """

    def __init__(self, targets: Sequence[Target], headroom: float) -> None:
        """Starts with healthy targets of unknown load.

        Args:
            targets: targets of the service.
            headroom: headroom of the service, 0 to 1.
        """
        self.health = HealthTracker()
        self.loads = LoadTable(targets, self.health.weigh)
        self.active = ActiveTargets(())
        self.target_ids = tuple(target.id for target in targets)
        self._members = frozenset(self.target_ids)
        self._pushed_at = -_MIN_PUSH_INTERVAL_S
        self._active_set = ActiveSet(headroom, order_targets(targets))
        self.update(0.0)

    def update(self, now: float) -> None:
        """Recomputes the active targets; called periodically.

        Args:
            now: monotonic time in seconds.
        """
        excluded = self._list_excluded(now)
        demand = self.loads.estimate_demand(self.active, now)
        self.active = self._active_set.update(demand, now, excluded)

    def check_clock(self, now: float) -> bool:
        """Discards health and loads after a pause of this process.

        Args:
            now: monotonic time in seconds.

        Returns:
            Whether there was a pause, as in HealthTracker.check_clock.
        """
        gap = self.health.check_clock(now)
        if gap:
            self.loads.discard_reports()
        return gap

    def change_targets(
        self, targets: Sequence[Target], headroom: float, now: float
    ) -> None:
        """Replaces the targets by those of a new manifest; keeps known state.

        Args:
            targets: targets of the service; new ones get a slow start.
            headroom: headroom of the service, 0 to 1.
            now: monotonic time in seconds.
        """
        for target in targets:
            if target.id not in self._members:
                self.health.record(target.id, Started(), now)
        self.target_ids = tuple(target.id for target in targets)
        self._members = frozenset(self.target_ids)
        self.loads.change_targets(targets)
        self._active_set.change_targets(targets, headroom)
        self.update(now)

    def record(self, target: TargetId, evidence: Evidence, now: float) -> bool:
        """Records evidence and stops new work for a suspected target.

        Args:
            target: the target that the evidence is about.
            evidence: an observation or a report.
            now: monotonic time in seconds.

        Returns:
            Whether to send the reports to REPORT_PUSH_PEERS peers at once: the
            evidence made the target suspected or leaving, and the last push
            was at least _MIN_PUSH_INTERVAL_S ago.
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

    def handle_report(self, report: LoadReport, now: float) -> bool:
        """Records a report from a message; ignores its transit time.

        Args:
            report: health report of a target, with its load if known.
            now: monotonic time in seconds.

        Returns:
            Whether to send the reports to peers at once, as in record.
        """
        if report.load is not None:
            age = report.health_report.age
            self.loads.record_load(report.target, report.load, age, now)
        return self.record(report.target, report.health_report, now)

    def list_reports(self, now: float) -> list[LoadReport]:
        """Returns the service's reports for the next load message.

        Adverse reports come first, so that other processes lose fewer requests
        to a target that is lost or leaving.
        """
        reports = [
            LoadReport(target, None, health_report)
            for target, health_report in self.health.list_adverse_reports(
                now, _MAX_ADVERSE_REPORTS
            )
        ]
        excluded = self._list_excluded(now)
        for target, load, age in self.loads.list_reports(
            now, MAX_REPORTS - len(reports), excluded
        ):
            health_report = HealthReport(healthy=True, draining=False, age=age)
            reports.append(LoadReport(target, load, health_report))
        return reports

    def _list_excluded(self, now: float) -> frozenset[TargetId]:
        suspects = self.health.find_suspects(self._members, now)
        return suspects | self.health.find_leaving(self._members, now)
