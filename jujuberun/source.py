"""Sources of the documents that the platform publishes."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import anyio

from jujuberun.delta import MAX_DOCUMENT_BYTES
from jujuberun.errors import SourceError
from jujuberun.ids import VmId
from jujuberun.settings import PlatformSettings

FILE_POLL_S = 0.5
BACKOFF_BASE_S = 0.5
BACKOFF_LIMIT_S = 10.0


class DocumentKind(Enum):
    """Kind of a document that the platform publishes."""

    MANIFEST = "manifest"
    VMS = "vms"
    DRAINS = "drains"


# Kinds that a process reads with calls of its own. A source that publishes
# drains gets them with the manifest.
READ_KINDS = (DocumentKind.MANIFEST, DocumentKind.VMS)


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
        publishes_drains: whether reads of the manifest also get the drain
            list. A fetch of the drain list then waits for their results and
            makes no call of its own.
    """

    is_local: bool
    publishes_drains: bool

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
        # Imported only here, because loading httpx takes a tenth of the start
        # of a daemon that reads its documents in another way.
        from jujuberun.http_source import HttpSource

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
    publishes_drains = False

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
        check_size(data, kind, str(path))
        return PlatformDocument(kind, current_index, data)


async def _read_index(path: anyio.Path) -> int:
    file_status = await path.stat()
    stamp = (
        file_status.st_ino,
        file_status.st_size,
        file_status.st_mtime_ns,
    )
    return hash(stamp) & (1 << 62) - 1 or 1


def check_size(data: bytes | bytearray, kind: DocumentKind, peer: str) -> None:
    """Raises SourceError if a document has more bytes than allowed."""
    if len(data) > MAX_DOCUMENT_BYTES:
        text = f"the document has more than {MAX_DOCUMENT_BYTES} bytes"
        raise SourceError(f"read {kind.value}", peer, text)
