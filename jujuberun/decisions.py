"""Rate-limited log of decisions about single flows."""

import logging
import math
from collections import Counter
from typing import Any

from jujuberun.logs import make_logger

# Maximum lines per second and kind of decision. Writing a line takes about
# 0.05 ms, so ten kinds at their limit use 2% of a core.
MAX_LINES_PER_S = 40
_PERIOD_S = 1.0


class DecisionLog:
    """Writes a line for each decision up to a limit, and counts the others."""

    def __init__(self, part: str, lines_per_s: int = MAX_LINES_PER_S) -> None:
        """Builds the log of a part.

        Args:
            part: name of the part.
            lines_per_s: maximum number of lines per kind and second.
        """
        self._logger = make_logger(part)
        self._limit = lines_per_s
        self._period_start = -math.inf
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def write(self, kind: str, now: float, **fields: Any) -> None:
        """Writes a line about one decision.

        Args:
            kind: short name of the decision, for example "start refused".
            now: seconds, monotonic.
            **fields: flow, inputs of the decision with their age, outcome.
        """
        if now - self._period_start >= _PERIOD_S:
            self._begin_period(now)
        self._written[kind] += 1
        if self._written[kind] > self._limit:
            self._left_out[kind] += 1
            return
        self._logger.info("%s.", kind, extra={"decision": kind, **fields})

    def _begin_period(self, now: float) -> None:
        self._period_start = now
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
