"""Stand-in for an application that serves HTTP/1.1 and UDP on loopback."""

import argparse
import contextlib
import dataclasses
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11
from anyio.abc import SocketStream, TaskStatus

from jujuberun.addresses import format_address, parse_address
from jujuberun.ids import Address, ServiceId
from jujuberun.port import SocketPort

MAX_BODY_BYTES = 16 << 20
MAX_RECEIVE_BYTES = 65_536
CONTROL_PATH = "/standin"
HEALTH_PATH = "/health"
DEFAULT_SERVICE = ServiceId("standin")


@dataclass(slots=True)
class Behaviour:
    """Behaviour of the target; each field may change while it runs.

    Attributes:
        slots: number of requests that it processes at the same time.
        work: processing time in seconds of a request without the header
            "work-ms".
        cold_start: extra seconds for each of the first requests, as many as
            there were slots at the start.
        shed: answer 503 at once when all slots are busy, instead of queueing.
        fail: answer 500 at once.
        hang: accept requests and never answer.
        break_off: close the connection in the middle of the answer.
        healthy: whether the health endpoint answers 200 or 503, regardless
            of the other fields.
    """

    slots: int = 2
    work: float = 0.01
    cold_start: float = 0.0
    shed: bool = False
    fail: bool = False
    hang: bool = False
    break_off: bool = False
    healthy: bool = True


@dataclass(slots=True)
class Counts:
    """Counts of the requests that the target handled.

    Attributes:
        begun: number of times that the target started to process each request,
            by request id without the attempt number.
        finished: requests that were processed completely.
        cancelled: requests whose connection closed during processing.
        shed: requests answered 503.
        failed: requests answered 500.
        busiest: highest number of requests in progress at the same time.
    """

    begun: Counter[str] = field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    failed: int = 0
    busiest: int = 0

    def list_doubles(self) -> list[str]:
        """Returns the ids of requests that were started more than once."""
        return [name for name, times in self.begun.items() if times > 1]


@dataclass(frozen=True, slots=True)
class _HttpReply:
    status: int
    body: bytes


class TargetStandin:
    """An application process with a limited number of slots.

    The answer to a request is the request body, or the request id if the body
    is empty. With the header "answer-bytes" the answer is the request id,
    repeated up to that many bytes.

    Attributes:
        behaviour: current behaviour; may be changed at any time.
        counts: counts of the requests handled so far.
        address: address of the HTTP server, once run() has started.
        udp_address: address of the UDP port, once run() has started.
    """

    def __init__(
        self,
        behaviour: Behaviour | None = None,
        service: ServiceId = DEFAULT_SERVICE,
    ) -> None:
        self.behaviour = behaviour or Behaviour()
        self.counts = Counts()
        self.address: Address = ("127.0.0.1", 0)
        self.udp_address: Address = ("127.0.0.1", 0)
        self._service = service
        self._busy = 0
        self._cold_starts_left = self.behaviour.slots
        self._slot_freed = anyio.Event()

    async def run(
        self,
        http: Address = ("127.0.0.1", 0),
        udp: Address = ("127.0.0.1", 0),
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves HTTP and datagrams until cancelled.

        Args:
            http: local TCP address; port 0 lets the kernel choose.
            udp: local UDP address; port 0 lets the kernel choose.
            task_status: reports that both sockets are bound.
        """
        port = SocketPort.bind(udp)
        listener = await anyio.create_tcp_listener(
            local_host=http[0], local_port=http[1], backlog=1024
        )
        self.udp_address = port.address
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.address = (address[0], address[1])
        try:
            async with anyio.create_task_group() as group, listener:
                group.start_soon(self._echo_datagrams, port)
                task_status.started()
                await listener.serve(self._serve_connection, group)
        finally:
            port.close()

    async def _echo_datagrams(self, port: SocketPort) -> None:
        prefix = self._service.encode() + b" "
        while True:
            for payload, sender in await port.receive():
                if not self.behaviour.hang:
                    port.send(prefix + payload, sender)

    async def _serve_connection(self, stream: SocketStream) -> None:
        try:
            async with stream:
                await self._serve_requests(stream)
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
        ):
            return

    async def _serve_requests(self, stream: SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await _read_request(http, stream)
            if request is None:
                return
            reply = await self._answer_unless_closed(request, body, stream)
            if reply is None:
                return
            await self._write(http, stream, reply)
            if http.our_state is h11.MUST_CLOSE:
                return
            http.start_next_cycle()

    async def _answer_unless_closed(
        self, request: h11.Request, body: bytes, stream: SocketStream
    ) -> _HttpReply | None:
        """Returns the reply, or None if the agent closed the connection."""
        reply = None
        async with anyio.create_task_group() as group:

            async def cancel_on_close() -> None:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await stream.receive(1)
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_close)
            reply = await self._answer(request, body)
            group.cancel_scope.cancel()
        return reply

    async def _answer(self, request: h11.Request, body: bytes) -> _HttpReply:
        path = request.target.decode("ascii")
        if path == HEALTH_PATH:
            return _HttpReply(200 if self.behaviour.healthy else 503, b"")
        if path == CONTROL_PATH:
            return self._handle_control(body)
        behaviour = self.behaviour
        if behaviour.fail:
            self.counts.failed += 1
            return _HttpReply(500, b"failed")
        if behaviour.shed and self._busy >= behaviour.slots:
            self.counts.shed += 1
            return _HttpReply(503, b"shed")
        headers = dict(request.headers)
        request_id = headers.get(b"request-id", b"")
        finished = False
        try:
            await self._process_request(request_id.decode("ascii"), headers)
            finished = True
        finally:
            self.counts.finished += finished
            self.counts.cancelled += not finished
        size = int(headers.get(b"answer-bytes", b"0"))
        if size:
            body = (request_id * (size // max(1, len(request_id)) + 1))[:size]
        return _HttpReply(200, body or request_id)

    async def _process_request(
        self, request_id: str, headers: dict[bytes, bytes]
    ) -> None:
        behaviour = self.behaviour
        while self._busy >= behaviour.slots:
            await self._slot_freed.wait()
        self._busy += 1
        self.counts.busiest = max(self.counts.busiest, self._busy)
        self.counts.begun[request_id.partition(".")[0]] += 1
        seconds = behaviour.work
        if b"work-ms" in headers:
            seconds = int(headers[b"work-ms"]) / 1000
        if self._cold_starts_left > 0:
            self._cold_starts_left -= 1
            seconds += behaviour.cold_start
        try:
            if behaviour.hang:
                await anyio.sleep_forever()
            await anyio.sleep(seconds)
        finally:
            self._busy -= 1
            self._slot_freed.set()
            self._slot_freed = anyio.Event()

    def _handle_control(self, body: bytes) -> _HttpReply:
        """Changes the behaviour and returns it with the counts, as JSON."""
        try:
            changes = json.loads(body or b"{}")
            self.behaviour = dataclasses.replace(self.behaviour, **changes)
        except (TypeError, ValueError) as error:
            return _HttpReply(400, str(error).encode())
        state: dict[str, Any] = {
            "behaviour": dataclasses.asdict(self.behaviour),
            "finished": self.counts.finished,
            "cancelled": self.counts.cancelled,
            "shed": self.counts.shed,
            "failed": self.counts.failed,
            "begun": len(self.counts.begun),
            "doubles": self.counts.list_doubles(),
        }
        return _HttpReply(200, json.dumps(state).encode())

    async def _write(
        self, http: h11.Connection, stream: SocketStream, reply: _HttpReply
    ) -> None:
        headers = [
            (b"content-length", b"%d" % len(reply.body)),
            (b"service", self._service.encode()),
        ]
        response = h11.Response(status_code=reply.status, headers=headers)
        data = http.send(response) + http.send(h11.Data(data=reply.body))
        if self.behaviour.break_off:
            await stream.send(data[: len(data) - len(reply.body) // 2 - 1])
            raise anyio.EndOfStream
        await stream.send(data + http.send(h11.EndOfMessage()))


async def _read_request(
    http: h11.Connection, stream: SocketStream
) -> tuple[h11.Request | None, bytes]:
    request = None
    body = bytearray()
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                data = await _receive(stream)
                http.receive_data(data)
            case h11.Request() as request:
                pass
            case h11.Data(data=data):
                body += data
                if len(body) > MAX_BODY_BYTES:
                    return None, b""
            case h11.EndOfMessage():
                return request, bytes(body)
            case _:
                return None, b""


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(MAX_RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.standin_target", description=__doc__
    )
    parser.add_argument("--http", default="127.0.0.1:0", help="TCP address")
    parser.add_argument("--udp", default="127.0.0.1:0", help="UDP address")
    parser.add_argument(
        "--service",
        default=DEFAULT_SERVICE,
        help="service id sent with each answer",
    )
    parser.add_argument(
        "--slots", type=int, default=2, help="requests processed at once"
    )
    parser.add_argument(
        "--work",
        type=float,
        default=0.01,
        help="processing time of a request in seconds",
    )
    parser.add_argument(
        "--cold-start",
        type=float,
        default=0.0,
        help="extra seconds for the first requests, one for each slot",
    )
    for name, help_text in (
        ("shed", "answer 503 when all slots are busy"),
        ("fail", "answer 500 at once"),
        ("hang", "never answer"),
        ("break-off", "close the connection in the middle of answers"),
        ("unhealthy", "answer 503 at the health endpoint"),
    ):
        parser.add_argument(f"--{name}", action="store_true", help=help_text)
    return parser


async def _main(options: argparse.Namespace) -> None:
    behaviour = Behaviour(
        slots=options.slots,
        work=options.work,
        cold_start=options.cold_start,
        shed=options.shed,
        fail=options.fail,
        hang=options.hang,
        break_off=options.break_off,
        healthy=not options.unhealthy,
    )
    target = TargetStandin(behaviour, ServiceId(options.service))
    http, udp = parse_address(options.http), parse_address(options.udp)
    async with anyio.create_task_group() as group:
        await group.start(target.run, http, udp)
        http, udp = target.address, target.udp_address
        print(
            f"standin_target: HTTP at {format_address(http)}, "
            f"datagrams at {format_address(udp)}",
            flush=True,
        )


def main() -> None:
    """Runs the stand-in until it is interrupted."""
    try:
        anyio.run(_main, _build_parser().parse_args())
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
