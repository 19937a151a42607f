"""Order and limits of the starts of one balancer, by pool."""

import math
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Collection
from typing import Any

from jujuberun.flowtable import FlowEntry
from jujuberun.ids import PoolId, Urgency
from jujuberun.overload.credit import OfferCredit
from jujuberun.overload.demand import PoolDemand
from jujuberun.overload.limits import (
    TargetLimits,
    compute_late_limit,
    compute_queue_limit,
)
from jujuberun.overload.ranking import (
    Prospect,
    Slack,
    assess,
    compute_loss,
    compute_slack,
    compute_value_density,
    estimate_wait,
)
from jujuberun.overload.terms import LATE_VALUE, TermsTable
from jujuberun.overload.work import Work, WorkTable
from jujuberun.target_state import TargetState

# Placements of this period give the rate from which waits are estimated.
RATE_PERIOD_S = 1.0
# With fewer placements in the period, no wait is estimated.
MIN_PLACEMENTS = 5
# After this many placements, the next round begins with the start that has
# waited longest, so that the least valuable work is delayed but never starved.
# Two of a hundred slots are what the goal for the most urgent class leaves.
FAIR_PLACEMENTS = 50
# A balancer counts at least this part of the work that arrives as its share of
# the capacity; the rest is refused in a flood of 1.6 times the capacity.
MIN_PLACED_PART = 0.6
# A start that has waited for this time may queue although it is late: its
# caller soon gives up.
MAX_HOLD_S = 0.8
# A start whose turn that is may wait behind answers of this many seconds.
FAIR_WAIT_S = 0.2
# The starts of a pool are ranked by loss after this time without a start that
# states no terms, unless such a start still waits.
UNSTATED_RETENTION_S = 3.0


class PoolOrder:
    """Starts of one pool that are ranked by what their callers lose."""

    def __init__(
        self, pool: PoolId | None, terms: TermsTable, work: WorkTable
    ) -> None:
        """Builds the order of a pool.

        Args:
            pool: the pool.
            terms: terms of all services.
            work: learned work of all services.
        """
        self.demand = PoolDemand()
        self.unstated_at = -math.inf
        self.favored: bytes | None = None
        self._pool = pool
        self._terms = terms
        self._service_time = 0.0
        self._work = work
        self._credits: dict[int, OfferCredit] = {}
        self._placed: deque[tuple[float, float]] = deque()
        self._since_fair = 0
        self._ahead: dict[bytes, float] = {}
        self._losses: dict[bytes, float] = {}
        self._horizon = 0.0

    def find_work(self, entry: FlowEntry) -> Work:
        """Returns the work of a start's service, or the pool's median."""
        return self._work.find(self._pool, entry.service, self._service_time)

    def compute_slack(self, entry: FlowEntry, now: float) -> Slack:
        """Returns the time that a start may wait."""
        work = self.find_work(entry)
        return compute_slack(entry.terms, work, compute_age(entry, now))

    def record_arrival(
        self, entry: FlowEntry, service_time: float, now: float
    ) -> None:
        """Counts a start that arrived.

        Args:
            entry: the start.
            service_time: median seconds of the pool for an answer.
            now: seconds, monotonic.
        """
        self._service_time = service_time
        if entry.terms is None:
            self.unstated_at = now
            return
        work = self.find_work(entry).mean
        density = entry.terms.weight / work
        self.demand.record(entry.service, density, work, now)
        rate = self.demand.count_starts(now)
        self._find_credit(entry, now).record_arrival(rate)

    def record_placement(self, entry: FlowEntry, now: float) -> None:
        """Counts a start that a target accepted."""
        self._placed.append((now, self.find_work(entry).mean))
        self._find_credit(entry, now).record_returned()
        if self.favored == entry.key:
            self.favored, self._since_fair = None, 0
        self._since_fair += 1
        self._forget_placements(now)

    def sort(
        self, entries: Collection[FlowEntry], now: float
    ) -> list[FlowEntry]:
        """Returns starts in the order in which they are to be placed.

        Args:
            entries: the starts.
            now: seconds, monotonic.
        """
        self._horizon = self._measure_backlog(entries, now)
        self._losses = {
            entry.key: self.compute_loss(entry, self._horizon, now)
            for entry in entries
        }
        ordered = sorted(entries, key=lambda e: -self._losses[e.key])
        if ordered and self._since_fair >= FAIR_PLACEMENTS:
            oldest = min(ordered, key=lambda entry: entry.first_seen_at)
            self.favored = oldest.key
            ordered.remove(oldest)
            ordered.insert(0, oldest)
        self._ahead = {}
        ahead = 0.0
        for entry in ordered:
            self._ahead[entry.key] = ahead
            ahead += self.find_work(entry).mean
        return ordered

    def has_precedence(
        self,
        entries: Collection[FlowEntry],
        entry: FlowEntry,
        now: float,
    ) -> bool:
        """Returns whether one of the starts is to be placed before another.

        Args:
            entries: starts that wait.
            entry: the other start.
            now: seconds, monotonic.
        """
        # The losses of the last round, at most 15 ms ago; those of all starts
        # that wait, for each start that arrives, would cost more than it.
        loss = self.compute_loss(entry, self._horizon, now)
        return any(self._losses.get(e.key, 0.0) > loss for e in entries)

    def compute_loss(
        self, entry: FlowEntry, horizon: float, now: float
    ) -> float:
        """Returns the value lost if a start waits, per second of its work."""
        terms, work = entry.terms, self.find_work(entry)
        slack = compute_slack(terms, work, compute_age(entry, now))
        return compute_loss(terms, work, slack, horizon)

    def assess(self, entry: FlowEntry, now: float) -> Prospect:
        """Returns what a start is worth when those before it are placed."""
        slack = self.compute_slack(entry, now)
        self._forget_placements(now)
        if len(self._placed) < MIN_PLACEMENTS or entry.key == self.favored:
            return assess(slack, 0.0)
        work = self.find_work(entry)
        density = compute_value_density(entry.terms, work, slack)
        above = self.demand.measure_above(density, now)
        rate = sum(seconds for _, seconds in self._placed) / RATE_PERIOD_S
        # Every balancer places at least its share of the oldest starts.
        above = min(above, rate * (1 - 1 / FAIR_PLACEMENTS))
        ahead = self._ahead.get(entry.key, 0.0)
        return assess(slack, estimate_wait(ahead, rate, above))

    def compute_limit(
        self, entry: FlowEntry, state: TargetState, now: float
    ) -> int:
        """Returns the busy flows below which a target takes a start.

        Args:
            entry: the start.
            state: the target, as the balancer knows it.
            now: seconds, monotonic.
        """
        service_time = state.service_time or self._service_time
        target = TargetLimits(state.slots, service_time)
        slack = self.compute_slack(entry, now)
        if entry.key == self.favored:
            wait = max(slack.in_time, min(slack.useful, FAIR_WAIT_S))
            return compute_queue_limit(target, wait, 0, True, 0.0)
        share = self._measure_share_above(entry, now)
        if slack.in_time < 0:
            is_overdue = now - entry.first_seen_at > MAX_HOLD_S
            return compute_late_limit(target, share, is_overdue)
        level = self.find_level(entry, now)
        is_highest = level == len(self._terms.list_weights(self._pool)) - 1
        return compute_queue_limit(
            target, slack.in_time, level, is_highest, share
        )

    def _measure_share_above(self, entry: FlowEntry, now: float) -> float:
        """Returns the part of the capacity that more valuable starts ask for.

        Balancers get alike shares of the starts, so they find about the same.
        One that placed little lately must not conclude that the pool is full
        of more valuable work, and then place even less.
        """
        work, slack = self.find_work(entry), self.compute_slack(entry, now)
        density = compute_value_density(entry.terms, work, slack)
        above = self.demand.measure_above(density, now)
        self._forget_placements(now)
        rate = sum(seconds for _, seconds in self._placed) / RATE_PERIOD_S
        arriving = self.demand.measure_above(0.0, now)
        rate = max(rate, MIN_PLACED_PART * arriving)
        return above / rate if rate else 0.0

    def allows_offer(self, entry: FlowEntry, now: float) -> bool:
        """Returns whether a target may be asked to take a start now."""
        return self._find_credit(entry, now).allows_offer(now)

    def prefers_queue(self, entry: FlowEntry, now: float) -> bool:
        """Returns whether a start takes a place in a queue at once.

        After a decline, the balancer's view of free slots is out of date. A
        place in a queue costs less time than another decline.
        """
        return bool(
            entry.decline_count
            or entry.hold_count
            or self._find_credit(entry, now).is_short
        )

    def record_offer(self, entry: FlowEntry, now: float) -> None:
        """Counts an offer of a start to a target."""
        self._find_credit(entry, now).record_offer()

    def record_unanswered(self, entry: FlowEntry, now: float) -> None:
        """Counts an offer that says nothing about the room in the pool.

        It was not confirmed in time, or its agent stops, or its target is cold.
        After a loss of power many are lost, and the starts must not wait for
        the credit to come back by itself.
        """
        self._find_credit(entry, now).record_returned()

    def explain(self, entry: FlowEntry, now: float) -> dict[str, Any]:
        """Returns the figures behind a start's order as JSON types."""
        work, slack = self.find_work(entry), self.compute_slack(entry, now)
        self._forget_placements(now)
        rate = sum(seconds for _, seconds in self._placed) / RATE_PERIOD_S
        return {
            "weight": entry.terms.weight,
            "work_ms": round(work.mean * 1000, 1),
            "in_time_ms": round(slack.in_time * 1000),
            "useful_ms": round(slack.useful * 1000),
            "ahead_ms": round(self._ahead.get(entry.key, 0.0) * 1000),
            "work_rate": round(rate, 2),
            "share_above": round(self._measure_share_above(entry, now), 2),
            "credit": round(self._find_credit(entry, now).credit, 1),
        }

    def find_level(self, entry: FlowEntry, now: float) -> int:
        """Returns how many of the pool's weights are below a start's value.

        It depends on class, kind and slack but not on the learned work, so
        that all balancers offer alike.
        """
        slack = self.compute_slack(entry, now)
        value = entry.terms.weight * (1 if slack.in_time >= 0 else LATE_VALUE)
        return bisect_left(self._terms.list_weights(self._pool), value)

    def _find_credit(self, entry: FlowEntry, now: float) -> OfferCredit:
        level = self.find_level(entry, now)
        if level not in self._credits:
            self._credits[level] = OfferCredit(updated_at=now)
        return self._credits[level]

    def _measure_backlog(
        self, entries: Collection[FlowEntry], now: float
    ) -> float:
        """Returns the seconds that the starts take at the measured rate."""
        self._forget_placements(now)
        if len(self._placed) < MIN_PLACEMENTS:
            return math.inf
        rate = sum(seconds for _, seconds in self._placed) / RATE_PERIOD_S
        waiting = sum(self.find_work(e).mean for e in entries)
        return waiting / rate

    def _forget_placements(self, now: float) -> None:
        while self._placed and now - self._placed[0][0] > RATE_PERIOD_S:
            self._placed.popleft()


class StartOrder:
    """Order of the starts of all pools, where services state their terms.

    Attributes:
        terms: what the starts of each service are worth.
        work: learned work of each service.
        waiting: number of starts that wait, by urgency class.
    """

    def __init__(self) -> None:
        self.terms = TermsTable()
        self.work = WorkTable()
        self.waiting: Counter[int] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._pools: dict[PoolId | None, PoolOrder] = {}
        # Waiting starts without terms, by pool. The time alone would not show
        # them: a process that stood still has starts of before.
        self._unstated: Counter[PoolId | None] = Counter()

    def find(self, pool: PoolId | None, now: float) -> PoolOrder | None:
        """Returns the order of a pool, None if it has none.

        The starts of a pool are ranked by loss while all of its services state
        their terms: without them a loss cannot be compared.
        """
        order = self._pools.get(pool)
        if order is None or self._unstated[pool]:
            return None
        if now - order.unstated_at < UNSTATED_RETENTION_S:
            return None
        return order

    def find_for(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> PoolOrder | None:
        """Returns the order of a pool for a start, None without terms."""
        return None if entry.terms is None else self.find(pool, now)

    def add_waiting(self, pool: PoolId | None, entry: FlowEntry) -> None:
        """Counts a start that waits from now on."""
        self.waiting[entry.urgency] += 1
        self._unstated[pool] += entry.terms is None

    def remove_waiting(self, pool: PoolId | None, entry: FlowEntry) -> None:
        """Counts a start that waits no more."""
        self.waiting[entry.urgency] -= 1
        self._unstated[pool] -= entry.terms is None

    def record_arrival(
        self,
        pool: PoolId | None,
        entry: FlowEntry,
        service_time: float,
        now: float,
    ) -> None:
        """Counts a start that arrived.

        Args:
            pool: pool that the start goes to.
            entry: the start.
            service_time: median seconds of the pool for an answer.
            now: seconds, monotonic.
        """
        order = self._pools.get(pool)
        if order is None:
            order = self._pools[pool] = PoolOrder(pool, self.terms, self.work)
        order.record_arrival(entry, service_time, now)

    def record_placement(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> None:
        """Counts a start that a target of a pool accepted."""
        is_late = entry.compute_remaining(now) < 0
        self._count(entry, "placed_late" if is_late else "placed_in_time")
        order = self.find_for(pool, entry, now)
        if order is not None:
            order.record_placement(entry, now)

    def record_refusal(self, entry: FlowEntry) -> None:
        """Counts a start that was refused."""
        self._count(entry, "refused")

    def explain(
        self, pool: PoolId | None, entry: FlowEntry, now: float
    ) -> dict[str, Any]:
        """Returns the figures behind the order of a start as JSON types."""
        order = self.find_for(pool, entry, now)
        return {} if order is None else order.explain(entry, now)

    def describe(self) -> dict[str, Any]:
        """Returns waiting starts, outcomes and learned work as JSON types."""
        return {
            "waiting": {u.name.lower(): self.waiting[u] for u in Urgency},
            "outcomes": dict(self._outcomes),
            "work": self.work.describe(),
        }

    def _count(self, entry: FlowEntry, outcome: str) -> None:
        name = Urgency(entry.urgency).name.lower()
        self._outcomes[f"{name}_{outcome}"] += 1


def compute_age(entry: FlowEntry, now: float) -> float:
    """Returns the seconds since the caller sent a start first."""
    return now - entry.first_seen_at + entry.start_delay
