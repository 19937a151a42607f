"""Search for the manifests that a process missed, among its peers."""

import logging

import anyio

from jujuberun.errors import LinkError
from jujuberun.ids import Address
from jujuberun.transfer import Transfer

_MAX_PEERS = 8
# Peers that missed the same manifests need some time to fetch them. After a
# restart of the whole fleet no peer holds them, and asking ends.
_TRIES = 12
_PERIOD_S = 0.5

logger = logging.getLogger(__name__)


class MissedManifests:
    """Fetches the manifests before the one in force from peers."""

    def __init__(self, transfer: Transfer) -> None:
        """Args: fetches from peers."""
        self._transfer = transfer
        self._wanted = anyio.Event()
        self._tries = 0
        self._round = 0
        self._peers: dict[Address, None] = {}
        self._peer_known = anyio.Event()

    @property
    def is_wanted(self) -> bool:
        """Whether some are still looked for."""
        return self._wanted.is_set()

    def want(self) -> None:
        """Begins a search, or extends the one that runs."""
        self._transfer.history_complete = False
        self._tries = _TRIES
        self._round += 1
        self._wanted.set()

    def end(self) -> None:
        """Asks for no more until one is missed again."""
        self._tries = 0
        self._wanted = anyio.Event()
        self._transfer.history_complete = True

    def note_peer(self, peer: Address) -> None:
        """Notes a peer that may hold them."""
        if len(self._peers) < _MAX_PEERS:
            self._peers[peer] = None
            self._peer_known.set()

    async def run(self) -> None:
        """Fetches until cancelled."""
        while True:
            await self._wanted.wait()
            await self._peer_known.wait()
            await self._fetch()
            if not self._tries:
                self.end()

    async def _fetch(self) -> None:
        peer = next(iter(self._peers))
        del self._peers[peer]
        if not self._peers:
            self._peer_known = anyio.Event()
        asked = self._round
        try:
            complete = await self._transfer.fetch_history(peer)
        except LinkError as error:
            logger.info("spread: %s", error)
            return
        if asked != self._round:
            return  # More was missed during the call.
        if complete:
            self._tries = 0
            return
        self._tries -= 1
        await anyio.sleep(_PERIOD_S)
