"""Admission at the agent: which request runs, waits or is refused.

Each service has a share of the target's slots: a little more than it usually
occupies, and at least a floor by its urgency class. Work within the share of
its service goes first, the most urgent before the rest. A service that floods
is held to its share and to what the others leave, and never takes the last
slot while others are active. A flood therefore displaces itself and not other
services.
"""

import math
import random
from typing import Any

from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.lane import Lane, Slot
from jujuberun.request import Queue, Reason, Refuse, Request, Run, Verdict

FORGET_S = 600.0  # an idle service is forgotten after this time
SWEEP_S = 0.05  # interval between searches for expired work
PROBE_S = 2.0  # a service without a start for so long may test its run time
QUEUE_LIMIT = 64  # requests of one class
FLOOD_DROP_S = 0.45  # queued work of a flood is refused after this time
OVERLOAD_S = 2.0  # shares are not learned this long after a refusal
SHED_FACTOR = 0.7  # cut of the limit when the target sheds load
RAISE_STEP = 0.1  # raise of the limit at each answer, in slots

# Work that would wait longer is refused on arrival, seconds.
MAX_WAITS_S = {Urgency.URGENT: 0.5, Urgency.NORMAL: 2.0, Urgency.BULK: 4.0}
FLOOD_WAIT_S = 0.3  # the same for a service that floods
# A service beyond its share does not take the last slot when so many of its
# mean run times exceed what an active, more urgent service may wait.
BLOCKING_RUNS = 2.0
# While a service floods, slots kept for the others as a multiple of what they
# usually occupy; their wait grows with the occupancy of all slots.
SPARE_FACTOR = 4.0


class Admission:
    """Hands the slots of one target to requests.

    The caller calls take_next() until it returns None and take_refused()
    after each finish(), each cancel() and at least every 100 ms while
    requests wait.
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        self._slots = slots
        self._rng = rng
        self._limit = float(slots)
        self._lanes: dict[ServiceId, Lane] = {}
        self._running: dict[RequestId, Slot] = {}
        self._refused: list[tuple[Request, Refuse]] = []
        self._counts = dict.fromkeys(Reason, 0)
        self._virtual = 0.0
        self._updated = -math.inf
        self._swept = -math.inf
        self._refused_at = -math.inf
        self._cut_at = -math.inf

    @classmethod
    def from_config(cls, slots: int, rng: random.Random) -> "Admission":
        """Builds the admission of a target.

        Args:
            slots: requests that the target runs at the same time, at least 1.
            rng: spreads the retry-after times.
        """
        if slots < 1:
            raise ValueError(f"a target needs at least 1 slot, not {slots}")
        return cls(slots, rng)

    @property
    def limit(self) -> int:
        """Slots in use at most; below the target's while it sheds load."""
        return int(self._limit)

    @property
    def busy(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(len(lane.queue) for lane in self._lanes.values())

    def resize(self, slots: int) -> None:
        """Takes another number of slots, at least 1, from a new manifest."""
        self._limit = min(self._limit, float(slots))
        self._slots = slots
        for lane in self._lanes.values():
            lane.slots = slots

    def admit(self, request: Request, now: float) -> Verdict:
        """Decides on a request that has just arrived.

        Args:
            request: its id must be unknown here; duplicates are the caller's
                matter, because to call one "not run" would be untrue.
            now: seconds, monotonic.

        Raises:
            ValueError: a request of this id waits or runs.
        """
        self._update(now)
        lane = self._find_lane(request)
        if request.id in self._running or request.id in lane.queue:
            raise ValueError(f"request {request.id!r} is already known")
        lane.last_arrival = now
        if request.deadline <= now:
            return self._refuse(lane, Reason.EXPIRED, now)
        starts_now = not lane.queue and self._starts_now(lane, request, now)
        wait = 0.0 if starts_now else self._estimate_wait(lane, now)
        probes = starts_now and now - lane.last_start > PROBE_S
        if now + wait + lane.run_time > request.deadline and not probes:
            return self._refuse(lane, Reason.DEADLINE, now)
        if starts_now:
            self._start(lane, request, now)
            return Run()
        longest = MAX_WAITS_S[request.urgency]
        if lane.is_flooding(now):
            longest = FLOOD_WAIT_S
        if wait > longest:
            return self._refuse(lane, Reason.OVERLOADED, now)
        if not self._make_room(lane, now):
            return self._refuse(lane, Reason.QUEUE_FULL, now)
        lane.queue[request.id] = request
        lane.denied_at = min(lane.denied_at, now)
        return Queue(wait)

    def estimate_wait(self, request: Request, now: float) -> float:
        """Estimates how long a request would wait here, for Reserve.

        Args:
            request: a request that has not been admitted here.
            now: seconds, monotonic.

        Returns:
            Seconds; 0.0 if it would get a slot at once.
        """
        self._update(now)
        lane = self._find_lane(request)
        if not lane.queue and self._starts_now(lane, request, now):
            return 0.0
        return self._estimate_wait(lane, now)

    def take_next(self, now: float) -> Request | None:
        """Returns the request that gets a free slot, or None.

        Args:
            now: seconds, monotonic.
        """
        self._update(now)
        self._sweep(now)
        while len(self._running) < self.limit:
            lane = self._choose_lane(now)
            if lane is None:
                return None
            request = lane.queue.pop(next(iter(lane.queue)))
            if now + lane.run_time > request.deadline:
                self._refuse_queued(lane, request, now)
                continue
            self._start(lane, request, now)
            return request
        return None

    def take_refused(self, now: float) -> list[tuple[Request, Refuse]]:
        """Returns the requests refused after they were queued, once each.

        Args:
            now: seconds, monotonic.
        """
        self._update(now)
        self._sweep(now)
        refused, self._refused = self._refused, []
        return refused

    def finish(
        self, request: Request, now: float, outcome: Outcome, shed: bool = False
    ) -> None:
        """Frees the slot of a request.

        Args:
            request: a request that got a slot.
            now: seconds, monotonic.
            outcome: how it ended.
            shed: whether the target refused it to shed load.

        Raises:
            ValueError: the request holds no slot.
        """
        self._update(now)
        entry = self._running.pop(request.id, None)
        if entry is None:
            raise ValueError(f"request {request.id!r} holds no slot")
        lane = self._lanes[request.service]
        lane.busy -= 1
        took = now - entry.started
        lane.charge(took - entry.charged, entry.within)
        if shed:
            self._cut_limit(lane, now)
            return
        if outcome is Outcome.ANSWERED:
            lane.record_run(took)
            self._limit = min(float(self._slots), self._limit + RAISE_STEP)

    def cancel(self, request: Request, now: float) -> bool:
        """Removes a request that waits.

        Args:
            request: the request whose caller has gone.
            now: seconds, monotonic.

        Returns:
            Whether it was removed and thus surely did not run. False when it
            holds a slot: then the caller stops it and calls finish().
        """
        self._update(now)
        lane = self._lanes.get(request.service)
        return lane is not None and lane.queue.pop(request.id, None) is not None

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state for dumps: slots, limit, counts and services."""
        self._update(now)
        services = {
            lane.service: lane.describe() for lane in self._lanes.values()
        }
        return {
            "slots": self._slots,
            "limit": self.limit,
            "busy": self.busy,
            "queued": self.queued,
            "refused": {r.value: n for r, n in self._counts.items()},
            "services": services,
        }

    def _find_lane(self, request: Request) -> Lane:
        lane = self._lanes.get(request.service)
        if lane is None:
            lane = Lane(request.service, request.urgency, self._slots)
            lane.served = self._virtual
            self._lanes[request.service] = lane
        lane.urgency = request.urgency
        return lane

    def _update(self, now: float) -> None:
        passed = now - self._updated
        if passed <= 0.0:
            return
        self._updated = now
        if passed == math.inf:
            return
        learns = now - self._refused_at > OVERLOAD_S
        for lane in self._lanes.values():
            lane.advance(passed, learns, self._find_spare(lane, now))

    def _sweep(self, now: float) -> None:
        if now - self._swept < SWEEP_S:
            return
        self._swept = now
        for lane in list(self._lanes.values()):
            latest = now + lane.run_time
            oldest = -math.inf
            if lane.is_flooding(now):
                oldest = now - FLOOD_DROP_S
            late = [
                request
                for request in lane.queue.values()
                if request.deadline < latest or request.arrived < oldest
            ]
            for request in late:
                del lane.queue[request.id]
                self._refuse_queued(lane, request, now)
            idle = not lane.queue and not lane.busy
            if idle and now - lane.last_arrival > FORGET_S:
                del self._lanes[lane.service]

    def _choose_lane(self, now: float) -> Lane | None:
        waiting = [lane for lane in self._lanes.values() if lane.queue]
        if not waiting:
            return None
        starved = [lane for lane in waiting if lane.is_starved(now)]
        if starved:
            return min(starved, key=lambda lane: lane.denied_at)
        waiting = [lane for lane in waiting if self._may_start(lane, now)]
        within = [lane for lane in waiting if lane.credit > 0.0]
        if within:
            return min(within, key=lambda lane: lane.rank(now))
        if self.limit - len(self._running) == 1 and self.limit > 1:
            waiting = [lane for lane in waiting if not self._blocks(lane, now)]
        return min(waiting, key=lambda lane: lane.served, default=None)

    def _blocks(self, lane: Lane, now: float) -> bool:
        """Returns whether a run would keep more urgent work waiting long."""
        return any(
            other.urgency < lane.urgency
            and not other.is_flooding(now)
            and BLOCKING_RUNS * lane.run_time > MAX_WAITS_S[other.urgency]
            for other in self._list_active(lane, now)
        )

    def _list_active(self, lane: Lane, now: float) -> list[Lane]:
        return [
            other
            for other in self._lanes.values()
            if other is not lane and other.is_active(now)
        ]

    def _find_spare(self, lane: Lane, now: float) -> float:
        """Returns the slots that a flood may use beyond its share."""
        taken = sum(o.usual for o in self._list_active(lane, now))
        left = self.limit - SPARE_FACTOR * taken - lane.share
        return max(0.0, left)

    def _may_start(self, lane: Lane, now: float) -> bool:
        """Holds a flood to its share, what is spare, and all slots but one."""
        if not lane.is_flooding(now) or not self._list_active(lane, now):
            return True
        if self.limit > 1 and lane.busy >= self.limit - 1:
            return False
        return lane.credit > 0.0 or lane.spare > 0.0

    def _starts_now(self, lane: Lane, request: Request, now: float) -> bool:
        if len(self._running) >= self.limit:
            return False
        lane.queue[request.id] = request
        chosen = self._choose_lane(now)
        del lane.queue[request.id]
        return chosen is lane

    def _start(self, lane: Lane, request: Request, now: float) -> None:
        lane.served = max(lane.served, self._virtual)
        self._virtual = lane.served
        within = lane.credit > 0.0
        lane.charge(lane.run_time, within)
        lane.busy += 1
        lane.starts += 1.0
        lane.last_start = now
        lane.denied_at = math.inf
        self._running[request.id] = Slot(now, lane.run_time, within)

    def _estimate_wait(self, lane: Lane, now: float) -> float:
        """Estimates the wait of a request that now joins the lane's queue."""
        if lane.is_starved(now) and not lane.queue:
            return lane.run_time / self.limit
        own = (len(lane.queue) + 1) * lane.run_time
        if lane.is_flooding(now) and self._list_active(lane, now):
            pace = lane.share + self._find_spare(lane, now)
            paced = (own - lane.credit - lane.spare) / pace
            return max(paced, own / max(1, self.limit - 1))
        first = lane.credit > 0.0
        ahead = sum(
            len(other.queue) * other.run_time
            for other in self._lanes.values()
            if other is not lane
            and self._may_start(other, now)
            and (not first or other.credit > 0.0)
            and (not first or other.urgency <= lane.urgency)
        )
        return (ahead + own) / self.limit

    def _make_room(self, lane: Lane, now: float) -> bool:
        peers = [o for o in self._lanes.values() if o.urgency == lane.urgency]
        if sum(len(peer.queue) for peer in peers) < QUEUE_LIMIT:
            return True
        longest = max(peers, key=lambda peer: len(peer.queue))
        if len(longest.queue) <= len(lane.queue) + 1:
            return False
        _, pushed = longest.queue.popitem()
        refusal = self._refuse(longest, Reason.QUEUE_FULL, now)
        self._refused.append((pushed, refusal))
        return True

    def _refuse_queued(self, lane: Lane, request: Request, now: float) -> None:
        reason = Reason.OVERLOADED
        if request.deadline < now + lane.run_time:
            reason = Reason.DEADLINE
        if request.deadline <= now:
            reason = Reason.EXPIRED
        self._refused.append((request, self._refuse(lane, reason, now)))

    def _refuse(self, lane: Lane, reason: Reason, now: float) -> Refuse:
        self._counts[reason] += 1
        lane.refusals += 1.0
        if reason is not Reason.EXPIRED:
            self._refused_at = now
            lane.refused_at = now
            lane.denied_at = min(lane.denied_at, now)
        spread = self._rng.uniform(0.5, 1.5)
        return Refuse(reason, lane.compute_retry_after() * spread)

    def _cut_limit(self, lane: Lane, now: float) -> None:
        # One cut for each run time: requests started together shed together.
        if now - self._cut_at >= lane.run_time:
            self._cut_at = now
            self._limit = max(1.0, self._limit * SHED_FACTOR)
