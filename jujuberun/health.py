"""Weight and suspicion of targets, from evidence of traffic and messages."""

import math
from collections.abc import Collection
from dataclasses import dataclass

from jujuberun.evidence import (
    Answered,
    Claimed,
    Evidence,
    Failed,
    Heard,
    Listed,
    Refused,
    Silent,
    Started,
    WasReset,
)
from jujuberun.ids import TargetId, VmState

RAMP_S = 30.0  # slow start of a new target
MAX_GAP_S = 1.0  # a longer gap of the clock voids beliefs
MAX_SUSPECT_SHARE = 1 / 3  # with more suspects, suspicion is ignored
MAX_BELIEFS = 1024  # targets; bounds memory of a process in a large fleet
_MIN_WEIGHT = 0.05  # a target without traffic could never show that it works
_SHARE = 0.1  # weight of one answer in the moving mean of the time
_ERROR_SHARE = 0.2  # the same for errors; five in a row make a suspect
_SLOW = 2.0  # a target up to this many times slower than usual keeps weight
_FAILED = 10.0  # a failure counts as an answer this many times slower
_REFUSED = 4.0  # the same for a refusal
_MIN_ANSWERS = 5  # fewer answers do not make a suspect by their errors
_FAILING = 0.5  # share of errors that makes a suspect
_HOLD_S = 5.0  # first suspicion; doubles with each one in a row
_MAX_HOLD_S = 60.0
_TRIAL_S = 10.0  # a doubted target gets a little work between suspicions
_PROVEN_S = 2.0  # an answer outweighs claims and lists for so long


@dataclass(slots=True)
class _Belief:
    """What one process believes of one target; times are monotonic."""

    slowness: float = 1.0  # moving mean of the time, 1 is usual
    errors: float = 0.0  # moving share of errors
    answers: int = 0
    good_at: float = -math.inf  # last answer without an error
    started_at: float = -math.inf
    draining_at: float = -math.inf  # newest claim or refusal
    staying_at: float = -math.inf  # newest claim that it does not drain
    listed_at: float = -math.inf  # when the newest list was written
    listed_leaving: bool = False
    doubted_since: float | None = None  # first of the claims against it
    doubted_at: float = -math.inf  # last of them
    silent: bool = False
    strikes: int = 0  # suspicions by errors or silence in a row
    suspected_at: float = -math.inf
    suspect_until: float = -math.inf


class Health:
    """Beliefs of one process about targets.

    It keeps beliefs only about targets with evidence against them or traffic
    of this process, at most MAX_BELIEFS, so its cost does not grow with the
    fleet. Times of answers are compared among all targets recorded here, so
    services whose requests differ much in time need an instance each.
    """

    def __init__(self) -> None:
        self._beliefs: dict[TargetId, _Belief] = {}
        self._troubled: set[TargetId] = set()
        self._usual_s = 0.0  # moving mean of the time of all good answers
        self._usual_count = 0
        self._ticked: float | None = None

    def tick(self, now: float) -> bool:
        """Voids all beliefs after a gap of the clock.

        Args:
            now: seconds, monotonic; a loop calls this twice a second or more.

        Returns:
            Whether there was a gap of more than MAX_GAP_S.
        """
        gap = self._ticked is not None and now - self._ticked > MAX_GAP_S
        self._ticked = now
        if gap:
            self._beliefs.clear()
            self._troubled.clear()
        return gap

    def record(self, target: TargetId, evidence: Evidence, now: float) -> None:
        """Takes evidence about a target.

        Args:
            target: whom it is about.
            evidence: what was seen or said.
            now: seconds, monotonic.
        """
        belief = self._beliefs.pop(target, None)
        if belief is None:
            if _says_nothing(evidence):
                return
            belief = _Belief()
            self._make_room()
        self._beliefs[target] = belief  # last in the order: used most recently
        match evidence:
            case Answered(seconds):
                self._note_answer(belief, seconds, now)
            case Failed() | WasReset():
                _note_failure(belief, now)
            case Refused(draining):
                belief.slowness += _SHARE * (_REFUSED - belief.slowness)
                if draining:
                    belief.draining_at = now
                if belief.doubted_since is not None:
                    belief.doubted_since = now
            case Silent():
                belief.silent = True
                _strike(belief, now)
            case Heard():
                _end_silence(belief, now)
            case Started():
                self._beliefs[target] = belief = _Belief(started_at=now)
            case Listed(state, age):
                _note_listed(belief, state, now - age)
            case Claimed():
                _note_claim(belief, evidence, now - evidence.age)
        if _is_troubled(belief):
            self._troubled.add(target)
        else:
            self._troubled.discard(target)

    def find_suspects(
        self, service_targets: Collection[TargetId], now: float
    ) -> frozenset[TargetId]:
        """Returns the targets that get no new work for lack of trust.

        Args:
            service_targets: targets of one service; leaving ones count as
                targets, not as suspects.
            now: seconds, monotonic.

        Returns:
            Suspects, or an empty set when more than a third are suspected:
            then the fault more likely lies in the evidence or is everywhere.
        """
        suspects = frozenset(
            target
            for target in self._troubled
            if target in service_targets
            and not _is_leaving(self._beliefs[target])
            and _is_suspect(self._beliefs[target], now)
        )
        if len(suspects) > len(service_targets) * MAX_SUSPECT_SHARE:
            return frozenset()
        return suspects

    def find_leaving(
        self, service_targets: Collection[TargetId], now: float
    ) -> frozenset[TargetId]:
        """Returns the targets that leave; the third does not apply to them.

        Args:
            service_targets: targets of one service.
            now: seconds, monotonic.
        """
        return frozenset(
            target
            for target in self._troubled
            if target in service_targets and _is_leaving(self._beliefs[target])
        )

    def is_excluded(self, target: TargetId, now: float) -> bool:
        """Returns whether a target is suspected or leaving."""
        belief = self._beliefs.get(target) or _Belief()
        return _is_leaving(belief) or _is_suspect(belief, now)

    def list_claims(
        self, now: float, count: int
    ) -> list[tuple[TargetId, Claimed]]:
        """Returns the newest claims against targets, to pass them on.

        A claim that was heard keeps its age, so it ends everywhere at the
        same time and does not go round.
        """
        claims = []
        for target in self._troubled:
            belief = self._beliefs[target]
            leaving = _is_leaving(belief)
            said_at = belief.draining_at if leaving else belief.doubted_at
            if belief.listed_leaving:
                said_at = max(said_at, belief.listed_at)
            if now < belief.suspect_until:
                said_at = max(said_at, belief.suspected_at)
            age = max(0.0, now - said_at)
            if leaving or age < _HOLD_S:
                claims.append((target, Claimed(False, leaving, age)))
        claims.sort(key=lambda claim: claim[1].age)
        return claims[:count]

    def weigh(self, target: TargetId, now: float) -> float:
        """Returns the share of work a target should get, above 0 up to 1.

        Args:
            target: an unknown one weighs 1.
            now: seconds, monotonic.
        """
        belief = self._beliefs.get(target)
        if belief is None:
            return 1.0
        if self.is_excluded(target, now):
            return _MIN_WEIGHT
        if belief.strikes > 0 or _is_doubted(belief, now):
            return _MIN_WEIGHT
        ramp = min(1.0, (now - belief.started_at) / RAMP_S)
        errors = belief.errors
        slowness = (1.0 - errors) * belief.slowness + errors * _FAILED
        return max(_MIN_WEIGHT, ramp * min(1.0, _SLOW / slowness))

    def _note_answer(self, belief: _Belief, seconds: float, now: float) -> None:
        self._usual_count += 1
        share = max(_SHARE / 4, 1 / self._usual_count)
        # The limit keeps one slow target from making its time the usual one.
        limited = min(seconds, 3 * self._usual_s) if share < 1 else seconds
        self._usual_s += share * (limited - self._usual_s)
        slowness = min(_FAILED, seconds / max(self._usual_s, 1e-6))
        belief.slowness += _SHARE * (slowness - belief.slowness)
        belief.errors -= _ERROR_SHARE * belief.errors
        belief.answers += 1
        belief.good_at = now
        _end_silence(belief, now)
        if belief.errors < _FAILING and now >= belief.suspect_until:
            belief.strikes = 0

    def _make_room(self) -> None:
        """Drops the belief that was used longest ago."""
        if len(self._beliefs) < MAX_BELIEFS:
            return
        oldest = next(iter(self._beliefs))
        del self._beliefs[oldest]
        self._troubled.discard(oldest)


def _says_nothing(evidence: Evidence) -> bool:
    """Returns whether the evidence is what holds for an unknown target."""
    match evidence:
        case Heard() | Listed(VmState.LIVE, _) | Claimed(True, False, _):
            return True
    return False


def _note_failure(belief: _Belief, now: float) -> None:
    belief.errors += _ERROR_SHARE * (1.0 - belief.errors)
    belief.answers += 1
    failing = belief.errors > _FAILING and belief.answers >= _MIN_ANSWERS
    if failing or belief.strikes > 0:
        _strike(belief, now)


def _strike(belief: _Belief, now: float) -> None:
    """Suspects the target, twice as long as the last time."""
    if now < belief.suspect_until:
        return
    hold = min(_MAX_HOLD_S, _HOLD_S * 2**belief.strikes)
    belief.suspected_at = now
    belief.suspect_until = now + hold
    belief.strikes = min(belief.strikes + 1, 8)


def _end_silence(belief: _Belief, now: float) -> None:
    if belief.silent:
        belief.silent = False
        belief.strikes = 0
        belief.suspect_until = now


def _note_listed(
    belief: _Belief, state: VmState | None, written_at: float
) -> None:
    if written_at < belief.listed_at:
        return
    belief.listed_at = written_at
    belief.listed_leaving = state is VmState.LEAVING
    if state is None:
        _doubt(belief, written_at)


def _note_claim(belief: _Belief, claim: Claimed, said_at: float) -> None:
    if claim.draining:
        belief.draining_at = max(belief.draining_at, said_at)
    elif claim.healthy:
        # Another process that says "unhealthy" may not know of the draining.
        belief.staying_at = max(belief.staying_at, said_at)
    if not claim.healthy:
        _doubt(belief, said_at)
    elif said_at >= belief.doubted_at:
        belief.doubted_since = None


def _doubt(belief: _Belief, said_at: float) -> None:
    # A claim that still goes round must not undo a newer sign of life.
    if said_at < max(belief.started_at, belief.staying_at):
        return
    lapsed = said_at - belief.doubted_at > _HOLD_S + _TRIAL_S
    if belief.doubted_since is None or lapsed:
        belief.doubted_since = said_at
    belief.doubted_at = max(belief.doubted_at, said_at)


def _is_leaving(belief: _Belief) -> bool:
    if belief.listed_leaving and belief.listed_at > belief.started_at:
        return True
    staying_at = max(belief.staying_at, belief.started_at)
    return belief.draining_at > staying_at


def _is_troubled(belief: _Belief) -> bool:
    """Returns whether the target may be a suspect or leaving."""
    return (
        belief.strikes > 0
        or belief.doubted_since is not None
        or _is_leaving(belief)
    )


def _is_doubted(belief: _Belief, now: float) -> bool:
    """Returns whether claims and lists against it outweigh its answers."""
    # They lag or mislead in both directions, so a recent answer counts more.
    if belief.doubted_since is None or now - belief.good_at < _PROVEN_S:
        return False
    return now - belief.doubted_at < _HOLD_S + _TRIAL_S


def _is_suspect(belief: _Belief, now: float) -> bool:
    if now < belief.suspect_until:
        return True
    if not _is_doubted(belief, now):
        return False
    # Without a trial now and then, a wrong claim would keep its target idle
    # for good; a refusal ends the trial.
    passed = now - belief.doubted_since
    return passed % (_HOLD_S + _TRIAL_S) < _HOLD_S
