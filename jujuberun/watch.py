"""Reads from the platform: a few processes watch it, the others poll it."""

import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import anyio

from jujuberun.containment.units import contain_errors, record_failure
from jujuberun.errors import SourceError
from jujuberun.ids import Address
from jujuberun.source import (
    BACKOFF_LIMIT_S,
    READ_KINDS,
    DocumentKind,
    PlatformDocument,
    Source,
    choose_backoff,
)
from jujuberun.transfer import DocumentStore

# A change must be in force within 5 s. A watch may wait on a connection that
# went silent, and ends at this time and the time limit of its answer.
WATCH_WAIT_S = 2.0
# Limits the reads of a watcher if the platform answers its watches at once.
MIN_WATCH_INTERVAL_S = 0.5
LOCAL_RETRY_DELAY_S = 1.0
POLL_PERIOD_S = 60.0
POLL_JITTER = 0.25  # share of POLL_PERIOD_S
# Processes that start together spread their first reads over this time. A
# process that has no document yet reads again after one to two times this time.
START_SPREAD_S = 5.0
# The first read after a failure follows within this time, because a lost answer
# or a silent connection says nothing about the platform. A new connection
# usually works.
FIRST_RETRY_S = 0.1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReadPace:
    """How often a process reads the platform, in seconds.

    Attributes:
        max_wait: how long a watch may wait for a new document.
        min_interval: minimum time from the end of a watcher's read to its next
            read; limits the reads if the platform answers watches at once.
        start_spread: time over which processes that start together spread
            their first reads; a process without a document repeats its read
            after one to two times as long.
        retry_limit: longest pause after failed reads.
    """

    max_wait: float = WATCH_WAIT_S
    min_interval: float = MIN_WATCH_INTERVAL_S
    start_spread: float = START_SPREAD_S
    retry_limit: float = BACKOFF_LIMIT_S


class Membership(Protocol):
    """The peers of this process, and whether it watches the platform."""

    @property
    def peers(self) -> tuple[Address, ...]:
        """Peer addresses of the other processes."""

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the platform on behalf of the others."""


def choose_poll_delay(rng: random.Random) -> float:
    """Returns the seconds until the next read of a process that polls."""
    return POLL_PERIOD_S * rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)


def compute_start_reads_per_s(processes: int) -> float:
    """Returns an upper bound of the reads per second when all start at once.

    The first reads of the VM list fall into the first START_SPREAD_S, those of
    the manifest into the next START_SPREAD_S. Repeated reads of one document
    may coincide with first reads of the other, hence the sum.

    Args:
        processes: number of processes that start together.
    """
    return processes / START_SPREAD_S + processes / START_SPREAD_S


def compute_reads_per_s(watchers: int, others: int) -> float:
    """Returns an upper bound of the reads per second once all have started.

    Args:
        watchers: number of processes that watch; a pending watch of one
            document counts as one read per second.
        others: number of processes that poll.
    """
    min_poll_period = POLL_PERIOD_S * (1 - POLL_JITTER)
    return len(READ_KINDS) * (watchers + others / min_poll_period)


class Watch:
    """Reads one kind of document and offers it to its store.

    Attributes:
        kind: kind of document.
        counts: numbers of reads by result: "changed", "same", "failed".
        last_error: reason of the failure if the last read failed, else empty.
        read_at: time of the last successful read, seconds, monotonic, None
            before the first.
    """

    def __init__(
        self,
        kind: DocumentKind,
        source: Source,
        store: DocumentStore,
        membership: Membership,
        rng: random.Random,
        has_seeds: bool,
        pace: ReadPace | None = None,
    ) -> None:
        """Builds the reader of one kind of document.

        Args:
            kind: kind of document.
            source: the platform.
            store: receives the documents that were read.
            membership: tells whether this process watches.
            rng: source of the jitter.
            has_seeds: whether the first read is delayed, because peers may
                provide the document.
            pace: how often the platform is read.
        """
        self.counts: Counter[str] = Counter()
        self.last_error = ""
        self.read_at: float | None = None
        self.kind = kind
        self._source = source
        self._store = store
        self._membership = membership
        self._pace = pace or ReadPace()
        self._rng = rng
        self._has_seeds = has_seeds
        self._became_watcher = anyio.Event()
        self._was_watching = False

    def note_members(self) -> None:
        """Ends the pause between reads if this process became a watcher."""
        if self.is_watching() and not self._was_watching:
            self._became_watcher.set()
        self._was_watching = self.is_watching()

    def is_watching(self) -> bool:
        """Returns whether this process watches instead of polling."""
        return self._source.is_local or self._membership.is_watcher

    async def run(
        self, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Reads until cancelled."""
        await self._delay_first_read()
        index = attempt = 0
        while True:
            watching = self.is_watching()
            max_wait = self._pace.max_wait if watching else 0.0
            try:
                document = await self._fetch(index, max_wait)
            except SourceError as error:
                self._record_failure(error)
                attempt += 1
                # The platform may have been set up again, with lower indexes.
                index = 0
                await self._pause(self._choose_retry_delay(attempt))
                continue
            attempt = 0
            self._record_read(read_clock())
            if document is None:
                self.counts["same"] += 1
            else:
                index = document.index
                with contain_errors(f"document of {self.kind.value}"):
                    self._offer(document, read_clock())
            await self._pause(self._pace.min_interval)

    async def _fetch(self, index: int, wait: float) -> PlatformDocument | None:
        """Fetches the document; see Source.fetch.

        Raises:
            SourceError: the read failed, whatever the cause.
        """
        try:
            return await self._source.fetch(self.kind, index, wait)
        except SourceError:
            raise
        except Exception as error:
            record_failure(f"read of {self.kind.value}", error)
            raise SourceError("read", self.kind.value, repr(error)) from error

    def _choose_retry_delay(self, attempt: int) -> float:
        """Returns the seconds until the next read after failed ones.

        Args:
            attempt: number of consecutive failures, from 1.
        """
        if self._source.is_local:
            return LOCAL_RETRY_DELAY_S
        if attempt == 1:
            return self._rng.uniform(0, FIRST_RETRY_S)
        return choose_backoff(attempt - 1, self._rng, self._pace.retry_limit)

    def _offer(self, document: PlatformDocument, now: float) -> None:
        self.counts["changed"] += 1
        self._store.offer(document.data, "platform", now)

    def _record_read(self, now: float) -> None:
        self.read_at = now
        if self.last_error:
            logger.info(
                "watch: reading %s from the platform succeeds again",
                self.kind.value,
            )
        self.last_error = ""

    def _record_failure(self, error: SourceError) -> None:
        self.counts["failed"] += 1
        text = str(error)
        if text != self.last_error:
            logger.warning("watch: %s", text)
        self.last_error = text

    async def _delay_first_read(self) -> None:
        """Delays the first read, so that peers can provide the document."""
        if self._source.is_local or not self._has_seeds:
            return
        delay = self._rng.uniform(0, self._pace.start_spread)
        if self.kind is DocumentKind.MANIFEST:
            # The VM list is read first, because it defines the watchers and the
            # peers.
            delay += self._pace.start_spread
        with anyio.move_on_after(delay):
            await self._became_watcher.wait()
        if self._store.position and not self.is_watching():
            with anyio.move_on_after(self._rng.uniform(0, POLL_PERIOD_S)):
                await self._became_watcher.wait()

    async def _pause(self, delay: float) -> None:
        """Pauses between two reads.

        A watcher pauses for the given delay. Another process pauses for about
        POLL_PERIOD_S, or, without a document, for one to two times the start
        spread and at least the delay; its pause ends when it becomes a watcher.

        Args:
            delay: seconds.
        """
        if self.is_watching():
            await anyio.sleep(delay)
            return
        self._became_watcher = anyio.Event()
        if self._store.position:
            delay = choose_poll_delay(self._rng)
        else:
            retry_delay = self._pace.start_spread * self._rng.uniform(1, 2)
            delay = max(delay, retry_delay)
        with anyio.move_on_after(delay):
            await self._became_watcher.wait()


def make_watches(
    source: Source,
    stores: Mapping[DocumentKind, DocumentStore],
    membership: Membership,
    rng: random.Random,
    has_seeds: bool,
    pace: ReadPace | None,
) -> list[Watch]:
    """Returns a reader of each kind that is read with calls; see Watch."""
    return [
        Watch(kind, source, stores[kind], membership, rng, has_seeds, pace)
        for kind in READ_KINDS
    ]
