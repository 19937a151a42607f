"""Caller library: sends requests to services and reports their outcomes."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from aioquic.h3.connection import ProtocolError, validate_request_headers
from aioquic.quic.configuration import QuicConfiguration
from anyio.abc import TaskGroup

from jujuberun.addresses import format_address
from jujuberun.connection import Connection, State
from jujuberun.errors import RequestError
from jujuberun.ids import Address, Outcome
from jujuberun.port import Port, SocketPort
from jujuberun.quic import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_REQUEST_ID,
    Headers,
    select_headers,
)
from jujuberun.retry import choose_delay, may_resend
from jujuberun.work import WorkResult, make_not_run, make_unknown

DEFAULT_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 6
# Time to wait after the deadline, because the agent's result of an expired
# request may still be on its way.
ANSWER_GRACE_S = 0.25
PORT_BUFFER_BYTES = 1 << 20
ANY_PORT: Address = ("0.0.0.0", 0)


class NotRunError(RequestError):
    """The request has not run and will not run."""


class OutcomeUnknownError(RequestError):
    """The request may have run, or may still run."""


class RetryBudget(Protocol):
    """Limits retries; implemented in module retry."""

    def record_request(self, now: float) -> None:
        """Records a new request; retries are not counted here."""

    def allow_retry(self, now: float) -> bool:
        """Returns whether a retry may be sent; if so, records it."""


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call.

    Attributes:
        outcome: ANSWERED with the complete answer; NOT_RUN if no attempt has
            run or will run; UNKNOWN if an attempt may have run.
        status: HTTP status, 0 without an answer.
        body: complete body of the answer.
        headers: header fields of the answer.
        reason: keyword for the cause if there is no answer, else empty.
        retry_after: seconds to wait before a new call.
        attempts: number of attempts made.
    """

    outcome: Outcome
    status: int
    body: bytes
    headers: Headers
    reason: str
    retry_after: float
    attempts: int

    def check(self) -> "CallResult":
        """Returns this result if it is an answer.

        Raises:
            NotRunError: the request has not run and will not run.
            OutcomeUnknownError: the request may have run.
        """
        tries = f"{self.reason} after {self.attempts} attempts"
        match self.outcome:
            case Outcome.ANSWERED:
                return self
            case Outcome.NOT_RUN:
                raise NotRunError("call", "", f"not run: {tries}")
            case Outcome.UNKNOWN:
                raise OutcomeUnknownError("call", "", f"unknown: {tries}")


@dataclass(frozen=True, slots=True)
class _RequestTemplate:
    """The parts of a request that are the same in all its attempts."""

    address: Address
    method: str
    path: str
    body: bytes
    headers: Headers
    idempotent: bool


def open_socket_port(address: Address) -> Port:
    """Opens a UDP socket on any free port.

    Args:
        address: address of the service; not used.
    """
    return SocketPort.bind(ANY_PORT, PORT_BUFFER_BYTES)


# Returns the seconds before a retry. Arguments: number of the failed attempt,
# random generator for jitter, retry-after of the refusal in seconds.
DelayChoice = Callable[[int, random.Random, float], float]


class Caller:
    """Keeps one connection for each service address.

    Use it as an asynchronous context manager. Each connection has its own
    port: a new connection is a new flow, which another agent may own.
    """

    def __init__(
        self,
        tls: QuicConfiguration,
        budget: RetryBudget,
        choose_delay: DelayChoice = choose_delay,
        open_port: Callable[[Address], Port] = open_socket_port,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a caller.

        Args:
            tls: configuration from quic.make_client_tls.
            budget: limits the retries of all calls together.
            choose_delay: returns the seconds before a retry; its arguments
                are the number of the failed attempt, rng and retry-after.
                See module retry.
            open_port: opens a port for a new connection to an address.
            rng: random generator for request ids and delays.
            clock: returns seconds, monotonic.
        """
        self._tls = tls
        self._budget = budget
        self._choose_delay = choose_delay
        self._open_port = open_port
        self._rng = rng or random.SystemRandom()
        self._clock = clock
        self._connections: dict[Address, Connection] = {}
        self._group: TaskGroup = anyio.create_task_group()

    async def __aenter__(self) -> "Caller":
        """Starts the task group that runs the connections."""
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        """Closes all connections; open requests end with outcome UNKNOWN."""
        for connection in self._connections.values():
            connection.leave()
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*error)

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        idempotent: bool = False,
        timeout: float = DEFAULT_TIMEOUT_S,
        headers: Headers = (),
    ) -> CallResult:
        """Sends a request and waits for its outcome.

        Retries idempotent requests, and requests that are known not to have
        run. A request that is not idempotent is never sent again once it may
        have run.

        Args:
            address: address of the service.
            method: HTTP method.
            path: path and query.
            body: complete body.
            idempotent: whether the request may safely run twice.
            timeout: seconds for all attempts together.
            headers: additional header fields, names in lower case.

        Returns:
            The outcome.

        Raises:
            ValueError: method, path or a header field is malformed; nothing
                was sent.
        """
        now = self._clock()
        deadline = now + timeout
        message = _RequestTemplate(
            address, method, path, body, headers, idempotent
        )
        request_id = f"{self._rng.getrandbits(128):032x}"
        try:
            validate_request_headers(
                encode_request(message, request_id, timeout)
            )
        except ProtocolError as error:
            # Malformed header fields would make the agent close the connection
            # with all its requests.
            raise ValueError(error.reason_phrase) from error
        self._budget.record_request(now)
        id_number = 1
        may_have_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            # After a refusal the next attempt needs a new request id, because
            # a refused id must never run. After an unknown outcome it keeps
            # the id, so that the agent finds an attempt still in progress.
            suffix = f".{id_number}" if id_number > 1 else ""
            result = await self._attempt(message, request_id + suffix, deadline)
            may_have_run = may_have_run or result.outcome is Outcome.UNKNOWN
            if (
                not may_resend(result.outcome, idempotent)
                or attempt == MAX_ATTEMPTS
            ):
                break
            if result.outcome is Outcome.NOT_RUN:
                id_number += 1
            delay = self._choose_delay(attempt, self._rng, result.retry_after)
            now = self._clock()
            if now + delay >= deadline or not self._budget.allow_retry(now):
                break
            await anyio.sleep(delay)
        if may_have_run and result.outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run.
            result = make_unknown(result.reason)
        return CallResult(
            result.outcome,
            result.status,
            result.body,
            result.headers,
            result.reason,
            result.retry_after,
            attempt,
        )

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the state of all connections as JSON types."""
        return {
            format_address(address): connection.describe(now)
            for address, connection in self._connections.items()
        }

    async def _attempt(
        self, message: _RequestTemplate, request_id: str, deadline: float
    ) -> WorkResult:
        connection = self._find_connection(message.address)
        with anyio.move_on_after(deadline - self._clock()):
            await connection.wait_handshake()
            while connection.state is State.LEAVING:
                # The request has not been sent yet, so a new connection may
                # send it.
                connection = self._find_connection(message.address)
                await connection.wait_handshake()
        remaining = deadline - self._clock()
        if connection.state is State.LOST:
            return connection.failure
        if connection.state is not State.OPEN or remaining <= 0:
            return make_not_run("deadline")
        headers = encode_request(message, request_id, remaining)
        with anyio.move_on_after(remaining + ANSWER_GRACE_S):
            return await connection.exchange(headers, message.body)
        return make_unknown("deadline")

    def _find_connection(self, address: Address) -> Connection:
        """Returns a connection that takes new requests; opens one if needed."""
        connection = self._connections.get(address)
        if connection is not None and connection.state in (
            State.OPENING,
            State.OPEN,
        ):
            return connection
        connection = Connection(
            address, self._open_port(address), self._tls, self._clock
        )
        self._connections[address] = connection
        self._group.start_soon(connection.run)
        return connection


def encode_request(
    message: _RequestTemplate, name: str, remaining: float
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns all header fields of a request.

    Args:
        message: the request.
        name: its request id.
        remaining: seconds until the deadline.
    """
    return (
        (b":method", message.method.encode("ascii")),
        (b":scheme", b"https"),
        (b":authority", format_address(message.address).encode("ascii")),
        (b":path", message.path.encode("ascii")),
        (HEADER_REQUEST_ID, name.encode("ascii")),
        (HEADER_IDEMPOTENT, b"true" if message.idempotent else b"false"),
        (HEADER_DEADLINE, b"%d" % (remaining * 1000)),
        *select_headers(message.headers),
    )
