"""HTTP server for state dump, explanations, metrics and health."""

import json
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import anyio
from anyio.abc import SocketStream, TaskStatus

from jujuberun.addresses import format_address
from jujuberun.containment.acceptor import (
    accept_connections,
    open_listener,
    open_stream,
)
from jujuberun.errors import JujuberunError
from jujuberun.ids import Address, ServiceId
from jujuberun.kernel import Kernel
from jujuberun.logs import make_logger
from jujuberun.values import read_address

# Connections beyond this number are closed immediately.
MAX_CONNECTIONS = 16
# Maximum time from accepting a connection until the reply is sent.
EXCHANGE_TIMEOUT_S = 10.0
_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4; charset=utf-8"
_EXPLAINING_PARTS = ("balancer", "agent", "relay", "sidecar")


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Reply to an HTTP request."""

    status: int
    content_type: str
    body: bytes

    @classmethod
    def from_json(cls, status: int, document: Any) -> "HttpReply":
        """Builds a JSON reply; converts values unknown to JSON with str()."""
        text = json.dumps(document, default=str, indent=1)
        return cls(status, _JSON, text.encode() + b"\n")

    @classmethod
    def from_error(cls, status: int, message: str) -> "HttpReply":
        """Builds a JSON reply whose field "error" is the message."""
        return cls.from_json(status, {"error": message})


class AdminServer:
    """Part "dump": HTTP server on the admin address.

    Attributes:
        address: address to bind; once run() has started, the bound address
            with the port that the kernel chose.
        counts: connections that were not accepted or failed, by event name.
        draining: whether a graceful stop is in progress; set by the daemon.
    """

    name = "dump"

    def __init__(
        self,
        kernel: Kernel,
        address: Address,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.address = address
        self.counts: Counter[str] = Counter()
        self.draining = False
        self._kernel = kernel
        self._clock = clock
        self._open_connections = 0
        self._served_requests = 0
        self._log = make_logger(self.name)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled.

        Raises:
            OSError: the admin address cannot be bound.
        """
        listener = open_listener(self.address)
        self.address = listener.getsockname()
        self._log.info("listening on %s", format_address(self.address))
        with listener:
            async with anyio.create_task_group() as group:
                task_status.started()
                await accept_connections(
                    listener, self._serve_connection, group, self.counts
                )

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the address, the drain flag, requests and counts."""
        return {
            "address": format_address(self.address),
            "draining": self.draining,
            "served": self._served_requests,
            "counts": dict(self.counts),
        }

    def reply(self, target: str) -> HttpReply:
        """Returns the reply to a GET request.

        Args:
            target: path and query of the request line.
        """
        now = self._clock()
        path, _, query = target.partition("?")
        match path:
            case "/state":
                return HttpReply.from_json(
                    200, collect_state(self._kernel, now)
                )
            case "/explain":
                return self._explain(dict(parse_qsl(query)), now)
            case "/metrics":
                return HttpReply(200, _TEXT, self._load_metrics().render())
            case "/health":
                return self._report_health()
            case _:
                known = "/state, /explain, /metrics, /health"
                return HttpReply.from_error(
                    404, f"unknown path; known: {known}"
                )

    def _load_metrics(self) -> Any:
        """Returns the part "metrics" and loads it on first use."""
        if not self._kernel.has("metrics"):
            from jujuberun.metrics import Metrics

            self._kernel.register(Metrics(self._kernel))
        return self._kernel.find("metrics")

    def _explain(self, query: dict[str, str], now: float) -> HttpReply:
        service = query.get("service")
        if not service:
            return HttpReply.from_error(400, "service is missing; use its id")
        try:
            caller = read_address(query.get("flow"))
        except ValueError as error:
            return HttpReply.from_error(400, f"flow is wrong; use {error}")
        names = {part.name for part in self._kernel.list_parts()}
        for name in _EXPLAINING_PARTS:
            if name not in names:
                continue
            part = self._kernel.find(name)
            try:
                answer = part.explain(ServiceId(service), caller, now)
            except (JujuberunError, LookupError) as error:
                return HttpReply.from_error(404, f"no explanation: {error}")
            return HttpReply.from_json(200, answer)
        return HttpReply.from_error(
            503, "no part of this process forwards packets"
        )

    def _report_health(self) -> HttpReply:
        if self.draining:
            return HttpReply.from_json(503, {"status": "draining"})
        for part in self._kernel.list_parts():
            if part.name == "generations" and part.current is None:
                return HttpReply.from_json(503, {"status": "no-manifest"})
            if not getattr(part, "is_ready", True):
                return HttpReply.from_json(503, {"status": "not-ready"})
        return HttpReply.from_json(200, {"status": "serving"})

    async def _serve_connection(
        self, connection: socket.socket, sender: Address
    ) -> None:
        if self._open_connections >= MAX_CONNECTIONS:
            connection.close()
            return
        self._open_connections += 1
        try:
            async with await open_stream(connection) as stream:
                with anyio.move_on_after(EXCHANGE_TIMEOUT_S):
                    await self._serve_request(stream)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            self._open_connections -= 1

    async def _serve_request(self, stream: SocketStream) -> None:
        # Imported at the first connection: an agent forwards packets long
        # before anybody asks for its state.
        from jujuberun.admin_exchange import serve_exchange

        if await serve_exchange(stream, self._reply_to_request):
            self._served_requests += 1

    def _reply_to_request(self, method: bytes, target: bytes) -> HttpReply:
        if method != b"GET":
            return HttpReply.from_error(405, "only GET is allowed")
        try:
            return self.reply(target.decode("ascii"))
        except Exception as error:  # noqa: BLE001
            # An error in one part must not stop the HTTP server.
            self._log.exception("request for %r failed", target)
            return HttpReply.from_error(500, f"reply failed: {error!r}")


def collect_state(kernel: Kernel, now: float) -> dict[str, Any]:
    """Returns the state of all parts by name, as JSON types.

    If a part raises an error, the dump contains that error instead of the
    part's state, because the dump is needed most when something is wrong.

    Args:
        kernel: kernel of the process.
        now: seconds, monotonic.
    """
    try:
        return kernel.dump_state(now)
    except Exception:  # noqa: BLE001
        return {
            part.name: _dump_part(part, now) for part in kernel.list_parts()
        }


def _dump_part(part: Any, now: float) -> dict[str, Any]:
    try:
        return part.dump_state(now)
    except Exception as error:  # noqa: BLE001
        return {"error": repr(error)}
