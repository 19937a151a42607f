"""Decides whether an agent's target may take a start."""

from enum import Enum

from jujuberun.frames import make_tag
from jujuberun.ids import PoolId
from jujuberun.poolcheck.quarantine import Quarantine


class StartCheck(Enum):
    """Result of the check of a start.

    Attributes:
        OWN_POOL: the start is meant for the pool of the agent's target.
        OTHER_POOL: it is meant for another pool, which had this address before.
        NO_NAME: the balancer has to send the name of the pool.
        TOO_EARLY: the balancer sends no names, and the machine may be new.
    """

    OWN_POOL = "own-pool"
    OTHER_POOL = "other-pool"
    NO_NAME = "no-name"
    TOO_EARLY = "too-early"


class PoolChecker:
    """Compares the pool of a start with that of the agent's target.

    Attributes:
        quarantine: holds back starts whose pool is stated by its tag only.
    """

    def __init__(self, pool: PoolId) -> None:
        """Builds the check of an agent.

        Args:
            pool: pool that the target serves.
        """
        self._name = pool.encode()
        self._tag = make_tag(pool)
        self.quarantine = Quarantine()

    def has_tag(self, tag: int) -> bool:
        """Returns whether the agent's pool has this tag."""
        return tag == self._tag

    def check(self, name: bytes | None, tag: int, now: float) -> StartCheck:
        """Returns the result for a start.

        Two pools may have one tag, so that it decides only about starts of
        balancers of the version before, which send nothing else.

        Args:
            name: name of the pool, empty if the balancer did not know that the
                agent reads it, None if the balancer names no pools.
            tag: tag of the pool, from the mark of the start.
            now: seconds, monotonic.
        """
        if name == b"":
            return StartCheck.NO_NAME
        is_own = name == self._name if name else self.has_tag(tag)
        if not is_own:
            return StartCheck.OTHER_POOL
        if name is None and self.quarantine.holds_back(now):
            return StartCheck.TOO_EARLY
        return StartCheck.OWN_POOL
