"""Retry rules: whether, when and to which target a caller retries."""

import math
import random
from collections.abc import Collection, Mapping, Sequence

from jujuberun.ids import DomainId, Outcome, TargetId

RETRY_SHARE = 0.1  # retries per request
MIN_RETRY_RATE = 0.2  # retries per second, allowed without any requests
RETRY_BURST = 3.0  # retries that a full budget allows at once
BASE_DELAY_S = 0.05
MAX_DELAY_S = 5.0


class RetryBudget:
    """Limits retries to a share of recent requests plus a small rate."""

    def __init__(self, share: float, min_rate: float, burst: float) -> None:
        self._share = share
        self._min_rate = min_rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = -math.inf

    @classmethod
    def from_config(
        cls,
        share: float = RETRY_SHARE,
        min_rate: float = MIN_RETRY_RATE,
        burst: float = RETRY_BURST,
    ) -> "RetryBudget":
        """Creates a full budget.

        Args:
            share: retries per request.
            min_rate: retries per second that are allowed without requests.
            burst: retries that a full budget allows at once, at least 1.
        """
        return cls(share, min_rate, max(1.0, burst))

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request.

        Args:
            now: seconds, monotonic.
        """
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + self._share)

    def allow_retry(self, now: float) -> bool:
        """Takes one retry from the budget; returns whether one was left.

        Args:
            now: seconds, monotonic.
        """
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at != -math.inf:
            passed = max(0.0, now - self._refilled_at)
            added = passed * self._min_rate
            self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)


def may_resend(outcome: Outcome, idempotent: bool) -> bool:
    """Returns whether a request may be sent again after an attempt.

    Args:
        outcome: outcome of the attempt, as far as the caller knows it.
        idempotent: whether the request may run twice.
    """
    match outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.UNKNOWN:
            return idempotent
        case Outcome.ANSWERED:
            return False


def choose_delay(
    attempt: int, rng: random.Random, retry_after: float = 0.0
) -> float:
    """Returns the seconds to wait before the next attempt.

    This is exponential backoff with full jitter. A retry-after time is a lower
    bound, to which the jitter is added, so that callers that got the same
    retry-after time do not retry simultaneously.

    Args:
        attempt: number of the attempt that failed, from 1.
        rng: source of the jitter.
        retry_after: time that the last refusal asked for, seconds.
    """
    ceiling = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** min(attempt, 32))
    return retry_after + rng.uniform(0.0, ceiling)


def choose_next_target(
    candidates: Sequence[TargetId],
    failed: Collection[TargetId],
    domains: Mapping[TargetId, DomainId],
) -> TargetId | None:
    """Returns the target for the next attempt.

    Args:
        candidates: targets in order of preference.
        failed: targets at which this request has already failed.
        domains: failure domain of each target.

    Returns:
        The first candidate in a failure domain where the request has not
        failed, else the first candidate where it has not failed, else the first
        candidate; None without candidates.
    """
    failed_domains = {domains[name] for name in failed if name in domains}
    for name in candidates:
        if domains.get(name) not in failed_domains:
            return name
    for name in candidates:
        if name not in failed:
            return name
    return next(iter(candidates), None)
