"""A request on its way through the agent, and what became of it."""

from dataclasses import dataclass

from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.manifest import Service
from jujuberun.quic import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_OUTCOME,
    HEADER_REASON,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    MAX_HEADER_TEXT,
    Headers,
    select_headers,
)

DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 3600.0
_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 502}


@dataclass(frozen=True, slots=True)
class Work:
    """A request; it has all fields of admission.Request.

    Attributes:
        id: chosen by the caller, one for each attempt that may run.
        service: the service that it was sent to.
        urgency: class of the service.
        deadline: when its caller stops waiting, seconds, monotonic.
        idempotent: whether running it twice does no harm.
        arrived: when it arrived here, seconds, monotonic.
        method: HTTP method.
        path: path and query.
        headers: other header fields.
        body: whole body.
    """

    id: RequestId
    service: ServiceId
    urgency: Urgency
    deadline: float
    idempotent: bool
    arrived: float
    method: str = "GET"
    path: str = "/"
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class WorkResult:
    """What became of a request.

    Attributes:
        outcome: ANSWERED with the whole answer, NOT_RUN or UNKNOWN.
        status: HTTP status, 0 without an answer.
        body: whole body of the answer.
        headers: header fields of the answer.
        reason: short word when there is no answer.
        retry_after: seconds until a new attempt makes sense.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    headers: Headers = ()
    reason: str = ""
    retry_after: float = 0.0


def refuse(reason: str, retry_after: float = 0.0) -> WorkResult:
    """Returns the result of work that surely never runs."""
    return WorkResult(Outcome.NOT_RUN, reason=reason, retry_after=retry_after)


def lose(reason: str) -> WorkResult:
    """Returns the result of work that may have run."""
    return WorkResult(Outcome.UNKNOWN, reason=reason)


def make_work(
    service: Service, headers: Headers, body: bytes, arrived: float
) -> Work | WorkResult:
    """Builds the work that a caller's headers describe.

    Args:
        service: the service of the flow.
        headers: all header fields of the request.
        body: whole body.
        arrived: seconds, monotonic.

    Returns:
        The work, or a refusal when a header field is malformed.
    """
    fields = dict(headers)
    identifier = fields.get(HEADER_REQUEST_ID, b"")
    if not 0 < len(identifier) <= MAX_HEADER_TEXT or not identifier.isascii():
        return refuse("bad-request-id")
    deadline = fields.get(HEADER_DEADLINE)
    wait = DEFAULT_DEADLINE_S
    if deadline is not None:
        if not deadline.isdigit() or len(deadline) > 12:
            return refuse("bad-deadline")
        wait = min(int(deadline) / 1000, MAX_DEADLINE_S)
    try:
        method = fields[b":method"].decode("ascii")
        path = fields[b":path"].decode("ascii")
    except (KeyError, UnicodeDecodeError):
        return refuse("bad-request-line")
    return Work(
        id=RequestId(identifier.decode("ascii")),
        service=service.id,
        urgency=service.urgency,
        deadline=arrived + wait,
        idempotent=fields.get(HEADER_IDEMPOTENT) == b"true",
        arrived=arrived,
        method=method,
        path=path,
        headers=select_headers(headers),
        body=body,
    )


def encode_result(result: WorkResult) -> list[tuple[bytes, bytes]]:
    """Returns the header fields of an answer, outcome included."""
    status = result.status or _STATUS[result.outcome]
    headers = [
        (b":status", b"%d" % status),
        (HEADER_OUTCOME, result.outcome.value.encode()),
    ]
    if result.outcome is not Outcome.ANSWERED:
        headers.append((HEADER_REASON, result.reason.encode()))
    if result.outcome is Outcome.NOT_RUN:
        retry_after = b"%d" % round(result.retry_after * 1000)
        headers.append((HEADER_RETRY_AFTER, retry_after))
    headers.extend(select_headers(result.headers))
    return headers
