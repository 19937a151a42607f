"""Caller library: requests to services, with truthful outcomes."""

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
from jujuberun.work import WorkResult, lose, refuse

DEFAULT_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 6
ANSWER_GRACE_S = 0.25  # the agent's word on an expired request is on its way
PORT_BUFFER_BYTES = 1 << 20
ANY_PORT: Address = ("0.0.0.0", 0)


class NotRunError(RequestError):
    """The request has not run and will not run."""


class OutcomeUnknownError(RequestError):
    """The request may have run, or may still run."""


class RetryBudget(Protocol):
    """Limits retries; see module retry."""

    def record_request(self, now: float) -> None:
        """Records a request, not a retry."""

    def allow_retry(self, now: float) -> bool:
        """Returns whether a retry may be sent, and records it."""


@dataclass(frozen=True, slots=True)
class CallResult:
    """What became of a call.

    Attributes:
        outcome: ANSWERED with the whole answer; NOT_RUN when no attempt ran
            and none will; UNKNOWN when an attempt may have run.
        status: HTTP status, 0 without an answer.
        body: whole body of the answer.
        headers: header fields of the answer.
        reason: short word when there is no answer.
        retry_after: seconds until a new call makes sense.
        attempts: how often the request was tried.
    """

    outcome: Outcome
    status: int
    body: bytes
    headers: Headers
    reason: str
    retry_after: float
    attempts: int

    def check(self) -> "CallResult":
        """Returns itself when it is an answer.

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
class _Message:
    """A request as the user of the library wants it."""

    address: Address
    method: str
    path: str
    body: bytes
    headers: Headers
    idempotent: bool


def open_socket_port(address: Address) -> Port:
    """Opens a UDP socket for a connection to an address."""
    return SocketPort.bind(ANY_PORT, PORT_BUFFER_BYTES)


# Seconds before a retry, by the number of the failed attempt, a source of
# jitter, and the retry-after of the refusal.
DelayChoice = Callable[[int, random.Random, float], float]


class Caller:
    """Keeps one connection for each service address.

    Use it as an asynchronous context manager. Each connection has a port of
    its own: a new connection is a new flow, which another agent may own.
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
            tls: what quic.make_client_tls returned.
            budget: limits retries over all calls.
            choose_delay: returns the seconds before a retry, by the number of
                the failed attempt, rng and retry-after; see module retry.
            open_port: opens a port for a new connection to an address.
            rng: draws request ids and delays.
            clock: seconds, monotonic.
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
        """Starts to keep connections."""
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        """Closes all connections; open calls end as unknown."""
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

        Retries idempotent work, and work that surely has not run. Work that
        is not idempotent is never sent again once it may have run.

        Args:
            address: address of the service.
            method: HTTP method.
            path: path and query.
            body: whole body.
            idempotent: whether running it twice does no harm.
            timeout: seconds for all attempts together.
            headers: further header fields, names in lower case.

        Returns:
            The outcome.

        Raises:
            ValueError: method, path or a header field is malformed; nothing
                was sent.
        """
        now = self._clock()
        deadline = now + timeout
        message = _Message(address, method, path, body, headers, idempotent)
        name = f"{self._rng.getrandbits(128):032x}"
        try:
            validate_request_headers(encode_request(message, name, timeout))
        except ProtocolError as error:
            # The agent would close the connection with all its requests.
            raise ValueError(error.reason_phrase) from error
        self._budget.record_request(now)
        number = 1
        unsure = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            # A refused id stays refused, so that the next attempt needs
            # another; after a loss the same id finds an attempt in progress.
            suffix = f".{number}" if number > 1 else ""
            result = await self._attempt(message, name + suffix, deadline)
            unsure = unsure or result.outcome is Outcome.UNKNOWN
            if (
                not may_resend(result.outcome, idempotent)
                or attempt == MAX_ATTEMPTS
            ):
                break
            if result.outcome is Outcome.NOT_RUN:
                number += 1
            delay = self._choose_delay(attempt, self._rng, result.retry_after)
            now = self._clock()
            if now + delay >= deadline or not self._budget.allow_retry(now):
                break
            await anyio.sleep(delay)
        if unsure and result.outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run.
            result = lose(result.reason)
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
        self, message: _Message, name: str, deadline: float
    ) -> WorkResult:
        connection = self._find_connection(message.address)
        with anyio.move_on_after(deadline - self._clock()):
            await connection.wait_settled()
            while connection.state is State.LEAVING:
                # Nothing was sent: another connection may take the request.
                connection = self._find_connection(message.address)
                await connection.wait_settled()
        remaining = deadline - self._clock()
        if connection.state is State.LOST:
            return connection.failure
        if connection.state is not State.OPEN or remaining <= 0:
            return refuse("deadline")
        headers = encode_request(message, name, remaining)
        with anyio.move_on_after(remaining + ANSWER_GRACE_S):
            return await connection.exchange(headers, message.body)
        return lose("deadline")

    def _find_connection(self, address: Address) -> Connection:
        """Returns the connection that takes new requests, or opens one."""
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
    message: _Message, name: str, remaining: float
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns all header fields of a request.

    Args:
        message: the request.
        name: its request id.
        remaining: seconds until its deadline.
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
