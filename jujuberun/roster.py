"""Finds other balancers by seeds and gossip if no VM list names them.

The roster also decides which balancers watch the platform for all.
"""

import hashlib
import math
import random
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Any

from jujuberun.addresses import format_address
from jujuberun.errors import WireError
from jujuberun.ids import Address
from jujuberun.wire import Sighting, pack_address, unpack_address

# A balancer counts as live for this time after its last sighting. Each balancer
# sends gossip to two others per second, so in a fleet of hundreds a sighting is
# about five seconds old when it has reached all balancers.
LIVE_TIMEOUT_S = 6.0
# A balancer is kept as a peer for this time after its last sighting. After a
# longer partition, the two sides find each other only through the seeds.
FORGET_TIMEOUT_S = 30.0
# Number of balancers that watch the platform. While some VMs write to it, the
# platform may refuse half of the VMs for seconds, but what was written must
# arrive within 3 s. It refuses all eight watchers in one of 256 cases. With two
# watchers, a VM list arrived only after 3.1 s.
WATCHER_COUNT = 8
# The other balancers read the platform too if the last reported read is older
# than the wait of a watch plus this margin, which is two rounds of gossip, plus
# a delay by rank.
STALE_READ_MARGIN_S = 2.0
DELAY_PER_RANK_S = 1.0
MAX_DELAY_RANKS = 8
MAX_SIGHTINGS = 8  # per message
# Above this number of balancers, those not seen within FORGET_TIMEOUT_S are
# removed.
PRUNE_THRESHOLD = 2_000


class Roster:
    """Keeps the balancers that were seen recently.

    A balancer is seen when a message from it arrives or when another balancer
    reports a sighting of it.

    Attributes:
        read_at: time of the last known read of the platform by any balancer,
            seconds, monotonic; -math.inf if none is known.
    """

    def __init__(
        self, address: Address, seeds: Sequence[Address], watch_wait: float
    ) -> None:
        """Builds the roster.

        Args:
            address: own peer address.
            seeds: peer addresses of balancers to ask first.
            watch_wait: seconds for which a watch of the platform may wait for a
                new document.
        """
        self._stale_after_s = watch_wait + STALE_READ_MARGIN_S
        self.read_at = -math.inf
        self._address = address
        self._seeds = tuple(seeds)
        self._last_seen: dict[Address, float] = {}
        self._now = 0.0

    @property
    def peers(self) -> tuple[Address, ...]:
        """Addresses of the other balancers seen within FORGET_TIMEOUT_S."""
        limit = self._now - FORGET_TIMEOUT_S
        return tuple(a for a, at in self._last_seen.items() if at >= limit)

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Addresses of the seeds, without that of this process."""
        return tuple(s for s in self._seeds if s != self._address)

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the platform on behalf of the others.

        The first WATCHER_COUNT live balancers in the order of a hash of their
        addresses do so. If no read has been reported for too long, the others
        watch it too.
        """
        rank = self._compute_rank()
        if rank < WATCHER_COUNT:
            return True
        delay = DELAY_PER_RANK_S * min(rank, MAX_DELAY_RANKS)
        return self._now - self.read_at > self._stale_after_s + delay

    def list_hosts(self) -> frozenset[str]:
        """Returns the hosts of all known balancers, this one included."""
        return frozenset(host for host, _ in (self._address, *self.peers))

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def set_time(self, now: float) -> None:
        """Sets the current time, seconds, monotonic."""
        self._now = now
        if len(self._last_seen) > PRUNE_THRESHOLD:
            limit = now - FORGET_TIMEOUT_S
            self._last_seen = {
                a: t for a, t in self._last_seen.items() if t >= limit
            }

    def note_read(self, now: float) -> None:
        """Records that this process read the platform.

        Args:
            now: time of the read, seconds, monotonic.
        """
        self.read_at = max(self.read_at, now)

    def note_status(self, status: Any, sender: Address, now: float) -> None:
        """Records the balancers and the read that a Status reports.

        Args:
            status: the message.
            sender: peer address of its sender, which is recorded too.
            now: seconds, monotonic.

        Raises:
            WireError: a sighting is incomplete or its address is malformed.
        """
        self._record_sighting(sender, now)
        if status.read_age is not None:
            self.read_at = max(self.read_at, now - status.read_age / 1000)
        for sighting in (status.sightings or ())[:MAX_SIGHTINGS]:
            if sighting.peer is None or sighting.age is None:
                raise WireError(
                    "read sighting", "", "sighting without peer or age"
                )
            peer = unpack_address(sighting.peer)
            self._record_sighting(peer, now - max(0, sighting.age) / 1000)

    def choose_sightings(self, now: float, rng: random.Random) -> list[Any]:
        """Returns sightings of some live balancers for a Status."""
        live = [
            (a, t)
            for a, t in self._last_seen.items()
            if now - t < LIVE_TIMEOUT_S
        ]
        chosen = rng.sample(live, min(MAX_SIGHTINGS, len(live)))
        return [_make_sighting(peer, now - at) for peer, at in chosen]

    def compute_read_age(self, now: float) -> int | None:
        """Returns ms since the last known read of the platform.

        Returns None if no read is known or the last one is more than
        FORGET_TIMEOUT_S ago.
        """
        age = now - self.read_at
        return None if age > FORGET_TIMEOUT_S else round(age * 1000)

    def describe(self) -> dict[str, Any]:
        """Returns live balancers, seeds and reads of the platform as JSON."""
        return {
            "live": [format_address(a) for a in sorted(self._list_live())],
            "seeds": [format_address(a) for a in self.seeds],
            "rank": self._compute_rank(),
            "reads_platform": self.is_watcher,
            "platform_read_before_s": (
                round(self._now - self.read_at, 3)
                if self.read_at > -math.inf
                else None
            ),
        }

    def _record_sighting(self, peer: Address, at: float) -> None:
        if peer == self._address:
            return
        if at > self._last_seen.get(peer, -math.inf):
            self._last_seen[peer] = at

    def _list_live(self) -> Iterable[Address]:
        limit = self._now - LIVE_TIMEOUT_S
        return [a for a, at in self._last_seen.items() if at >= limit]

    def _compute_rank(self) -> int:
        own = _hash_address(self._address)
        return sum(_hash_address(peer) < own for peer in self._list_live())


@lru_cache(PRUNE_THRESHOLD)
def _hash_address(address: Address) -> bytes:
    return hashlib.blake2b(pack_address(address), digest_size=8).digest()


def _make_sighting(peer: Address, age: float) -> Any:
    return Sighting(pack_address(peer), max(0, round(age * 1000)))
