"""The manifest in force: which one is accepted, and which ones came before."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.errors import ManifestError
from jujuberun.manifest import Manifest, parse_manifest
from jujuberun.table import TableSet

HISTORY_S = 300.0  # older manifests are forgotten
HISTORY_COUNT = 16  # manifests


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
    """

    tables: TableSet
    data: bytes
    origin: str
    since: float

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
        self.refused: list[str] = []

    @property
    def current(self) -> Version | None:
        """The version in force, or None before the first."""
        return self._versions[-1] if self._versions else None

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: the part has state and no task of its own."""
        task_status.started()

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
        kept = []
        for index in range(len(self._versions) - 2, -1, -1):
            replaced = self._versions[index + 1].since
            if now - replaced > HISTORY_S:
                break
            kept.append(self._versions[index])
        return tuple(kept)

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
                error = ManifestError(
                    "accept manifest",
                    origin,
                    f"generation {manifest.generation} is in force with "
                    "other content; publish a higher generation",
                )
                self._note_refusal(str(error))
                return Err(error)
        tables = TableSet(manifest, current.tables if current else None)
        version = Version(tables, data, origin, now)
        self._versions.append(version)
        del self._versions[:-HISTORY_COUNT]
        for listener in self._listeners:
            listener(version)
        return Ok(Acceptance.IN_FORCE)

    def _note_refusal(self, text: str) -> None:
        self.refused.append(text)
        del self.refused[:-20]
