"""State dump, explanations, metrics and health over HTTP."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from jujuberun.addresses import format_address
from jujuberun.errors import JujuberunError
from jujuberun.ids import Address, ServiceId
from jujuberun.kernel import Kernel
from jujuberun.logs import find_logger
from jujuberun.values import read_address

MAX_HEADER_BYTES = 8192
MAX_CONNECTIONS = 16  # more are closed at once
EXCHANGE_TIMEOUT_S = 10.0  # from accept until the last byte is sent
_READ_BYTES = 4096
_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4; charset=utf-8"
_EXPLAINERS = ("balancer", "agent", "relay", "sidecar")


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one HTTP request."""

    status: int
    content_type: str
    body: bytes

    @classmethod
    def from_json(cls, status: int, document: Any) -> "Reply":
        """Builds a reply with a JSON body; other types become texts."""
        text = json.dumps(document, default=str, indent=1)
        return cls(status, _JSON, text.encode() + b"\n")

    @classmethod
    def from_error(cls, status: int, message: str) -> "Reply":
        """Builds a reply with one line that tells what was wrong."""
        return cls.from_json(status, {"error": message})


class Dump:
    """Part "dump": HTTP server on the admin address.

    Attributes:
        address: local address, with the port that the kernel chose once run()
            has started.
        draining: set by the daemon during a graceful stop.
    """

    name = "dump"

    def __init__(
        self,
        kernel: Kernel,
        address: Address,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.address = address
        self.draining = False
        self._kernel = kernel
        self._clock = clock
        self._open = 0
        self._served = 0
        self._log = find_logger(self.name)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled.

        Raises:
            OSError: the admin address cannot be bound.
        """
        host, port = self.address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        self.address = listener.extra(SocketAttribute.local_address)[:2]
        self._log.info("serves on %s", format_address(self.address))
        task_status.started()
        async with listener:
            await listener.serve(self._serve)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns address, draining and the number of replies."""
        return {
            "address": format_address(self.address),
            "draining": self.draining,
            "served": self._served,
        }

    def reply(self, target: str) -> Reply:
        """Returns the reply to a GET request.

        Args:
            target: path and query as the request line has them.
        """
        now = self._clock()
        path, _, query = target.partition("?")
        match path:
            case "/state":
                return Reply.from_json(200, collect_state(self._kernel, now))
            case "/explain":
                return self._explain(dict(parse_qsl(query)), now)
            case "/metrics":
                return Reply(200, _TEXT, self._find_metrics().render())
            case "/health":
                return self._report_health()
            case _:
                known = "/state, /explain, /metrics, /health"
                return Reply.from_error(404, f"unknown path; known: {known}")

    def _find_metrics(self) -> Any:
        """Returns the part, which is loaded when it is first asked for."""
        if not self._kernel.has("metrics"):
            from jujuberun.metrics import Metrics

            self._kernel.register(Metrics(self._kernel))
        return self._kernel.find("metrics")

    def _explain(self, query: dict[str, str], now: float) -> Reply:
        service = query.get("service")
        if not service:
            return Reply.from_error(400, "service is missing; use its id")
        try:
            caller = read_address(query.get("flow"))
        except ValueError as error:
            return Reply.from_error(400, f"flow is wrong; use {error}")
        names = {part.name for part in self._kernel.list_parts()}
        for name in _EXPLAINERS:
            if name not in names:
                continue
            part = self._kernel.find(name)
            try:
                answer = part.explain(ServiceId(service), caller, now)
            except (JujuberunError, LookupError) as error:
                return Reply.from_error(404, f"no explanation: {error}")
            return Reply.from_json(200, answer)
        return Reply.from_error(503, "no part of this process forwards packets")

    def _report_health(self) -> Reply:
        if self.draining:
            return Reply.from_json(503, {"status": "draining"})
        for part in self._kernel.list_parts():
            if part.name == "generations" and part.current is None:
                return Reply.from_json(503, {"status": "no-manifest"})
            if not getattr(part, "is_ready", True):
                return Reply.from_json(503, {"status": "not-ready"})
        return Reply.from_json(200, {"status": "serving"})

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            if self._open >= MAX_CONNECTIONS:
                return
            self._open += 1
            try:
                with anyio.move_on_after(EXCHANGE_TIMEOUT_S):
                    await self._exchange(stream)
            except (OSError, anyio.BrokenResourceError, h11.ProtocolError):
                return
            except anyio.ClosedResourceError:
                return
            finally:
                self._open -= 1

    async def _exchange(self, stream: SocketStream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        try:
            request = await _read_request(connection, stream)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            reply = Reply.from_error(status, f"malformed request: {error}")
            await _send(connection, stream, reply)
            return
        if request is None:
            return
        await _send(connection, stream, self._reply_to(request))
        self._served += 1

    def _reply_to(self, request: h11.Request) -> Reply:
        if request.method != b"GET":
            return Reply.from_error(405, "only GET is allowed")
        try:
            return self.reply(request.target.decode("ascii"))
        except Exception as error:  # noqa: BLE001
            # A fault in one part must not end the process's HTTP server.
            self._log.exception("reply to %r failed", request.target)
            return Reply.from_error(500, f"reply failed: {error!r}")


def collect_state(kernel: Kernel, now: float) -> dict[str, Any]:
    """Returns the state of all parts by name, as JSON types.

    A part that fails is shown with its error: the dump is needed most when
    something is wrong.

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


async def _read_request(
    connection: h11.Connection, stream: SocketStream
) -> h11.Request | None:
    while True:
        event = connection.next_event()
        match event:
            case h11.Request():
                return event
            case h11.ConnectionClosed():
                return None
            case _:
                connection.receive_data(await _receive(stream))


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(_READ_BYTES)
    except anyio.EndOfStream:
        return b""


async def _send(
    connection: h11.Connection, stream: SocketStream, reply: Reply
) -> None:
    headers = [
        ("Content-Type", reply.content_type),
        ("Content-Length", str(len(reply.body))),
        ("Connection", "close"),
    ]
    head = h11.Response(status_code=reply.status, headers=headers)
    data = (
        connection.send(head),
        connection.send(h11.Data(data=reply.body)),
        connection.send(h11.EndOfMessage()),
    )
    await stream.send(b"".join(part for part in data if part))
