"""A request inside an agent, its result and their encodings."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from jujuberun.ids import Outcome, RequestId, ServiceId, Urgency
from jujuberun.manifest import Service
from jujuberun.quic import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_OUTCOME,
    HEADER_REASON,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    MAX_REQUEST_ID_CHARS,
    Headers,
    select_headers,
)
from jujuberun.wire import Run, RunReply

DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 3600.0
_STATUS_BY_OUTCOME = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 502}


@dataclass(frozen=True, slots=True)
class Work:
    """A request as an agent handles it.

    It has all fields of request.Request, so that Admission accepts it.

    Attributes:
        id: request id, chosen by the caller. The attempt after a refusal has a
            new id; the attempt after an unknown outcome has the same id.
        service: the service that it was sent to.
        urgency: class of the service.
        deadline: time at which its caller stops waiting, seconds, monotonic.
        idempotent: whether it may run twice without harm.
        arrived: time of arrival here, seconds, monotonic.
        method: HTTP method.
        path: path and query.
        headers: other header fields.
        body: complete body.
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
    """The result of a request.

    Attributes:
        outcome: ANSWERED with the complete answer, NOT_RUN or UNKNOWN.
        status: HTTP status, 0 without an answer.
        body: complete body of the answer.
        headers: header fields of the answer.
        reason: short code for the cause if there is no answer.
        retry_after: seconds until a new attempt makes sense.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    headers: Headers = ()
    reason: str = ""
    retry_after: float = 0.0


def make_not_run(reason: str, retry_after: float = 0.0) -> WorkResult:
    """Returns the result of a request that did not and will not run."""
    return WorkResult(Outcome.NOT_RUN, reason=reason, retry_after=retry_after)


def make_unknown(reason: str) -> WorkResult:
    """Returns the result of a request that may have run."""
    return WorkResult(Outcome.UNKNOWN, reason=reason)


def parse_work(
    service: Service, headers: Headers, body: bytes, arrived: float
) -> Work | WorkResult:
    """Builds a request from the header fields that its caller sent.

    Args:
        service: the service of the flow.
        headers: all header fields of the request.
        body: complete body.
        arrived: time of arrival, seconds, monotonic.

    Returns:
        The request, or a NOT_RUN result if a header field is malformed.
    """
    fields = dict(headers)
    identifier = fields.get(HEADER_REQUEST_ID, b"")
    if (
        not 0 < len(identifier) <= MAX_REQUEST_ID_CHARS
        or not identifier.isascii()
    ):
        return make_not_run("bad-request-id")
    deadline = fields.get(HEADER_DEADLINE)
    wait = DEFAULT_DEADLINE_S
    if deadline is not None:
        if not deadline.isdigit() or len(deadline) > 12:
            return make_not_run("bad-deadline")
        wait = min(int(deadline) / 1000, MAX_DEADLINE_S)
    try:
        method = fields[b":method"].decode("ascii")
        path = fields[b":path"].decode("ascii")
    except (KeyError, UnicodeDecodeError):
        return make_not_run("bad-request-line")
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
    """Returns the header fields of an answer, including the outcome."""
    status = result.status or _STATUS_BY_OUTCOME[result.outcome]
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


def encode_work(token: int, work: Work, timeout: float) -> Any:
    """Returns the Run message of a request.

    Args:
        token: token of the reservation.
        work: the request.
        timeout: time until its deadline, seconds.
    """
    headers = [
        part.decode("latin-1") for field in work.headers for part in field
    ]
    return Run(
        token,
        work.service,
        work.id,
        work.method,
        work.path,
        work.idempotent,
        round(timeout * 1000),
        work.body,
        headers,
    )


def decode_work(message: Any, service: Service, now: float) -> Work:
    """Returns the request in a Run message that arrived at time `now`."""
    return Work(
        id=RequestId(message.request_id),
        service=service.id,
        urgency=service.urgency,
        deadline=now + message.timeout / 1000,
        idempotent=bool(message.idempotent),
        arrived=now,
        method=message.method,
        path=message.path,
        headers=_decode_headers(message.headers),
        body=message.body or b"",
    )


def encode_reply(result: WorkResult) -> Any:
    """Returns the RunReply message for a result."""
    headers = [
        part.decode("latin-1") for field in result.headers for part in field
    ]
    return RunReply(
        result.outcome.value,
        result.status,
        result.body,
        headers,
        result.reason,
        round(result.retry_after * 1000),
    )


def decode_reply(reply: Any) -> WorkResult:
    """Returns the result in a RunReply, or UNKNOWN if it is malformed."""
    try:
        return WorkResult(
            Outcome(reply.outcome),
            reply.status or 0,
            reply.body or b"",
            _decode_headers(reply.headers),
            reply.reason or "",
            (reply.retry_after or 0) / 1000,
        )
    except (AttributeError, ValueError):
        return make_unknown("peer-reply-malformed")


def _decode_headers(parts: Sequence[str] | None) -> Headers:
    encoded = [part.encode("latin-1") for part in parts or ()]
    return tuple(zip(encoded[::2], encoded[1::2], strict=False))


def decode_result(headers: Headers, body: bytes) -> WorkResult:
    """Returns the result in an agent's answer, or UNKNOWN if malformed.

    Args:
        headers: all header fields.
        body: complete body.
    """
    fields = dict(headers)
    status = fields.get(b":status", b"0")
    retry_after = fields.get(HEADER_RETRY_AFTER, b"0")
    try:
        outcome = Outcome(fields.get(HEADER_OUTCOME, b"").decode("ascii"))
    except ValueError:
        return make_unknown("malformed-answer")
    if not status.isdigit() or not retry_after.isdigit():
        return make_unknown("malformed-answer")
    return WorkResult(
        outcome,
        status=int(status) if outcome is Outcome.ANSWERED else 0,
        body=body,
        headers=select_headers(headers),
        reason=fields.get(HEADER_REASON, b"").decode("latin-1"),
        retry_after=int(retry_after) / 1000,
    )
