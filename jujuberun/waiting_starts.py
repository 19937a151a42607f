"""Starts that wait at a balancer until a target of their pool has room.

The decisions answer two loads: a flood, in which most starts cannot be served
in time, and a restart, after which all callers return at once.
"""

from collections import deque

from jujuberun.flowtable import FlowEntry
from jujuberun.ids import PoolId
from jujuberun.overload.order import StartOrder
from jujuberun.overload.ranking import Prospect
from jujuberun.overload.terms import START_LIFETIME_S

# Placements of this period give the rate from which waits are estimated.
RATE_PERIOD_S = 1.0
# With fewer placements in the period, no wait is estimated.
MIN_PLACEMENTS = 5
# Every n-th round begins with the start that has waited longest, so that the
# least urgent work is delayed but never starved.
FAIR_ROUND = 4


def rank_start(
    entry: FlowEntry, service_time: float, now: float
) -> tuple[bool, int, float]:
    """Returns the rank of a start; the lowest rank is placed first.

    Starts that can still be answered within their objective come first, in the
    order of their urgency and then of their objective. A late start never
    delays one in time. Late starts follow in the order of urgency and age.

    Args:
        entry: the start.
        service_time: seconds that a target needs for an answer.
        now: seconds, monotonic.
    """
    remaining = entry.compute_remaining(now)
    is_late = remaining < service_time
    return is_late, entry.urgency, entry.first_seen_at if is_late else remaining


class WaitingStarts:
    """Starts of one pool that wait for room."""

    def __init__(self, pool: PoolId | None, order: StartOrder) -> None:
        """Starts without any.

        Args:
            pool: the pool.
            order: order of its starts where services state their terms.
        """
        self._pool = pool
        self._order = order
        self._entries: dict[bytes, FlowEntry] = {}
        self._placed_at: deque[float] = deque()
        self._rounds = 0

    def __len__(self) -> int:
        """Returns the number of waiting starts."""
        return len(self._entries)

    def add(self, entry: FlowEntry) -> None:
        """Adds a start."""
        if not self.contains(entry):
            self._order.add_waiting(self._pool, entry)
        self._entries[entry.key] = entry

    def remove(self, entry: FlowEntry) -> None:
        """Removes a start that was placed, refused or abandoned."""
        if self.contains(entry):
            del self._entries[entry.key]
            self._order.remove_waiting(self._pool, entry)

    def contains(self, entry: FlowEntry) -> bool:
        """Returns whether a start waits."""
        return self._entries.get(entry.key) is entry

    def list_all(self) -> list[FlowEntry]:
        """Returns the starts in the order in which they came."""
        return list(self._entries.values())

    def record_placement(self, now: float) -> None:
        """Records that a target accepted a start of the pool."""
        self._placed_at.append(now)
        self._forget_placements(now)

    def list_in_order(self, service_time: float, now: float) -> list[FlowEntry]:
        """Returns the starts in the order in which they are to be placed.

        Args:
            service_time: seconds that a target needs for an answer.
            now: seconds, monotonic.
        """
        order = self._order.find(self._pool, now)
        if order is not None:
            return order.sort(self._entries.values(), now)
        ordered = sorted(
            self._entries.values(),
            key=lambda entry: rank_start(entry, service_time, now),
        )
        self._rounds += 1
        if ordered and self._rounds % FAIR_ROUND == 0:
            oldest = min(ordered, key=lambda entry: entry.first_seen_at)
            ordered.remove(oldest)
            ordered.insert(0, oldest)
        return ordered

    def has_precedence(
        self, entry: FlowEntry, service_time: float, now: float
    ) -> bool:
        """Returns whether a waiting start is to be placed before a new one."""
        order = self._order.find_for(self._pool, entry, now)
        if order is not None:
            return order.has_precedence(self._entries.values(), entry, now)
        rank = rank_start(entry, service_time, now)
        return any(
            rank_start(other, service_time, now) < rank
            for other in self._entries.values()
        )

    def find_level(self, entry: FlowEntry, now: float) -> int:
        """Returns which starts have room alike: those of one level."""
        order = self._order.find_for(self._pool, entry, now)
        return 0 if order is None else order.find_level(entry, now)

    def compute_time_left(self, entry: FlowEntry, now: float) -> float:
        """Returns the seconds until a start has lost its value."""
        order = self._order.find_for(self._pool, entry, now)
        if order is not None:
            return order.compute_slack(entry, now).useful
        return START_LIFETIME_S - (now - entry.first_seen_at)

    def has_no_prospect(
        self, entry: FlowEntry, position: int, now: float
    ) -> bool:
        """Returns whether a start loses its value before it is placed.

        Args:
            entry: the start.
            position: number of starts that are placed before this one.
            now: seconds, monotonic.
        """
        order = self._order.find_for(self._pool, entry, now)
        if order is not None:
            return order.assess(entry, now) is Prospect.NONE
        time_left = self.compute_time_left(entry, now)
        return self.is_hopeless(position, time_left, now)

    def is_hopeless(self, position: int, time_left: float, now: float) -> bool:
        """Returns whether a start will not be placed in its time.

        Args:
            position: number of starts that are placed before this one.
            time_left: seconds until the caller gives up.
            now: seconds, monotonic.
        """
        self._forget_placements(now)
        if len(self._placed_at) < MIN_PLACEMENTS:
            return False
        wait = (position + 1) * RATE_PERIOD_S / len(self._placed_at)
        return wait > time_left

    def _forget_placements(self, now: float) -> None:
        while self._placed_at and now - self._placed_at[0] > RATE_PERIOD_S:
            self._placed_at.popleft()


class WaitingRooms:
    """The waiting starts of all pools."""

    def __init__(self, order: StartOrder) -> None:
        """Starts without any.

        Args:
            order: order of the starts where services state their terms.
        """
        self._order = order
        self._pools: dict[PoolId | None, WaitingStarts] = {}

    @property
    def has_starts(self) -> bool:
        """Whether any start waits."""
        return any(map(len, self._pools.values()))

    def add(self, pool: PoolId | None, entry: FlowEntry) -> None:
        """Adds a start that waits for a target of a pool."""
        if pool not in self._pools:
            self._pools[pool] = WaitingStarts(pool, self._order)
        self._pools[pool].add(entry)

    def contains(self, entry: FlowEntry) -> bool:
        """Returns whether a start waits."""
        return any(waiting.contains(entry) for waiting in self._pools.values())

    def list_pools(self) -> list[tuple[PoolId | None, WaitingStarts]]:
        """Returns each pool with its waiting starts."""
        return list(self._pools.items())

    def has_precedence(
        self,
        pool: PoolId | None,
        entry: FlowEntry,
        service_time: float,
        now: float,
    ) -> bool:
        """Returns whether a start of the pool is placed before a new one."""
        waiting = self._pools.get(pool)
        return waiting is not None and waiting.has_precedence(
            entry, service_time, now
        )

    def record_placement(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> None:
        """Records that a target of a pool accepted a start."""
        self._order.record_placement(pool, entry, now)
        if pool in self._pools:
            self._pools[pool].record_placement(now)

    def record_unanswered(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> None:
        """Records an offer that says nothing about the room in a pool."""
        order = self._order.find_for(pool, entry, now)
        if order is not None:
            order.record_unanswered(entry, now)

    def record_offer(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> None:
        """Records that a start was offered to a target of a pool."""
        order = self._order.find_for(pool, entry, now)
        if order is not None:
            order.record_offer(entry, now)
