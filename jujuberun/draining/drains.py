"""The drain list in force, and what peers are told of it."""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from jujuberun.containment.units import contain_errors
from jujuberun.documents.recent_texts import RecentTexts
from jujuberun.draining.drain_list import (
    DrainList,
    digest_drains,
    dump_drain_list,
    parse_drain_list,
)
from jujuberun.draining.former_drains import FormerDrains
from jujuberun.errors import SourceError
from jujuberun.generations import OfferResult
from jujuberun.ids import DomainId, Rank
from jujuberun.logs import make_logger

_MAX_REFUSALS = 20  # number of refusals that the state dump can show

_log = make_logger("drains")


class Drains:
    """Part "drains": holds the newest drain list.

    Only a list of a higher index replaces it. Implements DocumentStore.

    Attributes:
        expects_list: whether the source publishes drain lists.
        domains: the domains that are drained now, including those that are
            kept drained after the platform has lost changes.
        is_announced: whether peers are told the index of the list: this
            process knows or knew a drained domain, or heard of one.
        text: text of the list, empty before the first one.
        text_digest: digest_document of the text, empty before the first one.
        counts: numbers of events by name.
        refused: reasons of the latest refusals, oldest first.
    """

    name = "drains"

    def __init__(self, expects_list: bool = True) -> None:
        """Creates an empty store.

        Args:
            expects_list: whether the source publishes drain lists, so that
                no flow may start before one is known.
        """
        self.domains: frozenset[DomainId] = frozenset()
        self.is_announced = False
        self.text = b""
        self.text_digest = b""
        self.counts: Counter[str] = Counter()
        self.refused: deque[str] = deque(maxlen=_MAX_REFUSALS)
        self.expects_list = expects_list
        self._has_peer_without_drains = False
        self._listed = DrainList()
        self._former = FormerDrains()
        self._next_end = math.inf
        self._received_at = 0.0
        self._origin = ""
        self._texts = RecentTexts()
        self._listeners: list[Callable[[], None]] = []
        self._reported_conflict: tuple[int, bytes] = (0, b"")

    @property
    def position(self) -> int:
        """Index of the list, 0 before the first one."""
        return self._listed.index

    @property
    def rank(self) -> Rank:
        """Index of the list; it contains the epoch."""
        return self._listed.index, 0

    @property
    def digest(self) -> bytes:
        """Digest of the list but for its index, empty before the first one."""
        return digest_drains(self._listed) if self.text else b""

    @property
    def is_known(self) -> bool:
        """Whether it is known which domains are drained.

        A peer that has a manifest and does not announce drains knows that
        there are none: who reads the manifest reads the drains with it, and
        who learns the manifest from a peer hears of drains from that peer.
        """
        return (
            not self.expects_list
            or bool(self.text)
            or self._has_peer_without_drains
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when peers must be told of a changed list."""
        self._listeners.append(listener)

    def note_peer(self, status: Any) -> None:
        """Records whether a peer announces drains.

        Args:
            status: Status of the peer.
        """
        if status.drain_index is not None:
            self.is_announced = True
        elif status.generation and not self.is_announced:
            self._has_peer_without_drains = True

    def announce(self, status: Any) -> None:
        """Adds the index of the list to a Status, if there were drains."""
        if self.is_announced:
            status.drain_index = self.position
            status.drain_digest = self.digest

    def find_text(self, digest: bytes) -> bytes | None:
        """Returns the text with this digest, None if no recent list has it."""
        return self._texts.find(digest)

    def offer(
        self, data: bytes, origin: str, now: float
    ) -> Result[OfferResult, SourceError]:
        """Replaces the list if the offered one is valid and newer.

        Args:
            data: text of the list, see parse_drain_list.
            origin: "platform" or the address of a peer.
            now: seconds, monotonic.

        Returns:
            Ok with the result, or Err if the list is malformed or has the
            index of the current list but other content.
        """
        if data == self.text:
            return Ok(OfferResult.KNOWN)
        match parse_drain_list(data):
            case Err(error):
                self._record_refusal(f"{origin}: {error}")
                return Err(error)
            case Ok(drain_list):
                pass
        if self.text and drain_list.index <= self._listed.index:
            if drain_list.index < self._listed.index:
                return Ok(OfferResult.OLDER)
            self.report_conflict(digest_drains(drain_list), origin)
            text = f"index {drain_list.index} is in use with other content"
            return Err(SourceError("accept drain list", origin, text))
        self._replace_list(drain_list, data, origin, now)
        return Ok(OfferResult.IN_FORCE)

    def adopt_index(self, index: int, digest: bytes) -> bool:
        """Adopts the higher index of a peer that has the same drains.

        Each complete read of the platform has an index of its own. Without
        this, all processes would fetch an unchanged list after each read.

        Args:
            index: index of the peer's list.
            digest: digest of the peer's list, see digest_drains.

        Returns:
            Whether the index was adopted.
        """
        if index <= self.position or not self.text or digest != self.digest:
            return False
        self._listed = replace(self._listed, index=index)
        self._set_text(dump_drain_list(self._listed))
        self.counts["indexes"] += 1
        return True

    def report_conflict(self, digest: bytes, origin: str) -> None:
        """Reports a peer that has other content for the current index.

        A repeated report of the same digest is ignored.

        Args:
            digest: digest of the peer's list, see digest_drains.
            origin: address of the peer.
        """
        if (self.position, digest) == self._reported_conflict:
            return
        self._reported_conflict = (self.position, digest)
        self._record_refusal(
            f"{origin}: index {self.position} is in use with other content"
        )

    def expire(self, now: float) -> None:
        """Ends the grace periods of domains that are over.

        Args:
            now: seconds, monotonic.
        """
        if now >= self._next_end:
            self._put_in_force("the grace period ended", now)

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Returns at once: this part has state but runs no task."""
        task_status.started()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the list, its age in seconds, and what is kept of before."""
        kept = self._former.kept.items()
        return {
            "index": self.position,
            "epoch": self._listed.epoch,
            "domains": sorted(self.domains),
            "listed": sorted(self._listed.domains),
            "kept_for_s": {
                domain: round(end - now, 3) for domain, end in kept if end > now
            },
            "known": self.is_known,
            "announced": self.is_announced,
            "origin": self._origin,
            "held_for_s": (
                round(now - self._received_at, 3) if self.text else None
            ),
            "counts": dict(self.counts),
            "refused": list(self.refused)[-5:],
        }

    def _replace_list(
        self, drain_list: DrainList, data: bytes, origin: str, now: float
    ) -> None:
        before, self._listed = self._listed, drain_list
        self._former.record_list(before, drain_list, now)
        self._set_text(data)
        self._received_at = now
        self._origin = origin
        self.counts["lists"] += 1
        self._put_in_force(f"list from {origin}", now)
        if drain_list.domains:
            self.is_announced = True
        # A full read returns a new index for an unchanged list, which gossip
        # passes on in its own time.
        if self.is_announced and drain_list.domains != before.domains:
            for listener in self._listeners:
                with contain_errors("change of the drains", self.counts):
                    listener()

    def _set_text(self, data: bytes) -> None:
        self.text = data
        self.text_digest = self._texts.add(data)

    def _put_in_force(self, reason: str, now: float) -> None:
        before, self.domains = (
            self.domains,
            self._former.correct(self._listed, now),
        )
        self._next_end = self._former.find_next_end(now)
        if self.domains == before:
            return
        self.counts["drained"] += len(self.domains - before)
        self.counts["returned"] += len(before - self.domains)
        _log.info(
            "Drained failure domains: %s; before: %s.",
            ", ".join(sorted(self.domains)) or "none",
            ", ".join(sorted(before)) or "none",
            extra={
                "reason": reason,
                "index": self.position,
                "epoch": self._listed.epoch,
                "listed": sorted(self._listed.domains),
            },
        )

    def _record_refusal(self, text: str) -> None:
        self.refused.append(text)
        _log.error("Drain list refused: %s", text)
