"""Fetches replaced manifests from peers to complete the history."""

import logging

import anyio

from jujuberun.containment.units import contain_errors
from jujuberun.errors import LinkError
from jujuberun.generations import Generations
from jujuberun.ids import Address
from jujuberun.transfer import Transfer

_MAX_PEERS = 8
# Several tries are needed, because peers that missed the same manifests need
# some time to fetch them. The number of tries is limited, because after a
# restart of the whole fleet no peer has the manifests.
_MAX_TRIES = 12
_RETRY_DELAY_S = 0.5

logger = logging.getLogger("jujuberun.missed")


class HistoryFetcher:
    """Fetches manifests older than the one in force from peers.

    A process misses manifests while it is paused, partitioned or not running.
    """

    def __init__(self, transfer: Transfer, generations: Generations) -> None:
        """Creates an inactive fetcher.

        Args:
            transfer: fetches documents from peers.
            generations: tells whether the manifest in force needs a history.
        """
        self._transfer = transfer
        self._generations = generations
        self._started = anyio.Event()
        self._tries_left = 0
        self._start_count = 0
        self._peers: dict[Address, None] = {}
        self._peer_available = anyio.Event()

    @property
    def is_active(self) -> bool:
        """Whether manifests are still being fetched."""
        return self._started.is_set()

    def start(self) -> None:
        """Starts fetching, or resets the number of tries if it is active."""
        self._transfer.history_complete = False
        self._tries_left = _MAX_TRIES
        self._start_count += 1
        # Peers of before may have missed the same manifests without knowing.
        self._peers.clear()
        if self._peer_available.is_set():
            self._peer_available = anyio.Event()
        self._started.set()

    def stop(self) -> None:
        """Stops fetching until the next call of start."""
        self._tries_left = 0
        self._started = anyio.Event()
        self._transfer.history_complete = True

    def add_peer(self, peer: Address) -> None:
        """Adds a peer that may have the missed manifests."""
        if len(self._peers) < _MAX_PEERS:
            self._peers[peer] = None
            self._peer_available.set()

    async def run(self) -> None:
        """Runs until cancelled; fetches history while is_active is True."""
        while True:
            await self._started.wait()
            await self._peer_available.wait()
            if not self._peers:
                continue  # A new start has removed them.
            is_needed = self._generations.needs_history
            if is_needed:
                with contain_errors("fetch of the history"):
                    await self._fetch_from_peer()
            if not self._tries_left or not is_needed:
                self.stop()

    async def _fetch_from_peer(self) -> None:
        peer = next(iter(self._peers))
        del self._peers[peer]
        if not self._peers:
            self._peer_available = anyio.Event()
        start_count = self._start_count
        try:
            complete = await self._transfer.fetch_history(peer)
        except LinkError as error:
            logger.info("spread: cannot fetch history: %s", error)
            return
        if start_count != self._start_count:
            return  # More manifests were missed during the call.
        if complete:
            self._tries_left = 0
            return
        self._tries_left -= 1
        await anyio.sleep(_RETRY_DELAY_S)
