"""A request and the possible decisions of admission control."""

from dataclasses import dataclass
from enum import Enum

from jujuberun.ids import RequestId, ServiceId, Urgency


class Reason(Enum):
    """Why a request, or the start of a flow, was refused."""

    EXPIRED = "deadline passed"
    DEADLINE = "deadline cannot be met"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue full"


@dataclass(frozen=True, slots=True)
class Request:
    """The properties of a request that admission control needs.

    Attributes:
        id: unique among the requests that wait or run at this agent.
        service: service that it was sent to.
        urgency: class of the service.
        deadline: time after which the caller no longer wants the result,
            seconds, monotonic; math.inf without a deadline.
        idempotent: whether it may run twice.
        arrived: time of arrival, seconds, monotonic.
    """

    id: RequestId
    service: ServiceId
    urgency: Urgency
    deadline: float
    idempotent: bool
    arrived: float


@dataclass(frozen=True, slots=True)
class Admit:
    """The request got a slot; finish() must be called when it ends."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued; take_next() or take_refused() returns it later.

    Attributes:
        wait: estimated wait, seconds.
    """

    wait: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request was not run and will not be.

    Attributes:
        reason: why it was refused.
        retry_after: seconds after which the caller may try again.
    """

    reason: Reason
    retry_after: float


Decision = Admit | Queued | Refusal
