"""HTTP/1.1 connections to the target beside the agent."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import anyio
import httpx

from jujuberun.ids import Address, Outcome
from jujuberun.quic import HEADER_DEADLINE, HEADER_REQUEST_ID
from jujuberun.work import Work, WorkResult, make_not_run, make_unknown

CONNECT_TIMEOUT_S = 1.0  # short, because the target is on loopback
KEEPALIVE_EXPIRY_S = 5.0
SHED_STATUSES = (429, 503)  # sent by a target that has no free slot
MAX_ANSWER_BYTES = 8 << 20
RETRY_AFTER_UNREACHABLE_S = 1.0


class ExchangeOutcome(Enum):
    """How an exchange ended, as evidence of the target's health."""

    ANSWER = "answer"
    ERROR = "error"  # an answer with status 5xx other than 503
    REFUSAL = "refusal"  # no connection, or status 429 or 503
    BROKEN = "broken"  # the connection ended before the answer was complete
    SILENCE = "silence"  # the deadline passed without an answer


@dataclass(frozen=True, slots=True)
class Exchange:
    """One exchange with the target.

    Attributes:
        kind: how it ended.
        seconds: time from the request to the end of the exchange.
    """

    kind: ExchangeOutcome
    seconds: float


class Backend:
    """Passes requests to one target over HTTP."""

    def __init__(
        self,
        address: Address,
        observe: Callable[[Exchange, float], None] = lambda evidence, now: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._observe = observe
        self._clock = clock
        # Admission bounds the requests in progress, so the pool has no limit.
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=64,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
        # Without verify=False, httpx loads the system's certificate authorities
        # at once. They are not needed: the target is reached over plain HTTP.
        self._client = httpx.AsyncClient(
            limits=limits, timeout=timeout, trust_env=False, verify=False
        )

    async def call(self, work: Work, timeout: float) -> WorkResult:
        """Passes a request to the target and waits for the complete answer.

        Cancellation and the timeout close the connection, so that the target
        stops its work on the request.

        Args:
            work: the request.
            timeout: time to wait for the answer, seconds.

        Returns:
            ANSWERED with the complete answer, NOT_RUN if no byte was sent, or
            UNKNOWN.
        """
        try:
            request = self._make_request(work, timeout)
        except (httpx.InvalidURL, ValueError):
            return make_not_run("bad-request-line")
        started = self._clock()
        result = make_unknown("deadline")
        kind = ExchangeOutcome.SILENCE
        with anyio.move_on_after(timeout):
            result, kind = await self._exchange(request)
        now = self._clock()
        self._observe(Exchange(kind, now - started), now)
        return result

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    def _make_request(self, work: Work, timeout: float) -> httpx.Request:
        host, port = self._address
        if not work.path.startswith("/") or not work.method.isalpha():
            raise ValueError(
                "path must start with / and method have only letters"
            )
        # A Request built here gets none of the client's default header fields.
        return httpx.Request(
            work.method,
            httpx.URL(
                scheme="http",
                host=host,
                port=port,
                raw_path=work.path.encode("ascii"),
            ),
            headers=[
                *work.headers,
                (HEADER_REQUEST_ID, work.id.encode("ascii")),
                (HEADER_DEADLINE, b"%d" % (timeout * 1000)),
            ],
            content=work.body or None,
        )

    async def _exchange(
        self, request: httpx.Request
    ) -> tuple[WorkResult, ExchangeOutcome]:
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            result = make_not_run(
                "target-unreachable", RETRY_AFTER_UNREACHABLE_S
            )
            return result, ExchangeOutcome.REFUSAL
        except httpx.HTTPError:
            return make_unknown("target-broke-off"), ExchangeOutcome.BROKEN
        body = bytearray()
        try:
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    return make_unknown(
                        "answer-too-large"
                    ), ExchangeOutcome.ANSWER
        except httpx.HTTPError:
            return make_unknown("target-broke-off"), ExchangeOutcome.BROKEN
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        result = WorkResult(
            Outcome.ANSWERED,
            status=response.status_code,
            body=bytes(body),
            headers=tuple(
                (name.lower(), value) for name, value in response.headers.raw
            ),
        )
        return result, _classify(response.status_code)


def _classify(status: int) -> ExchangeOutcome:
    if status in SHED_STATUSES:
        return ExchangeOutcome.REFUSAL
    return ExchangeOutcome.ERROR if status >= 500 else ExchangeOutcome.ANSWER
