"""Derives weights and suspicion of targets from traffic and messages."""

import math
from collections.abc import Collection
from dataclasses import dataclass

from jujuberun.evidence import (
    Answered,
    Evidence,
    Failed,
    HealthReport,
    Listed,
    MessageReceived,
    Refused,
    Silent,
    Started,
    WasReset,
)
from jujuberun.ids import TargetId, VmState

SLOW_START_S = 30.0  # a new target gets its full weight after this time
MAX_CLOCK_GAP_S = 1.0  # after a longer pause, all health data is discarded
MAX_SUSPECT_SHARE = 1 / 3  # above this share, suspicion is ignored
MAX_TRACKED_TARGETS = 1024  # bounds the memory of a process in a large fleet
_MIN_WEIGHT = 0.05  # a target needs some traffic to show that it works
_TIME_SMOOTHING = 0.1  # weight of one answer in the moving mean of the time
# Weight of one outcome in the moving share of errors. Five errors in a row
# always make a target a suspect.
_ERROR_SMOOTHING = 0.2
_TOLERATED_SLOWNESS = 2.0  # up to this slowness a target keeps its full weight
_FAILURE_SLOWNESS = 10.0  # slowness that a failure counts as
_REFUSAL_SLOWNESS = 4.0  # slowness that a refusal counts as
_MIN_OUTCOMES = 5  # with fewer outcomes, errors cause no suspicion
_MAX_ERROR_SHARE = 0.5  # a target with a larger share of errors is suspected
_SUSPICION_S = 5.0  # doubles with each further suspicion in a row
_MAX_SUSPICION_S = 60.0
# A target with adverse reports gets a little work for this time after each
# suspicion, to show whether the reports are right.
_TRIAL_S = 10.0
_ANSWER_PRECEDENCE_S = 2.0  # an answer overrides adverse reports this long


@dataclass(slots=True)
class _TargetHealth:
    """Health of one target; times are monotonic, in seconds.

    An adverse report is a health report that calls the target unhealthy, or a
    VM list without its VM.

    Attributes:
        slowness: moving mean of answer time / mean time of all targets.
        error_share: moving share of errors among the outcomes.
        outcome_count: number of answers, errors and resets.
        answered_at: last answer without an error.
        draining_at: newest report or refusal because of draining.
        healthy_at: newest report of a healthy target that is not draining.
        listed_at: time at which the platform wrote the newest VM list.
        adverse_since: start of the adverse reports; a refusal renews it.
        adverse_at: newest adverse report.
        suspicion_count: suspicions in a row because of errors or silence.
    """

    slowness: float = 1.0
    error_share: float = 0.0
    outcome_count: int = 0
    answered_at: float = -math.inf
    started_at: float = -math.inf
    draining_at: float = -math.inf
    healthy_at: float = -math.inf
    listed_at: float = -math.inf
    listed_leaving: bool = False
    adverse_since: float | None = None
    adverse_at: float = -math.inf
    silent: bool = False
    suspicion_count: int = 0
    suspected_at: float = -math.inf
    suspect_until: float = -math.inf


class HealthTracker:
    """Tracks the health of targets as seen by one process.

    It tracks only targets that have traffic of this process or evidence
    against them, at most MAX_TRACKED_TARGETS. Its cost therefore does not grow
    with the fleet. Slowness compares a target with all targets of the same
    instance, so services whose requests differ much in duration need an
    instance each.
    """

    def __init__(self) -> None:
        self._targets: dict[TargetId, _TargetHealth] = {}
        self._impaired: set[TargetId] = set()
        self._mean_s = 0.0  # moving mean time of error-free answers
        self._answer_count = 0
        self._checked_at: float | None = None

    def check_clock(self, now: float) -> bool:
        """Discards all health data after a pause of this process.

        Args:
            now: monotonic time in seconds; a loop calls this at least twice a
                second.

        Returns:
            Whether more than MAX_CLOCK_GAP_S passed since the last call.
        """
        gap = (
            self._checked_at is not None
            and now - self._checked_at > MAX_CLOCK_GAP_S
        )
        self._checked_at = now
        if gap:
            self._targets.clear()
            self._impaired.clear()
        return gap

    def record(self, target: TargetId, evidence: Evidence, now: float) -> None:
        """Records evidence about a target.

        Args:
            target: the target that the evidence is about.
            evidence: an observation or a report.
            now: monotonic time in seconds.
        """
        health = self._targets.pop(target, None)
        if health is None:
            if _is_uninformative(evidence):
                return
            health = _TargetHealth()
            self._evict_if_full()
        self._targets[target] = health  # the dict is in LRU order
        match evidence:
            case Answered(seconds):
                self._record_answer(health, seconds, now)
            case Failed() | WasReset():
                _record_failure(health, now)
            case Refused(draining):
                health.slowness += _TIME_SMOOTHING * (
                    _REFUSAL_SLOWNESS - health.slowness
                )
                if draining:
                    health.draining_at = now
                if health.adverse_since is not None:
                    health.adverse_since = now
            case Silent():
                health.silent = True
                _suspect(health, now)
            case MessageReceived():
                _end_silence(health, now)
            case Started():
                self._targets[target] = health = _TargetHealth(started_at=now)
            case Listed(state, age):
                _record_listing(health, state, now - age)
            case HealthReport():
                _record_health_report(health, evidence, now - evidence.age)
        if _is_impaired(health):
            self._impaired.add(target)
        else:
            self._impaired.discard(target)

    def find_suspects(
        self, service_targets: Collection[TargetId], now: float
    ) -> frozenset[TargetId]:
        """Returns the targets that get no new work because of suspicion.

        Args:
            service_targets: targets of one service. Leaving targets count
                among the targets but not among the suspects.
            now: monotonic time in seconds.

        Returns:
            The suspects. The set is empty when more than MAX_SUSPECT_SHARE of
            the targets are suspected: then the evidence is probably wrong, or
            the fault affects all targets.
        """
        suspects = frozenset(
            target
            for target in self._impaired
            if target in service_targets
            and not _is_leaving(self._targets[target])
            and _is_suspect(self._targets[target], now)
        )
        if len(suspects) > len(service_targets) * MAX_SUSPECT_SHARE:
            return frozenset()
        return suspects

    def find_leaving(
        self, service_targets: Collection[TargetId], now: float
    ) -> frozenset[TargetId]:
        """Returns the leaving targets; MAX_SUSPECT_SHARE does not limit them.

        Args:
            service_targets: targets of one service.
            now: monotonic time in seconds.
        """
        return frozenset(
            target
            for target in self._impaired
            if target in service_targets and _is_leaving(self._targets[target])
        )

    def is_excluded(self, target: TargetId, now: float) -> bool:
        """Returns whether the target is suspected or leaving."""
        health = self._targets.get(target) or _TargetHealth()
        return _is_leaving(health) or _is_suspect(health, now)

    def list_adverse_reports(
        self, now: float, count: int
    ) -> list[tuple[TargetId, HealthReport]]:
        """Returns reports of suspected or leaving targets to forward to peers.

        A report received from a peer keeps its age. It therefore expires at
        the same time in all processes, and forwarding does not renew it.

        Args:
            now: monotonic time in seconds.
            count: maximum number of reports; the newest are returned.
        """
        reports = []
        for target in self._impaired:
            health = self._targets[target]
            leaving = _is_leaving(health)
            stated_at = health.draining_at if leaving else health.adverse_at
            if health.listed_leaving:
                stated_at = max(stated_at, health.listed_at)
            if now < health.suspect_until:
                stated_at = max(stated_at, health.suspected_at)
            age = max(0.0, now - stated_at)
            if leaving or age < _SUSPICION_S:
                reports.append((target, HealthReport(False, leaving, age)))
        reports.sort(key=lambda report: report[1].age)
        return reports[:count]

    def weigh(self, target: TargetId, now: float) -> float:
        """Returns the weight of a target in the distribution of work.

        Args:
            target: the target; its weight is 1 if it is not tracked.
            now: monotonic time in seconds.

        Returns:
            The weight, greater than 0 and at most 1.
        """
        health = self._targets.get(target)
        if health is None:
            return 1.0
        if self.is_excluded(target, now):
            return _MIN_WEIGHT
        if health.suspicion_count > 0 or _has_adverse_reports(health, now):
            return _MIN_WEIGHT
        ramp = min(1.0, (now - health.started_at) / SLOW_START_S)
        error_share = health.error_share
        slowness = (
            1.0 - error_share
        ) * health.slowness + error_share * _FAILURE_SLOWNESS
        return max(_MIN_WEIGHT, ramp * min(1.0, _TOLERATED_SLOWNESS / slowness))

    def _record_answer(
        self, health: _TargetHealth, seconds: float, now: float
    ) -> None:
        self._answer_count += 1
        alpha = max(_TIME_SMOOTHING / 4, 1 / self._answer_count)
        # The limit keeps one slow target from dominating the mean.
        limited = min(seconds, 3 * self._mean_s) if alpha < 1 else seconds
        self._mean_s += alpha * (limited - self._mean_s)
        slowness = min(_FAILURE_SLOWNESS, seconds / max(self._mean_s, 1e-6))
        health.slowness += _TIME_SMOOTHING * (slowness - health.slowness)
        health.error_share -= _ERROR_SMOOTHING * health.error_share
        health.outcome_count += 1
        health.answered_at = now
        _end_silence(health, now)
        if (
            health.error_share < _MAX_ERROR_SHARE
            and now >= health.suspect_until
        ):
            health.suspicion_count = 0

    def _evict_if_full(self) -> None:
        """Drops the least recently used target when there are too many."""
        if len(self._targets) < MAX_TRACKED_TARGETS:
            return
        oldest = next(iter(self._targets))
        del self._targets[oldest]
        self._impaired.discard(oldest)


def _is_uninformative(evidence: Evidence) -> bool:
    """Returns whether the evidence changes nothing for an untracked target."""
    match evidence:
        case (
            MessageReceived()
            | Listed(VmState.LIVE, _)
            | HealthReport(True, False, _)
        ):
            return True
    return False


def _record_failure(health: _TargetHealth, now: float) -> None:
    health.error_share += _ERROR_SMOOTHING * (1.0 - health.error_share)
    health.outcome_count += 1
    failing = (
        health.error_share > _MAX_ERROR_SHARE
        and health.outcome_count >= _MIN_OUTCOMES
    )
    if failing or health.suspicion_count > 0:
        _suspect(health, now)


def _suspect(health: _TargetHealth, now: float) -> None:
    """Suspects the target for twice as long as the last time."""
    if now < health.suspect_until:
        return
    duration = min(_MAX_SUSPICION_S, _SUSPICION_S * 2**health.suspicion_count)
    health.suspected_at = now
    health.suspect_until = now + duration
    health.suspicion_count = min(health.suspicion_count + 1, 8)


def _end_silence(health: _TargetHealth, now: float) -> None:
    if health.silent:
        health.silent = False
        health.suspicion_count = 0
        health.suspect_until = now


def _record_listing(
    health: _TargetHealth, state: VmState | None, written_at: float
) -> None:
    if written_at < health.listed_at:
        return
    health.listed_at = written_at
    health.listed_leaving = state is VmState.LEAVING
    if state is None:
        _record_adverse_report(health, written_at)


def _record_health_report(
    health: _TargetHealth, report: HealthReport, stated_at: float
) -> None:
    if report.draining:
        health.draining_at = max(health.draining_at, stated_at)
    elif report.healthy:
        # An "unhealthy" report of a peer does not show that draining ended.
        health.healthy_at = max(health.healthy_at, stated_at)
    if not report.healthy:
        _record_adverse_report(health, stated_at)
    elif stated_at >= health.adverse_at:
        health.adverse_since = None


def _record_adverse_report(health: _TargetHealth, stated_at: float) -> None:
    # A delayed report must not override a newer start or healthy report.
    if stated_at < max(health.started_at, health.healthy_at):
        return
    lapsed = stated_at - health.adverse_at > _SUSPICION_S + _TRIAL_S
    if health.adverse_since is None or lapsed:
        health.adverse_since = stated_at
    health.adverse_at = max(health.adverse_at, stated_at)


def _is_leaving(health: _TargetHealth) -> bool:
    if health.listed_leaving and health.listed_at > health.started_at:
        return True
    healthy_at = max(health.healthy_at, health.started_at)
    return health.draining_at > healthy_at


def _is_impaired(health: _TargetHealth) -> bool:
    """Returns whether the target may be a suspect or leaving."""
    return (
        health.suspicion_count > 0
        or health.adverse_since is not None
        or _is_leaving(health)
    )


def _has_adverse_reports(health: _TargetHealth, now: float) -> bool:
    """Returns whether adverse reports outweigh the target's answers."""
    # Reports may be late or wrong in both directions, so a recent answer takes
    # precedence.
    if (
        health.adverse_since is None
        or now - health.answered_at < _ANSWER_PRECEDENCE_S
    ):
        return False
    return now - health.adverse_at < _SUSPICION_S + _TRIAL_S


def _is_suspect(health: _TargetHealth, now: float) -> bool:
    if now < health.suspect_until:
        return True
    if not _has_adverse_reports(health, now):
        return False
    # Suspicion alternates with trials. Without trials a wrong report would keep
    # its target idle permanently. A refusal during a trial ends it.
    elapsed = now - health.adverse_since
    return elapsed % (_SUSPICION_S + _TRIAL_S) < _SUSPICION_S
