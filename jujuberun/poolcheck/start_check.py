"""Decides whether an agent's target may take a start."""

from enum import Enum

from jujuberun.frames import make_tag
from jujuberun.ids import PoolId


class StartCheck(Enum):
    """Result of the check of a start.

    Attributes:
        OWN_POOL: the start is meant for the pool of the agent's target.
        OTHER_POOL: it is meant for another pool, which had this address before.
        NO_NAME: the balancer has to send the name of the pool.
    """

    OWN_POOL = "own-pool"
    OTHER_POOL = "other-pool"
    NO_NAME = "no-name"


class PoolChecker:
    """Compares the pool of a start with that of the agent's target."""

    def __init__(self, pool: PoolId) -> None:
        """Builds the check of an agent.

        Args:
            pool: pool that the target serves.
        """
        self._name = pool.encode()
        self._tag = make_tag(pool)

    def check(self, name: bytes | None, tag: int) -> StartCheck:
        """Returns the result for a start.

        Two pools may have one tag, so that it decides only about starts of
        balancers of the version before, which send nothing else.

        Args:
            name: name of the pool, empty if the balancer did not know that the
                agent reads it, None if the balancer names no pools.
            tag: tag of the pool, from the mark of the start.
        """
        if name is None:
            is_own = tag == self._tag
        elif not name:
            return StartCheck.NO_NAME
        else:
            is_own = name == self._name
        return StartCheck.OWN_POOL if is_own else StartCheck.OTHER_POOL
