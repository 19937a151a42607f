"""Decides which starts carry the name of their pool."""

import math

from jujuberun.poolcheck.quarantine import QUARANTINE_S
from jujuberun.target_state import TargetState


class AgentVersions:
    """What a balancer knows about agents that read names of pools.

    An agent of the version before drops a start with a name. An agent that
    reads names asks for the name of a start without one, so that a wrong guess
    never lets a start open in another pool.

    Attributes:
        assumes_names: whether agents that have not answered yet are taken for
            such that read names.
    """

    def __init__(self) -> None:
        self.assumes_names = True

    def sends_name(self, candidate: TargetState, now: float) -> bool:
        """Returns whether a start to a target carries the name of its pool.

        It does in any case where an agent of the version before may give the
        start to a target of another pool: that agent drops it then. So it is
        after a silence, in which the machine may have been replaced.
        """
        if candidate.shares_tag or now < candidate.named_until:
            return True
        if candidate.reads_pool is None:
            return self.assumes_names
        return candidate.reads_pool

    def record_answer(self, candidate: TargetState, was_named: bool) -> None:
        """Records that an agent accepted or declined a start."""
        candidate.reads_pool = self.assumes_names = was_named
        candidate.named_until = -math.inf

    def record_request(self, candidate: TargetState) -> None:
        """Records that an agent asked for the name of a pool."""
        candidate.reads_pool = self.assumes_names = True

    def record_timeout(
        self, candidate: TargetState, was_named: bool, now: float
    ) -> None:
        """Records that an agent did not answer a start.

        It may be of the version before, or have been replaced by such a one.
        """
        if was_named and candidate.reads_pool is None:
            self.assumes_names = False
        if not was_named:
            candidate.named_until = now + QUARANTINE_S
        if candidate.suspected_until > now:
            candidate.reads_pool = None
