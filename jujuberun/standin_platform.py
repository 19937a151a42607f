"""Stand-in of the platform's configuration service: HTTP long poll.

GET /manifest and GET /vms take index and wait (seconds), as the platform
does. GET /standin returns the counters, POST /standin?mode=slow&delay=2 sets
the behaviour, PUT /manifest and PUT /vms publish a document.
"""

import argparse
import json
import time
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

import anyio
from anyio.abc import SocketStream, TaskStatus

from jujuberun.ids import Address
from jujuberun.manifest import format_address, parse_address

MAX_WAIT_S = 60.0
FILE_POLL_S = 0.5
_MAX_HEAD_BYTES = 16_384
_MAX_BODY_BYTES = 2_000_000


class Mode(Enum):
    """How the platform behaves."""

    NORMAL = "normal"
    STALE = "stale"  # answers with what it held when it became stale
    SLOW = "slow"  # answers after a delay
    HANGING = "hanging"  # accepts connections and never answers
    FAILING = "failing"  # answers with status 503
    OVERSIZED = "oversized"  # answers with more bytes than a value may have


class Platform:
    """Holds the two documents and answers readers.

    Attributes:
        address: where it listens, once it runs.
        mode: how it behaves.
        delay: seconds until an answer in mode SLOW.
        accepts: tells by a reader's User-Agent whether it is answered; the
            others are treated as in mode HANGING.
        reads: counts of reads by path.
        pending: watches that wait at present.
        peak_pending: highest number of pending watches.
    """

    def __init__(self, address: Address = ("127.0.0.1", 0)) -> None:
        self.address = address
        self.mode = Mode.NORMAL
        self.delay = 0.0
        self.accepts: Callable[[str], bool] = lambda reader: True
        self.reads: Counter[str] = Counter()
        self.pending = 0
        self.peak_pending = 0
        self._times: deque[float] = deque(maxlen=100_000)
        self._documents: dict[str, tuple[int, bytes]] = {}
        self._stale: dict[str, tuple[int, bytes]] = {}
        self._changed = anyio.Event()

    @property
    def url(self) -> str:
        """Base URL for readers."""
        return f"http://{format_address(self.address)}"

    def publish(self, kind: str, data: bytes) -> None:
        """Publishes a document, "manifest" or "vms"."""
        index, _ = self._documents.get(kind, (0, b""))
        self._documents[kind] = (index + 1, data)
        self._wake()

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Changes the behaviour, for pending watches as well."""
        if mode is Mode.STALE and self.mode is not Mode.STALE:
            self._stale = dict(self._documents)
        self.mode = mode
        self.delay = delay
        self._wake()

    def find_peak_rate(self) -> int:
        """Returns the highest number of reads within one second."""
        times = list(self._times)
        peak = first = 0
        for last, at in enumerate(times):
            while at - times[first] >= 1.0:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def count_reads(self) -> int:
        """Returns the number of all reads."""
        return sum(self.reads.values())

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        host, port = self.address
        async with await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=4096
        ) as listener:
            attribute = anyio.abc.SocketAttribute.local_address
            self.address = listener.extra(attribute)
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                while await self._serve_request(stream):
                    pass
        except (OSError, ValueError, anyio.EndOfStream):
            pass
        except anyio.BrokenResourceError:
            pass

    async def _serve_request(self, stream: SocketStream) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            if len(data) > _MAX_HEAD_BYTES:
                return False
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        request, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = request.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = min(int(headers.get("content-length", "0")), _MAX_BODY_BYTES)
        while len(body) < length:
            body += await stream.receive()
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        kind = parts.path.strip("/")
        if kind == "standin":
            await _send(stream, 200, self._control(method, query))
        elif method == "PUT":
            self.publish(kind, body)
            await _send(stream, 200, b"")
        else:
            reader = headers.get("user-agent", "")
            await self._answer(stream, kind, query, reader)
        return True

    def _control(self, method: str, query: dict[str, str]) -> bytes:
        if method == "POST":
            self.set_mode(Mode(query["mode"]), float(query.get("delay", "0")))
        state = {
            "mode": self.mode.value,
            "reads": dict(self.reads),
            "peak_reads_per_s": self.find_peak_rate(),
            "pending": self.pending,
            "peak_pending": self.peak_pending,
        }
        return json.dumps(state).encode()

    async def _answer(
        self,
        stream: SocketStream,
        kind: str,
        query: dict[str, str],
        reader: str,
    ) -> None:
        self.reads[kind] += 1
        self._times.append(time.monotonic())
        if not self.accepts(reader) or self.mode is Mode.HANGING:
            await self._wait_end(stream)
            return
        if self.mode is Mode.SLOW:
            await anyio.sleep(self.delay)
        if self.mode is Mode.FAILING:
            await _send(stream, 503, b"")
            return
        if self.mode is Mode.OVERSIZED:
            await _send(stream, 200, b" " * 1_500_000, 1)
            return
        index = int(query.get("index", "0"))
        wait = min(float(query.get("wait", "0")), MAX_WAIT_S)
        found = await self._find_newer(kind, index, wait)
        if found is None:
            await _send(stream, 304, b"")
        else:
            await _send(stream, 200, found[1], found[0])

    async def _find_newer(
        self, kind: str, index: int, wait: float
    ) -> tuple[int, bytes] | None:
        self.pending += 1
        self.peak_pending = max(self.peak_pending, self.pending)
        try:
            with anyio.move_on_after(wait):
                while (found := self._find(kind)) is None or found[0] <= index:
                    await self._changed.wait()
                return found
        finally:
            self.pending -= 1
        found = self._find(kind)
        return found if found is not None and found[0] > index else None

    def _find(self, kind: str) -> tuple[int, bytes] | None:
        held = self._stale if self.mode is Mode.STALE else self._documents
        return held.get(kind)

    async def _wait_end(self, stream: SocketStream) -> None:
        await stream.receive()
        raise anyio.EndOfStream

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


async def _send(
    stream: SocketStream, status: int, body: bytes, index: int = 0
) -> None:
    lines = [f"HTTP/1.1 {status} Status", f"X-Index: {index}"]
    if status != 304:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    await stream.send(head.encode() + body)


async def _publish_files(platform: Platform, files: dict[str, Path]) -> None:
    held: dict[str, bytes] = {}
    while True:
        for kind, path in files.items():
            data = await anyio.Path(path).read_bytes()
            if data != held.get(kind):
                platform.publish(kind, data)
                held[kind] = data
        await anyio.sleep(FILE_POLL_S)


async def _run(options: argparse.Namespace) -> None:
    platform = Platform(parse_address(options.listen))
    platform.set_mode(Mode(options.mode), options.delay)
    files = {"manifest": options.manifest, "vms": options.vms}
    named = {kind: path for kind, path in files.items() if path is not None}
    async with anyio.create_task_group() as group:
        await group.start(platform.run)
        print(f"standin_platform: listening on {platform.url}", flush=True)
        group.start_soon(_publish_files, platform, named)


def main() -> None:
    """Runs the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.standin_platform",
        description="Stand-in of the platform's configuration service.",
    )
    parser.add_argument("--listen", default="127.0.0.1:0", help="host:port")
    parser.add_argument("--manifest", type=Path, help="file to publish")
    parser.add_argument("--vms", type=Path, help="VM list file to publish")
    modes = [mode.value for mode in Mode]
    parser.add_argument("--mode", choices=modes, default=Mode.NORMAL.value)
    parser.add_argument(
        "--delay", type=float, default=0.0, help="seconds, for --mode slow"
    )
    try:
        anyio.run(_run, parser.parse_args())
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
