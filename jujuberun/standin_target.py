"""Stand-in for an application: HTTP/1.1 requests and datagrams on loopback."""

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
RECEIVE_BYTES = 65_536
CONTROL_PATH = "/standin"
HEALTH_PATH = "/health"
DEFAULT_SERVICE = ServiceId("standin")


@dataclass(slots=True)
class Behaviour:
    """How the target behaves; each field may change while it runs.

    Attributes:
        slots: requests that it works on at the same time.
        work: seconds of work of a request without the header "work-ms".
        cold_start: extra seconds of the first request in each slot.
        shed: answer 503 at once when all slots are busy, instead of queueing.
        fail: answer 500 at once.
        hang: take requests and never answer.
        break_off: close the connection in the middle of the answer.
        healthy: what the health endpoint says, true or not.
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
    """What the target did.

    Attributes:
        begun: how often each request was begun, by its id without the number
            of the attempt.
        finished: requests with a whole answer.
        cancelled: requests whose connection closed before the answer.
        shed: requests answered 503.
        failed: requests answered 500.
        busiest: most requests in progress at any time.
    """

    begun: Counter[str] = field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    failed: int = 0
    busiest: int = 0

    def list_doubles(self) -> list[str]:
        """Returns the ids of requests that were begun more than once."""
        return [name for name, times in self.begun.items() if times > 1]


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes


class TargetStandin:
    """An application process with slots.

    The answer to a request is its body, or its request id when it has none;
    the header "answer-bytes" asks for that many bytes, a repetition of the id.

    Attributes:
        behaviour: may be changed at any time.
        counts: what it has done so far.
        address: where it serves HTTP, once run() has started.
        udp_address: where it answers datagrams, once run() has started.
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
        self._cold = self.behaviour.slots
        self._freed = anyio.Event()

    async def run(
        self,
        http: Address = ("127.0.0.1", 0),
        udp: Address = ("127.0.0.1", 0),
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves both protocols until cancelled.

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
                group.start_soon(self._echo, port)
                task_status.started()
                await listener.serve(self._serve, group)
        finally:
            port.close()

    async def _echo(self, port: SocketPort) -> None:
        mark = self._service.encode() + b" "
        while True:
            for payload, sender in await port.receive():
                if not self.behaviour.hang:
                    port.send(mark + payload, sender)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                await self._converse(stream)
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
        ):
            return

    async def _converse(self, stream: SocketStream) -> None:
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
    ) -> _Reply | None:
        """Returns the reply, or None when the agent closed the connection."""
        reply = None
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await stream.receive(1)
                group.cancel_scope.cancel()

            group.start_soon(watch)
            reply = await self._answer(request, body)
            group.cancel_scope.cancel()
        return reply

    async def _answer(self, request: h11.Request, body: bytes) -> _Reply:
        path = request.target.decode("ascii")
        if path == HEALTH_PATH:
            return _Reply(200 if self.behaviour.healthy else 503, b"")
        if path == CONTROL_PATH:
            return self._control(body)
        behaviour = self.behaviour
        if behaviour.fail:
            self.counts.failed += 1
            return _Reply(500, b"failed")
        if behaviour.shed and self._busy >= behaviour.slots:
            self.counts.shed += 1
            return _Reply(503, b"shed")
        headers = dict(request.headers)
        name = headers.get(b"request-id", b"")
        finished = False
        try:
            await self._work(name.decode("ascii"), headers)
            finished = True
        finally:
            self.counts.finished += finished
            self.counts.cancelled += not finished
        size = int(headers.get(b"answer-bytes", b"0"))
        if size:
            body = (name * (size // max(1, len(name)) + 1))[:size]
        return _Reply(200, body or name)

    async def _work(self, name: str, headers: dict[bytes, bytes]) -> None:
        behaviour = self.behaviour
        while self._busy >= behaviour.slots:
            await self._freed.wait()
        self._busy += 1
        self.counts.busiest = max(self.counts.busiest, self._busy)
        self.counts.begun[name.partition(".")[0]] += 1
        seconds = behaviour.work
        if b"work-ms" in headers:
            seconds = int(headers[b"work-ms"]) / 1000
        if self._cold > 0:
            self._cold -= 1
            seconds += behaviour.cold_start
        try:
            if behaviour.hang:
                await anyio.sleep_forever()
            await anyio.sleep(seconds)
        finally:
            self._busy -= 1
            self._freed.set()
            self._freed = anyio.Event()

    def _control(self, body: bytes) -> _Reply:
        """Changes the behaviour and returns it with the counts, as JSON."""
        try:
            changes = json.loads(body or b"{}")
            self.behaviour = dataclasses.replace(self.behaviour, **changes)
        except (TypeError, ValueError) as error:
            return _Reply(400, str(error).encode())
        state: dict[str, Any] = {
            "behaviour": dataclasses.asdict(self.behaviour),
            "finished": self.counts.finished,
            "cancelled": self.counts.cancelled,
            "shed": self.counts.shed,
            "failed": self.counts.failed,
            "begun": len(self.counts.begun),
            "doubles": self.counts.list_doubles(),
        }
        return _Reply(200, json.dumps(state).encode())

    async def _write(
        self, http: h11.Connection, stream: SocketStream, reply: _Reply
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
        return await stream.receive(RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.standin_target", description=__doc__
    )
    parser.add_argument("--http", default="127.0.0.1:0", help="TCP address")
    parser.add_argument("--udp", default="127.0.0.1:0", help="UDP address")
    parser.add_argument(
        "--service", default=DEFAULT_SERVICE, help="id that marks its answers"
    )
    parser.add_argument("--slots", type=int, default=2, help="busy at most")
    parser.add_argument(
        "--work", type=float, default=0.01, help="seconds for each request"
    )
    parser.add_argument(
        "--cold-start",
        type=float,
        default=0.0,
        help="extra seconds of the first request in each slot",
    )
    for name, about in (
        ("shed", "answer 503 when all slots are busy"),
        ("fail", "answer 500 at once"),
        ("hang", "never answer"),
        ("break-off", "close the connection in the middle of answers"),
        ("unhealthy", "let the health endpoint say 503"),
    ):
        parser.add_argument(f"--{name}", action="store_true", help=about)
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
    """Runs one target until interrupted."""
    try:
        anyio.run(_main, _build_parser().parse_args())
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
