"""Settings of the rate limit for targets that have just started."""

import math
from dataclasses import dataclass, field

from jujuberun.values import read_amount

# Period for which starts are counted, in seconds. The limit holds for each
# second. The tenth more covers the time in which a start passes from the
# balancer or the agent to the target.
WINDOW_S = 1.1
# Limits above this have no effect on any target, and must fit into a message.
MAX_LIMIT = 1_000_000
# Products of decimal fractions may be slightly below the whole number meant.
_ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class WarmupSettings:
    """Limit of starts at a cold target, relative to the rate of its pool."""

    overage: float = field(
        default=0.0,
        metadata={
            "read": read_amount,
            "about": "Starts that a cold target may take in any second, as a "
            "multiple of the pool's warmup_rate. No limit if this and slack "
            "are 0 or absent.",
            "secret": False,
        },
    )
    slack: float = field(
        default=0.0,
        metadata={
            "read": read_amount,
            "about": "Starts that a cold target may take in any second in "
            "addition to that multiple.",
            "secret": False,
        },
    )

    def compute_limit(self, rate: float) -> int | None:
        """Returns the starts that a cold target may take in a second.

        Args:
            rate: requests per second that a cold target of the pool can
                handle, 0 if not stated.

        Returns:
            The limit, None if there is none.
        """
        if not rate or not (self.overage or self.slack):
            return None
        limit = rate * self.overage + self.slack
        return min(MAX_LIMIT, math.floor(limit + _ROUNDING_ERROR))
