"""One service's queue at an agent, and its share of the slots."""

import math
from dataclasses import dataclass, field
from typing import Any

from jujuberun.ids import RequestId, ServiceId, Urgency
from jujuberun.request import Request

USUAL_TIME_S = 60.0  # a service's usual slots are a mean over this time
FIRST_S = 10.0  # a new service counts as if it had been idle this long
USUAL_MARGIN = 1.5  # a service may grow by half before it is held back
CREDIT_S = 0.5  # a service may save up its share for this long
RECENT_S = 10.0  # a service is active this long after its last request
STARVATION_S = 4.0  # a waiting service gets a slot at least this often
FLOOD_S = 0.5  # a service floods this long after a refusal
FLOOD_QUEUE = 2  # or while so many requests wait without credit
INITIAL_RUN_S = 0.05  # assumed run time of a service before the first finish
RUN_TIME_GAIN = 0.1  # weight of the newest run in the mean run time
# A pause of the process looks like a long run: a run counts at most this
# multiple of the mean, and occupancy is not learned over longer gaps.
MAX_RUN_RATIO = 8.0
MAX_LEARN_GAP_S = 5.0
PRESSURE_TIME_S = 5.0  # time constant of the ratio of refusals to starts
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0

# Share of the slots that a class has before anything is known of its services.
FLOORS = {Urgency.URGENT: 0.3, Urgency.NORMAL: 0.2, Urgency.BULK: 0.05}


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot in use.

    Attributes:
        started: seconds, monotonic.
        charged: slot-seconds that were charged in advance.
        within: whether they were charged to the share.
    """

    started: float
    charged: float
    within: bool


@dataclass(slots=True)
class Lane:
    """Waiting requests and figures of one service.

    Attributes:
        service: its id.
        urgency: its class.
        slots: slots of the target.
        usual: slots that it occupies while there is no overload.
        learned: seconds that usual was learned over.
        credit: slot-seconds that it may use within its share.
        spare: slot-seconds that it may use beyond its share in a flood.
        served: slot-seconds that it used, for fairness within a class.
        run_time: mean time in a slot, seconds.
        busy: slots that it holds.
        last_arrival: seconds, monotonic.
        last_start: seconds, monotonic.
        refused_at: last refusal for overload, seconds, monotonic.
        denied_at: first time since the last start that a request got no
            slot, seconds, monotonic.
        starts: count that decays with PRESSURE_TIME_S.
        refusals: count that decays with PRESSURE_TIME_S.
        queue: waiting requests, the oldest first.
    """

    service: ServiceId
    urgency: Urgency
    slots: int
    usual: float = 0.0
    learned: float = FIRST_S
    credit: float = INITIAL_RUN_S
    spare: float = 0.0
    served: float = 0.0
    run_time: float = INITIAL_RUN_S
    busy: int = 0
    last_arrival: float = -math.inf
    last_start: float = -math.inf
    refused_at: float = -math.inf
    denied_at: float = math.inf
    starts: float = 0.0
    refusals: float = 0.0
    queue: dict[RequestId, Request] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Slots that the service may always use."""
        floor = FLOORS[self.urgency] * self.slots
        return max(floor, self.usual * USUAL_MARGIN)

    def is_active(self, now: float) -> bool:
        """Returns whether a request arrived recently."""
        return now - self.last_arrival < RECENT_S

    def is_flooding(self, now: float) -> bool:
        """Returns whether the service asks for more than it can have."""
        if self.credit <= 0.0 and len(self.queue) >= FLOOD_QUEUE:
            return True
        return now - self.refused_at < FLOOD_S

    def is_starved(self, now: float) -> bool:
        """Returns whether the service got no slot for too long."""
        return now - self.denied_at > STARVATION_S

    def advance(self, passed: float, learns: bool, spare: float) -> None:
        """Moves the figures forward in time.

        Args:
            passed: seconds since the last call.
            learns: whether the present occupancy is a usual one.
            spare: slots that the service may use beyond its share.
        """
        if learns and passed <= MAX_LEARN_GAP_S:
            self.learned = min(self.learned + passed, USUAL_TIME_S)
            gain = min(1.0, passed / self.learned)
            self.usual += gain * (self.busy - self.usual)
        decay = math.exp(-passed / PRESSURE_TIME_S)
        self.starts *= decay
        self.refusals *= decay
        cap = max(CREDIT_S * self.share, self.run_time)
        self.credit = min(cap, self.credit + passed * self.share)
        self.spare = min(self.run_time, self.spare + passed * spare)

    def charge(self, slot_seconds: float, within: bool) -> None:
        """Counts slot time, within the share or beyond it."""
        if within:
            self.credit -= slot_seconds
        else:
            self.spare -= slot_seconds
        self.served += slot_seconds

    def record_run(self, took: float) -> None:
        """Updates the mean run time, seconds."""
        counted = min(took, MAX_RUN_RATIO * self.run_time)
        self.run_time += RUN_TIME_GAIN * (counted - self.run_time)

    def rank(self, now: float) -> tuple[bool, Urgency, float]:
        """Returns the order among services within their share."""
        return self.is_flooding(now), self.urgency, self.served

    def compute_retry_after(self) -> float:
        """Returns mean seconds until a refused caller should try again.

        The time grows with the refused requests for each one that ran.
        """
        pressure = 1.0 + self.refusals / max(1.0, self.starts)
        return min(MAX_RETRY_S, MIN_RETRY_S * pressure)

    def describe(self) -> dict[str, Any]:
        """Returns the state for dumps."""
        return {
            "urgency": self.urgency.name.lower(),
            "busy": self.busy,
            "queued": len(self.queue),
            "usual_slots": round(self.usual, 3),
            "share_slots": round(self.share, 3),
            "credit_s": round(self.credit, 3),
            "run_time_s": round(self.run_time, 4),
        }
