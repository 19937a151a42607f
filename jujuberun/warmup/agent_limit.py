"""Rate limit of a cold target at its agent: messages, log and counts."""

import math
from collections import Counter
from typing import Any

from jujuberun.addresses import format_address
from jujuberun.decisions import DecisionLog
from jujuberun.frames import unpack_caller
from jujuberun.ids import Address
from jujuberun.warmup.start_window import StartWindow


class AgentLimit:
    """Declines starts that exceed the limit of the agent's cold target."""

    def __init__(self, counts: Counter[str]) -> None:
        """Starts without a limit.

        Args:
            counts: event counters of the agent.
        """
        self._counts = counts
        self._window = StartWindow()
        self._log = DecisionLog("sidecar")

    def handle_warmup(self, message: Any, sender: Address, now: float) -> None:
        """Takes the limit that a balancer states.

        Args:
            message: a Warmup.
            sender: peer address of the balancer.
            now: seconds, monotonic.
        """
        limit, left_s = max(0, message.limit), message.remaining / 1000
        if self._window.set_limit(message.target, limit, left_s, now):
            self._log.write(
                "limit of the cold target set",
                now,
                target=message.target,
                limit=self._window.find_limit(now),
                left_s=left_s,
                balancer=format_address(sender),
                taken=self._window.count(now),
            )

    def take(self, key: bytes, now: float) -> int | None:
        """Counts the start of a new flow, unless it exceeds the limit.

        Args:
            key: key of the flow.
            now: seconds, monotonic.

        Returns:
            None if the start may pass, else the milliseconds after which the
            target has capacity for it, at least 1.
        """
        wait = self._window.take(now)
        if wait is None:
            return None
        self._counts["declined_cold"] += 1
        wait_ms = max(1, math.ceil(wait * 1000))
        self._log.write(
            "start declined: the cold target takes no more",
            now,
            flow=format_address(unpack_caller(key)),
            limit=self._window.find_limit(now),
            taken=self._window.count(now),
            capacity_in_ms=wait_ms,
        )
        return wait_ms

    def record_copy(self, now: float) -> None:
        """Counts a copy of a start that the target has not answered yet.

        The copy passes whatever the limit is, because the target may have
        opened the flow. It is counted again, because the target may have lost
        the first one and open the flow only now.
        """
        self._window.record(now)

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the limit and the starts counted, as JSON types."""
        return {
            "limit": self._window.find_limit(now),
            "taken": self._window.count(now),
        }
