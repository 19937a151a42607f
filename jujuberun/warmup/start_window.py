"""Sliding window of the starts that an agent passes to its target.

Answers the load of a flood of starts from many balancers at a target that has
just started. The agent sees all of them, so it alone can keep the sum below a
limit.
"""

import math
from collections import deque

from jujuberun.warmup.bounds import WINDOW_S

# At most half of the limit passes within half of the window. An agent that
# restarts forgets its counts, and applies half the limit for one window. An
# agent is unreachable for more than 0.45 s while it restarts
# (steering.AGENT_RESTART_S), so a second that includes a restart contains at
# most half a window of the run before: both halves together keep the limit.
HALF_WINDOW_S = WINDOW_S / 2
# Starts that are asked to return for the same free capacity. Some of them are
# placed elsewhere or refused in the meantime: with 1, each of 60 cold targets
# behind 59 balancers took 40 starts in 2.5 s of a flood, with 2 it took 57,
# with 4 all 70 that the limit allows (replay with tests/packetpath.py).
STARTS_PER_CAPACITY = 4
# Starts of one window that are counted at most; bounds the memory. No target
# takes as many starts in a second.
MAX_STARTS = 10_000
# Start ids whose limits are remembered. While balancers learn of a new start
# of a target, they name two; the others bound the memory.
MAX_START_IDS = 4


class StartWindow:
    """Counts starts, and limits them while the target is cold."""

    def __init__(self) -> None:
        self._taken: deque[float] = deque(maxlen=MAX_STARTS)
        self._limits: dict[str, tuple[int, float]] = {}
        # Times at which starts that were declined may be offered again.
        self._promised: deque[float] = deque(maxlen=MAX_STARTS)
        self._first_used_at: float | None = None

    def set_limit(
        self, start_id: str, limit: int, left_s: float, now: float
    ) -> bool:
        """Sets the limit of the target until its warm-up ends.

        A later end of the same start is kept: a balancer with an older list
        may name an earlier one.

        Args:
            start_id: id of the target, which differs after each of its starts.
            limit: starts that the target may take in a second.
            left_s: seconds until the warm-up ends.
            now: seconds, monotonic.

        Returns:
            Whether the limit in force has changed.
        """
        if self._first_used_at is None:
            self._first_used_at = self._taken[0] if self._taken else now
        before = self.find_limit(now)
        _, until = self._limits.pop(start_id, (limit, -math.inf))
        self._limits[start_id] = (limit, max(until, now + left_s))
        while len(self._limits) > MAX_START_IDS:
            self._limits.pop(next(iter(self._limits)))
        return self.find_limit(now) != before

    def find_limit(self, now: float) -> int | None:
        """Returns the limit in force, None if the target is not cold."""
        if not self._limits:
            return None
        self._limits = {
            start_id: entry
            for start_id, entry in self._limits.items()
            if entry[1] > now
        }
        return min((limit for limit, _ in self._limits.values()), default=None)

    def take(self, now: float) -> float | None:
        """Counts a start, unless it exceeds the limit.

        Args:
            now: seconds, monotonic.

        Returns:
            None if the start may pass, else the seconds after which the target
            has capacity for it. Starts that were declined before and may come
            again are expected to use the capacity that is free earlier.
        """
        limit = self.find_limit(now)
        if limit is not None:
            self._forget(now)
            if self._find_free_at(limit, 0, now) > now:
                queued = len(self._promised) // STARTS_PER_CAPACITY
                free_at = self._find_free_at(limit, queued, now)
                self._promised.append(free_at)
                return free_at - now
        self.record(now)
        return None

    def record(self, now: float) -> None:
        """Counts a start that passes whatever the limit is."""
        self._taken.append(now)

    def count(self, now: float) -> int:
        """Returns the starts that passed in the window."""
        self._forget(now)
        return len(self._taken)

    def _find_free_at(self, limit: int, queued: int, now: float) -> float:
        """Returns when a start may pass that waits behind queued others."""
        half = limit - limit // 2
        if now - self._first_used_at < WINDOW_S:
            # The agent may have restarted, and passed starts before.
            limit //= 2
        return max(
            now,
            self._find_expiry(limit, WINDOW_S, queued, now),
            self._find_expiry(half, HALF_WINDOW_S, queued, now),
        )

    def _find_expiry(
        self, limit: int, period: float, queued: int, now: float
    ) -> float:
        """Returns when the period will contain fewer starts than the limit."""
        index = len(self._taken) - limit + queued
        if index < 0:
            return now
        if index >= len(self._taken):
            return now + period
        return self._taken[index] + period

    def _forget(self, now: float) -> None:
        """Removes times that no longer matter."""
        while self._taken and now - self._taken[0] >= WINDOW_S:
            self._taken.popleft()
        while self._promised and self._promised[0] <= now:
            self._promised.popleft()
