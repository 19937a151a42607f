"""Log of decisions about single flows, bounded in its volume."""

import logging
import math
from collections import Counter
from typing import Any

from jujuberun.logs import find_logger

# Lines of one kind and second. A line takes about 0.05 ms, so that ten kinds
# at their limit cost 2% of a core.
LINES_PER_S = 40
_PERIOD_S = 1.0


class DecisionLog:
    """Writes one line for each decision, and counts those beyond a limit."""

    def __init__(self, part: str, lines_per_s: int = LINES_PER_S) -> None:
        """Args: name of the part, and lines of one kind in a second."""
        self._logger = find_logger(part)
        self._limit = lines_per_s
        self._since = -math.inf
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def write(self, kind: str, now: float, **fields: Any) -> None:
        """Writes a line with what was decided and why.

        Args:
            kind: short name of the decision, as in "start refused".
            now: seconds, monotonic.
            **fields: the flow, the inputs with their age, the outcome.
        """
        if now - self._since >= _PERIOD_S:
            self._begin_period(now)
        self._written[kind] += 1
        if self._written[kind] > self._limit:
            self._left_out[kind] += 1
            return
        self._logger.info("%s.", kind, extra={"decision": kind, **fields})

    def _begin_period(self, now: float) -> None:
        self._since = now
        self._written.clear()
        if not self._left_out:
            return
        left_out, self._left_out = self._left_out, Counter()
        self._logger.log(
            logging.WARNING,
            "Decisions left out of the log: %d.",
            left_out.total(),
            extra={"left_out": dict(left_out)},
        )
