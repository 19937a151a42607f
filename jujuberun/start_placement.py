"""Chooses the target to which a start is offered next, and on what terms."""

from dataclasses import dataclass
from enum import Enum

from jujuberun.flowtable import FlowEntry
from jujuberun.frames import NO_BUSY_LIMIT
from jujuberun.overload.order import MAX_HOLD_S, PoolOrder, StartOrder
from jujuberun.steering import Steering
from jujuberun.target_state import TargetState, choose_pool
from jujuberun.warmup.cold_targets import ColdTargets

# A start is offered for a free slot until it was declined this many times, then
# for a place in a short queue until it was declined this many more times.
MAX_FREE_SLOT_TRIES = 3
MAX_QUEUE_TRIES = 2
# A start that has waited for MAX_HOLD_S may queue behind one answer of each
# slot, although it is late.
LATE_QUEUE_PER_SLOT = 1


class NoPlace(Enum):
    """Why a start is not offered now.

    Attributes:
        NO_ROOM: all targets are busy; one may have room later.
        NO_TARGET: no target is left that has not been tried.
    """

    NO_ROOM = "no room"
    NO_TARGET = "no target"


@dataclass(frozen=True, slots=True)
class Place:
    """A target to which a start is offered.

    Attributes:
        target: the target.
        busy_limit: busy flows at the target below which its agent accepts.
    """

    target: TargetState
    busy_limit: int


def find_place(
    entry: FlowEntry,
    steering: Steering,
    cold: ColdTargets,
    order: StartOrder,
    now: float,
) -> Place | NoPlace:
    """Returns the place that a start is offered next.

    Prefers a target with a free slot. Without one, a start that can still be
    answered in time may queue. A target that is known to be too busy gets no
    offer, so that a flood of starts does not become a flood of offers. Nor does
    a cold target without capacity, for which the start waits.

    Args:
        entry: flow of the start.
        steering: knows the targets and their load.
        cold: limits the starts at cold targets.
        order: limits the queue of a target where services state their terms.
        now: seconds, monotonic.
    """
    pool = choose_pool(entry.pools, entry.key)
    ranked = order.find_for(pool, entry, now)
    if ranked is not None and not ranked.allows_offer(entry, now):
        return NoPlace.NO_ROOM
    tried = entry.bounced_by.union(offer.target for offer in entry.offers)
    pools, key = entry.pools, entry.key
    unusable = tried | cold.list_full(pools, now)
    target = steering.choose(pools, key, unusable | entry.declined, now)
    prefers_queue = ranked is not None and ranked.prefers_queue(entry, now)
    if target is None:
        target = steering.choose(pools, key, unusable, now) or steering.choose(
            pools, key, unusable, now, include_suspected=True
        )
    elif entry.decline_count < MAX_FREE_SLOT_TRIES and not prefers_queue:
        slots = _count_open_slots(entry, target, ranked, now)
        if steering.estimate_load(target, now) < slots:
            return Place(target, min(slots, NO_BUSY_LIMIT - 1))
    if target is None and unusable != tried:
        waits = steering.choose(pools, key, tried, now, include_suspected=True)
        return NoPlace.NO_TARGET if waits is None else NoPlace.NO_ROOM
    if target is None:
        return NoPlace.NO_TARGET
    limit = _compute_limit(entry, target, steering, ranked, now)
    if steering.estimate_load(target, now) >= limit:
        return NoPlace.NO_ROOM
    if limit <= target.slots and ranked is None:
        return NoPlace.NO_ROOM
    if entry.decline_count >= MAX_FREE_SLOT_TRIES + MAX_QUEUE_TRIES:
        return NoPlace.NO_ROOM
    return Place(target, min(limit, NO_BUSY_LIMIT - 1))


def _compute_limit(
    entry: FlowEntry,
    target: TargetState,
    steering: Steering,
    ranked: PoolOrder | None,
    now: float,
) -> int:
    """Returns the busy flows below which a target takes a start."""
    if ranked is not None:
        return ranked.compute_limit(entry, target, now)
    limit = steering.compute_busy_limit(target, entry.compute_remaining(now))
    if now - entry.first_seen_at > MAX_HOLD_S:
        limit = max(limit, target.slots * (1 + LATE_QUEUE_PER_SLOT))
    return limit


def _count_open_slots(
    entry: FlowEntry,
    target: TargetState,
    ranked: PoolOrder | None,
    now: float,
) -> int:
    """Returns how many slots of a target are open to a start."""
    if ranked is None:
        return target.slots
    return min(target.slots, ranked.compute_limit(entry, target, now))


def has_other_target(entry: FlowEntry, steering: Steering, now: float) -> bool:
    """Returns whether a target remains to which a start can be offered.

    Args:
        entry: flow of the start.
        steering: knows the targets.
        now: seconds, monotonic.
    """
    tried = (offer.target for offer in entry.offers)
    excluded = entry.bounced_by.union(entry.declined, tried)
    return steering.choose(entry.pools, entry.key, excluded, now) is not None


def explain_no_target(entry: FlowEntry, steering: Steering) -> str:
    """Returns why no target is left for a start, as a text for the log.

    Args:
        entry: flow of the start.
        steering: knows the targets.
    """
    if steering.is_drained(choose_pool(entry.pools, entry.key)):
        return "all targets of its pool are in drained failure domains"
    return "every target returned it"
