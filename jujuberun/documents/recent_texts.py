"""Recent texts of a document, the bases of deltas between peers."""

from collections import deque

from jujuberun.delta import digest_document

MAX_TEXTS = 8
# The newest text is kept whatever its size, the others up to this total.
MAX_BYTES = 4_000_000


class RecentTexts:
    """Keeps the recent texts of one document by digest."""

    def __init__(self) -> None:
        self._texts: deque[tuple[bytes, bytes]] = deque(maxlen=MAX_TEXTS)

    def add(self, text: bytes) -> bytes:
        """Adds the newest text; returns its digest, see digest_document."""
        digest = digest_document(text)
        self._texts.append((digest, text))
        while len(self._texts) > 1 and self._count_bytes() > MAX_BYTES:
            self._texts.popleft()
        return digest

    def find(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if no recent one has it."""
        for known_digest, text in self._texts:
            if known_digest == digest:
                return text
        return None

    def _count_bytes(self) -> int:
        return sum(len(text) for _, text in self._texts)
