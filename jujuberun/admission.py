"""Admission control at the agent: which requests run, wait or are refused.

A service's share of the target's slots is the number that it usually occupies
times a margin, and at least a minimum for its urgency class. Requests within
their service's share start first, ordered by urgency. While other services are
active, a flooding service may use only its share and the slots that the others
leave, but never the last slot, so that a flood delays only its own service.
"""

import math
import random
from typing import Any

from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.request import Admit, Decision, Queued, Reason, Refusal, Request
from jujuberun.service_queue import ServiceQueue, Slot

IDLE_SERVICE_TIMEOUT_S = 600.0
EXPIRY_CHECK_INTERVAL_S = 0.05
# After this time without a start, a service may start a request whose deadline
# seems too short, so that its mean run time is measured again.
PROBE_AFTER_S = 2.0
CLASS_QUEUE_LIMIT = 64  # waiting requests of one urgency class
FLOOD_QUEUE_TIME_S = 0.45  # longest wait in the queue of a flooding service
LEARNING_PAUSE_S = 2.0  # after a refusal; usual slots are not updated meanwhile
LIMIT_DECREASE_FACTOR = 0.7  # applied to the limit when the target sheds load
LIMIT_INCREMENT = 0.1  # slots added to the limit for each answer

# Requests with a longer estimated wait are refused on arrival.
MAX_WAITS_S = {Urgency.URGENT: 0.5, Urgency.NORMAL: 2.0, Urgency.BULK: 4.0}
FLOOD_MAX_WAIT_S = 0.3  # for requests of a flooding service
# A service beyond its share may not take the last free slot if this multiple of
# its mean run time exceeds the maximum wait of a more urgent, active service.
BLOCKING_RUNS = 2.0
# During a flood, this multiple of the other services' usual slots is reserved
# for them, because their wait grows with the occupancy of all slots.
RESERVED_FACTOR = 4.0


class Admission:
    """Assigns the slots of one target to requests.

    The user of this class calls take_next() until it returns None and
    take_refused() after each finish(), each cancel() and at least every 100 ms
    while requests wait. Every `now` is in seconds of the monotonic clock.
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        self._slots = slots
        self._rng = rng
        self._limit = float(slots)
        self._queues: dict[ServiceId, ServiceQueue] = {}
        self._running: dict[RequestId, Slot] = {}
        self._refused: list[tuple[Request, Refusal]] = []
        self._refusal_counts = dict.fromkeys(Reason, 0)
        self._virtual_time = 0.0
        self._last_update = -math.inf
        self._last_expiry_check = -math.inf
        self._last_refusal = -math.inf
        self._last_decrease = -math.inf

    @classmethod
    def from_config(cls, slots: int, rng: random.Random) -> "Admission":
        """Creates the admission control of a target.

        Args:
            slots: requests that the target runs at the same time, at least 1.
            rng: source of the jitter of retry-after times.
        """
        if slots < 1:
            raise ValueError(f"a target needs at least 1 slot, not {slots}")
        return cls(slots, rng)

    @property
    def limit(self) -> int:
        """Slots that may be used; fewer than the target's if it sheds load."""
        return int(self._limit)

    @property
    def busy(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def resize(self, slots: int) -> None:
        """Applies the number of slots, at least 1, of a new manifest."""
        self._limit = min(self._limit, float(slots))
        self._slots = slots
        for queue in self._queues.values():
            queue.slots = slots

    def admit(self, request: Request, now: float) -> Decision:
        """Starts, queues or refuses a request that has just arrived.

        Args:
            request: no request that waits or runs may have its id. A refusal
                would wrongly report such a duplicate as not run.
            now: seconds, monotonic.

        Raises:
            ValueError: a request with this id waits or runs.
        """
        self._update(now)
        queue = self._ensure_queue(request)
        if request.id in self._running or request.id in queue.requests:
            raise ValueError(f"request {request.id!r} already waits or runs")
        queue.last_arrival = now
        if request.deadline <= now:
            return self._refuse(queue, Reason.EXPIRED, now)
        starts = not queue.requests and self._can_start(queue, request, now)
        wait = 0.0 if starts else self._estimate_wait(queue, now)
        is_probe = starts and now - queue.last_start > PROBE_AFTER_S
        if now + wait + queue.run_time > request.deadline and not is_probe:
            return self._refuse(queue, Reason.DEADLINE, now)
        if starts:
            self._start(queue, request, now)
            return Admit()
        max_wait = MAX_WAITS_S[request.urgency]
        if queue.is_flooding(now):
            max_wait = FLOOD_MAX_WAIT_S
        if wait > max_wait:
            return self._refuse(queue, Reason.OVERLOADED, now)
        if not self._make_room(queue, now):
            return self._refuse(queue, Reason.QUEUE_FULL, now)
        queue.requests[request.id] = request
        queue.denied_since = min(queue.denied_since, now)
        return Queued(wait)

    def estimate_wait(self, request: Request, now: float) -> float:
        """Estimates the wait of a request that a peer asks about with Reserve.

        Args:
            request: a request that has not been admitted here.
            now: seconds, monotonic.

        Returns:
            Seconds; 0.0 if it would get a slot immediately.
        """
        self._update(now)
        queue = self._ensure_queue(request)
        if not queue.requests and self._can_start(queue, request, now):
            return 0.0
        return self._estimate_wait(queue, now)

    def take_next(self, now: float) -> Request | None:
        """Gives a waiting request a slot and returns the request, or None."""
        self._update(now)
        self._refuse_overdue(now)
        while len(self._running) < self.limit:
            queue = self._choose_queue(now)
            if queue is None:
                return None
            request = queue.requests.pop(next(iter(queue.requests)))
            if now + queue.run_time > request.deadline:
                self._refuse_queued(queue, request, now)
                continue
            self._start(queue, request, now)
            return request
        return None

    def take_refused(self, now: float) -> list[tuple[Request, Refusal]]:
        """Returns the queued requests that were refused since the last call."""
        self._update(now)
        self._refuse_overdue(now)
        refused, self._refused = self._refused, []
        return refused

    def finish(
        self, request: Request, now: float, outcome: Outcome, shed: bool = False
    ) -> None:
        """Frees the slot of a request.

        Args:
            request: a request that got a slot.
            now: seconds, monotonic.
            outcome: result of the request.
            shed: whether the target refused it to shed load.

        Raises:
            ValueError: the request holds no slot.
        """
        self._update(now)
        slot = self._running.pop(request.id, None)
        if slot is None:
            raise ValueError(f"request {request.id!r} holds no slot")
        queue = self._queues[request.service]
        queue.busy -= 1
        run_time_s = now - slot.started
        queue.charge(run_time_s - slot.charged, slot.within_share)
        if shed:
            self._decrease_limit(queue, now)
            return
        if outcome is Outcome.ANSWERED:
            queue.record_run(run_time_s)
            self._limit = min(float(self._slots), self._limit + LIMIT_INCREMENT)

    def cancel(self, request: Request, now: float) -> bool:
        """Removes a waiting request.

        Args:
            request: the request whose caller has left.
            now: seconds, monotonic.

        Returns:
            True if it was waiting and has been removed; it did not run. If it
            holds a slot instead, stop it and then call finish().
        """
        self._update(now)
        queue = self._queues.get(request.service)
        return (
            queue is not None
            and queue.requests.pop(request.id, None) is not None
        )

    def describe(self, now: float) -> dict[str, Any]:
        """Returns slots, limit, counts and services for state dumps."""
        self._update(now)
        services = {q.service: q.describe() for q in self._queues.values()}
        return {
            "slots": self._slots,
            "limit": self.limit,
            "busy": self.busy,
            "queued": self.queued,
            "refused": {r.value: n for r, n in self._refusal_counts.items()},
            "services": services,
        }

    def _ensure_queue(self, request: Request) -> ServiceQueue:
        queue = self._queues.get(request.service)
        if queue is None:
            queue = ServiceQueue(request.service, request.urgency, self._slots)
            queue.virtual_time = self._virtual_time
            self._queues[request.service] = queue
        queue.urgency = request.urgency
        return queue

    def _update(self, now: float) -> None:
        elapsed = now - self._last_update
        if elapsed <= 0.0:
            return
        self._last_update = now
        if elapsed == math.inf:
            return
        is_usual = now - self._last_refusal > LEARNING_PAUSE_S
        for queue in self._queues.values():
            queue.advance(elapsed, is_usual, self._find_spare_slots(queue, now))

    def _refuse_overdue(self, now: float) -> None:
        # Refuses queued requests that are too late and forgets idle services.
        if now - self._last_expiry_check < EXPIRY_CHECK_INTERVAL_S:
            return
        self._last_expiry_check = now
        for queue in list(self._queues.values()):
            run_end = now + queue.run_time
            min_arrival = -math.inf
            if queue.is_flooding(now):
                min_arrival = now - FLOOD_QUEUE_TIME_S
            overdue = [
                request
                for request in queue.requests.values()
                if request.deadline < run_end or request.arrived < min_arrival
            ]
            for request in overdue:
                del queue.requests[request.id]
                self._refuse_queued(queue, request, now)
            idle = not queue.requests and not queue.busy
            if idle and now - queue.last_arrival > IDLE_SERVICE_TIMEOUT_S:
                del self._queues[queue.service]

    def _choose_queue(self, now: float) -> ServiceQueue | None:
        waiting = [q for q in self._queues.values() if q.requests]
        if not waiting:
            return None
        starved = [q for q in waiting if q.is_starved(now)]
        if starved:
            return min(starved, key=lambda q: q.denied_since)
        waiting = [q for q in waiting if self._is_eligible(q, now)]
        within_share = [q for q in waiting if q.credit > 0.0]
        if within_share:
            return min(within_share, key=lambda q: q.compute_rank(now))
        if self.limit - len(self._running) == 1 and self.limit > 1:
            waiting = [q for q in waiting if not self._delays_urgent(q, now)]
        return min(waiting, key=lambda q: q.virtual_time, default=None)

    def _delays_urgent(self, queue: ServiceQueue, now: float) -> bool:
        """Returns whether a run may delay more urgent requests too long."""
        return any(
            other.urgency < queue.urgency
            and not other.is_flooding(now)
            and BLOCKING_RUNS * queue.run_time > MAX_WAITS_S[other.urgency]
            for other in self._list_active(queue, now)
        )

    def _list_active(
        self, queue: ServiceQueue, now: float
    ) -> list[ServiceQueue]:
        return [
            other
            for other in self._queues.values()
            if other is not queue and other.is_active(now)
        ]

    def _find_spare_slots(self, queue: ServiceQueue, now: float) -> float:
        """Returns the slots that a service may use beyond its share."""
        others_usual = sum(o.usual_slots for o in self._list_active(queue, now))
        left = self.limit - RESERVED_FACTOR * others_usual - queue.share
        return max(0.0, left)

    def _is_eligible(self, queue: ServiceQueue, now: float) -> bool:
        """Returns whether the limits on floods let the service use a slot."""
        if not queue.is_flooding(now) or not self._list_active(queue, now):
            return True
        if self.limit > 1 and queue.busy >= self.limit - 1:
            return False
        return queue.credit > 0.0 or queue.spare > 0.0

    def _can_start(
        self, queue: ServiceQueue, request: Request, now: float
    ) -> bool:
        if len(self._running) >= self.limit:
            return False
        queue.requests[request.id] = request
        chosen = self._choose_queue(now)
        del queue.requests[request.id]
        return chosen is queue

    def _start(self, queue: ServiceQueue, request: Request, now: float) -> None:
        queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        self._virtual_time = queue.virtual_time
        within_share = queue.credit > 0.0
        queue.charge(queue.run_time, within_share)
        queue.busy += 1
        queue.recent_starts += 1.0
        queue.last_start = now
        queue.denied_since = math.inf
        self._running[request.id] = Slot(now, queue.run_time, within_share)

    def _estimate_wait(self, queue: ServiceQueue, now: float) -> float:
        """Estimates the wait of a request that would join the queue now."""
        if queue.is_starved(now) and not queue.requests:
            return queue.run_time / self.limit
        own_work = (len(queue.requests) + 1) * queue.run_time
        if queue.is_flooding(now) and self._list_active(queue, now):
            flood_slots = queue.share + self._find_spare_slots(queue, now)
            flood_wait = (own_work - queue.credit - queue.spare) / flood_slots
            return max(flood_wait, own_work / max(1, self.limit - 1))
        has_credit = queue.credit > 0.0
        work_ahead = sum(
            len(other.requests) * other.run_time
            for other in self._queues.values()
            if other is not queue
            and self._is_eligible(other, now)
            and (not has_credit or other.credit > 0.0)
            and (not has_credit or other.urgency <= queue.urgency)
        )
        return (work_ahead + own_work) / self.limit

    def _make_room(self, queue: ServiceQueue, now: float) -> bool:
        group = [o for o in self._queues.values() if o.urgency == queue.urgency]
        if sum(len(other.requests) for other in group) < CLASS_QUEUE_LIMIT:
            return True
        longest = max(group, key=lambda other: len(other.requests))
        if len(longest.requests) <= len(queue.requests) + 1:
            return False
        _, evicted = longest.requests.popitem()
        refusal = self._refuse(longest, Reason.QUEUE_FULL, now)
        self._refused.append((evicted, refusal))
        return True

    def _refuse_queued(
        self, queue: ServiceQueue, request: Request, now: float
    ) -> None:
        reason = Reason.OVERLOADED
        if request.deadline < now + queue.run_time:
            reason = Reason.DEADLINE
        if request.deadline <= now:
            reason = Reason.EXPIRED
        self._refused.append((request, self._refuse(queue, reason, now)))

    def _refuse(
        self, queue: ServiceQueue, reason: Reason, now: float
    ) -> Refusal:
        self._refusal_counts[reason] += 1
        queue.recent_refusals += 1.0
        if reason is not Reason.EXPIRED:
            self._last_refusal = now
            queue.last_refusal = now
            queue.denied_since = min(queue.denied_since, now)
        jitter = self._rng.uniform(0.5, 1.5)
        return Refusal(reason, queue.compute_retry_after() * jitter)

    def _decrease_limit(self, queue: ServiceQueue, now: float) -> None:
        # Requests of one batch are shed together: decrease once per run time.
        if now - self._last_decrease >= queue.run_time:
            self._last_decrease = now
            self._limit = max(1.0, self._limit * LIMIT_DECREASE_FACTOR)
