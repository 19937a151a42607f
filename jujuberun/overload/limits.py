"""Busy limit of a start's mark, by what its caller loses if it is declined.

Answers a load above the capacity of a pool: each target's queue is open to
the less valuable starts only as far as its slots need it, so that a more
valuable start finds room at once, whichever balancer it reaches. The agent
compares the limit with its load, and needs no message for it.
"""

import math
from dataclasses import dataclass

# Places in the queue of a target that are open to all starts in time, for each
# slot, so that no slot is unused until a balancer offers the next one.
BASE_PER_SLOT = 1
# If more valuable starts ask for more than this part of the capacity, one slot
# of each target is kept for them. Single balancers measure the part with an
# error of about a fifth. In the replay, 0.5 refused starts in time for which
# there was room (urgent work at 0.6 of the capacity), and 0.9 left too few
# places to urgent starts in a flood of their class.
RESERVE_SHARE = 0.7
# Places in the queue of a target that one kind of starts has more than the next
# less valuable one, for each slot. A quarter is one place of a target with up
# to six slots: the starts of the more valuable kind that arrive while one
# answer is in progress.
STEP_PER_SLOT = 0.25
# Part of the remaining time that a start may wait in a target's queue. The rest
# is kept in reserve, because targets differ in speed.
MAX_QUEUE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class TargetLimits:
    """What the busy limit of a target depends on.

    Attributes:
        slots: requests that it runs at the same time.
        service_time: seconds that it needs for an answer.
    """

    slots: int
    service_time: float

    @property
    def step(self) -> int:
        """Places that one kind of starts has more than the next lower one."""
        return max(1, round(self.slots * STEP_PER_SLOT))


def compute_queue_limit(
    target: TargetLimits,
    slack: float,
    level: int,
    is_highest: bool,
    share_above: float,
) -> int:
    """Returns the busy flows below which a target takes a start in time.

    The queue must let the start be answered in time. Starts that are not the
    most valuable of their pool get a part of it, the less of it the more of
    the capacity more valuable starts ask for.

    Args:
        target: the target.
        slack: seconds that the start may wait and still be in time.
        level: number of less valuable kinds of starts in the pool.
        is_highest: whether the pool has no more valuable kind.
        share_above: part of the capacity that more valuable starts ask for.
    """
    wait = MAX_QUEUE_SHARE * max(0.0, slack)
    places = int(target.slots * wait / target.service_time)
    if not is_highest:
        open_places = target.slots * BASE_PER_SLOT + target.step * level
        open_share = 1 - min(1.0, share_above)
        places = min(places, math.ceil(open_places * open_share))
        if share_above > RESERVE_SHARE and target.slots > 1:
            return target.slots - 1
    return target.slots + places


def compute_late_limit(
    target: TargetLimits, share_above: float, is_overdue: bool
) -> int:
    """Returns the busy flows below which a target takes a late start.

    Args:
        target: the target.
        share_above: part of the capacity that starts ask for of which an
            answer is worth more.
        is_overdue: whether the caller gives up the start soon. Before, a late
            start takes a free slot only, so that it delays none in time.
    """
    if share_above > RESERVE_SHARE and target.slots > 1:
        return target.slots - 1
    if not is_overdue:
        return target.slots
    open_share = 1 - min(1.0, share_above)
    return target.slots + math.ceil(target.slots * BASE_PER_SLOT * open_share)
