"""Stand-in of the platform's configuration service: HTTP long poll.

GET /manifest and GET /vms take index and wait (seconds), as the platform
does. GET /standin returns the counters, POST /standin?mode=slow&delay=2 sets
the behaviour, PUT /manifest and PUT /vms publish a document.
"""

import argparse
import contextlib
import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

import anyio
from anyio.abc import SocketStream, TaskStatus

from jujuberun.addresses import format_address, parse_address
from jujuberun.errors import SourceError
from jujuberun.ids import Address, VmId
from jujuberun.link import watch_closing
from jujuberun.source import ANSWER_TIMEOUT_S, Document, Kind

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


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to one read.

    Attributes:
        status: HTTP status.
        index: index of the document.
        body: its text.
    """

    status: int
    index: int = 0
    body: bytes = b""


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
        sent_bytes: bytes of documents sent.
    """

    def __init__(self, address: Address = ("127.0.0.1", 0)) -> None:
        self.address = address
        self.mode = Mode.NORMAL
        self.delay = 0.0
        self.accepts: Callable[[str], bool] = lambda reader: True
        self.reads: Counter[str] = Counter()
        self.pending = 0
        self.peak_pending = 0
        self.sent_bytes = 0
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

    async def read(
        self, kind: str, index: int, wait: float, reader: str
    ) -> Answer:
        """Answers one read, as the HTTP service does.

        Args:
            kind: "manifest" or "vms".
            index: index of the reader's last document.
            wait: seconds to wait for a newer one.
            reader: the reader's User-Agent.
        """
        self.reads[kind] += 1
        self._times.append(anyio.current_time())
        await self._hang_when_due(reader)
        if self.mode is Mode.SLOW:
            await anyio.sleep(self.delay)
        if self.mode is Mode.FAILING:
            return Answer(503)
        if self.mode is Mode.OVERSIZED:
            return Answer(200, 1, b" " * 1_500_000)
        found = await self._find_newer(kind, index, min(wait, MAX_WAIT_S))
        # The behaviour may have changed while the watch was pending.
        await self._hang_when_due(reader)
        return Answer(304) if found is None else Answer(200, *found)

    async def _hang_when_due(self, reader: str) -> None:
        if not self.accepts(reader) or self.mode is Mode.HANGING:
            await anyio.sleep_forever()

    async def _serve(self, stream: SocketStream) -> None:
        closed = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)
        with contextlib.suppress(ValueError, KeyError, *closed):
            async with stream:
                while await self._serve_request(stream):
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
            await _send(stream, Answer(200, 0, self._control(method, query)))
            return True
        if method == "PUT":
            self.publish(kind, body)
            await _send(stream, Answer(200))
            return True
        reader = headers.get("user-agent", "")
        return await self._answer(stream, kind, query, reader)

    async def _answer(
        self,
        stream: SocketStream,
        kind: str,
        query: dict[str, str],
        reader: str,
    ) -> bool:
        index = int(query.get("index", "0"))
        wait = float(query.get("wait", "0"))
        answer = None
        async with anyio.create_task_group() as group:
            group.start_soon(watch_closing, stream, group.cancel_scope)
            answer = await self.read(kind, index, wait, reader)
            group.cancel_scope.cancel()
        if answer is None:
            return False
        self.sent_bytes += len(answer.body)
        await _send(stream, answer)
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
        return None

    def _find(self, kind: str) -> tuple[int, bytes] | None:
        held = self._stale if self.mode is Mode.STALE else self._documents
        return held.get(kind)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class DirectSource:
    """Source that reads a stand-in in the same process, without HTTP."""

    is_local = False

    def __init__(self, platform: Platform, vm: VmId) -> None:
        self._platform = platform
        self._reader = f"jujuberun/{vm}"

    async def fetch(
        self, kind: Kind, index: int, wait: float
    ) -> Document | None:
        """Reads a document; see Source."""
        step = f"read {kind.value}"
        answer = None
        with anyio.move_on_after(wait + ANSWER_TIMEOUT_S):
            answer = await self._platform.read(
                kind.value, index, wait, self._reader
            )
        if answer is None:
            raise SourceError(step, "stand-in", "no answer")
        if answer.status == 304:
            return None
        if answer.status != 200:
            raise SourceError(step, "stand-in", f"status {answer.status}")
        return Document(kind, answer.index, answer.body)

    async def aclose(self) -> None:
        """Does nothing."""


async def _send(stream: SocketStream, answer: Answer) -> None:
    lines = [
        f"HTTP/1.1 {answer.status} Status",
        f"X-Index: {answer.index}",
    ]
    if answer.status != 304:
        lines.append(f"Content-Length: {len(answer.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    await stream.send(head.encode() + answer.body)


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
