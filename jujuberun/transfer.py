"""Transfer of manifests and VM lists between peers over TCP."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Ok, Result

from jujuberun.addresses import format_address
from jujuberun.delta import (
    apply_delta,
    digest_document,
    make_delta,
    pack_document,
    unpack_document,
)
from jujuberun.errors import JujuberunError, LinkError
from jujuberun.generations import Generations, OfferResult
from jujuberun.ids import Address, Rank
from jujuberun.link import Link
from jujuberun.source import DocumentKind
from jujuberun.wire import (
    Document,
    Fetch,
    FetchHistory,
    History,
    HistoryEntry,
)

# Short enough to ask a second peer if the first one does not reply: a new
# manifest must be in force within 3 s.
FETCH_TIMEOUT_S = 1.0
# Limits the total size of the compressed documents in one reply.
_MAX_HISTORY_BYTES = 1_500_000
# Compressed documents are cached, because many peers have the same base.
_MAX_CACHED_DOCUMENTS = 32


class DocumentStore(Protocol):
    """Holds one kind of document; implemented by Generations and Members.

    Attributes:
        position: generation of the manifest or index of the VM list, 0
            before the first document.
        rank: tells which of two documents is newer.
        digest: distinguishes different documents at the same position.
        text: text of the document, empty before the first one.
        text_digest: digest_document of the text.
    """

    position: int
    rank: Rank
    digest: bytes
    text: bytes
    text_digest: bytes

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if the store lacks it."""

    def offer(
        self, data: bytes, origin: str, now: float
    ) -> Result[OfferResult, JujuberunError]:
        """Accepts a document if it is valid and newer than the current one."""

    def report_conflict(self, digest: bytes, origin: str) -> None:
        """Reports a peer that has different content at the same position."""


class Transfer:
    """Serves documents to peers and fetches documents from peers.

    Attributes:
        history_complete: False while this process still asks peers for
            earlier manifests. Replies to FetchHistory report it to the peers.
        history_added: number of earlier manifests that were added to the
            history.
    """

    def __init__(
        self,
        link: Link,
        generations: Generations,
        stores: dict[DocumentKind, DocumentStore],
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Registers the handlers of Fetch and FetchHistory with the link."""
        self._link = link
        self._generations = generations
        self._stores = stores
        self._read_clock = read_clock
        self.history_complete = False
        self.history_added = 0
        self._packed_cache: dict[tuple[bytes, bytes], bytes] = {}
        link.register_handler(Fetch, self._serve_fetch)
        link.register_handler(FetchHistory, self._serve_history)

    async def fetch(
        self, kind: DocumentKind, address: Address
    ) -> Result[OfferResult, JujuberunError]:
        """Fetches a document from a peer and offers it to its store.

        Returns:
            Ok with the store's result (KNOWN if the peer has nothing newer),
            or Err if the document was refused.

        Raises:
            LinkError: the peer did not reply, or replied with another type
                of message.
        """
        store = self._stores[kind]
        index, epoch = store.rank
        request = Fetch(kind.value, index, store.text_digest, epoch)
        reply = await self._link.call(address, request, FETCH_TIMEOUT_S)
        peer = format_address(address)
        if not isinstance(reply, Document):
            raise LinkError(
                "fetch document", peer, "the reply is not a Document message"
            )
        if not reply.data:
            return Ok(OfferResult.KNOWN)
        match _unpack(reply, store.find_text):
            case Err(error):
                return Err(error)
            case Ok(text):
                return store.offer(text, peer, self._read_clock())

    async def fetch_history(self, address: Address) -> bool:
        """Fetches recently replaced manifests and adds them to the history.

        Returns:
            Whether the history of the peer is complete. It is incomplete
            while the peer itself still fetches manifests that it missed.

        Raises:
            LinkError: the peer did not reply, or its reply is invalid.
        """
        generations = self._generations
        request = FetchHistory(generations.text_digest)
        base = generations.text
        reply = await self._link.call(address, request, FETCH_TIMEOUT_S)
        now = self._read_clock()
        peer = format_address(address)
        if not isinstance(reply, History):
            raise LinkError(
                "fetch history", peer, "the reply is not a History message"
            )
        for entry in reply.entries or ():
            if None in (entry.document, entry.since, entry.replaced):
                raise LinkError(
                    "fetch history",
                    peer,
                    "an entry lacks document, since or replaced",
                )
            match _unpack(entry.document, lambda _, base=base: base):
                case Err(error):
                    raise LinkError("fetch history", peer, str(error))
                case Ok(text):
                    base = text
            since = now - entry.since / 1000
            replaced = now - entry.replaced / 1000
            result = generations.add_history(text, peer, since, replaced)
            self.history_added += result == Ok(OfferResult.OLDER)
        return bool(reply.complete)

    async def _serve_fetch(self, message: Any, sender: Address) -> Any:
        kind = DocumentKind(message.kind)
        store = self._stores[kind]
        position = store.position
        if store.rank <= (message.index, message.epoch or 0):
            return Document(kind.value, position, store.text_digest, b"", b"")
        base = store.find_text(message.digest)
        return self._make_document(kind, position, store.text, base)

    async def _serve_history(self, message: Any, sender: Address) -> Any:
        now = self._read_clock()
        generations = self._generations
        base = generations.find_text(message.digest)
        entries = []
        size = 0
        for version in generations.list_history(now):
            document = self._make_document(
                DocumentKind.MANIFEST,
                version.manifest.generation,
                version.text,
                base,
            )
            size += len(document.data)
            if size > _MAX_HISTORY_BYTES:
                break
            since = round((now - version.since) * 1000)
            replaced = round((now - version.replaced) * 1000)
            entries.append(HistoryEntry(document, since, replaced))
            base = version.text
        return History(entries, self.history_complete)

    def _make_document(
        self, kind: DocumentKind, position: int, text: bytes, base: bytes | None
    ) -> Any:
        digest = digest_document(text)
        base_digest = b"" if base is None else digest_document(base)
        packed = self._packed_cache.get((base_digest, digest))
        if packed is None:
            if base is None:
                packed = pack_document(text)
            else:
                packed = make_delta(base, text)
            while len(self._packed_cache) >= _MAX_CACHED_DOCUMENTS:
                del self._packed_cache[next(iter(self._packed_cache))]
            self._packed_cache[base_digest, digest] = packed
        return Document(kind.value, position, digest, base_digest, packed)


def _unpack(
    document: Any, find_text: Callable[[bytes], bytes | None]
) -> Result[bytes, JujuberunError]:
    if not document.base:
        return unpack_document(document.data, document.digest)
    base = find_text(document.base)
    if base is None:
        text = "the base document of the delta is unknown"
        return Err(LinkError("fetch document", "", text))
    return apply_delta(base, document.data, document.digest)
