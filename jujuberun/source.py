"""Sources of the manifest and the VM list that the platform publishes."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import anyio
import httpx

from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import SourceError
from jujuberun.ids import VmId
from jujuberun.settings import PlatformSettings

ANSWER_TIMEOUT_S = 5.0  # in addition to the wait that a watch asks for
CONNECT_TIMEOUT_S = 2.0
FILE_POLL_S = 0.5
BACKOFF_BASE_S = 0.5
BACKOFF_LIMIT_S = 10.0


class DocumentKind(Enum):
    """Kind of a document that the platform publishes."""

    MANIFEST = "manifest"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class PlatformDocument:
    """A document as the platform returned it.

    Attributes:
        kind: kind of the document.
        index: the platform's version number of this content; the next fetch
            passes it to Source.fetch.
        data: text of the document.
    """

    kind: DocumentKind
    index: int
    data: bytes


class Source(Protocol):
    """Reads documents from the platform.

    Attributes:
        is_local: whether reads put no load on the platform, so that every
            process may watch.
    """

    is_local: bool

    async def fetch(
        self, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        """Returns the current document unless it is the one with this index.

        Args:
            kind: kind of the document.
            index: index of the last document that was read, 0 for none.
            wait: seconds to wait for a new document.

        Returns:
            The document, or None if there is no new one.

        Raises:
            SourceError: the document cannot be read or is too large, or the
                answer is invalid or late.
        """

    async def aclose(self) -> None:
        """Closes the connections of the source."""


def make_source(platform: PlatformSettings, vm: VmId) -> Source:
    """Returns the source that the settings specify.

    Args:
        platform: URL of the platform, or paths of files.
        vm: id of this VM, which is sent in the User-Agent header.
    """
    if platform.url:
        return HttpSource.from_config(platform.url, vm)
    return FileSource(
        {
            DocumentKind.MANIFEST: platform.manifest,
            DocumentKind.VMS: platform.vms,
        }
    )


def choose_backoff(
    attempt: int, rng: random.Random, max_backoff: float = BACKOFF_LIMIT_S
) -> float:
    """Returns the seconds to wait: exponential backoff with full jitter.

    Args:
        attempt: number of consecutive failures, from 1.
        rng: source of the jitter.
        max_backoff: upper bound of the wait, in seconds.
    """
    limit = min(max_backoff, BACKOFF_BASE_S * 2 ** min(attempt, 16))
    return rng.uniform(0, limit)


class FileSource:
    """Reads local files and polls them for changes.

    The index of a file is a hash of its inode, size and modification time.
    """

    is_local = True

    def __init__(self, paths: dict[DocumentKind, str]) -> None:
        """Creates the source.

        Args:
            paths: path of each kind of document, empty if there is no file.
        """
        self._paths = paths

    async def fetch(
        self, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        """Returns the content of the file if it changed; see Source."""
        path = self._paths.get(kind, "")
        if not path:
            await anyio.sleep(wait)
            return None
        try:
            return await self._poll(anyio.Path(path), kind, index, wait)
        except OSError as error:
            text = f"cannot be read ({error.strerror})"
            raise SourceError(f"read {kind.value} file", path, text) from error

    async def aclose(self) -> None:
        """Does nothing, because no file stays open."""

    async def _poll(
        self, path: anyio.Path, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        deadline = anyio.current_time() + wait
        while True:
            # The index is read before the content. A file that changes
            # between the two reads is read again by the next fetch, so no
            # change is missed.
            current_index = await _read_index(path)
            if current_index != index:
                break
            remaining = deadline - anyio.current_time()
            if remaining <= 0:
                return None
            await anyio.sleep(min(remaining, FILE_POLL_S))
        async with await path.open("rb") as file:
            data = await file.read(MAX_DOCUMENT_BYTES + 1)
        _check_size(data, kind, str(path))
        return PlatformDocument(kind, current_index, data)


class HttpSource:
    """Reads the platform's configuration service by HTTP long polling."""

    is_local = False

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates the source.

        Args:
            client: HTTP client whose base URL is the URL of the service.
        """
        self._client = client

    @classmethod
    def from_config(
        cls,
        url: str,
        vm: VmId,
        make_transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
    ) -> "HttpSource":
        """Builds a source with an HTTP client of its own.

        Args:
            url: base URL of the service.
            vm: id of this VM, which is sent in the User-Agent header.
            make_transport: makes the transport of the client, so that tests
                can replace the network.
        """
        client = httpx.AsyncClient(
            base_url=url,
            headers={"User-Agent": f"jujuberun/{vm}"},
            transport=make_transport() if make_transport else None,
            trust_env=False,
            # Loading the certificates takes tens of ms and tens of MB, so
            # they are loaded only for https.
            verify=url.startswith("https:"),
        )
        return cls(client)

    async def fetch(
        self, kind: DocumentKind, index: int, wait: float
    ) -> PlatformDocument | None:
        """Reads a document or waits for a new one; see Source."""
        step = f"read {kind.value}"
        peer = str(self._client.base_url)
        limit = wait + ANSWER_TIMEOUT_S
        timeout = httpx.Timeout(limit, connect=CONNECT_TIMEOUT_S)
        query = {"index": str(index), "wait": f"{wait:g}"}
        try:
            with anyio.fail_after(limit):
                async with self._client.stream(
                    "GET", f"/{kind.value}", params=query, timeout=timeout
                ) as response:
                    return await _read_response(response, kind, peer)
        except (TimeoutError, httpx.TimeoutException):
            text = f"no complete answer within {limit:g} s"
            raise SourceError(step, peer, text) from None
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            text = str(error) or type(error).__name__
            raise SourceError(step, peer, text) from error

    async def aclose(self) -> None:
        """Closes the connections to the service."""
        await self._client.aclose()


async def _read_response(
    response: httpx.Response, kind: DocumentKind, peer: str
) -> PlatformDocument | None:
    if response.status_code == httpx.codes.NOT_MODIFIED:
        return None
    step = f"read {kind.value}"
    if response.status_code != httpx.codes.OK:
        raise SourceError(
            step,
            peer,
            f"status {response.status_code}; expected 200 or 304",
        )
    text = response.headers.get("x-index", "")
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise SourceError(
            step,
            peer,
            f"header X-Index is {text[:30]!r}; expected 1 to 18 digits",
        )
    data = bytearray()
    async for part in response.aiter_bytes():
        data += part
        _check_size(data, kind, peer)
    return PlatformDocument(kind, int(text), bytes(data))


async def _read_index(path: anyio.Path) -> int:
    file_status = await path.stat()
    stamp = (
        file_status.st_ino,
        file_status.st_size,
        file_status.st_mtime_ns,
    )
    return hash(stamp) & (1 << 62) - 1 or 1


def _check_size(data: bytes | bytearray, kind: DocumentKind, peer: str) -> None:
    if len(data) > MAX_DOCUMENT_BYTES:
        text = f"the document has more than {MAX_DOCUMENT_BYTES} bytes"
        raise SourceError(f"read {kind.value}", peer, text)
