"""Reading of the platform: a few processes watch it, the others poll."""

import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from jujuberun.errors import SourceError
from jujuberun.ids import Address
from jujuberun.source import (
    BACKOFF_LIMIT_S,
    Document,
    Kind,
    Source,
    choose_backoff,
)
from jujuberun.transfer import Store

WATCH_WAIT_S = 25.0
# Least time between two reads of a watcher, whatever the platform answers.
WATCH_GAP_S = 0.5
LOCAL_RETRY_S = 1.0
POLL_S = 60.0
POLL_JITTER = 0.25  # share of POLL_S
# Processes that start together spread their first reads over this time; a
# process that still lacks the document repeats its read after one to two times
# as long.
START_SPREAD_S = 5.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReadPace:
    """How often a process reads the platform, in seconds.

    Attributes:
        wait: how long a watch may wait for news.
        gap: least time between two reads of a watcher, whatever the platform
            answers.
        start_spread: processes that start together spread their first reads
            over this time, and those that lack a document repeat them after
            one to two times as long.
        retry_limit: longest pause after failed reads.
    """

    wait: float = WATCH_WAIT_S
    gap: float = WATCH_GAP_S
    start_spread: float = START_SPREAD_S
    retry_limit: float = BACKOFF_LIMIT_S


class Fleet(Protocol):
    """The processes among which reads of the platform are shared out."""

    @property
    def peers(self) -> tuple[Address, ...]:
        """Peer addresses of the other processes."""

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the platform for the others."""


def choose_poll_delay(rng: random.Random) -> float:
    """Returns the seconds until the next read of a process that polls."""
    return POLL_S * rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)


def compute_start_reads_per_s(processes: int) -> float:
    """Returns an upper bound of the reads per second when all start at once.

    The first reads of the VM list fall into the first START_SPREAD_S, those of
    the manifest into the next; either may meet repeated reads of the other.
    """
    return processes / START_SPREAD_S + processes / START_SPREAD_S


def compute_reads_per_s(watchers: int, others: int) -> float:
    """Returns an upper bound of the reads per second of a settled fleet.

    Args:
        watchers: processes that watch; a pending watch counts as one read.
        others: processes that poll.
    """
    least_poll = POLL_S * (1 - POLL_JITTER)
    return len(Kind) * (watchers + others / least_poll)


class Watch:
    """Reads one kind of document and offers it to its store.

    Attributes:
        counts: reads by result: "changed", "same", "failed".
        last_error: reason of the last failure, empty when there was none.
        read_at: time of the last read that succeeded, None before the first.
    """

    def __init__(
        self,
        kind: Kind,
        source: Source,
        store: Store,
        fleet: Fleet,
        rng: random.Random,
        has_seeds: bool,
        pace: ReadPace | None = None,
    ) -> None:
        """Args: what to read from where, and whom to ask before.

        Args:
            kind: which document.
            source: the platform.
            store: where it is offered.
            fleet: tells whether this process watches.
            rng: source of the jitter.
            has_seeds: whether peers may give the documents before the
                platform is read.
            pace: how often it is read.
        """
        self.counts: Counter[str] = Counter()
        self.last_error = ""
        self.read_at: float | None = None
        self._kind = kind
        self._source = source
        self._store = store
        self._fleet = fleet
        self._pace = pace or ReadPace()
        self._rng = rng
        self._has_seeds = has_seeds
        self._role_changed = anyio.Event()
        self._watched = False

    def note_members(self) -> None:
        """Ends a pause between reads when this process came to watch."""
        if self.is_watching() and not self._watched:
            self._role_changed.set()
        self._watched = self.is_watching()

    def is_watching(self) -> bool:
        """Returns whether this process watches, rather than polls."""
        return self._source.is_local or self._fleet.is_watcher

    async def run(
        self, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Reads until cancelled."""
        await self._wait_start()
        index = attempt = 0
        while True:
            watching = self.is_watching()
            wait = self._pace.wait if watching else 0.0
            try:
                document = await self._source.fetch(self._kind, index, wait)
            except SourceError as error:
                self._note_failure(error)
                attempt += 1
                # The platform may have been set up anew, with lower indexes.
                index = 0
                delay = choose_backoff(
                    attempt, self._rng, self._pace.retry_limit
                )
                if self._source.is_local:
                    delay = LOCAL_RETRY_S
                await self._pause(delay)
                continue
            attempt = 0
            self._note_read(read_clock())
            if document is None:
                self.counts["same"] += 1
            else:
                index = document.index
                self._offer(document, read_clock())
            await self._pause(self._pace.gap)

    def _offer(self, document: Document, now: float) -> None:
        self.counts["changed"] += 1
        self._store.offer(document.data, "platform", now)

    def _note_read(self, now: float) -> None:
        self.read_at = now
        if self.last_error:
            logger.info("watch: %s is read again", self._kind.value)
        self.last_error = ""

    def _note_failure(self, error: SourceError) -> None:
        self.counts["failed"] += 1
        text = str(error)
        if text != self.last_error:
            logger.warning("watch: %s", text)
        self.last_error = text

    async def _wait_start(self) -> None:
        """Leaves peers time to give the document before the platform."""
        if self._source.is_local or not self._has_seeds:
            return
        spread = self._rng.uniform(0, self._pace.start_spread)
        if self._kind is Kind.MANIFEST:
            # The VM list is read first: it names the watchers and the peers.
            spread += self._pace.start_spread
        with anyio.move_on_after(spread):
            await self._role_changed.wait()
        if self._store.position and not self.is_watching():
            with anyio.move_on_after(self._rng.uniform(0, POLL_S)):
                await self._role_changed.wait()

    async def _pause(self, delay: float) -> None:
        """Pauses between two reads.

        Args:
            delay: seconds, for a process that watches.
        """
        if self.is_watching():
            await anyio.sleep(delay)
            return
        self._role_changed = anyio.Event()
        if self._store.position:
            delay = choose_poll_delay(self._rng)
        else:
            spread = self._pace.start_spread * self._rng.uniform(1, 2)
            delay = max(delay, spread)
        with anyio.move_on_after(delay):
            await self._role_changed.wait()
