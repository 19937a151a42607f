"""Peers that are ahead, from which a newer document can be fetched."""

import random

import anyio

from jujuberun.ids import Address

REFUSED_S = 60.0  # a refused document is not fetched again within this time
_MAX_LEADS = 16  # peers known to be ahead


class Lead:
    """Peers that are ahead in one kind of document."""

    def __init__(self) -> None:
        self.changed = anyio.Event()
        self._peers: dict[Address, tuple[int, bytes]] = {}
        self._refused: dict[tuple[int, bytes], float] = {}

    def note(
        self, peer: Address, position: int, digest: bytes, now: float
    ) -> None:
        """Records that a peer is ahead, unless its document was refused."""
        refused = self._refused.get((position, digest))
        if refused is not None and now - refused < REFUSED_S:
            return
        if len(self._peers) >= _MAX_LEADS and peer not in self._peers:
            return
        self._peers[peer] = position, digest
        self.changed.set()

    def choose(self, position: int, rng: random.Random) -> Address | None:
        """Returns one of the peers that are furthest ahead, or None.

        Args:
            position: own position; peers that are not ahead are forgotten.
            rng: chooses among equals.
        """
        self._peers = {
            peer: lead
            for peer, lead in self._peers.items()
            if lead[0] > position
        }
        if not self._peers:
            self.changed = anyio.Event()
            return None
        highest = max(lead[0] for lead in self._peers.values())
        best = [p for p, lead in self._peers.items() if lead[0] == highest]
        return rng.choice(best)

    def forget(self, peer: Address) -> None:
        """Forgets a peer that did not reply."""
        self._peers.pop(peer, None)

    def refuse(self, peer: Address, now: float) -> None:
        """Forgets a peer and does not fetch the same document for a while."""
        lead = self._peers.pop(peer, None)
        if lead is None:
            return
        self._refused = {
            key: at for key, at in self._refused.items() if now - at < REFUSED_S
        }
        self._refused[lead] = now
