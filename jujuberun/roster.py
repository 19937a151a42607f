"""Balancers that no list names: who lives, and who reads the platform."""

import hashlib
import math
import random
from collections.abc import Iterable, Sequence
from typing import Any

from jujuberun.addresses import format_address
from jujuberun.errors import WireError
from jujuberun.ids import Address
from jujuberun.wire import Sighting, pack_address, unpack_address

# A balancer gossips each second with two others, so that in a fleet of
# hundreds a sighting is about five seconds old when it has gone round.
LIVE_S = 6.0
FORGET_S = 30.0  # a partition of this length needs the seeds to heal
# Processes that watch the platform. It may refuse half of the VMs for seconds
# while others write to it, and what they write has to arrive within 3 s; eight
# are refused together in one of 256 cases. With two, a list was 3.1 s late.
READERS = 8
# The others read too when nobody has reported a read for this time on top of
# the wait of a watch: two rounds of gossip.
STALE_READ_S = 2.0
RANK_DELAY_S = 1.0
MAX_DELAYED_RANK = 8
SIGHTINGS = 8  # in one message
MAX_KNOWN = 2_000


class Roster:
    """Keeps the balancers that were heard lately, directly or by report.

    Attributes:
        read_at: when some balancer last read the platform, seconds,
            monotonic.
    """

    def __init__(
        self, address: Address, seeds: Sequence[Address], watch_wait: float
    ) -> None:
        """Builds the roster.

        Args:
            address: own peer address.
            seeds: peer addresses of balancers to ask first.
            watch_wait: seconds that a watch of the platform waits for news.
        """
        self._stale_s = watch_wait + STALE_READ_S
        self.read_at = -math.inf
        self._address = address
        self._seeds = tuple(seeds)
        self._heard: dict[Address, float] = {}
        self._now = 0.0

    @property
    def peers(self) -> tuple[Address, ...]:
        """Addresses of the other balancers that may live."""
        limit = self._now - FORGET_S
        return tuple(a for a, at in self._heard.items() if at >= limit)

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Balancers to ask while no other is known."""
        return tuple(s for s in self._seeds if s != self._address)

    @property
    def is_watcher(self) -> bool:
        """Whether this process reads the platform for the others.

        The first READERS by a hash of their address do so. The others do it
        in the order of that hash while nobody reports a read.
        """
        rank = self._find_rank()
        if rank < READERS:
            return True
        delay = RANK_DELAY_S * min(rank, MAX_DELAYED_RANK)
        return self._now - self.read_at > self._stale_s + delay

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def set_time(self, now: float) -> None:
        """Sets the present time, seconds, monotonic."""
        self._now = now
        if len(self._heard) > MAX_KNOWN:
            limit = now - FORGET_S
            self._heard = {a: t for a, t in self._heard.items() if t >= limit}

    def note_read(self, now: float) -> None:
        """Notes that this process read the platform."""
        self.read_at = max(self.read_at, now)

    def note_status(self, status: Any, sender: Address, now: float) -> None:
        """Takes what a status message tells of other balancers.

        Raises:
            WireError: an address in the message is malformed.
        """
        self._note_heard(sender, now)
        if status.read_age is not None:
            self.read_at = max(self.read_at, now - status.read_age / 1000)
        for sighting in (status.sightings or ())[:SIGHTINGS]:
            if sighting.peer is None or sighting.age is None:
                raise WireError("read sighting", "", "a field is missing")
            peer = unpack_address(sighting.peer)
            self._note_heard(peer, now - max(0, sighting.age) / 1000)

    def choose_sightings(self, now: float, rng: random.Random) -> list[Any]:
        """Returns sightings of some live balancers for a status message."""
        live = [(a, t) for a, t in self._heard.items() if now - t < LIVE_S]
        chosen = rng.sample(live, min(SIGHTINGS, len(live)))
        return [_make_sighting(peer, now - at) for peer, at in chosen]

    def compute_read_age(self, now: float) -> int | None:
        """Returns ms since some balancer read the platform, None if never."""
        age = now - self.read_at
        return None if age > FORGET_S else round(age * 1000)

    def describe(self) -> dict[str, Any]:
        """Returns live balancers and reading state as JSON types."""
        return {
            "live": [format_address(a) for a in sorted(self._list_live())],
            "seeds": [format_address(a) for a in self.seeds],
            "rank": self._find_rank(),
            "reads_platform": self.is_watcher,
            "platform_read_before_s": (
                round(self._now - self.read_at, 3)
                if self.read_at > -math.inf
                else None
            ),
        }

    def _note_heard(self, peer: Address, at: float) -> None:
        if peer == self._address:
            return
        if at > self._heard.get(peer, -math.inf):
            self._heard[peer] = at

    def _list_live(self) -> Iterable[Address]:
        limit = self._now - LIVE_S
        return [a for a, at in self._heard.items() if at >= limit]

    def _find_rank(self) -> int:
        own = _rank(self._address)
        return sum(_rank(peer) < own for peer in self._list_live())


def _rank(address: Address) -> bytes:
    return hashlib.blake2b(pack_address(address), digest_size=8).digest()


def _make_sighting(peer: Address, age: float) -> Any:
    return Sighting(pack_address(peer), max(0, round(age * 1000)))
