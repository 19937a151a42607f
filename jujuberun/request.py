"""A request and the verdicts of admission."""

from dataclasses import dataclass
from enum import Enum

from jujuberun.ids import RequestId, ServiceId, Urgency


class Reason(Enum):
    """Why a request was not run."""

    EXPIRED = "deadline passed"
    DEADLINE = "deadline cannot be met"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue full"


@dataclass(frozen=True, slots=True)
class Request:
    """What admission needs to know of a request.

    Attributes:
        id: unique among the requests that wait or run here.
        service: the service that it was sent to.
        urgency: class of the service.
        deadline: when its result is no longer wanted, seconds, monotonic;
            math.inf without a deadline.
        idempotent: whether it may run twice.
        arrived: when it arrived, seconds, monotonic.
    """

    id: RequestId
    service: ServiceId
    urgency: Urgency
    deadline: float
    idempotent: bool
    arrived: float


@dataclass(frozen=True, slots=True)
class Run:
    """The request has a slot; finish() must follow."""


@dataclass(frozen=True, slots=True)
class Queue:
    """The request waits; take_next() or take_refused() returns it later.

    Attributes:
        wait: estimated wait in seconds.
    """

    wait: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request was not run and will not be.

    Attributes:
        reason: why.
        retry_after: seconds after which the caller may try again.
    """

    reason: Reason
    retry_after: float


Verdict = Run | Queue | Refuse
