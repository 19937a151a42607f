"""Decides whether an agent knows all flows of its target."""

from collections.abc import Collection

# An agent and its target start with their VM, and an agent takes up to 0.5 s.
# The limit holds in both directions: an agent that seems to be older may have
# been restarted after the clock of its VM was set back.
MAX_START_DIFFERENCE_MS = 1_000
# A target discards a flow without packets within this time. It is longer than
# the idle timeouts of agents and balancers, 20 s.
FLOW_LIFETIME_S = 60.0


def knows_all_flows(
    started: int, running: int, target_starts: Collection[int | None]
) -> bool:
    """Returns whether a flow that an agent does not know is not at its target.

    Args:
        started: start of the agent, ms by the wall clock of its VM.
        running: ms since that start, by the agent's monotonic clock.
        target_starts: starts of the registered targets at the agent's address,
            ms by the same wall clock, None if unknown. All but the last one are
            former starts whose registrations have not expired.
    """
    if running >= FLOW_LIFETIME_S * 1000:
        return True
    if not target_starts or None in target_starts:
        return False
    return abs(started - max(target_starts)) <= MAX_START_DIFFERENCE_MS
