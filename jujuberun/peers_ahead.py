"""Peers that have a newer document than this process, and fetches from them."""

import logging
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from result import Err, Ok, Result

from jujuberun.addresses import format_address
from jujuberun.containment.units import contain_errors
from jujuberun.errors import JujuberunError, LinkError, WireError
from jujuberun.ids import Address, Rank
from jujuberun.source import DocumentKind
from jujuberun.transfer import DocumentStore, Transfer

# A document that was refused is not fetched again within this time.
REFUSED_RETRY_DELAY_S = 60.0
# While documents change often, a process skips some of them: it fetches at most
# one of a kind within this time.
MIN_FETCH_INTERVAL_S = 0.2
_MAX_PEERS = 16

logger = logging.getLogger("jujuberun.spread")


class PeersAhead:
    """Peers that have a newer document of one kind than this process.

    Attributes:
        available: set while there may be a peer to fetch from.
    """

    def __init__(self) -> None:
        self.available = anyio.Event()
        self._peers: dict[Address, tuple[Rank, bytes]] = {}
        self._refused: dict[tuple[Rank, bytes], float] = {}

    def add(self, peer: Address, rank: Rank, digest: bytes, now: float) -> None:
        """Adds a peer, unless its document was refused recently.

        Args:
            peer: address of the peer.
            rank: rank of its document.
            digest: digest of its document.
            now: seconds, monotonic.
        """
        refused = self._refused.get((rank, digest))
        if refused is not None and now - refused < REFUSED_RETRY_DELAY_S:
            return
        if len(self._peers) >= _MAX_PEERS and peer not in self._peers:
            return
        self._peers[peer] = rank, digest
        self.available.set()

    def choose(self, rank: Rank, rng: random.Random) -> Address | None:
        """Returns a peer with the newest document, None if no peer is ahead.

        Args:
            rank: rank of this process's document; peers whose document is not
                newer are removed.
            rng: chooses among the peers with the newest document.
        """
        self._peers = {
            peer: document
            for peer, document in self._peers.items()
            if document[0] > rank
        }
        if not self._peers:
            self.available = anyio.Event()
            return None
        newest = max(document[0] for document in self._peers.values())
        best = [
            p for p, document in self._peers.items() if document[0] == newest
        ]
        return rng.choice(best)

    def remove(self, peer: Address) -> None:
        """Removes a peer, for instance one that did not reply."""
        self._peers.pop(peer, None)

    def reject_document(self, peer: Address, now: float) -> None:
        """Removes a peer whose document was refused.

        Peers with the same document are not added for REFUSED_RETRY_DELAY_S.
        """
        document = self._peers.pop(peer, None)
        if document is None:
            return
        self._refused = {
            key: refused_at
            for key, refused_at in self._refused.items()
            if now - refused_at < REFUSED_RETRY_DELAY_S
        }
        self._refused[document] = now


class DocumentFetcher:
    """Fetches one kind of document from peers ahead, one at a time.

    Attributes:
        peers_ahead: peers to fetch from.
    """

    def __init__(
        self,
        kind: DocumentKind,
        store: DocumentStore,
        transfer: Transfer,
        rng: random.Random,
        read_clock: Callable[[], float],
        counts: Counter[str],
        handle_fetched: Callable[[DocumentKind, Address], None],
    ) -> None:
        """Builds the fetcher.

        Args:
            kind: kind of document.
            store: receives the documents.
            transfer: fetches documents.
            rng: chooses among peers.
            read_clock: returns seconds, monotonic.
            counts: counts fetches by event name.
            handle_fetched: called with the peer of each successful fetch.
        """
        self._kind = kind
        self.peers_ahead = PeersAhead()
        self._store = store
        self._transfer = transfer
        self._rng = rng
        self._read_clock = read_clock
        self._counts = counts
        self._handle_fetched = handle_fetched

    async def run(self) -> None:
        """Fetches until cancelled."""
        next_fetch_at = -math.inf
        while True:
            await self.peers_ahead.available.wait()
            if self._read_clock() < next_fetch_at:
                await anyio.sleep(next_fetch_at - self._read_clock())
            peer = self.peers_ahead.choose(self._store.rank, self._rng)
            if peer is not None:
                next_fetch_at = self._read_clock() + MIN_FETCH_INTERVAL_S
                with contain_errors(
                    "fetch of a document", self._counts
                ) as unit:
                    await self._fetch(peer)
                if unit.has_failed:
                    self.peers_ahead.remove(peer)

    async def _fetch(self, peer: Address) -> None:
        self._counts["fetches"] += 1
        try:
            result = await self._transfer.fetch(self._kind, peer)
        except LinkError as error:
            self._record_failure(peer, error)
            return
        self._finish_fetch(peer, result)

    def _record_failure(self, peer: Address, error: JujuberunError) -> None:
        self._counts["failed-fetches"] += 1
        logger.info("spread: cannot fetch %s: %s", self._kind.value, error)
        self.peers_ahead.remove(peer)

    def _finish_fetch(
        self, peer: Address, result: Result[Any, JujuberunError]
    ) -> None:
        match result:
            case Err(LinkError() | WireError() as error):
                # The transfer failed; the document itself may be valid.
                self._record_failure(peer, error)
            case Err(error):
                self._counts["refused"] += 1
                logger.error(
                    "spread: %s from peer %s refused: %s",
                    self._kind.value,
                    format_address(peer),
                    error,
                )
                self.peers_ahead.reject_document(peer, self._read_clock())
            case Ok(_):
                self.peers_ahead.remove(peer)
                self._handle_fetched(self._kind, peer)


def make_fetchers(
    stores: Mapping[DocumentKind, DocumentStore],
    transfer: Transfer,
    rng: random.Random,
    read_clock: Callable[[], float],
    counts: Counter[str],
    handle_fetched: Callable[[DocumentKind, Address], None],
) -> dict[DocumentKind, DocumentFetcher]:
    """Returns a fetcher of each kind of document; see DocumentFetcher."""
    return {
        kind: DocumentFetcher(
            kind, store, transfer, rng, read_clock, counts, handle_fetched
        )
        for kind, store in stores.items()
    }
