"""The queue of one service at an agent, and its share of the slots."""

import math
from dataclasses import dataclass, field
from typing import Any

from jujuberun.ids import RequestId, ServiceId, Urgency
from jujuberun.request import Request

# The usual slots of a service are a mean over LEARNING_TIME_S. A new service
# starts as if it had been idle for INITIAL_LEARNING_TIME_S.
LEARNING_TIME_S = 60.0
INITIAL_LEARNING_TIME_S = 10.0
USUAL_MARGIN = 1.5  # lets a service grow by half before it is limited
MAX_CREDIT_S = 0.5  # a service may save up its unused share for this time
ACTIVE_S = 10.0  # a service counts as active for this time after a request
STARVATION_S = 4.0  # a service denied a slot for longer than this goes first
# A service counts as flooding for FLOOD_AFTER_REFUSAL_S after a refusal for
# overload, and while it has no credit and FLOOD_QUEUE_LENGTH or more requests
# wait.
FLOOD_AFTER_REFUSAL_S = 0.5
FLOOD_QUEUE_LENGTH = 2
INITIAL_RUN_S = 0.05  # assumed mean run time until a request has finished
RUN_TIME_GAIN = 0.1  # weight of the newest run in the mean run time
# A pause of the process looks like a long run. A run therefore counts for at
# most MAX_RUN_RATIO times the mean, and usual slots are not updated after gaps
# longer than MAX_LEARNING_GAP_S.
MAX_RUN_RATIO = 8.0
MAX_LEARNING_GAP_S = 5.0
REFUSAL_DECAY_TIME_S = 5.0  # time constant of recent_starts, recent_refusals
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0

# Minimum share of a service, as a fraction of the target's slots. It also
# applies to a new service, whose usual slots are not known yet.
MIN_SHARES = {Urgency.URGENT: 0.3, Urgency.NORMAL: 0.2, Urgency.BULK: 0.05}


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot in use.

    Attributes:
        started: seconds, monotonic.
        charged: slot-seconds that were charged in advance.
        within_share: whether they were charged to the service's credit; if
            not, they were charged to its spare slot-seconds.
    """

    started: float
    charged: float
    within_share: bool


@dataclass(slots=True)
class ServiceQueue:
    """The waiting requests of one service, and the state of its share.

    Attributes:
        service: id of the service.
        urgency: class of the service.
        slots: slots of the target.
        usual_slots: mean of the slots that it occupies without overload.
        learning_time: seconds that usual_slots was averaged over.
        credit: slot-seconds that it may use within its share.
        spare: slot-seconds that it may use beyond its share in a flood.
        virtual_time: slot-seconds that it used, for fairness within a class;
            a start raises it to at least the virtual time of Admission.
        run_time: mean time in a slot, seconds.
        busy: number of slots that it holds.
        last_arrival: time of the last arrival, seconds, monotonic.
        last_start: time of the last start, seconds, monotonic.
        last_refusal: time of the last refusal for overload, seconds,
            monotonic.
        denied_since: first time since the last start that a request got no
            slot, seconds, monotonic; math.inf if none was denied.
        recent_starts: count that decays with REFUSAL_DECAY_TIME_S.
        recent_refusals: count that decays with REFUSAL_DECAY_TIME_S.
        requests: waiting requests, the oldest first.
    """

    service: ServiceId
    urgency: Urgency
    slots: int
    usual_slots: float = 0.0
    learning_time: float = INITIAL_LEARNING_TIME_S
    credit: float = INITIAL_RUN_S
    spare: float = 0.0
    virtual_time: float = 0.0
    run_time: float = INITIAL_RUN_S
    busy: int = 0
    last_arrival: float = -math.inf
    last_start: float = -math.inf
    last_refusal: float = -math.inf
    denied_since: float = math.inf
    recent_starts: float = 0.0
    recent_refusals: float = 0.0
    requests: dict[RequestId, Request] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Slots that the service may always use."""
        floor = MIN_SHARES[self.urgency] * self.slots
        return max(floor, self.usual_slots * USUAL_MARGIN)

    def is_active(self, now: float) -> bool:
        """Returns whether a request arrived within ACTIVE_S."""
        return now - self.last_arrival < ACTIVE_S

    def is_flooding(self, now: float) -> bool:
        """Returns whether the service demands more than it can get."""
        if self.credit <= 0.0 and len(self.requests) >= FLOOD_QUEUE_LENGTH:
            return True
        return now - self.last_refusal < FLOOD_AFTER_REFUSAL_S

    def is_starved(self, now: float) -> bool:
        """Returns whether requests have been denied a slot for too long."""
        return now - self.denied_since > STARVATION_S

    def advance(self, elapsed: float, is_usual: bool, spare: float) -> None:
        """Updates credit, decaying counts and usual slots for elapsed time.

        Args:
            elapsed: seconds since the last call.
            is_usual: whether the occupancy is not distorted by an overload.
            spare: slots that the service may use beyond its share.
        """
        if is_usual and elapsed <= MAX_LEARNING_GAP_S:
            self.learning_time = min(
                self.learning_time + elapsed, LEARNING_TIME_S
            )
            gain = min(1.0, elapsed / self.learning_time)
            self.usual_slots += gain * (self.busy - self.usual_slots)
        decay = math.exp(-elapsed / REFUSAL_DECAY_TIME_S)
        self.recent_starts *= decay
        self.recent_refusals *= decay
        cap = max(MAX_CREDIT_S * self.share, self.run_time)
        self.credit = min(cap, self.credit + elapsed * self.share)
        self.spare = min(self.run_time, self.spare + elapsed * spare)

    def charge(self, slot_seconds: float, within_share: bool) -> None:
        """Deducts slot-seconds from credit or spare; adds to virtual time."""
        if within_share:
            self.credit -= slot_seconds
        else:
            self.spare -= slot_seconds
        self.virtual_time += slot_seconds

    def record_run(self, run_time_s: float) -> None:
        """Adds a run time, in seconds, to the mean."""
        counted = min(run_time_s, MAX_RUN_RATIO * self.run_time)
        self.run_time += RUN_TIME_GAIN * (counted - self.run_time)

    def compute_rank(self, now: float) -> tuple[bool, Urgency, float]:
        """Returns the sort key among services within their share."""
        return self.is_flooding(now), self.urgency, self.virtual_time

    def compute_retry_after(self) -> float:
        """Returns the mean seconds until a refused caller should try again.

        The time grows with the number of refusals per started request.
        """
        attempts = 1.0 + self.recent_refusals / max(1.0, self.recent_starts)
        return min(MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S * attempts)

    def describe(self) -> dict[str, Any]:
        """Returns the state of the queue for dumps."""
        return {
            "urgency": self.urgency.name.lower(),
            "busy": self.busy,
            "queued": len(self.requests),
            "usual_slots": round(self.usual_slots, 3),
            "share_slots": round(self.share, 3),
            "credit_s": round(self.credit, 3),
            "run_time_s": round(self.run_time, 4),
        }
