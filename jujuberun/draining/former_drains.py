"""Drains of a former epoch, which the platform may have lost.

A platform that comes back from a copy lacks the keys that were written after
the copy was made. The operator writes them again. Until then, what a process
knew before keeps the domains drained for a short time.
"""

import math

from jujuberun.draining.drain_list import DrainList
from jujuberun.ids import DomainId

# Operators write lost keys again within this time after the platform is back,
# as docs/hard-load.md states.
LOST_KEY_GRACE_S = 6.0


class FormerDrains:
    """Keeps domains drained that a new epoch has not listed.

    Attributes:
        kept: end of the grace period of each domain, seconds, monotonic.
    """

    def __init__(self) -> None:
        self.kept: dict[DomainId, float] = {}

    def record_list(
        self, before: DrainList, after: DrainList, now: float
    ) -> None:
        """Records that a list came into force.

        A domain that the new epoch has listed once is no longer kept: if a
        later list lacks it, its key was removed.

        Args:
            before: the list that it replaces.
            after: the list.
            now: seconds, monotonic.
        """
        if after.epoch > before.epoch:
            in_force = self.correct(before, now)
            self.kept = dict.fromkeys(in_force, now + LOST_KEY_GRACE_S)
        for domain in after.domains:
            self.kept.pop(domain, None)

    def correct(self, listed: DrainList, now: float) -> frozenset[DomainId]:
        """Returns the domains that are drained now.

        Args:
            listed: the list in force, as the platform published it.
            now: seconds, monotonic.
        """
        kept = (domain for domain, end in self.kept.items() if now < end)
        return listed.domains.union(kept)

    def find_next_end(self, now: float) -> float:
        """Returns when a grace period ends next, infinite if none does."""
        ends = (end for end in self.kept.values() if end > now)
        return min(ends, default=math.inf)
