"""Stand-in for the platform's configuration service, with HTTP long polling.

GET /manifest and GET /vms accept the query parameters index and wait
(seconds), as on the real platform. PUT /manifest and PUT /vms publish a
document. GET /standin returns the mode and the counters;
POST /standin?mode=slow&delay=2 changes the mode.
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
from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import SourceError
from jujuberun.http_source import ANSWER_TIMEOUT_S
from jujuberun.ids import Address, VmId
from jujuberun.link import cancel_on_close
from jujuberun.source import DocumentKind, PlatformDocument

MAX_WAIT_S = 60.0
FILE_POLL_S = 0.5
_MAX_HEAD_BYTES = 16_384
_MAX_BODY_BYTES = 2_000_000


class Mode(Enum):
    """Behaviour of the platform towards its readers."""

    NORMAL = "normal"
    STALE = "stale"  # answers with the documents it had when set to stale
    SLOW = "slow"  # answers after a delay
    HANGING = "hanging"  # accepts connections and never answers
    FAILING = "failing"  # answers with status 503
    OVERSIZED = "oversized"  # answers with more bytes than a document may have


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response to one request.

    Attributes:
        status: HTTP status.
        index: index of the document, sent in the header X-Index.
        body: text of the document, or of the counters.
    """

    status: int
    index: int = 0
    body: bytes = b""


class Platform:
    """Publishes the manifest and the VM list and answers reads of them.

    Attributes:
        address: listening address; the actual port is known once run() has
            started.
        mode: current behaviour.
        delay: seconds before each answer in mode SLOW.
        accepts: returns whether reads with this User-Agent are answered; other
            reads get no answer, as in mode HANGING.
        reads: number of reads of each document, "manifest" or "vms".
        pending: reads that currently wait for a newer document.
        peak_pending: highest value of pending so far.
        sent_bytes: bytes of documents sent over HTTP.
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
        self._read_times: deque[float] = deque(maxlen=100_000)
        self._documents: dict[str, tuple[int, bytes]] = {}
        self._stale_documents: dict[str, tuple[int, bytes]] = {}
        self._changed = anyio.Event()

    @property
    def url(self) -> str:
        """Base URL for readers."""
        return f"http://{format_address(self.address)}"

    def publish(self, kind: str, data: bytes) -> None:
        """Publishes a new version of a document, "manifest" or "vms"."""
        index, _ = self._documents.get(kind, (0, b""))
        self._documents[kind] = (index + 1, data)
        self._wake_pending_reads()

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Changes the mode, also for pending reads."""
        if mode is Mode.STALE and self.mode is not Mode.STALE:
            self._stale_documents = dict(self._documents)
        self.mode = mode
        self.delay = delay
        self._wake_pending_reads()

    def find_peak_rate(self) -> int:
        """Returns the highest number of reads within any one second."""
        times = list(self._read_times)
        peak = start = 0
        for end, time in enumerate(times):
            while time - times[start] >= 1.0:
                start += 1
            peak = max(peak, end - start + 1)
        return peak

    def count_reads(self) -> int:
        """Returns the number of reads of all documents."""
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
            await listener.serve(self._serve_connection)

    async def read(
        self, kind: str, index: int, wait: float, reader: str
    ) -> HttpResponse:
        """Answers one read, with the current mode applied.

        Args:
            kind: "manifest" or "vms".
            index: index of the document that the reader has, 0 for none.
            wait: seconds to wait for a newer document.
            reader: User-Agent of the reader.
        """
        self.reads[kind] += 1
        self._read_times.append(anyio.current_time())
        await self._hang_if_unanswered(reader)
        if self.mode is Mode.SLOW:
            await anyio.sleep(self.delay)
        if self.mode is Mode.FAILING:
            return HttpResponse(503)
        if self.mode is Mode.OVERSIZED:
            return HttpResponse(200, 1, b" " * (MAX_DOCUMENT_BYTES + 500_000))
        found = await self._wait_for_newer(kind, index, min(wait, MAX_WAIT_S))
        # The mode may have changed while the read was pending.
        await self._hang_if_unanswered(reader)
        return HttpResponse(304) if found is None else HttpResponse(200, *found)

    async def _hang_if_unanswered(self, reader: str) -> None:
        if not self.accepts(reader) or self.mode is Mode.HANGING:
            await anyio.sleep_forever()

    async def _serve_connection(self, stream: SocketStream) -> None:
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
            await _send(
                stream,
                HttpResponse(200, 0, self._handle_control(method, query)),
            )
            return True
        if method == "PUT":
            self.publish(kind, body)
            await _send(stream, HttpResponse(200))
            return True
        reader = headers.get("user-agent", "")
        return await self._answer_read(stream, kind, query, reader)

    async def _answer_read(
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
            group.start_soon(cancel_on_close, stream, group.cancel_scope)
            answer = await self.read(kind, index, wait, reader)
            group.cancel_scope.cancel()
        if answer is None:
            return False
        self.sent_bytes += len(answer.body)
        await _send(stream, answer)
        return True

    def _handle_control(self, method: str, query: dict[str, str]) -> bytes:
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

    async def _wait_for_newer(
        self, kind: str, index: int, wait: float
    ) -> tuple[int, bytes] | None:
        self.pending += 1
        self.peak_pending = max(self.peak_pending, self.pending)
        try:
            with anyio.move_on_after(wait):
                while (found := self._find_document(kind)) is None or found[
                    0
                ] <= index:
                    await self._changed.wait()
                return found
        finally:
            self.pending -= 1
        return None

    def _find_document(self, kind: str) -> tuple[int, bytes] | None:
        documents = (
            self._stale_documents
            if self.mode is Mode.STALE
            else self._documents
        )
        return documents.get(kind)

    def _wake_pending_reads(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class DirectSource:
    """Source that reads a Platform in the same process, without HTTP."""

    is_local = False
    publishes_drains = False

    def __init__(self, platform: Platform, vm: VmId) -> None:
        self._platform = platform
        self._reader = f"jujuberun/{vm}"

    async def fetch(
        self, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        """Returns a document newer than the index; see Source."""
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
        return PlatformDocument(kind, answer.index, answer.body)

    async def aclose(self) -> None:
        """Does nothing: there is no connection to close."""


async def _send(stream: SocketStream, answer: HttpResponse) -> None:
    lines = [
        f"HTTP/1.1 {answer.status} Status",
        f"X-Index: {answer.index}",
    ]
    if answer.status != 304:
        lines.append(f"Content-Length: {len(answer.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    await stream.send(head.encode() + answer.body)


async def _publish_files(platform: Platform, files: dict[str, Path]) -> None:
    published: dict[str, bytes] = {}
    while True:
        for kind, path in files.items():
            data = await anyio.Path(path).read_bytes()
            if data != published.get(kind):
                platform.publish(kind, data)
                published[kind] = data
        await anyio.sleep(FILE_POLL_S)


async def _run(options: argparse.Namespace) -> None:
    platform = Platform(parse_address(options.listen))
    platform.set_mode(Mode(options.mode), options.delay)
    files = {"manifest": options.manifest, "vms": options.vms}
    published_files = {
        kind: path for kind, path in files.items() if path is not None
    }
    async with anyio.create_task_group() as group:
        await group.start(platform.run)
        print(f"standin_platform: listening on {platform.url}", flush=True)
        group.start_soon(_publish_files, platform, published_files)


def main() -> None:
    """Runs the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.standin_platform",
        description="Stand-in for the platform's configuration service.",
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
