"""The manifest in force: which one is accepted, and which ones came before."""

import dataclasses
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.delta import digest_document
from jujuberun.errors import ManifestError
from jujuberun.manifest import Manifest, parse_manifest
from jujuberun.table import TableSet

HISTORY_S = 300.0  # older manifests are forgotten
HISTORY_COUNT = 16  # manifests

logger = logging.getLogger(__name__)


class Acceptance(Enum):
    """What became of an offered manifest."""

    IN_FORCE = "in-force"
    KNOWN = "known"
    OLDER = "older"


@dataclass(frozen=True, slots=True)
class Version:
    """A manifest that was in force.

    Attributes:
        tables: its lookup tables, with the manifest.
        data: its text, as it was published.
        origin: who gave it: "platform" or the address of a peer.
        since: when it came into force here, seconds, monotonic.
        text_digest: digest_document of the text.
        replaced: when a newer one came into force, None for the current.
    """

    tables: TableSet
    data: bytes
    origin: str
    since: float
    text_digest: bytes
    replaced: float | None = None

    @property
    def manifest(self) -> Manifest:
        """The manifest itself."""
        return self.tables.manifest


class Generations:
    """Holds the manifest in force; it never reverts.

    Listeners are called with the new version when one comes into force.
    """

    name = "generations"

    def __init__(self) -> None:
        self._versions: list[Version] = []
        self._listeners: list[Callable[[Version], None]] = []
        self._conflict: tuple[int, bytes] = (0, b"")
        self.refused: list[str] = []

    @property
    def current(self) -> Version | None:
        """The version in force, or None before the first."""
        return self._versions[-1] if self._versions else None

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: the part has state and no task of its own."""
        task_status.started()

    @property
    def position(self) -> int:
        """Generation in force, 0 before the first."""
        return self._versions[-1].manifest.generation if self._versions else 0

    @property
    def digest(self) -> bytes:
        """Digest of the manifest in force, empty before the first."""
        return self._versions[-1].manifest.digest if self._versions else b""

    @property
    def text(self) -> bytes:
        """Text of the manifest in force, empty before the first."""
        return self._versions[-1].data if self._versions else b""

    @property
    def text_digest(self) -> bytes:
        """Digest of the text in force, empty before the first."""
        return self._versions[-1].text_digest if self._versions else b""

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text of a held manifest by its digest, or None."""
        for version in self._versions:
            if version.text_digest == digest:
                return version.data
        return None

    def subscribe(self, listener: Callable[[Version], None]) -> None:
        """Calls the listener at each new version, and now for the current."""
        self._listeners.append(listener)
        if self._versions:
            listener(self._versions[-1])

    def offer(
        self, data: bytes, origin: str, now: float
    ) -> Result[Acceptance, ManifestError]:
        """Takes a manifest in force if it is valid and newer.

        Args:
            data: text of the manifest.
            origin: "platform" or the address of a peer.
            now: seconds, monotonic.

        Returns:
            Ok with what became of it, or Err when it is refused: malformed,
            or of the generation in force with other content.
        """
        current = self.current
        if current is not None and data == current.data:
            return Ok(Acceptance.KNOWN)
        match parse_manifest(data):
            case Err(error):
                self._note_refusal(f"{origin}: {error}")
                return Err(error)
            case Ok(manifest):
                return self._take(manifest, data, origin, now)

    def history(self, now: float) -> tuple[Version, ...]:
        """Returns earlier versions that were in force lately, newest first.

        Args:
            now: seconds, monotonic.
        """
        earlier = reversed(self._versions[:-1])
        return tuple(v for v in earlier if now - v.replaced <= HISTORY_S)

    def add_history(
        self, data: bytes, origin: str, since: float, replaced: float
    ) -> Result[Acceptance, ManifestError]:
        """Takes a manifest that was in force before as history only.

        The version in force stays, and listeners are not called.

        Args:
            data: text of the manifest.
            origin: address of the peer that held it.
            since: when it came into force at the peer, seconds, monotonic.
            replaced: when a newer one came into force there.

        Returns:
            Ok with OLDER when it was added, with KNOWN when this generation
            is held, or Err when it is malformed or not older than the one in
            force.
        """
        match parse_manifest(data):
            case Err(error):
                self._note_refusal(f"{origin}: {error}")
                return Err(error)
            case Ok(manifest):
                pass
        current = self.current
        generation = manifest.generation
        if any(v.manifest.generation == generation for v in self._versions):
            return Ok(Acceptance.KNOWN)
        if current is None or generation > current.manifest.generation:
            text = f"generation {generation} is not older than that in force"
            return Err(ManifestError("add history", origin, text))
        tables = TableSet(manifest, current.tables)
        digest = digest_document(data)
        version = Version(tables, data, origin, since, digest, replaced)
        self._versions.append(version)
        self._versions.sort(key=lambda held: held.manifest.generation)
        del self._versions[:-HISTORY_COUNT]
        return Ok(Acceptance.OLDER)

    def report_conflict(self, digest: bytes, origin: str) -> None:
        """Reports a peer that has other content of the generation in force.

        Args:
            digest: digest of the peer's manifest.
            origin: address of the peer.
        """
        if (self.position, digest) == self._conflict:
            return
        self._conflict = (self.position, digest)
        self._note_refusal(str(self._make_conflict(self.position, origin)))

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns generation, digest, origin and age in seconds."""
        current = self.current
        if current is None:
            return {"generation": None, "refused": self.refused[-5:]}
        return {
            "generation": current.manifest.generation,
            "digest": current.manifest.digest.hex(),
            "origin": current.origin,
            "in_force_for_s": round(now - current.since, 3),
            "refused": self.refused[-5:],
        }

    def _take(
        self, manifest: Manifest, data: bytes, origin: str, now: float
    ) -> Result[Acceptance, ManifestError]:
        current = self.current
        if current is not None:
            newest = current.manifest
            if manifest.generation < newest.generation:
                return Ok(Acceptance.OLDER)
            if manifest.generation == newest.generation:
                if manifest.digest == newest.digest:
                    return Ok(Acceptance.KNOWN)
                error = self._make_conflict(manifest.generation, origin)
                self._note_refusal(str(error))
                return Err(error)
        tables = TableSet(manifest, current.tables if current else None)
        version = Version(tables, data, origin, now, digest_document(data))
        if current is not None:
            self._versions[-1] = dataclasses.replace(current, replaced=now)
        # A version of the target scale takes several MB.
        self._versions = [
            held for held in self._versions if now - held.replaced <= HISTORY_S
        ]
        self._versions.append(version)
        del self._versions[:-HISTORY_COUNT]
        logger.info(
            "generations: %d of %s is in force", manifest.generation, origin
        )
        for listener in self._listeners:
            listener(version)
        return Ok(Acceptance.IN_FORCE)

    def _make_conflict(self, generation: int, origin: str) -> ManifestError:
        return ManifestError(
            "accept manifest",
            origin,
            f"generation {generation} is in force with other content; "
            "publish a higher generation",
        )

    def _note_refusal(self, text: str) -> None:
        logger.error("generations: refused: %s", text)
        self.refused.append(text)
        del self.refused[:-20]
