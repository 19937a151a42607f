"""Unbounded FIFO admission: a baseline for measurements and tests."""

import math
import random
from collections import deque

from jujuberun.ids import Outcome
from jujuberun.request import Admit, Decision, Queued, Refusal, Request


class UnboundedFifoAdmission:
    """Naive admission: an unbounded FIFO queue that refuses nothing."""

    def __init__(self, slots: int, rng: random.Random) -> None:
        self._slots = slots
        self._busy = 0
        self._queue: deque[Request] = deque()

    def estimate_wait(self, request: Request, now: float) -> float:
        """Returns the number of running and queued requests.

        It replaces an estimate in seconds, which this class cannot make.
        """
        return float(self._busy + len(self._queue))

    def admit(self, request: Request, now: float) -> Decision:
        """Starts the request or queues it, without regard to its deadline."""
        if self._busy < self._slots and not self._queue:
            self._busy += 1
            return Admit()
        self._queue.append(request)
        # This class makes no estimate of the wait.
        return Queued(math.nan)

    def take_next(self, now: float) -> Request | None:
        """Returns the oldest request, which may have expired."""
        if not self._queue or self._busy >= self._slots:
            return None
        self._busy += 1
        return self._queue.popleft()

    def take_refused(self, now: float) -> list[tuple[Request, Refusal]]:
        """Returns an empty list, because no queued request is refused."""
        return []

    def finish(
        self, request: Request, now: float, outcome: Outcome, shed: bool = False
    ) -> None:
        """Frees the slot of a request."""
        self._busy -= 1
