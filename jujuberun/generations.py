"""The manifest in force, and the manifests that it replaced."""

import dataclasses
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.candidate_table import TableSet
from jujuberun.containment.units import contain_errors
from jujuberun.delta import digest_document
from jujuberun.errors import ManifestError
from jujuberun.ids import Protocol, Rank
from jujuberun.manifest import Manifest, parse_manifest

# Manifests that were replaced longer ago are dropped from the history.
HISTORY_RETENTION_S = 300.0
MAX_VERSIONS = 16  # includes the version in force
# Replaced manifests that no flow depends on serve as bases of deltas only. They
# are kept up to this total size of their texts.
MAX_BASE_BYTES = 2_000_000

logger = logging.getLogger(__name__)


class OfferResult(Enum):
    """Result of offering a document to its store.

    Attributes:
        IN_FORCE: the document was accepted and is now in force.
        KNOWN: the store already has this document.
        OLDER: the document is older than the one in force.
    """

    IN_FORCE = "in-force"
    KNOWN = "known"
    OLDER = "older"


@dataclass(frozen=True, slots=True)
class ManifestVersion:
    """A manifest that is or was in force.

    Attributes:
        tables: lookup tables that are built from the manifest.
        text: the manifest, as it was published.
        origin: where it came from: "platform" or the address of a peer.
        since: when it came into force, seconds, monotonic.
        text_digest: digest_document of the text.
        replaced: when a newer manifest came into force, seconds, monotonic;
            None while this one is in force.
    """

    tables: TableSet
    text: bytes
    origin: str
    since: float
    text_digest: bytes
    replaced: float | None = None

    @property
    def manifest(self) -> Manifest:
        """The parsed manifest."""
        return self.tables.manifest


class Generations:
    """Holds the manifest in force and its recent predecessors.

    A manifest in force is replaced only by one of a higher generation, or of
    the same generation and a higher epoch.
    Listeners are called with each version that comes into force.

    Attributes:
        refused: reasons of the latest refusals, oldest first.
        counts: numbers of events by name.
    """

    name = "generations"

    def __init__(self) -> None:
        self._versions: list[ManifestVersion] = []
        self._listeners: list[Callable[[ManifestVersion], None]] = []
        self._reported_conflict: tuple[Rank, bytes] = ((0, 0), b"")
        self.refused: list[str] = []
        self.counts: Counter[str] = Counter()

    @property
    def current(self) -> ManifestVersion | None:
        """The version in force, None before the first manifest."""
        return self._versions[-1] if self._versions else None

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: this part has state but runs no task."""
        task_status.started()

    @property
    def position(self) -> int:
        """Generation in force, 0 before the first manifest."""
        return self._versions[-1].manifest.generation if self._versions else 0

    @property
    def rank(self) -> Rank:
        """Generation and epoch in force, (0, 0) before the first manifest."""
        return self._versions[-1].manifest.rank if self._versions else (0, 0)

    @property
    def digest(self) -> bytes:
        """Digest of the manifest in force, empty before the first one."""
        return self._versions[-1].manifest.digest if self._versions else b""

    @property
    def text(self) -> bytes:
        """Text of the manifest in force, empty before the first one."""
        return self._versions[-1].text if self._versions else b""

    @property
    def text_digest(self) -> bytes:
        """Digest of the text in force, empty before the first manifest."""
        return self._versions[-1].text_digest if self._versions else b""

    @property
    def needs_history(self) -> bool:
        """Whether the owners of flows depend on earlier manifests.

        Flows of packet services do not: their targets are asked instead.
        """
        return any(
            service.protocol is not Protocol.PACKET
            for version in self._versions[-1:]
            for service in version.manifest.services.values()
        )

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if no version has it."""
        for version in self._versions:
            if version.text_digest == digest:
                return version.text
        return None

    def subscribe(self, listener: Callable[[ManifestVersion], None]) -> None:
        """Calls the listener with the version in force and each later one."""
        self._listeners.append(listener)
        if self._versions:
            listener(self._versions[-1])

    def offer(
        self, data: bytes, origin: str, now: float
    ) -> Result[OfferResult, ManifestError]:
        """Puts a manifest in force if it is valid and newer.

        Args:
            data: text of the manifest.
            origin: "platform" or the address of a peer.
            now: seconds, monotonic.

        Returns:
            Ok with the result, or Err if the manifest is malformed or has
            generation and epoch of the one in force but other content.
        """
        current = self.current
        if current is not None and data == current.text:
            return Ok(OfferResult.KNOWN)
        match parse_manifest(data):
            case Err(error):
                self._record_refusal(f"{origin}: {error}")
                return Err(error)
            case Ok(manifest):
                return self._accept_if_newer(manifest, data, origin, now)

    def list_history(self, now: float) -> tuple[ManifestVersion, ...]:
        """Returns the replaced versions, newest first.

        Versions that were replaced more than HISTORY_RETENTION_S ago are left
        out.

        Args:
            now: seconds, monotonic.
        """
        earlier = reversed(self._versions[:-1])
        return tuple(
            v for v in earlier if now - v.replaced <= HISTORY_RETENTION_S
        )

    def add_history(
        self, data: bytes, origin: str, since: float, replaced: float
    ) -> Result[OfferResult, ManifestError]:
        """Adds an earlier manifest to the history.

        The version in force does not change, and listeners are not called.

        Args:
            data: text of the manifest.
            origin: address of the peer that sent it.
            since: when it came into force at the peer, seconds, monotonic.
            replaced: when a newer one came into force at the peer, seconds,
                monotonic.

        Returns:
            Ok with OLDER if it was added, Ok with KNOWN if this generation is
            already in the history or in force, or Err if the manifest is
            malformed or not older than the one in force.
        """
        match parse_manifest(data):
            case Err(error):
                self._record_refusal(f"{origin}: {error}")
                return Err(error)
            case Ok(manifest):
                pass
        current = self.current
        generation = manifest.generation
        if any(v.manifest.generation == generation for v in self._versions):
            return Ok(OfferResult.KNOWN)
        if current is None or generation > current.manifest.generation:
            text = f"generation {generation} is not older than the one in force"
            return Err(ManifestError("add history", origin, text))
        tables = TableSet(manifest, current.tables)
        digest = digest_document(data)
        version = ManifestVersion(tables, data, origin, since, digest, replaced)
        self._versions.append(version)
        self._versions.sort(key=lambda item: item.manifest.generation)
        self._drop_old_versions()
        return Ok(OfferResult.OLDER)

    def report_conflict(self, digest: bytes, origin: str) -> None:
        """Reports a peer that has other content for the generation in force.

        A repeated report of the same digest is ignored.

        Args:
            digest: digest of the peer's manifest.
            origin: address of the peer.
        """
        if (self.rank, digest) == self._reported_conflict:
            return
        self._reported_conflict = (self.rank, digest)
        self._record_refusal(
            str(self._make_conflict_error(self.position, origin))
        )

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns generation, digest, origin, age in seconds and refusals."""
        current = self.current
        if current is None:
            return {
                "generation": None,
                "refused": self.refused[-5:],
                "counts": dict(self.counts),
            }
        return {
            "generation": current.manifest.generation,
            "epoch": current.manifest.epoch,
            "digest": current.manifest.digest.hex(),
            "origin": current.origin,
            "in_force_for_s": round(now - current.since, 3),
            "refused": self.refused[-5:],
            "counts": dict(self.counts),
        }

    def _accept_if_newer(
        self, manifest: Manifest, data: bytes, origin: str, now: float
    ) -> Result[OfferResult, ManifestError]:
        current = self.current
        if current is not None:
            newest = current.manifest
            if manifest.rank < newest.rank:
                return Ok(OfferResult.OLDER)
            if manifest.rank == newest.rank:
                if manifest.digest == newest.digest:
                    return Ok(OfferResult.KNOWN)
                error = self._make_conflict_error(manifest.generation, origin)
                self._record_refusal(str(error))
                return Err(error)
        tables = TableSet(manifest, current.tables if current else None)
        version = ManifestVersion(
            tables, data, origin, now, digest_document(data)
        )
        if current is not None:
            self._versions[-1] = dataclasses.replace(current, replaced=now)
        # Expired versions are dropped at once, because in a fleet of the
        # intended size each version takes several MB.
        self._versions = [
            earlier
            for earlier in self._versions
            if now - earlier.replaced <= HISTORY_RETENTION_S
        ]
        self._versions.append(version)
        self._drop_old_versions()
        logger.info(
            "generations: generation %d from %s is now in force",
            manifest.generation,
            origin,
            extra={"epoch": manifest.epoch},
        )
        for listener in self._listeners:
            with contain_errors("change of the manifest", self.counts):
                listener(version)
        return Ok(OfferResult.IN_FORCE)

    def _drop_old_versions(self) -> None:
        del self._versions[:-MAX_VERSIONS]
        if self.needs_history:
            return
        size = 0
        for index in range(len(self._versions) - 2, -1, -1):
            size += len(self._versions[index].text)
            if size > MAX_BASE_BYTES:
                del self._versions[: index + 1]
                return

    def _make_conflict_error(
        self, generation: int, origin: str
    ) -> ManifestError:
        return ManifestError(
            "accept manifest",
            origin,
            f"generation {generation} is in force with other content; "
            "publish a higher generation",
        )

    def _record_refusal(self, text: str) -> None:
        logger.error("generations: manifest refused: %s", text)
        self.counts["refused"] += 1
        self.refused.append(text)
        del self.refused[:-20]
