"""Decides when starts without the name of a pool may be taken."""

import math

# A balancer that is behind may take an address for that of a target that has
# ended. The registration of such a target expires after three check-ins of up
# to 2 s.
QUARANTINE_S = 6.0


class Quarantine:
    """Holds back starts that state no more than a tag from a new machine.

    Balancers of the version before send such starts. A target that holds flows
    which began before its agent is not new at its address, so that only the
    agent was restarted.
    """

    def __init__(self) -> None:
        self._ends_at = math.inf
        self._is_over = False

    def begin(self, now: float) -> None:
        """Begins the quarantine with the first call.

        Args:
            now: seconds, monotonic.
        """
        self._ends_at = min(self._ends_at, now + QUARANTINE_S)

    def record_former_flow(self) -> None:
        """Records that the target held a flow before the agent started."""
        self._is_over = True

    def holds_back(self, now: float) -> bool:
        """Returns whether such a start has to be declined."""
        self.begin(now)
        return not self._is_over and now < self._ends_at
