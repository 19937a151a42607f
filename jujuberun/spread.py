"""Gossip between peers that distributes the platform's documents."""

import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskStatus

from jujuberun.addresses import format_address
from jujuberun.containment.units import contain_errors
from jujuberun.draining.drains import Drains
from jujuberun.draining.reader import DrainReader
from jujuberun.generations import Generations, ManifestVersion
from jujuberun.history_fetcher import HistoryFetcher
from jujuberun.ids import Address, Rank, VmId
from jujuberun.link import Link
from jujuberun.members import Members
from jujuberun.peers_ahead import make_fetchers
from jujuberun.roster import Roster
from jujuberun.source import DocumentKind, Source
from jujuberun.transfer import DocumentStore, Transfer
from jujuberun.vm_list import VmList
from jujuberun.watch import Membership, ReadPace, make_watches
from jujuberun.wire import Status

GOSSIP_PERIOD_S = 1.0
GOSSIP_PEERS = 2
REPORT_PUSH_PEERS = 4
TICK_S = 0.25
MAX_TICK_GAP_S = 1.0  # a longer time between two ticks counts as a pause
ASK_PERIOD_S = 0.5
# If no peer replies within this time, Spread.is_confirmed becomes True without
# a reply, so that a process can serve without peers. For the same time after a
# start or a pause, an agent asks other agents before it creates flows.
ASK_TIMEOUT_S = 3.0

logger = logging.getLogger(__name__)


class Spread:
    """Keeps the documents up to date from the platform and peers.

    The owner of the datagram port passes each received Status to handle_status
    and provides the callable "send" for outgoing ones.

    Attributes:
        collect_loads: returns the loads in each Status; other parts set it.
        counts: numbers of messages, fetches and pauses by event name.
    """

    name = "spread"

    def __init__(
        self,
        vm: VmId,
        seeds: Sequence[Address],
        generations: Generations,
        members: Members,
        link: Link,
        send: Callable[[Any, Address], Any],
        source: Source | None = None,
        rng: random.Random | None = None,
        read_clock: Callable[[], float] = time.monotonic,
        roster: Roster | None = None,
        pace: ReadPace | None = None,
        drains: Drains | None = None,
    ) -> None:
        """Builds the part and registers the handlers of Fetch at the link.

        Args:
            vm: id of this VM.
            seeds: peers to ask while no other peer is known; one is also
                asked after each start and pause.
            generations: holds the manifest.
            members: holds the VM list.
            link: TCP connections to peers; has the address of the peer port
                and does not serve Fetch or FetchHistory yet.
            send: sends a message to a peer address as a datagram.
            source: the platform, None if this process does not read it.
            rng: chooses peers and jitter.
            read_clock: returns seconds, monotonic.
            roster: the known balancers, if the VM list does not contain them.
            pace: how often the platform is read.
            drains: holds the drain list, None if the source publishes none.
        """
        self.collect_loads: Callable[[], list[Any]] = list
        self.counts: Counter[str] = Counter()
        self._vm = vm
        self._address = link.address
        self._seeds = tuple(s for s in seeds if s != link.address)
        self._generations = generations
        self._members = members
        self._roster = roster
        self._membership: Membership = roster or members
        self._send = send
        self._rng = rng or random.Random()
        self._read_clock = read_clock
        self._drains = drains or Drains(expects_list=False)
        self._stores: dict[DocumentKind, DocumentStore] = {
            DocumentKind.MANIFEST: generations,
            DocumentKind.VMS: members,
        }
        if self._drains.expects_list:
            self._stores[DocumentKind.DRAINS] = self._drains
        self._transfer = Transfer(link, generations, self._stores, read_clock)
        self._history_fetcher = HistoryFetcher(self._transfer, generations)
        self._fetchers = make_fetchers(
            self._stores,
            self._transfer,
            self._rng,
            read_clock,
            self.counts,
            self._handle_fetched,
        )
        self._source = source
        self._watches = (
            []
            if source is None
            else make_watches(
                source,
                self._stores,
                self._membership,
                self._rng,
                bool(self._seeds),
                pace,
            )
        )
        self._last_tick: float | None = None
        self._last_gossip = 0.0
        self._last_ask = 0.0
        self._asked_since: float | None = None
        self._ask_token = -1  # no reply has it
        self._confirmed = anyio.Event()
        self._generation = 0
        self._drains.subscribe(self._push_status)
        generations.subscribe(self._handle_manifest)
        members.subscribe(self._handle_vm_list)

    @property
    def is_confirmed(self) -> bool:
        """Whether a peer confirmed the generation, or none replied in time."""
        return self._confirmed.is_set()

    async def wait_confirmed(self) -> None:
        """Waits until is_confirmed is True, at most about ASK_TIMEOUT_S."""
        await self._confirmed.wait()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the peers to ask while no other peer is known."""
        self._seeds = tuple(s for s in seeds if s != self._address)
        if self._roster is not None:
            self._roster.set_seeds(self._seeds)

    def handle_status(self, status: Any, sender: Address, now: float) -> None:
        """Handles a Status from a peer.

        Args:
            status: the message.
            sender: peer address of its sender.
            now: seconds, monotonic.
        """
        self.counts["received"] += 1
        if status.generation is None or status.vm_index is None:
            self.counts["malformed"] += 1
            return
        if self._roster is not None:
            self._roster.note_status(status, sender, now)
        rank = status.generation, status.epoch or 0
        manifest_order = self._compare_rank(
            DocumentKind.MANIFEST, rank, status.digest, sender, now
        )
        rank = status.vm_index, 0
        vms_order = self._compare_rank(
            DocumentKind.VMS, rank, status.vm_digest, sender, now
        )
        drains_order = self._compare_drains(status, sender, now)
        # A fetch from a peer ahead confirms the generation.
        if status.replies == self._ask_token and manifest_order < 1:
            self._confirm()
        if (
            self._history_fetcher.is_active
            and manifest_order == 0
            and status.generation
        ):
            self._history_fetcher.add_peer(sender)
        if status.asks is not None:
            self._send_status([sender], replies=status.asks)
        elif status.replies is None and -1 in (
            manifest_order,
            vms_order,
            drains_order,
        ):
            # A Status that is itself a reply gets none: two peers that are each
            # ahead in one of the documents would reply to each other endlessly.
            self._send_status([sender], replies=0)

    def tick(self, now: float) -> None:
        """Sends gossip and queries that are due, and detects pauses.

        Args:
            now: seconds, monotonic.
        """
        last, self._last_tick = self._last_tick, now
        self._members.expire_corrections(now)
        self._drains.expire(now)
        self._refresh_roster(now)
        if last is None or now - last > MAX_TICK_GAP_S:
            if last is not None:
                logger.warning(
                    "spread: process was paused for %.1f s", now - last
                )
                self.counts["pauses"] += 1
            self.ask_peers(now)
        elif self._asked_since is not None:
            if now - self._asked_since >= ASK_TIMEOUT_S:
                self._confirm()
            elif now - self._last_ask >= ASK_PERIOD_S:
                self._send_ask(now)
        if now - self._last_gossip >= GOSSIP_PERIOD_S:
            self._last_gossip = now
            self._send_status(self._choose_peers(GOSSIP_PEERS))

    def ask_peers(self, now: float) -> None:
        """Asks peers for their generation, after a start or a pause.

        Sets is_confirmed to False until a peer confirms the generation or
        ASK_TIMEOUT_S has passed.

        Args:
            now: seconds, monotonic.
        """
        self._confirmed = anyio.Event()
        self._asked_since = now
        self._ask_token = self._rng.getrandbits(60) + 1
        self._history_fetcher.start()
        self._send_ask(now)

    def stop_fetching_history(self) -> None:
        """Stops fetching earlier manifests until another one is missed."""
        self._history_fetcher.stop()

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as group:
            for fetcher in self._fetchers.values():
                group.start_soon(fetcher.run)
            group.start_soon(self._history_fetcher.run)
            if self._source is not None and self._source.publishes_drains:
                reader = DrainReader(self._source, self._drains)
                group.start_soon(reader.run, self._read_clock)
            for watch in self._watches:
                group.start_soon(watch.run, self._read_clock)
            task_status.started()
            while True:
                with contain_errors("gossip", self.counts):
                    self.tick(self._read_clock())
                await anyio.sleep(TICK_S)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns positions, peers, counters and platform errors."""
        return {
            "generation": self._generations.position,
            "vm_index": self._members.position,
            "confirmed": self.is_confirmed,
            "peers": len(self._membership.peers),
            "roster": self._roster.describe() if self._roster else None,
            "counts": dict(self.counts),
            "history_added": self._transfer.history_added,
            "history_complete": self._transfer.history_complete,
            "reads": [dict(watch.counts) for watch in self._watches],
            "platform_errors": [w.last_error for w in self._watches],
            "read_before_s": {
                watch.kind.value: round(now - watch.read_at, 3)
                for watch in self._watches
                if watch.read_at is not None
            },
        }

    def _refresh_roster(self, now: float) -> None:
        """Updates the roster, which may change who watches the platform."""
        if self._roster is None:
            return
        self._roster.set_time(now)
        for watch in self._watches:
            if watch.read_at is not None:
                self._roster.note_read(watch.read_at)
            watch.note_members()

    def _compare_rank(
        self,
        kind: DocumentKind,
        rank: Rank,
        digest: bytes,
        sender: Address,
        now: float,
    ) -> int:
        """Returns 1, 0 or -1 if the peer is ahead, equal or behind.

        Adds a peer that is ahead to the peers to fetch from. Reports a peer
        that has other content at the same position.
        """
        store = self._stores[kind]
        if rank > store.rank:
            self._fetchers[kind].peers_ahead.add(sender, rank, digest, now)
            return 1
        if rank < store.rank:
            return -1
        if any(rank) and digest != store.digest:
            store.report_conflict(digest, format_address(sender))
        return 0

    def _compare_drains(self, status: Any, sender: Address, now: float) -> int:
        """Returns 1, 0 or -1 if the peer is ahead, equal or behind in drains.

        A peer that announces no drains is behind if this process does.
        """
        drains = self._drains
        if not drains.expects_list:
            return 0
        drains.note_peer(status)
        if status.drain_index is None:
            return -1 if drains.is_announced and drains.position else 0
        index, digest = status.drain_index, status.drain_digest or b""
        if drains.adopt_index(index, digest):
            return 0
        return self._compare_rank(
            DocumentKind.DRAINS, (index, 0), digest, sender, now
        )

    def _handle_fetched(self, kind: DocumentKind, peer: Address) -> None:
        if kind is DocumentKind.MANIFEST:
            self._history_fetcher.add_peer(peer)
            self._confirm()

    def _confirm(self) -> None:
        self._asked_since = None
        self._confirmed.set()

    def _handle_manifest(self, version: ManifestVersion) -> None:
        before, self._generation = self._generation, version.manifest.generation
        if self._generation > before + 1:
            self._history_fetcher.start()
        self._push_status()

    def _handle_vm_list(self, vm_list: VmList) -> None:
        for watch in self._watches:
            watch.note_members()
        self._push_status()

    def _push_status(self) -> None:
        self.counts["pushes"] += 1
        self._send_status(self._choose_peers(REPORT_PUSH_PEERS))

    def _send_ask(self, now: float) -> None:
        self._last_ask = now
        peers = self._choose_peers(REPORT_PUSH_PEERS)
        if self._list_seeds() and self._membership.peers:
            # Also asks a seed: an old VM list may contain only replaced VMs.
            peers.append(self._rng.choice(self._list_seeds()))
        if not peers:
            self._confirm()
        self._send_status(peers, asks=self._ask_token)

    def _choose_peers(self, count: int) -> list[Address]:
        known = self._membership.peers
        if not known:
            # When a whole fleet starts without a VM list, only seeds are known.
            known, count = self._list_seeds(), 1
        return self._rng.sample(known, min(count, len(known)))

    def _list_seeds(self) -> tuple[Address, ...]:
        return self._seeds if self._roster is None else self._roster.seeds

    def _send_status(
        self,
        peers: Sequence[Address],
        asks: int | None = None,
        replies: int | None = None,
    ) -> None:
        if not peers:
            return
        generations, members = self._generations, self._members
        status = Status(
            self._vm,
            generations.position,
            generations.digest,
            members.position,
            members.digest,
            self.collect_loads(),
            asks,
            replies,
            epoch=generations.rank[1] or None,
        )
        if self._roster is not None:
            now = self._read_clock()
            status.sightings = self._roster.choose_sightings(now, self._rng)
            status.read_age = self._roster.compute_read_age(now)
        self._drains.announce(status)
        for peer in peers:
            self.counts["sent"] += 1
            self._send(status, peer)
