"""Which cold targets a balancer may offer a start, and what it tells agents.

Answers the load of a flood of starts at targets that have just started: what
their agents decline is not offered to them again before they have capacity.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from jujuberun.ids import PoolId, TargetId
from jujuberun.manifest import PoolShare
from jujuberun.target_state import TargetState
from jujuberun.warmup.bounds import WINDOW_S, WarmupSettings

# Minimum time between two announcements of a limit to one agent. A lost one is
# made up for by the next; 59 balancers that flood one cold target send 295
# messages a second, fewer than the starts that they offer.
ANNOUNCE_INTERVAL_S = 0.2
_NO_TARGETS: frozenset[TargetId] = frozenset()


class Announcement(NamedTuple):
    """Limit that an agent is to be told before a start.

    Attributes:
        target: id of the target, which differs after each of its starts.
        limit: starts that the target may take in a second.
        left_s: seconds until the warm-up ends.
        is_first: whether it is the first one for this start of the target.
    """

    target: TargetId
    limit: int
    left_s: float
    is_first: bool


@dataclass(slots=True)
class _ColdTarget:
    # What one balancer knows of a cold target; times are seconds, monotonic.
    pool: PoolId
    limit: int
    cold_until: float
    announced_at: float = -math.inf
    offered: deque[float] = field(default_factory=deque)


class OfferLimits:
    """Limits and offers of the cold targets that one balancer knows."""

    def __init__(self, settings: WarmupSettings) -> None:
        """Starts without pools.

        Args:
            settings: how the limit follows from the rate of a pool.
        """
        self._settings = settings
        self._limits: dict[PoolId, int] = {}
        self._targets: dict[TargetId, _ColdTarget] = {}
        # Cold targets without capacity, with the time at which it returns.
        self._full: dict[PoolId, dict[TargetId, float]] = {}

    def update_rates(self, shares: Iterable[PoolShare]) -> None:
        """Applies the rates of a manifest.

        If the services of a pool state several, the lowest one applies.

        Args:
            shares: the pools of all services.
        """
        limits: dict[PoolId, int] = {}
        for share in shares:
            limit = self._settings.compute_limit(share.warmup_rate)
            if limit is not None:
                limits[share.pool] = min(limit, limits.get(share.pool, limit))
        self._limits = limits
        for target, cold in list(self._targets.items()):
            if cold.pool not in limits:
                self._remove(target)

    def record_offer(
        self, candidate: TargetState, now: float
    ) -> Announcement | None:
        """Counts an offer; returns what the agent is to be told before it.

        The balancer's own offers keep the limit too, so that an agent that
        has not been told the limit yet, or has restarted, gets no flood.

        Args:
            candidate: the target.
            now: seconds, monotonic.
        """
        limit = self._limits.get(candidate.pool)
        if limit is None or candidate.warmup_until <= now:
            return None
        cold = self._targets.get(candidate.id)
        if cold is None:
            cold = _ColdTarget(candidate.pool, limit, candidate.warmup_until)
            self._targets[candidate.id] = cold
        cold.limit, cold.cold_until = limit, candidate.warmup_until
        cold.offered.append(now)
        self._close(candidate.id, cold, now, now)
        if now - cold.announced_at < ANNOUNCE_INTERVAL_S:
            return None
        is_first = cold.announced_at == -math.inf
        cold.announced_at = now
        left_s = candidate.warmup_until - now
        return Announcement(candidate.id, limit, left_s, is_first)

    def record_decline(
        self, target: TargetId, wait_s: float, now: float
    ) -> None:
        """Withholds starts from a cold target that has no capacity.

        Args:
            target: id of the target.
            wait_s: seconds after which its agent expects capacity.
            now: seconds, monotonic.
        """
        cold = self._targets.get(target)
        if cold is None:
            return
        if cold.offered:
            cold.offered.pop()
        # A capacity is free again after one window at the latest.
        self._close(target, cold, now + min(wait_s, WINDOW_S), now)

    def record_timeout(self, target: TargetId, now: float) -> None:
        """Withholds starts until the next announcement is due.

        An agent that does not answer may have restarted, and does not know the
        limit then, so the next offer must follow an announcement.

        Args:
            target: target whose agent has not answered an offer.
            now: seconds, monotonic.
        """
        cold = self._targets.get(target)
        if cold is not None:
            due_at = cold.announced_at + ANNOUNCE_INTERVAL_S
            self._close(target, cold, due_at, now)

    def list_full(
        self, shares: Iterable[PoolShare], now: float
    ) -> frozenset[TargetId]:
        """Returns the cold targets of pools that have no capacity now."""
        if not self._full:
            return _NO_TARGETS
        full: list[TargetId] = []
        for share in shares:
            targets = self._full.get(share.pool, {})
            for target, until in list(targets.items()):
                if until <= now:
                    del targets[target]
            full += targets
        return frozenset(full)

    def is_full(self, candidate: TargetState, now: float) -> bool:
        """Returns whether a cold target has no capacity now."""
        return self._full.get(candidate.pool, {}).get(candidate.id, 0.0) > now

    def expire(self, now: float) -> None:
        """Forgets targets whose warm-up has ended."""
        for target, cold in list(self._targets.items()):
            if cold.cold_until <= now:
                self._remove(target)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns limits and cold targets as JSON types."""
        return {
            "limits": dict(self._limits),
            "cold": {
                target: {
                    "limit": cold.limit,
                    "cold_for_s": round(cold.cold_until - now, 3),
                    "offered": len(cold.offered),
                    "capacity_in_s": round(
                        max(0.0, self._find_full_until(target, cold) - now), 3
                    ),
                }
                for target, cold in self._targets.items()
                if cold.cold_until > now
            },
        }

    def _close(
        self, target: TargetId, cold: _ColdTarget, until: float, now: float
    ) -> None:
        """Withholds starts until a time, and while own offers use the limit."""
        while cold.offered and now - cold.offered[0] >= WINDOW_S:
            cold.offered.popleft()
        surplus = len(cold.offered) - cold.limit
        if surplus >= len(cold.offered):
            until = max(until, now + WINDOW_S)
        elif surplus >= 0:
            until = max(until, cold.offered[surplus] + WINDOW_S)
        until = min(until, cold.cold_until)
        if until > now:
            self._full.setdefault(cold.pool, {})[target] = until

    def _find_full_until(self, target: TargetId, cold: _ColdTarget) -> float:
        return self._full.get(cold.pool, {}).get(target, -math.inf)

    def _remove(self, target: TargetId) -> None:
        cold = self._targets.pop(target)
        full = self._full.get(cold.pool, {})
        full.pop(target, None)
        if not full:
            self._full.pop(cold.pool, None)
